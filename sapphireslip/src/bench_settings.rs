//! The settings of a run, checked.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{Error, Workload};

/// The most operations a second that a run may offer, so that no machine is flooded by mistake.
pub const RATE_MAX: u32 = 100_000;

/// The most sessions of a run.
pub const SESSIONS_MAX: u32 = 5_000;

/// The longest run.
pub const DURATION_MAX: Duration = Duration::from_secs(3_600);

/// What a run is asked to do, as given.
#[derive(Clone, Debug)]
pub struct RawBenchSettings {
    /// Daemons, each with the address on which it takes callers.
    pub daemons: Vec<SocketAddr>,
    /// Admin addresses of the same daemons, for the share of reads by replicas.
    pub admin: Vec<SocketAddr>,
    /// The database.
    pub database: String,
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
    /// The workload's name.
    pub workload: String,
    /// Operations offered a second.
    pub rate: u32,
    /// Sessions.
    pub sessions: u32,
    /// The length of the run in seconds.
    pub seconds: u64,
    /// The seed of the sequence of operations.
    pub seed: u64,
    /// The share in percent of operations before which the session moves to another daemon.
    pub roam_percent: u32,
}

/// What a run is asked to do, checked.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// Daemons, each with the address on which it takes callers.
    pub daemons: Vec<SocketAddr>,
    /// Admin addresses of the same daemons.
    pub admin: Vec<SocketAddr>,
    /// The database.
    pub database: String,
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
    /// The workload.
    pub workload: Workload,
    /// Operations offered a second.
    pub rate: u32,
    /// Sessions.
    pub sessions: u32,
    /// The length of the run.
    pub duration: Duration,
    /// The seed of the sequence of operations.
    pub seed: u64,
    /// The share in percent of operations before which the session moves to another daemon.
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
