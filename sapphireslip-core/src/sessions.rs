//! The sessions of a daemon, with a count for each service.

use std::collections::BTreeMap;

use crate::derives::data;
use crate::session::Session;
use crate::{ServiceName, SessionId};

data! {
    /// All sessions, by number; bounded by the admission of callers.
    #[derive(Default)]
    pub(crate) struct Sessions {
        sessions: BTreeMap<SessionId, Session>,
        /// How many there are of each service; those without any are left out.
        counts: BTreeMap<ServiceName, usize>,
    }
}

impl Sessions {
    /// Returns how many there are.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns how many there are of a service.
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

    /// Adds a session; one of the same number is replaced.
    pub(crate) fn insert(&mut self, session: Session) {
        let id = session.id;
        self.remove(&id);
        *self.counts.entry(session.service.clone()).or_default() += 1;
        self.sessions.insert(id, session);
    }

    /// Removes a session.
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
