//! Sessions that write two rows in a transaction and send all of it ahead.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphireslip::{Attempt, Ledger, Told};
use tokio::task::JoinHandle;

use super::load::ledger_outcome;
use super::script_session::{ScriptSession, Target};

/// The pause of a session between two transactions.
const PAUSE: Duration = Duration::from_millis(5);

/// The two rows of a transaction end in these.
const ROW_SUFFIXES: [&str; 2] = ["/from", "/to"];

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
        let outcome = transfer(&mut session, &request).await;
        done.fetch_add(u64::from(outcome == Told::Done), Ordering::Relaxed);
        record_outcome(&ledger, &request, outcome);
        tokio::time::sleep(PAUSE).await;
    }
}

fn record_outcome(ledger: &Mutex<Ledger>, request: &str, outcome: Told) {
    let mut ledger = ledger.lock().unwrap();
    for suffix in ROW_SUFFIXES {
        ledger.note_write(&format!("{request}{suffix}"), outcome, Instant::now());
    }
}

/// A transaction whose beginning or one of whose writes was refused was not run, whatever came of
/// the statements after it.
async fn transfer(session: &mut ScriptSession, request: &str) -> Told {
    let name = session.name.clone();
    let insert = |suffix| format!("INSERT INTO entry VALUES ('{request}{suffix}', '{name}')");
    let mut texts = vec!["BEGIN".to_owned()];
    texts.extend(ROW_SUFFIXES.map(insert));
    texts.push("COMMIT".to_owned());
    let answers = session.pipeline(&texts).await;
    let failed: Vec<&Attempt> = answers.iter().filter_map(|a| a.as_ref().err()).collect();
    let is_unknown = |attempt: &&Attempt| matches!(attempt, Attempt::Unknown { .. });
    match failed.first() {
        None => Told::Done,
        Some(_) if failed.iter().any(is_unknown) => Told::Unknown,
        Some(first) => ledger_outcome(first),
    }
}

/// Counts the transactions of which one row is stored and the other is not.
pub fn count_torn(stored: &[String]) -> usize {
    let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
    for request in stored {
        let transfer = ROW_SUFFIXES
            .iter()
            .find_map(|suffix| request.strip_suffix(suffix));
        if let Some(transfer) = transfer {
            *rows.entry(transfer).or_default() += 1;
        }
    }
    rows.values()
        .filter(|count| **count != ROW_SUFFIXES.len())
        .count()
}
