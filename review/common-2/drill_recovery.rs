//! All processes are killed and start again as a primary is replaced as planned. Once it is replaced,
//! the store comes back from a copy some seconds old.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Temp;
use crate::drill::{Operation, client, configuration, coordinator};
use crate::fleet::{Daemon, Net, Record};
use crate::members::Group;
use crate::store::Store;

/// How long the processes are down after the kill.
const DOWN: Duration = Duration::from_millis(700);

/// How long after the promotion the store goes away, for how long, and how old its copy is.
const AWAY_AFTER: Duration = Duration::from_millis(800);
const AWAY: Duration = Duration::from_millis(500);
const COPY_AGE: Duration = Duration::from_secs(5);

/// The bound `recovery_s`, and for how long requests are counted after it and before the fault.
const RECOVERY: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(15);

/// Runs the case; returns whether the rule was broken, or none if the case could not run.
pub fn run(trouble: bool, folder: &Path, temp: &Temp) -> Option<bool> {
    let record = Record::new();
    let store = Store::new();
    let group = Group::start("ledger", &["a", "b", "c"], 0, &store);
    store.put("op", "config", &configuration());
    let net = Net::free();
    let daemons: Vec<Arc<Daemon>> = ["a", "b", "c"]
        .iter()
        .enumerate()
        .map(|(n, zone)| {
            let name = format!("frontend-{zone}-1");
            Daemon::start(&net, n as u8 + 1, &name, zone, &store, &group, temp.path())
        })
        .collect();
    let broken = play(trouble, &record, &store, &group, &daemons);
    for daemon in &daemons {
        daemon.kill();
    }
    record.write(&folder.join("record.txt"));
    broken
}

fn play(
    trouble: bool,
    record: &Record,
    store: &Store,
    group: &Group,
    daemons: &[Arc<Daemon>],
) -> Option<bool> {
    let until = Instant::now() + Duration::from_secs(20);
    while !daemons.iter().all(|d| d.in_rotation()) || coordinator(store).is_none() {
        if Instant::now() > until {
            record.say("the daemons did not become ready");
            return None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say("all daemons are ready");
    let operations: Arc<Mutex<Vec<Operation>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(1));
    let clients: Vec<_> = (0..9)
        .map(|n| {
            let (daemons, operations) = (daemons.to_vec(), operations.clone());
            let (is_over, next) = (is_over.clone(), next.clone());
            std::thread::spawn(move || client(n, &daemons, &operations, &is_over, &next))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(16));
    let (primary, _) = group.primary();
    let fault = Instant::now();
    group.drain(primary);
    record.say(&format!("{} is draining: a planned replacement of the primary", group.id(primary)));
    let mut back = fault;
    let restores = std::env::var("DRILL").map_or(true, |value| value != "0");
    let kills = std::env::var("KILL").map_or(true, |value| value != "0");
    if trouble && kills {
        for daemon in daemons {
            daemon.kill();
        }
        record.say(&format!("all processes are killed, and down for {DOWN:?}"));
        std::thread::sleep(DOWN);
        for daemon in daemons {
            daemon.run();
        }
        back = Instant::now();
        record.say("all processes are started again");
    }
    while group.effects().is_empty() {
        if fault.elapsed() > Duration::from_secs(12) {
            record.say("no primary was promoted");
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    record.say(&format!("{} leads", group.id(group.effects()[0].member)));
    std::thread::sleep(AWAY_AFTER);
    if trouble && restores {
        let away = Instant::now();
        store.go_away();
        record.say(&format!("the store is away for {AWAY:?}"));
        std::thread::sleep(AWAY);
        let (before, after) = store.come_back_from_copy(away - COPY_AGE);
        record.say(&format!("the store is back from a copy {COPY_AGE:?} old: version {before} became {after}"));
    }
    let left = fault + Duration::from_secs(9);
    std::thread::sleep(left.saturating_duration_since(Instant::now()));
    group.leave(primary);
    record.say(&format!("{} has left", group.id(primary)));
    let end = back + RECOVERY + COUNTED;
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    let in_rotation = daemons.iter().filter(|d| d.in_rotation()).count();
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let operations = operations.lock().unwrap().clone();
    for operation in operations.iter().filter(|o| o.sent > fault - Duration::from_secs(1)) {
        record.add(operation.sent, &format!("sent {} to {}", operation.id, operation.daemon));
        record.add(operation.answered, &format!("answered {} {}", operation.id, operation.end));
    }
    let share = |from: Instant, to: Instant| {
        let sent: Vec<_> = operations.iter().filter(|o| o.sent >= from && o.sent < to).collect();
        let done = sent.iter().filter(|o| o.is_done).count();
        (sent.len(), done as f64 / sent.len().max(1) as f64)
    };
    let before = share(fault - COUNTED, fault);
    let after = share(back + RECOVERY, end);
    let is_broken = before.1 >= 0.25 && after.1 < 0.25;
    if is_broken {
        record.say("BROKEN (RECOVER) less than a quarter is served");
    }
    record.say(&format!(
        "served before the fault: {:.3} of {}; later than {RECOVERY:?} after the machines were back: {:.3} of {}; {in_rotation} of 3 daemons ready at the end",
        before.1, before.0, after.1, after.0
    ));
    Some(is_broken)
}
