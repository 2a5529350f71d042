//! Everything that can happen to a daemon.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::{data, key};
use crate::{
    AcceptedDocument, CallerName, ChangeCount, DatabaseName, GroupFailure, PeerMessage, RequestKey,
    ServerId, ServerStatus, SessionId, TermPosition, Text, TransactionStatus, VmId, VmRecord,
};

key! {
    /// A connection to a backend server; unique within one run of a daemon.
    pub struct ConnectionId(pub u64);

    /// One piece of work sent on a connection; its answer carries it back.
    pub struct WorkId(pub u64);

    /// One group request to a backend server.
    pub struct CallId(pub u64);

    /// Why a connection to a backend server could not be opened.
    pub enum ConnectFailure {
        /// The server is at its limit of connections.
        TooMany,
        /// The server refused or reset the attempt.
        Refused,
        /// Nothing came back in time.
        Timeout,
    }
}

data! {
    /// An event; the runner hands the reducer one at a time.
    pub enum Event {
        /// Nothing but time has passed.
        Tick,
        /// From the caller edge.
        Caller(CallerEvent),
        /// From the backend edge.
        Backend(BackendEvent),
        /// A message from a peer.
        Peer {
            /// The sender.
            from: VmId,
            /// The message.
            message: PeerMessage,
        },
        /// A message to a peer could not be sent, or the stream to it broke; whatever was not
        /// answered may or may not have arrived.
        PeerLost {
            /// The peer.
            vm: VmId,
        },
        /// From the platform edge.
        Platform(PlatformEvent),
        /// From the operator or the process's signals.
        Operator(OperatorEvent),
    }

    /// What callers do.
    pub enum CallerEvent {
        /// A caller has named a user and a database and waits for its password exchange.
        Connecting {
            /// The new session.
            session: SessionId,
            /// The user name as given, checked by the reducer.
            user: Text,
            /// The database as given, checked by the reducer.
            database: Text,
        },
        /// The caller proved its password.
        Opened {
            /// The session.
            session: SessionId,
            /// The caller.
            caller: CallerName,
            /// The database.
            database: DatabaseName,
            /// The session token it brought from an earlier connection.
            token: Option<TermPosition>,
        },
        /// The caller gave its session token by `SET`.
        TokenGiven {
            /// The session.
            session: SessionId,
            /// The token.
            token: TermPosition,
        },
        /// The caller sent a statement, or a batch of protocol messages up to a sync.
        Statement {
            /// The session.
            session: SessionId,
            /// The SQL text, for classification; all texts of a batch joined by `;`.
            text: Text,
            /// The key, if the caller named one by comment or parameter.
            key: Option<RequestKey>,
            /// Protocol messages, ready to be written to a backend server.
            payload: Bytes,
        },
        /// The caller wants the running statement ended.
        Cancel {
            /// The session.
            session: SessionId,
        },
        /// The caller is gone.
        Closed {
            /// The session.
            session: SessionId,
        },
    }

    /// What backend servers do.
    pub enum BackendEvent {
        /// The connection is open and idle.
        Connected {
            /// The connection.
            connection: ConnectionId,
        },
        /// The connection could not be opened.
        ConnectFailed {
            /// The connection.
            connection: ConnectionId,
            /// Why.
            failure: ConnectFailure,
        },
        /// A part of the answer, at most some tens of kilobytes.
        Answered {
            /// The connection.
            connection: ConnectionId,
            /// The work that it answers.
            work: WorkId,
            /// Whole protocol messages, without the final ready message.
            payload: Bytes,
            /// Present when the server reported that it is ready for the next work.
            end: Option<WorkEnd>,
        },
        /// The connection broke; the work in flight may or may not have run.
        Lost {
            /// The connection.
            connection: ConnectionId,
        },
        /// The answer to a group request.
        GroupReply {
            /// The server.
            server: ServerId,
            /// The call.
            call: CallId,
            /// The status after the request, or why there is none.
            result: Result<ServerStatus, GroupFailure>,
        },
    }

    /// How one piece of work ended on its connection.
    pub struct WorkEnd {
        /// Whether the connection is in a transaction.
        pub transaction: TransactionStatus,
        /// The record that the work committed, as the server reported it.
        pub committed: Option<TermPosition>,
        /// The SQLSTATE of the first error, if any.
        pub sqlstate: Option<SqlState>,
        /// The first column of the first row, for work that the reducer itself asked for.
        pub value: Option<Text>,
    }

    /// What the platform answers.
    pub enum PlatformEvent {
        /// The count of accepted changes; none if the platform did not answer.
        Changes(Option<ChangeCount>),
        /// The documents accepted since the count asked for; none if the platform did not answer.
        Documents(Option<Vec<AcceptedDocument>>),
        /// The list of VMs, which lags; none if the platform did not answer.
        Vms(Option<Vec<VmRecord>>),
        /// The IP numbers of backend servers that the platform lists as leaving.
        LeavingServers(Vec<std::net::IpAddr>),
    }

    /// What the operator or a signal asks of this daemon.
    pub enum OperatorEvent {
        /// Stop gracefully.
        Drain {
            /// How long open transactions may go on at the most.
            bound: Duration,
        },
    }
}

/// A five-character SQLSTATE.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SqlState(pub [u8; 5]);

impl SqlState {
    /// A write was sent to a server that takes only reads: proof that it was not run.
    pub const READ_ONLY: Self = Self(*b"25006");
    /// A row with the same key exists.
    pub const UNIQUE_VIOLATION: Self = Self(*b"23505");
    /// The server was fenced at a higher term: proof that the write was not run.
    pub const SUPERSEDED: Self = Self(*b"57P04");
}
