//! One connection to a backend server: what it carries and what it is used for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sapphireslip_core::{ConnectionId, Instant, ServerId, SessionId, Text, data};

use crate::job::JobId;
use crate::session::Session;
use crate::{ServerRequest, Shape};

/// The most statements prepared on one connection before it is reset.
const PREPARED_MAX: usize = 128;

data! {
    /// A connection to a backend server.
    pub(crate) struct Connection {
        pub(crate) id: ConnectionId,
        pub(crate) server: ServerId,
        pub(crate) is_open: bool,
        pub(crate) purpose: Purpose,
        /// What each answer that is still to come is for, the next one first.
        pub(crate) awaited: VecDeque<Awaited>,
        /// The session values that it carries; none if they are unknown.
        values: Option<BTreeMap<Text, Text>>,
        /// The shapes prepared on it.
        prepared: BTreeSet<u32>,
        /// When it was opened or last answered.
        pub(crate) heard: Instant,
    }

    /// What a connection is in use for.
    pub(crate) enum Purpose {
        /// Nothing.
        Free,
        /// One statement, or the server's status.
        Busy,
        /// The transaction of a session.
        Transaction(SessionId),
    }

    /// What an answer is for.
    pub(crate) struct Awaited {
        pub(crate) what: Answer,
        pub(crate) sent: Instant,
    }

    /// The kinds of awaited answers.
    pub(crate) enum Answer {
        /// To a request that brings the connection to a session's state.
        Setup,
        /// To the begin of a transaction, after which the statement is sent.
        Begin(JobId),
        /// To a statement.
        Statement(JobId),
        /// To a rollback.
        Rollback,
        /// To a request for the server's status.
        Status,
    }
}

impl Connection {
    pub(crate) const fn opening(id: ConnectionId, server: ServerId, now: Instant) -> Self {
        Self {
            id,
            server,
            is_open: false,
            purpose: Purpose::Free,
            awaited: VecDeque::new(),
            values: Some(BTreeMap::new()),
            prepared: BTreeSet::new(),
            heard: now,
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.is_open && self.purpose == Purpose::Free && self.awaited.is_empty()
    }

    /// Marks the values as unknown, as after a rollback that may have undone some.
    pub(crate) fn forget_values(&mut self) {
        self.values = None;
    }

    /// Returns how many requests would bring it to the session's state.
    pub(crate) fn distance(&self, session: &Session, number: Option<u32>) -> usize {
        let prepare = usize::from(number.is_some_and(|n| !self.prepared.contains(&n)));
        match &self.values {
            Some(values) if values.keys().all(|name| session.values.contains_key(name)) => {
                let missing = |(name, value): &(&Text, &Text)| values.get(*name) != Some(*value);
                prepare + session.values.iter().filter(missing).count()
            }
            _ => 1 + usize::from(number.is_some()) + session.values.len(),
        }
    }

    /// Returns the requests that bring it to the session's state, and takes them as done.
    pub(crate) fn bring_to(
        &mut self,
        session: &Session,
        shape: Option<(u32, &Shape)>,
    ) -> Vec<ServerRequest> {
        let mut requests = Vec::new();
        let has_extra = |values: &BTreeMap<Text, Text>| {
            values.keys().any(|name| !session.values.contains_key(name))
        };
        let is_full = self.prepared.len() >= PREPARED_MAX;
        if is_full || self.values.as_ref().is_none_or(has_extra) {
            requests.push(ServerRequest::Reset);
            self.prepared.clear();
            self.values = Some(BTreeMap::new());
        }
        let values = self.values.get_or_insert_default();
        for (name, value) in &session.values {
            if values.get(name) != Some(value) {
                requests.push(ServerRequest::Set {
                    name: Text::clone(name),
                    value: Text::clone(value),
                });
                values.insert(Text::clone(name), Text::clone(value));
            }
        }
        if let Some((number, shape)) = shape
            && self.prepared.insert(number)
        {
            let shape = shape.clone();
            requests.push(ServerRequest::Prepare { number, shape });
        }
        requests
    }
}
