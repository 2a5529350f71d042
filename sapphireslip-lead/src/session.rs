//! A caller's session: its values, its prepared statements and its transaction.

use std::collections::{BTreeMap, VecDeque};

use sapphireslip_core::{ConnectionId, Instant, ServiceName, Text, TransactionStatus, data};

use crate::job::JobId;
use crate::{Query, Route, Shape, TermPosition};

/// The most values, and the most prepared statements, that one session may hold.
pub(crate) const SESSION_NAMES_MAX: usize = 256;

/// The most statements that a caller may send ahead.
pub(crate) const STATEMENTS_AHEAD_MAX: usize = 64;

data! {
    /// A session.
    pub(crate) struct Session {
        pub(crate) database: Text,
        pub(crate) values: BTreeMap<Text, Text>,
        pub(crate) prepared: BTreeMap<Text, Shape>,
        pub(crate) transaction: Option<Transaction>,
        /// The statement at work.
        pub(crate) running: Option<JobId>,
        /// Statements that were sent ahead.
        pub(crate) ahead: VecDeque<Query>,
        /// The last record that the session wrote, and the service whose log it is in.
        pub(crate) written: Option<(ServiceName, TermPosition)>,
        /// When it last had an answer, or was opened.
        pub(crate) heard: Instant,
        /// Whether another daemon passed it on.
        pub(crate) is_passed_on: bool,
        /// Whether it is to end, and may have sent a statement before its caller knew.
        pub(crate) is_closing: bool,
    }

    /// An open transaction.
    pub(crate) struct Transaction {
        pub(crate) route: Route,
        pub(crate) reads_only: bool,
        /// Whether a statement that writes was sent.
        pub(crate) has_written: bool,
        /// The connection that it is bound to, from its first statement on.
        pub(crate) connection: Option<ConnectionId>,
        pub(crate) status: TransactionStatus,
        /// When its last statement was answered.
        pub(crate) rested: Instant,
        /// Whether the session's values changed since it began.
        pub(crate) has_set: bool,
    }
}

impl Session {
    pub(crate) const fn new(database: Text, now: Instant, is_passed_on: bool) -> Self {
        Self {
            database,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            running: None,
            ahead: VecDeque::new(),
            written: None,
            heard: now,
            is_passed_on,
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
            && self.ahead.is_empty()
    }

    /// Returns the last record that the session wrote to a service.
    pub(crate) fn written_to(&self, service: &ServiceName) -> Option<TermPosition> {
        let (wrote, position) = self.written.as_ref()?;
        (wrote == service).then_some(*position)
    }
}
