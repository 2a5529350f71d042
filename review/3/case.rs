//! The configuration changes three times while a daemon is frozen.

#[path = "../common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::time::Duration;

use common::daemons::{wait_for_daemons, Client, Daemon, SIGCONT, SIGSTOP};
use common::members::{wait_until, Group, GroupSettings};
use common::record::Record;
use common::store::Store;
use common::{configuration, has_trouble, Folder, Route};

/// The time from the end of the freeze to the statement: `settle_window_ms` 4,000 and
/// `config_apply_ms` 3,000, and a margin.
const LATER: Duration = Duration::from_millis(8_000);

/// The time between two versions of the configuration.
const GAP_MS: u64 = 450;

/// How long ago the daemon has begun to wait for a change when it is frozen.
const JUST_NOW: Duration = Duration::from_millis(50);

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

/// Returns the configuration of a version, with the service of the database and its timeout.
fn version(number: u64, service: &'static str, timeout_ms: u64) -> String {
    let routes = [Route {
        database: "lepu270", service, kind: "primary",
        timeout_ms, target_ms: 100, staleness_ms: 0,
    }];
    configuration(number, &routes, &[("huvo11a", 16), ("kafi81c", 16)])
}

/// Returns whether the rule was broken.
fn run() -> std::io::Result<bool> {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()))?;
    let folder = Folder::create("3")?;
    let store = Store::new(record.clone());
    store.put("op", "config", &version(7, "huvo11a", 800));
    let start = |service| {
        let settings = GroupSettings {
            service, slots: 2, connections: 16, work: Duration::from_millis(3),
            promote: Duration::from_millis(300), sync_replicas: 0,
        };
        Group::start(settings, &["a", "b", "c"], &store, &record)
    };
    let (old, new) = (start("huvo11a")?, start("kafi81c")?);
    let mut daemons = Vec::new();
    for zone in ["a", "b", "c"] {
        daemons.push(Daemon::start(&format!("vm-{zone}"), zone, &store, &folder.0, &record)?);
    }
    wait_for_daemons(&daemons, &record)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut client = Client::open("c1", daemons[1].callers, "lepu270", &record)?;
    let (_, answer) = client.ask("WRITE 1a4 before")?;
    record.say(&format!("a write before: {}", answer.end));
    drop(client);
    if has_trouble() {
        // The daemon has just begun to wait for a change, so that its call has not run out of time when
        // it wakes. After a call that has, it reads the whole configuration.
        let is_fresh = || store.watches.lock().unwrap().get("vm-b").is_some_and(|at| at.elapsed() < JUST_NOW);
        if !wait_until(Duration::from_secs(10), is_fresh) {
            return Err(std::io::Error::other("the daemon does not watch the configuration"));
        }
        std::thread::sleep(Duration::from_millis(50));
        record.say("the daemon vm-b is frozen");
        daemons[1].signal(SIGSTOP);
    }
    for (number, service, timeout_ms) in [(8, "huvo11a", 810), (9, "huvo11a", 820), (11, "kafi81c", 820)] {
        std::thread::sleep(Duration::from_millis(GAP_MS));
        store.put("op", "config", &version(number, service, timeout_ms));
        record.line(&format!("store: version {number} of the configuration, the database leads to {service}"));
    }
    std::thread::sleep(Duration::from_millis(GAP_MS));
    if has_trouble() {
        record.say("the daemon vm-b wakes");
        daemons[1].signal(SIGCONT);
    }
    std::thread::sleep(LATER);
    let mut client = Client::open("c2", daemons[1].callers, "lepu270", &record)?;
    let (id, answer) = client.ask("WRITE 1a4 after")?;
    let in_old = old.runs().iter().any(|run| run.id == id);
    let in_new = new.runs().iter().any(|run| run.id == id);
    record.say(&format!("a write {} ms later: {}, run by the old service: {in_old}, by the new one: {in_new}", LATER.as_millis(), answer.end));
    if in_old {
        record.say("CONFIG: the old service ran a request that was sent over 8 s after the acknowledgement of the version that moved the database");
    }
    Ok(in_old)
}
