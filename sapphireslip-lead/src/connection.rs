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
        variables: Option<BTreeMap<Text, Text>>,
        /// The shapes prepared on it.
        prepared: BTreeSet<u32>,
        /// When it was opened or last answered.
        pub(crate) last_heard: Instant,
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
        pub(crate) answer_to: AnswerTo,
        pub(crate) sent: Instant,
    }

    /// The kinds of awaited answers.
    pub(crate) enum AnswerTo {
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
            variables: Some(BTreeMap::new()),
            prepared: BTreeSet::new(),
            last_heard: now,
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.is_open && self.purpose == Purpose::Free && self.awaited.is_empty()
    }

    /// Marks the values as unknown, as after a rollback that may have undone some.
    pub(crate) fn forget_variables(&mut self) {
        self.variables = None;
    }

    /// Returns how many requests would bring it to the session's state.
    pub(crate) fn setup_count(&self, session: &Session, shape_number: Option<u32>) -> usize {
        let prepare = usize::from(shape_number.is_some_and(|n| !self.prepared.contains(&n)));
        match &self.variables {
            Some(variables)
                if variables
                    .keys()
                    .all(|name| session.variables.contains_key(name)) =>
            {
                let missing = |(name, value): &(&Text, &Text)| variables.get(*name) != Some(*value);
                prepare + session.variables.iter().filter(missing).count()
            }
            _ => 1 + usize::from(shape_number.is_some()) + session.variables.len(),
        }
    }

    /// Returns the requests that bring it to the session's state, and takes them as done.
    pub(crate) fn setup_for(
        &mut self,
        session: &Session,
        shape: Option<(u32, &Shape)>,
    ) -> Vec<ServerRequest> {
        let mut requests = Vec::new();
        let has_extra = |variables: &BTreeMap<Text, Text>| {
            variables
                .keys()
                .any(|name| !session.variables.contains_key(name))
        };
        let is_full = self.prepared.len() >= PREPARED_MAX;
        if is_full || self.variables.as_ref().is_none_or(has_extra) {
            requests.push(ServerRequest::Reset);
            self.prepared.clear();
            self.variables = Some(BTreeMap::new());
        }
        let variables = self.variables.get_or_insert_default();
        for (name, value) in &session.variables {
            if variables.get(name) != Some(value) {
                requests.push(ServerRequest::Set {
                    name: Text::clone(name),
                    value: Text::clone(value),
                });
                variables.insert(Text::clone(name), Text::clone(value));
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
