//! Wait conditions of queued requests, so that a request is checked again only when it may proceed.

use std::time::Duration;

use crate::Instant;
use crate::derives::{data, key};

/// Up to this many requests that wait for a group update are checked after every update.
const UPDATE_WAITERS_UNTHROTTLED_MAX: usize = 64;

/// The least time between two checks of the waiting requests if there are more of them.
const UPDATE_INTERVAL_MIN: Duration = Duration::from_millis(50);

key! {
    /// A set of servers of a database, as a bit mask over their indexes in its document.
    #[derive(Default)]
    pub(crate) struct ServerSet(u64);

    /// What a queued request waits for: any one of the fields being met is enough.
    #[derive(Default)]
    pub(crate) struct WaitCondition {
        /// The servers to any of which a free connection would do.
        pub(crate) servers: ServerSet,
        /// Whether an update of what is known of the group would do; if `servers` isn't empty, it
        /// does only while some server of the database has a free connection.
        pub(crate) wants_group_update: bool,
        /// The time at which the request is checked in any case; none if it is not.
        pub(crate) recheck_at: Option<Instant>,
    }
}

data! {
    /// The group updates so far, and the union of what all checked requests wait for.
    #[derive(Default)]
    pub(crate) struct WakeConditions {
        /// How many group updates have been published to the queue since the home opened.
        update_count: u64,
        /// When the last update was published; none before the first.
        last_update: Option<Instant>,
        /// Whether the group has changed since the last published update.
        is_update_pending: bool,
        /// The union of the conditions of all checked requests. It may also contain conditions of
        /// requests that have left the queue.
        combined: WaitCondition,
    }
}

impl ServerSet {
    /// Adds the server with the given index. Servers from index 63 on share one bit, so that a
    /// request may be checked when only another one of them has become free.
    pub(crate) fn insert(&mut self, index: usize) {
        self.0 |= 1 << index.min(63);
    }

    /// Returns whether the two sets have a server in common.
    pub(crate) const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl WaitCondition {
    /// Returns the condition of a free connection to one of the servers.
    pub(crate) fn connection(servers: ServerSet) -> Self {
        Self {
            servers,
            ..Self::default()
        }
    }

    /// Returns the condition of a group update, or of time `at` if none comes before.
    pub(crate) const fn group_update_until(at: Instant) -> Self {
        Self {
            servers: ServerSet(0),
            wants_group_update: true,
            recheck_at: Some(at),
        }
    }

    /// Extends the condition so that it is also met whenever `other` is.
    fn merge(&mut self, other: Self) {
        self.servers.0 |= other.servers.0;
        self.wants_group_update |= other.wants_group_update;
        self.recheck_at = match (self.recheck_at, other.recheck_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    /// Returns whether the condition is met. A group update doesn't help a request that waits for a
    /// connection while no server has a free one.
    fn is_met(&self, now: Instant, free: ServerSet, has_update: bool) -> bool {
        let is_update_useful = self.servers.is_empty() || !free.is_empty();
        self.servers.intersects(free)
            || self.recheck_at.is_some_and(|at| at <= now)
            || (self.wants_group_update && has_update && is_update_useful)
    }
}

impl WakeConditions {
    /// Records that something new is known of the group.
    pub(crate) const fn note_group_update(&mut self) {
        self.is_update_pending = true;
    }

    /// Publishes a pending update to the waiting requests, unless there are many of them and the
    /// last update was published only recently.
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

    /// Returns how many group updates have been published so far.
    pub(crate) const fn update_count(&self) -> u64 {
        self.update_count
    }

    /// Returns whether a condition is met for a request that was last checked when
    /// `last_update_seen` updates had been published.
    pub(crate) fn is_met(
        &self,
        condition: &WaitCondition,
        last_update_seen: u64,
        now: Instant,
        free: ServerSet,
    ) -> bool {
        condition.is_met(now, free, last_update_seen < self.update_count)
    }

    /// Returns whether the condition of any request may be met, if all were last checked when
    /// `last_update_seen` updates had been published.
    pub(crate) fn is_any_met(&self, last_update_seen: u64, now: Instant, free: ServerSet) -> bool {
        self.combined
            .is_met(now, free, last_update_seen < self.update_count)
    }

    /// Clears the union of all conditions, before it is built again.
    pub(crate) fn clear_combined(&mut self) {
        self.combined = WaitCondition::default();
    }

    /// Adds the condition of one request to the union.
    pub(crate) fn add_condition(&mut self, condition: WaitCondition) {
        self.combined.merge(condition);
    }
}
