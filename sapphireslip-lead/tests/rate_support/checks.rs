//! Checks of the fleet: what was served, and that the limit holds.

use sapphireslip_lead::{RateBounds, RateLimit, WHOLE_SHARE};

use super::{Fleet, account, at, limit};

impl Fleet {
    /// Returns the part of the limit that was served within the last `millis`.
    pub fn served(&self, millis: u64) -> f64 {
        let from = self.now - millis;
        let ran = self.ran.iter().filter(|(at, _)| *at > from).count();
        ran as f64 * 1e6 / (self.limit.per_second as f64 * millis as f64)
    }

    /// Panics if more than the whole limit may be in use at this moment.
    pub(super) fn check_shares(&self) {
        let now = at(self.now);
        let running = self.daemons.iter().filter(|d| self.now >= d.dead_until);
        let shares = running.map(|daemon| {
            let rest = match self.now < daemon.row_until {
                true => daemon.shares.rest(&account()),
                false => 0,
            };
            u64::from(daemon.limits.share(now, &account())) + u64::from(rest)
        });
        let sum: u64 = shares.sum();
        assert!(sum <= u64::from(WHOLE_SHARE), "{sum} at {} ms", self.now);
    }

    /// Checks the bound in every window: returns the first one that exceeds it.
    pub fn violation(&self) -> Option<String> {
        let bounds = RateBounds::default();
        let window = bounds.window.as_millis() as u64;
        let mut end = 0;
        for (begin, (from, _)) in self.ran.iter().enumerate() {
            while self.ran.get(end).is_some_and(|(at, _)| *at < from + window) {
                end += 1;
            }
            let limit = self.largest_limit(from - 500);
            let scaled = limit.per_second * window / 1_000 + limit.burst;
            let allowed = scaled * 11 / 10 / 1_000 + bounds.slack;
            let count = (end - begin) as u64;
            if count > allowed {
                return Some(format!("{count} ran from {from} on, {allowed} may"));
            }
        }
        None
    }

    /// Returns the largest limit that a daemon may have had at `from` or later.
    fn largest_limit(&self, from: u64) -> RateLimit {
        let earlier = self.limits.iter().filter(|(until, _)| *until >= from);
        let all = earlier.map(|(_, limit)| *limit).chain([self.limit]);
        let largest = |a: RateLimit, b: RateLimit| RateLimit {
            per_second: a.per_second.max(b.per_second),
            burst: a.burst.max(b.burst),
        };
        all.fold(limit(0, 0), largest)
    }
}
