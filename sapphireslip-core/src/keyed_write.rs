//! The steps of a keyed write: a write with a request key, which runs at most once.
//!
//! The key is inserted in the same database transaction as the write, so that either both are
//! stored or neither is. When the answer is lost, the key is claimed by inserting it as refused: a
//! conflict shows that the write ran, and success means that it never will, once a majority of the
//! group holds the claim.
//!
//! An existing key is read back by an update that changes nothing. The update commits a log record
//! after the one that wrote the key, so a majority that holds the later record holds the key too.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::data;
use crate::{
    RefusalReason, RequestKey, SqlState, TermPosition, Text, TransactionStatus, WorkEnd, hex,
};

/// The longest answer that is stored with its key; a longer one is stored as empty.
pub const RECORDED_ANSWER_MAX_BYTES: usize = 16 * 1024;

/// The longest answer to a keyed write, all of which is held in memory until the write is
/// acknowledged.
pub const KEYED_ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// How long a server keeps the transaction of a keyed write open while it is idle. The home sends
/// each step as soon as the one before is answered, so a longer pause means that it is gone or cut
/// off.
pub const KEYED_IDLE_MAX: Duration = Duration::from_secs(1);

/// How long after a request's deadline a server ends a step that still runs; the home ends it first
/// unless it is cut off.
pub const KEYED_STEP_GRACE: Duration = Duration::from_millis(500);

/// Creates the table of request keys.
const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS sapphireslip_request \
    (request_key TEXT PRIMARY KEY, born_s BIGINT, state TEXT, answer TEXT)";
const ROLLBACK: &str = "ROLLBACK";
/// The SQLSTATE of a statement on a table that doesn't exist.
const UNDEFINED_TABLE: SqlState = SqlState(*b"42P01");
/// The stored state of a key whose write ran in the same transaction.
const DONE: &str = "done";
/// The stored state of a key that was claimed so that its write can't run any more.
const REFUSED: &str = "refused";

data! {
    /// The progress of one keyed write.
    pub struct KeyedWrite {
        /// The request key of the write.
        key: RequestKey,
        /// How the write relates to transactions.
        scope: KeyedScope,
        /// The step that was sent last.
        phase: Phase,
        /// The server's answer to the client's request so far.
        answer: Vec<u8>,
        /// How long the server may work on one step.
        step_timeout: Duration,
    }

    /// How a keyed write relates to transactions.
    pub enum KeyedScope {
        /// The write runs in a transaction of its own.
        OwnTransaction,
        /// The write is a statement of the session's open transaction.
        Statement,
        /// The write commits the session's open transaction.
        Commit,
    }

    /// The step of a keyed write that was sent last.
    enum Phase {
        /// Nothing has been sent.
        Start,
        /// The insertion of the key as done, before the client's request.
        Claim,
        /// The creation of the table of request keys.
        Create(AfterCreate),
        /// The client's request.
        Request,
        /// The update that stores the answer with the key, and the commit.
        Record,
        /// The rollback of the transaction.
        Rollback(AfterRollback),
        /// The update that reads back a key that existed already.
        ReadBack,
        /// Nothing since the answer was lost; whether the write ran is to be learnt next.
        WantsResolve,
        /// The insertion of the key as refused, to learn whether the write ran.
        Resolve,
        /// The update that reads back the key that was found when resolving.
        ResolveReadBack,
    }

    /// What follows the creation of the table.
    enum AfterCreate {
        /// Insert the key as done.
        Claim,
        /// Refuse the request, since its transaction was rolled back.
        Refuse,
        /// Insert the key as refused.
        Resolve,
    }

    /// What follows the rollback of the transaction.
    enum AfterRollback {
        /// Create the table of request keys.
        Create(AfterCreate),
        /// Read back the key that existed already.
        ReadBack,
        /// Give the answer collected, an error of the server.
        Answer,
        /// Refuse the request as not run.
        Refuse(RefusalReason),
    }

    /// What the home does next for a keyed write.
    pub enum KeyedNext {
        /// Send this SQL text on the same connection.
        Sql(Text),
        /// Send the client's request on the same connection.
        Request,
        /// Give the verdict once a majority of the group holds the log record.
        Acknowledge {
            /// The log record that a majority must hold.
            record: TermPosition,
            /// What the held record proves.
            verdict: Verdict,
        },
        /// Give the answer collected: an error of the server, or the answer to a statement of an
        /// open transaction.
        Answer,
        /// Refuse the request as not run.
        Refuse(RefusalReason),
        /// Learn on another connection whether the request ran.
        Resolve,
    }

    /// What a log record proves about a request once a majority holds it.
    pub enum Verdict {
        /// The request has run, with the answer collected.
        Done,
        /// The request ran earlier, with this answer; empty if the answer was too long to store.
        Recorded(Bytes),
        /// The request has not run and never will.
        NeverRuns(RefusalReason),
    }
}

