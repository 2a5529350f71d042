//! A token bucket for a share of an account's limit.

use std::time::Duration;

use sapphireslip_core::{Instant, data};

use crate::RateLimit;

/// The whole of a limit, in the millionths in which shares are counted.
pub const WHOLE_SHARE: u32 = 1_000_000;

/// One token in the unit of a bucket's level: a thousandth of an operation, of a millionth of the
/// limit, for a microsecond.
const TOKEN: u128 = 1_000_000_000_000_000;

/// The factor from a thousandth of an operation of a millionth of the limit to the unit of a
/// bucket's level.
const LEVEL_PER_BURST: u128 = 1_000_000;

data! {
    /// A token bucket that fills by a share of a limit.
    ///
    /// It holds at most its share of the burst and `spare` more tokens. Without the spare tokens, a
    /// bucket whose share of the burst is less than one token could never yield any.
    pub(crate) struct Bucket {
        limit: RateLimit,
        /// The share of the limit, in millionths.
        share: u32,
        /// The tokens that the bucket holds beyond its share of the burst, unless its share is 0.
        spare: u64,
        /// What the bucket holds, in parts of [`TOKEN`].
        level: u128,
        /// The time up to which the level is counted.
        filled: Instant,
    }
}

impl Bucket {
    /// Returns an empty bucket with a share of 0.
    pub(crate) const fn new(now: Instant, limit: RateLimit, spare: u64) -> Self {
        Self {
            limit,
            share: 0,
            spare,
            level: 0,
            filled: now,
        }
    }

    /// Returns the share, in millionths of the limit.
    pub(crate) const fn share(&self) -> u32 {
        self.share
    }

    /// Returns the limit that the bucket fills by.
    pub(crate) const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Sets the limit and the share from now on, and discards the tokens above the new capacity.
    pub(crate) fn set(&mut self, now: Instant, limit: RateLimit, share: u32) {
        self.fill(now);
        self.limit = limit;
        self.share = share;
        self.level = self.level.min(self.capacity());
    }

    /// Adds what has flowed in by the present share and limit.
    pub(crate) fn fill(&mut self, now: Instant) {
        let micros = now.since(self.filled).as_micros();
        let flow = u128::from(self.limit.per_second) * u128::from(self.share);
        let level = self.level.saturating_add(flow.saturating_mul(micros));
        self.level = level.min(self.capacity());
        // A rest below a microsecond counts towards the next filling.
        let counted = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        self.filled = self.filled + counted;
    }

    /// Returns the number of whole tokens.
    pub(crate) fn tokens(&mut self, now: Instant) -> u64 {
        self.fill(now);
        u64::try_from(self.level / TOKEN).unwrap_or(u64::MAX)
    }

    /// Takes up to `wanted` whole tokens and returns how many it took.
    pub(crate) fn take(&mut self, now: Instant, wanted: u64) -> u64 {
        let taken = self.tokens(now).min(wanted);
        self.level = self.level.saturating_sub(u128::from(taken) * TOKEN);
        taken
    }

    /// Returns the time in which the bucket will have yielded `tokens`, if each is taken as it
    /// comes; none if the bucket does not fill.
    pub(crate) fn time_to_yield(&mut self, now: Instant, tokens: u64) -> Option<Duration> {
        self.fill(now);
        let missing = (u128::from(tokens) * TOKEN).saturating_sub(self.level);
        let flow = u128::from(self.limit.per_second) * u128::from(self.share);
        if flow == 0 {
            return (missing == 0).then_some(Duration::ZERO);
        }
        let micros = u64::try_from(missing.div_ceil(flow)).unwrap_or(u64::MAX);
        Some(Duration::from_micros(micros))
    }

    /// Returns the most that the bucket holds, in parts of [`TOKEN`].
    fn capacity(&self) -> u128 {
        if self.share == 0 {
            return 0;
        }
        let of_burst = u128::from(self.limit.burst) * u128::from(self.share);
        let spare = u128::from(self.spare).saturating_mul(TOKEN);
        of_burst
            .saturating_mul(LEVEL_PER_BURST)
            .saturating_add(spare)
    }
}
