//! The sessions of a daemon, counted by service.

use std::collections::BTreeMap;

use crate::derives::data;
use crate::session::Session;
use crate::{ServiceName, SessionId};

data! {
    /// All sessions of a daemon; their number is bounded by the admission of clients.
    #[derive(Default)]
    pub(crate) struct Sessions {
        /// The sessions, by number.
        sessions: BTreeMap<SessionId, Session>,
        /// The number of sessions of each service that has any.
        counts: BTreeMap<ServiceName, usize>,
    }
}

impl Sessions {
    /// Returns the number of sessions.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether there are no sessions.
    pub(crate) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns the number of sessions of a service.
    pub(crate) fn count_of_service(&self, service: &ServiceName) -> usize {
        self.counts.get(service).copied().unwrap_or_default()
    }

    pub(crate) fn get(&self, id: &SessionId) -> Option<&Session> {
        self.sessions.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// Adds a session and replaces any session with the same number.
    pub(crate) fn insert(&mut self, session: Session) {
        let id = session.id;
        self.remove(&id);
        *self.counts.entry(session.service.clone()).or_default() += 1;
        self.sessions.insert(id, session);
    }

    /// Removes a session and returns it; `None` if there is none with this number.
    pub(crate) fn remove(&mut self, id: &SessionId) -> Option<Session> {
        let session = self.sessions.remove(id)?;
        if let Some(count) = self.counts.get_mut(&session.service) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&session.service);
            }
        }
        Some(session)
    }
}
