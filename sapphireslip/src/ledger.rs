//! The outcomes of all writes and reads of a run, checked against what is stored at its end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

/// The final outcome of a write, as the client was told it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write was acknowledged.
    Done,
    /// The write was refused and did not run.
    NotRun,
    /// The write may have run.
    Unknown,
}

/// A write and its final outcome.
#[derive(Clone, Debug)]
struct Entry {
    /// The request key, which is stored with the write.
    request: String,
    /// The final outcome, as the client was told it.
    outcome: WriteOutcome,
}

/// The counts of outcomes and of broken guarantees at the end of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// The number of acknowledged writes.
    pub acknowledged: u64,
    /// The number of writes that were refused as not run.
    pub not_run: u64,
    /// The number of writes with an unknown outcome.
    pub unknown: u64,
    /// The number of acknowledged writes that are not stored.
    pub lost: u64,
    /// The number of writes that are stored more than once.
    pub doubled: u64,
    /// The number of writes that were refused as not run, but are stored.
    pub ran_after_all: u64,
    /// The number of reads that missed an acknowledged write of their own session.
    pub stale: u64,
    /// The number of answered reads.
    pub reads: u64,
    /// The number of refused reads.
    pub reads_refused: u64,
}

impl Verdict {
    /// Returns whether all guarantees were kept.
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

/// The outcomes of all writes and reads of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// All writes with their outcomes.
    entries: Vec<Entry>,
    /// The counts so far; those that need the stored writes are still 0.
    verdict: Verdict,
    /// When each acknowledged write was acknowledged.
    acknowledged_at: Vec<Instant>,
    /// When the run stopped starting operations; `None` until then.
    offering_ended: Option<Instant>,
}

impl Ledger {
    /// Records the final outcome of a write and when the client learned of it.
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

    /// Returns the number of recorded writes.
    ///
    /// ```
    /// assert_eq!(sapphireslip::Ledger::default().writes(), 0);
    /// ```
    #[must_use]
    pub const fn writes(&self) -> usize {
        self.entries.len()
    }

    /// Records an answered read and whether it missed an acknowledged write of its own session.
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

    /// Records a refused read.
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

    /// Records that no more operations are started. Pauses between acknowledgements after that
    /// don't show that writes were impossible.
    ///
    /// ```
    /// use std::time::Instant;
    /// sapphireslip::Ledger::default().end_offering(Instant::now());
    /// ```
    pub const fn end_offering(&mut self, at: Instant) {
        self.offering_ended = Some(at);
    }

    /// Returns the longest time without an acknowledged write while operations were started. If a
    /// primary was lost during the run, this is the duration of the failover.
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

    /// Compares the recorded outcomes with the stored request keys, each given as often as it is
    /// stored, and returns all counts.
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
