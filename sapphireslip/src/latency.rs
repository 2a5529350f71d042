//! Latencies, measured from the time at which an operation was meant to start.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest latency that is told apart from longer ones.
const LATENCY_MAX: Duration = Duration::from_secs(60);

/// Significant decimal digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of one kind of operation.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// Latencies in milliseconds at a few shares of the operations.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
    /// How many operations.
    pub count: u64,
    /// Half of them were quicker.
    pub p50_ms: f64,
    /// Nine of ten were quicker.
    pub p90_ms: f64,
    /// All but one of a hundred were quicker.
    pub p99_ms: f64,
    /// The slowest.
    pub max_ms: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        let max = u64::try_from(LATENCY_MAX.as_micros()).unwrap_or(u64::MAX);
        let histogram = Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that the histogram takes");
        Self { histogram }
    }
}

impl Latencies {
    /// Adds one latency.
    ///
    /// ```
    /// use sapphireslip::Latencies;
    /// use std::time::Duration;
    /// let mut latencies = Latencies::default();
    /// latencies.add(Duration::from_millis(3));
    /// assert_eq!(latencies.summary().count, 1);
    /// ```
    pub fn add(&mut self, latency: Duration) {
        self.histogram
            .saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }

    /// Returns the latency below which `share` (0 to 1) of the operations lie, in milliseconds.
    ///
    /// ```
    /// use sapphireslip::Latencies;
    /// assert_eq!(Latencies::default().quantile_ms(0.5), 0.0);
    /// ```
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        micros_to_millis(self.histogram.value_at_quantile(share))
    }

    /// Returns the latencies in short.
    ///
    /// ```
    /// use sapphireslip::Latencies;
    /// assert_eq!(Latencies::default().summary().count, 0);
    /// ```
    #[must_use]
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            count: self.histogram.len(),
            p50_ms: self.quantile_ms(0.5),
            p90_ms: self.quantile_ms(0.9),
            p99_ms: self.quantile_ms(0.99),
            max_ms: micros_to_millis(self.histogram.max()),
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 microseconds"
)]
fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
