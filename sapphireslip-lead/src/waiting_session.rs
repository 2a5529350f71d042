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
/// session to open and that other daemons wait for the opening of a forwarded one.
const WAIT_MAX: Duration = Duration::from_millis(300);

/// The pause before a session is offered again to a home that refused it while this daemon starts.
const OFFER_PAUSE: Duration = Duration::from_millis(100);

/// How often a session is offered to a home that refuses it while this daemon starts.
const OFFERS_MAX: u8 = 3;

data! {
    /// A session that waits until it is known where it is to be served.
    pub(crate) struct WaitingSession {
        /// The session.
        pub(crate) session: SessionId,
        /// What the client gave to open it.
        pub(crate) client: Opening,
        /// The configuration version of the daemon that forwarded the session; none if its client opened
        /// it here.
        pub(crate) forwarder_version: Option<u64>,
        /// How many daemons, or one how many times, did not accept the session.
        pub(crate) refusals: u8,
        /// From when on the session may be placed.
        pub(crate) from: Instant,
    }
}

impl State {
    /// Returns whether the daemon knows the configuration and the other daemons, which it needs to
    /// decide where a session is served.
    pub(crate) const fn can_place_sessions(&self) -> bool {
        self.catalog.is_some() && self.permissions.is_some()
    }

    /// Returns whether a forwarded session should wait until this daemon, which has just started, may take
    /// it.
    ///
    /// All daemons of a fleet that restarts forward sessions to homes that are not ready yet. Refused, the
    /// sessions scattered over daemons that are no homes, each with a permission, connections and a part of
    /// the limits of its own.
    pub(crate) fn should_wait_for_start(&self) -> bool {
        self.is_starting() && !self.is_leaving() && !self.may_take_sessions()
    }

    /// Offers a session again, after a pause, to a home that refused it; returns false if the home is to be
    /// avoided. A home that refuses while this daemon starts is most likely starting too.
    pub(crate) fn offer_again(
        &mut self,
        session: SessionId,
        client: &Opening,
        refusals: u8,
    ) -> bool {
        let is_waiting = self.is_starting() && refusals <= OFFERS_MAX;
        if is_waiting {
            self.waiting_sessions.push(WaitingSession {
                session,
                client: client.clone(),
                forwarder_version: None,
                refusals,
                from: self.now + OFFER_PAUSE,
            });
        }
        is_waiting
    }

    /// Places the waiting sessions once that is possible or they have waited for `WAIT_MAX`.
    /// Without a configuration they are refused.
    pub(crate) fn open_waiting_sessions(&mut self) {
        let can_place = self.can_place_sessions();
        let may_take = !self.should_wait_for_start();
        let is_due = |s: &WaitingSession| {
            let is_possible = match s.forwarder_version {
                None => can_place,
                Some(_) => may_take,
            };
            self.now >= s.from && (is_possible || self.now.since(s.from) >= WAIT_MAX)
        };
        let (due, waiting) = std::mem::take(&mut self.waiting_sessions)
            .into_iter()
            .partition(is_due);
        self.waiting_sessions = waiting;
        for waiting in due {
            let (session, client) = (waiting.session, waiting.client);
            if let Some(version) = waiting.forwarder_version {
                self.take_forwarded_session(session, client, version);
            } else if self.catalog.is_some() {
                self.place_session(session, client, waiting.refusals);
            } else {
                let failure = busy("the configuration is not known yet", RETRY_ELSEWHERE);
                self.refuse_session(session, failure);
            }
        }
    }
}
