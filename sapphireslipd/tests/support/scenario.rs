//! The commands of a scenario script.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use goldenscript::{Command, Context, Runner};
use sapphireslip::{Attempt, Ledger};
use sapphireslipd::make_verifier;
use standins::{
    DaemonProgram, Fleet, FleetPlan, SERVERS_A_GROUP, accept_document, http_get, wait_for,
};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio_postgres::SimpleQueryMessage;

use super::faults::{fault, primary};
use super::load::{Load, told};
use super::script_args::ScriptArgs;
use super::script_session::{PASSWORD, ScriptSession, Target, unix_seconds, values};
use super::transfers::Transfers;
use super::values::Values;

/// The time within which a background load must make progress once nothing is broken.
pub(super) const PROGRESS_LIMIT: Duration = Duration::from_secs(20);

/// The time within which daemons close connections that are no longer used.
const CHECK_LIMIT: Duration = Duration::from_secs(90);

/// Writes that count as progress.
pub(super) const PROGRESS_WRITES: u64 = 20;

/// What is said of an acknowledged write.
const DONE: &str = "done";

/// A scenario in progress: a fleet, its callers, and what they were told.
#[derive(Debug)]
pub struct Scenario {
    pub(super) runtime: Runtime,
    pub(super) fleet: Option<Fleet>,
    /// The server that was told to leave last, and when.
    pub(super) leaving: Option<(usize, Instant)>,
    /// Throughput measured earlier, by load.
    pub(super) rates: BTreeMap<String, f64>,
    pub(super) sessions: BTreeMap<String, ScriptSession>,
    pub(super) loads: BTreeMap<String, Load>,
    pub(super) values: Option<Values>,
    pub(super) transfers: Option<Transfers>,
    pub(super) ledger: Arc<Mutex<Ledger>>,
    pub(super) generation: u64,
    /// The second at which the scenario began, for request keys that are used again.
    began: u64,
    pub(super) started: BTreeMap<String, JoinHandle<StartedSql>>,
    pub(super) killed: BTreeSet<usize>,
}

/// A session and the answer to the statement that it was given.
type StartedSql = (ScriptSession, Result<Vec<SimpleQueryMessage>, Attempt>);

pub(super) type Said = Result<String, Box<dyn Error>>;

impl Default for Scenario {
    fn default() -> Self {
        Self {
            runtime: Runtime::new().expect("a runtime can be had"),
            fleet: None,
            leaving: None,
            rates: BTreeMap::new(),
            began: unix_seconds(),
            sessions: BTreeMap::new(),
            loads: BTreeMap::new(),
            values: None,
            transfers: None,
            ledger: Arc::default(),
            generation: 1,
            started: BTreeMap::new(),
            killed: BTreeSet::new(),
        }
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Said {
        let mut args = ScriptArgs::new(command);
        let handle = self.runtime.handle().clone();
        let said = handle.block_on(self.step(&command.name, &mut args))?;
        args.reject_rest()?;
        Ok(said)
    }
}

impl Scenario {
    /// Copies the daemons' logs to a folder, if there is a fleet.
    pub fn copy_logs(&self, folder: &Path) -> io::Result<()> {
        self.fleet
            .as_ref()
            .map_or(Ok(()), |fleet| fleet.copy_logs(folder))
    }

