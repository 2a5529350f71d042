//! Commands for single sessions, and the texts in which scripts see the answers.

use std::time::Instant;

use sapphireslip::Attempt;
use standins::{Fleet, http_get, wait_for};
use tokio_postgres::SimpleQueryMessage;

use super::load::ledger_outcome;
use super::scenario::{CommandResult, DONE, PROGRESS_LIMIT, Scenario};
use super::script_args::ScriptArgs;
use super::script_session::{PASSWORD, ScriptSession, Target, first_column};

impl Scenario {
    /// Opens or reopens a named session, with a given token, with another session's token, or
    /// without one.
    ///
    /// A session that is opened again keeps its count of acknowledged writes. Returns the SQLSTATE
    /// if the connection is refused.
    pub(super) async fn session(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let daemon = args.parse("daemon")?.unwrap_or(0);
        let database = args.text("database").unwrap_or("stock").to_owned();
        let from = args.text("token-of");
        let token = match from {
            Some(from) => self.session_mut(from)?.token().await,
            None => args.text("token").map(str::to_owned),
        };
        let mut target = target(self.fleet()?, daemon, &database, token);
        if let Some(password) = args.text("password") {
            target.password = password.to_owned();
        }
        let acknowledged = self
            .sessions
            .get(&name)
            .map_or(0, |session| session.acknowledged);
        let mut session = ScriptSession::new(&name, target);
        session.acknowledged = acknowledged;
        let connected = session.connect().await;
        self.sessions.insert(name, session);
        Ok(connected.map_or_else(
            |err| format!("refused: {}", code_of(&err)),
            |()| String::new(),
        ))
    }

    /// Returns the session of a name, or an error if the script has not opened it.
    pub(super) fn session_mut(&mut self, name: &str) -> Result<&mut ScriptSession, String> {
        self.sessions
            .get_mut(name)
            .ok_or_else(|| format!("unknown session `{name}`"))
    }

    /// Sends a statement and returns its answer.
    pub(super) async fn sql(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let text = args.next("the statement")?.to_owned();
        let text = self.expand_times(&text);
        let answer = self.session_mut(&name)?.query(&text).await;
        Ok(describe_answer(&answer))
    }

    /// Replaces `NOW`, with or without an offset in hours, by the scenario's start in Unix seconds.
    pub(super) fn expand_times(&self, text: &str) -> String {
        let hour = 60 * 60;
        text.replace(
            "NOW-25H",
            &(self.start_unix_seconds - 25 * hour).to_string(),
        )
        .replace(
            "NOW-22H",
            &(self.start_unix_seconds - 22 * hour).to_string(),
        )
        .replace("NOW+1H", &(self.start_unix_seconds + hour).to_string())
        .replace("NOW", &self.start_unix_seconds.to_string())
    }

    /// Sends a statement, retries it while it is refused as not run with a delay for the retry, and
    /// returns the last answer.
    pub(super) async fn sql_retry(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let text = self.expand_times(args.next("the statement")?);
        let until = Instant::now() + PROGRESS_LIMIT;
        let session = self.session_mut(&name)?;
        loop {
            let answer = session.query(&text).await;
            match &answer {
                Err(Attempt::NotRun {
                    retry_after: Some(wait),
                    ..
                }) if Instant::now() < until => tokio::time::sleep(*wait).await,
                _ => return Ok(describe_answer(&answer)),
            }
        }
    }

    /// Starts a statement and returns once a home has sent a request to a server.
    pub(super) async fn sql_start(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let text = args.next("the statement")?.to_owned();
        let text = self.expand_times(&text);
        let mut session = self.sessions.remove(&name).ok_or("unknown session")?;
        let fleet = self.fleet()?;
        let daemon = (0..fleet.daemons())
            .find(|number| fleet.clients(*number) == session.target.daemon)
            .ok_or("the session is connected to no daemon of this fleet")?;
        let before = sent_requests(fleet).await;
        let sent = async move {
            let answer = session.query(&text).await;
            (session, answer)
        };
        let handle = tokio::spawn(sent);
        let is_sent = async || (sent_requests(fleet).await > before).then_some(());
        wait_for(
            &format!("request sent for the statement at daemon {daemon}"),
            PROGRESS_LIMIT,
            is_sent,
        )
        .await?;
        self.pending_statements.insert(name, handle);
        Ok(String::new())
    }

