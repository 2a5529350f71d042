//! Clients open sessions for one statement each and close them. The platform kills a process that
//! exceeds its memory.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Temp;
use crate::drill::configuration;
use crate::fleet::{Daemon, Net, Record, Session};
use crate::members::Group;
use crate::store::Store;

/// The memory of a machine, in MB (`memory_mb` of `rq-central`).
const MEMORY_MB: u64 = 260;

/// The sessions a second that the sheet gives for `catalogo-tienda` ("a session each"), for all
/// machines together.
const SHEET_SESSIONS_PER_S: f64 = 67.5;

const CLIENTS: usize = 6;

/// The longest time of the run, and the number of statements after which it ends with TROUBLE=0.
const TIME_MAX: Duration = Duration::from_secs(108);
const STATEMENTS: u64 = 500_000;

/// Runs the case; returns whether the process exceeded its memory, or none if it could not run.
pub fn run(trouble: bool, folder: &Path, temp: &Temp) -> Option<bool> {
    let record = Record::new();
    let store = Store::new();
    let group = Group::start("ledger", &["a", "b", "c"], 0, &store);
    store.put("op", "config", &configuration());
    let net = Net::free();
    let daemon = Daemon::start(&net, 1, "frontend-a-1", "a", &store, &group, temp.path());
    let broken = play(trouble, &record, &daemon);
    daemon.kill();
    record.write(&folder.join("record.txt"));
    broken
}

/// Returns the resident memory of a process in KB.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn play(trouble: bool, record: &Record, daemon: &Arc<Daemon>) -> Option<bool> {
    let until = Instant::now() + Duration::from_secs(15);
    while !daemon.in_rotation() {
        if Instant::now() > until {
            record.say("the daemon did not become ready");
            return None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let statements = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    for n in 0..CLIENTS {
        let (daemon, statements, is_over) = (daemon.clone(), statements.clone(), is_over.clone());
        std::thread::spawn(move || {
            let mut kept = None;
            while !is_over.load(Ordering::Relaxed) {
                let session = match kept.take() {
                    Some(session) => Some(session),
                    None => Session::open(&daemon, "fees").ok(),
                };
                let Some(mut session) = session else {
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                };
                let number = statements.fetch_add(1, Ordering::Relaxed);
                session.ask(&format!("{n:x}{number:08x}"), "SET application catalogue");
                if !trouble {
                    kept = Some(session);
                }
            }
        });
    }
    let began = Instant::now();
    let first = resident_kb(daemon.pid())?;
    let mut shown = Instant::now();
    loop {
        std::thread::sleep(Duration::from_millis(50));
        let kb = resident_kb(daemon.pid())?;
        let count = statements.load(Ordering::Relaxed);
        if shown.elapsed() >= Duration::from_secs(5) {
            shown = Instant::now();
            record.say(&format!("{count} statements, {kb} KB resident"));
        }
        let is_over_limit = kb > MEMORY_MB * 1_000;
        let is_done = !trouble && count >= STATEMENTS;
        if !is_over_limit && !is_done && began.elapsed() < TIME_MAX {
            continue;
        }
        is_over.store(true, Ordering::Relaxed);
        if is_over_limit {
            daemon.kill();
            record.say("BROKEN the platform kills the process: its memory is over the limit");
        }
        let bytes = (kb.saturating_sub(first) * 1_024) as f64 / count.max(1) as f64;
        record.say(&format!(
            "{kb} KB of {} after {count} statements, {bytes:.0} bytes each; none of their sessions is open; as many sessions come in {:.1} h by the sheet",
            MEMORY_MB * 1_000,
            count as f64 / SHEET_SESSIONS_PER_S / 3_600.0
        ));
        return Some(is_over_limit);
    }
}
