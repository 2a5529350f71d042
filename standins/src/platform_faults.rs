//! The fault switches and rate limits of the platform stand-in.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The faults that are switched on at the platform.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Whether every call is refused.
    pub(crate) is_down: bool,
    /// The time by which every call is delayed.
    pub(crate) call_delay: Duration,
    /// Whether the next transaction that commits reports an error.
    pub(crate) lose_next_answer: bool,
    /// The VMs whose calls are not answered.
    pub(crate) cut_vms: BTreeSet<String>,
    /// The availability zones whose VMs' calls are not answered.
    pub(crate) cut_zones: BTreeSet<String>,
}

/// A token bucket that allows a number of requests per second, and as many in a burst.
#[derive(Debug)]
pub(crate) struct RateLimit {
    /// The tokens added per second, and the most that can accumulate.
    per_second: u32,
    /// The tokens available at `last_refill`; each request takes one.
    tokens: f64,
    /// When tokens were last added.
    last_refill: Instant,
}

impl RateLimit {
    /// Creates a limit with a full bucket.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            last_refill: now,
        }
    }

    /// Takes a token for a request; returns false if there is none.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let rate = f64::from(self.per_second);
        let elapsed = now.saturating_duration_since(self.last_refill);
        self.last_refill = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
