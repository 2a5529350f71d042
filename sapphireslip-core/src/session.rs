//! One client's session at its entry daemon.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::data;
use crate::{
    DatabaseName, Freshness, Instant, Refusal, RefusalReason, RequestKey, RequestNumber,
    ServiceName, SessionId, StatementKind, TermPosition, TransactionStatus, UserName, VmId,
    classify, sql_statements,
};

/// The entry daemon reserves the remaining time of a request divided by this number (a tenth) for
/// the way of the answer from the home.
const ANSWER_MARGIN_DIVISOR: u32 = 10;

/// The maximum time that the entry daemon reserves for the way of the answer.
const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(100);

data! {
    /// The state of one session.
    pub(crate) struct Session {
        /// The number of the session.
        pub id: SessionId,
        /// The service that owns the database.
        pub service: ServiceName,
        /// The database that the client connected to.
        pub database: DatabaseName,
        /// The user that the client logged in as; `None` until the password is proved.
        pub user: Option<UserName>,
        /// The data that the session has seen, which its reads must not fall behind.
        pub freshness: Freshness,
        /// The transaction status that is reported to the client with the end of each statement.
        pub transaction: TransactionStatus,
        /// The home that holds the open transaction; `None` if none is open or that home was lost.
        pub transaction_home: Option<VmId>,
        /// The request that is running, if any.
        pub running: Option<Running>,
    }

    /// A request that waits for its answer.
    pub(crate) struct Running {
        /// The number of the request.
        pub number: RequestNumber,
        /// The kind of the statement.
        pub kind: StatementKind,
        /// Whether the request belongs to an open transaction.
        pub in_transaction: bool,
        /// The request key that the client gave, if any.
        pub key: Option<RequestKey>,
        /// The protocol messages of the statement, kept to send them again.
        pub payload: Bytes,
        /// The instant by which the client gets its final answer.
        pub deadline: Instant,
        /// Whether the deadline was noticed late and the request has been given its one extra wait.
        pub has_had_grace: bool,
        /// The home that the request was last sent to; `None` before the first send.
        pub home: Option<VmId>,
        /// The home that was lost last, which is avoided if there is another one.
        pub lost_home: Option<VmId>,
        /// The number of times that the request was sent.
        pub sends: u32,
        /// When the request is sent again; `None` if no resend is scheduled.
        pub next_send: Option<Instant>,
        /// The number of the next expected part of the answer.
        pub next_part: u32,
        /// Whether any part of the answer has been passed on to the client.
        pub has_answered: bool,
        /// Whether any send of the request so far may have run, the latest included.
        pub may_have_run: bool,
    }
}

impl Session {
    /// Records that the session has seen a record of the log.
    pub(crate) fn raise_freshness(&mut self, seen: TermPosition) {
        self.freshness = match self.freshness {
            Freshness::AtLeast(token) => Freshness::AtLeast(token.max(seen)),
            Freshness::Probe => Freshness::AtLeast(seen),
        };
    }

    /// Returns the newest record seen, to report to the client as its token; `None` if unknown.
    pub(crate) const fn token(&self) -> Option<TermPosition> {
        match self.freshness {
            Freshness::AtLeast(token) => Some(token),
            Freshness::Probe => None,
        }
    }
}

impl Session {
    /// Marks the session's transaction as lost. Until the client ends it, the session's statements
    /// are refused, as they would run outside a transaction.
    pub(crate) fn lose_transaction(&mut self) {
        self.transaction_home = None;
        self.transaction = TransactionStatus::Failed;
    }

    /// Returns whether the session's transaction was lost and the client has not ended it yet.
    pub(crate) fn has_lost_transaction(&self) -> bool {
        self.transaction == TransactionStatus::Failed && self.transaction_home.is_none()
    }

    /// Gives up the transaction that the running request belongs to or begins, and returns whether
    /// there is one.
    pub(crate) fn abandon_transaction(&mut self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        if running.leaves_transaction_open() {
            self.lose_transaction();
            return true;
        }
        let ends = running.in_transaction;
        if ends {
            self.transaction_home = None;
            self.transaction = TransactionStatus::Idle;
        }
        ends
    }
}

impl Running {
    /// Returns whether the client is in a transaction after the request, if the request is done.
    pub(crate) fn leaves_transaction_open(&self) -> bool {
        match self.kind {
            StatementKind::Begin | StatementKind::BeginReadOnly => true,
            StatementKind::Commit | StatementKind::Rollback => false,
            StatementKind::Read | StatementKind::Write => self.in_transaction,
        }
    }

    /// Returns the time that a home may take for the request, counted from `now`.
    pub(crate) fn time_for_home(&self, now: Instant) -> Duration {
        let left = self.deadline.since(now);
        left - (left / ANSWER_MARGIN_DIVISOR).min(ANSWER_MARGIN_MAX)
    }

    /// Returns whether the request counts as changing nothing, however often it runs. A keyed
    /// request never does; its key makes it safe to send again.
    pub(crate) fn is_safe_to_repeat(&self) -> bool {
        let is_safe_kind = matches!(
            self.kind,
            StatementKind::Read
                | StatementKind::Begin
                | StatementKind::BeginReadOnly
                | StatementKind::Rollback
        );
        is_safe_kind && self.key.is_none()
    }

    /// Returns the instant of the next resend or of the deadline, whichever comes first.
    pub(crate) fn due(&self) -> Instant {
        self.next_send
            .map_or(self.deadline, |at| at.min(self.deadline))
    }
}

/// Returns the kind of a statement within its session. A read with a request key counts as a write.
///
/// # Errors
///
/// Returns the refusal of a statement that is not supported, or that follows the loss of its
/// transaction.
pub(crate) fn statement_kind(
    session: &Session,
    text: &str,
    key: Option<&RequestKey>,
) -> Result<StatementKind, Refusal> {
    let kind = classify(text)
        .map_err(|error| Refusal::not_run(RefusalReason::Unsupported, None, &error.to_string()))?;
    let is_allowed_after_loss = matches!(
        kind,
        StatementKind::Begin | StatementKind::BeginReadOnly | StatementKind::Rollback
    );
    if session.has_lost_transaction() && !is_allowed_after_loss {
        let detail = "the transaction was lost with its connection and rolled back: send ROLLBACK";
        return Err(Refusal::not_run(
            RefusalReason::TransactionLost,
            None,
            detail,
        ));
    }
    let ends = matches!(kind, StatementKind::Commit | StatementKind::Rollback);
    if ends && session.transaction_home.is_none() {
        return Ok(end_without_transaction(text));
    }
    if key.is_some() && kind == StatementKind::Read {
        return Ok(StatementKind::Write);
    }
    Ok(kind)
}

/// Returns the kind of a text that contains a COMMIT or ROLLBACK while no transaction is open.
/// Alone it has no effect and counts as a read; together with other statements it counts as a
/// write.
fn end_without_transaction(text: &str) -> StatementKind {
    match sql_statements(text).len() {
        1 => StatementKind::Read,
        _ => StatementKind::Write,
    }
}
