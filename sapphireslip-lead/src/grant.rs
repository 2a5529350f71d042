//! Permissions while the store is away: grants by the holder of the duty.
//!
//! Only the holder can name another leader, and nobody can take the duty from it before its own
//! permission has ended in the store. So its grant, a promise to name nobody for a while, is as good
//! as a renewal in the store. It promotes nobody before its last grant has expired.

use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, VmId, data};

use crate::permission::PERMISSION_LENGTH;
use crate::state::State;
use crate::{Effect, Record, RecordKind, RowVersion};

/// How long a grant lasts.
const GRANT_LENGTH: Duration = Duration::from_millis(1_500);

/// How much of a permission must be left for the holder not to be asked.
const ASK_BELOW_REMAINING: Duration = Duration::from_millis(1_100);

/// The pause between two questions.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// How much less than is left of it the holder gives away of its own time.
const GRANT_MARGIN: Duration = Duration::from_millis(50);

/// How long the holder's permission lasts: longer than the store's usual outages. A holder that
/// dies is succeeded after this time, or at once by the next run on its VM.
pub(crate) const COORDINATOR_PERMISSION_LENGTH: Duration = Duration::from_millis(6_000);

data! {
    /// The grants that this daemon gave and asked for.
    #[derive(Default)]
    pub(crate) struct Grants {
        /// Until when this daemon, as the holder, may not promote.
        pub(crate) no_promotion_before: Instant,
        last_asked: Instant,
    }
}

impl State {
    /// Asks the holder for a grant if the permission is about to expire and the store does not answer.
    pub(crate) fn ask_for_grant(&mut self) {
        let left = self.permission.remaining(self.now);
        let is_grant_needed = self.needs_permission()
            && left < ASK_BELOW_REMAINING
            && self.permission.is_unanswered();
        if !is_grant_needed || self.now.since(self.grants.last_asked) < ASK_EVERY || self.has_left()
        {
            return;
        }
        let Some((duty, _)) = &self.leaders.table.coordinator else {
            return;
        };
        let holder = self.permissions.as_ref().and_then(|table| {
            let is_holder = |record: &&crate::PermissionRecord| {
                record.vm == duty.holder && record.vm != self.local.vm
            };
            table
                .permissions
                .iter()
                .map(|(record, _)| record)
                .find(is_holder)
        });
        let Some(address) = holder.map(|record| record.peers) else {
            return;
        };
        self.grants.last_asked = self.now;
        self.effects.push(Effect::AskGrant {
            address,
            generation: self.leaders.table.generation,
        });
    }

    /// Takes the holder's grant.
    pub(crate) fn on_granted(&mut self, generation: RowVersion, length: Duration, sent: Instant) {
        if generation == self.leaders.table.generation && !length.is_zero() {
            self.permission.extend(sent + length);
            self.run_all_lanes();
        }
    }

    /// Answers a daemon that asks this one for a grant.
    pub(crate) fn on_grant_asked(&mut self, session: SessionId, vm: &VmId, generation: RowVersion) {
        let length = self.grant_length(generation);
        self.grants.no_promotion_before = self.grants.no_promotion_before.max(self.now + length);
        let detail = format!("`{vm}` is granted {} ms", length.as_millis());
        self.log(Record::new(RecordKind::Grant, detail.into()));
        self.effects.push(Effect::Grant { session, length });
    }

    fn grant_length(&self, generation: RowVersion) -> Duration {
        let is_free = self.fencing_token().is_some()
            && self.leaders.table.generation == generation
            && !self.coordinator.is_naming()
            && !self.has_left();
        match is_free {
            true => GRANT_LENGTH.min(
                self.permission
                    .remaining(self.now)
                    .saturating_sub(GRANT_MARGIN),
            ),
            false => Duration::ZERO,
        }
    }

    /// Waits out the grants that an earlier holder may have given.
    pub(crate) fn wait_out_earlier_grants(&mut self) {
        self.grants.no_promotion_before = self.now + GRANT_LENGTH.max(PERMISSION_LENGTH);
    }
}
