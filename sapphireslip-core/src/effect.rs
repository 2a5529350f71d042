//! Everything that the reducer can ask of the edges, as data.

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
    /// An effect; the runner carries them out in order.
    pub enum Effect {
        /// To the caller edge.
        Caller(CallerEffect),
        /// To the backend edge.
        Backend(BackendEffect),
        /// Send a message to a peer, or to this daemon itself.
        Send {
            /// The receiver.
            to: VmId,
            /// Where its daemon takes calls from peers.
            address: SocketAddr,
            /// The message.
            message: PeerMessage,
        },
        /// To the platform edge.
        Platform(PlatformEffect),
        /// Hand in a tick at this instant or soon after.
        WakeAt(Instant),
        /// Add an entry to the time line.
        Record(TimelineEntry),
        /// Whether `/ready` answers yes has changed.
        Ready(bool),
        /// Nothing is left to do: leave.
        Exit,
    }

    /// What callers get.
    pub enum CallerEffect {
        /// Ask for the password and check it against the verifier.
        Authenticate {
            /// The session.
            session: SessionId,
            /// The SCRAM-SHA-256 verifier from the document.
            verifier: Text,
        },
        /// A part of the answer to the session's running statement.
        Answer {
            /// The session.
            session: SessionId,
            /// Whole protocol messages, without the final ready message.
            payload: Bytes,
        },
        /// The session's running statement is over: report the token and that the session is ready.
        Finish {
            /// The session.
            session: SessionId,
            /// Given in place of, or after a part of, the answer.
            refusal: Option<Refusal>,
            /// The session's transaction status.
            transaction: TransactionStatus,
            /// The token to report.
            token: Option<TermPosition>,
        },
        /// End the session, with this refusal as a fatal error.
        Close {
            /// The session.
            session: SessionId,
            /// Why.
            refusal: Refusal,
        },
        /// Accept no new connections from now on.
        StopListening,
    }

    /// What backend servers get.
    pub enum BackendEffect {
        /// Open a connection.
        Connect {
            /// Its identifier.
            connection: ConnectionId,
            /// The server.
            server: ServerId,
            /// Where it listens.
            address: SocketAddr,
            /// The database.
            database: DatabaseName,
        },
        /// Write protocol messages and answer with [`BackendEvent::Answered`](crate::BackendEvent).
        Send {
            /// The connection.
            connection: ConnectionId,
            /// The work.
            work: WorkId,
            /// Protocol messages of a caller, or SQL text of the reducer's own.
            payload: WorkPayload,
        },
        /// Close a connection, whatever it does.
        Close {
            /// The connection.
            connection: ConnectionId,
        },
        /// Ask a server about its group, on a connection kept for that.
        Group {
            /// The call.
            call: CallId,
            /// The server.
            server: ServerSpec,
            /// The database.
            database: DatabaseName,
            /// The request.
            request: GroupRequest,
            /// The time after which the answer is [`GroupFailure::NoAnswer`](crate::GroupFailure).
            timeout: Duration,
        },
    }

    /// What is written to a backend server.
    pub enum WorkPayload {
        /// Protocol messages of a caller.
        Messages(Bytes),
        /// SQL text of the reducer's own, sent as a simple query.
        Sql(Text),
    }

    /// What the platform is asked.
    pub enum PlatformEffect {
        /// The count of accepted changes.
        ReadChanges,
        /// The documents accepted after a count.
        ReadDocuments {
            /// The count.
            since: ChangeCount,
        },
        /// The list of VMs and of leaving backend servers.
        ReadVms,
    }
}
