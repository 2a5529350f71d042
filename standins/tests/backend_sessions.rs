//! Tests of ordinary client sessions with a backend server.

use std::time::Duration;

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

async fn connect(group: &BackendGroup, server: usize) -> Client {
    try_connect(group, server)
        .await
        .expect("the server takes connections")
}

async fn try_connect(group: &BackendGroup, server: usize) -> Result<Client, tokio_postgres::Error> {
    let address = group.addresses()[server];
    let text = format!("host=127.0.0.1 port={} user=u dbname=stock", address.port());
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Waits up to 20 seconds until a condition holds; panics with `what` if it does not.
async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let done = tokio::time::timeout(Duration::from_secs(20), wait).await;
    done.unwrap_or_else(|_| panic!("no {what} within 20 s"));
}

/// Returns the SQLSTATE of an error; `none` if the server did not report it.
fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", SqlState::code)
}

async fn create(client: &Client) {
    let sql = "CREATE TABLE t (id BIGINT PRIMARY KEY)";
    client.batch_execute(sql).await.expect("the table is new");
}

async fn count(client: &Client) -> i64 {
    let row = client.query_one("SELECT count(*) FROM t", &[]).await;
    row.expect("the table exists").get(0)
}

#[tokio::test]
async fn session_simple() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let sql = "CREATE TABLE t (id BIGINT PRIMARY KEY, name TEXT); INSERT INTO t VALUES (1, 'a;b')";
    client.batch_execute(sql).await.expect("the table is new");
    let rows = client
        .simple_query("SELECT id, name FROM t")
        .await
        .expect("the table exists");
    let row = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(1),
        _ => None,
    });
    assert_eq!(row, Some("a;b"));
    assert_eq!(group.status(0).held.to_string(), "1/2");
}

#[tokio::test]
async fn session_extended() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let sql = "CREATE TABLE t (id BIGINT PRIMARY KEY, name TEXT, price FLOAT8)";
    client.batch_execute(sql).await.expect("the table is new");
    let insert = "INSERT INTO t (id, name, price) VALUES ($1, $2, $3)";
    client
        .execute(insert, &[&7_i64, &"seven", &7.5_f64])
        .await
        .expect("the key is new");
    let row = client
        .query_one("SELECT name, price, id FROM t WHERE id = $1", &[&7_i64])
        .await
        .expect("the row is there");
    assert_eq!(row.get::<_, &str>(0), "seven");
    assert_eq!((row.get::<_, f64>(1), row.get::<_, i64>(2)), (7.5, 7));
    assert_eq!(count(&client).await, 1);
    let error = client
        .execute(insert, &[&7_i64, &"again", &1.0_f64])
        .await
        .expect_err("the key is taken");
    assert_eq!(code(&error), "23505");
    let error = client
        .query("SELECT * FROM missing", &[])
        .await
        .expect_err("the table does not exist");
    assert_eq!(code(&error), "42P01");
}

#[tokio::test]
async fn session_transaction() {
    let group = group().await;
    let mut client = connect(&group, 0).await;
    let other = connect(&group, 0).await;
    create(&client).await;
    let transaction = client.transaction().await.expect("begins");
    transaction
        .execute("INSERT INTO t VALUES (1)", &[])
        .await
        .expect("inserts");
    assert_eq!(count(&other).await, 0);
    transaction.commit().await.expect("commits");
    assert_eq!(count(&other).await, 1);
    client.batch_execute("BEGIN").await.expect("begins");
    let error = client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("the key is taken");
    assert_eq!(code(&error), "23505");
    let error = client
        .batch_execute("SELECT 1")
        .await
        .expect_err("the block failed");
    assert_eq!(code(&error), "25P02");
    client
        .batch_execute("ROLLBACK")
        .await
        .expect("ends the block");
}

#[tokio::test]
async fn session_implicit_transaction() {
    let group = group().await;
    let client = connect(&group, 0).await;
    create(&client).await;
    let sql = "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)";
    let error = client
        .batch_execute(sql)
        .await
        .expect_err("the key is taken");
    assert_eq!(code(&error), "23505");
    assert_eq!(count(&client).await, 0);
}