impl KeyedWrite {
    /// Returns a keyed write of which nothing has been sent yet.
    ///
    /// ```
    /// use sapphireslip_core::{KeyedNext, KeyedScope, KeyedWrite, RequestKey};
    /// use std::time::Duration;
    /// let key = RequestKey::try_from("1000.repair-42")?;
    /// let mut write = KeyedWrite::new(key, KeyedScope::OwnTransaction);
    /// let KeyedNext::Sql(sql) = write.start(Duration::from_secs(2)) else { panic!() };
    /// assert!(sql.contains("INSERT INTO sapphireslip_request"));
    /// # Ok::<(), sapphireslip_core::RequestKeyError>(())
    /// ```
    #[must_use]
    pub const fn new(key: RequestKey, scope: KeyedScope) -> Self {
        Self {
            key,
            scope,
            phase: Phase::Start,
            answer: Vec::new(),
            step_timeout: Duration::ZERO,
        }
    }

    /// Returns whether the answer was lost and the write is being resolved: the home is learning
    /// whether it ran.
    #[must_use]
    pub fn is_resolving(&self) -> bool {
        matches!(
            self.phase,
            Phase::WantsResolve
                | Phase::Resolve
                | Phase::ResolveReadBack
                | Phase::Create(AfterCreate::Resolve)
        )
    }

    /// Returns whether an attempt to learn if the write ran has been sent.
    pub(crate) fn is_claiming(&self) -> bool {
        self.is_resolving() && self.phase != Phase::WantsResolve
    }

    /// Returns the server's answer to the client's request so far.
    #[must_use]
    pub fn answer(&self) -> &[u8] {
        &self.answer
    }

    /// Returns the first step on a new connection, with `left` until the request's deadline.
    pub fn start(&mut self, left: Duration) -> KeyedNext {
        self.step_timeout = left + KEYED_STEP_GRACE;
        if self.is_resolving() {
            return self.send(Phase::Resolve);
        }
        self.send(Phase::Claim)
    }

    /// Handles a part of an answer; returns false if the whole answer to the client's request
    /// exceeds [`KEYED_ANSWER_MAX_BYTES`].
    #[must_use]
    pub fn on_payload(&mut self, payload: &[u8]) -> bool {
        if self.phase != Phase::Request {
            return true;
        }
        self.answer.extend_from_slice(payload);
        self.answer.len() <= KEYED_ANSWER_MAX_BYTES
    }

    /// Handles the end of a step, with the whole payload of its answer, and returns what to do
    /// next.
    pub fn on_end(&mut self, end: &WorkEnd, payload: &[u8]) -> KeyedNext {
        match self.phase.clone() {
            Phase::Claim => self.on_claim_end(end),
            Phase::Create(after) => self.on_create_end(end, after),
            Phase::Request => self.on_request_end(end),
            Phase::Record => self.on_record_end(end, payload),
            Phase::Rollback(after) => self.on_rollback_end(end, after),
            Phase::ReadBack => self.on_read_back_end(end),
            Phase::Resolve => self.on_resolve_end(end),
            Phase::ResolveReadBack => self.on_read_back_end(end),
            Phase::Start | Phase::WantsResolve => KeyedNext::Resolve,
        }
    }

    /// Handles the loss of the connection and returns what to do next.
    pub fn on_lost(&mut self) -> KeyedNext {
        match (&self.phase, &self.scope) {
            // The server rolls back a transaction that was never told to commit.
            (_, KeyedScope::Statement) => KeyedNext::Refuse(RefusalReason::TransactionLost),
            (Phase::Start | Phase::Claim | Phase::Create(AfterCreate::Claim), _) => {
                KeyedNext::Refuse(RefusalReason::NoConnection)
            }
            _ => self.resolve(),
        }
    }

