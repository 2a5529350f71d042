//! How far a replica's log must have come to serve a read of a stated age.

use std::collections::VecDeque;
use std::time::Duration;

use sapphireslip_core::{Instant, data};

use crate::TermPosition;

/// The least time between two samples: finer ones would not help a read that may be seconds old.
const SAMPLE_SPACING: Duration = Duration::from_millis(50);

/// The most samples that are kept; at the spacing above they cover 10 s.
const SAMPLES_MAX: usize = 200;

data! {
    /// Positions of a service's primary over the last seconds.
    ///
    /// Each sample says: every write that was acknowledged before `asked` is at or before
    /// `position`, since the primary was asked then and was the only one that could acknowledge.
    #[derive(Default)]
    pub struct Floors {
        samples: VecDeque<Sample>,
    }

    struct Sample {
        asked: Instant,
        position: TermPosition,
    }
}

impl Floors {
    /// Takes the position with which the primary answered a request sent at `asked`.
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

    /// Forgets all samples: another primary leads.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns the lowest position that a read may run at which must see every write acknowledged
    /// longer than `age` before `now`; none if the primary was not heard of within that time.
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

    /// Returns when the primary was last asked; none if it has not been.
    #[must_use]
    pub fn newest(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.asked)
    }
}
