//! Measures the memory, processor time and network traffic of idle daemon processes.
//!
//! Starts a fleet of daemons in one availability zone with stand-ins for the platform and the
//! servers, opens sessions at the first daemon, waits, and prints one JSON line. Reads the kernel's
//! byte counters of each connection with `ss` of iproute2 once a second, so that short-lived
//! connections are counted too.

use std::collections::BTreeMap;
use std::error::Error;
use std::ffi::OsString;
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use sapphireslipd::make_verifier;
use serde::Serialize;
use standins::{DaemonProgram, Fleet, FleetPlan};

/// The argument with which the tool runs itself as a daemon.
const DAEMON_ARGUMENT: &str = "daemon";

const USER: &str = "till";
const PASSWORD: &str = "a counter by the door";

/// The length of the IPv4 and TCP headers of a segment, with TCP timestamps.
const HEADER_BYTES: u64 = 52;

/// The number of ticks per second in which the kernel counts processor time.
const TICKS_A_SECOND: f64 = 100.0;

/// The size of a memory page in KiB.
const PAGE_KIB: u64 = 4;

/// Measures the resources that idle daemon processes use.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Args {
    /// The number of daemons, all in one zone
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    daemons: usize,
    /// The number of databases, at most 15, each with three servers
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    databases: usize,
    /// The number of sessions to open at the first daemon
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    sessions: usize,
    /// The time from the start to the first reading, in seconds
    #[bpaf(argument("N"), fallback(15), display_fallback)]
    settle: u64,
    /// The time between the first and the last reading, in seconds
    #[bpaf(argument("N"), fallback(60), display_fallback)]
    seconds: u64,
}

/// The resource use of a process according to `/proc`.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The processor time used since the start of the process, in ticks.
    ticks: u64,
    /// The resident memory in KiB.
    resident_kib: u64,
}

/// The amount of data sent over a connection since it was opened.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    /// The payload in bytes.
    bytes: u64,
    /// The number of TCP segments.
    segments: u64,
}

/// The mean and the maximum of a value over all daemons.
#[derive(Debug, Serialize)]
struct Spread {
    mean: f64,
    max: f64,
}

/// The result of a measurement, printed as a JSON line.
#[derive(Debug, Serialize)]
struct Cost {
    daemons: usize,
    databases: usize,
    sessions: usize,
    seconds: f64,
    /// The content of `/proc/loadavg` at the end.
    load_average: String,
    resident_kib: Spread,
    /// The resident memory of the first daemon, which holds the sessions.
    first_resident_kib: u64,
    processor_percent: Spread,
    payload_bytes_a_second: Spread,
    /// The payload and the headers of all segments.
    wire_bytes_a_second: Spread,
    connections: Spread,
}

