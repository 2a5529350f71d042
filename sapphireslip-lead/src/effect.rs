//! Everything that the reducer can ask for, as data.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{ConnectionId, ServerId, ServiceName, SessionId, Text, VmId, data};

use crate::{
    CoordinatorRecord, Failure, LeaderRecord, PermissionRecord, Record, Reply, RowVersion, Shape,
    TermPosition,
};

data! {
    /// An effect; the daemon carries them out in order.
    pub enum Effect {
        /// Tell a caller that its session is open.
        Welcome {
            /// The session.
            session: SessionId,
        },
        /// Pass a session on to another daemon.
        Relay {
            /// The session.
            session: SessionId,
            /// Where the other daemon takes such sessions.
            address: SocketAddr,
            /// The database.
            database: Text,
            /// The version of this daemon's configuration.
            version: u64,
        },
        /// Give a caller the answer to its statement.
        Answer {
            /// The session.
            session: SessionId,
            /// The answer.
            reply: Reply,
        },
        /// End a session.
        CloseSession {
            /// The session.
            session: SessionId,
            /// What to tell the caller first.
            failure: Option<Failure>,
        },
        /// End a session once every statement that has been read from its caller is answered.
        CloseWhenIdle {
            /// The session.
            session: SessionId,
        },
        /// Open a connection to a backend server.
        Connect {
            /// The connection.
            connection: ConnectionId,
            /// Where the server is.
            address: SocketAddr,
            /// The service that is expected there.
            service: ServiceName,
            /// The server that is expected there.
            server: ServerId,
        },
        /// Send requests on a connection.
        Send {
            /// The connection.
            connection: ConnectionId,
            /// The requests; each gets one answer, in order.
            requests: Vec<ServerRequest>,
        },
        /// Close a connection.
        Disconnect {
            /// The connection.
            connection: ConnectionId,
        },
        /// Read the list of backend servers.
        ReadServers,
        /// Read all leads.
        ReadLeads,
        /// Read all permissions.
        ReadPermits,
        /// Write to the store under conditions.
        Write(StoreWrite),
        /// Ask the holder of the duty to name no other leader for a while.
        AskGrant {
            /// Where the holder takes questions of other daemons.
            address: SocketAddr,
            /// The version of the last change of a lead.
            generation: RowVersion,
        },
        /// Answer a daemon that asked so, and close its connection.
        Grant {
            /// The connection.
            session: SessionId,
            /// For how long; zero to refuse.
            length: Duration,
        },
        /// Ask the platform to promote a server.
        Promote {
            /// The service.
            service: ServiceName,
            /// The server.
            server: ServerId,
            /// The daemon that holds the duty.
            holder: VmId,
            /// The fencing token: the version at which the holder took the duty.
            token: RowVersion,
        },
        /// Write a line to the log.
        Log(Record),
        /// End the process.
        Exit,
    }

    /// A request to a backend server.
    pub enum ServerRequest {
        /// Begins a transaction.
        Begin {
            /// Whether it only reads.
            reads_only: bool,
            /// The record that the server's log must hold.
            floor: Option<TermPosition>,
        },
        /// Rolls the open transaction back.
        Rollback,
        /// Forgets the connection's values and prepared statements.
        Reset,
        /// Asks for the server's status.
        Status,
        /// Sets a value.
        Set {
            /// Its name.
            name: Text,
            /// The value.
            value: Text,
        },
        /// Prepares a statement.
        Prepare {
            /// The number by which this daemon names the shape on all connections.
            number: u32,
            /// What to prepare.
            shape: Shape,
        },
        /// A caller's statement, with its text unchanged.
        Forward {
            /// The caller's identifier.
            id: Text,
            /// The record that the server's log must hold.
            floor: Option<TermPosition>,
            /// The text.
            text: Text,
        },
        /// A caller's prepared statement.
        Execute {
            /// The caller's identifier.
            id: Text,
            /// The record that the server's log must hold.
            floor: Option<TermPosition>,
            /// The number of the shape.
            number: u32,
            /// The rest of the text.
            arguments: Text,
        },
    }

    /// A leader that is to be named in the store.
    pub struct NamedLead {
        /// The service.
        pub service: ServiceName,
        /// Who is to lead.
        pub record: LeaderRecord,
        /// The version of the present row; 0 if there is none.
        pub lead: RowVersion,
    }

    /// A write to the store, done only if all rows named as conditions have the given versions.
    pub enum StoreWrite {
        /// Prolongs this daemon's permission, if no lead has changed.
        Permit {
            /// The permission.
            record: PermissionRecord,
            /// The version of the present row; 0 if there is none.
            permit: RowVersion,
            /// The version of the last change of a lead; none for a row that permits nothing.
            generation: Option<RowVersion>,
        },
        /// Gives this daemon's permission back.
        DropPermit {
            /// The daemon.
            vm: VmId,
            /// The version of the present row.
            permit: RowVersion,
        },
        /// Takes the duty of promotions, or gives it back.
        Duty {
            /// The new holder; none gives the duty back.
            record: Option<CoordinatorRecord>,
            /// The version of the present row; 0 if there is none.
            duty: RowVersion,
            /// The last holder and the version of its permission, which was seen to have ended;
            /// version 0 if it has none.
            ended: Option<(VmId, RowVersion)>,
        },
        /// Names leaders, all of them or none.
        Leads {
            /// The leaders.
            named: Vec<NamedLead>,
            /// The version of the duty's row.
            duty: RowVersion,
            /// The version of the last change of a lead.
            generation: RowVersion,
        },
    }
}
