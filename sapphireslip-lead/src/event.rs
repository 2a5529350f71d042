//! Everything that can happen to a daemon.

use std::time::Duration;

use sapphireslip_core::{
    ConnectionId, Instant, ServiceName, SessionId, Text, TransactionStatus, VmId, data,
};

use crate::{
    Catalog, LeaderTable, PermissionTable, Query, Reply, RowVersion, ServerRecord, ServerStatus,
    StoreTime,
};

data! {
    /// An event; the daemon hands the reducer one at a time.
    pub enum Event {
        /// Nothing but time has passed.
        Tick,
        /// From a caller.
        Client(ClientEvent),
        /// From a connection to a backend server.
        Server(ServerEvent),
        /// A version of the operator's configuration was read.
        Catalog(Catalog),
        /// The store's list of backend servers; none if the store did not answer.
        Servers(Option<Vec<ServerRecord>>),
        /// The leads, as read or as they changed.
        Leads(LeaderTable),
        /// All permissions.
        Permits {
            /// The permissions; none if the store did not answer.
            table: Option<PermissionTable>,
            /// When they were asked for.
            sent: Instant,
        },
        /// The outcome of a conditional write.
        Written(Written),
        /// The platform's answer to a request to promote.
        Promoted {
            /// The service.
            service: ServiceName,
            /// What it said.
            outcome: PromoteOutcome,
        },
        /// Another daemon asks this one, as the holder of the duty, to name no other leader.
        GrantAsked {
            /// The connection on which it waits for the answer.
            session: SessionId,
            /// The other daemon.
            vm: VmId,
            /// The version of the last change of a lead that it knows.
            generation: RowVersion,
        },
        /// The holder of the duty grants that it names no other leader for a while.
        Granted {
            /// The version of the last change of a lead that this daemon asked with.
            generation: RowVersion,
            /// For how long; zero if it refuses.
            length: Duration,
            /// When it was asked.
            sent: Instant,
        },
        /// The process was asked to stop.
        Drain {
            /// The time until the process is killed.
            grace: Duration,
        },
    }

    /// What callers do.
    pub enum ClientEvent {
        /// A caller has named its database.
        Opened {
            /// The new session.
            session: SessionId,
            /// The database.
            database: Text,
            /// The version of the configuration of the daemon that passes the session on; none if
            /// the caller has connected here.
            passed_on: Option<u64>,
        },
        /// The daemon that a session was to be passed on to does not take it.
        RelayFailed {
            /// The session.
            session: SessionId,
            /// Whether its machine answered at all.
            is_refused: bool,
        },
        /// The other daemon ended a session that was passed on.
        RelayLost {
            /// The session.
            session: SessionId,
        },
        /// A caller whose session was passed on sent a statement.
        RelayAsked {
            /// The session.
            session: SessionId,
            /// The caller's identifier of the statement, the first of several.
            request: Text,
        },
        /// The other daemon answered a session that was passed on.
        RelayAnswered {
            /// The session.
            session: SessionId,
            /// Whether the session is in a transaction.
            status: TransactionStatus,
        },
        /// A caller sent a statement.
        Query {
            /// The session.
            session: SessionId,
            /// The statement.
            query: Query,
        },
        /// The caller is gone.
        Closed {
            /// The session.
            session: SessionId,
        },
    }

    /// What connections to backend servers do.
    pub enum ServerEvent {
        /// The connection is open.
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
        /// The answer to the oldest request that has none yet.
        Replied {
            /// The connection.
            connection: ConnectionId,
            /// The answer.
            reply: Reply,
            /// The server's status, if that was asked for and could be understood.
            status: Option<ServerStatus>,
        },
        /// The connection broke, or the server sent what can't be understood.
        Lost {
            /// The connection.
            connection: ConnectionId,
        },
    }

    /// Why a connection to a backend server could not be opened.
    pub enum ConnectFailure {
        /// The server has no connection left.
        Limit,
        /// Another server answers at the address.
        Misrouted,
        /// Nobody listens at the address.
        Refused,
        /// Nothing came back in time, or it broke off.
        Silent,
    }

    /// The outcome of a conditional write to the store.
    pub struct Written {
        /// What was to be written.
        pub write: crate::StoreWrite,
        /// When it was sent.
        pub sent: Instant,
        /// What came of it.
        pub outcome: WriteOutcome,
    }

    /// What came of a conditional write.
    pub enum WriteOutcome {
        /// It was done.
        Done {
            /// The version of the rows written.
            version: RowVersion,
            /// The store's clock.
            now: StoreTime,
        },
        /// A condition did not hold; nothing was written.
        Conflict {
            /// The present version of this daemon's permission, if that was a condition.
            permit: Option<RowVersion>,
            /// The store's clock.
            now: StoreTime,
        },
        /// No answer: it may have been done, or may be done later while its conditions hold.
        Unknown,
    }

    /// The platform's answer to a request to promote.
    pub enum PromoteOutcome {
        /// It was accepted; the server leads soon.
        Accepted,
        /// The server does not run.
        NotRunning,
        /// No answer, or a refusal for now: it may have been done.
        Unknown,
    }
}
