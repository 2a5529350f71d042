//! Sessions that clients open before the daemon knows where they are to be served.
//!
//! A daemon that has just started learns the configuration and the other daemons within a few round
//! trips to the store. Until then, sessions wait. If they were served at once, every daemon of a
//! starting fleet would open connections to the servers.

use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, data};

use crate::refusal::{RETRY_ELSEWHERE, busy};
use crate::session::Opening;
use crate::state::State;

/// How long a session waits: a few reads of the store, well within the time that clients wait for a
/// session to open.
const WAIT_MAX: Duration = Duration::from_millis(300);

data! {
    /// A session that waits until it is known where it is to be served.
    pub(crate) struct WaitingSession {
        /// The session.
        pub(crate) session: SessionId,
        /// What the client gave to open it.
        pub(crate) client: Opening,
        /// When the session arrived at this daemon.
        pub(crate) arrived: Instant,
    }
}

impl State {
    /// Returns whether the daemon knows the configuration and the other daemons, which it needs to
    /// decide where a session is served.
    pub(crate) const fn can_place_sessions(&self) -> bool {
        self.catalog.is_some() && self.permissions.is_some()
    }

    /// Places the waiting sessions once that is possible or they have waited for `WAIT_MAX`.
    /// Without a configuration they are refused.
    pub(crate) fn open_waiting_sessions(&mut self) {
        let can_place = self.can_place_sessions();
        let is_due = |s: &WaitingSession| can_place || self.now.since(s.arrived) >= WAIT_MAX;
        let (due, waiting) = std::mem::take(&mut self.waiting_sessions)
            .into_iter()
            .partition(is_due);
        self.waiting_sessions = waiting;
        for WaitingSession {
            session, client, ..
        } in due
        {
            if self.catalog.is_some() {
                self.place_session(session, client);
            } else {
                let failure = busy("the configuration is not known yet", RETRY_ELSEWHERE);
                self.refuse_session(session, failure);
            }
        }
    }
}
