//! The effects that the reducer can request, as plain data.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::derives::data;
use crate::{
    CallId, ChangeCount, ConnectionId, DatabaseName, GroupRequest, Instant, PeerMessage, Refusal,
    ServerId, ServerSpec, SessionId, TermPosition, Text, TimelineEntry, TransactionStatus, VmId,
    WorkId,
};

data! {
    /// An effect; the process that runs the reducer carries the effects out in order.
    pub enum Effect {
        /// Act on a client's connection.
        Client(ClientEffect),
        /// Act on a connection to a backend server.
        Backend(BackendEffect),
        /// Send a message to a peer, or to this daemon itself.
        Send {
            /// The VM whose daemon receives the message.
            to: VmId,
            /// The address at which the receiver accepts connections from peers.
            address: SocketAddr,
            /// The message to send.
            message: PeerMessage,
        },
        /// Read from the platform.
        Platform(PlatformEffect),
        /// Hand in a tick at this instant or soon after.
        WakeAt(Instant),
        /// Add an entry to the timeline.
        Record(TimelineEntry),
        /// Change whether `/ready` reports that the daemon is ready.
        Ready(bool),
        /// Exit the process: the drain has ended, perhaps at its bound with work left.
        Exit,
    }

    /// An effect on a client's connection.
    pub enum ClientEffect {
        /// Request the password and check it against the verifier.
        Authenticate {
            /// The session to authenticate.
            session: SessionId,
            /// The SCRAM-SHA-256 verifier from the configuration document.
            verifier: Text,
        },
        /// Send a part of the answer to the session's running statement.
        Answer {
            /// The session that receives the answer.
            session: SessionId,
            /// Complete protocol messages, without the final ready message.
            payload: Bytes,
        },
        /// Finish the session's running statement: report the session token and that the session is
        /// ready.
        Finish {
            /// The session that the statement belongs to.
            session: SessionId,
            /// The refusal to report instead of the answer, or after a part of it; `None` if the
            /// statement succeeded.
            refusal: Option<Refusal>,
            /// The session's transaction status.
            transaction: TransactionStatus,
            /// The session token to report, if any.
            token: Option<TermPosition>,
        },
        /// End the session with a refusal as a fatal error.
        Close {
            /// The session to end.
            session: SessionId,
            /// The refusal to report.
            refusal: Refusal,
        },
        /// Accept no new client connections.
        StopListening,
    }

    /// An effect on a connection to a backend server.
    pub enum BackendEffect {
        /// Open a connection to a server.
        Connect {
            /// The identifier of the new connection.
            connection: ConnectionId,
            /// The server to connect to.
            server: ServerId,
            /// The address at which the server listens.
            address: SocketAddr,
            /// The database to connect to.
            database: DatabaseName,
        },
        /// Write a piece of work to a server and report the answer as
        /// [`BackendEvent::Answered`](crate::BackendEvent).
        Send {
            /// The connection to write to.
            connection: ConnectionId,
            /// The identifier of the work, which the answer repeats.
            work: WorkId,
            /// The protocol messages of a client, or the reducer's own SQL text.
            payload: WorkPayload,
        },
        /// Close a connection, even if work is in progress on it.
        Close {
            /// The connection to close.
            connection: ConnectionId,
        },
        /// Send a group request to a server, on a connection reserved for these.
        Group {
            /// The identifier of the call, which the answer repeats.
            call: CallId,
            /// The server to ask.
            server: ServerSpec,
            /// The database of the group.
            database: DatabaseName,
            /// The group request.
            request: GroupRequest,
            /// The time after which the call fails with
            /// [`GroupFailure::NoAnswer`](crate::GroupFailure).
            timeout: Duration,
        },
    }

    /// The payload of a piece of work.
    pub enum WorkPayload {
        /// Protocol messages of a client.
        Messages(Bytes),
        /// The reducer's own SQL text, sent as a simple query.
        Sql(Text),
    }

    /// A read from the platform.
    pub enum PlatformEffect {
        /// Read the number of accepted changes.
        ReadChanges,
        /// Read the configuration documents accepted after a number of changes.
        ReadDocuments {
            /// The number of changes that the daemon has applied.
            since: ChangeCount,
        },
        /// Read the lists of VMs and of leaving backend servers.
        ReadVms,
    }
}
