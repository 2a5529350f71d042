//! Events: the inputs of the reducer.

use std::time::Duration;

use sapphireslip_core::{
    ConnectionId, Instant, ServerId, ServiceName, SessionId, Text, TransactionStatus, VmId, data,
};

use crate::{
    Catalog, CoordinatorRecord, KeyDigest, LeaderTable, PermissionTable, Query, Reply, RowVersion,
    ServerRecord, ServerStatus, ShareAnswer, ShareRequest, StayingServers, StoreEra, StoreTime,
    TablesRequest, TermPosition, ToldCatalog, ToldTables, UnreadableRow,
};

data! {
    /// An event. The daemon hands the reducer one event at a time.
    pub enum Event {
        /// Time has passed and nothing else has happened.
        Tick,
        /// An event of a client connection.
        Client(ClientEvent),
        /// An event of a connection to a backend server.
        Server(ServerEvent),
        /// A version of the operator's configuration was read.
        Catalog(Catalog),
        /// The watch of the operator's configuration got an answer or failed. A configuration that it
        /// read comes before, as [`Event::Catalog`].
        CatalogWatch(CatalogWatch),
        /// Another daemon asks for a newer configuration.
        CatalogAsked {
            /// The connection on which the other daemon waits for the answer.
            session: SessionId,
            /// The version that it has; none if it has none.
            version: Option<u64>,
        },
        /// Another daemon was asked for a newer configuration.
        CatalogTold {
            /// The answer; none if there was none.
            told: Option<ToldCatalog>,
            /// When the request was sent.
            sent: Instant,
        },
        /// An idle daemon asks this one for tables of the store.
        TablesAsked {
            /// The connection on which the other daemon waits for the answer.
            session: SessionId,
            /// The request.
            request: TablesRequest,
        },
        /// A reader was asked for tables of the store.
        TablesTold {
            /// The answer; none if there was none.
            told: Option<ToldTables>,
            /// When the request was sent.
            sent: Instant,
        },
        /// The list of backend servers was read from the store.
        Servers {
            /// The list; none if the store did not answer.
            list: Option<Vec<ServerRecord>>,
            /// When the read was sent.
            sent: Instant,
        },
        /// The list of backend servers was read, and these entries can't be used.
        UnreadableServers(Vec<UnreadableRow>),
        /// The store answers in a later era than before: it has come back from an older copy of its rows.
        StoreEra(StoreEra),
        /// The leaders that the store names were read, or have changed.
        Leaders(LeaderTable),
        /// The permissions of all daemons were read from the store.
        Permissions {
            /// The permissions; none if the store did not answer.
            table: Option<PermissionTable>,
            /// When the read was sent.
            sent: Instant,
        },
        /// A conditional write to the store has ended.
        Written(Written),
        /// The platform answered a request to promote a server.
        Promoted {
            /// The service whose server was to be promoted.
            service: ServiceName,
            /// The platform's answer.
            outcome: PromoteOutcome,
        },
        /// Another daemon asks this one, as the coordinator, for a grant: a promise to name no
        /// other leader for a while.
        GrantAsked {
            /// The connection on which the other daemon waits for the answer.
            session: SessionId,
            /// The daemon that asks.
            vm: VmId,
            /// The store version of the last change of a leader that the other daemon knows.
            generation: RowVersion,
            /// The servers that the other daemon has connections to.
            servers: Vec<ServerId>,
        },
        /// The coordinator answered this daemon's request for a grant.
        Granted {
            /// The store version of the last change of a leader that this daemon knew when it
            /// asked.
            generation: RowVersion,
            /// Which of the servers that this daemon has connections to stay.
            staying: StayingServers,
            /// How long the grant lasts, counted from `sent`; zero if the coordinator refused.
            length: Duration,
            /// When the request was sent.
            sent: Instant,
        },
        /// A read of the leaders has shown who the coordinator is.
        CoordinatorRead {
            /// The coordinator and its row's version; none if there is no coordinator.
            coordinator: Option<(CoordinatorRecord, RowVersion)>,
            /// When the read was sent.
            sent: Instant,
        },
        /// Another daemon asks this one, as the coordinator, for shares of accounts' limits.
        ShareRequested {
            /// The connection on which the other daemon waits for the answer.
            session: SessionId,
            /// The request.
            request: ShareRequest,
        },
        /// The coordinator answered this daemon's request for shares.
        ShareAnswered(ShareAnswer),
        /// The process was asked to stop.
        Drain {
            /// The time from now until the process is killed.
            grace: Duration,
        },
    }

    /// The progress of the watch of the operator's configuration.
    pub enum CatalogWatch {
        /// The store returned the configuration, or said that it has not changed.
        Answered {
            /// The earliest time at which the store can have given that answer.
            at: Instant,
            /// Whether the store's configuration could be decoded.
            is_valid: bool,
        },
        /// The store did not answer, or refused.
        Failed,
    }

    /// An event of a client connection, served here or forwarded to another daemon.
    pub enum ClientEvent {
        /// A client has named its database.
        Opened {
            /// The new session.
            session: SessionId,
            /// The database that the client named.
            database: Text,
            /// The digest of the client's key; none if the client gave none.
            key: Option<KeyDigest>,
            /// The configuration version of the daemon that forwarded the session; none if the
            /// client connected to this daemon.
            forwarder_version: Option<u64>,
        },
        /// The daemon that a session was to be forwarded to did not accept it.
        RelayFailed {
            /// The session that was to be forwarded.
            session: SessionId,
            /// Whether the other VM answered, by refusing the session or the connection; false if
            /// it could not be reached.
            is_refused: bool,
        },
        /// The other daemon closed a forwarded session.
        RelayLost {
            /// The forwarded session.
            session: SessionId,
        },
        /// A client sent statements on a forwarded session.
        RelayQuery {
            /// The forwarded session.
            session: SessionId,
            /// The client's identifier of the first of these statements.
            request: Text,
            /// Whether one of them may write or commit, so that the client can't repeat it.
            may_write: bool,
        },
        /// The other daemon answered on a forwarded session.
        RelayAnswered {
            /// The forwarded session.
            session: SessionId,
            /// The session's transaction status after the answer.
            status: TransactionStatus,
        },
        /// A client sent a statement on a session that is served here.
        Query {
            /// The session that sent the statement.
            session: SessionId,
            /// The statement.
            query: Query,
        },
        /// A client has closed its connection or is lost.
        Closed {
            /// The session of that client.
            session: SessionId,
        },
    }

    /// An event of a connection to a backend server.
    pub enum ServerEvent {
        /// The connection is open.
        Connected {
            /// The connection that was opened.
            connection: ConnectionId,
            /// The last position of the server's log then; none if the server told none.
            position: Option<TermPosition>,
        },
        /// The connection could not be opened.
        ConnectFailed {
            /// The connection that was to be opened.
            connection: ConnectionId,
            /// The cause.
            failure: ConnectFailure,
        },
        /// The server answered the oldest outstanding request of the connection.
        Replied {
            /// The connection that carried the answer.
            connection: ConnectionId,
            /// The answer.
            reply: Reply,
            /// The server's status; none if it was not requested or the answer could not be parsed.
            status: Option<ServerStatus>,
        },
        /// The connection broke, or the server sent a malformed message.
        Lost {
            /// The connection that was lost.
            connection: ConnectionId,
        },
    }

    /// The cause why a connection to a backend server could not be opened.
    pub enum ConnectFailure {
        /// The server has reached its connection limit.
        Limit,
        /// Another server answers at the address.
        Misrouted,
        /// Nothing listens at the address, or the server refused the connection for a cause other
        /// than those above.
        Refused,
        /// The server did not answer in time, or the connection broke while it was being opened.
        Silent,
    }

    /// The outcome of a conditional write to the store.
    pub struct Written {
        /// The write.
        pub write: crate::StoreWrite,
        /// When the write was sent.
        pub sent: Instant,
        /// The outcome.
        pub outcome: WriteOutcome,
    }

    /// The outcome of a conditional write.
    pub enum WriteOutcome {
        /// The write was done.
        Done {
            /// The store version of the written rows.
            version: RowVersion,
            /// The store's clock at the write.
            now: StoreTime,
        },
        /// A condition did not hold, and nothing was written.
        Conflict {
            /// The current row version of this daemon's permission, if that was one of the
            /// conditions.
            permission_version: Option<RowVersion>,
            /// The store's clock at the answer.
            now: StoreTime,
        },
        /// No answer arrived: the write may have been done, or may still be done while its
        /// conditions hold.
        Unknown,
    }

    /// The platform's answer to a request to promote a server.
    pub enum PromoteOutcome {
        /// The request was accepted; the server becomes the primary soon.
        Accepted,
        /// The server is not running.
        NotRunning,
        /// The platform refused the request for now; nothing was done.
        Refused,
        /// No answer arrived; the server may have been promoted, or may be later.
        Unknown,
    }
}
