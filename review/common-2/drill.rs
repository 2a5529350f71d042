//! The store comes back from a copy some seconds old, and turns the coordinator away for a while
//! longer, as a primary is replaced as planned.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Temp;
use crate::fleet::{Daemon, Net, Record, Session, choose};
use crate::json::{Json, unbase64};
use crate::members::Group;
use crate::store::{Gate, Store};

const SERVICE: &str = "ledger";
const DATABASE: &str = "fees";

/// How long the store is away, how old its copy is, and how long it turns the coordinator away.
const AWAY: Duration = Duration::from_millis(500);
const COPY_AGE: Duration = Duration::from_secs(5);
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// How long the coordinator has to be the same before the trouble begins.
const CALM: Duration = Duration::from_secs(13);

/// An operation of a client.
#[derive(Clone)]
pub struct Operation {
    pub id: String,
    pub daemon: String,
    pub is_write: bool,
    pub sent: Instant,
    pub answered: Instant,
    pub end: String,
    pub is_done: bool,
}

/// Returns the VM in the row of the coordinator, and the row's version.
pub fn coordinator(store: &Store) -> Option<(String, u64)> {
    let (value, version) = store.row("sapphireslip-leads", "sapphireslip", "duty")?;
    let holder = Json::parse(&unbase64(&value))?.text("holder");
    Some((holder, version))
}

/// Runs the case; returns whether the rule was broken, or none if the case could not run.
pub fn run(trouble: bool, folder: &Path, temp: &Temp) -> Option<bool> {
    let record = Record::new();
    let store = Store::new();
    let group = Group::start(SERVICE, &["a", "b", "c"], 0, &store);
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

pub fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"database_name\":\"{DATABASE}\",\"prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":16,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}}}"
    )
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

    // The same coordinator for a while, so that the copy names it already.
    let mut known = coordinator(store)?;
    let mut since = Instant::now();
    let until = Instant::now() + Duration::from_secs(50);
    while since.elapsed() < CALM {
        let now = coordinator(store);
        if now.as_ref() != Some(&known) {
            known = now.unwrap_or_default();
            since = Instant::now();
        }
        if Instant::now() > until {
            record.say("the coordinator keeps changing");
            return None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let holder = daemons.iter().find(|d| d.name == known.0)?;
    let (primary, term) = group.primary();
    record.say(&format!(
        "the coordinator is {} by row version {}; the primary is {} in term {term}",
        known.0,
        known.1,
        group.id(primary)
    ));
    let began = Instant::now();
    let restores = std::env::var("DRILL").map_or(true, |value| value != "0");
    if trouble {
        if std::env::var("TURN").map_or(true, |value| value != "0") {
            holder.gateway.set(Gate::Busy);
        }
        store.go_away();
        record.say(&format!("the store is away; it turns {} away for {TURNED_AWAY:?}", holder.name));
        std::thread::sleep(AWAY);
        if restores {
            let (before, after) = store.come_back_from_copy(began - COPY_AGE);
            record.say(&format!(
                "the store is back from a copy {COPY_AGE:?} old: version {before} became {after}"
            ));
        } else {
            store.come_back();
            record.say("the store is back with all that it had (DRILL=0)");
        }
    }
    group.drain(primary);
    record.say(&format!("{} is draining: a planned replacement of the primary", group.id(primary)));
    while began.elapsed() < TURNED_AWAY {
        std::thread::sleep(Duration::from_millis(50));
    }
    holder.gateway.set(Gate::Open);
    record.say("the store serves all daemons");
    std::thread::sleep(Duration::from_secs(4));
    group.leave(primary);
    record.say(&format!("{} has left", group.id(primary)));
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let operations = operations.lock().unwrap().clone();
    Some(judge(record, group, &operations, began - Duration::from_secs(1)))
}

/// Writes and reads until the end, on one session after the other.
pub fn client(
    n: usize,
    daemons: &[Arc<Daemon>],
    operations: &Mutex<Vec<Operation>>,
    is_over: &AtomicBool,
    next: &AtomicUsize,
) {
    let zone = ["a", "b", "c"][n % 3];
    let mut connects = n / 3;
    let mut session: Option<(Session, String)> = None;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(30));
        if session.is_none() {
            let daemon = choose(daemons, zone, connects);
            connects += 1;
            match Session::open(&daemon, DATABASE) {
                Ok(opened) => session = Some((opened, daemon.name.clone())),
                Err(_) => continue,
            }
        }
        let Some((open, daemon)) = session.as_mut() else {
            continue;
        };
        let number = next.fetch_add(1, Ordering::Relaxed);
        let is_write = number % 2 == 0;
        let id = format!("{number:08x}");
        let text = match is_write {
            true => format!("WRITE k{number} d{number}"),
            false => format!("READ k{}", number.saturating_sub(9)),
        };
        let sent = Instant::now();
        let answer = open.ask(&id, &text);
        operations.lock().unwrap().push(Operation {
            id,
            daemon: daemon.clone(),
            is_write,
            sent,
            answered: Instant::now(),
            end: answer.end.clone(),
            is_done: answer.is_done(),
        });
        if answer.state.is_empty() {
            session = None;
        }
    }
}

