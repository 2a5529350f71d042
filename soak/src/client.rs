//! A client that opens sessions and runs statements and transactions on its own items.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::{LineAnswer, LineSession};
use tokio::time::{Instant, timeout};

use crate::site::{DATABASES, Database};
use crate::{Attempt, Operation, Outcome};

/// The timeout for an answer: a daemon may be paused for 4 s, and the deadline of a route is 0.8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);

/// The longest pause between two operations of a session, in milliseconds.
const OPERATION_PAUSE_MAX_MS: u64 = 40;

/// The probability in percent that a session runs another operation.
const CONTINUE_PERCENT: u32 = 93;

/// The error codes that guarantee that the operation has not taken effect and never will.
const NOT_RUN_CODES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONNLIMIT",
];

/// A client and the results of its operations.
#[derive(Debug)]
pub(crate) struct Client {
    /// The name of the client, with which its items and statement identifiers begin.
    name: String,
    /// The random number generator, seeded by the run's seed and the client's number.
    random: SmallRng,
    /// The index of the current item. A write with an unknown outcome may take effect later, so
    /// the next write uses the next item.
    item_index: usize,
    /// The number of the last value that was written; it grows across items.
    last_number: u64,
    /// The acknowledged values of the current item: the time of the acknowledgement, the number of
    /// the session and the number of the value.
    acknowledged: Vec<(Instant, u64, u64)>,
    /// The number of sessions opened so far, which is also the number of the current session.
    sessions: u64,
    /// The operations run so far with their outcomes.
    pub(crate) attempts: Vec<Attempt>,
    /// A description of each statement that was not answered within [`ANSWER_TIMEOUT`].
    pub(crate) unanswered: Vec<String>,
}

/// An open session of a client.
struct Session {
    /// The connection to a daemon.
    line: LineSession,
    /// The database, with the guarantees of its reads.
    database: &'static Database,
}

