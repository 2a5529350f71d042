//! Sessions that each read values unique to them, and check every answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use sapphireslip::Attempt;
use tokio::task::JoinHandle;

use super::script_session::{ScriptSession, Target, first_column};

/// The pause of a session between two reads.
const PAUSE: Duration = Duration::from_millis(2);

/// One read in so many asks for a large answer.
const LARGE_READ_INTERVAL: u64 = 10;

/// Rows of a large answer; with their filling they make over 400 KiB.
const LARGE_ANSWER_ROWS: usize = 4000;

/// Fills each row of a large answer.
const PADDING: &str =
    "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyz";

/// What the answers came to.
#[derive(Debug, Default)]
struct Counts {
    answered: AtomicU64,
    foreign: AtomicU64,
    short: AtomicU64,
}

/// Running readers.
#[derive(Debug)]
pub struct ValueReaders {
    stop: Arc<AtomicBool>,
    counts: Arc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

/// How an answer compares with the rows that were asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Comparison {
    Whole,
    Short,
    Foreign,
}

impl ValueReaders {
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

    /// Returns how many reads were answered without an error.
    pub fn answered(&self) -> u64 {
        self.counts.answered.load(Ordering::Relaxed)
    }

    /// Ends the readers and tells how many answers were not their own or not whole.
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

/// Reads rows that all carry a tag and their number.
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

/// Asks for a large answer and says how it compares.
pub async fn large_answer(session: &mut ScriptSession) -> String {
    let tag = format!("large-{}", session.name);
    match read_and_compare(session, &tag, LARGE_ANSWER_ROWS).await {
        Ok(Comparison::Whole) => "whole".to_owned(),
        Ok(Comparison::Short) => "short and taken as whole".to_owned(),
        Ok(Comparison::Foreign) => "not its own".to_owned(),
        Err(_) => "an error".to_owned(),
    }
}
