//! Tests of a daemon that takes its leaders from the store, over real connections to stand-ins of
//! the store and the servers.

mod line_site;

use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};
use std::time::{Duration, Instant};

use line_site::{Client, Site, WAIT_TIMEOUT, config};
use rstest::rstest;
use socket2::Socket;
use standins::LineStore;

/// How long daemons that start together take to discover each other: two reads of the permissions.
const DISCOVERY_TIME: Duration = Duration::from_millis(4_200);

/// The longest time after connections went silent until a new configuration has to be in force: a
/// settling time of 4 s, then the 3 s that a configuration may take.
const SILENCE_BOUND: Duration = Duration::from_secs(7);

#[tokio::test]
async fn statements_of_every_kind_are_served() {
    let site = Site::start(&["vm-1"]).await;
    let mut client = site.client(0).await;
    assert_eq!(client.run("1", "WRITE x 41").await, "COMPLETE 1 I");
    assert_eq!(client.run("2", "READ x").await, "ROW 41 COMPLETE read I");
    assert_eq!(client.run("3", "PREPARE s1 WRITE q").await, "COMPLETE - I");
    assert_eq!(client.run("4", "EXECUTE s1 x 42").await, "COMPLETE 4 I");
    assert_eq!(client.run("5", "BEGIN").await, "COMPLETE - T");
    assert_eq!(client.run("6", "WRITE y 1").await, "COMPLETE write T");
    assert_eq!(client.run("7", "ROLLBACK").await, "COMPLETE - I");
    assert_eq!(client.run("8", "BEGIN").await, "COMPLETE - T");
    assert_eq!(client.run("9", "WRITE y 2").await, "COMPLETE write T");
    assert_eq!(client.run("10", "COMMIT").await, "COMPLETE 10 I");
    let expected =
        [("x", "41"), ("x", "42"), ("y", "2")].map(|(k, v)| (k.to_owned(), v.to_owned()));
    assert_eq!(site.group.written(), expected);
}

