//! A client's session in a scenario.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphireslip::{Attempt, attempt_result};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// The user name of every session.
pub const USER: &str = "till";

/// The password of [`USER`].
pub const PASSWORD: &str = "a counter by the door";

/// The time after which a session stops retrying a statement.
const RETRY_LIMIT: Duration = Duration::from_secs(15);

/// The delay before a retry if the daemon named none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The time limit for one answer; far above the deadlines of all documents, so that the daemon
/// answers first.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// The number of times that a session looks for the SQLSTATE of a closed connection.
const CLOSE_POLLS: u32 = 20;

/// The pause after each look for the SQLSTATE of a closed connection.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Where and how a session connects.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address at which the daemon accepts clients.
    pub daemon: SocketAddr,
    /// The database's name.
    pub database: String,
    /// The token of earlier writes to present at the start of the session.
    pub token: Option<String>,
    /// The password to log in with.
    pub password: String,
}

/// A named session with its connection and the outcomes reported to it.
#[derive(Debug)]
pub struct ScriptSession {
    /// The name in the script, stored with each row that the session writes.
    pub name: String,
    /// Where and how the session connects.
    pub target: Target,
    /// The connection; `None` before the first connect and after the session has dropped it.
    pub client: Option<Client>,
    /// The number of writes acknowledged to all sessions of this name.
    pub acknowledged: u64,
    /// The client addresses of the daemons that the session moves to in turn after an attempt with
    /// an unknown outcome; empty if it stays.
    pub fallback_daemons: Vec<SocketAddr>,
    /// The number of attempts with an unknown outcome; sessions of a load share it.
    pub unknown_outcomes: Arc<AtomicU64>,
    /// The SQLSTATE with which the daemon closed the last connection, if it has closed it.
    pub closed_with: Arc<Mutex<Option<String>>>,
}

impl ScriptSession {
    /// Returns a session that is not connected.
    pub fn new(name: &str, target: Target) -> Self {
        Self {
            name: name.to_owned(),
            target,
            client: None,
            acknowledged: 0,
            fallback_daemons: Vec::new(),
            unknown_outcomes: Arc::default(),
            closed_with: Arc::default(),
        }
    }

