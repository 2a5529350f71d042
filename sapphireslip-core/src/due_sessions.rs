//! The sessions whose running request has a time at which something must be done.

use std::collections::BTreeSet;

use crate::derives::{data, key};
use crate::{Instant, SessionId};

key! {
    /// A session and the instant at which it must be looked at.
    struct Due {
        at: Instant,
        session: SessionId,
    }
}

data! {
    /// Sessions in the order in which they fall due.
    #[derive(Default)]
    pub(crate) struct DueSessions {
        due: BTreeSet<Due>,
    }
}

impl DueSessions {
    /// Adds a session; an earlier entry of the same session stays.
    pub(crate) fn insert(&mut self, at: Instant, session: SessionId) {
        self.due.insert(Due { at, session });
    }

    /// Removes an entry, so that ended requests leave nothing behind.
    pub(crate) fn remove(&mut self, at: Instant, session: SessionId) {
        self.due.remove(&Due { at, session });
    }

    /// Takes out the first session that is due at `now`.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<SessionId> {
        let first = *self.due.first()?;
        if first.at > now {
            return None;
        }
        self.due.remove(&first);
        Some(first.session)
    }
}
