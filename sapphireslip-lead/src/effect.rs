//! Effects: the outputs of the reducer, as data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphireslip_core::{
    AccountName, ConnectionId, ServerId, ServiceName, SessionId, Text, VmId, data,
};

use crate::{
    Confirmation, CoordinatorRecord, Failure, KeyDigest, LeaderRecord, NumberedShape,
    PermissionRecord, Record, Reply, RowVersion, ShapeNumber, ShareAnswer, ShareRequest,
    StayingServers, TablesRequest, TermPosition, ToldCatalog, ToldTables,
};

data! {
    /// An effect. The daemon carries out effects in order.
    pub enum Effect {
        /// Tells a client, or the daemon that forwarded the session, that its session is open.
        Welcome {
            /// The session that was opened.
            session: SessionId,
            /// Whether another daemon forwarded the session.
            is_forwarded: bool,
        },
        /// Answers the next statement of a session, served here or forwarded, with a failure that
        /// promises that it has not run, and closes the session. Statements that have been read are
        /// answered first, and a statement that ends a transaction still runs.
        RefuseNext {
            /// The session to be closed.
            session: SessionId,
            /// The failure.
            failure: Failure,
        },
        /// Forwards a session to another daemon.
        Relay {
            /// The session to forward.
            session: SessionId,
            /// The address at which the other daemon accepts forwarded sessions.
            address: SocketAddr,
            /// The database that the client named.
            database: Text,
            /// The digest of the client's key; none if the client gave none.
            key: Option<KeyDigest>,
            /// The version of this daemon's configuration.
            version: u64,
        },
        /// Sends a client the answer to its statement.
        Answer {
            /// The session that sent the statement.
            session: SessionId,
            /// The answer.
            reply: Reply,
        },
        /// Closes a session.
        CloseSession {
            /// The session to close.
            session: SessionId,
            /// The failure that the client is told first, if any.
            failure: Option<Failure>,
        },
        /// Closes a session once every statement that has been read from its client is answered.
        CloseWhenIdle {
            /// The session to close.
            session: SessionId,
        },
        /// Opens a connection to a backend server.
        Connect {
            /// The number of the new connection.
            connection: ConnectionId,
            /// The server's address.
            address: SocketAddr,
            /// The service that the server must belong to.
            service: ServiceName,
            /// The server that must answer at the address.
            server: ServerId,
            /// The client account that the server is told; none if the connection serves none.
            account: Option<AccountName>,
        },
        /// Sends requests on a connection.
        Send {
            /// The connection to send on.
            connection: ConnectionId,
            /// The requests; the server answers each of them once, in order.
            requests: Vec<ServerRequest>,
        },
        /// Closes a connection to a backend server.
        Disconnect {
            /// The connection to close.
            connection: ConnectionId,
        },
        /// Reads the list of backend servers from the store.
        ReadServers,
        /// Reads the leaders of all services from the store.
        ReadLeaders,
        /// Reads the permissions of all daemons from the store.
        ReadPermissions,
        /// Writes to the store under conditions.
        Write(StoreWrite),
        /// Asks the coordinator for a grant: a promise to name no other leader for a while.
        AskGrant {
            /// The address at which the coordinator accepts requests of other daemons.
            address: SocketAddr,
            /// The store version of the last change of a leader that this daemon knows.
            generation: RowVersion,
            /// The servers that this daemon has connections to.
            servers: Vec<ServerId>,
        },
        /// Answers a daemon that asked for a grant, and closes its connection.
        Grant {
            /// The connection on which the other daemon waits.
            session: SessionId,
            /// How long the grant lasts; zero refuses it.
            length: Duration,
            /// Which of the other daemon's servers stay.
            staying: StayingServers,
        },
        /// Asks the coordinator for shares of accounts' limits, on the connection that is kept open to
        /// it.
        RequestShares {
            /// The address at which the coordinator accepts requests of other daemons.
            address: SocketAddr,
            /// The request.
            request: ShareRequest,
        },
        /// Answers a daemon that asked for shares; its connection stays open.
        AnswerShares {
            /// The connection on which the other daemon waits.
            session: SessionId,
            /// The answer.
            answer: ShareAnswer,
        },
        /// Asks another daemon for a newer configuration.
        AskCatalog {
            /// The address at which that daemon accepts requests of other daemons.
            address: SocketAddr,
            /// The version of this daemon's configuration; none if it has none.
            version: Option<u64>,
        },
        /// Answers a daemon that asked for a newer configuration, and closes its connection.
        TellCatalog {
            /// The connection on which the other daemon waits.
            session: SessionId,
            /// The answer.
            told: ToldCatalog,
        },
        /// Asks a reader for tables of the store.
        AskTables {
            /// The address at which the reader accepts requests of other daemons.
            address: SocketAddr,
            /// The request.
            request: TablesRequest,
        },
        /// Answers a daemon that asked for tables, and closes its connection.
        TellTables {
            /// The connection on which the other daemon waits.
            session: SessionId,
            /// The answer.
            told: ToldTables,
        },
        /// Asks the platform to promote a server.
        Promote {
            /// The service that the server belongs to.
            service: ServiceName,
            /// The server to promote.
            server: ServerId,
            /// The coordinator, on whose behalf the request is made.
            coordinator: VmId,
            /// The fencing token: the store version at which the coordinator took its role.
            token: RowVersion,
        },
        /// Writes a record to the log.
        Log(Record),
        /// Ends the process.
        Exit,
    }

    /// A request to a backend server.
    pub enum ServerRequest {
        /// Begins a transaction.
        Begin {
            /// Whether the transaction only reads.
            reads_only: bool,
            /// The least log position that the server must have; none if any will do.
            floor: Option<TermPosition>,
        },
        /// Rolls back the open transaction.
        Rollback,
        /// Clears the connection's session variables and prepared statements.
        Reset,
        /// Requests the server's status.
        Status,
        /// Sets a session variable on the connection.
        Set {
            /// The variable's name.
            name: Text,
            /// The variable's value.
            value: Text,
        },
        /// Prepares a statement on the connection.
        Prepare {
            /// The statement to prepare, with the number that this daemon uses for it on all
            /// connections.
            shape: Arc<NumberedShape>,
        },
        /// Runs a client's statement, with its text unchanged.
        Forward {
            /// The client's identifier of the statement.
            id: Text,
            /// The least log position that the server must have; none if any will do.
            floor: Option<TermPosition>,
            /// The statement's text.
            text: Text,
        },
        /// Runs a prepared statement for a client.
        Execute {
            /// The client's identifier of the statement.
            id: Text,
            /// The least log position that the server must have; none if any will do.
            floor: Option<TermPosition>,
            /// The number of the prepared shape.
            number: ShapeNumber,
            /// The text after the prepared statement's name, unchanged.
            arguments: Text,
        },
    }

    /// A leader to be named in the store.
    pub struct NamedLeader {
        /// The service to be led.
        pub service: ServiceName,
        /// The new content of the service's row.
        pub record: LeaderRecord,
        /// The current version of the service's row; 0 if there is none.
        pub version: RowVersion,
    }

    /// A write to the store. It is done only if all rows that are its conditions have the stated
    /// versions.
    pub enum StoreWrite {
        /// Renews this daemon's permission, provided that no leader has changed and that the
        /// coordinator still has its role.
        RenewPermission {
            /// The new permission.
            record: PermissionRecord,
            /// The current version of the permission's row; 0 if there is none.
            permission_version: RowVersion,
            /// The store version of the last change of a leader; none for a row that gives no
            /// permission.
            generation: Option<RowVersion>,
            /// The current version of the row of the coordinator's role, if this daemon has the
            /// role.
            coordinator_version: Option<RowVersion>,
        },
        /// Gives up this daemon's permission.
        DropPermission {
            /// The daemon, by its VM.
            vm: VmId,
            /// The current version of the permission's row.
            permission_version: RowVersion,
        },
        /// Takes or gives up the coordinator's role.
        SetCoordinator {
            /// The new coordinator; none gives up the role.
            record: Option<CoordinatorRecord>,
            /// The current version of the role's row; 0 if there is none.
            coordinator_version: RowVersion,
            /// The previous coordinator and the row version of its permission, which was seen to
            /// have ended; version 0 if it has no permission. None if no other daemon held the
            /// role, or if the role is given up.
            ended: Option<(VmId, RowVersion)>,
        },
        /// Names leaders in the store, either all of them or none.
        NameLeaders {
            /// The leaders to name.
            leaders: Vec<NamedLeader>,
            /// The current version of the row of the coordinator's role.
            coordinator_version: RowVersion,
            /// The store version of the last change of a leader.
            generation: RowVersion,
            /// The era in which the leaders, these and the others, are confirmed; none in the first era,
            /// or if more leaders have to be written before they are.
            confirmation: Option<Confirmation>,
        },
    }
}