    /// Starts to resolve the write: from now on the key is claimed as refused.
    pub fn resolve(&mut self) -> KeyedNext {
        self.phase = Phase::WantsResolve;
        KeyedNext::Resolve
    }

    fn on_claim_end(&mut self, end: &WorkEnd) -> KeyedNext {
        let is_own_transaction = self.scope == KeyedScope::OwnTransaction;
        match end.sqlstate {
            None if end.transaction == TransactionStatus::Open => {
                self.phase = Phase::Request;
                KeyedNext::Request
            }
            None => self.roll_back(end, AfterRollback::Refuse(RefusalReason::TransactionLost)),
            Some(UNDEFINED_TABLE) if is_own_transaction => {
                self.roll_back(end, AfterRollback::Create(AfterCreate::Claim))
            }
            Some(UNDEFINED_TABLE) => {
                self.roll_back(end, AfterRollback::Create(AfterCreate::Refuse))
            }
            Some(SqlState::UNIQUE_VIOLATION) if is_own_transaction => {
                self.roll_back(end, AfterRollback::ReadBack)
            }
            Some(SqlState::UNIQUE_VIOLATION) => {
                self.roll_back(end, AfterRollback::Refuse(RefusalReason::KeyRefused))
            }
            Some(SqlState::SUPERSEDED) => {
                self.roll_back(end, AfterRollback::Refuse(RefusalReason::NoPrimary))
            }
            Some(_) if is_own_transaction => {
                self.roll_back(end, AfterRollback::Refuse(RefusalReason::NoConnection))
            }
            Some(_) => self.roll_back(end, AfterRollback::Refuse(RefusalReason::TransactionLost)),
        }
    }

    fn on_create_end(&mut self, end: &WorkEnd, after: AfterCreate) -> KeyedNext {
        match (after, end.sqlstate) {
            (AfterCreate::Claim, None) => self.send(Phase::Claim),
            (AfterCreate::Claim, Some(SqlState::SUPERSEDED)) => {
                KeyedNext::Refuse(RefusalReason::NoPrimary)
            }
            (AfterCreate::Claim, Some(_)) => KeyedNext::Refuse(RefusalReason::NoConnection),
            (AfterCreate::Refuse, _) => KeyedNext::Refuse(RefusalReason::TransactionLost),
            (AfterCreate::Resolve, None) => self.send(Phase::Resolve),
            (AfterCreate::Resolve, Some(_)) => self.resolve(),
        }
    }

    fn on_request_end(&mut self, end: &WorkEnd) -> KeyedNext {
        let is_open = end.transaction == TransactionStatus::Open;
        match (&self.scope, end.sqlstate, end.committed) {
            (_, Some(SqlState::SUPERSEDED), None) => {
                self.roll_back(end, AfterRollback::Refuse(RefusalReason::NoPrimary))
            }
            (KeyedScope::OwnTransaction, Some(_), None) => {
                self.roll_back(end, AfterRollback::Answer)
            }
            (KeyedScope::OwnTransaction, None, None) if is_open => self.send(Phase::Record),
            (KeyedScope::Statement, _, None) => KeyedNext::Answer,
            (KeyedScope::Commit, Some(_), None) => KeyedNext::Answer,
            (_, _, Some(record)) => KeyedNext::Acknowledge {
                record,
                verdict: Verdict::Done,
            },
            (_, None, None) => self.resolve(),
        }
    }

    fn on_record_end(&mut self, end: &WorkEnd, payload: &[u8]) -> KeyedNext {
        match (end.sqlstate, end.committed) {
            (_, Some(record)) => KeyedNext::Acknowledge {
                record,
                verdict: Verdict::Done,
            },
            (Some(SqlState::SUPERSEDED), None) => {
                self.roll_back(end, AfterRollback::Refuse(RefusalReason::NoPrimary))
            }
            (Some(_), None) => {
                self.answer = payload.to_vec();
                self.roll_back(end, AfterRollback::Answer)
            }
            (None, None) => self.resolve(),
        }
    }

    fn on_rollback_end(&mut self, end: &WorkEnd, after: AfterRollback) -> KeyedNext {
        if end.transaction != TransactionStatus::Idle {
            return self.resolve();
        }
        self.after_rollback(after)
    }

