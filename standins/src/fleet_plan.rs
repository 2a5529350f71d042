//! Describes the daemons, databases and platform of a fleet.

use std::time::Duration;

use crate::DaemonProgram;

/// The description of a fleet, which [`Fleet::start`](crate::Fleet::start) starts.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The command that starts a daemon.
    pub(crate) program: DaemonProgram,
    /// The name of the user that all documents allow.
    pub(crate) user: String,
    /// The SCRAM verifier of the user's password.
    pub(crate) verifier: String,
    /// The names of the availability zones.
    pub(crate) zones: Vec<String>,
    /// The number of daemons in each zone.
    pub(crate) daemons_per_zone: usize,
    /// The names of the databases.
    pub(crate) databases: Vec<String>,
    /// The most ordinary connections that one server accepts at once, and the limit that the
    /// documents give the daemons.
    pub(crate) connections: usize,
    /// The greatest age of the data that a read may return.
    pub(crate) max_staleness: Duration,
    /// The time within which a statement gets its final answer.
    pub(crate) deadline: Duration,
    /// How long open transactions may continue after a daemon has begun to drain.
    pub(crate) drain_bound: Duration,
    /// The time from a replica's receipt of a record until its reads see it.
    pub(crate) lag: Duration,
    /// The least execution time of each statement at a server.
    pub(crate) service_time: Duration,
    /// Whether the platform serves calls when the daemons start.
    pub(crate) is_platform_up: bool,
    /// The daemons' log level.
    pub(crate) log_level: &'static str,
}

impl FleetPlan {
    /// Creates a plan with three zones, one daemon in each of them, and one database with three
    /// servers. Clients connect as `user` with the password that the SCRAM verifier belongs to.
    ///
    /// ```
    /// use standins::{DaemonProgram, FleetPlan};
    /// let program = DaemonProgram { path: "sapphireslipd".into(), arguments: Vec::new() };
    /// let plan = FleetPlan::new(program, "till", "SCRAM-SHA-256$...").daemons_per_zone(2);
    /// # let _ = plan;
    /// ```
    #[must_use]
    pub fn new(program: DaemonProgram, user: &str, verifier: &str) -> Self {
        Self {
            program,
            user: user.to_owned(),
            verifier: verifier.to_owned(),
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            daemons_per_zone: 1,
            databases: vec!["stock".to_owned()],
            connections: 16,
            max_staleness: Duration::from_secs(10),
            deadline: Duration::from_secs(5),
            drain_bound: Duration::from_secs(5),
            lag: Duration::from_millis(5),
            service_time: Duration::ZERO,
            is_platform_up: true,
            log_level: "debug",
        }
    }

    /// Sets the availability zones; the servers of each group are spread over them in turn.
    #[must_use]
    pub fn zones(mut self, names: &[&str]) -> Self {
        self.zones = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Sets the number of daemons in each zone.
    #[must_use]
    pub const fn daemons_per_zone(mut self, count: usize) -> Self {
        self.daemons_per_zone = count;
        self
    }

    /// Sets the databases; each one has its own service and its own group of three servers.
    #[must_use]
    pub fn databases(mut self, names: &[&str]) -> Self {
        self.databases = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Sets the most ordinary connections that one server accepts at once; the documents give the
    /// daemons the same limit.
    #[must_use]
    pub const fn connections(mut self, count: usize) -> Self {
        self.connections = count;
        self
    }

    /// Sets the greatest age of the data that a read may return.
    #[must_use]
    pub const fn max_staleness(mut self, age: Duration) -> Self {
        self.max_staleness = age;
        self
    }

    /// Sets the time within which a statement gets its final answer.
    #[must_use]
    pub const fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets how long open transactions may continue after a daemon has begun to drain.
    #[must_use]
    pub const fn drain_bound(mut self, bound: Duration) -> Self {
        self.drain_bound = bound;
        self
    }

    /// Sets the time from a replica's receipt of a record until its reads see it.
    #[must_use]
    pub const fn lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the least execution time of each statement at a server.
    #[must_use]
    pub const fn service_time(mut self, time: Duration) -> Self {
        self.service_time = time;
        self
    }

    /// Sets the log level to `info`, as in production, so that logging does not distort time
    /// measurements.
    #[must_use]
    pub const fn quiet(mut self) -> Self {
        self.log_level = "info";
        self
    }

    /// Makes the platform refuse all calls when the daemons start.
    #[must_use]
    pub const fn platform_down(mut self) -> Self {
        self.is_platform_up = false;
        self
    }
}
