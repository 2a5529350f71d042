//! A caller's session: its values, its prepared statements and its transaction.

use std::collections::{BTreeMap, VecDeque};

use sapphireslip_core::{ConnectionId, Instant, ServiceName, Text, TransactionStatus, data};

use crate::job::JobId;
use crate::{Query, Route, Shape, TermPosition};

/// The most values, and the most prepared statements, that one session may hold.
pub(crate) const SESSION_NAMES_MAX: usize = 256;

/// The most statements that a caller may send ahead.
pub(crate) const PIPELINED_STATEMENTS_MAX: usize = 64;

data! {
    /// A session.
    pub(crate) struct Session {
        pub(crate) database: Text,
        pub(crate) variables: BTreeMap<Text, Text>,
        pub(crate) prepared: BTreeMap<Text, Shape>,
        pub(crate) transaction: Option<Transaction>,
        /// The statement at work.
        pub(crate) running: Option<JobId>,
        /// Statements that were sent ahead.
        pub(crate) pipelined: VecDeque<Query>,
        /// The last record that the session wrote, and the service whose log it is in.
        pub(crate) last_write: Option<(ServiceName, TermPosition)>,
        /// When it last had an answer, or was opened.
        pub(crate) last_answer: Instant,
        /// Whether another daemon passed it on.
        pub(crate) is_forwarded: bool,
        /// Whether it is to end, and may have sent a statement before its caller knew.
        pub(crate) is_closing: bool,
    }

    /// An open transaction.
    pub(crate) struct Transaction {
        pub(crate) route: Route,
        pub(crate) reads_only: bool,
        /// Whether a statement that writes was sent.
        pub(crate) has_sent_write: bool,
        /// The connection that it is bound to, from its first statement on.
        pub(crate) connection: Option<ConnectionId>,
        pub(crate) status: TransactionStatus,
        /// When its last statement was answered.
        pub(crate) idle_since: Instant,
        /// Whether the session's values changed since it began.
        pub(crate) has_changed_variables: bool,
    }
}

impl Session {
    pub(crate) const fn new(database: Text, now: Instant, is_forwarded: bool) -> Self {
        Self {
            database,
            variables: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            running: None,
            pipelined: VecDeque::new(),
            last_write: None,
            last_answer: now,
            is_forwarded,
            is_closing: false,
        }
    }

    /// Returns the state that the caller is told.
    pub(crate) fn status(&self) -> TransactionStatus {
        self.transaction
            .as_ref()
            .map_or(TransactionStatus::Idle, |transaction| transaction.status)
    }

    /// Returns whether it can be ended: nothing is at work and no transaction is open.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_closing
            && self.running.is_none()
            && self.transaction.is_none()
            && self.pipelined.is_empty()
    }

    /// Returns the last record that the session wrote to a service.
    pub(crate) fn last_write_to(&self, service: &ServiceName) -> Option<TermPosition> {
        let (service_written, position) = self.last_write.as_ref()?;
        (service_written == service).then_some(*position)
    }
}
