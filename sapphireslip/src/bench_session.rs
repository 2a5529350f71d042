//! One caller's session in a run: it writes, reads its writes and moves between daemons.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::{
    Attempt, BenchSettings, Error, Ledger, Operation, StatementLatencies, WriteOutcome,
    attempt_result,
};

/// The most attempts at one write.
const ATTEMPTS_MAX: u32 = 60;

/// The time within which a caller stops trying.
const RETRY_TIME_MAX: Duration = Duration::from_secs(15);

/// The wait of a caller that was not told when to come back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The time that a session gives a daemon to tell it its token before it moves.
const TOKEN_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The parameter by which a daemon reports the session token.
const TOKEN_PARAMETER: &str = "sapphireslip.token";

/// A session of a run.
#[derive(Debug)]
pub struct BenchSession {
    settings: Arc<BenchSettings>,
    number: u32,
    rng: SmallRng,
    daemon: usize,
    client: Option<Client>,
    token: Option<String>,
    writes: u64,
    acknowledged: u64,
    statements: Arc<Mutex<StatementLatencies>>,
}

impl BenchSession {
    /// Returns a session that will connect with its first operation.
    #[must_use]
    pub fn new(settings: Arc<BenchSettings>, number: u32) -> Self {
        let seed = settings
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(number.into());
        Self {
            daemon: number as usize % settings.daemons.len(),
            rng: SmallRng::seed_from_u64(seed),
            settings,
            number,
            client: None,
            token: None,
            writes: 0,
            acknowledged: 0,
            statements: Arc::default(),
        }
    }

    /// Has the latencies of the session's statements added to those of others.
    #[must_use]
    pub fn with_statement_latencies(mut self, statements: &Arc<Mutex<StatementLatencies>>) -> Self {
        self.statements = Arc::clone(statements);
        self
    }

    /// Makes one operation to its end, and notes what came of it.
    pub async fn run(&mut self, operation: Operation, ledger: &Mutex<Ledger>) {
        if self.rng.random_range(0..100) < self.settings.roam_percent {
            self.move_to_next_daemon().await;
        }
        match operation {
            Operation::KeyedWrite => self.keyed_write(ledger).await,
            Operation::Transaction => self.transaction(ledger).await,
            Operation::View => self.view(ledger).await,
            Operation::History => self.history(ledger).await,
        }
    }

    /// Leaves the daemon; the next statement connects to the next one and brings the token.
    async fn move_to_next_daemon(&mut self) {
        if let Some(client) = self.client.take().filter(|client| !client.is_closed()) {
            let shown = client.simple_query("SHOW sapphireslip.token");
            if let Ok(Ok(rows)) = tokio::time::timeout(TOKEN_QUERY_TIMEOUT, shown).await {
                self.token = first_value(&rows).filter(|token| !token.is_empty());
            }
        }
        self.daemon = (self.daemon + 1) % self.settings.daemons.len();
    }

    async fn connect(&mut self) -> Result<(), tokio_postgres::Error> {
        if self
            .client
            .as_ref()
            .is_some_and(|client| !client.is_closed())
        {
            return Ok(());
        }
        let address = self.settings.daemons[self.daemon];
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config
            .user(&self.settings.user)
            .password(&self.settings.password);
        config.dbname(&self.settings.database);
        config.connect_timeout(Duration::from_secs(2));
        if let Some(token) = &self.token {
            config.options(format!("-c {TOKEN_PARAMETER}={token}"));
        }
        let (client, driver) = config.connect(NoTls).await?;
        tokio::spawn(async move {
            let _closed = driver.await;
        });
        self.client = Some(client);
        Ok(())
    }

