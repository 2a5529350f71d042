//! When the store gave an answer, by this daemon's clock.

use sapphireslip_core::{Instant, data};

use crate::StoreTime;

data! {
    /// A lower bound for the local time at which the store gave each answer of a sequence of calls.
    ///
    /// A call may wait at the store, so its answer can be much later than its request. The time
    /// between two answers is known by the store's clock, which each of them carries.
    #[derive(Default)]
    pub struct AnswerTimes {
        /// The bound for the last answer and the time that it carried.
        last: Option<(Instant, StoreTime)>,
    }
}

impl AnswerTimes {
    /// Returns the earliest time at which the store can have given an answer that carries its time
    /// `now`, for a call that was sent at `sent` and answered by `received`. The calls follow one
    /// another.
    ///
    /// ```
    /// use sapphireslip_core::Instant;
    /// use sapphireslip_lead::{AnswerTimes, StoreTime};
    /// use std::time::Duration;
    /// let at = |millis| Instant { since_start: Duration::from_millis(millis) };
    /// let store = |millis| StoreTime(Duration::from_millis(millis));
    /// let mut times = AnswerTimes::default();
    /// assert_eq!(times.learn(at(100), at(103), store(70_102)), at(100));
    /// // The store has waited for 3.4 s before it gave this answer.
    /// assert_eq!(times.learn(at(103), at(3_510), store(73_504)), at(3_502));
    /// ```
    pub fn learn(&mut self, sent: Instant, received: Instant, now: StoreTime) -> Instant {
        let by_store = self
            .last
            .map(|(at, then)| at + now.0.saturating_sub(then.0));
        let at = by_store.map_or(sent, |at| at.min(received).max(sent));
        self.last = Some((at, now));
        at
    }
}
