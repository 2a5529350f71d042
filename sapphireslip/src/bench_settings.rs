//! The settings of a benchmark run and their validation.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{Error, Workload};

/// The highest rate in operations per second, so that no machine is flooded by mistake.
pub const RATE_MAX: u32 = 100_000;

/// The most sessions of a run.
pub const SESSIONS_MAX: u32 = 5_000;

/// The longest duration of a run.
pub const DURATION_MAX: Duration = Duration::from_secs(3_600);

/// The settings of a run as given on the command line, not yet validated.
#[derive(Clone, Debug)]
pub struct RawBenchSettings {
    /// The client address of each daemon.
    pub daemons: Vec<SocketAddr>,
    /// The admin addresses of the same daemons, to compute the share of reads by replicas.
    pub admin: Vec<SocketAddr>,
    /// The name of the database.
    pub database: String,
    /// The name of the user.
    pub user: String,
    /// The password of the user.
    pub password: String,
    /// The name of the workload.
    pub workload: String,
    /// The number of operations started per second.
    pub rate: u32,
    /// The number of concurrent sessions.
    pub sessions: u32,
    /// The duration of the run in seconds.
    pub seconds: u64,
    /// The seed of the random sequence of operations.
    pub seed: u64,
    /// The percentage of operations before which the session moves to the next daemon.
    pub roam_percent: u32,
}

/// The validated settings of a run.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// The client address of each daemon; at least one, all of them loopback addresses.
    pub daemons: Vec<SocketAddr>,
    /// The admin addresses of the same daemons; may be empty.
    pub admin: Vec<SocketAddr>,
    /// The name of the database.
    pub database: String,
    /// The name of the user.
    pub user: String,
    /// The password of the user.
    pub password: String,
    /// The workload to run.
    pub workload: Workload,
    /// The number of operations started per second, 1 to [`RATE_MAX`].
    pub rate: u32,
    /// The number of concurrent sessions, 1 to [`SESSIONS_MAX`].
    pub sessions: u32,
    /// The duration of the run, at most [`DURATION_MAX`].
    pub duration: Duration,
    /// The seed of the random sequence of operations.
    pub seed: u64,
    /// The percentage (0 to 100) of operations before which the session moves to the next daemon.
    pub roam_percent: u32,
}

impl TryFrom<RawBenchSettings> for BenchSettings {
    type Error = Error;

    fn try_from(raw: RawBenchSettings) -> Result<Self, Error> {
        let range = |name, value: u64, max: u64| {
            if value == 0 || value > max {
                return Err(Error::OutOfRange(name, value, max));
            }
            Ok(())
        };
        range("rate", raw.rate.into(), RATE_MAX.into())?;
        range("sessions", raw.sessions.into(), SESSIONS_MAX.into())?;
        range("seconds", raw.seconds, DURATION_MAX.as_secs())?;
        if raw.roam_percent > 100 {
            return Err(Error::OutOfRange(
                "roam-percent",
                raw.roam_percent.into(),
                100,
            ));
        }
        if raw.daemons.is_empty() {
            return Err(Error::NoDaemon);
        }
        if let Some(address) = raw
            .daemons
            .iter()
            .find(|address| !address.ip().is_loopback())
        {
            return Err(Error::NotLoopback(*address));
        }
        Ok(Self {
            daemons: raw.daemons,
            admin: raw.admin,
            database: raw.database,
            user: raw.user,
            password: raw.password,
            workload: raw.workload.parse()?,
            rate: raw.rate,
            sessions: raw.sessions,
            duration: Duration::from_secs(raw.seconds),
            seed: raw.seed,
            roam_percent: raw.roam_percent,
        })
    }
}