    async fn step(&mut self, name: &str, args: &mut ScriptArgs<'_>) -> Said {
        match name {
            "fleet" => self.start(args).await,
            "session" => self.session(args).await,
            "sql" => self.sql(args).await,
            "sql-retry" => self.sql_retry(args).await,
            "sql-start" => self.sql_start(args).await,
            "sql-wait" => self.sql_wait(args).await,
            "kill-primary" => self.kill_primary().await,
            "restart-killed" => self.restart_killed().await,
            "write" => self.write(args).await,
            "write-unkeyed" => self.write_unkeyed(args).await,
            "write-unacknowledged" => self.write_unacknowledged(args).await,
            "reads-own" => self.reads_own(args).await,
            "close" => self.close(args),
            "load" => self.load(args),
            "load-progress" => self.load_progress(args).await,
            "load-stop" => self.load_stop(args).await,
            "writes-land" => self.writes_land(args).await,
            "platform" => self.platform(args),
            "cut" => self.cut(args),
            "heal" => self.heal(),
            "apply" => self.apply(args).await,
            "in-force" => self.in_force(args).await,
            "check" => self.check().await,
            "unknown" => Ok(format!(
                "unknown {}",
                self.ledger.lock().unwrap().verdict([]).unknown
            )),
            "load-doubts" => self.load_doubts(args),
            "refused-soon" => self.refused_soon(args).await,
            "closed" => self.closed(args).await,
            "leave" => self.leave(args).await,
            "no-new-work" => self.no_new_work(args).await,
            "replace-all" => self.replace_all().await,
            "operator" => self.operator(args).await,
            "operators-race" => self.operators_race().await,
            "throughput" => self.throughput(args).await,
            "values" => self.start_values(args),
            "values-progress" => self.values_progress().await,
            "values-stop" => self.values_stop().await,
            "transfers" => self.start_transfers(args),
            "transfers-progress" => self.transfers_progress().await,
            "transfers-stop" => self.transfers_stop().await,
            "check-torn" => self.check_torn().await,
            "sql-large" => self.sql_large(args).await,
            "pipeline" => self.pipeline(args).await,
            _ => fault(self.fleet_mut()?, name, args).await,
        }
    }

    pub(super) fn fleet(&self) -> Result<&Fleet, &'static str> {
        self.fleet.as_ref().ok_or("start with `fleet`")
    }

