//! One client session of a benchmark run: writes, reads its writes and moves between daemons.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::{
    Attempt, BenchSettings, Error, Ledger, Operation, StatementLatencies, WriteOutcome,
    attempt_result,
};

/// The most attempts at one write, or at one statement that prepares or checks a run.
const ATTEMPTS_MAX: u32 = 60;

/// The time after which a write is not retried any more.
const RETRY_TIME_MAX: Duration = Duration::from_secs(15);

/// The delay before a retry if the daemon named none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The timeout for reading the session token from a daemon before the session leaves it.
const TOKEN_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection parameter that carries the session token.
const TOKEN_PARAMETER: &str = "sapphireslip.token";

/// A client session of a benchmark run.
#[derive(Debug)]
pub struct BenchSession {
    /// The settings of the run.
    settings: Arc<BenchSettings>,
    /// The number of the session within the run, counted from 0.
    number: u32,
    /// The random number generator, seeded by the run's seed and the session's number.
    rng: SmallRng,
    /// The index of the current daemon in the settings.
    daemon: usize,
    /// The connection to the current daemon; `None` before the first statement and after a move.
    client: Option<Client>,
    /// The session token that the last daemon reported when the session left it.
    token: Option<String>,
    /// The number of writes started so far.
    writes: u64,
    /// The number of writes acknowledged so far.
    acknowledged: u64,
    /// The latencies of statements, shared by the sessions of a run.
    statements: Arc<Mutex<StatementLatencies>>,
}

impl BenchSession {
    /// Creates a session that connects when its first statement is sent.
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

    /// Records the latencies of the session's statements in a shared collection.
    #[must_use]
    pub fn with_statement_latencies(mut self, statements: &Arc<Mutex<StatementLatencies>>) -> Self {
        self.statements = Arc::clone(statements);
        self
    }

    /// Runs one operation until its outcome is known or it is given up, and records the outcome.
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

    /// Disconnects from the daemon. The next statement connects to the next daemon and passes the
    /// session token on.
    async fn move_to_next_daemon(&mut self) {
        if let Some(client) = self.client.take().filter(|client| !client.is_closed()) {
            let shown = client.simple_query("SHOW sapphireslip.token");
            if let Ok(Ok(rows)) = tokio::time::timeout(TOKEN_QUERY_TIMEOUT, shown).await {
                self.token = first_value(&rows).filter(|token| !token.is_empty());
            }
        }
        self.daemon = (self.daemon + 1) % self.settings.daemons.len();
    }

    /// Connects to the current daemon, unless the connection is still open.
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

    /// Sends one statement, connecting first if necessary, and records its latency.
    ///
    /// After a failure to connect, the session moves to the next daemon.
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

    /// Runs a single write with a request key.
    async fn keyed_write(&mut self, ledger: &Mutex<Ledger>) {
        let request = self.next_request_key();
        let sql = format!(
            "/* sapphireslip key={request} */ {}",
            self.insert_statement(&request)
        );
        let outcome = self.write_with_retries(&[sql]).await;
        self.record_write(ledger, &request, outcome);
    }

    /// Runs a transaction. Its first write carries the request key, so that retrying the whole
    /// transaction is safe.
    async fn transaction(&mut self, ledger: &Mutex<Ledger>) {
        let request = self.next_request_key();
        let statements = [
            "BEGIN".to_owned(),
            format!(
                "/* sapphireslip key={request} */ {}",
                self.insert_statement(&request)
            ),
            format!(
                "SELECT count(*) FROM bench_entry WHERE session = {}",
                self.number
            ),
            "COMMIT".to_owned(),
        ];
        let outcome = self.write_with_retries(&statements).await;
        self.record_write(ledger, &request, outcome);
    }

    /// Returns a request key that no other write has, of this run or an earlier one.
    fn next_request_key(&mut self) -> String {
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

    /// Returns the statement that stores a request.
    fn insert_statement(&mut self, request: &str) -> String {
        let amount: u32 = self.rng.random_range(1..1_000);
        let number = self.number;
        let writes = self.writes;
        format!("INSERT INTO bench_entry VALUES ('{request}', {number}, {writes}, {amount})")
    }

    /// Retries a write with the same request key after the delay that the daemon names, until the
    /// write is acknowledged or the attempts or the time run out.
    async fn write_with_retries(&mut self, statements: &[String]) -> WriteOutcome {
        let started = Instant::now();
        let mut may_have_run = false;
        for _ in 0..ATTEMPTS_MAX {
            let attempt = self.attempt(statements).await;
            match attempt {
                Attempt::Done => return WriteOutcome::Done,
                // No other session uses this key. A retry of a single statement that has run
                // returns its recorded answer, so here the key was claimed by a refusal. For a
                // transaction, either may have happened.
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

    /// Sends the statements of one attempt in order, up to the first failure.
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

    /// Rolls a failed transaction back, unless its COMMIT failed, and returns the attempt's result.
    ///
    /// A transaction that failed before its COMMIT was sent has not run.
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

    /// Records the final outcome of a write.
    fn record_write(&mut self, ledger: &Mutex<Ledger>, request: &str, outcome: WriteOutcome) {
        if outcome == WriteOutcome::Done {
            self.acknowledged += 1;
        }
        if let Ok(mut ledger) = ledger.lock() {
            ledger.record_write(request, outcome, Instant::now());
        }
    }

    /// Runs a read that may return stale data.
    async fn view(&mut self, ledger: &Mutex<Ledger>) {
        let sql = "SELECT max(amount) FROM bench_entry";
        let result = self.query(sql).await;
        record_read(ledger, result.map(|_rows| false));
    }

    /// Counts the session's own writes and records whether an acknowledged one is missing.
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

/// Why a statement was not answered.
#[derive(Debug)]
enum QueryError {
    /// The connection could not be opened, so nothing was sent.
    Connect(tokio_postgres::Error),
    /// The connection was closed before the statement was sent.
    Closed,
    /// The statement failed, or the connection broke before its answer arrived.
    Statement(tokio_postgres::Error),
}

/// Records a read: whether it was stale, or that it was refused.
fn record_read(ledger: &Mutex<Ledger>, is_stale: Result<bool, QueryError>) {
    let Ok(mut ledger) = ledger.lock() else {
        return;
    };
    match is_stale {
        Ok(is_stale) => ledger.record_read(is_stale),
        Err(_refused) => ledger.record_refused_read(),
    }
}

/// Returns the value in the first column of the first row; `None` if there is no row or it is NULL.
pub(crate) fn first_value(rows: &[SimpleQueryMessage]) -> Option<String> {
    rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Returns the values in the first column of all rows, without NULLs.
pub(crate) fn first_column(rows: &[SimpleQueryMessage]) -> Vec<String> {
    let value = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    rows.iter().filter_map(value).collect()
}

/// Creates the table of a run if it doesn't exist, and deletes the rows of earlier runs.
///
/// # Errors
///
/// [`Error::Bench`] if all attempts fail.
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

/// Returns the request keys that are stored at the end of a run.
///
/// # Errors
///
/// [`Error::Bench`] if all attempts fail.
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

/// Reads the stored request keys in a transaction, since only the primary serves transactions.
async fn read_requests_at_primary(
    settings: &Arc<BenchSettings>,
) -> Result<Vec<SimpleQueryMessage>, QueryError> {
    let mut session = BenchSession::new(Arc::clone(settings), 0);
    session.query("BEGIN").await?;
    let rows = session.query("SELECT request FROM bench_entry").await?;
    session.query("COMMIT").await?;
    Ok(rows)
}

/// Runs a statement, moving to the next daemon after each failure.
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
