//! Identifiers of sessions and requests, and the contents of requests and answers.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::{data, key};
use crate::{DatabaseName, Refusal, RequestKey, ServiceName, TermPosition, VmId};

key! {
    /// The number of a client's session, unique within one run of its entry daemon: the daemon that
    /// the client is connected to.
    pub struct SessionId(pub u64);

    /// The number of a request, unique within one run of its entry daemon.
    pub struct RequestNumber(pub u64);

    /// The number of one run of a daemon; it is higher after each restart.
    pub struct Incarnation(pub u64);

    /// The transaction status of a session, as the `PostgreSQL` protocol reports it.
    pub enum TransactionStatus {
        /// The session is not in a transaction.
        Idle,
        /// The session is in a transaction.
        Open,
        /// The session is in a failed transaction, which accepts only statements that end it.
        Failed,
    }

    /// The kind of a statement, as far as routing depends on it.
    pub enum StatementKind {
        /// A statement that looks like a read: it may go to a replica, which refuses it without
        /// running it if it writes after all.
        Read,
        /// A statement that may write and goes to the primary.
        Write,
        /// A statement that opens a transaction at the primary.
        Begin,
        /// A statement that opens a read-only transaction, which a replica may serve.
        BeginReadOnly,
        /// A statement that commits the open transaction.
        Commit,
        /// A statement that rolls back the open transaction.
        Rollback,
    }
}

impl StatementKind {
    /// Returns whether a server rolls the statement back when its connection closes, so that a
    /// lost one has had no effect. This does not hold for a statement that looks like a read, as it
    /// may call a function that writes.
    pub(crate) const fn is_rolled_back_if_lost(self) -> bool {
        match self {
            Self::Begin | Self::BeginReadOnly | Self::Rollback => true,
            Self::Read | Self::Write | Self::Commit => false,
        }
    }
}

data! {
    /// The identity of a request, unique over all daemons.
    #[derive(Hash, Ord, PartialOrd)]
    pub struct RequestId {
        /// The VM of the entry daemon.
        pub entry: VmId,
        /// The run of the entry daemon in which the request arrived.
        pub incarnation: Incarnation,
        /// The number of the request within that run.
        pub number: RequestNumber,
    }

    /// The data that a session has seen, which its reads must not fall behind.
    pub enum Freshness {
        /// The session has seen at least this record of the log.
        AtLeast(TermPosition),
        /// The session's token is unknown: the home must learn the confirmed log position before it
        /// serves a read.
        Probe,
    }

    /// A request on its way from an entry daemon to the home of its database.
    pub struct Request {
        /// The identity of the request, which answers carry back.
        pub id: RequestId,
        /// The session at the entry daemon that sent the request and that owns an open transaction.
        pub session: SessionId,
        /// The service whose limits apply to the request.
        pub service: ServiceName,
        /// The database that the request is for.
        pub database: DatabaseName,
        /// The kind of the statement.
        pub kind: StatementKind,
        /// Whether the request belongs to the transaction that the session has open at this home.
        pub in_transaction: bool,
        /// The data that the session has seen, which a read must not fall behind.
        pub freshness: Freshness,
        /// The request key that the client gave, if any.
        pub key: Option<RequestKey>,
        /// Whether the request was sent before and may have run then.
        pub resent: bool,
        /// The time that the home may take for the request, counted from the send.
        pub time_left: Duration,
        /// The protocol messages of the statement, ready to be written to a backend server.
        pub payload: Bytes,
    }

    /// A part of an answer on its way from the home back to the entry daemon.
    pub struct Answer {
        /// The request that the answer belongs to.
        pub id: RequestId,
        /// The number of this part; parts are numbered from 0 without gaps.
        pub part: u32,
        /// Whole protocol messages for the client, without the final `ReadyForQuery`.
        pub payload: Bytes,
        /// The result of the request, on the last part only.
        pub end: Option<AnswerEnd>,
    }

    /// The result of a request, which ends its answer.
    pub struct AnswerEnd {
        /// Whether the request was done or refused.
        pub outcome: Outcome,
        /// The transaction status of the session at the home after the request.
        pub transaction: TransactionStatus,
        /// The newest record of the log that the session has seen with this answer, if it is known.
        pub seen: Option<TermPosition>,
    }

    /// The outcome of a request.
    pub enum Outcome {
        /// The backend server answered, possibly with an error of its own.
        Done,
        /// The proxy refused the request, or could not learn whether it ran.
        Refused(Refusal),
    }
}
