//! A client's session: its variables, prepared statements and transaction.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, SessionId, Text, TransactionStatus, data};

use crate::job::JobId;
use crate::own_writes::OwnWrites;
use crate::state::State;
use crate::{KeyDigest, Query, Route, Shape, Term};

/// Limit on the variables of one session, and separately on its prepared statements.
pub(crate) const SESSION_NAMES_MAX: usize = 256;

/// Limit on the statements that a session may send while an earlier one is unanswered.
pub(crate) const PIPELINED_STATEMENTS_MAX: usize = 64;

data! {
    /// What a client gave to open its session.
    pub(crate) struct Opening {
        /// The name of the database.
        pub(crate) database: Text,
        /// The digest of the client's key; none if the client gave none.
        pub(crate) key: Option<KeyDigest>,
    }

    /// A client's session that this daemon serves.
    pub(crate) struct Session {
        /// The database that the client named when it opened the session.
        pub(crate) database: Text,
        /// The digest of the client's key; none if the client gave none.
        pub(crate) key: Option<KeyDigest>,
        /// The values that the client has set, by variable name.
        pub(crate) variables: BTreeMap<Text, Text>,
        /// The prepared statements, by the name that the session gave them.
        pub(crate) prepared: BTreeMap<Text, Shape>,
        /// The open or failed transaction.
        pub(crate) transaction: Option<Transaction>,
        /// The job of the statement that is running or queued.
        pub(crate) running: Option<JobId>,
        /// Statements that arrived while an earlier one was unanswered, the oldest first.
        pub(crate) pipelined: VecDeque<Query>,
        /// The session's last acknowledged write to each service.
        pub(crate) own_writes: OwnWrites,
        /// When the session last received an answer, or when it was opened.
        pub(crate) last_answer: Instant,
        /// Whether another daemon forwarded the session to this one.
        pub(crate) is_forwarded: bool,
        /// Whether the session is to be closed once the statements that its client has already sent
        /// are answered.
        pub(crate) is_closing: bool,
    }

    /// A transaction that a client has begun and not ended.
    pub(crate) struct Transaction {
        /// The database's route when the transaction began; later configurations don't change it.
        pub(crate) route: Route,
        /// Whether the client declared the transaction read-only.
        pub(crate) reads_only: bool,
        /// Whether the client has sent a statement that writes in this transaction.
        pub(crate) has_sent_write: bool,
        /// The server connection that the transaction is bound to; none before its first statement
        /// is sent, and none once the transaction has failed.
        pub(crate) connection: Option<ConnectionId>,
        /// The term of the service's confirmed leader when the transaction was bound to its
        /// connection.
        pub(crate) term: Option<Term>,
        /// Whether a statement of the transaction has run at its server.
        pub(crate) has_run: bool,
        /// The state that the client is told.
        pub(crate) status: TransactionStatus,
        /// When the transaction's last statement was answered; before its first one, when it began.
        pub(crate) idle_since: Instant,
        /// Whether the client has set a session variable since the transaction began.
        pub(crate) has_changed_variables: bool,
    }
}

impl Session {
    /// Returns a session that was opened at `now` and has done nothing yet.
    pub(crate) fn new(client: Opening, now: Instant, is_forwarded: bool) -> Self {
        let Opening { database, key } = client;
        Self {
            database,
            key,
            variables: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            running: None,
            pipelined: VecDeque::new(),
            own_writes: OwnWrites::default(),
            last_answer: now,
            is_forwarded,
            is_closing: false,
        }
    }

    /// Returns the transaction status that answers to the client carry.
    pub(crate) fn status(&self) -> TransactionStatus {
        self.transaction
            .as_ref()
            .map_or(TransactionStatus::Idle, |transaction| transaction.status)
    }

    /// Returns whether the session can be closed: nothing runs or waits, no transaction is open,
    /// and it is not being closed already.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_closing
            && self.running.is_none()
            && self.transaction.is_none()
            && self.pipelined.is_empty()
    }

    /// Returns whether the session can be closed and was last answered at least `pause` ago.
    pub(crate) fn is_idle_for(&self, now: Instant, pause: Duration) -> bool {
        self.is_idle() && now.since(self.last_answer) >= pause
    }
}

impl State {
    /// Adds a session that this daemon serves.
    pub(crate) fn add_session(&mut self, id: SessionId, session: Session) {
        let database = Text::clone(&session.database);
        *self.sessions_by_database.entry(database).or_default() += 1;
        self.sessions.insert(id, session);
    }

    /// Forgets a session that this daemon served.
    pub(crate) fn remove_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(count) = self.sessions_by_database.get_mut(&session.database) {
            *count -= 1;
            if *count == 0 {
                self.sessions_by_database.remove(&session.database);
            }
        }
    }
}
