//! What backend servers say of themselves in the store.

use std::net::SocketAddr;

use sapphireslip_core::{ServerId, ServiceName, ZoneName, data, key};

data! {
    /// A backend server as it registered itself.
    pub struct ServerRecord {
        /// Its identifier.
        pub id: ServerId,
        /// The service whose data it has.
        pub service: ServiceName,
        /// Where it takes connections; may be used again by another server later.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// How many statements it runs at a time.
        pub slots: usize,
        /// Whether it is about to leave.
        pub is_draining: bool,
        /// How it sees itself; out of date by up to a heartbeat, or more after a crash.
        pub role: Role,
        /// When it started, in milliseconds since the Unix epoch; tells two runs under one
        /// identifier apart.
        pub born: u64,
    }

    /// A server's answer to a request for its status.
    pub struct ServerStatus {
        /// Its role.
        pub role: Role,
        /// The highest term that it holds to.
        pub term: crate::Term,
        /// The last record that it has received.
        pub received: crate::TermPosition,
    }
}

key! {
    /// The role of a backend server in its group.
    pub enum Role {
        /// It takes writes.
        Primary,
        /// It follows the primary.
        Replica,
    }
}
