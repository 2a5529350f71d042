//! One connection to a backend server: its use, its outstanding requests and its session state.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sapphireslip_core::{AccountName, ConnectionId, Instant, ServerId, SessionId, Text, data};

use crate::connection_choice::Usage;
use crate::job::JobId;
use crate::session::Session;
use crate::{NumberedShape, ServerRequest, ShapeNumber, TermPosition};

/// Limit on the statements prepared on one connection; a connection that reaches it is reset.
const PREPARED_MAX: usize = 128;

/// How long a connection is kept for the statement that it was opened for: several statements at a
/// server.
const FIRST_USE_TIME: Duration = Duration::from_millis(200);

data! {
    /// A connection to a backend server.
    pub(crate) struct Connection {
        /// The connection's number.
        pub(crate) id: ConnectionId,
        /// The server at the other end.
        pub(crate) server: ServerId,
        /// The account that the server was told, which never changes; none if the connection serves
        /// no account.
        account: Option<AccountName>,
        /// Whether the connection is open; false while it is being opened.
        pub(crate) is_open: bool,
        /// What the connection is used for at present.
        pub(crate) purpose: Purpose,
        /// The outstanding answers in the order in which the server sends them.
        pub(crate) awaited: VecDeque<Awaited>,
        /// The session variables that are set on the connection; none if they are unknown.
        variables: Option<BTreeMap<Text, Text>>,
        /// The shapes that are prepared on the connection.
        prepared: BTreeMap<ShapeNumber, Arc<NumberedShape>>,
        /// When the connection was opened or last carried an answer; until then, when its opening
        /// began.
        pub(crate) last_heard: Instant,
        /// When the last statement was sent on the connection; before the first, when its opening
        /// began.
        pub(crate) last_used: Instant,
        /// Whether a statement was sent on the connection.
        has_carried_statement: bool,
        /// The last position that the server had reported when the opening began; none if it had not.
        pub(crate) position_before: Option<TermPosition>,
    }

    /// What a connection is used for.
    pub(crate) enum Purpose {
        /// Nothing: any statement may use the connection.
        Free,
        /// One statement outside a transaction, a rollback, or a request for the server's status.
        Busy,
        /// The open transaction of a session.
        Transaction(SessionId),
    }

    /// An outstanding answer of a server.
    pub(crate) struct Awaited {
        /// The request that the answer belongs to.
        pub(crate) answer_to: AnswerTo,
        /// When the request was sent.
        pub(crate) sent: Instant,
    }

    /// The request that an answer belongs to.
    pub(crate) enum AnswerTo {
        /// A request that brings the connection to a session's state.
        Setup,
        /// The `BEGIN` of a transaction; the job is its first statement, which is sent next.
        Begin(JobId),
        /// A statement.
        Statement(JobId),
        /// A rollback.
        Rollback,
        /// A request for the server's status.
        Status,
    }
}

impl Connection {
    /// Returns a connection whose opening begins at `now`, to a server that last reported `position_before`.
    pub(crate) const fn opening(
        id: ConnectionId,
        server: ServerId,
        account: Option<AccountName>,
        position_before: Option<TermPosition>,
        now: Instant,
    ) -> Self {
        Self {
            id,
            server,
            account,
            is_open: false,
            purpose: Purpose::Free,
            awaited: VecDeque::new(),
            variables: Some(BTreeMap::new()),
            prepared: BTreeMap::new(),
            last_heard: now,
            last_used: now,
            has_carried_statement: false,
            position_before,
        }
    }

    /// Returns the account that the connection serves; none if it serves no account.
    pub(crate) const fn account(&self) -> Option<&AccountName> {
        self.account.as_ref()
    }

    /// Returns since when the connection counts as idle while it is free.
    ///
    /// Requests for the server's status keep a connection in use only if it serves no account.
    pub(crate) const fn idle_since(&self) -> Instant {
        match self.account {
            Some(_) => self.last_used,
            None => self.last_heard,
        }
    }

    /// Returns whether the connection has carried a statement, or has been open for
    /// [`FIRST_USE_TIME`] without one.
    pub(crate) fn was_used(&self, now: Instant) -> bool {
        self.has_carried_statement || now.since(self.last_used) >= FIRST_USE_TIME
    }

    /// Records that a statement is sent on the connection.
    pub(crate) const fn note_statement(&mut self, now: Instant) {
        self.last_used = now;
        self.has_carried_statement = true;
    }

    /// Returns the use of the connection. A statement usually takes `latency`.
    pub(crate) fn usage(&self, latency: Duration, now: Instant) -> Usage {
        if !self.is_open {
            return Usage::Opening;
        }
        match (&self.purpose, self.awaited.front()) {
            (Purpose::Transaction(_), _) => Usage::Transaction,
            (Purpose::Free, None) => Usage::Free,
            (Purpose::Free | Purpose::Busy, oldest) => {
                let sent = oldest.map_or(self.last_heard, |awaited| awaited.sent);
                Usage::Busy(latency.saturating_sub(now.since(sent)))
            }
        }
    }

    /// Returns whether the connection is open and unused and has no outstanding answers.
    pub(crate) fn is_free(&self) -> bool {
        self.is_open && self.purpose == Purpose::Free && self.awaited.is_empty()
    }

    /// Marks the variables as unknown, such as after a rollback, which may have undone some.
    pub(crate) fn forget_variables(&mut self) {
        self.variables = None;
    }

    /// Returns about how many requests would bring the connection to a session's state.
    ///
    /// `shape` is that of the prepared statement that is to run.
    pub(crate) fn setup_count(&self, session: &Session, shape: Option<&NumberedShape>) -> usize {
        let is_missing = |shape: &NumberedShape| !self.prepared.contains_key(&shape.number);
        let prepare = usize::from(shape.is_some_and(is_missing));
        match &self.variables {
            Some(variables)
                if variables
                    .keys()
                    .all(|name| session.variables.contains_key(name)) =>
            {
                let missing = |(name, value): &(&Text, &Text)| variables.get(*name) != Some(*value);
                prepare + session.variables.iter().filter(missing).count()
            }
            _ => 1 + usize::from(shape.is_some()) + session.variables.len(),
        }
    }

    /// Returns the requests that bring the connection to a session's state, and records that state
    /// as reached.
    ///
    /// `shape` is that of the prepared statement that is to run.
    pub(crate) fn setup_for(
        &mut self,
        session: &Session,
        shape: Option<&Arc<NumberedShape>>,
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
        if let Some(shape) = shape
            && self
                .prepared
                .insert(shape.number, Arc::clone(shape))
                .is_none()
        {
            let shape = Arc::clone(shape);
            requests.push(ServerRequest::Prepare { shape });
        }
        requests
    }
}
