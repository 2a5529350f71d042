//! Sessions that open before the daemon knows where they are to be served.
//!
//! A daemon that has just started learns the configuration and the other daemons within some round
//! trips to the store. Until then a session waits: served here at once, the sessions of a whole
//! fleet that starts would each open connections to the servers from every daemon.

use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, Text, data};

use crate::refusal::{RETRY_ELSEWHERE, busy};
use crate::state::State;

/// How long a session waits: a few reads of the store, well within the time that callers give a
/// session to open.
const WAIT_MAX: Duration = Duration::from_millis(300);

data! {
    /// A session that waits.
    pub(crate) struct WaitingSession {
        pub(crate) session: SessionId,
        pub(crate) database: Text,
        pub(crate) arrived: Instant,
    }
}

impl State {
    /// Returns whether the daemon knows what it takes to place a session.
    pub(crate) const fn can_place_sessions(&self) -> bool {
        self.catalog.is_some() && self.permissions.is_some()
    }

    /// Opens the sessions that have waited, once they can be placed or have waited too long.
    pub(crate) fn open_waiting_sessions(&mut self) {
        let can_place = self.can_place_sessions();
        let is_due = |s: &WaitingSession| can_place || self.now.since(s.arrived) >= WAIT_MAX;
        let (due, waiting) = std::mem::take(&mut self.waiting_sessions)
            .into_iter()
            .partition(is_due);
        self.waiting_sessions = waiting;
        for WaitingSession {
            session, database, ..
        } in due
        {
            if self.catalog.is_some() {
                self.place_session(session, database);
            } else {
                let failure = busy("the configuration is not known yet", RETRY_ELSEWHERE);
                self.refuse_session(session, failure);
            }
        }
    }
}
