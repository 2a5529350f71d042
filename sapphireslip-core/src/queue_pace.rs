//! Estimate of the time that a request will wait in the queue.

use std::time::Duration;

use crate::Instant;
use crate::derives::data;

/// A new interval has a weight of one part in this many in the mean.
const INTERVAL_SMOOTHING_DIVISOR: u32 = 16;

data! {
    /// The number of queued requests that go to the same servers, and the pace at which they get
    /// connections.
    #[derive(Default)]
    pub(crate) struct QueuePace {
        /// How many requests are queued now.
        waiting: u32,
        /// The moving average of the time between two requests getting connections while others
        /// wait; zero before the first such interval.
        mean_interval: Duration,
        /// When a request last got a connection; none if the queue has been empty since.
        last_dispatch: Option<Instant>,
    }
}

impl QueuePace {
    /// Counts a request that is queued.
    pub(crate) const fn join(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that leaves the queue, for whatever reason.
    pub(crate) const fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.last_dispatch = None;
        }
    }

    /// Records that a queued request got a connection; call it before [`Self::leave`].
    pub(crate) fn dispatch(&mut self, now: Instant) {
        if let Some(last_dispatch) = self.last_dispatch {
            let interval = now.since(last_dispatch);
            self.mean_interval = if self.mean_interval.is_zero() {
                interval
            } else {
                self.mean_interval - self.mean_interval / INTERVAL_SMOOTHING_DIVISOR
                    + interval / INTERVAL_SMOOTHING_DIVISOR
            };
        }
        self.last_dispatch = Some(now);
    }

    /// Returns how long a request that is queued now is expected to wait, at the recent pace.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.mean_interval.saturating_mul(self.waiting)
    }
}
