//! A steady clock that counts the time during which the machine was suspended.

use std::io;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use sapphireslip_core::Instant;

/// The clock, counted from the start of the daemon.
///
/// Permissions run out while a machine is suspended, so that the clock which stands still then
/// can't be used for them.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Starts counting.
    ///
    /// # Errors
    ///
    /// The system has no such clock.
    ///
    /// ```
    /// let clock = sapphireslipd::BootClock::start()?;
    /// assert!(clock.now() <= clock.now());
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start() -> io::Result<Self> {
        let start = clock_gettime(ClockId::CLOCK_BOOTTIME)?.into();
        Ok(Self { start })
    }

    /// Returns the time since the start.
    ///
    /// # Panics
    ///
    /// The clock, which could be read at the start, can't be read any more.
    #[must_use]
    pub fn now(&self) -> Instant {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the clock could be read before");
        Instant {
            since_start: Duration::from(now).saturating_sub(self.start),
        }
    }
}