    /// Connects unless the session has an open connection.
    pub async fn connect(&mut self) -> Result<(), tokio_postgres::Error> {
        if self
            .client
            .as_ref()
            .is_some_and(|client| !client.is_closed())
        {
            return Ok(());
        }
        let mut config = tokio_postgres::Config::new();
        let daemon = self.target.daemon;
        config.host(daemon.ip().to_string()).port(daemon.port());
        config
            .user(USER)
            .password(&self.target.password)
            .dbname(&self.target.database);
        config.connect_timeout(Duration::from_secs(5));
        if let Some(token) = &self.target.token {
            config.options(format!("-c sapphireslip.token={token}"));
        }
        let (client, connection) = config.connect(NoTls).await?;
        let closed_with = Arc::clone(&self.closed_with);
        *closed_with.lock().unwrap() = None;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                let code = err.code().map(|code| code.code().to_owned());
                *closed_with.lock().unwrap() = code;
            }
        });
        self.client = Some(client);
        Ok(())
    }

    /// Sends one statement, after connecting if necessary.
    ///
    /// # Errors
    ///
    /// Returns [`Attempt::NotRun`] if connecting failed or the daemon had closed the idle session
    /// for a planned stop, [`Attempt::Unknown`] if the connection was lost or no answer came, and
    /// else the outcome that the error reports.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, Attempt> {
        if let Err(err) = self.connect().await {
            let attempt = attempt_result(&err);
            let retry_after = match attempt {
                Attempt::NotRun { retry_after, .. } => retry_after,
                _ => None,
            };
            return Err(Attempt::NotRun {
                retry_after,
                message: format!("connect: {err:?}"),
            });
        }
        let Some(client) = &self.client else {
            unreachable!("it has just been connected")
        };
        let answer = tokio::time::timeout(ANSWER_LIMIT, client.simple_query(sql)).await;
        match answer {
            Ok(Err(err)) if err.is_closed() && self.was_closed_by_planned_stop().await => {
                Err(Attempt::NotRun {
                    retry_after: Some(Duration::ZERO),
                    message: "57P01: the idle session was closed".to_owned(),
                })
            }
            Ok(Err(err)) => {
                // The daemon is closing the connection. Its end may be noticed later, and
                // statements sent until then would be lost.
                if err.code() == Some(&SqlState::ADMIN_SHUTDOWN) {
                    self.client = None;
                }
                Err(attempt_result(&err))
            }
            Ok(Ok(messages)) => Ok(messages),
            Err(_elapsed) => Err(Attempt::Unknown {
                message: "no answer within the time limit".to_owned(),
            }),
        }
    }

    /// Sends statements without waiting for the answers in between, and returns one answer for
    /// each.
    pub async fn pipeline(
        &mut self,
        texts: &[String],
    ) -> Vec<Result<Vec<SimpleQueryMessage>, Attempt>> {
        if let Err(err) = self.connect().await {
            let failed = Attempt::NotRun {
                retry_after: None,
                message: format!("connect: {err:?}"),
            };
            return texts.iter().map(|_| Err(failed.clone())).collect();
        }
        let Some(client) = &self.client else {
            unreachable!("it has just been connected")
        };
        let sent = texts.iter().map(|text| client.simple_query(text));
        let answers = futures::future::join_all(sent).await;
        answers
            .into_iter()
            .map(|answer| answer.map_err(|err| attempt_result(&err)))
            .collect()
    }

    /// Returns whether the daemon closed the idle session with the SQLSTATE of a planned stop. It
    /// has then run nothing that was sent since.
    async fn was_closed_by_planned_stop(&self) -> bool {
        for _ in 0..CLOSE_POLLS {
            if self.closed_with.lock().unwrap().is_some() {
                break;
            }
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        self.closed_with.lock().unwrap().as_deref() == Some("57P01")
    }

    /// Returns the token that the daemon reports for the session; `None` if the query fails.
    pub async fn token(&mut self) -> Option<String> {
        let rows = self.query("SHOW sapphireslip.token").await.ok()?;
        first_value(&rows)
    }

    /// Writes a row under a request key, with retries under the same key until the outcome is
    /// known.
    pub async fn write(&mut self, request: &str) -> Attempt {
        let key = format!("{}.{request}", unix_seconds());
        let sql = format!("/* sapphireslip key={key} */ {}", self.insert(request));
        self.execute_with_retries(&sql).await
    }

    /// Writes a row once, without a request key.
    pub async fn write_unkeyed(&mut self, request: &str) -> Attempt {
        let sql = self.insert(request);
        match self.query(&sql).await {
            Ok(_) => Attempt::Done,
            Err(attempt) => attempt,
        }
    }

    /// Returns the statement that writes the row of a request.
    fn insert(&self, request: &str) -> String {
        format!("INSERT INTO entry VALUES ('{request}', '{}')", self.name)
    }

    /// Sends a statement until it is done or its request key is refused, for at most
    /// [`RETRY_LIMIT`].
    ///
    /// Moves to the next daemon after each attempt with an unknown outcome, if the session has
    /// others to move to. Returns [`Attempt::Unknown`] if such an attempt happened and no later one
    /// settled the outcome.
    pub async fn execute_with_retries(&mut self, sql: &str) -> Attempt {
        let started = Instant::now();
        let mut may_have_run = false;
        let mut last = String::new();
        while started.elapsed() < RETRY_LIMIT {
            match self.query(sql).await {
                Ok(_) => return Attempt::Done,
                Err(Attempt::KeyTaken) => {
                    return Attempt::NotRun {
                        retry_after: None,
                        message: "the request key was refused".to_owned(),
                    };
                }
                Err(Attempt::NotRun {
                    retry_after,
                    message,
                }) => {
                    last = message;
                    tokio::time::sleep(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)).await;
                }
                Err(Attempt::Unknown { message }) => {
                    may_have_run = true;
                    self.unknown_outcomes.fetch_add(1, Ordering::Relaxed);
                    eprintln!(
                        "{:.6}: unknown outcome in session {}: {message}; statement: {sql}",
                        unix_time().as_secs_f64(),
                        self.name
                    );
                    last = message;
                    self.move_to_next_daemon();
                    tokio::time::sleep(DEFAULT_RETRY_AFTER).await;
                }
                Err(Attempt::Done) => return Attempt::Done,
            }
        }
        if may_have_run {
            return Attempt::Unknown { message: last };
        }
        Attempt::NotRun {
            retry_after: None,
            message: last,
        }
    }

    /// Drops the connection and targets the next fallback daemon, if there is one.
    fn move_to_next_daemon(&mut self) {
        if self.fallback_daemons.is_empty() {
            return;
        }
        self.target.daemon = self.fallback_daemons.remove(0);
        self.fallback_daemons.push(self.target.daemon);
        self.client = None;
    }

    /// Returns whether a read shows every write acknowledged to this session.
    pub async fn sees_its_writes(&mut self) -> Result<bool, Attempt> {
        let sql = format!("SELECT count(*) FROM entry WHERE session = '{}'", self.name);
        let rows = self.query(&sql).await?;
        let count = first_value(&rows)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0);
        let sees = count >= self.acknowledged;
        if !sees {
            let Self {
                name, acknowledged, ..
            } = self;
            eprintln!(
                "stale read: session {name} saw {count} of {acknowledged} writes in {rows:?}"
            );
        }
        Ok(sees)
    }
}

/// Returns the current time in whole seconds since the Unix epoch.
pub fn unix_seconds() -> u64 {
    unix_time().as_secs()
}

/// Returns the time since the Unix epoch.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the first column of the first row, if there is one.
pub fn first_value(rows: &[SimpleQueryMessage]) -> Option<String> {
    first_column(rows).into_iter().next()
}

/// Returns the first column of all rows, without nulls.
pub fn first_column(rows: &[SimpleQueryMessage]) -> Vec<String> {
    let value = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    rows.iter().filter_map(value).collect()
}
