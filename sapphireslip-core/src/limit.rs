//! An adaptive limit of statements in flight at one server: additive increase, multiplicative
//! decrease on latency.

use std::time::Duration;

use crate::derives::data;

/// Thousandths of a statement, the unit in which the limit moves.
const THOUSANDTHS: u64 = 1_000;

/// What is left of the limit after a slow answer, in percent.
const DECREASE_PERCENT: u64 = 90;

/// How many times the usual latency counts as slow.
const SLOW_FACTOR: u32 = 3;

/// Latency above the usual that never counts as slow.
const SLOW_MARGIN: Duration = Duration::from_millis(5);

/// The part of itself by which the usual latency rises with each answer that is above it.
const BASELINE_RISE: u32 = 64;

/// The weight of a new answer in the mean latency, as one part in so many.
const MEAN_WEIGHT: u32 = 8;

data! {
    /// The limit of one server.
    pub struct Limit {
        thousandths: u64,
        max: u32,
        baseline: Option<Duration>,
        mean: Duration,
    }
}

impl Limit {
    /// Returns a limit that starts at its greatest value.
    ///
    /// ```
    /// use sapphireslip_core::Limit;
    /// assert_eq!(Limit::new(5).current(), 5);
    /// ```
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            thousandths: u64::from(max.max(1)) * THOUSANDTHS,
            max: max.max(1),
            baseline: None,
            mean: Duration::ZERO,
        }
    }

    /// Returns how many statements may be in flight, at least one.
    ///
    /// ```
    /// use sapphireslip_core::Limit;
    /// assert_eq!(Limit::new(0).current(), 1);
    /// ```
    #[must_use]
    pub fn current(&self) -> u32 {
        u32::try_from(self.thousandths / THOUSANDTHS).unwrap_or(self.max)
    }

    /// Returns the mean latency of late.
    ///
    /// ```
    /// use sapphireslip_core::Limit;
    /// assert!(Limit::new(5).mean().is_zero());
    /// ```
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }

    /// Changes the greatest value.
    pub(crate) fn set_max(&mut self, max: u32) {
        if max != self.max {
            *self = Self {
                baseline: self.baseline,
                mean: self.mean,
                ..Self::new(max)
            };
        }
    }

    /// Takes the latency of an answer that came while `in_flight` statements were at the server.
    ///
    /// ```
    /// use sapphireslip_core::Limit;
    /// use std::time::Duration;
    /// let mut limit = Limit::new(10);
    /// limit.on_answer(Duration::from_millis(1), 10);
    /// limit.on_answer(Duration::from_millis(100), 10);
    /// assert_eq!(limit.current(), 9);
    /// ```
    pub fn on_answer(&mut self, latency: Duration, in_flight: u32) {
        self.note(latency);
        let baseline = self.baseline.unwrap_or(latency);
        if latency > baseline * SLOW_FACTOR + SLOW_MARGIN {
            self.thousandths = (self.thousandths * DECREASE_PERCENT / 100).max(THOUSANDTHS);
            return;
        }
        if in_flight >= self.current() {
            let step = THOUSANDTHS * THOUSANDTHS / self.thousandths;
            self.thousandths = (self.thousandths + step).min(u64::from(self.max) * THOUSANDTHS);
        }
    }

    fn note(&mut self, latency: Duration) {
        self.mean = if self.mean.is_zero() {
            latency
        } else {
            self.mean - self.mean / MEAN_WEIGHT + latency / MEAN_WEIGHT
        };
        self.baseline = Some(match self.baseline {
            Some(baseline) if baseline < latency => baseline + baseline / BASELINE_RISE,
            _ => latency,
        });
    }
}
