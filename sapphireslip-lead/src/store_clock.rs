//! The store's clock, as far as answers bound it.

use sapphireslip_core::{Instant, data};

use crate::StoreTime;

data! {
    /// What is known of the store's clock: it reads no less at a moment than an earlier answer
    /// said, and no more than an answer said plus the time since its question was sent.
    #[derive(Default)]
    pub struct StoreClock {
        /// The sample that bounds the clock most tightly from above.
        tightest: Option<(Instant, StoreTime)>,
    }
}

impl StoreClock {
    /// Takes an answer to a question sent at `sent`.
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

    /// Returns the latest that the store's clock can read at `now`; none before the first answer.
    #[must_use]
    pub fn latest(&self, now: Instant) -> Option<StoreTime> {
        let (sent, time) = self.tightest?;
        Some(StoreTime(time.0 + now.since(sent)))
    }
}
