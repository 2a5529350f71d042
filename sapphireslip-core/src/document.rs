//! A member's service document, checked.

use std::net::SocketAddr;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{CallerName, DatabaseName, MemberName, ServerId, ServiceName, Text, ZoneName};

key! {
    /// The number of a document's version; each accepted change raises it by one.
    #[derive(Default)]
    pub struct Generation(pub u64);

    /// The platform's count of accepted changes over all documents.
    #[derive(Default)]
    pub struct ChangeCount(pub u64);
}

data! {
    /// A service, as its document declares it.
    pub struct Document {
        /// The member that owns the service.
        pub member: MemberName,
        /// The service.
        pub service: ServiceName,
        /// The version of the document.
        pub generation: Generation,
        /// Who may connect.
        pub callers: Vec<CallerAccount>,
        /// The databases that the service uses and owns.
        pub databases: Vec<DatabaseSpec>,
        /// What the service may use at the most.
        pub limits: ServiceLimits,
        /// How the service may be stopped.
        pub stop: StopPolicy,
    }

    /// A user name with its password verifier.
    pub struct CallerAccount {
        /// The user name.
        pub name: CallerName,
        /// The SCRAM-SHA-256 verifier, opaque to the core.
        pub verifier: Text,
    }

    /// A database and the group of backend servers behind it.
    pub struct DatabaseSpec {
        /// The database.
        pub name: DatabaseName,
        /// The servers of its group.
        pub servers: Vec<ServerSpec>,
        /// The availability zones that have a home for it.
        pub zones: Vec<ZoneName>,
        /// The most connections that one server takes from all homes together.
        pub connections: u32,
        /// The oldest data that a read may return; zero sends every read to the primary.
        pub max_staleness: Duration,
        /// The time within which a statement gets its final answer.
        pub deadline: Duration,
    }

    /// One backend server.
    pub struct ServerSpec {
        /// The server.
        pub id: ServerId,
        /// Where it stands.
        pub zone: ZoneName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Whether it is to get no new work.
        pub leaving: bool,
    }

    /// What a service may use of each daemon at the most.
    pub struct ServiceLimits {
        /// Sessions open at one entry daemon.
        pub sessions: u32,
        /// Requests queued for one database at its home.
        pub queued: u32,
    }

    /// How a service may be stopped.
    pub struct StopPolicy {
        /// How long open transactions may go on once a stop has begun.
        pub bound: Duration,
    }

    /// A document as the platform keeps it: accepted, and with its place among all changes.
    pub struct AcceptedDocument {
        /// The member that owns it.
        pub member: MemberName,
        /// The service.
        pub service: ServiceName,
        /// Its version.
        pub generation: Generation,
        /// The platform's count of changes when it was accepted.
        pub change: ChangeCount,
        /// The text, in TOML.
        pub text: Text,
    }
}