    async fn query(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, QueryError> {
        if let Err(error) = self.connect().await {
            self.move_to_next_daemon().await;
            return Err(QueryError::Connect(error));
        }
        let Some(client) = &self.client else {
            return Err(QueryError::Closed);
        };
        let sent = Instant::now();
        let result = client.simple_query(sql).await;
        if let Ok(mut statements) = self.statements.lock() {
            statements.add(&result, sent.elapsed());
        }
        result.map_err(QueryError::Statement)
    }

    async fn keyed_write(&mut self, ledger: &Mutex<Ledger>) {
        let request = self.next_request();
        let sql = format!("/* sapphireslip key={request} */ {}", self.insert(&request));
        let outcome = self.write_with_retries(&[sql]).await;
        self.record_write(ledger, &request, outcome);
    }

    /// A transaction carries its key on the first write, so that trying all of it again is safe.
    async fn transaction(&mut self, ledger: &Mutex<Ledger>) {
        let request = self.next_request();
        let statements = [
            "BEGIN".to_owned(),
            format!("/* sapphireslip key={request} */ {}", self.insert(&request)),
            format!(
                "SELECT count(*) FROM bench_entry WHERE session = {}",
                self.number
            ),
            "COMMIT".to_owned(),
        ];
        let outcome = self.write_with_retries(&statements).await;
        self.record_write(ledger, &request, outcome);
    }

    fn next_request(&mut self) -> String {
        self.writes += 1;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        format!(
            "{}.{}-{}-{}",
            unix.as_secs(),
            self.settings.seed,
            self.number,
            self.writes
        )
    }

    fn insert(&mut self, request: &str) -> String {
        let amount: u32 = self.rng.random_range(1..1_000);
        let number = self.number;
        let writes = self.writes;
        format!("INSERT INTO bench_entry VALUES ('{request}', {number}, {writes}, {amount})")
    }

    /// Tries as a caller should: again with the same key after the time it was told, until it is
    /// told that the write is done or its patience ends.
    async fn write_with_retries(&mut self, statements: &[String]) -> WriteOutcome {
        let started = Instant::now();
        let mut may_have_run = false;
        for _ in 0..ATTEMPTS_MAX {
            let attempt = self.attempt(statements).await;
            match attempt {
                Attempt::Done => return WriteOutcome::Done,
                // This session alone uses the key. A single statement that had run would have been
                // answered with its recorded answer, so the key was claimed as refused; of a
                // transaction it isn't known which of the two it was.
                Attempt::KeyTaken if statements.len() == 1 => return WriteOutcome::NotRun,
                Attempt::KeyTaken => return WriteOutcome::Unknown,
                Attempt::NotRun { retry_after, .. } => {
                    tokio::time::sleep(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)).await;
                }
                Attempt::Unknown { .. } => {
                    may_have_run = true;
                    self.move_to_next_daemon().await;
                    tokio::time::sleep(DEFAULT_RETRY_AFTER).await;
                }
            }
            if started.elapsed() > RETRY_TIME_MAX {
                break;
            }
        }
        if may_have_run {
            WriteOutcome::Unknown
        } else {
            WriteOutcome::NotRun
        }
    }

    async fn attempt(&mut self, statements: &[String]) -> Attempt {
        for (at, sql) in statements.iter().enumerate() {
            match self.query(sql).await {
                Ok(_) => {}
                Err(QueryError::Connect(error)) => {
                    return Attempt::NotRun {
                        retry_after: None,
                        message: error.to_string(),
                    };
                }
                Err(QueryError::Closed) => {
                    return Attempt::NotRun {
                        retry_after: None,
                        message: "closed".to_owned(),
                    };
                }
                Err(QueryError::Statement(error)) => {
                    let is_last = at + 1 == statements.len();
                    let attempt = attempt_result(&error);
                    if statements.len() == 1 {
                        return attempt;
                    }
                    return self.end_transaction(attempt, is_last).await;
                }
            }
        }
        Attempt::Done
    }

    /// Until its COMMIT was sent, a transaction that broke off was not run.
    async fn end_transaction(&mut self, attempt: Attempt, is_commit: bool) -> Attempt {
        if is_commit {
            return attempt;
        }
        if self.query("ROLLBACK").await.is_err() {
            self.move_to_next_daemon().await;
        }
        match attempt {
            Attempt::Unknown { message } => Attempt::NotRun {
                retry_after: None,
                message,
            },
            other => other,
        }
    }

    fn record_write(&mut self, ledger: &Mutex<Ledger>, request: &str, outcome: WriteOutcome) {
        if outcome == WriteOutcome::Done {
            self.acknowledged += 1;
        }
        if let Ok(mut ledger) = ledger.lock() {
            ledger.record_write(request, outcome, Instant::now());
        }
    }

