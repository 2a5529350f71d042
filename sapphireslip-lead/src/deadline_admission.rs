//! Admission of statements by their deadlines: whether a statement can be sent in time behind the
//! work that is ahead of it.

use std::time::Duration;

use sapphireslip_core::data;

/// With fewer statements waiting than this, every statement is admitted: about as many complete
/// within the error of the measured rate.
const WAITING_MIN: usize = 8;

/// The least time after which a refused client should come back, before it is spread: about the
/// length of a transaction.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// The longest time after which a refused client should come back.
const RETRY_MAX: Duration = Duration::from_secs(5);

data! {
    /// The load on a service when a statement arrives.
    pub struct QueueLoad {
        /// The work that would be done before the statement.
        pub ahead: Duration,
        /// The work that would be done before the statement once it has aged.
        pub ahead_of_aged: Duration,
        /// The time until the statement ages.
        pub ages_after: Duration,
        /// The number of statements that wait.
        pub waiting: usize,
        /// The microseconds of work that are completed per second; none if it is not known.
        pub rate: Option<u64>,
        /// The work of refused statements whose clients are expected to come back.
        pub returning: Duration,
    }

    /// Whether a statement may wait.
    pub enum DeadlineAdmission {
        /// The statement may wait: it is expected to be answered in time, or too little is known.
        Admit,
        /// The statement would wait too long.
        Refuse {
            /// When the client should come back, at most 5 s.
            retry_after: Duration,
        },
    }
}

/// Decides whether a statement may wait that has to be answered within `deadline` and has to leave
/// the queue within `wait_max`, both from now.
///
/// The retry time is that after which the servers will have completed the excess of work ahead and
/// that of the clients that were refused before. It is spread by `jitter`, in thousandths below
/// 1,000, to between half and one and a half times as much.
///
/// ```
/// use sapphireslip_lead::{DeadlineAdmission, QueueLoad, decide_admission};
/// use std::time::Duration;
/// let millis = Duration::from_millis;
/// let mut load = QueueLoad {
///     ahead: millis(3_000),
///     ahead_of_aged: millis(3_000),
///     ages_after: millis(200),
///     waiting: 100,
///     rate: Some(6_000_000),
///     returning: millis(0),
/// };
/// let decide = |load: &QueueLoad| decide_admission(load, millis(20), millis(800), millis(300), 500);
/// assert_eq!(decide(&load), DeadlineAdmission::Refuse { retry_after: millis(200) });
/// load.ahead = millis(1_700);
/// assert_eq!(decide(&load), DeadlineAdmission::Admit);
/// ```
#[must_use]
pub fn decide_admission(
    load: &QueueLoad,
    work: Duration,
    deadline: Duration,
    wait_max: Duration,
    jitter: u64,
) -> DeadlineAdmission {
    let Some(rate) = load.rate.filter(|rate| *rate > 0) else {
        return DeadlineAdmission::Admit;
    };
    let aged = load
        .ages_after
        .saturating_add(time_of(load.ahead_of_aged, rate));
    let wait = time_of(load.ahead, rate).min(aged);
    let allowed = deadline.saturating_sub(work).min(wait_max);
    if load.waiting < WAITING_MIN || wait <= allowed {
        return DeadlineAdmission::Admit;
    }
    let excess = (wait - allowed).saturating_add(time_of(load.returning, rate));
    let base = excess.clamp(RETRY_MIN, RETRY_MAX * 2 / 3);
    let spread = u32::try_from(500 + jitter.min(999)).unwrap_or(1_000);
    DeadlineAdmission::Refuse {
        retry_after: base * spread / 1_000,
    }
}

/// Returns the time in which some work is completed at a rate in microseconds per second.
fn time_of(work: Duration, rate: u64) -> Duration {
    let micros = work.as_micros() * 1_000_000 / u128::from(rate.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
