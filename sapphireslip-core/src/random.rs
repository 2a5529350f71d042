//! A small pseudo-random generator with a given seed, so that every run can be repeated.

use std::time::Duration;

/// A seeded pseudo-random generator (`SplitMix64`), for jitter and choices among equals.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Random {
    /// The state of the generator, at first the seed.
    state: u64,
}

impl Random {
    /// Returns a generator that yields the same numbers for the same seed.
    ///
    /// ```
    /// use sapphireslip_core::Random;
    /// assert_eq!(Random::new(7).below(100), Random::new(7).below(100));
    /// ```
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64 pseudo-random bits.
    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    ///
    /// ```
    /// use sapphireslip_core::Random;
    /// assert!(Random::new(1).below(10) < 10);
    /// ```
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next() % bound }
    }

    /// Returns a duration between half of `base` and one and a half times `base`, so that daemons
    /// don't act in step.
    ///
    /// ```
    /// use sapphireslip_core::Random;
    /// use std::time::Duration;
    /// let delay = Random::new(1).jitter(Duration::from_millis(100));
    /// assert!(delay >= Duration::from_millis(50) && delay <= Duration::from_millis(150));
    /// ```
    pub fn jitter(&mut self, base: Duration) -> Duration {
        let micros = u64::try_from(base.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(micros / 2 + self.below(micros.saturating_add(1)))
    }
}
