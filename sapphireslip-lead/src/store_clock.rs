//! An upper bound for the store's clock, derived from its answers.

use sapphireslip_core::{Instant, data};

use crate::StoreTime;

data! {
    /// An upper bound for the store's clock: at any moment, the clock reads no less than the time
    /// in an earlier answer, and no more than that time plus the time since its request was sent.
    #[derive(Default)]
    pub struct StoreClock {
        /// The answer with the lowest bound: when its request was sent, and the time it carried.
        tightest: Option<(Instant, StoreTime)>,
    }
}

impl StoreClock {
    /// Records that the store answered a request sent at `sent` with its time `now`.
    ///
    /// ```
    /// use sapphireslip_core::Instant;
    /// use sapphireslip_lead::{StoreClock, StoreTime};
    /// use std::time::Duration;
    /// let at = |millis| Instant { since_start: Duration::from_millis(millis) };
    /// let store = |millis| StoreTime(Duration::from_millis(millis));
    /// let mut clock = StoreClock::default();
    /// clock.learn(at(100), store(5_000));
    /// assert_eq!(clock.latest(at(150)), Some(store(5_050)));
    /// clock.learn(at(200), store(5_080));
    /// assert_eq!(clock.latest(at(200)), Some(store(5_080)));
    /// ```
    pub fn learn(&mut self, sent: Instant, now: StoreTime) {
        if self.latest(sent).is_none_or(|latest| now < latest) {
            self.tightest = Some((sent, now));
        }
    }

    /// Returns the latest time that the store's clock can read at `now`; none before the first
    /// answer.
    #[must_use]
    pub fn latest(&self, now: Instant) -> Option<StoreTime> {
        let (sent, time) = self.tightest?;
        Some(StoreTime(time.0 + now.since(sent)))
    }
}
