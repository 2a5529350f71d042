//! Until when a server may get new work: single statements and the first ones of transactions.
//!
//! A server that is about to leave says so in the store, and must get no new work once the
//! platform's bound has passed. A daemon learns of it with the next read of the list, or not at all
//! while it can't read the store. So the bound counts from the sending of the last read that showed
//! that the server stays: the server has not said that it leaves before that. After a return of the store
//! from an older copy, rows don't show that yet. They count all the same until the server says that it
//! leaves: then the bound counts from the last read before the return.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, ServerId};

use crate::state::State;

/// The longest time from the decision to send a statement until the server receives it: a stall of
/// a throttled VM and the way there.
const TIME_TO_ARRIVE: Duration = Duration::from_millis(300);

/// Returns how long after the last read that showed that a server stays it may get new work, if
/// servers that leave must get none after `server_drain_bound`.
pub(crate) const fn new_work_time(server_drain_bound: Duration) -> Duration {
    server_drain_bound.saturating_sub(TIME_TO_ARRIVE)
}

impl State {
    /// Returns whether a server may get new work.
    pub(crate) fn may_get_new_work(&self, server: &ServerId) -> bool {
        let Some(known) = self.servers.get(server) else {
            return false;
        };
        let shown = known.last_staying.max(known.copied_staying);
        shown.is_some_and(|shown| self.now < shown + self.new_work_time)
            || self.servers.may_register_again(known, self.now)
    }

    /// Returns whether the server at the other end of a connection may get new work.
    pub(crate) fn may_get_new_work_on(&self, connection: ConnectionId) -> bool {
        let connection = self.pool.get(connection);
        connection.is_some_and(|connection| self.may_get_new_work(&connection.server))
    }

    /// Returns whether the list of servers is only old because this daemon has not needed it, so
    /// that a read that is under way brings a new one.
    pub(crate) fn is_list_expected(&self) -> bool {
        !self.reads.has_list_failed() && !self.servers.is_list_overdue(self.now)
    }
}
