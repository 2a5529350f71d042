//! The checked form of a service document, by which a member declares one of its services.

use std::net::SocketAddr;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{DatabaseName, MemberName, ServerId, ServiceName, Text, UserName, ZoneName};

key! {
    /// The version number of one service document, from 1 on; each accepted change raises it by
    /// one.
    #[derive(Default)]
    pub struct Generation(pub u64);

    /// The number of changes that the platform has accepted over all documents.
    #[derive(Default)]
    pub struct ChangeCount(pub u64);
}

data! {
    /// The declaration of one service: its databases, users and limits.
    pub struct Document {
        /// The member that owns the service.
        pub member: MemberName,
        /// The name of the declared service.
        pub service: ServiceName,
        /// The version of the document.
        pub generation: Generation,
        /// The users that may connect to the service's databases.
        pub users: Vec<UserAccount>,
        /// The databases that the service uses and owns.
        pub databases: Vec<DatabaseSpec>,
        /// The limits on the service's use of each daemon.
        pub limits: ServiceLimits,
        /// The rules for a graceful stop.
        pub stop: StopPolicy,
    }

    /// A user that clients log in as: its name and password verifier.
    pub struct UserAccount {
        /// The user name that the client connects with.
        pub name: UserName,
        /// The SCRAM-SHA-256 verifier of the password, opaque to this crate.
        pub verifier: Text,
    }

    /// A database and the group of backend servers that hold it.
    pub struct DatabaseSpec {
        /// The name of the database.
        pub name: DatabaseName,
        /// The backend servers of the database's group.
        pub servers: Vec<ServerSpec>,
        /// The availability zones that have a home for the database: a daemon that keeps the
        /// connections to its servers and runs its requests.
        pub zones: Vec<ZoneName>,
        /// The maximum number of connections that all homes together may open to one server.
        pub connections: u32,
        /// The maximum age of the data that a read may return; zero sends every read to the
        /// primary.
        pub max_staleness: Duration,
        /// The time from the arrival of a statement within which the client gets its final answer.
        pub deadline: Duration,
    }

    /// One backend server of a database group.
    pub struct ServerSpec {
        /// The name of the server, unique in the document.
        pub id: ServerId,
        /// The availability zone in which the server runs.
        pub zone: ZoneName,
        /// The IP address and port on which the server accepts connections.
        pub address: SocketAddr,
        /// Whether the server is about to be removed and must get no new work.
        pub leaving: bool,
    }

    /// The limits on what one service may use of each daemon.
    pub struct ServiceLimits {
        /// The maximum number of sessions open at one entry daemon.
        pub sessions: u32,
        /// The maximum number of requests queued for one database at its home.
        pub queued: u32,
    }

    /// The rules for a graceful stop of a service.
    pub struct StopPolicy {
        /// The maximum time that open transactions may continue after a stop has begun.
        pub bound: Duration,
    }

    /// A document as the platform stores it: its text and its position among all accepted changes.
    pub struct AcceptedDocument {
        /// The member that owns the service.
        pub member: MemberName,
        /// The service that the document declares.
        pub service: ServiceName,
        /// The version of the document.
        pub generation: Generation,
        /// The platform's change count at which the document was accepted, this change included.
        pub change: ChangeCount,
        /// The text of the document, in TOML.
        pub text: Text,
    }
}