/// Returns whether the rule was broken, and writes all that was seen to the record.
///
/// Statements from before `shown_from` are judged too, but left out of the record.
pub fn judge(record: &Record, group: &Group, operations: &[Operation], shown_from: Instant) -> bool {
    let effects = group.effects();
    let (mut highest, mut lower) = (0, 0);
    for order in group.orders() {
        if order.token < highest {
            lower += 1;
            let line = format!(
                "BROKEN (ONE) {} sent the fencing token {} after {highest} was seen",
                order.daemon, order.token
            );
            record.add(order.at, &line);
        }
        highest = highest.max(order.token);
        let line = format!(
            "PROMOTE {} asked by {}, Duty-Holder {}, Fence-Token {}",
            order.id, order.daemon, order.holder, order.token
        );
        record.add(order.at, &line);
    }
    for effect in &effects {
        let line = format!("PROMOTED {} leads term {}", group.id(effect.member), effect.term);
        record.add(effect.at, &line);
    }
    for operation in operations.iter().filter(|o| o.sent >= shown_from) {
        let kind = if operation.is_write { "write" } else { "read" };
        record.add(operation.sent, &format!("sent {kind} {} to {}", operation.id, operation.daemon));
        record.add(operation.answered, &format!("answered {} {}", operation.id, operation.end));
    }
    let runs = group.runs();
    for run in runs.iter().filter(|run| run.at >= shown_from) {
        let line = format!(
            "run {} at {} (primary {}, {}.{}) {}: {}",
            run.id, group.id(run.member), run.is_primary, run.term, run.number, run.text, run.outcome
        );
        record.add(run.at, &line);
    }
    let by_id: HashMap<&str, &Operation> = operations.iter().map(|o| (o.id.as_str(), o)).collect();
    let kept: HashSet<String> = group.log().iter().map(|commit| commit.id.clone()).collect();
    let commits = group.commits();
    let mut old = 0;
    let mut lost = 0;
    for commit in &commits {
        let done = by_id.get(commit.id.as_str()).filter(|o| o.is_done);
        let Some(operation) = done else {
            continue;
        };
        let later = effects.iter().find(|e| e.term > commit.term && e.at < commit.at);
        let Some(effect) = later else {
            continue;
        };
        old += 1;
        let is_kept = kept.contains(&commit.id);
        lost += usize::from(!is_kept);
        let line = format!(
            "BROKEN (ONE) write {} was committed at the old primary {} in term {}, {:?} after {} led term {}, and acknowledged by {}; kept: {is_kept}",
            commit.id,
            group.id(commit.member),
            commit.term,
            commit.at - effect.at,
            group.id(effect.member),
            effect.term,
            operation.daemon
        );
        record.add(commit.at, &line);
    }
    // A read on the `primary` route at an old primary, after a commit of a later term was acknowledged.
    let mut stale = 0;
    for run in runs.iter().filter(|run| effects.iter().any(|e| e.term > run.term && e.at < run.at)) {
        let Some(operation) = by_id.get(run.id.as_str()).filter(|o| !o.is_write && o.is_done) else {
            continue;
        };
        let missed = commits.iter().find(|c| {
            let done = by_id.get(c.id.as_str()).filter(|o| o.is_done && o.answered < operation.sent);
            c.term > run.term && done.is_some()
        });
        if let Some(missed) = missed {
            stale += 1;
            let line = format!(
                "BROKEN (STALE) read {} ran at {} in term {} without {}, which was acknowledged before",
                operation.id, group.id(run.member), run.term, missed.id
            );
            record.add(run.at, &line);
        }
    }
    let done = operations.iter().filter(|o| o.is_done).count();
    record.say(&format!(
        "{} operations, {done} done; {} promotions took effect; {old} writes acknowledged by an old primary after a promotion, {lost} of them lost; {stale} stale reads; {lower} promotions asked with a lower token than one seen",
        operations.len(),
        effects.len()
    ));
    old > 0 || stale > 0 || lower > 0
}