    pub(super) fn fleet_mut(&mut self) -> Result<&mut Fleet, &'static str> {
        self.fleet.as_mut().ok_or("start with `fleet`")
    }

    async fn start(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let program = DaemonProgram {
            path: env!("CARGO_BIN_EXE_sapphireslipd").into(),
            arguments: Vec::new(),
        };
        let verifier = make_verifier(PASSWORD);
        let mut plan = FleetPlan::new(program, super::script_session::USER, &verifier);
        let millis = |value| Duration::from_millis(value);
        if let Some(count) = args.parse("daemons")? {
            plan = plan.daemons_per_zone(count);
        }
        if let Some(count) = args.parse("connections")? {
            plan = plan.connections(count);
        }
        if let Some(value) = args.parse("lag")? {
            plan = plan.lag(millis(value));
        }
        if let Some(value) = args.parse("staleness")? {
            plan = plan.max_staleness(millis(value));
        }
        if let Some(value) = args.parse("deadline")? {
            plan = plan.deadline(millis(value));
        }
        if let Some(value) = args.parse("drain")? {
            plan = plan.drain_bound(millis(value));
        }
        if let Some(names) = args.text("databases") {
            let names: Vec<&str> = names.split(',').collect();
            plan = plan.databases(&names);
        }
        let fleet = Fleet::start(plan).await?;
        for name in fleet.databases() {
            let target = target(&fleet, 0, &name, None);
            let mut session = ScriptSession::new("setup", target);
            let sql = "CREATE TABLE IF NOT EXISTS entry (request TEXT, session TEXT)";
            if let Attempt::NotRun { message, .. } | Attempt::Unknown { message } =
                session.repeat(sql).await
            {
                return Err(message.into());
            }
        }
        self.fleet = Some(fleet);
        Ok(String::new())
    }

    async fn session(&mut self, args: &mut ScriptArgs<'_>) -> Said {
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

    async fn sql(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let text = args.next("the statement")?.to_owned();
        let text = self.with_times(&text);
        let answer = self.session_mut(&name)?.query(&text).await;
        Ok(describe_answer(&answer))
    }

    /// Puts the second at which the scenario began, and hours from it, in place of `NOW`.
    fn with_times(&self, text: &str) -> String {
        let hour = 60 * 60;
        text.replace("NOW-25H", &(self.began - 25 * hour).to_string())
            .replace("NOW-22H", &(self.began - 22 * hour).to_string())
            .replace("NOW+1H", &(self.began + hour).to_string())
            .replace("NOW", &self.began.to_string())
    }

    /// Sends a statement, and again while it is told that it was not run and when to come back.
    async fn sql_retry(&mut self, args: &mut ScriptArgs<'_>) -> Said {
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
    async fn sql_start(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let text = args.next("the statement")?.to_owned();
        let text = self.with_times(&text);
        let mut session = self.sessions.remove(&name).ok_or("no such session")?;
        let fleet = self.fleet()?;
        let daemon = (0..fleet.daemons())
            .find(|number| fleet.callers(*number) == session.target.daemon)
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

    async fn sql_wait(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let (session, answer) = self
            .started
            .remove(&name)
            .ok_or("nothing was started")?
            .await?;
        self.sessions.insert(name, session);
        Ok(describe_answer(&answer))
    }

    async fn kill_primary(&mut self) -> Said {
        let fleet = self.fleet()?;
        let server = super::faults::server(fleet, "primary").await?;
        fleet.group(0).kill(server);
        self.killed.insert(server);
        Ok(String::new())
    }

    async fn restart_killed(&mut self) -> Said {
        for server in std::mem::take(&mut self.killed) {
            self.fleet()?.group(0).restart(server).await?;
        }
        Ok(String::new())
    }

    async fn write(&mut self, args: &mut ScriptArgs<'_>) -> Said {
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
            .note_write(request, told(attempt), Instant::now());
        describe(attempt)
    }

    async fn reads_own(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let sees = self.session_mut(&name)?.sees_its_writes().await;
        if let Ok(sees) = sees {
            self.ledger.lock().unwrap().note_read(!sees);
        }
        Ok(match sees {
            Ok(true) => "sees its writes".to_owned(),
            Ok(false) => "stale".to_owned(),
            Err(attempt) => describe(&attempt),
        })
    }

    fn close(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        self.session_mut(&name)?.client = None;
        Ok(String::new())
    }

    fn load(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the load")?.to_owned();
        let sessions = args.parse("sessions")?.unwrap_or(6);
        let database = args.text("database").unwrap_or("stock").to_owned();
        let daemon: Option<usize> = args.parse("daemon")?;
        let is_roaming = args.parse("roam")?.unwrap_or(false);
        let fleet = self.fleet()?;
        let daemons = fleet.daemons();
        let all: Vec<_> = (0..daemons).map(|number| fleet.callers(number)).collect();
        let roams = if is_roaming { all } else { Vec::new() };
        let targets = (0..sessions)
            .map(|number| target(fleet, daemon.unwrap_or(number % daemons), &database, None))
            .collect();
        let load = Load::start(&name, targets, &roams, &self.ledger);
        self.loads.insert(name, load);
        Ok(String::new())
    }

    /// Waits until the load has had more writes acknowledged from now on.
    async fn load_progress(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the load")?.to_owned();
        let load = self.loads.get(&name).ok_or("no such load")?;
        let goal = load.writes() + PROGRESS_WRITES;
        let is_reached = async || (load.writes() >= goal).then_some(());
        wait_for("progress of the load", PROGRESS_LIMIT, is_reached).await?;
        Ok(String::new())
    }

    /// Says how many attempts of a load had no outcome that their caller could know.
    fn load_doubts(&self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the load")?;
        let load = self.loads.get(name).ok_or("no such load")?;
        Ok(format!("{} in doubt", load.doubts()))
    }

    async fn load_stop(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the load")?.to_owned();
        self.loads.remove(&name).ok_or("no such load")?.stop().await;
        Ok(String::new())
    }

    /// Writes until one is acknowledged, and says whether that came within a bound.
    async fn writes_land(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let name = args.next("the session")?.to_owned();
        let bound = Duration::from_millis(args.parse("ms")?.ok_or("give a bound in `ms`")?);
        let started = Instant::now();
        let mut said = String::new();
        while said != DONE && started.elapsed() <= bound {
            let request = format!("{name}-lands-{}", self.ledger.lock().unwrap().writes());
            let attempt = self.session_mut(&name)?.write(&request).await;
            said = self.note(&name, &request, &attempt);
        }
        let took = started.elapsed();
        if took > bound {
            let servers = super::faults::describe_servers(self.fleet()?);
            let late = format!("{said}, but after {took:?}, over {bound:?}; {servers}");
            return Err(late.into());
        }
        Ok(said)
    }

    fn platform(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let lag: Option<u64> = args.parse("lag")?;
        let platform = self.fleet()?.platform();
        if let Some(lag) = lag {
            platform.set_vm_list_lag(Duration::from_millis(lag));
            return Ok(String::new());
        }
        match args.next("`up`, `down` or `lose-answer`")? {
            "up" => platform.down(false),
            "down" => platform.down(true),
            "lose-answer" => platform.lose_next_answer(),
            other => return Err(format!("no fault `{other}` of the platform").into()),
        }
        Ok(String::new())
    }

    fn cut(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let zone = args.text("zone").ok_or("name the zone")?.to_owned();
        self.fleet()?.cut_zone(&zone);
        Ok(String::new())
    }

    fn heal(&mut self) -> Said {
        self.fleet()?.heal();
        Ok(String::new())
    }

    /// Has the next generation of the first database's document accepted.
    async fn apply(&mut self, _args: &mut ScriptArgs<'_>) -> Said {
        self.generation += 1;
        let fleet = self.fleet()?;
        let text = fleet.document(0, self.generation);
        accept_document(fleet.platform_address(), &text).await?;
        Ok(String::new())
    }

    /// Waits until the last generation applied is in force on a daemon.
    async fn in_force(&mut self, args: &mut ScriptArgs<'_>) -> Said {
        let bound = Duration::from_millis(args.parse("ms")?.ok_or("give a bound in `ms`")?);
        let daemon: Option<usize> = args.parse("daemon")?;
        let fleet = self.fleet()?;
        let numbers = daemon.map_or(0..fleet.daemons(), |number| number..number + 1);
        let started = Instant::now();
        for number in numbers {
            let left = bound.saturating_sub(started.elapsed());
            let is_in_force = async || {
                let generation = fleet.generation(number, 0).await?;
                (generation == self.generation).then_some(())
            };
            wait_for(
                &format!("generation in force on {number}"),
                left,
                is_in_force,
            )
            .await?;
        }
        Ok(String::new())
    }

    /// Compares what every caller was told with what the servers hold, past the daemons.
    async fn check(&mut self) -> Said {
        let fleet = self.fleet()?;
        let mut stored = Vec::new();
        for database in 0..fleet.databases().len() {
            let primary = async || primary(fleet, database);
            let server = wait_for("primary", PROGRESS_LIMIT, primary).await?;
            assert!(server < SERVERS_A_GROUP);
            stored.extend(stored_requests(fleet, database, server).await?);
        }
        let verdict = self
            .ledger
            .lock()
            .unwrap()
            .verdict(stored.iter().map(String::as_str));
        Ok(format!(
            "lost {}, doubled {}, refused but run {}, stale {}",
            verdict.lost, verdict.doubled, verdict.ran_after_all, verdict.stale
        ))
    }
}

pub(super) fn target(
    fleet: &Fleet,
    daemon: usize,
    database: &str,
    token: Option<String>,
) -> Target {
    Target {
        daemon: fleet.callers(daemon),
        database: database.to_owned(),
        token,
        password: PASSWORD.to_owned(),
    }
}

fn code_of(err: &tokio_postgres::Error) -> String {
    err.code()
        .map_or_else(|| err.to_string(), |code| code.code().to_owned())
}

/// Returns the requests that a server holds; while daemons hold all its connections, waits for one
/// that they close for idleness.
async fn stored_requests(
    fleet: &Fleet,
    database: usize,
    server: usize,
) -> Result<Vec<String>, Box<dyn Error>> {
    let sql = "SELECT request FROM entry";
    let stored = async || fleet.stored(database, server, sql).await.ok();
    Ok(wait_for("stored requests", CHECK_LIMIT, stored).await?)
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
