//! What backend servers register in the store and report of their status.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{ServerId, ServiceName, ZoneName, data, key};

data! {
    /// A backend server as it registered itself in the store.
    pub struct ServerRecord {
        /// The identifier of the server.
        pub id: ServerId,
        /// The service whose data the server holds.
        pub service: ServiceName,
        /// The address where the server accepts connections. Another server may use it later.
        pub address: SocketAddr,
        /// The availability zone of the server.
        pub zone: ZoneName,
        /// The number of statements that the server runs at a time.
        pub slots: usize,
        /// Whether the server is about to leave, so that it should get no new work.
        pub is_draining: bool,
        /// The role that the server registered. It is out of date by up to a heartbeat, or by more
        /// after a crash.
        pub role: Role,
        /// When the server started, in milliseconds since the Unix epoch. It distinguishes two runs
        /// under one identifier.
        pub born: u64,
        /// The count of the server's reports since its start. An older copy of the store shows an earlier
        /// report than the server has made.
        pub sequence: u64,
    }

    /// Servers of which one daemon tells another that they stay.
    #[derive(Default)]
    pub struct StayingServers {
        /// The time since the list that shows it was asked for.
        pub age: Duration,
        /// The servers that are in that list and are not draining.
        pub servers: Vec<ServerId>,
    }

    /// A server's answer to a request for its status.
    pub struct ServerStatus {
        /// The present role of the server.
        pub role: Role,
        /// The highest term that the server has accepted.
        pub term: crate::Term,
        /// The position of the last record that the server has received.
        pub received: crate::TermPosition,
    }
}

key! {
    /// The role of a backend server in its group.
    pub enum Role {
        /// The server accepts writes.
        Primary,
        /// The server receives the log of the primary.
        Replica,
    }
}