    /// Waits for the answer to the statement that a session started, and returns it.
    pub(super) async fn sql_wait(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let (session, answer) = self
            .pending_statements
            .remove(&name)
            .ok_or("the session has no started statement")?
            .await?;
        self.sessions.insert(name, session);
        Ok(describe_answer(&answer))
    }

    /// Kills the primary of the first database.
    pub(super) async fn kill_primary(&mut self) -> CommandResult {
        let fleet = self.fleet()?;
        let server = super::faults::find_server(fleet, "primary").await?;
        fleet.group(0).kill(server);
        self.killed_servers.insert(server);
        Ok(String::new())
    }

    /// Restarts the servers that `kill-primary` has killed.
    pub(super) async fn restart_killed(&mut self) -> CommandResult {
        for server in std::mem::take(&mut self.killed_servers) {
            self.fleet()?.group(0).restart(server).await?;
        }
        Ok(String::new())
    }

    /// Writes under a request key with retries and returns the outcome.
    pub(super) async fn write(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let request = args.next("the request")?.to_owned();
        let attempt = self.session_mut(&name)?.write(&request).await;
        Ok(self.record_write(&name, &request, &attempt))
    }

    /// Records the outcome of a write in the ledger and the session, and returns its text.
    pub(super) fn record_write(&mut self, name: &str, request: &str, attempt: &Attempt) -> String {
        if *attempt == Attempt::Done
            && let Some(session) = self.sessions.get_mut(name)
        {
            session.acknowledged += 1;
        }
        self.ledger
            .lock()
            .unwrap()
            .record_write(request, ledger_outcome(attempt), Instant::now());
        describe(attempt)
    }

    /// Reads and returns whether the session sees all its acknowledged writes.
    pub(super) async fn reads_own(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let sees = self.session_mut(&name)?.sees_its_writes().await;
        if let Ok(sees) = sees {
            self.ledger.lock().unwrap().record_read(!sees);
        }
        Ok(match sees {
            Ok(true) => "sees its writes".to_owned(),
            Ok(false) => "stale".to_owned(),
            Err(attempt) => describe(&attempt),
        })
    }

    /// Closes a session's connection.
    pub(super) fn close(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        self.session_mut(&name)?.client = None;
        Ok(String::new())
    }
}

/// Returns the target of a session on a daemon, with the right password.
pub(super) fn target(
    fleet: &Fleet,
    daemon: usize,
    database: &str,
    token: Option<String>,
) -> Target {
    Target {
        daemon: fleet.clients(daemon),
        database: database.to_owned(),
        token,
        password: PASSWORD.to_owned(),
    }
}

/// Returns the SQLSTATE of a driver error, or its text if it has none.
fn code_of(err: &tokio_postgres::Error) -> String {
    err.code()
        .map_or_else(|| err.to_string(), |code| code.code().to_owned())
}

/// Returns the number of requests sent to backend servers in the timelines of the daemons that
/// answer.
async fn sent_requests(fleet: &Fleet) -> usize {
    let mut sent = 0;
    for number in 0..fleet.daemons() {
        let Ok(page) = http_get(fleet.admin(number), "/timeline?since=0").await else {
            continue;
        };
        sent += page.body.matches("RequestSent").count();
    }
    sent
}

/// Returns the output for an answer: the first column of its rows, `ok` if that is empty, or the
/// outcome of a failed attempt.
pub(super) fn describe_answer(answer: &Result<Vec<SimpleQueryMessage>, Attempt>) -> String {
    match answer {
        Ok(rows) if first_column(rows).concat().is_empty() => "ok".to_owned(),
        Ok(rows) => first_column(rows).join("\n"),
        Err(attempt) => describe(attempt),
    }
}

/// Returns the output for an outcome; `come back` means that the daemon named a delay for a retry.
fn describe(attempt: &Attempt) -> String {
    match attempt {
        Attempt::Done => DONE.to_owned(),
        Attempt::KeyTaken => "refused: 23505".to_owned(),
        Attempt::NotRun {
            message,
            retry_after,
        } => {
            let code = message.split(':').next().unwrap_or_default();
            let when = if retry_after.is_some() {
                ", come back"
            } else {
                ""
            };
            format!("not run: {code}{when}")
        }
        Attempt::Unknown { .. } => "unknown".to_owned(),
    }
}
