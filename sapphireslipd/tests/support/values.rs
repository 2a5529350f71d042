//! Background sessions that read values unique to each read, and check every answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use sapphireslip::Attempt;
use tokio::task::JoinHandle;

use super::script_session::{ScriptSession, Target, first_column};

/// The pause of a session between two reads.
const PAUSE: Duration = Duration::from_millis(2);

/// The number of reads of a session of which one requests a large answer.
const LARGE_READ_INTERVAL: u64 = 10;

/// The rows of a large answer, which make over 400 KiB with their padding.
const LARGE_ANSWER_ROWS: usize = 4000;

/// The padding of each row that is read.
const PADDING: &str =
    "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyz";

/// The numbers of answers to all readers since the start.
#[derive(Debug, Default)]
struct Counts {
    /// Answers without an error.
    answered: AtomicU64,
    /// Answers with rows that the read did not request.
    foreign: AtomicU64,
    /// Answers that were not errors but lacked rows.
    short: AtomicU64,
}

/// The running readers and their shared counters.
#[derive(Debug)]
pub struct ValueReaders {
    /// Whether the readers end after their current read.
    stop: Arc<AtomicBool>,
    /// What the readers have received.
    counts: Arc<Counts>,
    /// One task for each reader.
    tasks: Vec<JoinHandle<()>>,
}

/// How an answer compares with the requested rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Comparison {
    /// The answer has exactly the requested rows.
    Whole,
    /// The answer has the first of the requested rows and lacks the others.
    Short,
    /// The answer has rows that were not requested.
    Foreign,
}

impl ValueReaders {
    /// Starts a reader for each target.
    pub fn start(targets: Vec<Target>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Counts::default());
        let tasks = targets.into_iter().enumerate().map(|(number, target)| {
            let session = ScriptSession::new(&format!("value-{number}"), target);
            tokio::spawn(run_reader(session, Arc::clone(&stop), Arc::clone(&counts)))
        });
        Self {
            tasks: tasks.collect(),
            stop,
            counts,
        }
    }

    /// Returns the number of reads answered without an error since the start.
    pub fn answered(&self) -> u64 {
        self.counts.answered.load(Ordering::Relaxed)
    }

    /// Ends the readers and returns the numbers of foreign and short answers as text.
    pub async fn stop(self) -> String {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a reader panicked");
        }
        let foreign = self.counts.foreign.load(Ordering::Relaxed);
        let short = self.counts.short.load(Ordering::Relaxed);
        format!("foreign {foreign}, short {short}")
    }
}

/// Reads in one session until `stop` is set, and counts the answers by kind.
async fn run_reader(mut session: ScriptSession, stop: Arc<AtomicBool>, counts: Arc<Counts>) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let tag = format!("{}-{number}", session.name);
        let rows = if number % LARGE_READ_INTERVAL == 0 {
            LARGE_ANSWER_ROWS
        } else {
            2
        };
        if let Ok(comparison) = read_and_compare(&mut session, &tag, rows).await {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            let foreign = u64::from(comparison == Comparison::Foreign);
            let short = u64::from(comparison == Comparison::Short);
            counts.foreign.fetch_add(foreign, Ordering::Relaxed);
            counts.short.fetch_add(short, Ordering::Relaxed);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Requests `rows` rows that each carry the tag and their number, and compares the answer with
/// them.
async fn read_and_compare(
    session: &mut ScriptSession,
    tag: &str,
    rows: usize,
) -> Result<Comparison, Attempt> {
    let sql = format!(
        "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {rows}) \
         SELECT '{tag} ' || i || ' {PADDING}' FROM n"
    );
    let received = first_column(&session.query(&sql).await?);
    Ok(compare(&received, tag, rows))
}

/// Compares the received rows with the `rows` rows requested with a tag.
fn compare(received: &[String], tag: &str, rows: usize) -> Comparison {
    let is_own = |(i, value): (usize, &String)| *value == format!("{tag} {} {PADDING}", i + 1);
    if !received.iter().enumerate().all(is_own) || received.len() > rows {
        return Comparison::Foreign;
    }
    if received.len() < rows {
        return Comparison::Short;
    }
    Comparison::Whole
}

/// Requests a large answer and returns how it compares as text.
pub async fn large_answer(session: &mut ScriptSession) -> String {
    let tag = format!("large-{}", session.name);
    match read_and_compare(session, &tag, LARGE_ANSWER_ROWS).await {
        Ok(Comparison::Whole) => "whole".to_owned(),
        Ok(Comparison::Short) => "short and taken as whole".to_owned(),
        Ok(Comparison::Foreign) => "not its own".to_owned(),
        Err(_) => "an error".to_owned(),
    }
}
