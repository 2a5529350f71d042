//! A caller's session in a scenario.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphireslip::{Attempt, attempt_result};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// The user name of every caller.
pub const USER: &str = "till";

/// Its password.
pub const PASSWORD: &str = "a counter by the door";

/// The time within which a caller stops trying.
const GIVE_UP_AFTER: Duration = Duration::from_secs(15);

/// The wait of a caller that was not told when to come back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest that a caller waits for one answer; far above every deadline of a document.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// How often, and after what pause, a closed session looks for the reason.
const CLOSE_POLLS: u32 = 20;

/// The pause between two looks.
const CLOSE_POLL: Duration = Duration::from_millis(5);

/// Where a session connects, and with what token.
#[derive(Clone, Debug)]
pub struct Target {
    pub daemon: SocketAddr,
    pub database: String,
    pub token: Option<String>,
    pub password: String,
}

/// A session and what it was told.
#[derive(Debug)]
pub struct ScriptSession {
    pub name: String,
    pub target: Target,
    pub client: Option<Client>,
    pub acknowledged: u64,
    /// Where it goes on after a write of unknown outcome, in turn.
    pub roams: Vec<SocketAddr>,
    /// Attempts of which it was not told whether they ran.
    pub doubts: Arc<AtomicU64>,
    /// The SQLSTATE with which its daemon closed the session.
    pub closed_with: Arc<Mutex<Option<String>>>,
}

impl ScriptSession {
    pub fn new(name: &str, target: Target) -> Self {
        Self {
            name: name.to_owned(),
            target,
            client: None,
            acknowledged: 0,
            roams: Vec::new(),
            doubts: Arc::default(),
            closed_with: Arc::default(),
        }
    }

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

    /// Sends one statement; a lost connection counts as unknown, a failed connect as not run.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, Attempt> {
        if let Err(err) = self.connect().await {
            let told = attempt_result(&err);
            let retry_after = match told {
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
            Ok(Err(err)) if err.is_closed() && self.was_told_to_leave().await => {
                Err(Attempt::NotRun {
                    retry_after: Some(Duration::ZERO),
                    message: "57P01: closed while idle".to_owned(),
                })
            }
            Ok(Err(err)) => {
                // What is sent after this is lost with the connection, whose end may come later.
                if err.code() == Some(&SqlState::ADMIN_SHUTDOWN) {
                    self.client = None;
                }
                Err(attempt_result(&err))
            }
            Ok(Ok(messages)) => Ok(messages),
            Err(_elapsed) => Err(Attempt::Unknown {
                message: "no answer at all".to_owned(),
            }),
        }
    }

    /// Sends statements one after another without waiting for their answers.
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

    /// Returns whether the daemon closed the idle session with the code of a planned stop: then
    /// it has taken nothing that was sent since.
    async fn was_told_to_leave(&self) -> bool {
        for _ in 0..CLOSE_POLLS {
            if self.closed_with.lock().unwrap().is_some() {
                break;
            }
            tokio::time::sleep(CLOSE_POLL).await;
        }
        self.closed_with.lock().unwrap().as_deref() == Some("57P01")
    }

    /// Reads the token that the session's daemon has reported.
    pub async fn token(&mut self) -> Option<String> {
        let rows = self.query("SHOW sapphireslip.token").await.ok()?;
        first_value(&rows)
    }

    /// Writes under a key and tries again as a caller should, until it is told what became of it.
    pub async fn write(&mut self, request: &str) -> Attempt {
        let key = format!("{}.{request}", unix_seconds());
        let sql = format!("/* sapphireslip key={key} */ {}", self.insert(request));
        self.repeat(&sql).await
    }

    /// Writes without a key, once.
    pub async fn write_unkeyed(&mut self, request: &str) -> Attempt {
        let sql = self.insert(request);
        match self.query(&sql).await {
            Ok(_) => Attempt::Done,
            Err(attempt) => attempt,
        }
    }

    fn insert(&self, request: &str) -> String {
        format!("INSERT INTO entry VALUES ('{request}', '{}')", self.name)
    }

    pub async fn repeat(&mut self, sql: &str) -> Attempt {
        let started = Instant::now();
        let mut may_have_run = false;
        let mut last = String::new();
        while started.elapsed() < GIVE_UP_AFTER {
            match self.query(sql).await {
                Ok(_) => return Attempt::Done,
                Err(Attempt::KeyTaken) => {
                    return Attempt::NotRun {
                        retry_after: None,
                        message: "claimed".to_owned(),
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
                    self.doubts.fetch_add(1, Ordering::Relaxed);
                    eprintln!(
                        "{:.6}: in doubt: {}, {message}, {sql}",
                        unix_time().as_secs_f64(),
                        self.name
                    );
                    last = message;
                    self.roam();
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

    /// Goes to the next daemon, if it roams.
    fn roam(&mut self) {
        if self.roams.is_empty() {
            return;
        }
        self.target.daemon = self.roams.remove(0);
        self.roams.push(self.target.daemon);
        self.client = None;
    }

    /// Returns whether a read shows every write that this session was told is done.
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
            eprintln!("stale: {name} saw {count} of {acknowledged} writes in {rows:?}");
        }
        Ok(sees)
    }
}

pub fn unix_seconds() -> u64 {
    unix_time().as_secs()
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

pub fn first_value(rows: &[SimpleQueryMessage]) -> Option<String> {
    values(rows).into_iter().next()
}

/// Returns the first column.
pub fn values(rows: &[SimpleQueryMessage]) -> Vec<String> {
    let value = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    rows.iter().filter_map(value).collect()
}
