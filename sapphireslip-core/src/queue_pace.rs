//! The pace at which one kind of queued request gets connections.

use std::time::Duration;

use crate::Instant;
use crate::derives::data;

/// The weight of a new interval in the mean, as one part in so many.
const INTERVAL_SMOOTHING_DIVISOR: u32 = 16;

data! {
    /// The queued requests that go to the same servers, and their pace.
    #[derive(Default)]
    pub(crate) struct QueuePace {
        waiting: u32,
        mean_interval: Duration,
        /// When the last one got a connection while another one waited.
        last_dispatch: Option<Instant>,
    }
}

impl QueuePace {
    /// Notes that a request joined.
    pub(crate) const fn join(&mut self) {
        self.waiting += 1;
    }

    /// Notes that a request left, whatever for.
    pub(crate) const fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.last_dispatch = None;
        }
    }

    /// Notes that a request, which leaves after that, got a connection.
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

    /// Returns how long a request that joins now will wait, at the pace of late.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.mean_interval.saturating_mul(self.waiting)
    }
}
