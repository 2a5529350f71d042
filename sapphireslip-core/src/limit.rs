//! An adaptive limit on the statements in flight at one server, by additive increase and
//! multiplicative decrease (AIMD) on latency.

use std::time::Duration;

use crate::derives::data;

/// The resolution of the limit: it is stored in thousandths of a statement, so that it can grow by
/// less than one statement at a time.
const THOUSANDTHS_PER_STATEMENT: u64 = 1_000;

/// The share of the limit that remains after a slow answer, in percent.
const DECREASE_PERCENT: u64 = 90;

/// The multiple of the baseline latency above which an answer counts as slow, together with
/// [`SLOW_LATENCY_MARGIN`].
const SLOW_LATENCY_FACTOR: u32 = 3;

/// The latency added to the multiple of the baseline, so that small delays never count as slow.
const SLOW_LATENCY_MARGIN: Duration = Duration::from_millis(5);

/// The baseline latency rises by itself divided by this number with each answer above it.
const BASELINE_RISE_DIVISOR: u32 = 64;

/// The weight of a new answer in the mean latency is one divided by this number.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

data! {
    /// The limit on the statements in flight at one server.
    pub struct ConcurrencyLimit {
        /// The current limit, in thousandths of a statement.
        current_thousandths: u64,
        /// The maximum limit, in statements; at least one.
        max: u32,
        /// The estimated latency of an unloaded server; `None` before the first answer.
        baseline_latency: Option<Duration>,
        /// The exponentially weighted mean latency of answers; zero before the first answer.
        mean_latency: Duration,
    }
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at its maximum, `max` statements but at least one.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// assert_eq!(ConcurrencyLimit::new(5).current(), 5);
    /// ```
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            current_thousandths: u64::from(max.max(1)) * THOUSANDTHS_PER_STATEMENT,
            max: max.max(1),
            baseline_latency: None,
            mean_latency: Duration::ZERO,
        }
    }

    /// Returns the number of statements that may be in flight, at least one.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// assert_eq!(ConcurrencyLimit::new(0).current(), 1);
    /// ```
    #[must_use]
    pub fn current(&self) -> u32 {
        u32::try_from(self.current_thousandths / THOUSANDTHS_PER_STATEMENT).unwrap_or(self.max)
    }

    /// Returns the weighted mean latency of recent answers; zero before the first answer.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// assert!(ConcurrencyLimit::new(5).mean_latency().is_zero());
    /// ```
    #[must_use]
    pub const fn mean_latency(&self) -> Duration {
        self.mean_latency
    }

    /// Changes the maximum. A new maximum also resets the current limit to it.
    pub(crate) fn set_max(&mut self, max: u32) {
        if max != self.max {
            *self = Self {
                baseline_latency: self.baseline_latency,
                mean_latency: self.mean_latency,
                ..Self::new(max)
            };
        }
    }

    /// Adapts the limit to the latency of an answer that arrived while `in_flight` statements were
    /// at the server: a slow answer lowers the limit, any other one raises it if it was reached.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// use std::time::Duration;
    /// let mut limit = ConcurrencyLimit::new(10);
    /// limit.on_answer(Duration::from_millis(1), 10);
    /// limit.on_answer(Duration::from_millis(100), 10);
    /// assert_eq!(limit.current(), 9);
    /// ```
    pub fn on_answer(&mut self, latency: Duration, in_flight: u32) {
        self.update_latencies(latency);
        let baseline_latency = self.baseline_latency.unwrap_or(latency);
        if latency > baseline_latency * SLOW_LATENCY_FACTOR + SLOW_LATENCY_MARGIN {
            self.current_thousandths =
                (self.current_thousandths * DECREASE_PERCENT / 100).max(THOUSANDTHS_PER_STATEMENT);
            return;
        }
        if in_flight >= self.current() {
            let step =
                THOUSANDTHS_PER_STATEMENT * THOUSANDTHS_PER_STATEMENT / self.current_thousandths;
            self.current_thousandths = (self.current_thousandths + step)
                .min(u64::from(self.max) * THOUSANDTHS_PER_STATEMENT);
        }
    }

    /// Updates the mean and the baseline latency with the latency of one answer.
    fn update_latencies(&mut self, latency: Duration) {
        self.mean_latency = if self.mean_latency.is_zero() {
            latency
        } else {
            self.mean_latency - self.mean_latency / MEAN_WEIGHT_DIVISOR
                + latency / MEAN_WEIGHT_DIVISOR
        };
        self.baseline_latency = Some(match self.baseline_latency {
            Some(baseline) if baseline < latency => baseline + baseline / BASELINE_RISE_DIVISOR,
            _ => latency,
        });
    }
}
