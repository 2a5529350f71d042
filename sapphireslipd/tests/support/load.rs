//! Background load of a scenario: sessions that write and read back their writes until stopped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphireslip::{Attempt, Ledger, WriteOutcome};
use tokio::task::JoinHandle;

use super::script_session::{ScriptSession, Target};

/// The pause of a session after each write and the read that follows it.
const PAUSE: Duration = Duration::from_millis(5);

/// A running load: its sessions and their shared counters.
#[derive(Debug)]
pub struct Load {
    /// Whether the sessions end after their current operation.
    stop: Arc<AtomicBool>,
    /// The number of writes acknowledged since the start.
    writes: Arc<AtomicU64>,
    /// The number of write attempts since the start whose outcome the client could not learn.
    unknown_outcomes: Arc<AtomicU64>,
    /// One task for each session.
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts a session for each target, which repeatedly writes under a request key and then reads
    /// its own writes.
    ///
    /// With `fallback_daemons`, a session moves to the next of them after a write attempt with an
    /// unknown outcome.
    pub fn start(
        name: &str,
        targets: Vec<Target>,
        fallback_daemons: &[SocketAddr],
        ledger: &Arc<Mutex<Ledger>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let writes = Arc::new(AtomicU64::new(0));
        let unknown_outcomes = Arc::new(AtomicU64::new(0));
        let tasks = targets.into_iter().enumerate().map(|(number, target)| {
            let mut session = ScriptSession::new(&format!("{name}-{number}"), target);
            session.fallback_daemons = fallback_daemons.to_vec();
            session.unknown_outcomes = Arc::clone(&unknown_outcomes);
            let run = run(
                session,
                Arc::clone(ledger),
                Arc::clone(&stop),
                Arc::clone(&writes),
            );
            tokio::spawn(run)
        });
        Self {
            tasks: tasks.collect(),
            stop,
            writes,
            unknown_outcomes,
        }
    }

    /// Returns the number of writes acknowledged since the start.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns the number of write attempts since the start with an unknown outcome.
    pub fn unknown_outcomes(&self) -> u64 {
        self.unknown_outcomes.load(Ordering::Relaxed)
    }

    /// Ends the sessions and waits until each has finished its current operation.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a session of the load panicked");
        }
    }
}

/// Writes and reads in one session until `stop` is set, and records each outcome in the ledger.
async fn run(
    mut session: ScriptSession,
    ledger: Arc<Mutex<Ledger>>,
    stop: Arc<AtomicBool>,
    writes: Arc<AtomicU64>,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let request = format!("{}-{number}", session.name);
        let outcome = ledger_outcome(&session.write(&request).await);
        if outcome == WriteOutcome::Done {
            session.acknowledged += 1;
            writes.fetch_add(1, Ordering::Relaxed);
        }
        ledger
            .lock()
            .unwrap()
            .record_write(&request, outcome, Instant::now());
        match session.sees_its_writes().await {
            Ok(sees) => ledger.lock().unwrap().record_read(!sees),
            Err(_refused) => ledger.lock().unwrap().record_refused_read(),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns the outcome of a write to record in the ledger.
pub fn ledger_outcome(attempt: &Attempt) -> WriteOutcome {
    match attempt {
        Attempt::Done => WriteOutcome::Done,
        Attempt::NotRun { .. } | Attempt::KeyTaken => WriteOutcome::NotRun,
        Attempt::Unknown { .. } => WriteOutcome::Unknown,
    }
}