/// The data sent over each connection of a process, by the addresses of both ends.
type Connections = BTreeMap<String, Sent>;

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON_ARGUMENT) {
        return sapphireslipd::run(args.into_iter().skip(1));
    }
    let args = self::args().run();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(measure(&args)) {
        Ok(cost) => {
            println!("{cost}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(args: &Args) -> Result<String, Box<dyn Error>> {
    let program = DaemonProgram {
        path: std::env::current_exe()?,
        arguments: vec![DAEMON_ARGUMENT.to_owned()],
    };
    let names: Vec<String> = (0..args.databases).map(|n| format!("db{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let plan = FleetPlan::new(program, USER, &make_verifier(PASSWORD))
        .zones(&["a"])
        .daemons_per_zone(args.daemons)
        .databases(&names);
    let fleet = Fleet::start(plan).await?;
    let sessions = open_sessions(&fleet, args).await?;
    tokio::time::sleep(Duration::from_secs(args.settle)).await;
    let pids =
        (0..args.daemons).map(|number| fleet.daemon_pid(number).ok_or("a daemon has exited"));
    let pids: Vec<u32> = pids.collect::<Result<_, _>>()?;
    let readings = || {
        pids.iter()
            .map(|pid| read_process(*pid))
            .collect::<Result<Vec<_>, _>>()
    };
    let (start, before) = (Instant::now(), readings()?);
    let mut connections = sent_by_connection(&pids)?;
    let mut totals = vec![Sent::default(); pids.len()];
    while start.elapsed() < Duration::from_secs(args.seconds) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = sent_by_connection(&pids)?;
        add_growth(&mut totals, &connections, &now);
        connections = now;
    }
    let (seconds, after) = (start.elapsed().as_secs_f64(), readings()?);
    let ticks = before.iter().zip(&after).map(|(b, a)| a.ticks - b.ticks);
    let cost = Cost {
        daemons: args.daemons,
        databases: args.databases,
        sessions: sessions.len(),
        seconds,
        load_average: std::fs::read_to_string("/proc/loadavg")?.trim().to_owned(),
        resident_kib: spread(after.iter().map(|reading| reading.resident_kib), 1.0),
        first_resident_kib: after[0].resident_kib,
        processor_percent: spread(ticks, 100.0 / TICKS_A_SECOND / seconds),
        payload_bytes_a_second: spread(totals.iter().map(|sent| sent.bytes), 1.0 / seconds),
        wire_bytes_a_second: spread(
            totals
                .iter()
                .map(|sent| sent.bytes + sent.segments * HEADER_BYTES),
            1.0 / seconds,
        ),
        connections: spread(connections.iter().map(|of| of.len() as u64), 1.0),
    };
    Ok(serde_json::to_string(&cost)?)
}

/// Opens sessions at the first daemon, spread evenly over the databases.
async fn open_sessions(
    fleet: &Fleet,
    args: &Args,
) -> Result<Vec<tokio_postgres::Client>, Box<dyn Error>> {
    let address = fleet.clients(0);
    let mut sessions = Vec::new();
    for number in 0..args.sessions {
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config.user(USER).password(PASSWORD);
        config.dbname(format!("db{}", number % args.databases));
        let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
        tokio::spawn(async move {
            let _closed = connection.await;
        });
        sessions.push(client);
    }
    Ok(sessions)
}

/// Reads the resource use of a process.
fn read_process(pid: u32) -> Result<Reading, Box<dyn Error>> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(')')
        .ok_or("unknown format of /proc/PID/stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let resident = statm
        .split_whitespace()
        .nth(1)
        .ok_or("/proc/PID/statm has no resident size")?;
    Ok(Reading {
        ticks: fields[11].parse::<u64>()? + fields[12].parse::<u64>()?,
        resident_kib: resident.parse::<u64>()? * PAGE_KIB,
    })
}

/// Returns the data that each process has sent over each of its open connections.
fn sent_by_connection(pids: &[u32]) -> Result<Vec<Connections>, Box<dyn Error>> {
    let output = Command::new("ss").args(["-tinpOH"]).output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut all = vec![Connections::new(); pids.len()];
    for line in text.lines() {
        let pid = line
            .split("pid=")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        let pid = pid.and_then(|pid| pid.parse::<u32>().ok());
        let Some(index) = pids.iter().position(|known| Some(*known) == pid) else {
            continue;
        };
        let number = |name: &str| {
            let mut fields = line.split_whitespace();
            let value = fields.find_map(|field| field.strip_prefix(name));
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let endpoints: Vec<&str> = line.split_whitespace().skip(3).take(2).collect();
        let sent = Sent {
            bytes: number("bytes_sent:"),
            segments: number("segs_out:"),
        };
        all[index].insert(endpoints.join(" "), sent);
    }
    Ok(all)
}

/// Adds to the totals what was sent between two readings; a new connection counts in full.
fn add_growth(totals: &mut [Sent], before: &[Connections], now: &[Connections]) {
    for (total, (before, now)) in totals.iter_mut().zip(before.iter().zip(now)) {
        for (endpoints, sent) in now {
            let known = before.get(endpoints).copied().unwrap_or_default();
            total.bytes += sent.bytes.saturating_sub(known.bytes);
            total.segments += sent.segments.saturating_sub(known.segments);
        }
    }
}

/// Returns the mean and the maximum of values, multiplied by a factor.
fn spread(values: impl Iterator<Item = u64>, factor: f64) -> Spread {
    let values: Vec<u64> = values.collect();
    let count = values.len() as f64;
    Spread {
        mean: values.iter().sum::<u64>() as f64 / count * factor,
        max: values.iter().max().copied().unwrap_or_default() as f64 * factor,
    }
}
