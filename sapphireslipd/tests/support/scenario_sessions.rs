//! The commands of single sessions: what they send and what they are told.

use std::time::Instant;

use sapphireslip::Attempt;
use standins::{Fleet, http_get, wait_for};
use tokio_postgres::SimpleQueryMessage;

use super::load::told;
use super::scenario::{DONE, PROGRESS_LIMIT, Said, Scenario};
use super::script_args::ScriptArgs;
use super::script_session::{PASSWORD, ScriptSession, Target, values};

impl Scenario {
    pub(super) async fn session(&mut self, args: &mut ScriptArgs<'_>) -> Said {
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

    pub(super) fn session_mut(&mut self, name: &str) -> Result<&mut ScriptSession, String> {
        self.sessions
            .get_mut(name)
            .ok_or_else(|| format!("no session `{name}`"))
    }

    pub(super) async fn sql(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let text = args.next("the statement")?.to_owned();
        let text = self.with_times(&text);
        let answer = self.session_mut(&name)?.query(&text).await;
        Ok(describe_answer(&answer))
    }

    /// Puts the second at which the scenario began, and hours from it, in place of `NOW`.
    pub(super) fn with_times(&self, text: &str) -> String {
        let hour = 60 * 60;
        text.replace("NOW-25H", &(self.began - 25 * hour).to_string())
            .replace("NOW-22H", &(self.began - 22 * hour).to_string())
            .replace("NOW+1H", &(self.began + hour).to_string())
            .replace("NOW", &self.began.to_string())
    }

    /// Sends a statement, and again while it is told that it was not run and when to come back.
    pub(super) async fn sql_retry(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let text = self.with_times(args.next("the statement")?);
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

    /// Sends a statement and returns once its daemon has it.
    pub(super) async fn sql_start(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let text = args.next("the statement")?.to_owned();
        let text = self.with_times(&text);
        let mut session = self.sessions.remove(&name).ok_or("no such session")?;
        let fleet = self.fleet()?;
        let daemon = (0..fleet.daemons())
            .find(|number| fleet.clients(*number) == session.target.daemon)
            .ok_or("the session's daemon is not of this fleet")?;
        let before = sent_requests(fleet).await;
        let sent = async move {
            let answer = session.query(&text).await;
            (session, answer)
        };
        let handle = tokio::spawn(sent);
        let is_sent = async || (sent_requests(fleet).await > before).then_some(());
        wait_for(
            &format!("statement at daemon {daemon}"),
            PROGRESS_LIMIT,
            is_sent,
        )
        .await?;
        self.started.insert(name, handle);
        Ok(String::new())
    }

    pub(super) async fn sql_wait(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let (session, answer) = self
            .started
            .remove(&name)
            .ok_or("nothing was started")?
            .await?;
        self.sessions.insert(name, session);
        Ok(describe_answer(&answer))
    }

    pub(super) async fn kill_primary(&mut self) -> Said {
        let fleet = self.fleet()?;
        let server = super::faults::server(fleet, "primary").await?;
        fleet.group(0).kill(server);
        self.killed.insert(server);
        Ok(String::new())
    }

    pub(super) async fn restart_killed(&mut self) -> Said {
        for server in std::mem::take(&mut self.killed) {
            self.fleet()?.group(0).restart(server).await?;
        }
        Ok(String::new())
    }

    pub(super) async fn write(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let request = args.next("the request")?.to_owned();
        let attempt = self.session_mut(&name)?.write(&request).await;
        Ok(self.note(&name, &request, &attempt))
    }

    pub(super) fn note(&mut self, name: &str, request: &str, attempt: &Attempt) -> String {
        if *attempt == Attempt::Done
            && let Some(session) = self.sessions.get_mut(name)
        {
            session.acknowledged += 1;
        }
        self.ledger
            .lock()
            .unwrap()
            .record_write(request, told(attempt), Instant::now());
        describe(attempt)
    }

    pub(super) async fn reads_own(&mut self, args: &mut ScriptArgs<'_>) -> Said {
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

    pub(super) fn close(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        self.session_mut(&name)?.client = None;
        Ok(String::new())
    }
}

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

fn code_of(err: &tokio_postgres::Error) -> String {
    err.code()
        .map_or_else(|| err.to_string(), |code| code.code().to_owned())
}

/// Returns how many requests homes have sent to backend servers.
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

pub(super) fn describe_answer(answer: &Result<Vec<SimpleQueryMessage>, Attempt>) -> String {
    match answer {
        Ok(rows) if values(rows).concat().is_empty() => "ok".to_owned(),
        Ok(rows) => values(rows).join("\n"),
        Err(attempt) => describe(attempt),
    }
}

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
