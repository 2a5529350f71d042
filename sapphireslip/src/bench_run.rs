//! A benchmark run: starts operations at a fixed rate, whether or not earlier ones have ended.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::bench_session::{prepare_table, read_stored_requests};
use crate::read_share::{ReadCounts, read_counts};
use crate::{
    BenchSession, BenchSettings, Error, Latencies, LatencySummary, Ledger, Operation,
    StatementLatencies, StatementSummary, Verdict,
};

/// The most operations that wait for one busy session; further ones count as not offered.
const SESSION_BACKLOG_MAX: usize = 256;

/// The interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// An operation with its intended start.
#[derive(Clone, Copy, Debug)]
struct ScheduledOperation {
    /// The time at which the operation is meant to start, from which its latency is measured.
    intended_start: Instant,
    /// The kind of operation.
    operation: Operation,
}

/// The latencies of a run by kind of operation.
#[derive(Debug, Default)]
struct OperationLatencies {
    /// The latencies from the intended start to the end of each operation.
    latencies: BTreeMap<Operation, Latencies>,
}

/// The records that all sessions of a run share.
#[derive(Clone, Debug, Default)]
struct RunRecords {
    /// The outcomes of writes and reads.
    ledger: Arc<Mutex<Ledger>>,
    /// The latencies of whole operations.
    operation_latencies: Arc<Mutex<OperationLatencies>>,
    /// The latencies of single statements.
    statements: Arc<Mutex<StatementLatencies>>,
}

/// The result of a benchmark run.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    /// The name of the workload.
    pub workload: String,
    /// The seed of the sequence of operations.
    pub seed: u64,
    /// The target rate in operations per second.
    pub rate: u32,
    /// The number of operations that were dropped because their session had too many waiting.
    pub not_offered: u64,
    /// The duration of the run in seconds, until the last operation ended.
    pub seconds: f64,
    /// The outcomes of writes and reads, and the broken guarantees.
    pub verdict: Verdict,
    /// The longest time between two acknowledged writes, in milliseconds.
    pub longest_write_gap_ms: f64,
    /// The share (0 to 1) of reads that replicas served; `None` if no admin addresses were given or
    /// no reads were counted.
    pub replica_read_share: Option<f64>,
    /// The latencies of single statements, from the send to the end of the answer.
    pub statements: StatementSummary,
    /// The latencies by kind of operation.
    pub latencies: Vec<OperationLatency>,
}

/// The latencies of one kind of operation.
#[derive(Clone, Debug, Serialize)]
pub struct OperationLatency {
    /// The name of the kind of operation.
    pub operation: String,
    /// The summary of the latencies.
    pub summary: LatencySummary,
    /// The latencies in milliseconds at the percentiles 0 to 100, for the plot.
    pub percentiles_ms: Vec<f64>,
}

/// Runs a workload and checks what clients were told against what is stored.
///
/// # Errors
///
/// [`Error::Bench`] if the daemons refuse to create the table or to read it back, and
/// [`Error::Interrupted`] if a session panicked.
pub async fn run_bench(
    settings: BenchSettings,
    progress: impl Fn(&str),
) -> Result<BenchResult, Error> {
    let settings = Arc::new(settings);
    prepare_table(&settings).await?;
    let before = read_counts(&settings.admin).await;
    let records = RunRecords::default();
    let started = Instant::now();
    let not_offered = offer_operations(&settings, &records, started, progress).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = read_counts(&settings.admin).await;
    let stored = read_stored_requests(&settings).await?;
    let ledger = records.ledger.lock();
    let ledger = ledger.map_err(|_poisoned| Error::Interrupted)?;
    let operation_latencies = records.operation_latencies.lock();
    let operation_latencies = operation_latencies.map_err(|_poisoned| Error::Interrupted)?;
    let statements = records.statements.lock();
    let statements = statements.map_err(|_poisoned| Error::Interrupted)?;
    Ok(BenchResult {
        workload: settings.workload.to_string(),
        seed: settings.seed,
        rate: settings.rate,
        not_offered,
        seconds,
        verdict: ledger.verdict(stored.iter().map(String::as_str)),
        longest_write_gap_ms: ledger.longest_write_gap().as_secs_f64() * 1_000.0,
        replica_read_share: replica_read_share_between(before, after),
        statements: statements.summary(),
        latencies: operation_latencies
            .latencies
            .iter()
            .map(operation_latency)
            .collect(),
    })
}

