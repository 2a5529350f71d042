//! Sessions that write two rows in a transaction and send all of it ahead.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphireslip::{Attempt, Ledger, WriteOutcome};
use tokio::task::JoinHandle;

use super::load::told;
use super::script_session::{ScriptSession, Target};

/// The pause of a session between two transactions.
const PAUSE: Duration = Duration::from_millis(5);

/// The two rows of a transaction end in these.
const SIDES: [&str; 2] = ["/from", "/to"];

/// Running sessions.
#[derive(Debug)]
pub struct Transfers {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

impl Transfers {
    pub fn start(targets: Vec<Target>, ledger: &Arc<Mutex<Ledger>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let done = Arc::new(AtomicU64::new(0));
        let tasks = targets.into_iter().enumerate().map(|(number, target)| {
            let session = ScriptSession::new(&format!("transfer-{number}"), target);
            let run = run(
                session,
                Arc::clone(ledger),
                Arc::clone(&stop),
                Arc::clone(&done),
            );
            tokio::spawn(run)
        });
        Self {
            tasks: tasks.collect(),
            stop,
            done,
        }
    }

    /// Returns how many transactions were acknowledged.
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }

    pub async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a session panicked");
        }
    }
}

async fn run(
    mut session: ScriptSession,
    ledger: Arc<Mutex<Ledger>>,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU64>,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let request = format!("{}-{number}", session.name);
        let told = transfer(&mut session, &request).await;
        done.fetch_add(u64::from(told == WriteOutcome::Done), Ordering::Relaxed);
        note(&ledger, &request, told);
        tokio::time::sleep(PAUSE).await;
    }
}

fn note(ledger: &Mutex<Ledger>, request: &str, told: WriteOutcome) {
    let mut ledger = ledger.lock().unwrap();
    for side in SIDES {
        ledger.record_write(&format!("{request}{side}"), told, Instant::now());
    }
}

/// A transaction whose beginning or one of whose writes was refused was not run, whatever came of
/// the statements after it.
async fn transfer(session: &mut ScriptSession, request: &str) -> WriteOutcome {
    let name = session.name.clone();
    let insert = |side| format!("INSERT INTO entry VALUES ('{request}{side}', '{name}')");
    let mut texts = vec!["BEGIN".to_owned()];
    texts.extend(SIDES.map(insert));
    texts.push("COMMIT".to_owned());
    let answers = session.pipeline(&texts).await;
    let failed: Vec<&Attempt> = answers.iter().filter_map(|a| a.as_ref().err()).collect();
    let is_closed = |attempt: &&Attempt| matches!(attempt, Attempt::Unknown { .. });
    match failed.first() {
        None => WriteOutcome::Done,
        Some(_) if failed.iter().any(is_closed) => WriteOutcome::Unknown,
        Some(first) => told(first),
    }
}

/// Counts the transactions of which one row is stored and the other is not.
pub fn torn(stored: &[String]) -> usize {
    let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
    for request in stored {
        let side = SIDES.iter().find_map(|side| request.strip_suffix(side));
        if let Some(transfer) = side {
            *rows.entry(transfer).or_default() += 1;
        }
    }
    rows.values().filter(|count| **count != SIDES.len()).count()
}