impl Client {
    /// Creates a client whose random choices depend on its number and the seed only.
    pub(crate) fn new(number: usize, seed: u64) -> Self {
        Self {
            name: format!("c{number}"),
            random: SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64),
            item_index: 0,
            last_number: 0,
            acknowledged: Vec::new(),
            sessions: 0,
            attempts: Vec::new(),
            unanswered: Vec::new(),
        }
    }

    /// Opens sessions with random daemons and databases and uses them, until the time `until`.
    pub(crate) async fn work(mut self, daemons: Vec<SocketAddr>, until: Instant) -> Self {
        while Instant::now() < until {
            let daemon = daemons[self.random.random_range(0..daemons.len())];
            let database = &DATABASES[self.random.random_range(0..DATABASES.len())];
            let opened = timeout(ANSWER_TIMEOUT, LineSession::open(daemon, database.name)).await;
            if let Ok(Ok(line)) = opened {
                self.sessions += 1;
                let session = Session { line, database };
                // A broken connection ends the session; the outcome of the operation is recorded.
                let _broken = self.use_session(session, until).await;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        self
    }

    /// Runs random operations on a session and closes it.
    async fn use_session(&mut self, mut session: Session, until: Instant) -> io::Result<()> {
        while Instant::now() < until && self.random.random_range(0..100) < CONTINUE_PERCENT {
            match self.random.random_range(0..4) {
                0 => self.write(&mut session).await?,
                1 => self.transact(&mut session).await?,
                2 => self.read_prepared(&mut session).await?,
                _ => self.read(&mut session).await?,
            }
            let pause = self.random.random_range(0..OPERATION_PAUSE_MAX_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        session.line.send("TERMINATE").await
    }

    /// Returns the name of the current item, which only this client uses.
    fn item(&self) -> String {
        format!("{}x{}", self.name, self.item_index)
    }

    /// Returns the number of the next value and the statement that writes it.
    fn next_write(&mut self) -> (u64, String) {
        self.last_number += 1;
        let text = format!("WRITE {0} {0}-{1}", self.item(), self.last_number);
        (self.last_number, text)
    }

    /// Writes one value in a single statement.
    async fn write(&mut self, session: &mut Session) -> io::Result<()> {
        let (number, text) = self.next_write();
        let answer = self.ask(session, &text).await;
        self.record_write((number, number), &answer);
        answer.map(|_| ())
    }

    /// Writes two values in a transaction.
    async fn transact(&mut self, session: &mut Session) -> io::Result<()> {
        let (first, first_text) = self.next_write();
        let (last, last_text) = self.next_write();
        for text in ["BEGIN", &first_text, &last_text, "COMMIT"] {
            let answer = self.ask(session, text).await;
            let is_over = text == "COMMIT" || answer.as_ref().map_or(true, |a| a.failure.is_some());
            if is_over {
                self.record_write((first, last), &answer);
                if text != "COMMIT" && answer.is_ok() {
                    self.ask(session, "ROLLBACK").await?;
                }
                return answer.map(|_| ());
            }
            let pause = self.random.random_range(0..OPERATION_PAUSE_MAX_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        Ok(())
    }

    /// Reads the current item.
    async fn read(&mut self, session: &mut Session) -> io::Result<()> {
        let at_least = self.least_number_due(session.database);
        let text = format!("READ {}", self.item());
        let answer = self.ask(session, &text).await;
        self.record_read(at_least, &answer);
        answer.map(|_| ())
    }

    /// Reads the current item with a prepared statement. Sessions of other clients use the same
    /// name for other statements, so that a daemon that mixes them up is found.
    async fn read_prepared(&mut self, session: &mut Session) -> io::Result<()> {
        let shape = format!("PREPARE s READ q{}", self.name);
        if self.ask(session, &shape).await?.failure.is_some() {
            return Err(io::ErrorKind::Other.into());
        }
        let at_least = self.least_number_due(session.database);
        let text = format!("EXECUTE s {}", self.item());
        let answer = self.ask(session, &text).await;
        self.record_read(at_least, &answer);
        answer?;
        self.ask(session, "DEALLOCATE s").await.map(|_| ())
    }

    /// Returns the least number that a read must return if it starts now.
    fn least_number_due(&self, database: &Database) -> u64 {
        let is_due = |(at, session, _): &&(Instant, u64, u64)| {
            at.elapsed() > database.max_staleness
                || (database.reads_own_writes && *session == self.sessions)
        };
        let due = self.acknowledged.iter().filter(is_due);
        due.map(|(.., number)| *number).max().unwrap_or_default()
    }

    /// Records the outcome of a write of the values `first` to `last`.
    fn record_write(&mut self, (first, last): (u64, u64), answer: &io::Result<LineAnswer>) {
        let outcome = outcome(answer);
        let operation = Operation::Write { first, last };
        let item = self.item();
        match outcome {
            Outcome::Done(_) => {
                let session = self.sessions;
                self.acknowledged.push((Instant::now(), session, last));
            }
            Outcome::Refused => {}
            Outcome::Unknown => {
                self.item_index += 1;
                self.acknowledged.clear();
            }
        }
        self.attempts.push(Attempt {
            item,
            operation,
            outcome,
        });
    }

    /// Records the outcome of a read that had to return the number `at_least` or a later one.
    fn record_read(&mut self, at_least: u64, answer: &io::Result<LineAnswer>) {
        self.attempts.push(Attempt {
            item: self.item(),
            operation: Operation::Read { at_least },
            outcome: outcome(answer),
        });
    }

    /// Sends a statement and waits for its answer, at most [`ANSWER_TIMEOUT`].
    async fn ask(&mut self, session: &mut Session, text: &str) -> io::Result<LineAnswer> {
        let id = format!("{}{:x}", self.name, self.random.random::<u64>());
        let asked = timeout(ANSWER_TIMEOUT, session.line.ask(&id, text)).await;
        asked.unwrap_or_else(|_| {
            let failure = format!("no answer to `{text}` ({id}) within {ANSWER_TIMEOUT:?}");
            self.unanswered.push(failure);
            Err(io::ErrorKind::TimedOut.into())
        })
    }
}

/// Returns the outcome that an answer tells; without an answer, the outcome is unknown.
fn outcome(answer: &io::Result<LineAnswer>) -> Outcome {
    match answer {
        Ok(answer) => match &answer.failure {
            None => Outcome::Done(answer.rows.first().cloned()),
            Some(code) if NOT_RUN_CODES.contains(&code.as_str()) => Outcome::Refused,
            Some(_) => Outcome::Unknown,
        },
        Err(_) => Outcome::Unknown,
    }
}
