//! The events that the reducer handles.

use std::time::Duration;

use bytes::Bytes;

use crate::derives::{data, key};
use crate::{
    AcceptedDocument, ChangeCount, DatabaseName, GroupFailure, PeerMessage, RequestKey, ServerId,
    ServerStatus, SessionId, TermPosition, Text, TransactionStatus, UserName, VmId, VmRecord,
};

key! {
    /// A connection to a backend server; unique within one run of a daemon.
    pub struct ConnectionId(pub u64);

    /// A piece of work sent on a connection; its answer repeats the identifier.
    pub struct WorkId(pub u64);

    /// A group request to a backend server.
    pub struct CallId(pub u64);

    /// The reason why a connection to a backend server could not be opened.
    pub enum ConnectFailure {
        /// The server has reached its connection limit.
        TooMany,
        /// The server refused or reset the connection attempt.
        Refused,
        /// The server did not respond in time.
        Timeout,
    }
}

data! {
    /// An event; the process that runs the reducer hands it one event at a time.
    pub enum Event {
        /// Nothing but time has passed.
        Tick,
        /// A client did something.
        Client(ClientEvent),
        /// A backend server answered, or a connection to it changed.
        Backend(BackendEvent),
        /// A peer sent a message.
        Peer {
            /// The VM of the sender.
            from: VmId,
            /// The message.
            message: PeerMessage,
        },
        /// A message to a peer could not be sent, or the stream to the peer broke. Messages that
        /// were not answered may or may not have arrived.
        PeerLost {
            /// The VM of the peer.
            vm: VmId,
        },
        /// The platform answered.
        Platform(PlatformEvent),
        /// The operator or a signal to the process asked for something.
        Operator(OperatorEvent),
    }

    /// An event on a client's connection.
    pub enum ClientEvent {
        /// A client named a user and a database and waits for the password exchange.
        Connecting {
            /// The session that is being opened.
            session: SessionId,
            /// The user name as received; the reducer checks it.
            user: Text,
            /// The database name as received; the reducer checks it.
            database: Text,
        },
        /// The client proved its password.
        Opened {
            /// The session that is open now.
            session: SessionId,
            /// The user that the client logged in as.
            user: UserName,
            /// The database that the session uses.
            database: DatabaseName,
            /// The session token that the client brought from an earlier connection, if any.
            token: Option<TermPosition>,
        },
        /// The client set its session token with `SET`.
        TokenGiven {
            /// The client's session.
            session: SessionId,
            /// The session token.
            token: TermPosition,
        },
        /// The client sent a statement, or a batch of protocol messages up to a sync.
        Statement {
            /// The client's session.
            session: SessionId,
            /// The SQL text, used for classification; all texts of a batch are joined by `;`.
            text: Text,
            /// The request key, if the client gave one by comment or parameter.
            key: Option<RequestKey>,
            /// The protocol messages to be written to a backend server.
            payload: Bytes,
        },
        /// The client asked to cancel the running statement.
        Cancel {
            /// The client's session.
            session: SessionId,
        },
        /// The client's connection is closed.
        Closed {
            /// The client's session.
            session: SessionId,
        },
    }

    /// An event on a connection to a backend server.
    pub enum BackendEvent {
        /// A connection is open and idle.
        Connected {
            /// The connection that was opened.
            connection: ConnectionId,
        },
        /// A connection could not be opened.
        ConnectFailed {
            /// The connection that failed.
            connection: ConnectionId,
            /// The reason of the failure.
            failure: ConnectFailure,
        },
        /// A part of an answer arrived, at most some tens of kilobytes.
        Answered {
            /// The connection that the answer arrived on.
            connection: ConnectionId,
            /// The work that is answered.
            work: WorkId,
            /// Complete protocol messages, without the final ready message.
            payload: Bytes,
            /// How the work ended; present once the server is ready for the next work.
            end: Option<WorkEnd>,
        },
        /// A connection broke; the work in progress may or may not have run.
        Lost {
            /// The connection that broke.
            connection: ConnectionId,
        },
        /// A group request was answered or failed.
        GroupReply {
            /// The server that the request was sent to.
            server: ServerId,
            /// The call that carried the request.
            call: CallId,
            /// The server's status after the request, or the reason why the request failed.
            result: Result<ServerStatus, GroupFailure>,
        },
    }

    /// The end of a piece of work on its connection.
    pub struct WorkEnd {
        /// The transaction status of the connection.
        pub transaction: TransactionStatus,
        /// The record that the work committed, as reported by the server, if any.
        pub committed: Option<TermPosition>,
        /// The SQLSTATE of the first error, if any.
        pub sqlstate: Option<SqlState>,
        /// The first column of the first row, if any, for work that the reducer itself issued.
        pub value: Option<Text>,
    }

    /// An answer of the platform.
    pub enum PlatformEvent {
        /// The number of accepted changes, or `None` if the platform did not answer.
        Changes(Option<ChangeCount>),
        /// The configuration documents accepted after the requested number of changes, or `None` if
        /// the platform did not answer.
        Documents(Option<Vec<AcceptedDocument>>),
        /// The list of VMs, which lags behind, or `None` if the platform did not answer.
        Vms(Option<Vec<VmRecord>>),
        /// The IP addresses of backend servers that the platform lists as leaving.
        LeavingServers(Vec<std::net::IpAddr>),
    }

    /// A request of the operator or a signal to this daemon.
    pub enum OperatorEvent {
        /// Drain: stop gracefully.
        Drain {
            /// The maximum time for which open transactions may continue.
            bound: Duration,
        },
    }
}

/// A five-character SQLSTATE.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SqlState(pub [u8; 5]);

impl SqlState {
    /// A write was sent to a server that accepts only reads, so it was not run.
    pub const READ_ONLY: Self = Self(*b"25006");
    /// A row with the same key exists.
    pub const UNIQUE_VIOLATION: Self = Self(*b"23505");
    /// The server was fenced at a higher term, so the write was not run.
    pub const SUPERSEDED: Self = Self(*b"57P04");
}
