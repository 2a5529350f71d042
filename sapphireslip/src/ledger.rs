//! What was acknowledged, refused and unknown over a whole run, checked against what is stored.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

/// What the caller of a request was told in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Done.
    Done,
    /// Not run.
    NotRun,
    /// Perhaps run.
    Unknown,
}

/// A request that wrote, and what its caller was told.
#[derive(Clone, Debug)]
struct Entry {
    request: String,
    outcome: WriteOutcome,
}

/// The counts at the end of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Writes that callers were told are done.
    pub acknowledged: u64,
    /// Writes refused as not run.
    pub not_run: u64,
    /// Writes of unknown outcome.
    pub unknown: u64,
    /// Acknowledged writes that are not stored.
    pub lost: u64,
    /// Writes that are stored more than once.
    pub doubled: u64,
    /// Writes refused as not run that are stored.
    pub ran_after_all: u64,
    /// Reads that missed a write which their own session had been told is done.
    pub stale: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads refused.
    pub reads_refused: u64,
}

impl Verdict {
    /// Returns whether no promise was broken.
    ///
    /// ```
    /// use sapphireslip::Verdict;
    /// assert!(Verdict::default().is_clean());
    /// assert!(!Verdict { lost: 1, ..Verdict::default() }.is_clean());
    /// ```
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.ran_after_all == 0 && self.stale == 0
    }
}

/// All that callers were told during a run.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: Vec<Entry>,
    verdict: Verdict,
    acknowledged_at: Vec<Instant>,
    offering_ended: Option<Instant>,
}

impl Ledger {
    /// Notes what the caller of a write was told in the end, and when.
    ///
    /// ```
    /// use sapphireslip::{Ledger, WriteOutcome};
    /// use std::time::Instant;
    /// let mut ledger = Ledger::default();
    /// ledger.record_write("1764794258.a", WriteOutcome::Done, Instant::now());
    /// let verdict = ledger.verdict(["1764794258.a"]);
    /// assert!(verdict.is_clean());
    /// ```
    pub fn record_write(&mut self, request: &str, outcome: WriteOutcome, at: Instant) {
        self.entries.push(Entry {
            request: request.to_owned(),
            outcome,
        });
        match outcome {
            WriteOutcome::Done => {
                self.verdict.acknowledged += 1;
                self.acknowledged_at.push(at);
            }
            WriteOutcome::NotRun => self.verdict.not_run += 1,
            WriteOutcome::Unknown => self.verdict.unknown += 1,
        }
    }

    /// Returns how many writes were noted.
    ///
    /// ```
    /// assert_eq!(sapphireslip::Ledger::default().writes(), 0);
    /// ```
    #[must_use]
    pub const fn writes(&self) -> usize {
        self.entries.len()
    }

    /// Notes a read that was answered, and whether it missed a write of its own session.
    ///
    /// ```
    /// use sapphireslip::Ledger;
    /// let mut ledger = Ledger::default();
    /// ledger.record_read(true);
    /// assert_eq!(ledger.verdict([]).stale, 1);
    /// ```
    pub fn record_read(&mut self, is_stale: bool) {
        self.verdict.reads += 1;
        self.verdict.stale += u64::from(is_stale);
    }

    /// Notes a read that was refused.
    ///
    /// ```
    /// use sapphireslip::Ledger;
    /// let mut ledger = Ledger::default();
    /// ledger.record_refused_read();
    /// assert_eq!(ledger.verdict([]).reads_refused, 1);
    /// ```
    pub const fn record_refused_read(&mut self) {
        self.verdict.reads_refused += 1;
    }

    /// Notes that no more operations are offered: the pauses between the last answers after that
    /// say nothing of whether writes can land.
    ///
    /// ```
    /// use std::time::Instant;
    /// sapphireslip::Ledger::default().end_offering(Instant::now());
    /// ```
    pub const fn end_offering(&mut self, at: Instant) {
        self.offering_ended = Some(at);
    }

    /// Returns the longest time without an acknowledged write while operations were offered: the
    /// failover gap, if a primary was lost during the run.
    ///
    /// ```
    /// use sapphireslip::Ledger;
    /// use std::time::Duration;
    /// assert_eq!(Ledger::default().longest_write_gap(), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn longest_write_gap(&self) -> Duration {
        let mut times = self.acknowledged_at.clone();
        if let Some(end) = self.offering_ended.filter(|_| !times.is_empty()) {
            times.retain(|at| *at < end);
            times.push(end);
        }
        times.sort_unstable();
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or_default()
    }

    /// Compares what was told with the requests that are stored, each as often as it is stored.
    ///
    /// ```
    /// use sapphireslip::{Ledger, WriteOutcome};
    /// use std::time::Instant;
    /// let mut ledger = Ledger::default();
    /// ledger.record_write("1764794258.a", WriteOutcome::Done, Instant::now());
    /// assert_eq!(ledger.verdict([]).lost, 1);
    /// assert_eq!(ledger.verdict(["1764794258.a", "1764794258.a"]).doubled, 1);
    /// ```
    #[must_use]
    pub fn verdict<'a>(&self, stored: impl IntoIterator<Item = &'a str>) -> Verdict {
        let mut times: BTreeMap<&str, u64> = BTreeMap::new();
        for request in stored {
            *times.entry(request).or_default() += 1;
        }
        let mut verdict = self.verdict;
        for entry in &self.entries {
            let count = times.get(entry.request.as_str()).copied().unwrap_or(0);
            verdict.lost += u64::from(entry.outcome == WriteOutcome::Done && count == 0);
            verdict.ran_after_all += u64::from(entry.outcome == WriteOutcome::NotRun && count > 0);
        }
        verdict.doubled = times.values().filter(|count| **count > 1).count() as u64;
        verdict
    }
}
