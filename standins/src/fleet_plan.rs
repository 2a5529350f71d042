//! What a fleet of daemons with its surroundings should look like.

use std::time::Duration;

use crate::DaemonProgram;

/// A plan of daemons, databases and the platform; [`Fleet::start`](crate::Fleet::start) builds it.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub(crate) program: DaemonProgram,
    pub(crate) user: String,
    pub(crate) verifier: String,
    pub(crate) zones: Vec<String>,
    pub(crate) daemons_per_zone: usize,
    pub(crate) databases: Vec<String>,
    pub(crate) connections: usize,
    pub(crate) max_staleness: Duration,
    pub(crate) deadline: Duration,
    pub(crate) drain_bound: Duration,
    pub(crate) lag: Duration,
    pub(crate) service_time: Duration,
    pub(crate) is_platform_up: bool,
    pub(crate) log_level: &'static str,
}

impl FleetPlan {
    /// Returns a plan of three zones with a daemon each and one database of three servers; callers
    /// connect as `caller` with the password of the SCRAM verifier.
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

    /// Sets the zones; the servers of each group are spread over them.
    #[must_use]
    pub fn zones(mut self, names: &[&str]) -> Self {
        self.zones = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Sets how many daemons each zone has.
    #[must_use]
    pub const fn daemons_per_zone(mut self, count: usize) -> Self {
        self.daemons_per_zone = count;
        self
    }

    /// Sets the databases, each with a group of three servers and a service of its own.
    #[must_use]
    pub fn databases(mut self, names: &[&str]) -> Self {
        self.databases = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Sets the most connections that one server takes.
    #[must_use]
    pub const fn connections(mut self, count: usize) -> Self {
        self.connections = count;
        self
    }

    /// Sets the oldest data that a read may return.
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

    /// Sets how long open transactions may go on once a daemon drains.
    #[must_use]
    pub const fn drain_bound(mut self, bound: Duration) -> Self {
        self.drain_bound = bound;
        self
    }

    /// Sets how far the replicas' reads lag behind.
    #[must_use]
    pub const fn lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the time that each statement takes at a server at least.
    #[must_use]
    pub const fn service_time(mut self, time: Duration) -> Self {
        self.service_time = time;
        self
    }

    /// Logs no more than a site does, for measurements of time.
    #[must_use]
    pub const fn quiet(mut self) -> Self {
        self.log_level = "info";
        self
    }

    /// Starts with the platform down.
    #[must_use]
    pub const fn platform_down(mut self) -> Self {
        self.is_platform_up = false;
        self
    }
}
