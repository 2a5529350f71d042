//! The primary of a service with `sync_replicas` crashes while the only replica that has all of its
//! commits is draining.

#[path = "../common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::time::Duration;

use common::daemons::{Client, Daemon, wait_for_daemons};
use common::members::{wait_until, Group, GroupSettings};
use common::record::Record;
use common::store::Store;
use common::{configuration_with_sync, has_trouble, Folder, Route};

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
    let folder = Folder::create("4")?;
    let store = Store::new(record.clone());
    let routes = [Route {
        database: "lepu270", service: "huvo11a", kind: "primary",
        timeout_ms: 800, target_ms: 100, staleness_ms: 0,
    }];
    store.put("op", "config", &configuration_with_sync(7, &routes, &[("huvo11a", 16)], 1));
    let settings = GroupSettings {
        service: "huvo11a", slots: 2, connections: 16,
        work: Duration::from_millis(3), promote: Duration::from_millis(300), sync_replicas: 1,
    };
    let group = Group::start(settings, &["a", "b", "c"], &store, &record)?;
    let mut daemons = Vec::new();
    for zone in ["a", "b", "c"] {
        daemons.push(Daemon::start(&format!("vm-{zone}"), zone, &store, &folder.0, &record)?);
    }
    wait_for_daemons(&daemons, &record)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut client = Client::open("c1", daemons[1].callers, "lepu270", &record)?;
    // Planned work: one replica is about to be replaced. It goes on for `drain_ms` and longer.
    group.drain(2);
    std::thread::sleep(Duration::from_millis(2_500));
    if has_trouble() {
        group.deafen(1);
    }
    // Writes for two seconds; an answer is a success if the commit is acknowledged.
    let mut acknowledged = Vec::new();
    for n in 0..40 {
        let data = format!("paid-{n}");
        let (_, answer) = client.ask(&format!("WRITE {n:x} {data}"))?;
        if answer.is_success() {
            acknowledged.push((format!("{n:x}"), data));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("{} writes were acknowledged", acknowledged.len()));
    if has_trouble() {
        group.crash(0);
        if !wait_until(Duration::from_secs(7), || !group.promotes().is_empty()) {
            record.say("no promote took effect within 7 s");
        }
    }
    let log = group.log();
    let lost: Vec<_> = acknowledged.iter().filter(|entry| !log.contains(entry)).collect();
    if !group.promotes().is_empty() && !lost.is_empty() {
        record.say(&format!("LOST: the promoted member lacks {} of {} acknowledged commits", lost.len(), acknowledged.len()));
        return Ok(true);
    }
    Ok(false)
}
