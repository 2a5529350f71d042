//! The hybrid logical clock, which orders timeline entries of different daemons.

use std::fmt::{self, Debug, Formatter};
use std::time::Duration;

use sapphireslip_core::Incarnation;
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// How far a peer's time may be ahead of this daemon's wall clock to be merged.
const PEER_TIME_AHEAD_MAX: Duration = Duration::from_secs(60);

/// A clock that never goes back and is always ahead of every time that was merged into it.
pub struct HybridClock {
    hlc: HLC,
    /// The identifier of this run of the daemon in timestamps; also given to merged times.
    id: ID,
}

impl HybridClock {
    /// Returns a clock for one run of a daemon.
    ///
    /// ```
    /// use sapphireslip_core::Incarnation;
    /// use sapphireslipd::HybridClock;
    /// let clock = HybridClock::new(Incarnation(7));
    /// assert!(clock.tick() < clock.tick());
    /// ```
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        let id = ID::try_from(incarnation.0.max(1)).expect("a number above 0 is an identifier");
        let builder = HLCBuilder::new()
            .with_id(id)
            .with_max_delta(PEER_TIME_AHEAD_MAX);
        Self {
            hlc: builder.build(),
            id,
        }
    }

    /// Returns a 64-bit NTP time that is later than all times returned or merged before.
    #[must_use]
    pub fn tick(&self) -> u64 {
        self.hlc.new_timestamp().get_time().as_u64()
    }

    /// Merges a 64-bit NTP time received from a peer; ignores it if it is more than 60 seconds
    /// ahead of the wall clock.
    pub fn merge(&self, time: u64) {
        let heard = Timestamp::new(NTP64(time), self.id);
        if let Err(err) = self.hlc.update_with_timestamp(&heard) {
            log::debug!("ignoring the time of a peer: {err}");
        }
    }
}

impl Debug for HybridClock {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("HybridClock").finish_non_exhaustive()
    }
}

/// Converts a 64-bit NTP time to the time since the Unix epoch.
///
/// ```
/// assert_eq!(sapphireslipd::ntp_to_unix(5 << 32).as_secs(), 5);
/// ```
#[must_use]
pub fn ntp_to_unix(time: u64) -> Duration {
    NTP64(time).to_duration()
}

/// Converts a time since the Unix epoch to a 64-bit NTP time.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(sapphireslipd::unix_to_ntp(Duration::from_secs(5)), 5 << 32);
/// ```
#[must_use]
pub fn unix_to_ntp(unix: Duration) -> u64 {
    NTP64::from(unix).as_u64()
}
