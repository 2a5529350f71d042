//! Floors: the least log position that a server must have to serve a read of a given staleness.

use std::collections::VecDeque;
use std::time::Duration;

use sapphireslip_core::{Instant, data};

use crate::TermPosition;

/// The least time between two samples: closer ones would not help reads that may be seconds old.
const SAMPLE_SPACING: Duration = Duration::from_millis(50);

/// The most samples that are kept; at the least spacing they cover 10 s.
const SAMPLES_MAX: usize = 200;

data! {
    /// Log positions of a service's primary over the last seconds, from which floors are derived.
    ///
    /// A floor is the least log position that a server must have to serve a read. Each sample says
    /// that every write acknowledged before `asked` is at or before `position`: the primary was
    /// asked then, and no other server could acknowledge writes.
    #[derive(Default)]
    pub struct Floors {
        /// The samples, the oldest first.
        samples: VecDeque<Sample>,
    }

    /// A log position that the primary reported.
    struct Sample {
        /// When the request that the primary answered was sent.
        asked: Instant,
        /// The position in the answer.
        position: TermPosition,
    }
}

impl Floors {
    /// Records the position with which the primary answered a request sent at `asked`, unless the
    /// last sample is too recent.
    pub fn learn(&mut self, asked: Instant, position: TermPosition) {
        let is_spaced = |last: &Sample| asked.since(last.asked) >= SAMPLE_SPACING;
        if !self.samples.back().is_none_or(is_spaced) {
            return;
        }
        if self.samples.len() >= SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { asked, position });
    }

    /// Discards all samples, as needed when another primary leads.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns the floor of a read that must see every write acknowledged longer than `age` before
    /// `now`; none if no sample is that recent.
    ///
    /// ```
    /// use sapphireslip_core::Instant;
    /// use sapphireslip_lead::{Floors, Position, Term, TermPosition};
    /// use std::time::Duration;
    /// let at = |millis| Instant { since_start: Duration::from_millis(millis) };
    /// let record = |n| TermPosition { term: Term(1), position: Position(n) };
    /// let mut floors = Floors::default();
    /// floors.learn(at(1_000), record(7));
    /// floors.learn(at(2_000), record(9));
    /// let age = Duration::from_millis(1_500);
    /// assert_eq!(floors.floor(at(2_400), age), Some(record(7)));
    /// assert_eq!(floors.floor(at(2_600), age), Some(record(9)));
    /// assert_eq!(floors.floor(at(3_600), age), None);
    /// ```
    #[must_use]
    pub fn floor(&self, now: Instant, age: Duration) -> Option<TermPosition> {
        let is_young = |sample: &&Sample| now.since(sample.asked) <= age;
        self.samples
            .iter()
            .find(is_young)
            .map(|sample| sample.position)
    }

    /// Returns when the request behind the newest sample was sent; none if there is no sample.
    #[must_use]
    pub fn newest(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.asked)
    }
}
