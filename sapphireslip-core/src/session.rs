//! One caller's session at its entry daemon.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::data;
use crate::{
    CallerName, DatabaseName, Freshness, Instant, Refusal, RefusalReason, RequestKey,
    RequestNumber, ServiceName, SessionId, StatementKind, TermPosition, TransactionStatus, VmId,
    classify, sql_statements,
};

/// The part of a request's time that the entry daemon keeps back for the way of the answer.
const ANSWER_MARGIN_DIVISOR: u32 = 10;

/// The most that the entry daemon keeps back.
const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(100);

data! {
    /// A session.
    pub(crate) struct Session {
        /// Its number.
        pub id: SessionId,
        /// The service that owns the database.
        pub service: ServiceName,
        /// The database.
        pub database: DatabaseName,
        /// Who connected; none until the password is proved.
        pub caller: Option<CallerName>,
        /// What reads must not fall behind.
        pub freshness: Freshness,
        /// The transaction status that the caller was last told.
        pub transaction: TransactionStatus,
        /// The home that holds the open transaction; none if that home was lost.
        pub transaction_home: Option<VmId>,
        /// The request that is running.
        pub running: Option<Running>,
    }

    /// A request that waits for its answer.
    pub(crate) struct Running {
        /// Its number.
        pub number: RequestNumber,
        /// What it asks for.
        pub kind: StatementKind,
        /// Whether it belongs to an open transaction.
        pub in_transaction: bool,
        /// The key of a non-idempotent request.
        pub key: Option<RequestKey>,
        /// Protocol messages, kept to send again.
        pub payload: Bytes,
        /// When the caller gets its final answer at the latest.
        pub deadline: Instant,
        /// Whether its deadline was noticed late and its home's answer had one more turn.
        pub has_had_grace: bool,
        /// Where it was sent last.
        pub home: Option<VmId>,
        /// The home that was lost last; another one is preferred.
        pub lost_home: Option<VmId>,
        /// How often it was sent.
        pub sends: u32,
        /// When it is to be sent again, if it waits for that.
        pub next_send: Option<Instant>,
        /// The number of the next part of the answer.
        pub next_part: u32,
        /// Whether any part of the answer has gone to the caller.
        pub has_answered: bool,
        /// Whether a copy that was sent may have run.
        pub may_have_run: bool,
    }
}

impl Session {
    /// Raises what the session has seen.
    pub(crate) fn raise_freshness(&mut self, seen: TermPosition) {
        self.freshness = match self.freshness {
            Freshness::AtLeast(token) => Freshness::AtLeast(token.max(seen)),
            Freshness::Probe => Freshness::AtLeast(seen),
        };
    }

    /// Returns the token to report to the caller.
    pub(crate) const fn token(&self) -> Option<TermPosition> {
        match self.freshness {
            Freshness::AtLeast(token) => Some(token),
            Freshness::Probe => None,
        }
    }
}

impl Session {
    /// Until the caller ends the lost transaction, none of its statements may run outside one.
    pub(crate) fn lose_transaction(&mut self) {
        self.transaction_home = None;
        self.transaction = TransactionStatus::Failed;
    }

    /// Returns whether a lost transaction waits for the caller to end it.
    pub(crate) fn has_lost_transaction(&self) -> bool {
        self.transaction == TransactionStatus::Failed && self.transaction_home.is_none()
    }

    /// Gives up the transaction that the running request belongs to; returns whether there is one.
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
    /// Returns whether it leaves its caller in a transaction, if it is done.
    pub(crate) fn leaves_transaction_open(&self) -> bool {
        match self.kind {
            StatementKind::Begin | StatementKind::BeginReadOnly => true,
            StatementKind::Commit | StatementKind::Rollback => false,
            StatementKind::Read | StatementKind::Write => self.in_transaction,
        }
    }

    /// Returns the time that a home may take, counted from `now`.
    pub(crate) fn time_for_home(&self, now: Instant) -> Duration {
        let left = self.deadline.since(now);
        left - (left / ANSWER_MARGIN_DIVISOR).min(ANSWER_MARGIN_MAX)
    }

    /// Returns whether the request can change nothing, however often it runs.
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

    /// Returns when the session must be looked at next.
    pub(crate) fn due(&self) -> Instant {
        self.next_send
            .map_or(self.deadline, |at| at.min(self.deadline))
    }
}

/// Returns the kind of a statement within its session, or why it is refused unsent.
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

/// Returns the kind of a text that ends a transaction while none is open.
fn end_without_transaction(text: &str) -> StatementKind {
    match sql_statements(text).len() {
        1 => StatementKind::Read,
        _ => StatementKind::Write,
    }
}
