//! The plan of the faults of a run, which depends on the seed and the options of the run only.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The shortest time between the starts of two faults in milliseconds. Faults may overlap.
const FAULT_INTERVAL_MIN_MS: u64 = 150;

/// The longest time between the starts of two faults in milliseconds.
const FAULT_INTERVAL_MAX_MS: u64 = 1_200;

/// The shortest and the longest time between two servers that leave, in milliseconds.
const LEAVE_INTERVAL_MS: std::ops::Range<u64> = 1_500..6_000;

/// How long a server that leaves still serves, in milliseconds: longer than the platform promises.
const LEAVE_LENGTH_MS: std::ops::Range<u64> = 8_000..11_000;

/// Set apart from the seed of the other faults, so that servers that leave change none of them.
const LEAVE_SEED: u64 = 0x1eaf;

/// The longest duration of a fault in milliseconds.
const FAULT_LENGTH_MAX_MS: u64 = 4_000;

/// A fault, with the index of the daemon or of the network path that it affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon is killed, and started again at the end of the fault.
    Kill(usize),
    /// A daemon is asked to stop, and started again once it has exited.
    Stop(usize),
    /// The process of a daemon is paused.
    Pause(usize),
    /// A daemon gets the signal to reload its settings file.
    HangUp(usize),
    /// A path holds back all data in both directions.
    Silence(usize),
    /// A path holds back the answers, but not the requests.
    OneWay(usize),
    /// A path delays all data.
    Delay(usize),
    /// All connections over a path are reset at the start of the fault.
    Reset(usize),
    /// The store answers all calls with an error.
    StoreDown,
    /// The operator writes a new version of the configuration.
    Configuration,
    /// A backend server says that it leaves, and exits and starts again at the end of the fault.
    Leave(usize),
    /// The primary is killed for good. Further faults of this kind in the same run do nothing.
    KillPrimary,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
    /// The start of the fault, as the time since the start of the load.
    pub at: Duration,
    /// The duration of the fault.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Returns the faults that start within `length`, ordered by start. Each daemon has one of the
/// `paths`; the others lead to servers.
///
/// The same seed and numbers of daemons and paths always give the same faults.
///
/// ```
/// use std::time::Duration;
/// let steps = soak::plan_faults(7, Duration::from_secs(20), 3, 6);
/// assert_eq!(steps, soak::plan_faults(7, Duration::from_secs(20), 3, 6));
/// assert!(steps.len() > 10);
/// ```
#[must_use]
pub fn plan_faults(
    seed: u64,
    length: Duration,
    daemons: usize,
    paths: usize,
) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(
            random.random_range(FAULT_INTERVAL_MIN_MS..FAULT_INTERVAL_MAX_MS),
        );
        if at >= length {
            break;
        }
        let daemon = random.random_range(0..daemons);
        let path = random.random_range(0..paths);
        let fault = match random.random_range(0..14) {
            0 | 1 => Fault::Kill(daemon),
            2 | 3 => Fault::Stop(daemon),
            4 | 5 => Fault::Pause(daemon),
            6 => Fault::HangUp(daemon),
            7 => Fault::Silence(path),
            8 => Fault::OneWay(path),
            9 => Fault::Delay(path),
            10 => Fault::Reset(path),
            11 => Fault::StoreDown,
            12 => Fault::Configuration,
            _ => Fault::KillPrimary,
        };
        let length = Duration::from_millis(random.random_range(100..FAULT_LENGTH_MAX_MS));
        steps.push(ScheduledFault { at, length, fault });
    }
    steps.extend(plan_leaves(seed, length, paths - daemons));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns when which servers leave.
fn plan_leaves(seed: u64, length: Duration, servers: usize) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ LEAVE_SEED);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(LEAVE_INTERVAL_MS));
        if at >= length {
            return steps;
        }
        let fault = Fault::Leave(random.random_range(0..servers));
        let length = Duration::from_millis(random.random_range(LEAVE_LENGTH_MS));
        steps.push(ScheduledFault { at, length, fault });
    }
}
