//! Tests of a daemon that takes its leaders from the store, as a process: settings, log and
//! signals.

use std::net::Ipv4Addr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use standins::{LineSession, line_settings, start_line_site};
use tempfile::TempDir;

/// How long a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a stop may take: `drain_bound` in the settings.
const DRAIN_BOUND: Duration = Duration::from_secs(6);

/// The number of statements whose log lines fill the pipe of an unread output several times over.
const STATEMENTS: usize = 1_500;

/// The number of sessions that are open when a daemon is asked to stop.
const SESSIONS: usize = 100;

/// How long sessions are idle before the stop: longer than a daemon takes for a client's pause.
const IDLE_TIME: Duration = Duration::from_millis(400);

/// How long daemons that start together take to discover each other: two reads of the permissions.
const DISCOVERY_TIME: Duration = Duration::from_millis(4_200);

/// The number of sessions whose clients never pause.
const BUSY_SESSIONS: usize = 10;

/// Starts a daemon with the settings; nobody reads its output.
fn start(folder: &TempDir, text: &str) -> Child {
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, text).expect("written");
    Command::new(env!("CARGO_BIN_EXE_sapphireslipd"))
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a process")
}

/// Sends a signal to a process.
fn signal(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).expect("a process identifier");
    kill_process(Pid::from_raw(pid).expect("not zero"), signal).expect("sent");
}

/// Runs statements on one session until the given number has been answered.
async fn run(ip: Ipv4Addr, statements: usize) -> std::io::Result<()> {
    let mut session = LineSession::connect((ip, 5432).into()).await?;
    session.send("START fees till").await?;
    let mut answered = 0;
    let mut n = 0;
    while answered < statements {
        let line = session.line().await?;
        answered += usize::from(line.starts_with("COMPLETE"));
        if line.starts_with("READY") {
            n += 1;
            session.send(&format!("QUERY q{n} READ x")).await?;
        }
    }
    Ok(())
}

