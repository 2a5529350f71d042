//! Samples of the primary's log position over time, which bound the age of a server's data.

use std::collections::VecDeque;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{Instant, Term, TermPosition};

/// The maximum number of samples that are kept; the oldest are dropped.
pub const SAMPLES_MAX: usize = 64;

key! {
    /// A log position that the primary had not passed before `asked`.
    pub struct Sample {
        /// When the poll of the primary, or the statement that wrote the record, was sent.
        pub asked: Instant,
        /// The end of the primary's log, or the record that the statement wrote, according to the
        /// answer.
        pub held: TermPosition,
    }
}

data! {
    /// The newest samples.
    #[derive(Default)]
    pub struct Samples {
        /// The samples, oldest first.
        ring: VecDeque<Sample>,
    }
}

impl Samples {
    /// Adds a sample, unless it is older than the last one. Of several samples with one position
    /// only the latest two are kept, and of several within `spacing` only the first and the latest:
    /// the last one may not be confirmed yet, so the one before it is still needed.
    ///
    /// The spacing makes the samples cover the maximum staleness no matter how often they are
    /// added.
    pub(crate) fn add(&mut self, sample: Sample, spacing: Duration) {
        if self
            .ring
            .back()
            .is_some_and(|last| last.asked > sample.asked)
        {
            return;
        }
        if self.repeats(sample.held) {
            self.ring.remove(self.ring.len() - 2);
        } else if self.is_crowded(sample.asked, spacing) {
            self.ring.pop_back();
        }
        if self.ring.len() == SAMPLES_MAX {
            self.ring.pop_front();
        }
        self.ring.push_back(sample);
    }

    /// Returns whether the last two samples have this position.
    fn repeats(&self, held: TermPosition) -> bool {
        self.ring.len() >= 2 && self.ring.iter().rev().take(2).all(|last| last.held == held)
    }

    /// Returns whether the last sample is too close to its neighbors to be kept.
    fn is_crowded(&self, next: Instant, spacing: Duration) -> bool {
        let before = self.ring.iter().rev().nth(1);
        before.is_some_and(|before| next.since(before.asked) < spacing)
    }

    /// Returns the samples of a term's primary that were asked for at or before `confirmed`, newest
    /// first.
    ///
    /// Samples of primaries of earlier terms are excluded: such a primary may not have known that
    /// it was superseded.
    pub(crate) fn until(&self, confirmed: Instant, term: Term) -> impl Iterator<Item = &Sample> {
        self.ring
            .iter()
            .rev()
            .filter(move |sample| sample.asked <= confirmed && sample.held.term == term)
    }
}
