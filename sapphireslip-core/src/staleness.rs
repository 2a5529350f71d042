//! How old a server's data may be, from samples of the primary's position.

use std::collections::VecDeque;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{Instant, Term, TermPosition};

/// The most samples kept, the newest ones.
pub const SAMPLES_MAX: usize = 64;

key! {
    /// A position that the primary had passed at no time before `asked`.
    pub struct Sample {
        /// When the primary was asked.
        pub asked: Instant,
        /// The end of its log in the answer.
        pub held: TermPosition,
    }
}

data! {
    /// The newest samples, oldest first.
    #[derive(Default)]
    pub struct Samples {
        ring: VecDeque<Sample>,
    }
}

impl Samples {
    /// Adds a sample; of several with one position, or within `spacing`, the latest two are kept, as
    /// the last may not be confirmed yet.
    ///
    /// The spacing lets the ring reach back over the allowed age however often samples come.
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

    fn repeats(&self, held: TermPosition) -> bool {
        self.ring.len() >= 2 && self.ring.iter().rev().take(2).all(|last| last.held == held)
    }

    /// Returns whether the last sample stands too close to its neighbours to be kept too.
    fn is_crowded(&self, next: Instant, spacing: Duration) -> bool {
        let before = self.ring.iter().rev().nth(1);
        before.is_some_and(|before| next.since(before.asked) < spacing)
    }

    /// Returns the samples of a term's primary asked at or before `confirmed`, newest first.
    ///
    /// Those of an earlier term's don't count: it may not have known that it was superseded.
    pub(crate) fn until(&self, confirmed: Instant, term: Term) -> impl Iterator<Item = &Sample> {
        self.ring
            .iter()
            .rev()
            .filter(move |sample| sample.asked <= confirmed && sample.held.term == term)
    }
}