    async fn view(&mut self, ledger: &Mutex<Ledger>) {
        let sql = "SELECT max(amount) FROM bench_entry";
        let result = self.query(sql).await;
        record_read(ledger, result.map(|_rows| false));
    }

    async fn history(&mut self, ledger: &Mutex<Ledger>) {
        let sql = format!(
            "SELECT count(*) FROM bench_entry WHERE session = {}",
            self.number
        );
        let expected = self.acknowledged;
        let result = self.query(&sql).await;
        let is_stale = result.map(|rows| {
            let count = first_value(&rows).and_then(|text| text.parse::<u64>().ok());
            count.is_none_or(|count| count < expected)
        });
        record_read(ledger, is_stale);
    }
}

/// Why a statement had no answer.
#[derive(Debug)]
enum QueryError {
    /// No connection, so that nothing was sent.
    Connect(tokio_postgres::Error),
    /// The connection was dropped before the statement.
    Closed,
    /// The statement failed, or its answer was lost.
    Statement(tokio_postgres::Error),
}

fn record_read(ledger: &Mutex<Ledger>, is_stale: Result<bool, QueryError>) {
    let Ok(mut ledger) = ledger.lock() else {
        return;
    };
    match is_stale {
        Ok(is_stale) => ledger.record_read(is_stale),
        Err(_refused) => ledger.record_refused_read(),
    }
}

/// Returns the first column of the first row.
pub(crate) fn first_value(rows: &[SimpleQueryMessage]) -> Option<String> {
    rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Returns all values of the first column.
pub(crate) fn first_column(rows: &[SimpleQueryMessage]) -> Vec<String> {
    let value = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    rows.iter().filter_map(value).collect()
}

/// Makes the table of a run and empties it of earlier entries.
///
/// # Errors
///
/// [`Error::Bench`] if a daemon refuses.
pub(crate) async fn prepare_table(settings: &Arc<BenchSettings>) -> Result<(), Error> {
    let statements = [
        "CREATE TABLE IF NOT EXISTS bench_entry (request TEXT, session BIGINT, sequence BIGINT, amount BIGINT)",
        "DELETE FROM bench_entry",
    ];
    for sql in statements {
        query_with_retries(settings, "prepare", sql).await?;
    }
    Ok(())
}

/// Returns the requests that are stored at the end of a run.
///
/// # Errors
///
/// [`Error::Bench`] if the daemons refuse.
pub(crate) async fn read_stored_requests(
    settings: &Arc<BenchSettings>,
) -> Result<Vec<String>, Error> {
    let mut last = None;
    for _ in 0..ATTEMPTS_MAX {
        match read_requests_at_primary(settings).await {
            Ok(rows) => return Ok(first_column(&rows)),
            Err(error) => last = Some(error),
        }
        tokio::time::sleep(DEFAULT_RETRY_AFTER).await;
    }
    let peer = settings.daemons[0];
    Err(Error::Bench("read back", peer, format!("{last:?}")))
}

/// Reads in a transaction, which only the primary serves.
async fn read_requests_at_primary(
    settings: &Arc<BenchSettings>,
) -> Result<Vec<SimpleQueryMessage>, QueryError> {
    let mut session = BenchSession::new(Arc::clone(settings), 0);
    session.query("BEGIN").await?;
    let rows = session.query("SELECT request FROM bench_entry").await?;
    session.query("COMMIT").await?;
    Ok(rows)
}

async fn query_with_retries(
    settings: &Arc<BenchSettings>,
    step: &'static str,
    sql: &str,
) -> Result<Vec<SimpleQueryMessage>, Error> {
    let mut session = BenchSession::new(Arc::clone(settings), 0);
    let mut last = String::new();
    for _ in 0..ATTEMPTS_MAX {
        match session.query(sql).await {
            Ok(rows) => return Ok(rows),
            Err(error) => last = format!("{error:?}"),
        }
        session.move_to_next_daemon().await;
        tokio::time::sleep(DEFAULT_RETRY_AFTER).await;
    }
    let peer = settings.daemons[0];
    Err(Error::Bench(step, peer, last))
}
