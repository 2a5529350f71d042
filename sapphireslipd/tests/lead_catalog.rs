//! Tests of a daemon that the store does not answer, and that takes the configuration from another
//! daemon, over real connections to stand-ins of the store and the servers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use sapphireslipd::{LeadSettings, serve_lead};
use standins::{
    LineGroup, LineSession, LineStore, Link, http_get, line_configuration, line_settings,
    start_line_site,
};

const SERVICE: &str = "ledger";

const DATABASE: &str = "fees";

/// How long a test waits for daemons to start.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The longest time until a key that was taken away gives no right to new work.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// Returns a configuration with one account that has a key.
fn config(version: u64, key: &str) -> String {
    let text = line_configuration(version, DATABASE, SERVICE);
    let account = format!(r#"{{"tenants":[{{"name":"mill","api_keys":["{key}"]}}],"#);
    text.replacen('{', &account, 1)
}

/// Writes a configuration with one account that has a key.
fn write_config(store: &LineStore, version: u64, key: &str) {
    store.put("op", "config", config(version, key).as_bytes());
}

/// Returns the settings of a daemon at its own loopback address.
fn settings(name: &str, last: u8, store: SocketAddr) -> LeadSettings {
    let [.., low] = std::process::id().to_be_bytes();
    let text = line_settings(name, Ipv4Addr::new(127, 78, low, last), store);
    LeadSettings::try_from(text.as_bytes()).expect("without a fault")
}

/// Starts a daemon and waits until it is ready.
async fn start_ready(daemon: &LeadSettings) {
    tokio::spawn(serve_lead(daemon.clone()));
    let until = Instant::now() + WAIT_TIMEOUT;
    let ready = async || http_get(daemon.readiness, "/-/readyz").await;
    while !ready().await.is_ok_and(|page| page.status == 200) {
        assert!(Instant::now() < until, "not ready in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a daemon and waits until it takes sessions with a key.
async fn start_daemon(daemon: &LeadSettings, key: &str) {
    start_ready(daemon).await;
    wait_until_answered(daemon, key, "READY", WAIT_TIMEOUT).await;
}

/// Starts a site with a configuration of version 2 that has a key, and a daemon that takes sessions with it.
async fn site_with_daemon(key: &str, last: u8) -> (LineGroup, LineStore, LeadSettings) {
    let site = start_line_site(DATABASE, SERVICE).await;
    let (group, store) = site.expect("servers and a store");
    write_config(&store, 2, key);
    let daemon = settings("vm-1", last, store.address());
    start_daemon(&daemon, key).await;
    (group, store, daemon)
}

/// Opens a session with a key and returns the daemon's answer.
async fn open(daemon: &LeadSettings, key: &str) -> (LineSession, String) {
    let session = LineSession::connect(daemon.clients).await;
    let mut session = session.expect("a connection");
    let opening = format!("START {DATABASE} {key}");
    session.send(&opening).await.expect("sent");
    let answer = tokio::time::timeout(WAIT_TIMEOUT, session.line()).await;
    let answer = answer.expect("in time").expect("a line");
    (session, answer)
}

/// Waits until a session with a key gets an answer that starts with a text.
async fn wait_until_answered(daemon: &LeadSettings, key: &str, expected: &str, bound: Duration) {
    let until = Instant::now() + bound;
    loop {
        let (_, answer) = open(daemon, key).await;
        if answer.starts_with(expected) {
            return;
        }
        assert!(Instant::now() < until, "`{answer}` after {bound:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a key that stays valid at a daemon which the store does not answer, and against a
/// key just added that is refused for good there.
#[tokio::test]
async fn daemon_without_the_store_follows_the_keys_of_another_one() {
    let site = start_line_site(DATABASE, SERVICE).await;
    let (_group, store) = site.expect("servers and a store");
    write_config(&store, 2, "old-key");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = Link::start(listen, store.address()).await;
    let link = link.expect("a link to the store");
    let daemons = [
        settings("vm-1", 1, store.address()),
        settings("vm-2", 2, link.address()),
    ];
    for daemon in &daemons {
        start_daemon(daemon, "old-key").await;
    }
    // The daemons learn of each other's rows.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (mut session, opened) = open(&daemons[1], "old-key").await;
    assert_eq!(opened, "READY I -");
    link.cut(Ipv4Addr::LOCALHOST.into());
    link.reset();
    write_config(&store, 3, "new-key");
    let began = Instant::now();
    let closed = tokio::time::timeout(REVOCATION_BOUND, session.line()).await;
    assert!(closed.expect("closed in time").is_err(), "the session ends");
    let left = REVOCATION_BOUND.saturating_sub(began.elapsed());
    wait_until_answered(&daemons[1], "new-key", "READY", left).await;
    let (_, refused) = open(&daemons[1], "old-key").await;
    assert!(refused.starts_with("ERROR"), "{refused}");
}

/// Guards against a daemon that stays at an earlier configuration: of several that one answer of the
/// store brings, the newest that can be decoded counts. Other rows of the table change nothing.
#[tokio::test]
async fn daemon_takes_the_newest_of_several_configurations() {
    let (_group, store, daemon) = site_with_daemon("key-2", 3).await;
    let versions = [3, 4, 5].map(|n| config(n, &format!("key-{n}")));
    store.put_each("op", "config", &versions.each_ref().map(String::as_bytes));
    wait_until_answered(&daemon, "key-5", "READY", REVOCATION_BOUND).await;
    let (_, refused) = open(&daemon, "key-3").await;
    assert!(refused.starts_with("ERROR"), "{refused}");
    store.put("op", "note", b"of the operator");
    let sixth = config(6, "key-6");
    store.put_each("op", "config", &[sixth.as_bytes(), b"{\"version\":"]);
    wait_until_answered(&daemon, "key-6", "READY", REVOCATION_BOUND).await;
}

/// Guards against a daemon that lets everybody in once the configuration names no account any more, also one
/// that starts then (review/14).
#[tokio::test]
async fn removal_of_the_last_account_lets_nobody_in() {
    let (_group, store, daemon) = site_with_daemon("last-key", 4).await;
    let config = line_configuration(3, DATABASE, SERVICE);
    let without_accounts = config.replacen('{', r#"{"tenants":[],"#, 1);
    store.put("op", "config", without_accounts.as_bytes());
    wait_until_answered(&daemon, "last-key", "ERROR NOAUTH", REVOCATION_BOUND).await;
    wait_until_answered(&daemon, "unknown-key", "ERROR NOAUTH", REVOCATION_BOUND).await;
    let later = settings("vm-2", 5, store.address());
    start_ready(&later).await;
    let (_, refused) = open(&later, "unknown-key").await;
    assert!(refused.starts_with("ERROR"), "{refused}");
}
