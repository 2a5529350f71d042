//! The fault switches of the platform stand-in.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// What is wrong with the platform at present.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Every call is refused.
    pub(crate) is_down: bool,
    /// Every call takes this much longer.
    pub(crate) call_delay: Duration,
    /// The answer of the next transaction is lost.
    pub(crate) lose_next_answer: bool,
    /// Calls of these VMs get no answer.
    pub(crate) cut_vms: BTreeSet<String>,
    /// Calls from these availability zones get no answer.
    pub(crate) cut_zones: BTreeSet<String>,
}

/// Allows so many requests a second, with a burst of as many.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: u32,
    tokens: f64,
    last_refill: Instant,
}

impl RateLimit {
    /// Returns a limit whose burst is unused.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            last_refill: now,
        }
    }

    /// Takes one request's token; false if there is none.
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
