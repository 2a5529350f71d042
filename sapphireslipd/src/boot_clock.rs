//! The boot-time clock, which also counts the time while the machine is suspended; its readings are
//! passed to `sapphireslip-lead`'s reducer.

use std::io;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use sapphireslip_core::Instant;

/// A boot-time clock (`CLOCK_BOOTTIME`) that counts from its start.
///
/// Permissions keep expiring while the machine is suspended, so they can't be measured with
/// `CLOCK_MONOTONIC`, which stops during that time.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// The time since the boot of the machine at which this clock was started.
    start: Duration,
}

impl BootClock {
    /// Returns a boot-time clock that counts from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no `CLOCK_BOOTTIME`.
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

    /// Returns the current time, counted from the start of the clock.
    ///
    /// # Panics
    ///
    /// Panics if `CLOCK_BOOTTIME`, which could be read at the start, can't be read any more.
    #[must_use]
    pub fn now(&self) -> Instant {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .expect("the boot-time clock could be read before");
        Instant {
            since_start: Duration::from(now).saturating_sub(self.start),
        }
    }
}
