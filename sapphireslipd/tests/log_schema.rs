//! Compares docs/LOG.md with the log lines that a daemon writes.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::process::{Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use sapphireslip_lead::RecordKind;
use sapphireslipd::STATEMENT_TARGET;
use serde_json::Value;
use standins::{LineSession, line_settings, start_line_site, wait_for};
use tempfile::TempDir;

const LOG_PAGE: &str = include_str!("../../docs/LOG.md");

/// The event of the line that says how many lines were dropped; it is no decision.
const LEFT_OUT: &str = "lines_left_out";

/// How long a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The fields of a decision that are numbers.
const NUMBERS: [&str; 2] = ["session", "time"];
/// The fields of a decision that are strings.
const TEXTS: [&str; 8] = [
    "event", "level", "message", "request", "server", "service", "target", "vm",
];

/// Returns the events that the page describes, each with its example.
fn examples() -> Vec<(&'static str, Value)> {
    let sections = LOG_PAGE.split("\n### `").skip(1);
    let example = |section: &'static str| {
        let (event, rest) = section.split_once('`')?;
        let (_, rest) = rest.split_once("```json\n")?;
        let (line, _) = rest.split_once("\n```")?;
        Some((event, serde_json::from_str(line).expect("a line of JSON")))
    };
    sections
        .map(|section| example(section).expect("an example"))
        .collect()
}

/// Checks that a line has exactly the fields of a decision, with the right types and target.
fn assert_decision(line: &Value) {
    let fields = line.as_object().expect("an object");
    let found: BTreeSet<&str> = fields.keys().map(String::as_str).collect();
    let expected: BTreeSet<&str> = NUMBERS.into_iter().chain(TEXTS).collect();
    assert_eq!(found, expected, "{line}");
    assert!(
        NUMBERS.iter().all(|name| fields[*name].is_number()),
        "{line}"
    );
    assert!(TEXTS.iter().all(|name| fields[*name].is_string()), "{line}");
    let kind = RecordKind::ALL
        .into_iter()
        .find(|kind| line["event"] == kind.name());
    let kind = kind.expect("a known kind");
    let is_statement = line["target"] == STATEMENT_TARGET;
    assert_eq!(is_statement, kind.is_about_statement(), "{line}");
}

#[test]
fn page_describes_each_kind_once() {
    let described: Vec<&str> = examples().into_iter().map(|(event, _)| event).collect();
    let mut written: Vec<&str> = RecordKind::ALL.map(RecordKind::name).to_vec();
    written.push(LEFT_OUT);
    let sorted = |mut names: Vec<&'static str>| {
        names.sort_unstable();
        names
    };
    assert_eq!(sorted(described), sorted(written));
}

#[test]
fn examples_have_the_fields() {
    for (event, line) in examples() {
        assert_eq!(line["event"], event);
        if event == LEFT_OUT {
            let fields: Vec<&String> = line.as_object().expect("an object").keys().collect();
            assert_eq!(fields, ["count", "event", "level", "time", "vm"]);
        } else {
            assert_decision(&line);
        }
    }
}

/// Runs one statement on a session of its own; none if it fails.
async fn run(ip: Ipv4Addr) -> Option<()> {
    let mut session = LineSession::connect((ip, 5432).into()).await.ok()?;
    let opening = b"START fees till\r\nQUERY q1 READ x\r\n";
    session.send_bytes(opening).await.ok()?;
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

#[tokio::test]
async fn written_lines_have_the_fields() {
    let site = start_line_site("fees", "ledger").await;
    let (_group, store) = site.expect("servers and a store");
    let [.., low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 81, low, 1);
    let settings = line_settings("vm-1", ip, store.address());
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, settings).expect("written");
    let daemon = Command::new(env!("CARGO_BIN_EXE_sapphireslipd"))
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let answered = wait_for("an answer", WAIT_TIMEOUT, async || run(ip).await).await;
    let pid = Pid::from_raw(i32::try_from(daemon.id()).expect("a process identifier"));
    kill_process(pid.expect("not zero"), Signal::TERM).expect("sent");
    // The stand-ins run on this thread, so it must not block until the daemon has exited.
    let output = tokio::task::spawn_blocking(move || daemon.wait_with_output());
    let output = output
        .await
        .expect("no panic")
        .expect("the daemon's output");
    answered.expect("an answered statement");
    let log = String::from_utf8(output.stdout).expect("text");
    let lines = log
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"));
    let decisions: Vec<Value> = lines
        .filter(|line: &Value| line.get("event").is_some())
        .collect();
    decisions.iter().for_each(assert_decision);
    let is_written = |kind: &RecordKind| decisions.iter().any(|line| line["event"] == kind.name());
    let expected = [
        RecordKind::RequestSent,
        RecordKind::RequestAnswered,
        RecordKind::Drain,
    ];
    assert!(expected.iter().all(is_written), "{log}");
}
