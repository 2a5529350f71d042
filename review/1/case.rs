//! A daemon that gets a grant from the coordinator before it has ended its work at the replaced primary.

#[path = "../common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::daemons::{Client, Daemon, wait_for_daemons};
use common::json::{decode_base64, Json};
use common::members::{wait_until, Group, GroupSettings};
use common::record::Record;
use common::store::{Store, Treatment};
use common::{configuration, has_trouble, Folder, Route};

/// The clients, each with one transaction.
const CLIENTS: usize = 14;

/// The pause between two statements of a transaction.
const STATEMENT_PAUSE: Duration = Duration::from_millis(300);

/// How long after the promote has taken effect the store serves the daemon again.
const BACK_AFTER: Duration = Duration::from_millis(50);

/// The pause between the commits of two clients.
const COMMIT_SPACING: Duration = Duration::from_millis(45);

/// The longest pause between two renewals that the store rejects.
const RENEWAL_MAX: Duration = Duration::from_millis(400);

/// The longest time for which the store may turn the daemon away.
const AWAY_MAX: Duration = Duration::from_millis(8_500);

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
    let folder = Folder::create("1")?;
    let store = Store::new(record.clone());
    let routes = [Route {
        database: "lepu270", service: "huvo11a", kind: "primary",
        timeout_ms: 800, target_ms: 200, staleness_ms: 0,
    }];
    store.put("op", "config", &configuration(7, &routes, &[("huvo11a", 30)]));
    let settings = GroupSettings {
        service: "huvo11a", slots: 2, connections: 30,
        work: Duration::from_millis(3), promote: Duration::from_millis(1_000), sync_replicas: 0,
    };
    let group = Group::start(settings, &["a", "b", "c"], &store, &record)?;
    let mut daemons = Vec::new();
    for (n, zone) in ["a", "b", "c", "a", "b", "c"].into_iter().enumerate() {
        daemons.push(Daemon::start(&format!("vm-{zone}{n}"), zone, &store, &folder.0, &record)?);
    }
    wait_for_daemons(&daemons, &record)?;
    // The role of the coordinator moves to a zone without a primary within some seconds.
    let holder = || {
        let duty = store.value("sapphireslip-leads", "sapphireslip", "duty").unwrap_or_default();
        let duty = String::from_utf8_lossy(&decode_base64(&duty)).into_owned();
        Json::parse(&duty).get("holder").text().to_owned()
    };
    let has_moved = || !holder().is_empty() && !holder().contains("-a");
    if !wait_until(Duration::from_secs(25), has_moved) {
        return Err(std::io::Error::other("no coordinator outside of the primary's zone"));
    }
    std::thread::sleep(Duration::from_secs(1));
    let coordinator = holder();

    // The clients of another zone. Their sessions are served by that zone's home of the service, which
    // is the daemon of the zone that renews its permission often.
    let zone = if coordinator.contains("-b") { "-c" } else { "-b" };
    let entry = daemons.iter().find(|daemon| daemon.name.contains(zone)).unwrap();
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        clients.push(Client::open(&format!("c{n}"), entry.callers, "lepu270", &record)?);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    // Count the renewals of the zone's daemons.
    let counts = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    {
        let counts = Arc::clone(&counts);
        store.set_treatment(Box::new(move |daemon, _| {
            *counts.lock().unwrap().entry(daemon.to_owned()).or_default() += 1;
            Treatment::Answer
        }));
    }
    std::thread::sleep(Duration::from_millis(2_500));
    let home = {
        let counts = counts.lock().unwrap();
        let of_zone = counts.iter().filter(|(name, _)| name.contains(zone));
        of_zone.max_by_key(|(_, count)| **count).map(|(name, _)| name.clone())
    };
    let home = home.ok_or_else(|| std::io::Error::other("no daemon of the zone renews its permission"))?;
    record.say(&format!("the coordinator is {coordinator}, the sessions are served by {home}"));

    // Each client begins a transaction and writes, and goes on with reads.
    for client in &mut clients {
        let (_, begun) = client.ask("BEGIN")?;
        let (_, written) = client.ask(&format!("WRITE {0} paid-{0}", client.name))?;
        if !begun.is_success() || !written.is_success() {
            return Err(std::io::Error::other(format!("no transaction began: {written:?}")));
        }
    }
    // The disruption: the store turns the daemon away.
    let away = Instant::now();
    if has_trouble() {
        store.turn_away(Some(&home));
    }
    // Planned work, in both runs: the primary is to be replaced.
    std::thread::sleep(STATEMENT_PAUSE);
    group.drain(0);
    while group.promotes().is_empty() && away.elapsed() < AWAY_MAX {
        let next = Instant::now() + STATEMENT_PAUSE;
        for client in &mut clients {
            client.ask(&format!("READ {}", client.name))?;
        }
        wait_until(next.saturating_duration_since(Instant::now()), || !group.promotes().is_empty());
    }
    let Some(promoted) = group.promotes().first().copied() else {
        return Err(std::io::Error::other("no promote took effect"));
    };
    std::thread::sleep(BACK_AFTER);
    if has_trouble() {
        // It serves the daemon again between two of its renewals, so that the daemon learns of the new
        // leader before it renews its permission. A renewal that came first would be refused.
        let before = store.rejected_writes.load(Ordering::Relaxed);
        wait_until(RENEWAL_MAX, || store.rejected_writes.load(Ordering::Relaxed) > before);
        std::thread::sleep(Duration::from_millis(5));
    }
    store.turn_away(None);
    record.say(&format!("the store turned {home} away for {} ms", away.elapsed().as_millis()));
    let mut commits = Vec::new();
    for client in &mut clients {
        std::thread::sleep(COMMIT_SPACING);
        commits.push((client.name.clone(), client.ask("COMMIT")?));
    }
    std::thread::sleep(Duration::from_secs(2));
    let runs = group.runs();
    let log = group.log();
    let mut broken = 0;
    for (name, (id, answer)) in &commits {
        let Some(run) = runs.iter().find(|run| run.id == *id).filter(|_| answer.is_success()) else {
            continue;
        };
        let is_kept = log.iter().any(|(item, _)| item == name);
        if run.is_superseded {
            broken += 1;
            record.say(&format!(
                "ONE: {id} was committed at {}, {:.0} ms after the promote of another member took effect, and acknowledged as {}; the present primary {} it",
                run.member, run.at_ms - promoted, answer.end, if is_kept { "holds" } else { "lacks" },
            ));
        }
    }
    let acknowledged = commits.iter().filter(|(_, (_, answer))| answer.is_success()).count();
    record.say(&format!("{acknowledged} of {CLIENTS} commits were acknowledged, {broken} of them at a replaced primary"));
    Ok(broken > 0)
}
