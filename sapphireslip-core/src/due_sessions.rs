//! A queue of sessions ordered by the instant at which their running request needs attention.

use std::collections::BTreeSet;

use crate::derives::{data, key};
use crate::{Instant, SessionId};

key! {
    /// A session and the instant at which its running request needs attention.
    struct Due {
        /// When the request must be resent or given up.
        at: Instant,
        /// The session of the request.
        session: SessionId,
    }
}

data! {
    /// The sessions in the order in which they fall due.
    #[derive(Default)]
    pub(crate) struct DueSessions {
        /// The entries, earliest first.
        due: BTreeSet<Due>,
    }
}

impl DueSessions {
    /// Adds an entry for a session; other entries of the same session stay.
    pub(crate) fn insert(&mut self, at: Instant, session: SessionId) {
        self.due.insert(Due { at, session });
    }

    /// Removes the entry of a request that has ended or was rescheduled, so that no entries pile up.
    pub(crate) fn remove(&mut self, at: Instant, session: SessionId) {
        self.due.remove(&Due { at, session });
    }

    /// Removes and returns the first session that is due at `now`; `None` if none is.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<SessionId> {
        let first = *self.due.first()?;
        if first.at > now {
            return None;
        }
        self.due.remove(&first);
        Some(first.session)
    }
}