/// Starts operations on schedule, waits for the last ones to end and returns how many were dropped
/// because their session had too many waiting.
async fn offer_operations(
    settings: &Arc<BenchSettings>,
    records: &RunRecords,
    started: Instant,
    progress: impl Fn(&str),
) -> u64 {
    let mut sessions = Vec::new();
    let mut tasks = Vec::new();
    for number in 0..settings.sessions {
        let (tx, rx) = flume::bounded(SESSION_BACKLOG_MAX);
        let session = BenchSession::new(Arc::clone(settings), number);
        let task = run_session(
            session.with_statement_latencies(&records.statements),
            rx,
            records.clone(),
        );
        tasks.push(tokio::spawn(task));
        sessions.push(tx);
    }
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let mut not_offered = 0;
    let mut next_progress = started + PROGRESS_INTERVAL;
    let interval = Duration::from_secs(1) / settings.rate;
    let mut intended_start = started;
    let mut session = 0;
    while intended_start < started + settings.duration {
        tokio::time::sleep_until(intended_start.into()).await;
        let operation = settings.workload.draw(&mut rng);
        let is_offered = sessions[session]
            .try_send(ScheduledOperation {
                intended_start,
                operation,
            })
            .is_ok();
        not_offered += u64::from(!is_offered);
        session = (session + 1) % sessions.len();
        intended_start += interval;
        if intended_start >= next_progress {
            next_progress += PROGRESS_INTERVAL;
            progress(&progress_line(&records.ledger, started));
        }
    }
    if let Ok(mut ledger) = records.ledger.lock() {
        ledger.end_offering(Instant::now());
    }
    drop(sessions);
    for task in tasks {
        let _ended = task.await;
    }
    not_offered
}

/// Returns the elapsed time and the counts so far as one line of text.
fn progress_line(ledger: &Mutex<Ledger>, started: Instant) -> String {
    let verdict = ledger
        .lock()
        .map(|ledger| ledger.verdict([]))
        .unwrap_or_default();
    format!(
        "{:>4} s  acknowledged {}  not run {}  unknown {}  reads {}  stale {}",
        started.elapsed().as_secs(),
        verdict.acknowledged,
        verdict.not_run,
        verdict.unknown,
        verdict.reads,
        verdict.stale,
    )
}

/// Runs the operations of one session one after the other, until no more arrive.
async fn run_session(
    mut session: BenchSession,
    arrivals: flume::Receiver<ScheduledOperation>,
    records: RunRecords,
) {
    while let Ok(arrival) = arrivals.recv_async().await {
        session.run(arrival.operation, &records.ledger).await;
        if let Ok(mut operation_latencies) = records.operation_latencies.lock() {
            operation_latencies
                .latencies
                .entry(arrival.operation)
                .or_default()
                .add(arrival.intended_start.elapsed());
        }
    }
}

/// Returns the share (0 to 1) of reads that replicas served between two counts.
fn replica_read_share_between(
    before: Option<ReadCounts>,
    after: Option<ReadCounts>,
) -> Option<f64> {
    after?.since(before?).replica_share()
}

/// Summarizes the latencies of one kind of operation.
fn operation_latency(entry: (&Operation, &Latencies)) -> OperationLatency {
    let (operation, latencies) = entry;
    OperationLatency {
        operation: operation.to_string(),
        summary: latencies.summary(),
        percentiles_ms: (0..=100)
            .map(|percent| latencies.quantile_ms(f64::from(percent) / 100.0))
            .collect(),
    }
}
