//! One caller: sessions, statements and transactions on items of its own, until the time is over.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::{LineAnswer, LineSession};
use tokio::time::{Instant, timeout};

use crate::site::{DATABASES, Database};
use crate::{Attempt, Operation, Outcome};

/// How long an answer may take: a daemon may stand still for 4 s, and a route's time is 0.8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause before a caller connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);

/// The longest pause between two operations of a session.
const OPERATION_PAUSE_MAX_MS: u64 = 40;

/// The chance that a session goes on after an operation, in percent.
const CONTINUE_PERCENT: u32 = 93;

/// The codes that promise that nothing of the attempt is kept.
const NOT_RUN_CODES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONNLIMIT",
];

/// A caller and what it has seen.
#[derive(Debug)]
pub(crate) struct Client {
    name: String,
    random: SmallRng,
    /// How many items it has used: a write of which nothing is known may take effect later, so that
    /// the next one goes to another item.
    item_index: usize,
    last_number: u64,
    /// The acknowledged values of the present item: when, in which session, which number.
    acknowledged: Vec<(Instant, u64, u64)>,
    sessions: u64,
    pub(crate) attempts: Vec<Attempt>,
    /// What no caller should see at all.
    pub(crate) unanswered: Vec<String>,
}

/// A session and what its reads promise.
struct Session {
    line: LineSession,
    database: &'static Database,
}

impl Client {
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

    /// Works until the time is over, on sessions with any of the daemons.
    pub(crate) async fn work(mut self, daemons: Vec<SocketAddr>, until: Instant) -> Self {
        while Instant::now() < until {
            let daemon = daemons[self.random.random_range(0..daemons.len())];
            let database = &DATABASES[self.random.random_range(0..DATABASES.len())];
            let opened = timeout(ANSWER_TIMEOUT, LineSession::open(daemon, database.name)).await;
            if let Ok(Ok(line)) = opened {
                self.sessions += 1;
                let session = Session { line, database };
                // A broken connection ends the session; what it means for the attempt is recorded.
                let _broken = self.use_session(session, until).await;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        self
    }

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

    fn item(&self) -> String {
        format!("{}x{}", self.name, self.item_index)
    }

    fn next_write(&mut self) -> (u64, String) {
        self.last_number += 1;
        let text = format!("WRITE {0} {0}-{1}", self.item(), self.last_number);
        (self.last_number, text)
    }

    async fn write(&mut self, session: &mut Session) -> io::Result<()> {
        let (number, text) = self.next_write();
        let answer = self.ask(session, &text).await;
        self.record_write((number, number), &answer);
        answer.map(|_| ())
    }

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

    async fn read(&mut self, session: &mut Session) -> io::Result<()> {
        let at_least = self.least_number_due(session.database);
        let text = format!("READ {}", self.item());
        let answer = self.ask(session, &text).await;
        self.record_read(at_least, &answer);
        answer.map(|_| ())
    }

    /// Reads by a prepared statement whose name other sessions use for other shapes.
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

    /// Returns the least number that a read may return now.
    fn least_number_due(&self, database: &Database) -> u64 {
        let is_due = |(at, session, _): &&(Instant, u64, u64)| {
            at.elapsed() > database.max_staleness
                || (database.reads_own_writes && *session == self.sessions)
        };
        let due = self.acknowledged.iter().filter(is_due);
        due.map(|(.., number)| *number).max().unwrap_or_default()
    }

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

    fn record_read(&mut self, at_least: u64, answer: &io::Result<LineAnswer>) {
        self.attempts.push(Attempt {
            item: self.item(),
            operation: Operation::Read { at_least },
            outcome: outcome(answer),
        });
    }

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
