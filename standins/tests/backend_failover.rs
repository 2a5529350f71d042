//! Tests of group requests, of failover by group requests, and of server faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;
use standins::{BackendGroup, BackendGroupSettings};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, error::SqlState};

/// Starts a group of three servers without a delay for new connections.
async fn group() -> BackendGroup {
    let settings = BackendGroupSettings {
        connect_delay: Duration::ZERO,
        ..Default::default()
    };
    BackendGroup::start(settings)
        .await
        .expect("loopback has free ports")
}

/// Connects to a server as the client `origin`, a VM and its availability zone.
async fn connect(group: &BackendGroup, server: usize, database: &str, origin: &str) -> Client {
    let port = group.addresses()[server].port();
    let text =
        format!("host=127.0.0.1 port={port} user=u dbname={database} application_name={origin}");
    let (client, connection) = tokio_postgres::connect(&text, NoTls)
        .await
        .expect("connects");
    tokio::spawn(connection);
    client
}

/// Opens an ordinary connection to a server.
async fn session(group: &BackendGroup, server: usize) -> Client {
    connect(group, server, "stock", "vm-1/zone-a").await
}

/// Opens a control connection to a server.
async fn control(group: &BackendGroup, server: usize) -> Client {
    connect(group, server, "group_control", "vm-1/zone-a").await
}

/// Sends a group request and returns the status, or the SQLSTATE and message of its refusal.
async fn ask(client: &Client, request: &str) -> Result<String, String> {
    let rows = client
        .simple_query(&format!("SELECT {request}"))
        .await
        .map_err(|error| {
            let error = error.as_db_error().expect("the server answers");
            format!("{} {}", error.code().code(), error.message())
        })?;
    let row = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    Ok(row.expect("one row of one column").to_owned())
}

async fn create(client: &Client) {
    let sql = "CREATE TABLE t (id BIGINT PRIMARY KEY)";
    client.batch_execute(sql).await.expect("the table is new");
}

/// Inserts a row; returns the SQLSTATE if that fails.
async fn write(client: &Client, id: u64) -> Result<(), String> {
    let sql = format!("INSERT INTO t VALUES ({id})");
    let result = client.batch_execute(&sql).await;
    result.map_err(|error| error.code().map_or("none", SqlState::code).to_owned())
}

#[tokio::test]
async fn control_status() {
    let group = group().await;
    let status = ask(&control(&group, 1).await, "group_status()").await;
    assert_eq!(
        status.as_deref(),
        Ok("role=replica fenced=1 held=1/1 applied=1 starts=1/1")
    );
}

#[tokio::test]
async fn control_wait() {
    let group = group().await;
    let control = control(&group, 1).await;
    let primary = session(&group, 0).await;
    let waiting = ask(&control, "group_wait('1/2', 20000)");
    let (status, ()) = tokio::join!(waiting, create(&primary));
    assert!(status.expect("a status").contains("held=1/2"));
}

#[rstest]
#[case::promote_unfenced("group_promote(2)")]
#[case::fence_same("group_fence(1)")]
#[case::fence_zero("group_fence(0)")]
#[tokio::test]
async fn control_refusal(#[case] request: &str) {
    let group = group().await;
    let control = control(&group, 1).await;
    let refusal = ask(&control, request)
        .await
        .expect_err("the request is refused");
    assert_eq!(
        refusal,
        "57P05 role=replica fenced=1 held=1/1 applied=1 starts=1/1"
    );
}

#[tokio::test]
async fn control_beyond_limit() {
    let settings = BackendGroupSettings {
        connections: 0,
        ..Default::default()
    };
    let group = BackendGroup::start(settings)
        .await
        .expect("loopback has free ports");
    let status = ask(&control(&group, 0).await, "group_status()").await;
    assert_eq!(
        status.as_deref(),
        Ok("role=primary fenced=1 held=1/1 applied=1 starts=1/1")
    );
}

