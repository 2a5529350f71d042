//! A planned stop while clients send one statement after the other.

#[path = "../common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::daemons::{Client, Daemon, SIGTERM, wait_for_daemons};
use common::members::{wait_until, Group, GroupSettings};
use common::record::Record;
use common::store::Store;
use common::{configuration, has_trouble, Folder, Route};

/// `grace_s`.
const GRACE_MS: f64 = 6_000.0;

/// The clients of the daemon that is stopped. Each sends its next statement when it has the answer to
/// the one before.
const CLIENTS: usize = 10;

/// A statement that was sent and whose connection ended without a complete answer.
struct Unanswered {
    id: String,
    sent_ms: f64,
    ended_ms: f64,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            println!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule was broken.
fn run() -> std::io::Result<bool> {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()))?;
    let folder = Folder::create("5")?;
    let store = Store::new(record.clone());
    let routes = [Route {
        database: "xapu221ny95", service: "huvo11a", kind: "bounded_staleness",
        timeout_ms: 1_200, target_ms: 300, staleness_ms: 1_500,
    }];
    store.put("op", "config", &configuration(7, &routes, &[("huvo11a", 16)]));
    let settings = GroupSettings {
        service: "huvo11a", slots: 2, connections: 16,
        work: Duration::from_millis(90), promote: Duration::from_millis(300), sync_replicas: 0,
    };
    let group = Group::start(settings, &["a", "b", "c"], &store, &record)?;
    let mut daemons = Vec::new();
    for zone in ["a", "b", "c"] {
        daemons.push(Daemon::start(&format!("vm-{zone}"), zone, &store, &folder.0, &record)?);
    }
    wait_for_daemons(&daemons, &record)?;
    std::thread::sleep(Duration::from_secs(2));
    let (first, other) = (daemons[1].callers, daemons[2].callers);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for n in 0..CLIENTS {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        workers.push(std::thread::spawn(move || {
            let mut unanswered = Vec::new();
            let mut answered = 0;
            let mut sessions = 0;
            while !is_over.load(Ordering::Relaxed) {
                sessions += 1;
                let to = if sessions == 1 { first } else { other };
                let name = format!("c{n}.{sessions}");
                let Ok(mut client) = Client::open(&name, to, "xapu221ny95", &record) else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                while !is_over.load(Ordering::Relaxed) {
                    let sent_ms = record.now();
                    let Ok(id) = client.send("READ 1a4") else { break };
                    if client.answer().is_err() {
                        unanswered.push(Unanswered { id, sent_ms, ended_ms: record.now() });
                        break;
                    }
                    answered += 1;
                }
            }
            (unanswered, answered)
        }));
    }
    std::thread::sleep(Duration::from_secs(3));
    let stopped_ms = record.now();
    if has_trouble() {
        record.say("the daemon vm-b gets SIGTERM");
        daemons[1].signal(SIGTERM);
    }
    let stopped = &mut daemons[1];
    let has_ended = wait_until(Duration::from_millis(GRACE_MS as u64), || stopped.has_ended());
    if has_ended {
        record.say(&format!("the daemon vm-b ended {:.0} ms after SIGTERM", record.now() - stopped_ms));
    }
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    let (mut unanswered, mut answered) = (Vec::new(), 0);
    for worker in workers {
        let (some, count) = worker.join().unwrap();
        unanswered.extend(some);
        answered += count;
    }
    std::thread::sleep(Duration::from_millis(300));
    let runs = group.runs();
    let mut broken = 0;
    for Unanswered { id, sent_ms, ended_ms } in &unanswered {
        let Some(run) = runs.iter().find(|run| run.id == *id) else {
            record.say(&format!("{id} has no answer and was run by no member: not counted"));
            continue;
        };
        let after = sent_ms - stopped_ms;
        let excuse = match () {
            () if !has_trouble() || after < 0.0 => "sent before the stop",
            () if ended_ms - stopped_ms > GRACE_MS + 1_000.0 => "later than 1 s after the grace time",
            () if after <= 3_000.0 => "sent within 3 s after SIGTERM and at work at the end",
            () if ended_ms - sent_ms >= 1_200.0 => "the route's timeout was reached",
            () => "",
        };
        if excuse.is_empty() {
            broken += 1;
            record.say(&format!(
                "LOST: {id}, sent {after:.0} ms after SIGTERM, was passed on to {}, and the connection ended {:.0} ms later without an answer",
                run.member, ended_ms - sent_ms,
            ));
        } else {
            record.say(&format!("{id} has no answer: not counted, {excuse}"));
        }
    }
    record.say(&format!("{answered} statements were answered, {broken} lost"));
    Ok(broken > 0)
}
