//! Identifiers of sessions and requests, and what a request asks for.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::{data, key};
use crate::{DatabaseName, Refusal, RequestKey, ServiceName, TermPosition, VmId};

key! {
    /// A caller's session at its entry daemon; unique within one run of that daemon.
    pub struct SessionId(pub u64);

    /// A request's number; unique within one run of its entry daemon.
    pub struct RequestNumber(pub u64);

    /// One run of a daemon: a restarted one has a higher number.
    pub struct Incarnation(pub u64);

    /// Whether a session's connection is in a transaction, as the protocol reports it.
    pub enum TransactionStatus {
        /// Outside a transaction.
        Idle,
        /// In a transaction.
        Open,
        /// In a transaction that failed and only accepts its end.
        Failed,
    }

    /// What a statement asks for, as far as routing goes.
    pub enum StatementKind {
        /// Looks like a read: may go to a replica, which refuses it unrun if it is none.
        Read,
        /// May write: goes to the primary.
        Write,
        /// Opens a transaction at the primary.
        Begin,
        /// Opens a read-only transaction, which a replica may serve.
        BeginReadOnly,
        /// Commits the open transaction.
        Commit,
        /// Rolls the open transaction back.
        Rollback,
    }
}

impl StatementKind {
    /// Returns whether a server rolls the statement back when its connection closes, so that a
    /// lost one has had no effect. A statement that looks like a read is none of these: it may
    /// call a function that writes.
    pub(crate) const fn is_rolled_back_if_lost(self) -> bool {
        match self {
            Self::Begin | Self::BeginReadOnly | Self::Rollback => true,
            Self::Read | Self::Write | Self::Commit => false,
        }
    }
}

data! {
    /// A request's identity over all daemons.
    #[derive(Hash, Ord, PartialOrd)]
    pub struct RequestId {
        /// The entry daemon.
        pub entry: VmId,
        /// The run of the entry daemon.
        pub incarnation: Incarnation,
        /// The number within that run.
        pub number: RequestNumber,
    }

    /// What the session has seen, which a read must not fall behind.
    pub enum Freshness {
        /// At least this record.
        AtLeast(TermPosition),
        /// The token was lost or never given: learn the confirmed position first.
        Probe,
    }

    /// A request on its way from an entry daemon to the home of its database.
    pub struct Request {
        /// Who asks; answers carry it back.
        pub id: RequestId,
        /// The session at the entry daemon, to which an open transaction belongs.
        pub session: SessionId,
        /// The service on whose behalf it runs, for limits.
        pub service: ServiceName,
        /// The database.
        pub database: DatabaseName,
        /// What it asks for.
        pub kind: StatementKind,
        /// Whether it belongs to the transaction that the session has open at this home.
        pub in_transaction: bool,
        /// What the session has seen.
        pub freshness: Freshness,
        /// The key of a non-idempotent request.
        pub key: Option<RequestKey>,
        /// Whether an earlier send of the same request may have run.
        pub resent: bool,
        /// The time left until the caller's deadline, counted from the send.
        pub time_left: Duration,
        /// Protocol messages, ready to be written to a backend server.
        pub payload: Bytes,
    }

    /// A part of an answer on its way back from the home to the entry daemon.
    pub struct Answer {
        /// The request.
        pub id: RequestId,
        /// The number of this part, from 0 without gaps.
        pub part: u32,
        /// Protocol messages for the caller, whole ones only, without the final ready message.
        pub payload: Bytes,
        /// Present on the last part.
        pub end: Option<AnswerEnd>,
    }

    /// How an answer ended.
    pub struct AnswerEnd {
        /// Whether it was done or refused.
        pub outcome: Outcome,
        /// Whether the session has a transaction open at the home afterwards.
        pub transaction: TransactionStatus,
        /// The record that the session has now seen at least.
        pub seen: Option<TermPosition>,
    }

    /// What became of a request.
    pub enum Outcome {
        /// The backend server gave its answer, an error of its own included.
        Done,
        /// The project refuses, or can't tell.
        Refused(Refusal),
    }
}