/// A primary that is cut off accepts a write while another server is promoted. Once it is fenced it
/// refuses writes, and once it follows the new primary its own write is dropped.
#[tokio::test]
async fn failover_divergence() {
    let group = group().await;
    let old = session(&group, 0).await;
    create(&old).await;
    let a = control(&group, 0).await;
    let b = control(&group, 1).await;
    let c = control(&group, 2).await;
    for control in [&b, &c] {
        ask(control, "group_wait('1/2', 20000)")
            .await
            .expect("replicates");
    }
    group.cut(0, 1);
    group.cut(0, 2);
    assert_eq!(write(&old, 1).await, Ok(()));
    ask(&b, "group_fence(2)")
        .await
        .expect("the term is higher than all before");
    ask(&c, "group_fence(2)")
        .await
        .expect("the term is higher than all before");
    let promoted = ask(&b, "group_promote(2)").await.expect("fenced at 2");
    assert_eq!(
        promoted,
        "role=primary fenced=2 held=2/3 applied=3 starts=1/1,2/3"
    );
    ask(&c, "group_follow(2, 'server-b')")
        .await
        .expect("server-b is primary in this term");
    let new = session(&group, 1).await;
    assert_eq!(write(&new, 2).await, Ok(()));
    ask(&c, "group_wait('2/4', 20000)")
        .await
        .expect("replicates");

    old.batch_execute("BEGIN; INSERT INTO t VALUES (9)")
        .await
        .expect("the old primary is not fenced yet");
    ask(&a, "group_fence(3)")
        .await
        .expect("the term is higher than all before");
    let error = old
        .batch_execute("COMMIT")
        .await
        .expect_err("the server was fenced");
    assert_eq!(error.code().map(SqlState::code), Some("57P04"));
    assert_eq!(write(&old, 4).await, Err("57P04".to_owned()));

    ask(&b, "group_fence(3)")
        .await
        .expect("the term is higher than all before");
    ask(&b, "group_promote(3)").await.expect("fenced at 3");
    group.heal(0);
    ask(&a, "group_follow(3, 'server-b')")
        .await
        .expect("server-b is primary in this term");
    ask(&a, "group_wait('3/5', 20000)")
        .await
        .expect("the old primary replicates from the new one");
    assert_eq!(group.status(0).term_starts, group.status(1).term_starts);
    let rows = old
        .query("SELECT id FROM t ORDER BY id", &[])
        .await
        .expect("reads");
    let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, [2]);
}

#[tokio::test]
async fn failover_restart() {
    let group = group().await;
    let primary = session(&group, 0).await;
    create(&primary).await;
    group.kill(0);
    write(&primary, 1).await.expect_err("the server is down");
    group.restart(0).await.expect("the server's port is free");
    let primary = session(&group, 0).await;
    assert_eq!(write(&primary, 1).await, Ok(()));
    let control = control(&group, 1).await;
    let status = ask(&control, "group_wait('1/3', 20000)")
        .await
        .expect("replicates again");
    assert!(status.contains("held=1/3"), "{status}");
}

#[tokio::test]
async fn fault_freeze() {
    let group = group().await;
    let client = session(&group, 0).await;
    group.freeze(0);
    let answer = client.batch_execute("SELECT 1");
    tokio::pin!(answer);
    let early = tokio::time::timeout(Duration::from_millis(50), &mut answer).await;
    assert!(early.is_err(), "a frozen server answered");
    group.thaw(0);
    answer.await.expect("the statement is answered");
}

#[tokio::test]
async fn fault_cut_zone() {
    let group = group().await;
    let near = session(&group, 0).await;
    let far = connect(&group, 0, "stock", "vm-2/zone-b").await;
    group.cut_zone(0, "zone-b");
    near.batch_execute("SELECT 1")
        .await
        .expect("the zone of this client is not cut off");
    let answer = far.batch_execute("SELECT 1");
    tokio::pin!(answer);
    let early = tokio::time::timeout(Duration::from_millis(50), &mut answer).await;
    assert!(early.is_err(), "a client of a cut-off zone got an answer");
    group.heal(0);
    answer.await.expect("the statement is answered");
}

/// Several daemons order a replica to follow the same primary at the same time, while it replicates.
/// A record that the replica has reported must stay in its log and in its reads: a daemon that knows
/// of it sends the reads of a session that wrote it there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn follow_keeps_reported_records() {
    const WRITES: u64 = 400;
    let group = Arc::new(group().await);
    group.set_transfer_delay(1, Duration::ZERO);
    let primary = session(&group, 0).await;
    create(&primary).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut orders = Vec::new();
    for _ in 0..3 {
        let control = control(&group, 1).await;
        let stop = Arc::clone(&stop);
        orders.push(tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                ask(&control, "group_follow(1, 'server-a')")
                    .await
                    .expect("server-a is primary in this term");
            }
        }));
    }
    let watch = {
        let (group, stop) = (Arc::clone(&group), Arc::clone(&stop));
        std::thread::spawn(move || {
            let mut drops = Vec::new();
            let mut last = group.status(1);
            while !stop.load(Ordering::Relaxed) {
                let status = group.status(1);
                if status.held < last.held || status.applied < last.applied {
                    drops.push((last.applied, status.applied));
                }
                last = status;
            }
            drops
        })
    };
    for id in 0..WRITES {
        assert_eq!(write(&primary, id).await, Ok(()));
    }
    stop.store(true, Ordering::Relaxed);
    for order in orders {
        order.await.expect("every order is granted");
    }
    let drops = watch.join().expect("the watch runs to its end");
    assert!(
        drops.is_empty(),
        "reads of the replica went back: {drops:?}"
    );
}