    fn on_read_back_end(&mut self, end: &WorkEnd) -> KeyedNext {
        let is_resolving = self.is_resolving();
        let (Some(record), Some(value)) = (end.committed, end.value.as_deref()) else {
            return self.resolve();
        };
        let verdict = match value.split_once(':') {
            Some((DONE, answer)) => hex::decode(answer).map(|a| Verdict::Recorded(a.into())),
            Some((REFUSED, _)) if is_resolving => {
                Some(Verdict::NeverRuns(RefusalReason::AnswerLost))
            }
            Some((REFUSED, _)) => Some(Verdict::NeverRuns(RefusalReason::KeyRefused)),
            _ => None,
        };
        match verdict {
            Some(verdict) => KeyedNext::Acknowledge { record, verdict },
            None => self.resolve(),
        }
    }

    fn on_resolve_end(&mut self, end: &WorkEnd) -> KeyedNext {
        match (end.sqlstate, end.committed) {
            (None, Some(record)) => KeyedNext::Acknowledge {
                record,
                verdict: Verdict::NeverRuns(RefusalReason::AnswerLost),
            },
            (Some(SqlState::UNIQUE_VIOLATION), _) => self.send(Phase::ResolveReadBack),
            (Some(UNDEFINED_TABLE), _) => self.send(Phase::Create(AfterCreate::Resolve)),
            _ => self.resolve(),
        }
    }

    /// Rolls back the transaction if one is open, then goes on with `after`.
    fn roll_back(&mut self, end: &WorkEnd, after: AfterRollback) -> KeyedNext {
        if end.transaction == TransactionStatus::Idle {
            return self.after_rollback(after);
        }
        self.send(Phase::Rollback(after))
    }

    fn after_rollback(&mut self, after: AfterRollback) -> KeyedNext {
        match after {
            AfterRollback::Create(after) => self.send(Phase::Create(after)),
            AfterRollback::ReadBack => self.send(Phase::ReadBack),
            AfterRollback::Answer => KeyedNext::Answer,
            AfterRollback::Refuse(reason) => KeyedNext::Refuse(reason),
        }
    }

    /// Enters a phase and returns its SQL text to be sent.
    fn send(&mut self, phase: Phase) -> KeyedNext {
        let sql = self.sql(&phase);
        self.phase = phase;
        KeyedNext::Sql(sql.into())
    }

    /// Returns the SQL text of a phase; empty for one in which the home sends no SQL of its own.
    fn sql(&self, phase: &Phase) -> String {
        // A key contains only letters, digits, `.`, `-` and `_`, so it needs no escaping.
        let key = self.key.as_str();
        match phase {
            Phase::Claim if self.scope == KeyedScope::OwnTransaction => {
                // A home that is cut off can't end its transaction or the statements that wait for
                // its locks, so the server has to.
                format!(
                    "BEGIN; SET LOCAL idle_in_transaction_session_timeout = {}; \
                     SET LOCAL statement_timeout = {}; {}",
                    KEYED_IDLE_MAX.as_millis(),
                    self.step_timeout.as_millis(),
                    self.insert(DONE)
                )
            }
            Phase::Claim => self.insert(DONE),
            Phase::Resolve => self.insert(REFUSED),
            Phase::Create(_) => CREATE_TABLE.to_owned(),
            Phase::Rollback(_) => ROLLBACK.to_owned(),
            Phase::Record => format!(
                "UPDATE sapphireslip_request SET answer = '{}' WHERE request_key = '{key}'; COMMIT",
                self.recorded_answer()
            ),
            Phase::ReadBack | Phase::ResolveReadBack => format!(
                "UPDATE sapphireslip_request SET state = state WHERE request_key = '{key}' \
                 RETURNING state || ':' || answer"
            ),
            Phase::Start | Phase::Request | Phase::WantsResolve => String::new(),
        }
    }

    /// Returns the SQL text that inserts the key in a state.
    fn insert(&self, state: &str) -> String {
        let key = self.key.as_str();
        let born = key.split_once('.').map_or("0", |(born, _)| born);
        format!(
            "INSERT INTO sapphireslip_request (request_key, born_s, state, answer) \
             VALUES ('{key}', {born}, '{state}', '')"
        )
    }

    /// Returns the answer as it is stored with the key: in hexadecimal, or empty if it is too long.
    fn recorded_answer(&self) -> String {
        if self.answer.len() > RECORDED_ANSWER_MAX_BYTES {
            return String::new();
        }
        hex::encode(&self.answer)
    }
}
