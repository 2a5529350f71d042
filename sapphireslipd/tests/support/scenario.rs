//! The state of a scenario, the dispatch of script commands, and the commands for the whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use goldenscript::{Command, Context, Runner};
use sapphireslip::{Attempt, Ledger};
use sapphireslipd::make_verifier;
use standins::{DaemonProgram, Fleet, FleetPlan, SERVERS_PER_GROUP, accept_document, wait_for};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio_postgres::SimpleQueryMessage;

use super::faults::{current_primary, inject_fault};
use super::load::Load;
use super::scenario_sessions::target;
use super::script_args::ScriptArgs;
use super::script_session::{PASSWORD, ScriptSession, unix_seconds};
use super::transfers::Transfers;
use super::values::ValueReaders;

/// The time limit for a background load to make progress, and for other conditions to become true.
pub(super) const PROGRESS_LIMIT: Duration = Duration::from_secs(20);

/// The time limit for reading a server's rows past the daemons, which may hold all its connections
/// until they close the idle ones.
const CHECK_LIMIT: Duration = Duration::from_secs(90);

/// The number of further acknowledged operations that count as progress.
pub(super) const PROGRESS_WRITES: u64 = 20;

/// The output for an acknowledged write.
pub(super) const DONE: &str = "done";

/// A running scenario: the fleet, its clients, and the outcomes reported to them.
#[derive(Debug)]
pub struct Scenario {
    /// The runtime on which the commands and the background sessions run.
    pub(super) runtime: Runtime,
    /// The daemons, backend servers and platform; `None` until the command `fleet`.
    pub(super) fleet: Option<Fleet>,
    /// The server that was last marked as leaving, and when.
    pub(super) leaving_server: Option<(usize, Instant)>,
    /// The last measured throughput in writes per second, by load.
    pub(super) write_rates: BTreeMap<String, f64>,
    /// The sessions that wait for no statement, by name.
    pub(super) sessions: BTreeMap<String, ScriptSession>,
    /// The running loads, by name.
    pub(super) loads: BTreeMap<String, Load>,
    /// The sessions that read and check values, while they run.
    pub(super) values: Option<ValueReaders>,
    /// The sessions that write in transactions, while they run.
    pub(super) transfers: Option<Transfers>,
    /// The reported outcomes of all writes and reads since the scenario started.
    pub(super) ledger: Arc<Mutex<Ledger>>,
    /// The last accepted generation of the first database's document.
    pub(super) generation: u64,
    /// When the scenario started, in seconds since the Unix epoch; it makes request keys that a
    /// script can use again.
    pub(super) start_unix_seconds: u64,
    /// The statements started by `sql-start` whose answers `sql-wait` has not taken, by session.
    pub(super) pending_statements: BTreeMap<String, JoinHandle<PendingStatement>>,
    /// The servers of the first database killed by `kill-primary` and not restarted.
    pub(super) killed_servers: BTreeSet<usize>,
}

/// A session and the answer to the statement that it sent.
pub(super) type PendingStatement = (ScriptSession, Result<Vec<SimpleQueryMessage>, Attempt>);

/// The output of a script command, or the error that ends the script.
pub(super) type CommandResult = Result<String, Box<dyn Error>>;

impl Default for Scenario {
    fn default() -> Self {
        Self {
            runtime: Runtime::new().expect("starting the runtime failed"),
            fleet: None,
            leaving_server: None,
            write_rates: BTreeMap::new(),
            start_unix_seconds: unix_seconds(),
            sessions: BTreeMap::new(),
            loads: BTreeMap::new(),
            values: None,
            transfers: None,
            ledger: Arc::default(),
            generation: 1,
            pending_statements: BTreeMap::new(),
            killed_servers: BTreeSet::new(),
        }
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> CommandResult {
        let mut args = ScriptArgs::new(command);
        let handle = self.runtime.handle().clone();
        let output = handle.block_on(self.step(&command.name, &mut args))?;
        args.reject_rest()?;
        Ok(output)
    }
}

impl Scenario {
    /// Copies the daemons' logs to a folder; does nothing if no fleet was started.
    pub fn copy_logs(&self, folder: &Path) -> io::Result<()> {
        self.fleet
            .as_ref()
            .map_or(Ok(()), |fleet| fleet.copy_logs(folder))
    }

