//! Writers and readers that go on in the background of a scenario.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphireslip::{Attempt, Ledger, WriteOutcome};
use tokio::task::JoinHandle;

use super::script_session::{ScriptSession, Target};

/// The pause of a session between two operations.
const PAUSE: Duration = Duration::from_millis(5);

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    writes: Arc<AtomicU64>,
    doubts: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts a session for each target: it writes under a key, then reads its writes.
    /// One that roams goes on at another daemon when it does not know what became of a write.
    pub fn start(
        name: &str,
        targets: Vec<Target>,
        roams: &[SocketAddr],
        ledger: &Arc<Mutex<Ledger>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let writes = Arc::new(AtomicU64::new(0));
        let doubts = Arc::new(AtomicU64::new(0));
        let tasks = targets.into_iter().enumerate().map(|(number, target)| {
            let mut session = ScriptSession::new(&format!("{name}-{number}"), target);
            session.roams = roams.to_vec();
            session.doubts = Arc::clone(&doubts);
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
            doubts,
        }
    }

    /// Returns how many writes have been acknowledged.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns how many attempts had no outcome that their caller could know.
    pub fn doubts(&self) -> u64 {
        self.doubts.load(Ordering::Relaxed)
    }

    /// Lets every session end its operation, and waits for that.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a session of the load panicked");
        }
    }
}

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
        let told = told(&session.write(&request).await);
        if told == WriteOutcome::Done {
            session.acknowledged += 1;
            writes.fetch_add(1, Ordering::Relaxed);
        }
        ledger
            .lock()
            .unwrap()
            .record_write(&request, told, Instant::now());
        match session.sees_its_writes().await {
            Ok(sees) => ledger.lock().unwrap().record_read(!sees),
            Err(_refused) => ledger.lock().unwrap().record_refused_read(),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns what an attempt comes to for the ledger.
pub fn told(attempt: &Attempt) -> WriteOutcome {
    match attempt {
        Attempt::Done => WriteOutcome::Done,
        Attempt::NotRun { .. } | Attempt::KeyTaken => WriteOutcome::NotRun,
        Attempt::Unknown { .. } => WriteOutcome::Unknown,
    }
}
