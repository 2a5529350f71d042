//! Measures a fleet of daemon processes under a workload, with or without a fault.
//!
//! Prints one JSON line per run with the settings, the fault and the results of the load tool.

use std::collections::BTreeMap;
use std::error::Error;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use rustix::process::Signal;
use sapphireslip::{BenchResult, BenchSettings, RawBenchSettings, run_bench};
use sapphireslip_core::ServerRole;
use sapphireslipd::make_verifier;
use serde::Serialize;
use standins::{DaemonProgram, Fleet, FleetPlan, SERVERS_PER_GROUP};

/// The argument with which the experiment runs itself as a daemon.
const DAEMON_ARGUMENT: &str = "daemon";

/// The difference between the fault phases of consecutive seeds, in milliseconds.
const FAULT_PHASE_STEP_MS: u64 = 137;

const USER: &str = "till";
const PASSWORD: &str = "a counter by the door";

/// The fault injected in the middle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
enum Fault {
    None,
    KillPrimary,
    FreezePrimary,
    CutPrimaryZone,
    KillDaemon,
    StopDaemon,
}

impl std::str::FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "none" => Self::None,
            "kill-primary" => Self::KillPrimary,
            "freeze-primary" => Self::FreezePrimary,
            "cut-primary-zone" => Self::CutPrimaryZone,
            "kill-daemon" => Self::KillDaemon,
            "stop-daemon" => Self::StopDaemon,
            _ => return Err(format!("unknown fault `{text}`")),
        })
    }
}

/// Measures a fleet under a workload and a fault.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Args {
    /// The number of runs, each with a new fleet and the next seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    runs: u64,
    /// The first seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// The workload: `red-quetzal` or `adeyemi`
    #[bpaf(argument("NAME"), fallback("red-quetzal".to_owned()), display_fallback)]
    workload: String,
    /// Daemons in each of the three zones
    #[bpaf(argument("N"), fallback(2), display_fallback)]
    daemons: usize,
    /// Operations started per second
    #[bpaf(argument("N"), fallback(300), display_fallback)]
    rate: u32,
    /// The number of client sessions
    #[bpaf(argument("N"), fallback(24), display_fallback)]
    sessions: u32,
    /// The length of a run in seconds
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    seconds: u64,
    /// The replication lag of reads on replicas, in milliseconds
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    lag: u64,
    /// The maximum age of the data that a read may return, in milliseconds
    #[bpaf(argument("N"), fallback(10_000), display_fallback)]
    staleness: u64,
    /// The percentage of operations before which a session moves to another daemon
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    roam_percent: u32,
    /// The maximum number of connections to one server
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    connections: usize,
    /// The fault: none, kill-primary, freeze-primary, cut-primary-zone, kill-daemon, stop-daemon
    #[bpaf(argument("NAME"), fallback(Fault::None))]
    fault: Fault,
    /// Reduce the daemons' logs to those of a production site
    quiet: bool,
    /// Connect directly to the primary instead of the daemons, to compare latencies
    direct: bool,
    /// Take the platform down right before the fault
    platform_down: bool,
    /// The minimum time that a statement takes on a server, in microseconds
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    service_micros: u64,
    /// The deadline of a statement in milliseconds
    #[bpaf(argument("N"), fallback(5_000), display_fallback)]
    deadline: u64,
    /// An existing folder to which to copy the daemons' logs after each run
    #[bpaf(argument("FOLDER"))]
    logs: Option<PathBuf>,
}

/// The settings and results of one run, printed as a JSON line.
#[derive(Debug, Serialize)]
struct Run<'a> {
    fault: Fault,
    platform_down: bool,
    lag_ms: u64,
    staleness_ms: u64,
    daemons: usize,
    service_micros: u64,
    deadline_ms: u64,
    /// The time of each step of the failover, in milliseconds after the fault.
    steps: BTreeMap<String, i64>,
    result: &'a BenchResult,
}

