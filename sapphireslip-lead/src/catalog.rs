//! The operator's configuration: which database leads to which service, and under which bounds.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{ServiceName, Text, data};

data! {
    /// One version of the operator's configuration, in full.
    pub struct Catalog {
        /// The version; a higher one replaces a lower one.
        pub version: u64,
        /// The routes by the name of the database that callers give.
        pub routes: BTreeMap<Text, Route>,
        /// The services.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// How long a transaction may rest between statements.
        pub transaction_idle: Duration,
    }

    /// Where the statements of a database go.
    pub struct Route {
        /// The service whose group serves them.
        pub service: ServiceName,
        /// How fresh reads have to be.
        pub freshness: Freshness,
        /// The time that one statement may take.
        pub timeout: Duration,
        /// The time within which a whole operation should be answered.
        pub target: Duration,
        /// The rank among waiting requests: 0 goes first.
        pub priority: u8,
    }

    /// How fresh the reads of a route have to be.
    pub enum Freshness {
        /// They see every acknowledged write.
        Primary,
        /// They see every write acknowledged longer ago than this.
        Bounded(Duration),
        /// As `Bounded`, and all writes of their own session.
        OwnWrites(Duration),
    }

    /// A service: one group of backend servers.
    pub struct ServiceSpec {
        /// The most connections that one server takes from everyone together.
        pub connections: usize,
    }
}

impl Freshness {
    /// Returns how old reads may be; none if they go to the primary.
    #[must_use]
    pub const fn max_staleness(&self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Bounded(age) | Self::OwnWrites(age) => Some(*age),
        }
    }
}