#[tokio::test]
async fn session_lost_connection_rolls_back() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let other = connect(&group, 0).await;
    create(&client).await;
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .expect("inserts");
    drop(client);
    other
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("the lost transaction holds no lock");
}

/// The server closes a connection whose block is idle for longer than the block's own limit, and
/// rolls the block back.
#[tokio::test]
async fn session_local_idle_timeout() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let other = connect(&group, 0).await;
    create(&client).await;
    let bound = "SET LOCAL idle_in_transaction_session_timeout = 50";
    let sql = format!("BEGIN; {bound}; INSERT INTO t VALUES (1)");
    client.batch_execute(&sql).await.expect("inserts");
    other
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("the idle block has ended");
    client
        .batch_execute("COMMIT")
        .await
        .expect_err("the connection is closed");
}

/// A statement that waits for another writer fails after the limit of its block; the limit does not
/// apply to later blocks.
#[tokio::test]
async fn session_local_statement_timeout() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let other = connect(&group, 0).await;
    create(&client).await;
    let holds = "BEGIN; INSERT INTO t VALUES (1)";
    client.batch_execute(holds).await.expect("inserts");
    let waits = "BEGIN; SET LOCAL statement_timeout = 50; INSERT INTO t VALUES (2)";
    let error = other
        .batch_execute(waits)
        .await
        .expect_err("another transaction holds the write lock");
    assert_eq!(code(&error), "57014");
    other.batch_execute("ROLLBACK").await.expect("rolls back");
    client.batch_execute("COMMIT").await.expect("commits");
    let unbound = "BEGIN; INSERT INTO t VALUES (2); COMMIT";
    other
        .batch_execute(unbound)
        .await
        .expect("the limit ended with its block");
    assert_eq!(count(&client).await, 2);
}

#[tokio::test]
async fn session_replica() {
    let group = group().await;
    let primary = connect(&group, 0).await;
    let replica = connect(&group, 1).await;
    create(&primary).await;
    eventually("replication", async || group.status(1).applied.0 == 2).await;
    assert_eq!(count(&replica).await, 0);
    let error = replica
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("a replica takes no writes");
    assert_eq!(code(&error), "25006");
    let sql = "BEGIN; INSERT INTO t VALUES (1)";
    let error = replica
        .batch_execute(sql)
        .await
        .expect_err("a replica takes no writes");
    assert_eq!(code(&error), "25006");
}

#[tokio::test]
async fn session_lag() {
    let group = group().await;
    group.set_lag(1, Duration::from_secs(3600));
    let primary = connect(&group, 0).await;
    create(&primary).await;
    eventually("replication", async || group.status(1).held.position.0 == 2).await;
    assert_eq!(group.status(1).applied.0, 1);
    group.set_lag(1, Duration::ZERO);
    eventually("the end of the lag", async || {
        group.status(1).applied.0 == 2
    })
    .await;
}

#[tokio::test]
async fn session_limit() {
    let settings = BackendGroupSettings {
        connections: 1,
        connect_delay: Duration::ZERO,
        ..Default::default()
    };
    let group = BackendGroup::start(settings)
        .await
        .expect("loopback has free ports");
    let _first = connect(&group, 0).await;
    let error = try_connect(&group, 0)
        .await
        .expect_err("the limit is one connection");
    assert_eq!(code(&error), "53300");
}

#[tokio::test]
async fn session_lost_answer() {
    let group = group().await;
    let client = connect(&group, 0).await;
    create(&client).await;
    group.lose_next_answer(0);
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("the answer is lost");
    let client = connect(&group, 0).await;
    assert_eq!(count(&client).await, 1);
}

#[tokio::test]
async fn session_silenced_connection() {
    let group = group().await;
    let old = connect(&group, 0).await;
    group.silence_open_connections(0);
    let new = connect(&group, 0).await;
    new.batch_execute("SELECT 1")
        .await
        .expect("new connections work");
    let answer = old.batch_execute("SELECT 1");
    let late = tokio::time::timeout(Duration::from_millis(50), answer).await;
    assert!(late.is_err(), "a silenced connection was answered");
}