    /// Runs a command and returns its output.
    async fn step(&mut self, name: &str, args: &mut ScriptArgs<'_>) -> CommandResult {
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
            _ => inject_fault(self.fleet_mut()?, name, args).await,
        }
    }

    /// Returns the fleet, or an error if the script has not started it.
    pub(super) fn fleet(&self) -> Result<&Fleet, &'static str> {
        self.fleet.as_ref().ok_or("start with `fleet`")
    }

    /// Returns the fleet as mutable, or an error if the script has not started it.
    pub(super) fn fleet_mut(&mut self) -> Result<&mut Fleet, &'static str> {
        self.fleet.as_mut().ok_or("start with `fleet`")
    }

    /// Starts the fleet and creates the table `entry` in each database. Times are in milliseconds.
    async fn start(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
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
                session.execute_with_retries(sql).await
            {
                return Err(message.into());
            }
        }
        self.fleet = Some(fleet);
        Ok(String::new())
    }

    /// Sets the lag of the platform's VM list in milliseconds, or injects a fault into the
    /// platform.
    fn platform(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let lag: Option<u64> = args.parse("lag")?;
        let platform = self.fleet()?.platform();
        if let Some(lag) = lag {
            platform.set_vm_list_lag(Duration::from_millis(lag));
            return Ok(String::new());
        }
        match args.next("`up`, `down` or `lose-answer`")? {
            "up" => platform.set_down(false),
            "down" => platform.set_down(true),
            "lose-answer" => platform.lose_next_answer(),
            other => return Err(format!("unknown fault `{other}` for the platform").into()),
        }
        Ok(String::new())
    }

    /// Cuts an availability zone off from the other zones and from the platform.
    fn cut(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let zone = args
            .text("zone")
            .ok_or("the argument `zone` is missing")?
            .to_owned();
        self.fleet()?.cut_zone(&zone);
        Ok(String::new())
    }

    /// Ends all network cuts.
    fn heal(&mut self) -> CommandResult {
        self.fleet()?.heal();
        Ok(String::new())
    }

    /// Makes the platform accept the next generation of the first database's document.
    async fn apply(&mut self, _args: &mut ScriptArgs<'_>) -> CommandResult {
        self.generation += 1;
        let fleet = self.fleet()?;
        let text = fleet.document(0, self.generation);
        accept_document(fleet.platform_address(), &text).await?;
        Ok(String::new())
    }

    /// Waits until the last accepted generation is in force on one daemon, or on all.
    ///
    /// Fails if that takes longer than `ms` milliseconds in all.
    async fn in_force(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let bound = Duration::from_millis(args.parse("ms")?.ok_or("the argument `ms` is missing")?);
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
                &format!("generation in force on daemon {number}"),
                left,
                is_in_force,
            )
            .await?;
        }
        Ok(String::new())
    }

    /// Compares the outcomes reported to the clients with the rows on the primaries, which are read
    /// without going through the daemons, and returns the number of violations of each kind.
    async fn check(&mut self) -> CommandResult {
        let fleet = self.fleet()?;
        let mut stored = Vec::new();
        for database in 0..fleet.databases().len() {
            let primary = async || current_primary(fleet, database);
            let server = wait_for("primary", PROGRESS_LIMIT, primary).await?;
            assert!(server < SERVERS_PER_GROUP);
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

/// Returns the requests stored on a server.
///
/// While daemons hold all connections of the server, waits until they close one that is idle.
///
/// # Errors
///
/// Returns an error if the query does not succeed within [`CHECK_LIMIT`].
async fn stored_requests(
    fleet: &Fleet,
    database: usize,
    server: usize,
) -> Result<Vec<String>, Box<dyn Error>> {
    let sql = "SELECT request FROM entry";
    let stored = async || fleet.query_server(database, server, sql).await.ok();
    Ok(wait_for("stored requests", CHECK_LIMIT, stored).await?)
}
