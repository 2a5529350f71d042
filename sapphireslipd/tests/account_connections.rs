//! A daemon process gives each client account connections of its own to the stand-in servers.

use std::net::Ipv4Addr;
use std::process::{Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::{LineSession, line_configuration, line_settings, start_line_site, wait_for};
use tempfile::TempDir;

/// How long a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs one statement on a session with a key; none if it fails.
async fn run(ip: Ipv4Addr, key: &str) -> Option<()> {
    let mut session = LineSession::connect((ip, 5432).into()).await.ok()?;
    let opening = format!("START fees {key}\r\nQUERY q1 READ x\r\n");
    session.send_bytes(opening.as_bytes()).await.ok()?;
    loop {
        let line = session.line().await.ok()?;
        if line.starts_with("COMPLETE") {
            return Some(());
        }
        if line.starts_with("ERROR") {
            return None;
        }
    }
}

/// Returns a configuration with five accounts, for servers that accept two connections each.
fn configuration() -> String {
    let text = line_configuration(2, "fees", "ledger");
    let mut configuration: Value = serde_json::from_str(&text).expect("JSON");
    let tenant = |n| json!({"name": format!("mill-{n}"), "api_keys": [format!("key-{n}")]});
    configuration["tenants"] = (1..=5).map(tenant).collect();
    configuration["services"][0]["max_connections"] = json!(2);
    configuration.to_string()
}

/// Guards against accounts that are refused while connections of others are idle, and against keys
/// in the log.
#[tokio::test]
async fn accounts_take_turns_on_two_connections() {
    let site = start_line_site("fees", "ledger").await;
    let (group, store) = site.expect("servers and a store");
    store.put("op", "config", configuration().as_bytes());
    let [.., low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 86, low, 1);
    let settings = line_settings("vm-1", ip, store.address());
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, settings).expect("written");
    let daemon = Command::new(env!("CARGO_BIN_EXE_sapphireslipd"))
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let ready = wait_for("an answer", WAIT_TIMEOUT, async || run(ip, "key-1").await).await;
    let mut refused = Vec::new();
    for n in [2, 3, 4, 5, 1, 2, 3, 4, 5] {
        if run(ip, &format!("key-{n}")).await.is_none() {
            refused.push(n);
        }
    }
    let pid = Pid::from_raw(i32::try_from(daemon.id()).expect("a process identifier"));
    kill_process(pid.expect("not zero"), Signal::TERM).expect("sent");
    // The stand-ins run on this thread, so it must not block until the daemon has exited.
    let output = tokio::task::spawn_blocking(move || daemon.wait_with_output());
    let output = output
        .await
        .expect("no panic")
        .expect("the daemon's output");
    let log = String::from_utf8(output.stdout).expect("text");
    assert!(ready.is_ok(), "no statement was answered: {log}");
    assert!(refused.is_empty(), "refused {refused:?}: {log}");
    let clients: Vec<String> = group.clients().into_iter().collect();
    let expected = [
        "mill-1",
        "mill-2",
        "mill-3",
        "mill-4",
        "mill-5",
        "sapphireslip",
    ];
    assert_eq!(clients, expected);
    assert!(log.contains("makes room for `mill-5`"), "{log}");
    assert!(!log.contains("key-"), "{log}");
}
