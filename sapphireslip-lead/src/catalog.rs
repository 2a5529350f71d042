//! The operator's configuration: which service serves each database, and with which limits.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{ServiceName, Text, data};

use crate::Accounts;

data! {
    /// One complete version of the operator's configuration.
    pub struct Catalog {
        /// The version number; a higher version replaces a lower one.
        pub version: u64,
        /// The route of each database, by the name that clients give.
        pub routes: BTreeMap<Text, Route>,
        /// The services and their limits.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// How long a transaction that holds a server connection may be idle between statements
        /// before it is rolled back.
        pub transaction_idle: Duration,
        /// The client accounts, and whether clients need a key.
        pub accounts: Accounts,
    }

    /// What a daemon tells another one of its configuration.
    pub struct ToldCatalog {
        /// The version of the configuration; none if the daemon has none.
        pub version: Option<u64>,
        /// How long ago that version was the newest for certain; none if that is not known.
        pub age: Option<Duration>,
        /// The configuration, if the other daemon's is older.
        pub newer: Option<Catalog>,
    }

    /// How the statements of a database are served.
    pub struct Route {
        /// The service whose servers run the statements.
        pub service: ServiceName,
        /// How fresh the reads have to be.
        pub freshness: Freshness,
        /// The longest time that one statement may take.
        pub timeout: Duration,
        /// The time within which a client's whole operation should be answered.
        pub target_latency: Duration,
        /// The priority among waiting statements: 0 goes first.
        pub priority: u8,
        /// Whether clients need no key.
        pub is_public: bool,
    }

    /// How fresh the reads of a route have to be.
    pub enum Freshness {
        /// Reads see every acknowledged write.
        Primary,
        /// Reads see every write that was acknowledged longer ago than this age.
        Bounded(Duration),
        /// Reads see what they would see under `Bounded`, and all writes of their own session.
        OwnWrites(Duration),
    }

    /// A service: one group of backend servers.
    #[derive(Default)]
    pub struct ServiceSpec {
        /// The most connections that one server accepts from all daemons together.
        pub connections: usize,
        /// How many replicas have received a commit before the primary acknowledges it.
        pub sync_replicas: usize,
    }
}

impl Freshness {
    /// Returns how old the data of a read may be; none if reads go to the primary.
    #[must_use]
    pub const fn max_staleness(&self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Bounded(age) | Self::OwnWrites(age) => Some(*age),
        }
    }
}
