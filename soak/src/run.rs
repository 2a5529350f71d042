//! A soak run: load with overlapping faults, a time without faults, and the check of the results.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use standins::Hold;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::Client;
use crate::site::{SERVER_COUNT, STOP_GRACE, Site, count_by_rule};
use crate::{Attempt, Fault, Outcome, ScheduledFault, Verdict, check_attempts, plan_faults};

/// The time that newly started daemons take until they serve clients.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// The time after the start of the last fault within which each daemon must serve again: the fault
/// lasts up to 4 s, a lost coordinator is replaced after 6 s, and a promotion takes 2 s.
const RECOVERY_TIME: Duration = Duration::from_secs(14);

/// The time at the end of a run in which each daemon must complete an operation.
const PROBE_TIME: Duration = Duration::from_secs(6);

/// The longest time that a replaced primary still executes statements, with some margin.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);

/// The delay of a path that delivers late.
const PATH_DELAY: Duration = Duration::from_millis(120);

/// The time that a daemon may take to stop beyond [`STOP_GRACE`], since it may be paused meanwhile.
const STOP_SLACK: Duration = Duration::from_secs(6);

/// The options of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The seed of the faults and of the clients' operations.
    pub seed: u64,
    /// The time within which faults start.
    pub length: Duration,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of clients.
    pub clients: usize,
}

/// Runs a soak test and returns its verdict.
///
/// If a guarantee was broken, the logs of the daemons are kept and their folder is printed.
///
/// # Errors
///
/// Fails if a process can't be started or signalled, if a port can't be listened on, or if a task
/// panics.
pub async fn soak(options: SoakOptions) -> io::Result<Verdict> {
    let SoakOptions { seed, length, .. } = options;
    let site = Arc::new(Site::start(options.daemons, seed).await?);
    sleep(STARTUP_TIME).await;
    let load_start = Instant::now();
    let until = load_start + length + RECOVERY_TIME;
    let mut clients = JoinSet::new();
    for n in 0..options.clients {
        clients.spawn(Client::new(n, seed).work(site.addresses(), until));
    }
    let mut faults = JoinSet::new();
    for step in plan_faults(
        seed,
        length,
        options.daemons,
        SERVER_COUNT + options.daemons,
    ) {
        faults.spawn(inject(Arc::clone(&site), step, load_start));
    }
    let mut violations = Vec::new();
    while let Some(injected) = faults.join_next().await {
        violations.extend(injected.map_err(io::Error::other)??);
    }
    let mut attempts = Vec::new();
    while let Some(client) = clients.join_next().await {
        let client = client.map_err(io::Error::other)?;
        violations.extend(client.unanswered);
        attempts.extend(client.attempts);
    }
    let mut probes = JoinSet::new();
    let until = Instant::now() + PROBE_TIME;
    for (n, address) in site.addresses().into_iter().enumerate() {
        if !site.is_running_or_stopped(n)? {
            violations.push(format!("daemon {n} has exited unexpectedly"));
        }
        let probe = Client::new(1_000 + n, seed).work(vec![address], until);
        probes.spawn(async move { (n, probe.await) });
    }
    while let Some(probe) = probes.join_next().await {
        let (n, probe) = probe.map_err(io::Error::other)?;
        let is_done = |attempt: &Attempt| matches!(attempt.outcome, Outcome::Done(_));
        if !probe.attempts.iter().any(is_done) {
            violations.push(format!("daemon {n} does not serve after the last fault"));
        }
        violations.extend(probe.unanswered);
        attempts.extend(probe.attempts);
    }
    sleep(SETTLE_TIME).await;
    let mut verdict = check_attempts(&attempts, &site.group.written());
    verdict.violations.extend(violations);
    verdict.violations.extend(site.late_work());
    if !verdict.violations.is_empty() {
        let logs = site.keep_logs();
        println!(
            "seed {seed}: {:?}, logs in {logs:?}",
            count_by_rule(&verdict.violations)
        );
    }
    Ok(verdict)
}

/// Injects a fault at its time and ends it; returns the violations that were seen meanwhile.
async fn inject(
    site: Arc<Site>,
    step: ScheduledFault,
    load_start: Instant,
) -> io::Result<Vec<String>> {
    sleep_until(load_start + step.at).await;
    match step.fault {
        Fault::Kill(n) => {
            site.kill_daemon(n);
            sleep(step.length).await;
            site.start_daemon(n)?;
        }
        Fault::Stop(n) => return stop(&site, n).await,
        Fault::Pause(n) => {
            site.signal(n, Signal::STOP)?;
            sleep(step.length).await;
            site.signal(n, Signal::CONT)?;
        }
        Fault::HangUp(n) => {
            site.signal(n, Signal::HUP)?;
        }
        Fault::Silence(n) => hold(&site, n, step.length, silent(true)).await,
        Fault::OneWay(n) => hold(&site, n, step.length, silent(false)).await,
        Fault::Delay(n) => {
            let late = Hold {
                delay: PATH_DELAY,
                ..Hold::default()
            };
            hold(&site, n, step.length, late).await;
        }
        Fault::Reset(n) => site.paths[n].reset(),
        Fault::StoreDown => {
            site.store.set_down(true);
            sleep(step.length).await;
            site.store.set_down(false);
        }
        Fault::Configuration => site.write_configuration(),
        Fault::Leave(n) => {
            site.leave(n);
            sleep(step.length).await;
            site.start_server_again(n);
        }
        Fault::KillPrimary => site.kill_primary(),
    }
    Ok(Vec::new())
}

/// Returns the fault of a path that holds back answers, and requests too if `both_ways` is set.
const fn silent(both_ways: bool) -> Hold {
    Hold {
        delay: Duration::ZERO,
        holds_requests: both_ways,
        holds_answers: true,
    }
}

/// Applies a fault to a path for a time.
async fn hold(site: &Site, path: usize, length: Duration, path_fault: Hold) {
    let began = Instant::now().into_std();
    site.paths[path].hold(path_fault);
    sleep(length).await;
    site.paths[path].hold(Hold::default());
    site.note_hold(path, began);
}

/// Asks a daemon to stop, and starts it again once it has exited.
///
/// A daemon that does not stop in time is killed, which counts as a violation.
async fn stop(site: &Site, n: usize) -> io::Result<Vec<String>> {
    let Some(pid) = site.signal(n, Signal::TERM)? else {
        return Ok(Vec::new());
    };
    let until = Instant::now() + STOP_GRACE + STOP_SLACK;
    let mut violations = Vec::new();
    while !site.has_ended(n, pid)? {
        if Instant::now() >= until {
            violations.push(format!("daemon {n} did not stop in time"));
            site.kill_daemon(n);
        }
        sleep(Duration::from_millis(20)).await;
    }
    site.start_daemon(n)?;
    Ok(violations)
}
