//! How many reads replicas and primaries served, read from the metrics of the daemons.

use std::net::SocketAddr;

use crate::http::get;

/// The metric that counts reads by the role of the server that served them.
const READS_METRIC: &str = "sapphireslip_reads_total";

/// Reads by the role of the server that served them, over all daemons asked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadCounts {
    /// Reads served by replicas.
    pub replica: u64,
    /// Reads served by primaries.
    pub primary: u64,
}

impl ReadCounts {
    /// Returns the reads since an earlier count.
    ///
    /// ```
    /// use sapphireslip::ReadCounts;
    /// let later = ReadCounts { replica: 9, primary: 3 };
    /// let share = later.since(ReadCounts { replica: 0, primary: 0 }).replica_share();
    /// assert_eq!(share, Some(0.75));
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            replica: self.replica.saturating_sub(earlier.replica),
            primary: self.primary.saturating_sub(earlier.primary),
        }
    }

    /// Returns the share of reads that replicas served; none if there were no reads.
    ///
    /// ```
    /// use sapphireslip::ReadCounts;
    /// assert_eq!(ReadCounts::default().replica_share(), None);
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of one run are far below 2^52"
    )]
    pub fn replica_share(self) -> Option<f64> {
        let all = self.replica + self.primary;
        (all > 0).then(|| self.replica as f64 / all as f64)
    }
}

/// Adds up the reads of all daemons; none if no admin address was given or one doesn't answer.
pub(crate) async fn read_counts(admin: &[SocketAddr]) -> Option<ReadCounts> {
    if admin.is_empty() {
        return None;
    }
    let mut counts = ReadCounts::default();
    for address in admin {
        let Ok(body) = get(*address, "/metrics").await else {
            continue;
        };
        counts.replica += reads(&body, "replica");
        counts.primary += reads(&body, "primary");
    }
    Some(counts)
}

fn reads(metrics: &str, role: &str) -> u64 {
    let label = format!("role=\"{role}\"");
    let line = metrics
        .lines()
        .find(|line| line.starts_with(READS_METRIC) && line.contains(&label));
    line.and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
