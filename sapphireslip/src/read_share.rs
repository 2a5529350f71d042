//! Counts the reads that replicas and primaries served, from the metrics of daemons.

use std::net::SocketAddr;

use crate::http::get;

/// The metric that counts reads, labelled by the role of the server that served them.
const READS_METRIC: &str = "sapphireslip_reads_total";

/// The number of reads by the role of the server that served them, summed over daemons.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadCounts {
    /// The number of reads served by replicas since the daemons started.
    pub replica: u64,
    /// The number of reads served by primaries since the daemons started.
    pub primary: u64,
}

impl ReadCounts {
    /// Returns the number of reads between an earlier count and this one.
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

    /// Returns the share (0 to 1) of reads that replicas served; `None` if there were no reads.
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

/// Sums up the reads of all daemons that answer; `None` if no admin address was given.
pub(crate) async fn read_counts(admin: &[SocketAddr]) -> Option<ReadCounts> {
    if admin.is_empty() {
        return None;
    }
    let mut counts = ReadCounts::default();
    for address in admin {
        let Ok(body) = get(*address, "/metrics").await else {
            continue;
        };
        counts.replica += parse_reads(&body, "replica");
        counts.primary += parse_reads(&body, "primary");
    }
    Some(counts)
}

/// Returns the number of reads for a role from a metrics page; 0 if the page doesn't have it.
fn parse_reads(metrics: &str, role: &str) -> u64 {
    let label = format!("role=\"{role}\"");
    let line = metrics
        .lines()
        .find(|line| line.starts_with(READS_METRIC) && line.contains(&label));
    line.and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