/// Waits until the daemon at an address serves statements.
async fn wait_until_served(ip: Ipv4Addr) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while run(ip, 1).await.is_err() {
        assert!(Instant::now() < until, "the daemon did not serve in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn unread_log_blocks_no_statement_and_signals_are_handled() {
    let site = start_line_site("fees", "ledger").await;
    let (_group, store) = site.expect("servers and a store");
    let [.., low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 79, low, 1);
    let folder = TempDir::new().expect("a folder");
    let settings = line_settings("vm-1", ip, store.address());
    let mut daemon = start(&folder, &format!("log_level = \"trace\"\n{settings}"));
    wait_until_served(ip).await;
    let ran = tokio::time::timeout(WAIT_TIMEOUT, run(ip, STATEMENTS)).await;
    ran.expect("the unread log blocks no statement")
        .expect("all answered");
    signal(&daemon, Signal::HUP);
    run(ip, 1).await.expect("SIGHUP ends no session");
    signal(&daemon, Signal::TERM);
    let until = Instant::now() + DRAIN_BOUND;
    let status = loop {
        if let Some(status) = daemon.try_wait().expect("a process") {
            break status;
        }
        assert!(Instant::now() < until, "the daemon did not stop in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(status.success(), "{status}");
}

/// Statements that have arrived when a planned stop closes their idle sessions are answered.
#[tokio::test]
async fn statements_that_arrive_with_the_request_to_stop_are_answered() {
    let site = start_line_site("fees", "ledger").await;
    let (_group, store) = site.expect("servers and a store");
    let [.., low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 79, low, 2);
    let folder = TempDir::new().expect("a folder");
    let mut daemon = start(&folder, &line_settings("vm-1", ip, store.address()));
    wait_until_served(ip).await;
    let mut sessions = Vec::new();
    for _ in 0..SESSIONS {
        let mut session = LineSession::connect((ip, 5432).into()).await.expect("open");
        session.send("START fees till").await.expect("sent");
        assert_eq!(session.line().await.expect("a line"), "READY I -");
        sessions.push(session);
    }
    tokio::time::sleep(IDLE_TIME).await;
    signal(&daemon, Signal::STOP);
    signal(&daemon, Signal::TERM);
    for session in &mut sessions {
        session.send("QUERY q1 READ x").await.expect("sent");
    }
    signal(&daemon, Signal::CONT);
    for session in &mut sessions {
        let line = session.line().await.expect("an answer");
        let is_answer = line.starts_with("ROW") || line.starts_with("COMPLETE");
        assert!(is_answer || line.starts_with("ERROR BUSY"), "{line}");
    }
    drop(sessions);
    let ended = daemon.wait().expect("a process");
    assert!(ended.success(), "{ended}");
}

/// Runs statements on one session, each at once after the answer to the one before, until one is refused;
/// returns an error if the connection ends while a statement is unanswered.
async fn run_until_refused(mut session: LineSession) -> std::io::Result<String> {
    for n in 0.. {
        session.send(&format!("QUERY q{n} READ x")).await?;
        loop {
            let line = session.line().await?;
            if line.starts_with("ERROR") {
                return Ok(line);
            }
            if line.starts_with("READY") {
                break;
            }
        }
    }
    unreachable!("a statement is refused before their numbers end")
}

/// Guards against statements that a planned stop cuts off because their clients never pause, at the
/// daemon that serves the sessions and at one that forwards them.
#[rstest]
#[tokio::test]
async fn stop_answers_clients_that_never_pause(#[values(1, 2)] stopped: u8) {
    let site = start_line_site("fees", "ledger").await;
    let (_group, store) = site.expect("servers and a store");
    let [.., low] = std::process::id().to_be_bytes();
    let ip = |n: u8| Ipv4Addr::new(127, 79, low, 10 * stopped + n);
    let folders = [1, 2].map(|_| TempDir::new().expect("a folder"));
    let mut daemons = Vec::new();
    for (n, folder) in (1..).zip(&folders) {
        let settings = line_settings(&format!("vm-{n}"), ip(n), store.address());
        daemons.push(start(folder, &settings));
    }
    wait_until_served(ip(1)).await;
    wait_until_served(ip(2)).await;
    tokio::time::sleep(DISCOVERY_TIME).await;
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..BUSY_SESSIONS {
        let session = LineSession::open((ip(stopped), 5432).into(), "fees").await;
        clients.spawn(run_until_refused(session.expect("a session")));
    }
    tokio::time::sleep(IDLE_TIME).await;
    let daemon = &mut daemons[usize::from(stopped) - 1];
    signal(daemon, Signal::TERM);
    while let Some(ended) = clients.join_next().await {
        let refusal = ended.expect("no panic").expect("no statement is cut off");
        assert!(refusal.starts_with("ERROR BUSY"), "{refusal}");
    }
    assert!(daemon.wait().expect("a process").success());
    for daemon in &mut daemons {
        // Fails for the one that has ended.
        let _ended = daemon.kill();
        daemon.wait().expect("a process");
    }
}

#[test]
fn check_names_all_invalid_settings() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("settings.toml");
    let text = "vm = \"VM 1\"\nzone = \"a\"\ncallers = \"here\"\n[store]\nadress = \"x\"\n";
    std::fs::write(&path, text).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_sapphireslipd"))
        .arg("--check")
        .arg(&path)
        .output()
        .expect("a process");
    assert_eq!(output.status.code(), Some(2));
    let faults = String::from_utf8(output.stderr).expect("text");
    for key in [
        "vm",
        "callers",
        "peers",
        "readiness",
        "metrics",
        "store.adress",
        "promotion",
    ] {
        assert!(faults.contains(key), "`{key}` is missing from:\n{faults}");
    }
    let missing =
        "promotion.address: is missing: give an IP address and a port, such as `10.0.0.1:443`";
    assert!(faults.contains(missing), "{faults}");
}
