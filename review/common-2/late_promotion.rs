//! The platform is slow to carry out a promotion. The member that was to be promoted crashes
//! meanwhile, and another one is promoted. Then the first one is back, and its promotion comes.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Temp;
use crate::drill::{Operation, client, configuration, coordinator, judge};
use crate::fleet::{Daemon, Net, Record};
use crate::members::Group;
use crate::store::Store;

/// How long the platform takes to carry out the first call, and for how long it is so slow.
const SLOW: Duration = Duration::from_millis(1_500);
const SLOW_FOR: Duration = Duration::from_millis(250);

/// When, after the first call, the member that it names crashes, and for how long.
const CRASH_AFTER: Duration = Duration::from_millis(100);
const CRASH: Duration = Duration::from_millis(900);

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
    std::thread::sleep(Duration::from_secs(14));
    let (primary, _) = group.primary();
    if trouble {
        group.set_promotion_delay(SLOW);
        record.say(&format!("the platform takes {SLOW:?} to carry out a promotion"));
    }
    group.drain(primary);
    let began = Instant::now();
    record.say(&format!("{} is draining: a planned replacement of the primary", group.id(primary)));
    let order = loop {
        if let Some(order) = group.orders().into_iter().next() {
            break order;
        }
        if began.elapsed() > Duration::from_secs(8) {
            record.say("nobody asked for a promotion");
            return None;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    if trouble {
        std::thread::sleep((order.at + CRASH_AFTER).saturating_duration_since(Instant::now()));
        let named = (0..3).find(|n| group.id(*n) == order.id)?;
        group.crash(named);
        record.say(&format!("{} crashes for {CRASH:?}", order.id));
        std::thread::sleep((order.at + SLOW_FOR).saturating_duration_since(Instant::now()));
        group.set_promotion_delay(Duration::ZERO);
        record.say("the platform is no longer slow");
        let back = order.at + CRASH_AFTER + CRASH;
        std::thread::sleep(back.saturating_duration_since(Instant::now()));
        group.start_again(named);
        record.say(&format!("{} is back", order.id));
    }
    std::thread::sleep(Duration::from_secs(7));
    group.leave(primary);
    record.say(&format!("{} has left", group.id(primary)));
    std::thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let operations = operations.lock().unwrap().clone();
    Some(judge(record, group, &operations, began - Duration::from_secs(1)))
}
