//! Grants: permissions that the coordinator gives to other daemons while the store is unavailable.
//!
//! Only the coordinator can name another leader, and no other daemon can take over its role before
//! its own permission has ended in the store. Its grant is a promise to name no other leader for a
//! while, so it is as safe as a renewal in the store. The coordinator promotes no server before its
//! last grant has expired. With the grant it tells which servers stay, as a daemon that can't renew
//! its permission can't read the list of servers either.

use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, SessionId, VmId, data};

use crate::permission::PERMISSION_LENGTH;
use crate::state::State;
use crate::{Effect, Record, RecordKind, RowVersion, StayingServers};

/// The longest time that a grant lasts.
const GRANT_LENGTH: Duration = Duration::from_millis(1_500);

/// A daemon asks for a grant once less than this time remains of its permission.
const ASK_BELOW_REMAINING: Duration = Duration::from_millis(1_100);

/// The least time between two requests for a grant.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// The least time by which a grant ends before the coordinator's own permission.
const GRANT_MARGIN: Duration = Duration::from_millis(50);

/// How long the coordinator's own permission lasts: longer than the store's usual outages.
///
/// A coordinator that dies is succeeded after this time, or at once by the next run on its VM.
pub(crate) const COORDINATOR_PERMISSION_LENGTH: Duration = Duration::from_millis(6_000);

data! {
    /// The state of the grants that this daemon gave and asked for.
    #[derive(Default)]
    pub(crate) struct Grants {
        /// The earliest time at which this daemon, as the coordinator, may promote a server: the
        /// end of all grants that it or an earlier coordinator may have given.
        pub(crate) no_promotion_before: Instant,
        /// The row of the role in the first table of leaders, and when this daemon learned of it, if
        /// the row names an earlier run on this VM. None once the role was claimed from another row
        /// or taken.
        earlier_run: Option<(RowVersion, Instant)>,
        /// When this daemon last asked the coordinator for a grant.
        last_asked: Instant,
    }
}

impl Grants {
    /// Records the claim of the coordinator's role from the row of this version.
    pub(crate) fn note_claim(&mut self, from: RowVersion) {
        self.earlier_run = self.earlier_run.filter(|(version, _)| *version == from);
    }
}

impl State {
    /// Records the first table of leaders that this daemon read: whether the coordinator is an earlier
    /// run on this VM.
    ///
    /// That run and all coordinators before it have given their last grant by now, as this run could
    /// start only once that one had ended.
    pub(crate) fn note_earlier_run(&mut self) {
        if self.was_coordinator_in_earlier_run() {
            let coordinator = self.leaders.table.coordinator.as_ref();
            self.grants.earlier_run = coordinator.map(|(_, version)| (*version, self.now));
        }
    }

    /// Asks the coordinator for a grant if the permission is about to expire and the store has not
    /// answered the last renewal.
    pub(crate) fn ask_for_grant(&mut self) {
        let left = self.permission.remaining(self.now);
        let is_grant_needed = self.needs_permission()
            && left < ASK_BELOW_REMAINING
            && self.permission.is_unanswered();
        if !is_grant_needed
            || self.now.since(self.grants.last_asked) < ASK_EVERY
            || self.is_drain_finished()
        {
            return;
        }
        let Some((coordinator, _)) = &self.leaders.table.coordinator else {
            return;
        };
        let coordinator = self.permissions.as_ref().and_then(|table| {
            let is_coordinator = |record: &&crate::PermissionRecord| {
                record.vm == coordinator.holder && record.vm != self.local.vm
            };
            table
                .permissions
                .iter()
                .map(|(record, _)| record)
                .find(is_coordinator)
        });
        let Some(address) = coordinator.map(|record| record.peers) else {
            return;
        };
        self.grants.last_asked = self.now;
        self.effects.push(Effect::AskGrant {
            address,
            generation: self.leaders.table.generation,
            servers: self.pool.servers(),
        });
    }

    /// Extends the permission by a grant of `length` that was asked for at `sent`, and records which
    /// servers stay. A server that has told this daemon that it leaves is not among these: the coordinator
    /// may have begun after a return of the store from a copy that lacks this.
    ///
    /// A grant for another generation of the leaders or of length zero extends nothing. Work that was
    /// sent to a replaced leader is ended first: the coordinator gives grants once it has promoted the
    /// new leaders, so a commit of the old one that is acknowledged under the grant may be rolled back.
    pub(crate) fn on_granted(
        &mut self,
        generation: RowVersion,
        staying: &StayingServers,
        length: Duration,
        sent: Instant,
    ) {
        // None if the list is from before the start of this daemon.
        let shown = sent.since_start.checked_sub(staying.age);
        let shown = shown.map(|since_start| Instant { since_start });
        for server in &staying.servers {
            if let Some(known) = self.servers.get_mut(server)
                && known.draining_since.is_none()
            {
                known.note_staying(shown);
            }
        }
        if generation == self.leaders.table.generation && !length.is_zero() {
            self.stop_work_at_old_leaders(Duration::ZERO);
            self.permission.extend(sent + length);
            self.note_permission_change();
        }
        self.run_all_queues();
    }

    /// Answers a daemon's request for a grant, with length zero if it is refused, and tells it
    /// which of its servers stay: it may not be able to read the list itself.
    pub(crate) fn on_grant_asked(
        &mut self,
        session: SessionId,
        vm: &VmId,
        generation: RowVersion,
        servers: Vec<ServerId>,
    ) {
        let length = self.grant_length(generation);
        self.grants.no_promotion_before = self.grants.no_promotion_before.max(self.now + length);
        let staying = StayingServers {
            age: self.now.since(self.servers.list_sent),
            servers: self.servers.staying_by_list(servers),
        };
        let detail = format!(
            "`{vm}` is granted {} ms; {} of its servers stay by a list of {} ms ago",
            length.as_millis(),
            staying.servers.len(),
            staying.age.as_millis(),
        );
        self.log(Record::new(RecordKind::Grant, detail.into()));
        self.effects.push(Effect::Grant {
            session,
            length,
            staying,
        });
    }

    /// Returns the length of a grant to a daemon that knows `generation` of the leaders; zero if
    /// this daemon is not the coordinator, is naming or promoting a leader, or knows another
    /// generation.
    fn grant_length(&self, generation: RowVersion) -> Duration {
        let is_free = self.fencing_token().is_some()
            && self.leaders.table.generation == generation
            && !self.coordinator.is_naming()
            && !self.is_drain_finished();
        match is_free {
            true => GRANT_LENGTH.min(
                self.permission
                    .remaining(self.now)
                    .saturating_sub(GRANT_MARGIN),
            ),
            false => Duration::ZERO,
        }
    }

    /// Postpones promotions until all grants of an earlier coordinator must have expired.
    ///
    /// Those of an earlier run on this VM, from which this one has taken the role, are counted from
    /// when this daemon learned that that run had it. `docs/design/08-platform.md` has the proof.
    pub(crate) fn wait_out_earlier_grants(&mut self) {
        let has_taken = self.fencing_token().is_some();
        let earlier_run = self.grants.earlier_run.filter(|_| has_taken);
        if has_taken {
            self.grants.earlier_run = None;
        }
        let end = match earlier_run {
            Some((_, learned)) => learned + GRANT_LENGTH + GRANT_MARGIN,
            None => self.now + GRANT_LENGTH.max(PERMISSION_LENGTH),
        };
        self.grants.no_promotion_before = self.grants.no_promotion_before.max(end);
    }
}
