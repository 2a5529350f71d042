//! What goes wrong, and when: a plan that depends on nothing but its seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The shortest pause between the beginnings of two faults; they overlap.
const FAULT_INTERVAL_MIN_MS: u64 = 150;

/// The longest pause between the beginnings of two faults.
const FAULT_INTERVAL_MAX_MS: u64 = 1_200;

/// The longest that a fault lasts.
const FAULT_LENGTH_MAX_MS: u64 = 4_000;

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon is killed, and started again at its end.
    Kill(usize),
    /// A daemon is asked to stop, and started again once it has ended.
    Stop(usize),
    /// A daemon stands still.
    Pause(usize),
    /// A daemon is told that its settings file changed.
    HangUp(usize),
    /// A path holds back all bytes, both ways.
    Silence(usize),
    /// A path holds back the answers only.
    OneWay(usize),
    /// A path delivers late.
    Delay(usize),
    /// All connections over a path are reset, at its beginning.
    Reset(usize),
    /// The store answers that it is unavailable.
    StoreDown,
    /// The operator writes another version of the configuration.
    Configuration,
    /// The primary ends for good; later ones of the same run do nothing.
    KillPrimary,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Returns the faults of a seed within a time, for a number of daemons and of paths.
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
            return steps;
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
}