/// The results of one run.
#[derive(Debug)]
struct RunOutcome {
    result: BenchResult,
    /// The time of each step of the failover, in milliseconds after the fault.
    steps: BTreeMap<String, i64>,
}

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON_ARGUMENT) {
        return sapphireslipd::run(args.into_iter().skip(1));
    }
    let args = self::args().run();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(measure(&args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Performs all runs and returns whether every guarantee was kept.
async fn measure(args: &Args) -> Result<bool, Box<dyn Error>> {
    let mut is_clean = true;
    for seed in args.seed..args.seed + args.runs {
        let RunOutcome { result, steps } = run_once(args, seed).await?;
        is_clean &= result.verdict.is_clean();
        let run = Run {
            fault: args.fault,
            platform_down: args.platform_down,
            lag_ms: args.lag,
            staleness_ms: args.staleness,
            daemons: args.daemons * 3,
            service_micros: args.service_micros,
            deadline_ms: args.deadline,
            steps,
            result: &result,
        };
        println!("{}", serde_json::to_string(&run)?);
    }
    Ok(is_clean)
}

async fn run_once(args: &Args, seed: u64) -> Result<RunOutcome, Box<dyn Error>> {
    let program = DaemonProgram {
        path: std::env::current_exe()?,
        arguments: vec![DAEMON_ARGUMENT.to_owned()],
    };
    let plan = FleetPlan::new(program, USER, &make_verifier(PASSWORD))
        .daemons_per_zone(args.daemons)
        .connections(args.connections)
        .max_staleness(Duration::from_millis(args.staleness))
        .lag(Duration::from_millis(args.lag))
        .service_time(Duration::from_micros(args.service_micros))
        .deadline(Duration::from_millis(args.deadline));
    let plan = if args.quiet { plan.quiet() } else { plan };
    let mut fleet = Fleet::start(plan).await?;
    let settings = bench_settings(args, seed, &fleet)?;
    let load = tokio::spawn(run_bench(settings, |_line| {}));
    tokio::time::sleep(Duration::from_secs(args.seconds) / 2 + fault_phase(seed)).await;
    fleet.platform().set_down(args.platform_down);
    let fault_at = SystemTime::now().duration_since(UNIX_EPOCH)?;
    inject_fault(args.fault, &mut fleet)?;
    let result = load.await??;
    if let Some(folder) = &args.logs {
        for number in 0..fleet.daemons() {
            let copy = folder.join(format!("{seed}-{number}.log"));
            std::fs::copy(fleet.log(number), copy)?;
        }
    }
    let steps = match args.fault {
        Fault::None => BTreeMap::new(),
        _ => failover_steps(&fleet, fault_at),
    };
    Ok(RunOutcome { result, steps })
}

/// Returns when each step of the failover was first logged by any daemon, in milliseconds after the
/// fault.
fn failover_steps(fleet: &Fleet, fault_at: Duration) -> BTreeMap<String, i64> {
    let micros = |at: Duration| i64::try_from(at.as_micros()).unwrap_or(i64::MAX);
    let mut steps = BTreeMap::new();
    for number in 0..fleet.daemons() {
        let text = std::fs::read_to_string(fleet.log(number)).unwrap_or_default();
        for (kind, at) in text.lines().filter_map(failover_step) {
            let after = at - micros(fault_at);
            if after >= 0 {
                let first = steps.entry(kind).or_insert(after / 1_000);
                *first = after.min(*first * 1_000) / 1_000;
            }
        }
    }
    steps
}

/// Returns the kind and the Unix time in microseconds of a failover step in a log line.
fn failover_step(line: &str) -> Option<(String, i64)> {
    const STEPS: [&str; 4] = [
        "PrimarySuspected",
        "TermFenced",
        "PrimaryPromoted",
        "WritesOpened",
    ];
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let entry: serde_json::Value = serde_json::from_str(line.get("entry")?.as_str()?).ok()?;
    let kind = entry.get("kind")?.as_str()?;
    let at = entry.get("unix_micros")?.as_i64()?;
    STEPS.contains(&kind).then(|| (kind.to_owned(), at))
}

fn bench_settings(args: &Args, seed: u64, fleet: &Fleet) -> Result<BenchSettings, Box<dyn Error>> {
    // The primary starts in the zone of daemon 0, zone `a`. Clients in a zone that is cut off could
    // not reach any daemon.
    let numbers = 0..fleet.daemons();
    let is_outside = |number: &usize| {
        args.fault != Fault::CutPrimaryZone || fleet.zone(*number) != fleet.zone(0)
    };
    let numbers: Vec<usize> = numbers.filter(is_outside).collect();
    let targets = numbers.iter().map(|number| fleet.clients(*number));
    let daemons = match args.direct {
        true => vec![fleet.server_address(0, primary(fleet)?)],
        false => targets.collect(),
    };
    let raw = RawBenchSettings {
        daemons,
        admin: (0..fleet.daemons())
            .map(|number| fleet.admin(number))
            .collect(),
        database: "stock".to_owned(),
        user: USER.to_owned(),
        password: PASSWORD.to_owned(),
        workload: args.workload.clone(),
        rate: args.rate,
        sessions: args.sessions,
        seconds: args.seconds,
        seed,
        roam_percent: args.roam_percent,
    };
    Ok(BenchSettings::try_from(raw)?)
}

/// Returns the part of a second by which the fault of a seed is delayed, so that faults are spread
/// over the period of what the daemons do once a second.
fn fault_phase(seed: u64) -> Duration {
    Duration::from_millis(seed * FAULT_PHASE_STEP_MS % 1_000)
}

/// Returns the number of the primary in the first group.
fn primary(fleet: &Fleet) -> Result<usize, &'static str> {
    let group = fleet.group(0);
    let is_primary = |server: &usize| group.status(*server).role == ServerRole::Primary;
    (0..SERVERS_PER_GROUP).find(is_primary).ok_or("no primary")
}

fn inject_fault(fault: Fault, fleet: &mut Fleet) -> Result<(), Box<dyn Error>> {
    let primary = primary(fleet)?;
    let group = fleet.group(0);
    match fault {
        Fault::None => {}
        Fault::KillPrimary => group.kill(primary),
        Fault::FreezePrimary => group.freeze(primary),
        Fault::CutPrimaryZone => {
            let zone = fleet.server_zone(primary).to_owned();
            fleet.cut_zone(&zone);
        }
        Fault::KillDaemon => fleet.kill_daemon(0)?,
        Fault::StopDaemon => fleet.signal_daemon(0, Signal::TERM)?,
    }
    Ok(())
}
