//! How many operations clients ask for.

use sapphireslip_core::{Instant, data};

/// The length of a count, in milliseconds. Two of them make up the second over which demand is
/// smoothed, so that shares follow a change within 2 s.
const SLOT_MILLIS: u128 = 500;

data! {
    /// The operations that clients asked for within the last second.
    #[derive(Default)]
    pub(crate) struct Demand {
        /// The number of the present slot since the start of the process.
        slot: u128,
        /// The counts of the present slot and of the two before it, the present one first.
        counts: [u64; 3],
    }
}

impl Demand {
    /// Counts an operation.
    pub(crate) fn count(&mut self, now: Instant) {
        self.advance(now);
        let [present, ..] = &mut self.counts;
        *present = present.saturating_add(1);
    }

    /// Returns the operations per second, in thousandths, averaged over a second.
    pub(crate) fn per_second_millis(&mut self, now: Instant) -> u64 {
        self.advance(now);
        let [present, last, first] = self.counts.map(u128::from);
        let left = SLOT_MILLIS - now.since_start.as_millis() % SLOT_MILLIS;
        let millis = (present + last) * 1_000 + first * 1_000 * left / SLOT_MILLIS;
        u64::try_from(millis).unwrap_or(u64::MAX)
    }

    /// Drops the counts of slots that ended more than a second ago.
    fn advance(&mut self, now: Instant) {
        let slot = now.since_start.as_millis() / SLOT_MILLIS;
        let [present, last, _] = self.counts;
        self.counts = match slot.saturating_sub(self.slot) {
            0 => return,
            1 => [0, present, last],
            2 => [0, 0, present],
            _ => [0; 3],
        };
        self.slot = slot;
    }
}
