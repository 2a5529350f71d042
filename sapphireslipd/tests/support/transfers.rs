//! Background sessions that write two rows in a transaction and pipeline all its statements.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphireslip::{Attempt, Ledger, WriteOutcome};
use tokio::task::JoinHandle;

use super::load::ledger_outcome;
use super::script_session::{ScriptSession, Target};

/// The pause of a session between two transactions.
const PAUSE: Duration = Duration::from_millis(5);

/// The suffixes of the requests in the two rows of a transaction.
const ROW_SUFFIXES: [&str; 2] = ["/from", "/to"];

/// The running sessions and their shared counter.
#[derive(Debug)]
pub struct Transfers {
    /// Whether the sessions end after their current transaction.
    stop: Arc<AtomicBool>,
    /// The number of transactions acknowledged since the start.
    done: Arc<AtomicU64>,
    /// One task for each session.
    tasks: Vec<JoinHandle<()>>,
}

impl Transfers {
    /// Starts a session for each target.
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

    /// Returns the number of transactions acknowledged since the start.
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }

    /// Ends the sessions and waits until each has finished its current transaction.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a session of the transfers panicked");
        }
    }
}

/// Runs transactions in one session until `stop` is set, and records their outcomes in the ledger.
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
        done.fetch_add(u64::from(outcome == WriteOutcome::Done), Ordering::Relaxed);
        record_outcome(&ledger, &request, outcome);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Records the outcome of a transaction for both its rows.
fn record_outcome(ledger: &Mutex<Ledger>, request: &str, outcome: WriteOutcome) {
    let mut ledger = ledger.lock().unwrap();
    for suffix in ROW_SUFFIXES {
        ledger.record_write(&format!("{request}{suffix}"), outcome, Instant::now());
    }
}

/// Runs one transaction and returns its outcome.
///
/// The outcome is unknown if any of the statements has an unknown outcome. Otherwise a failed
/// `BEGIN` or write means that the transaction was not run, whatever became of the statements after
/// it.
async fn transfer(session: &mut ScriptSession, request: &str) -> WriteOutcome {
    let name = session.name.clone();
    let insert = |suffix| format!("INSERT INTO entry VALUES ('{request}{suffix}', '{name}')");
    let mut texts = vec!["BEGIN".to_owned()];
    texts.extend(ROW_SUFFIXES.map(insert));
    texts.push("COMMIT".to_owned());
    let answers = session.pipeline(&texts).await;
    let failed: Vec<&Attempt> = answers.iter().filter_map(|a| a.as_ref().err()).collect();
    let is_unknown = |attempt: &&Attempt| matches!(attempt, Attempt::Unknown { .. });
    match failed.first() {
        None => WriteOutcome::Done,
        Some(_) if failed.iter().any(is_unknown) => WriteOutcome::Unknown,
        Some(first) => ledger_outcome(first),
    }
}

/// Counts the transactions in `stored` that don't have exactly two rows there.
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
