//! Injects random faults into a fleet under load and checks that the proxy keeps its guarantees.
//!
//! The seed determines the faults. At most one fault is active at a time, so that a majority of the
//! servers and some daemons are always available; servers may still recover from the fault before.
//! The exit code is 0 only if no guarantee was violated.

use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use sapphireslip::{BenchSettings, RawBenchSettings, bench_text, run_bench};
use sapphireslipd::make_verifier;
use standins::{DaemonProgram, Fleet, FleetPlan, SERVERS_PER_GROUP};

/// The argument with which the program runs itself as a daemon.
const DAEMON_ARGUMENT: &str = "daemon";

const USER: &str = "till";
const PASSWORD: &str = "a counter by the door";

/// The time without faults at the end of a run, in which pending operations can finish.
const QUIET_END: Duration = Duration::from_secs(6);

/// Injects random faults into a fleet under load.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Args {
    /// The seed of faults and load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// The length of the run in seconds
    #[bpaf(argument("N"), fallback(40), display_fallback)]
    seconds: u64,
    /// Operations started per second
    #[bpaf(argument("N"), fallback(150), display_fallback)]
    rate: u32,
    /// The maximum duration of each fault in milliseconds
    #[bpaf(argument("N"), fallback(2_500), display_fallback)]
    fault_ms: u64,
}

/// A fault with the number of the server or daemon that it affects.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillServer(usize),
    FreezeServer(usize),
    /// The open connections of the server go silent.
    SilenceServer(usize),
    /// The server closes the connection in place of the answer to the next commit.
    LoseAnswer(usize),
    /// The replication lag of the server rises.
    LagServer(usize),
    /// The availability zone of the server is cut off.
    CutZone(usize),
    KillDaemon(usize),
    FreezeDaemon(usize),
    PlatformDown,
}

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON_ARGUMENT) {
        return sapphireslipd::run(args.into_iter().skip(1));
    }
    let args = self::args().run();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(chaos(&args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the load with faults and returns whether every guarantee was kept.
async fn chaos(args: &Args) -> Result<bool, Box<dyn Error>> {
    let program = DaemonProgram {
        path: std::env::current_exe()?,
        arguments: vec![DAEMON_ARGUMENT.to_owned()],
    };
    let plan = FleetPlan::new(program, USER, &make_verifier(PASSWORD)).daemons_per_zone(2);
    let mut fleet = Fleet::start(plan).await?;
    let load = tokio::spawn(run_bench(bench_settings(args, &fleet)?, |_line| {}));
    let started = Instant::now();
    let faults_end = Duration::from_secs(args.seconds).saturating_sub(QUIET_END);
    let mut rng = SmallRng::seed_from_u64(args.seed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    while started.elapsed() < faults_end {
        let fault = random_fault(&mut rng);
        let duration = Duration::from_millis(rng.random_range(100..=args.fault_ms));
        eprintln!(
            "{:>8.3} s  {fault:?} for {duration:?}",
            started.elapsed().as_secs_f64()
        );
        inject_fault(fault, &mut fleet)?;
        tokio::time::sleep(duration).await;
        end_fault(fault, &mut fleet).await?;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..800))).await;
    }
    let result = load.await??;
    println!("seed {}\n{}", args.seed, bench_text(&result));
    Ok(result.verdict.is_clean())
}

fn bench_settings(args: &Args, fleet: &Fleet) -> Result<BenchSettings, Box<dyn Error>> {
    let raw = RawBenchSettings {
        daemons: (0..fleet.daemons())
            .map(|number| fleet.clients(number))
            .collect(),
        admin: Vec::new(),
        database: "stock".to_owned(),
        user: USER.to_owned(),
        password: PASSWORD.to_owned(),
        workload: "adeyemi".to_owned(),
        rate: args.rate,
        sessions: 36,
        seconds: args.seconds,
        seed: args.seed,
        roam_percent: 10,
    };
    Ok(BenchSettings::try_from(raw)?)
}

/// Returns a random fault; the plan has six daemons.
fn random_fault(rng: &mut SmallRng) -> Fault {
    let server = rng.random_range(0..SERVERS_PER_GROUP);
    let daemon = rng.random_range(0..6);
    match rng.random_range(0..9) {
        0 => Fault::KillServer(server),
        1 => Fault::FreezeServer(server),
        2 => Fault::SilenceServer(server),
        3 => Fault::LoseAnswer(server),
        4 => Fault::LagServer(server),
        5 => Fault::CutZone(server),
        6 => Fault::KillDaemon(daemon),
        7 => Fault::FreezeDaemon(daemon),
        _ => Fault::PlatformDown,
    }
}

fn inject_fault(fault: Fault, fleet: &mut Fleet) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::KillServer(server) => fleet.group(0).kill(server),
        Fault::FreezeServer(server) => fleet.group(0).freeze(server),
        Fault::SilenceServer(server) => fleet.group(0).silence_open_connections(server),
        Fault::LoseAnswer(server) => fleet.group(0).lose_next_answer(server),
        Fault::LagServer(server) => fleet.group(0).set_lag(server, Duration::from_millis(700)),
        Fault::CutZone(server) => {
            let zone = fleet.server_zone(server).to_owned();
            fleet.cut_zone(&zone);
        }
        Fault::KillDaemon(daemon) => fleet.kill_daemon(daemon)?,
        Fault::FreezeDaemon(daemon) => fleet.signal_daemon(daemon, Signal::STOP)?,
        Fault::PlatformDown => fleet.platform().set_down(true),
    }
    Ok(())
}

/// Ends a fault; a silent connection or a lost answer needs nothing.
async fn end_fault(fault: Fault, fleet: &mut Fleet) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::KillServer(server) => fleet.group(0).restart(server).await?,
        Fault::FreezeServer(server) => fleet.group(0).thaw(server),
        Fault::SilenceServer(_) | Fault::LoseAnswer(_) => {}
        Fault::LagServer(server) => fleet.group(0).set_lag(server, Duration::from_millis(5)),
        Fault::CutZone(_) => fleet.heal(),
        Fault::KillDaemon(daemon) => fleet.start_daemon(daemon)?,
        Fault::FreezeDaemon(daemon) => fleet.signal_daemon(daemon, Signal::CONT)?,
        Fault::PlatformDown => fleet.platform().set_down(false),
    }
    Ok(())
}
