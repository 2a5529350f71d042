//! The one daemon of a zone that reads the store for the others is cut off from it, and the
//! configuration changes. The zone's other daemon is in touch with the store all the while.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Temp;
use crate::fleet::{CONFIG_APPLY_MS, Daemon, Net, Record, SETTLE_MS, Session, choose};
use crate::members::Group;
use crate::store::{Gate, Store};

const SERVICE: &str = "ledger";

/// How long the daemon is cut off from the store, and how soon after that the configuration changes.
const CUT: Duration = Duration::from_millis(5_500);
const CHANGE_AFTER: Duration = Duration::from_millis(50);

/// How often the cut and the change are repeated.
const ROUNDS: u64 = 8;

/// How long after the acknowledgement the added database is asked for.
const ASKED_FOR: Duration = Duration::from_millis(4_500);

/// Runs the case; returns whether the rule was broken, or none if the case could not run.
pub fn run(trouble: bool, folder: &Path, temp: &Temp) -> Option<bool> {
    let record = Record::new();
    let store = Store::new();
    let group = Group::start(SERVICE, &["a", "b", "c"], 1, &store);
    store.put("op", "config", &configuration(1));
    let net = Net::free();
    let machines = [("a", 1), ("a", 2), ("b", 1), ("c", 1)];
    let daemons: Vec<Arc<Daemon>> = machines
        .iter()
        .enumerate()
        .map(|(n, (zone, number))| {
            let name = format!("frontend-{zone}-{number}");
            Daemon::start(&net, n as u8 + 1, &name, zone, &store, &group, temp.path())
        })
        .collect();
    let broken = play(trouble, &record, &store, &daemons);
    for daemon in &daemons {
        daemon.kill();
    }
    record.write(&folder.join("record.txt"));
    broken
}

/// Returns the configuration of a version: one database more with each.
fn configuration(version: u64) -> String {
    let routes: Vec<String> = (1..=version)
        .map(|n| {
            format!(
                "{{\"name\":\"r-{n}\",\"database_name\":\"db{n}\",\"prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":16,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}}}",
        routes.join(",")
    )
}

fn play(trouble: bool, record: &Record, store: &Store, daemons: &[Arc<Daemon>]) -> Option<bool> {
    let until = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(|d| d.in_rotation()) {
        if Instant::now() > until {
            record.say("the daemons did not become ready");
            return None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say("all daemons are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    for n in 0..6 {
        let (daemons, is_over) = (daemons.to_vec(), is_over.clone());
        std::thread::spawn(move || client(n, &daemons, &is_over));
    }
    std::thread::sleep(Duration::from_secs(9));
    let mut late = 0;
    for round in 0..ROUNDS {
        // Of the daemons of zone a, the one that makes more calls reads the store for the other.
        let before: Vec<u64> = daemons.iter().take(2).map(|d| d.gateway.calls()).collect();
        std::thread::sleep(Duration::from_millis(1_500));
        let made = |n: usize| daemons[n].gateway.calls() - before[n];
        let reader = usize::from(made(1) > made(0));
        record.say(&format!(
            "in 1.5 s, {} has called the store {} times, {} {} times",
            daemons[0].name,
            made(0),
            daemons[1].name,
            made(1)
        ));
        let began = Instant::now();
        if trouble {
            daemons[reader].gateway.set(Gate::Cut);
            record.say(&format!("{} is cut off from the store for {CUT:?}", daemons[reader].name));
        }
        std::thread::sleep(CHANGE_AFTER);
        let version = round + 2;
        store.put("op", "config", &configuration(version));
        let acknowledged = Instant::now();
        record.say(&format!("version {version} is acknowledged; it adds db{version}"));
        let others = daemons.iter().enumerate().filter(|(n, _)| *n != reader);
        let asking: Vec<_> = others
            .map(|(_, daemon)| {
                let (daemon, record) = (daemon.clone(), record.clone());
                std::thread::spawn(move || ask(&daemon, version, acknowledged, &record))
            })
            .collect();
        late += asking.into_iter().map(|asking| asking.join().unwrap_or(0)).sum::<u64>();
        std::thread::sleep(CUT.saturating_sub(began.elapsed()));
        daemons[reader].gateway.set(Gate::Open);
        std::thread::sleep(Duration::from_millis(SETTLE_MS));
    }
    is_over.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(200));
    record.say(&format!(
        "{late} sessions were refused later than {CONFIG_APPLY_MS} ms after the acknowledgement of their route"
    ));
    Some(late > 0)
}

/// Opens sessions on the added database at one daemon; returns how many of those that were sent
/// later than the bound were refused for the lack of the route.
fn ask(daemon: &Daemon, version: u64, acknowledged: Instant, record: &Record) -> u64 {
    let database = format!("db{version}");
    let mut late = 0;
    while acknowledged.elapsed() < ASKED_FOR {
        let sent = Instant::now();
        let answer = Session::open(daemon, &database).err();
        let after = sent - acknowledged;
        let answer = answer.unwrap_or_else(|| "READY".to_owned());
        record.add(sent, &format!("{after:7.0?} after: START {database} at {}: {answer}", daemon.name));
        if answer.starts_with("ERROR NODB") && after > Duration::from_millis(CONFIG_APPLY_MS) {
            late += 1;
            record.add(sent, &format!("BROKEN (CONFIG) {} lacks version {version}", daemon.name));
        }
        std::thread::sleep(Duration::from_millis(100));
        if answer == "READY" {
            break;
        }
    }
    late
}

/// Writes and reads now and then, on sessions that stay open.
fn client(n: usize, daemons: &[Arc<Daemon>], is_over: &AtomicBool) {
    let zone = ["a", "b", "a", "c", "a", "a"][n];
    let mut session: Option<Session> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(60));
        number += 1;
        match session.as_mut() {
            None => session = Session::open(&choose(daemons, zone, n), "db1").ok(),
            Some(open) => {
                let text = match number % 4 {
                    0 => format!("WRITE k{n} d{number}"),
                    _ => format!("READ k{n}"),
                };
                if open.ask(&format!("{n:x}{number:07x}"), &text).state.is_empty() {
                    session = None;
                }
            }
        }
    }
}
