//! Commits wait for one replica. The replica that has them all is the former primary, which drains;
//! it is silent for a few seconds as the primary crashes, while the other replica has received
//! nothing for a while.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Temp;
use crate::drill::{Operation, client, configuration, coordinator};
use crate::fleet::{Daemon, Net, Record};
use crate::members::Group;
use crate::store::Store;

/// How long the other replica receives nothing, when the primary crashes in that time, and for how long.
const DEAF: Duration = Duration::from_millis(6_500);
const CRASH_AFTER: Duration = Duration::from_millis(1_500);
const CRASH: Duration = Duration::from_millis(6_500);

/// For how long the former primary is silent from the crash on.
const DARK: Duration = Duration::from_millis(4_000);

/// Runs the case; returns whether the rule was broken, or none if the case could not run.
pub fn run(trouble: bool, folder: &Path, temp: &Temp) -> Option<bool> {
    let record = Record::new();
    let store = Store::new();
    let group = Group::start("ledger", &["a", "b", "c"], 0, &store);
    group.set_sync();
    store.put("op", "config", &configuration().replace("\"sync_replicas\":0", "\"sync_replicas\":1"));
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
    std::thread::sleep(Duration::from_secs(14));
    let (former, _) = group.primary();
    let began = Instant::now();
    group.drain(former);
    record.say(&format!("{} is draining: a planned replacement of the primary", group.id(former)));
    while group.effects().is_empty() {
        if began.elapsed() > Duration::from_secs(10) {
            record.say("no primary was promoted");
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let (primary, term) = group.primary();
    let other = 3 - former - primary;
    record.say(&format!("{} leads term {term}", group.id(primary)));
    std::thread::sleep(Duration::from_millis(1_800));
    if trouble {
        let deaf = Instant::now();
        group.set_deaf(other, true);
        record.say(&format!("{} receives nothing for {DEAF:?}", group.id(other)));
        std::thread::sleep(CRASH_AFTER);
        let crashed = Instant::now();
        group.set_dark(former, true);
        group.crash(primary);
        record.say(&format!(
            "{} crashes for {CRASH:?}, and {} is silent for {DARK:?}",
            group.id(primary),
            group.id(former)
        ));
        std::thread::sleep(DARK);
        group.set_dark(former, false);
        record.say(&format!("{} answers again", group.id(former)));
        std::thread::sleep((deaf + DEAF).saturating_duration_since(Instant::now()));
        group.set_deaf(other, false);
        std::thread::sleep((crashed + CRASH).saturating_duration_since(Instant::now()));
        group.start_again(primary);
        record.say(&format!("{} is back", group.id(primary)));
    }
    std::thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let operations = operations.lock().unwrap().clone();
    for order in group.orders() {
        record.add(order.at, &format!("PROMOTE {} asked by {}, Fence-Token {}", order.id, order.daemon, order.token));
    }
    let effects = group.effects();
    for effect in &effects {
        record.add(effect.at, &format!("PROMOTED {} leads term {}", group.id(effect.member), effect.term));
    }
    let kept: std::collections::HashSet<String> = group.log().iter().map(|c| c.id.clone()).collect();
    let commits: std::collections::HashSet<String> = group.commits().iter().map(|c| c.id.clone()).collect();
    let mut lost = 0;
    for operation in operations.iter().filter(|o| o.is_write && o.is_done && commits.contains(&o.id)) {
        if !kept.contains(&operation.id) {
            lost += 1;
            record.add(operation.answered, &format!("BROKEN (LOST) write {} was acknowledged by {}, and is not in the log of the promoted member", operation.id, operation.daemon));
        }
    }
    let done = operations.iter().filter(|o| o.is_done).count();
    record.say(&format!("{} operations, {done} done; {} promotions took effect; {lost} acknowledged writes lost", operations.len(), effects.len()));
    Some(lost > 0)
}
