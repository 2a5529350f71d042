//! The hybrid logical clock of one daemon.

use std::fmt::{self, Debug, Formatter};
use std::time::Duration;

use sapphireslip_core::Incarnation;
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// How far ahead of this daemon's clock a peer's time may lie to be taken over.
const PEER_TIME_AHEAD_MAX: Duration = Duration::from_secs(60);

/// A clock that never runs back and is always past what it has heard of.
pub struct HybridClock {
    hlc: HLC,
    id: ID,
}

impl HybridClock {
    /// Returns the clock of one run of a daemon.
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

    /// Returns a time later than all before, as a 64-bit NTP time.
    #[must_use]
    pub fn tick(&self) -> u64 {
        self.hlc.new_timestamp().get_time().as_u64()
    }

    /// Takes over a time heard from a peer, unless it lies too far ahead.
    pub fn merge(&self, time: u64) {
        let heard = Timestamp::new(NTP64(time), self.id);
        if let Err(err) = self.hlc.update_with_timestamp(&heard) {
            log::debug!("time of a peer: {err}");
        }
    }
}

impl Debug for HybridClock {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("HybridClock").finish_non_exhaustive()
    }
}

/// Returns the time since the Unix epoch of a 64-bit NTP time.
///
/// ```
/// assert_eq!(sapphireslipd::ntp_to_unix(5 << 32).as_secs(), 5);
/// ```
#[must_use]
pub fn ntp_to_unix(time: u64) -> Duration {
    NTP64(time).to_duration()
}

/// Returns a time since the Unix epoch as a 64-bit NTP time.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(sapphireslipd::unix_to_ntp(Duration::from_secs(5)), 5 << 32);
/// ```
#[must_use]
pub fn unix_to_ntp(unix: Duration) -> u64 {
    NTP64::from(unix).as_u64()
}
