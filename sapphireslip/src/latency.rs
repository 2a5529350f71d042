//! Histograms of latencies and their summaries.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest latency that is recorded exactly; longer ones are recorded as this.
const LATENCY_MAX: Duration = Duration::from_secs(60);

/// The number of significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The distribution of the latencies of one kind of operation.
#[derive(Clone, Debug)]
pub struct Latencies {
    /// The latencies in microseconds.
    histogram: Histogram<u64>,
}

/// The number of operations and percentiles of their latency in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
    /// The number of operations.
    pub count: u64,
    /// The 50th percentile (median) in milliseconds.
    pub p50_ms: f64,
    /// The 90th percentile in milliseconds.
    pub p90_ms: f64,
    /// The 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// The longest latency in milliseconds.
    pub max_ms: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        let max = u64::try_from(LATENCY_MAX.as_micros()).unwrap_or(u64::MAX);
        let histogram = Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS)
            .expect("the constant bounds are valid for a histogram");
        Self { histogram }
    }
}

impl Latencies {
    /// Records one latency.
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

    /// Returns the latency in milliseconds that a `share` (0 to 1) of the operations did not
    /// exceed.
    ///
    /// ```
    /// use sapphireslip::Latencies;
    /// assert_eq!(Latencies::default().quantile_ms(0.5), 0.0);
    /// ```
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        micros_to_millis(self.histogram.value_at_quantile(share))
    }

    /// Returns the number of operations and the percentiles of their latency.
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

/// Converts microseconds to milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 microseconds"
)]
fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