#[tokio::test]
async fn two_daemons_of_a_zone_serve_through_one_home() {
    let site = Site::start(&["vm-1", "vm-2"]).await;
    let mut clients = [site.client(0).await, site.client(1).await];
    assert_eq!(clients[0].run("1", "WRITE x 1").await, "COMPLETE 1 I");
    assert_eq!(clients[1].run("2", "READ x").await, "ROW 1 COMPLETE read I");
    tokio::time::sleep(DISCOVERY_TIME).await;
    let mut late = [site.client(0).await, site.client(1).await];
    for (n, client) in late.iter_mut().enumerate() {
        assert_eq!(
            client.run(&format!("late-{n}"), "READ x").await,
            "ROW 1 COMPLETE read I"
        );
    }
    let until = Instant::now() + WAIT_TIMEOUT;
    while site.passed_on().await != 1 {
        assert!(
            Instant::now() < until,
            "no daemon forwarded its session in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Writes odd entries among those of the servers and of the daemons, as another writer may.
fn write_odd_entries(store: &LineStore) {
    let deep = "[".repeat(100_000);
    let number = r#"{"service":"ledger","capacity":1e400}"#;
    let port = r#"{"service":"ledger","address":"127.0.0.1:70000"}"#;
    for (n, odd) in [deep.as_str(), number, port].iter().enumerate() {
        store.put("servers", &format!("a-{n}"), odd.as_bytes());
        let vm = format!("odd-{n}");
        store.put_in_part(
            "sapphireslip-permits",
            "sapphireslip",
            &vm,
            &[odd.as_bytes()],
        );
    }
}

/// Guards against a process that ends, or stops following its lists, for an odd entry of another writer.
#[rstest]
#[tokio::test]
async fn writes_succeed_again_after_the_primary_is_lost(#[values(false, true)] has_odd: bool) {
    let site = Site::start(&["vm-1", "vm-2"]).await;
    if has_odd {
        write_odd_entries(&site.store);
    }
    let mut client = site.client(0).await;
    assert_eq!(client.run("1", "WRITE x 1").await, "COMPLETE 1 I");
    site.group.kill_primary();
    let until = Instant::now() + WAIT_TIMEOUT;
    for n in 2.. {
        let mut client = site.client(0).await;
        if client
            .run(&n.to_string(), &format!("WRITE x {n}"))
            .await
            .starts_with("COMPLETE")
        {
            break;
        }
        assert!(Instant::now() < until, "writes did not succeed in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(site.group.written()[0], ("x".to_owned(), "1".to_owned()));
    assert!(site.store.promotions() >= 1);
}

#[tokio::test]
async fn configuration_is_in_force_within_3_seconds() {
    let site = Site::start(&["vm-1"]).await;
    let mut client = site.client(0).await;
    drop_route(&site);
    let until = Instant::now() + Duration::from_secs(3);
    for n in 0.. {
        if client
            .run(&n.to_string(), "READ x")
            .await
            .starts_with("ERROR NODB")
        {
            break;
        }
        assert!(Instant::now() < until, "not in force within 3 s");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // An older version and a malformed one change nothing.
    site.store.put("op", "config", config(1).as_bytes());
    site.store.put("op", "config", b"{");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(client.run("old", "READ x").await.starts_with("ERROR NODB"));
}

/// Writes a configuration to the store that has no route to the clients' database.
fn drop_route(site: &Site) {
    let without = config(2).replace("\"fees\"", "\"other\"");
    site.store.put("op", "config", without.as_bytes());
}

/// Waits until the daemon refuses reads because the configuration without the route is in force.
async fn wait_until_route_is_dropped(client: &mut Client) {
    let until = Instant::now() + SILENCE_BOUND;
    for n in 0.. {
        let answer = client.run(&format!("dropped-{n}"), "READ x").await;
        if answer.starts_with("ERROR NODB") {
            return;
        }
        assert!(
            Instant::now() < until,
            "not in force within {SILENCE_BOUND:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A watch on a connection that has gone silent never gets an answer. It has to time out early
/// enough for a configuration that was written meanwhile.
#[tokio::test]
async fn configuration_is_in_force_despite_a_silent_watch() {
    let site = Site::start(&["vm-1"]).await;
    let mut client = site.client(0).await;
    site.store.hang_watches(true);
    drop_route(&site);
    site.store.hang_watches(false);
    wait_until_route_is_dropped(&mut client).await;
}

/// Returns duplicates of the sockets of this process that are connected to an address.
fn connections_to(address: SocketAddr) -> Vec<Socket> {
    let listed = std::fs::read_dir("/proc/self/fd").expect("the folder of descriptors");
    let numbers = listed.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let duplicate = |number: RawFd| {
        // SAFETY: the borrow ends with this call, which fails if the descriptor is closed by now.
        let descriptor = unsafe { BorrowedFd::borrow_raw(number) };
        Some(Socket::from(descriptor.try_clone_to_owned().ok()?))
    };
    let is_connected = |socket: &Socket| {
        let peer = socket.peer_addr().ok();
        peer.and_then(|peer| peer.as_socket()) == Some(address)
    };
    numbers.filter_map(duplicate).filter(is_connected).collect()
}

/// A watch leaves its connection idle for seconds. Only probes show that it broke meanwhile.
#[tokio::test]
async fn idle_connections_to_the_store_are_probed() {
    let site = Site::start(&["vm-1"]).await;
    let connections = connections_to(site.store.address());
    assert!(!connections.is_empty());
    for connection in connections {
        assert!(connection.keepalive().expect("an option"));
        let interval = connection.tcp_keepalive_interval().expect("an option");
        let retries = connection.tcp_keepalive_retries().expect("an option");
        assert_eq!((interval, retries), (Duration::from_secs(1), 2));
    }
}

#[tokio::test]
async fn malformed_input_is_refused_and_the_daemon_keeps_serving() {
    let site = Site::start(&["vm-1"]).await;
    // Malformed rows of servers are ignored.
    site.store.put("servers", "i-9", b"\xff\xfe");
    site.store.put("servers", "i-8", b"{\"service\": 7}");
    let mut client = site.client(0).await;
    assert!(
        client
            .run("1", "EXPLODE x")
            .await
            .starts_with("ERROR MALFORMED")
    );
    assert!(
        client
            .run("2", "EXECUTE s9 x")
            .await
            .starts_with("ERROR NOSTMT s9")
    );
    assert!(
        client
            .run("3", "COMMIT")
            .await
            .starts_with("ERROR MALFORMED")
    );
    assert!(client.send("NONSENSE").await.starts_with("ERROR MALFORMED"));
    assert_eq!(client.line().await, "closed");

    let mut long = Client::connect(site.daemons[0].clients).await;
    let line = vec![b'x'; (1 << 20) + 8_192];
    // The daemon may close the connection before the whole line is sent.
    let _closed_early = long.session.send_bytes(&line).await;
    let read = tokio::time::timeout(WAIT_TIMEOUT, long.session.line())
        .await
        .expect("in time");
    assert!(read.is_err(), "{read:?}");

    let mut nowhere = Client::connect(site.daemons[0].clients).await;
    assert!(
        nowhere
            .send("START nowhere till")
            .await
            .starts_with("ERROR NODB")
    );
    let mut client = site.client(0).await;
    assert_eq!(client.run("4", "WRITE x 1").await, "COMPLETE 4 I");
}

#[tokio::test]
async fn malformed_store_answers_end_no_session() {
    let site = Site::start(&["vm-1"]).await;
    let mut client = site.client(0).await;
    site.store.set_malformed_answers(true);
    // The daemon keeps its permission, and a malformed configuration changes nothing.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(client.run("1", "WRITE x 1").await, "COMPLETE 1 I");
    site.store.set_malformed_answers(false);
    drop_route(&site);
    wait_until_route_is_dropped(&mut client).await;
}

#[tokio::test]
async fn store_outage_of_4_seconds_fails_no_write() {
    let site = Site::start(&["vm-1", "vm-2"]).await;
    tokio::time::sleep(DISCOVERY_TIME).await;
    site.store.set_down(true);
    let began = Instant::now();
    let mut n = 0;
    while began.elapsed() < Duration::from_secs(4) {
        n += 1;
        let mut client = site.client(n % 2).await;
        assert_eq!(
            client.run(&n.to_string(), "WRITE x 1").await,
            format!("COMPLETE {n} I")
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.store.set_down(false);
    assert_eq!(site.group.written().len(), n);
}
