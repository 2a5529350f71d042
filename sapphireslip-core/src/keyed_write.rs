//! The steps of a write that is named by a request key, so that it runs at most once.
//!
//! The key is written in the same database transaction as the write, so both are there or neither
//! is. When the answer is lost, the key is claimed as refused: a conflict shows that the write ran,
//! and no conflict means that it never will, once a majority holds the claim.
//!
//! An existing key is read back by an update that changes nothing: it commits a record after the
//! one that wrote the key, so once a majority holds that record it holds the key too.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::data;
use crate::{
    RefusalReason, RequestKey, SqlState, TermPosition, Text, TransactionStatus, WorkEnd, hex,
};

/// The longest answer that is recorded with its key; a longer one is recorded as empty.
pub const RECORDED_ANSWER_MAX_BYTES: usize = 16 * 1024;

/// The longest answer to a keyed write, all of which is held until it is acknowledged.
pub const KEYED_ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// How long a server keeps the transaction of a keyed write open that hears nothing from its home,
/// which sends each step as soon as the one before is answered.
pub const KEYED_IDLE_MAX: Duration = Duration::from_secs(1);

/// How long after a request's deadline a server ends its steps, so that the home does so first.
pub const KEYED_STEP_GRACE: Duration = Duration::from_millis(500);

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS sapphireslip_request \
    (request_key TEXT PRIMARY KEY, born_s BIGINT, state TEXT, answer TEXT)";
const ROLLBACK: &str = "ROLLBACK";
/// There is no such table.
const UNDEFINED_TABLE: SqlState = SqlState(*b"42P01");
const DONE: &str = "done";
const REFUSED: &str = "refused";

data! {
    /// One keyed write on its way.
    pub struct KeyedWrite {
        key: RequestKey,
        scope: KeyedScope,
        phase: Phase,
        answer: Vec<u8>,
        /// How long the server may work on one step.
        step_timeout: Duration,
    }

    /// What a keyed write brings along of transactions.
    pub enum KeyedScope {
        /// It is a transaction of its own.
        OwnTransaction,
        /// It is a statement of the transaction that its session has open.
        Statement,
        /// It commits the transaction that its session has open.
        Commit,
    }

    /// What was sent last.
    enum Phase {
        Start,
        Claim,
        Create(AfterCreate),
        Request,
        Record,
        Rollback(AfterRollback),
        ReadBack,
        WantsResolve,
        Resolve,
        ResolveReadBack,
    }

    enum AfterCreate {
        Claim,
        Refuse,
        Resolve,
    }

    enum AfterRollback {
        Create(AfterCreate),
        ReadBack,
        Answer,
        Refuse(RefusalReason),
    }

    /// What to do next.
    pub enum KeyedNext {
        /// Send this on the same connection.
        Sql(Text),
        /// Send the caller's request on the same connection.
        Request,
        /// Give this once a majority holds the record.
        Acknowledge {
            /// The record.
            record: TermPosition,
            /// What is given then.
            verdict: Verdict,
        },
        /// Give the answer collected: an error of the server, or a step of an open transaction.
        Answer,
        /// Refuse: it was not run.
        Refuse(RefusalReason),
        /// Whether it ran must be learnt on another connection.
        Resolve,
    }

    /// What an acknowledged record proves.
    pub enum Verdict {
        /// The request is done, with the answer collected.
        Done,
        /// The request was done earlier, with this answer; empty if it was too long to record.
        Recorded(Bytes),
        /// The request was not run and never will be.
        NeverRuns(RefusalReason),
    }
}

impl KeyedWrite {
    /// Returns a keyed write of which nothing has been sent.
    ///
    /// ```
    /// use sapphireslip_core::{KeyedNext, KeyedScope, KeyedWrite, RequestKey};
    /// use std::time::Duration;
    /// let key = RequestKey::try_from("1000.repair-42")?;
    /// let mut write = KeyedWrite::new(key, KeyedScope::Alone);
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

    /// Returns whether it is being learnt if the request ran.
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

    /// Returns whether an attempt to learn if the request ran has been made.
    pub(crate) fn is_claiming(&self) -> bool {
        self.is_resolving() && self.phase != Phase::WantsResolve
    }

    /// Returns the answer of the caller's request so far.
    #[must_use]
    pub fn answer(&self) -> &[u8] {
        &self.answer
    }

    /// Returns the first step on a connection, with `left` until the request's deadline.
    pub fn start(&mut self, left: Duration) -> KeyedNext {
        self.step_timeout = left + KEYED_STEP_GRACE;
        if self.is_resolving() {
            return self.send(Phase::Resolve);
        }
        self.send(Phase::Claim)
    }

    /// Takes a part of an answer; returns false if the whole answer has become too long.
    #[must_use]
    pub fn on_payload(&mut self, payload: &[u8]) -> bool {
        if self.phase != Phase::Request {
            return true;
        }
        self.answer.extend_from_slice(payload);
        self.answer.len() <= KEYED_ANSWER_MAX_BYTES
    }

    /// Takes the end of a step, with the whole payload of its answer.
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

    /// Takes the loss of the connection.
    pub fn on_lost(&mut self) -> KeyedNext {
        match (&self.phase, &self.scope) {
            // The server rolls a transaction back that was never told to commit.
            (_, KeyedScope::Statement) => KeyedNext::Refuse(RefusalReason::TransactionLost),
            (Phase::Start | Phase::Claim | Phase::Create(AfterCreate::Claim), _) => {
                KeyedNext::Refuse(RefusalReason::NoConnection)
            }
            _ => self.resolve(),
        }
    }

    /// Gives up on what is under way: from now on the key is claimed as refused.
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

    fn send(&mut self, phase: Phase) -> KeyedNext {
        let sql = self.sql(&phase);
        self.phase = phase;
        KeyedNext::Sql(sql.into())
    }

    fn sql(&self, phase: &Phase) -> String {
        // A key has only letters, digits, `.`, `-` and `_`, so it needs no quoting.
        let key = self.key.as_str();
        match phase {
            Phase::Claim if self.scope == KeyedScope::OwnTransaction => {
                // A home that was cut off can't end what it began, and what waits behind that.
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

    fn insert(&self, state: &str) -> String {
        let key = self.key.as_str();
        let born = key.split_once('.').map_or("0", |(born, _)| born);
        format!(
            "INSERT INTO sapphireslip_request (request_key, born_s, state, answer) \
             VALUES ('{key}', {born}, '{state}', '')"
        )
    }

    fn recorded_answer(&self) -> String {
        if self.answer.len() > RECORDED_ANSWER_MAX_BYTES {
            return String::new();
        }
        hex::encode(&self.answer)
    }
}
