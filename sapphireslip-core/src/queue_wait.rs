//! What a queued request waits for, so that it is looked at only when that has come.

use std::time::Duration;

use crate::Instant;
use crate::derives::{data, key};

/// How many requests may wait for news of the group and still be looked at with each piece of it.
const UPDATE_WAITERS_UNTHROTTLED_MAX: usize = 64;

/// The least time between two looks at all requests that wait for news, if they are many.
const UPDATE_INTERVAL_MIN: Duration = Duration::from_millis(50);

key! {
    /// Servers of a database, by their places in its document.
    #[derive(Default)]
    pub(crate) struct ServerSet(u64);

    /// What a queued request waits for.
    #[derive(Default)]
    pub(crate) struct WaitCondition {
        /// A free connection to one of these.
        pub(crate) servers: ServerSet,
        /// News of the group.
        pub(crate) wants_group_update: bool,
        /// A point in time.
        pub(crate) recheck_at: Option<Instant>,
    }
}

data! {
    /// What has come so far, and what all requests that were looked at wait for.
    #[derive(Default)]
    pub(crate) struct WakeConditions {
        /// Counts the news of the group that requests are looked at for.
        update_count: u64,
        last_update: Option<Instant>,
        is_update_pending: bool,
        /// What any of the requests waits for: at least, not just.
        combined: WaitCondition,
    }
}

impl ServerSet {
    /// Adds the server at a place; those past the width of the set count as one.
    pub(crate) fn insert(&mut self, index: usize) {
        self.0 |= 1 << index.min(63);
    }

    /// Returns whether the two have a server in common.
    pub(crate) const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl WaitCondition {
    /// Returns the need of a free connection to one of the servers.
    pub(crate) fn connection(servers: ServerSet) -> Self {
        Self {
            servers,
            ..Self::default()
        }
    }

    /// Returns the need of news of the group or of a point in time.
    pub(crate) const fn group_update_until(at: Instant) -> Self {
        Self {
            servers: ServerSet(0),
            wants_group_update: true,
            recheck_at: Some(at),
        }
    }

    fn merge(&mut self, other: Self) {
        self.servers.0 |= other.servers.0;
        self.wants_group_update |= other.wants_group_update;
        self.recheck_at = match (self.recheck_at, other.recheck_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    fn is_met(&self, now: Instant, free: ServerSet, has_update: bool) -> bool {
        let is_update_useful = self.servers.is_empty() || !free.is_empty();
        self.servers.intersects(free)
            || self.recheck_at.is_some_and(|at| at <= now)
            || (self.wants_group_update && has_update && is_update_useful)
    }
}

impl WakeConditions {
    /// Notes that something was learnt of the group.
    pub(crate) const fn note_group_update(&mut self) {
        self.is_update_pending = true;
    }

    /// Lets requests be looked at for what was learnt, unless they are many and it was done lately.
    pub(crate) fn publish_group_update(&mut self, now: Instant, update_waiters: usize) {
        let is_recent = self
            .last_update
            .is_some_and(|at| now < at + UPDATE_INTERVAL_MIN);
        if self.is_update_pending
            && (update_waiters <= UPDATE_WAITERS_UNTHROTTLED_MAX || !is_recent)
        {
            self.is_update_pending = false;
            self.update_count += 1;
            self.last_update = Some(now);
        }
    }

    /// Returns the count of news so far.
    pub(crate) const fn update_count(&self) -> u64 {
        self.update_count
    }

    /// Returns whether a need is met for a request that was looked at with `seen` news.
    pub(crate) fn is_met(
        &self,
        condition: &WaitCondition,
        last_update_seen: u64,
        now: Instant,
        free: ServerSet,
    ) -> bool {
        condition.is_met(now, free, last_update_seen < self.update_count)
    }

    /// Returns whether any request may have its need met, with `seen` news at the last look at all.
    pub(crate) fn is_any_met(&self, last_update_seen: u64, now: Instant, free: ServerSet) -> bool {
        self.combined
            .is_met(now, free, last_update_seen < self.update_count)
    }

    /// Forgets what all wait for, before it is put together anew.
    pub(crate) fn clear_combined(&mut self) {
        self.combined = WaitCondition::default();
    }

    /// Adds what one request waits for.
    pub(crate) fn add_condition(&mut self, condition: WaitCondition) {
        self.combined.merge(condition);
    }
}
