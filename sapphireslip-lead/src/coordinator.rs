//! The coordinator: the one daemon that names leaders and asks for promotions, so that each service
//! has a primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, ZoneName, data};

use crate::handover::{Handover, Reason};
use crate::promotion_requests::PromotionRequests;
use crate::state::State;
use crate::{
    CoordinatorRecord, Effect, LeaderRecord, NamedLeader, PermissionRecord, PermissionTable,
    Record, RecordKind, Role, RowVersion, StoreWrite, Term, WriteOutcome,
};

/// The pause between the attempts of two daemons to claim the vacant role.
const CLAIM_SPACING: Duration = Duration::from_millis(150);

/// How long the coordinator must have replaced no primary before the role moves to another zone:
/// coordinators that alternate quickly would race each other.
const RESIGN_AFTER: Duration = Duration::from_secs(10);

/// The pause before the coordinator's next write after one that failed, or after any write of its
/// own row.
const WRITE_RETRY: Duration = Duration::from_millis(300);

/// How long a service may be without a server that reports itself as primary before one is
/// promoted.
pub(crate) const NO_PRIMARY_MAX: Duration = Duration::from_millis(2_500);

/// The longest time after which a request to promote may still take effect.
pub(crate) const PROMOTION_DELAY_MAX: Duration = Duration::from_secs(6);

/// The most leaders that one write names: the store accepts 100 rows in a transaction. Each leader
/// takes a condition and a row, and the coordinator and the generation come on top.
pub(crate) const LEADERS_PER_WRITE_MAX: usize = 48;

data! {
    /// This daemon's work as the coordinator, and its attempts to become the coordinator.
    #[derive(Default)]
    pub(crate) struct Coordinator {
        /// Whether a write of the coordinator's row or of leaders is under way.
        is_write_pending: bool,
        /// The leaders that the next write names.
        leaders_to_name: Vec<NamedLeader>,
        /// The earliest time for the next write of the coordinator's row or of leaders.
        next_write: Instant,
        /// Since when this daemon has seen the role vacant; none while it is taken.
        vacant_since: Option<Instant>,
        /// Whether this daemon was the coordinator at the last check, to log each change.
        was_coordinator: bool,
        /// When this daemon last became the coordinator or ceased to be it.
        pub(crate) taken: Instant,
        /// Since when this daemon has been the coordinator without replacing a primary.
        quiet_since: Instant,
        /// The version of the coordinator's row that this daemon has tried to remove. An unanswered
        /// removal may still be done later, so the daemon no longer relies on that row.
        pub(crate) resigned_row: Option<RowVersion>,
        /// The replacements of primaries that are under way.
        pub(crate) handovers: BTreeMap<ServiceName, Handover>,
        /// The services whose leader is draining and can't be replaced, to log each once.
        without_replacement: BTreeSet<ServiceName>,
        /// Since when a service without a named leader has had no server that is its primary.
        without_primary_since: BTreeMap<ServiceName, Instant>,
        /// When the promotion of a server of each service was last requested by this daemon, or at
        /// the latest by an earlier coordinator.
        pub(crate) last_promotion_request: BTreeMap<ServiceName, Instant>,
        /// The requests to promote whose effect is open.
        pub(crate) promotion_requests: PromotionRequests,
    }
}

impl Coordinator {
    /// Returns whether another leader is being named or promoted, or the coordinator's row is being
    /// written.
    pub(crate) fn is_naming(&self) -> bool {
        self.is_write_pending
            || !self.leaders_to_name.is_empty()
            || self.handovers.values().any(Handover::is_named)
    }

    /// Forgets the steps that were taken under the rows of an earlier era of the store; they are taken
    /// again as needed.
    pub(crate) fn forget_steps(&mut self) {
        self.handovers.clear();
        self.leaders_to_name.clear();
    }

    /// Begins a write of leaders, unless another write is under way or the pause after one has not passed;
    /// returns whether it may be sent.
    pub(crate) fn begin_write(&mut self, now: Instant) -> bool {
        let is_free = !self.is_write_pending && self.next_write <= now;
        self.is_write_pending |= is_free;
        is_free
    }

    /// Returns whether a primary is being replaced.
    pub(crate) fn is_replacing_primary(&self) -> bool {
        !self.handovers.is_empty()
    }
}

impl State {
    /// Does the work of the coordinator, or claims the role if it is vacant.
    pub(crate) fn coordinate(&mut self) {
        if !self.leaders.is_known || !self.permission.is_valid(self.now) || self.is_drain_finished()
        {
            return;
        }
        self.note_coordinator_change();
        let Some(token) = self.fencing_token() else {
            self.coordinator.forget_steps();
            if !self.is_leaving() {
                self.claim_coordination();
            }
            return;
        };
        if self.confirm_leaders(token) {
            return;
        }
        if !self.coordinator.handovers.is_empty() {
            self.coordinator.quiet_since = self.now;
        }
        self.resign_to_better_zone();
        let services = self
            .catalog
            .as_ref()
            .map(|catalog| catalog.services.keys().cloned());
        let services: Vec<ServiceName> = services.into_iter().flatten().collect();
        for service in services {
            self.ensure_primary(&service);
        }
        self.write_leaders();
    }

    /// Logs whether this daemon has become the coordinator or ceased to be it since the last call.
    ///
    /// On a change, promotions are postponed until the grants of an earlier coordinator must have
    /// expired. A promotion of each service counts as requested just now, since an earlier
    /// coordinator may have requested it and it may still take effect. A leader that leads was promoted
    /// already.
    fn note_coordinator_change(&mut self) {
        let token = self.fencing_token();
        if token.is_some() != self.coordinator.was_coordinator {
            self.coordinator.was_coordinator = token.is_some();
            self.coordinator.taken = self.now;
            self.wait_out_earlier_grants();
            self.coordinator.quiet_since = self.now;
            for (service, (record, _)) in &self.leaders.table.leaders {
                let asked = self.now;
                self.coordinator
                    .last_promotion_request
                    .insert(service.clone(), asked);
                let listed = self.servers.get(&record.leader);
                let leads = self.leaders.term(service).is_some()
                    || listed.is_some_and(|server| server.record.role == Role::Primary);
                if token.is_some() && !leads {
                    let requests = &mut self.coordinator.promotion_requests;
                    requests.note_earlier(asked, service, &record.leader);
                }
            }
            let detail = match token {
                Some(token) => format!("taken with token {}", token.0),
                None => "lost".to_owned(),
            };
            self.log(Record::new(RecordKind::CoordinatorChanged, detail.into()));
        }
    }

    /// Claims the role of the coordinator if it is vacant. Daemons try one after the other.
    fn claim_coordination(&mut self) {
        let Some(ended) = self.vacancy() else {
            self.coordinator.vacant_since = None;
            return;
        };
        let vacant = *self.coordinator.vacant_since.get_or_insert(self.now);
        if self.coordinator.is_write_pending || self.now < self.coordinator.next_write {
            return;
        }
        // No other daemon can claim the role while it belongs to an earlier run on this VM.
        if !self.was_coordinator_in_earlier_run() && self.now.since(vacant) < self.claim_delay() {
            return;
        }
        self.coordinator.is_write_pending = true;
        let held = self.leaders.table.role_version();
        let coordinator_version = held.unwrap_or_default();
        self.grants.note_claim(coordinator_version);
        let record = CoordinatorRecord {
            holder: self.local.vm.clone(),
            incarnation: self.local.incarnation,
        };
        self.effects.push(Effect::Write(StoreWrite::SetCoordinator {
            record: Some(record),
            coordinator_version,
            ended,
        }));
    }

    /// Returns how long the role must be vacant before this daemon claims it.
    fn claim_delay(&self) -> Duration {
        CLAIM_SPACING.saturating_mul(u32::try_from(self.claim_rank()).unwrap_or(u32::MAX))
    }

    /// Returns the last coordinator and the version of its ended permission if the role is vacant.
    ///
    /// The outer value is none if the role is taken. The inner value is none if no other daemon was
    /// the coordinator.
    #[expect(
        clippy::option_option,
        reason = "a vacant role without a last coordinator differs from a role that is taken"
    )]
    fn vacancy(&self) -> Option<Option<(sapphireslip_core::VmId, RowVersion)>> {
        let may_claim = self.store_era.may_claim(self.now);
        let Some((record, _)) = &self.leaders.table.coordinator else {
            if !may_claim {
                return None;
            }
            let is_vacant = self.leaders.table.unreadable_role.is_none();
            return (is_vacant || self.unreadable_rows.has_role_ended(self.now)).then_some(None);
        };
        if record.holder == self.local.vm {
            // The row is from an earlier run, or this daemon has tried to remove it.
            return (!self.is_coordinator()).then_some(None);
        }
        let table = self.permissions.as_ref().filter(|_| may_claim)?;
        if table.unreadable_row_of(&record.holder).is_some() {
            let ended = self.unreadable_rows.ended_row_of_coordinator(self.now);
            return ended.map(|version| Some((record.holder.clone(), version)));
        }
        let permission = table
            .permissions
            .iter()
            .find(|(permission, _)| permission.vm == record.holder);
        match permission {
            None => Some(Some((record.holder.clone(), RowVersion(0)))),
            Some((permission, version)) if permission.until <= table.now => {
                Some(Some((record.holder.clone(), *version)))
            }
            Some(_) => None,
        }
    }

    /// Returns the number of daemons with a permission that should claim the role before this one:
    /// those in zones with fewer leaders, then those with a lower VM name.
    fn claim_rank(&self) -> usize {
        let own = (self.leaders_in(&self.local.zone), &self.local.vm);
        let comes_first =
            |record: &&PermissionRecord| (self.leaders_in(&record.zone), &record.vm) < own;
        self.daemons_with_permission().filter(comes_first).count()
    }

    /// Returns the daemons whose permission was valid when the permissions were last read.
    fn daemons_with_permission(&self) -> impl Iterator<Item = &PermissionRecord> {
        let table = self.permissions.iter();
        table.flat_map(PermissionTable::permitted)
    }

    /// Returns the number of leaders in a zone.
    ///
    /// A coordinator that is cut off together with leaders delays their replacement until its own
    /// permission has ended, so the role belongs in a zone with few leaders.
    fn leaders_in(&self, zone: &ZoneName) -> usize {
        let leaders = self.leaders.table.leaders.values();
        let servers = leaders.filter_map(|(record, _)| self.servers.get(&record.leader));
        servers.filter(|server| server.record.zone == *zone).count()
    }

    /// Gives the role up if a daemon in a zone with fewer leaders can claim it and no primary has
    /// been replaced for `RESIGN_AFTER`.
    fn resign_to_better_zone(&mut self) {
        let Some(coordinator_version) = self.fencing_token() else {
            return;
        };
        let own = self.leaders_in(&self.local.zone);
        let is_better = |record: &PermissionRecord| self.leaders_in(&record.zone) < own;
        let is_calm = self.coordinator.handovers.is_empty()
            && self.coordinator.leaders_to_name.is_empty()
            && !self.coordinator.is_write_pending
            && self.now.since(self.coordinator.quiet_since) >= RESIGN_AFTER;
        if is_calm && self.daemons_with_permission().any(is_better) {
            self.coordinator.is_write_pending = true;
            self.coordinator.resigned_row = Some(coordinator_version);
            self.log(Record::new(
                RecordKind::CoordinatorChanged,
                "given up for a zone with fewer leaders".into(),
            ));
            self.effects.push(Effect::Write(StoreWrite::SetCoordinator {
                record: None,
                coordinator_version,
                ended: None,
            }));
        }
    }

    /// Records the outcome of a write that claims the role or gives it up.
    pub(crate) fn on_coordinator_written(&mut self, outcome: &WriteOutcome) {
        self.coordinator.is_write_pending = false;
        self.coordinator.next_write = self.now + WRITE_RETRY;
        if *outcome == WriteOutcome::Unknown {
            self.log(Record::new(
                RecordKind::CoordinatorChanged,
                "the store did not answer the write of the coordinator's row".into(),
            ));
        }
    }

    /// Names a leader for a service, or starts or continues its replacement, as needed.
    fn ensure_primary(&mut self, service: &ServiceName) {
        if self.coordinator.handovers.contains_key(service) {
            return self.advance_handover(service);
        }
        let is_unreadable = self.leaders.table.unreadable.contains_key(service);
        let Some(leader) = self.leaders.named(service).cloned() else {
            // A replaced primary may still report itself as primary, so its entry proves nothing.
            return match is_unreadable {
                true => self.begin_handover(service, None, Reason::NoPrimary),
                false => self.name_present_primary(service),
            };
        };
        if is_unreadable && let Some((record, _)) = self.leaders.table.leaders.get(service) {
            let above = record.above;
            self.name_leader(service, &leader, above);
            return;
        }
        if self.leaders.term(service).is_some() {
            self.coordinator.without_primary_since.remove(service);
        }
        if let Some(newer) = self.newer_primary(service, &leader) {
            self.name_leader(service, &newer.0, Term(newer.1.0.saturating_sub(1)));
            return;
        }
        if self.leaders.term(service).is_none() {
            self.ask_for_reports(service);
        }
        if self.is_row_outdated(service) && self.has_stayed_behind(service, &leader) {
            self.name_leader(service, &leader, Term(0));
            return;
        }
        self.note_missing_replacement(service, &leader);
        if let Some(reason) = self.reason_to_replace(service, &leader) {
            return self.begin_handover(service, Some(leader), reason);
        }
        if self.leaders.term(service).is_none()
            && self.is_left_unpromoted(service, &leader)
            && !self.awaits_newer_primary(service, &leader)
        {
            if self.has_lost_records(service, &leader) {
                self.begin_handover(service, None, Reason::NoPrimary);
            } else if !self.awaits_reports(service, &leader) {
                self.resume_handover(service, leader);
            }
        }
    }

    /// Names the server that is already the primary of a service without a named leader, or starts
    /// a promotion if there has been none for `NO_PRIMARY_MAX`.
    ///
    /// Of several servers that claim to be the primary, the one that reports the latest term is.
    fn name_present_primary(&mut self, service: &ServiceName) {
        let claims = self
            .servers
            .of(service)
            .filter(|(_, s)| s.record.role == Role::Primary && s.missing_since.is_none());
        let claims: Vec<ServerId> = claims.map(|(id, _)| id.clone()).collect();
        if claims.len() > 1 && self.awaits_first_statuses(service) {
            return;
        }
        if let Some(primary) = claims.iter().max_by_key(|id| self.led_term(id)) {
            match self.leads_earlier_term(service, primary) {
                true => self.begin_handover(service, None, Reason::NoPrimary),
                false => {
                    self.name_leader(service, primary, Term(0));
                }
            }
            return;
        }
        let now = self.now;
        let since = *self
            .coordinator
            .without_primary_since
            .entry(service.clone())
            .or_insert(now);
        if now.since(since) >= NO_PRIMARY_MAX {
            self.begin_handover(service, None, Reason::NoPrimary);
        }
    }

    /// Returns from when on no earlier request to promote a server of a service can take effect; none
    /// if there was no request.
    pub(crate) fn promotions_settled(&self, service: &ServiceName) -> Option<Instant> {
        let asked = self.coordinator.last_promotion_request.get(service);
        asked.map(|asked| *asked + PROMOTION_DELAY_MAX)
    }

    /// Logs that a leader is draining and no other server can take over, once until that changes.
    fn note_missing_replacement(&mut self, service: &ServiceName, leader: &ServerId) {
        let server = self.servers.get(leader);
        let is_draining = server.is_some_and(|server| server.draining_since.is_some());
        if !is_draining || self.has_replacement(service, leader) {
            self.coordinator.without_replacement.remove(service);
        } else if self.coordinator.without_replacement.insert(service.clone()) {
            let detail = "the primary is draining, and no other server can take over";
            let line = Record::new(RecordKind::Promotion, detail.into());
            self.log(line.service(service).server(leader));
        }
    }

    /// Adds a leader to those that the next write names. It leads once it reports a term above `above`;
    /// terms before the one that the service has reached never count.
    ///
    /// Returns false if it has to be tried again later: another write is under way, the pause after
    /// a write has not passed, or the next write is full.
    pub(crate) fn name_leader(
        &mut self,
        service: &ServiceName,
        leader: &ServerId,
        above: Term,
    ) -> bool {
        let is_full = self.coordinator.leaders_to_name.len() >= LEADERS_PER_WRITE_MAX;
        if is_full || self.coordinator.is_write_pending || self.now < self.coordinator.next_write {
            return false;
        }
        let version = self.leaders.table.leader_version(service);
        let above = above.max(self.leaders.last_left_term(service));
        self.coordinator
            .leaders_to_name
            .retain(|other| other.service != *service);
        self.coordinator.leaders_to_name.push(NamedLeader {
            service: service.clone(),
            record: LeaderRecord {
                leader: leader.clone(),
                above,
            },
            version,
        });
        true
    }

    /// Writes the leaders that are to be named.
    ///
    /// One write names all of them, since every such write makes every daemon read the leaders and
    /// renew its permission.
    fn write_leaders(&mut self) {
        let Some(coordinator_version) = self.fencing_token() else {
            return;
        };
        if self.coordinator.is_write_pending || self.coordinator.leaders_to_name.is_empty() {
            return;
        }
        self.coordinator.is_write_pending = true;
        let leaders = std::mem::take(&mut self.coordinator.leaders_to_name);
        self.effects.push(Effect::Write(StoreWrite::NameLeaders {
            leaders,
            coordinator_version,
            generation: self.leaders.table.generation,
            confirmation: self.confirmation(),
        }));
    }

    /// Records the outcome of a write that names leaders.
    pub(crate) fn on_leaders_written(&mut self, leaders: &[NamedLeader], outcome: &WriteOutcome) {
        self.coordinator.is_write_pending = false;
        let version = match outcome {
            WriteOutcome::Done { version, .. } => Some(*version),
            WriteOutcome::Conflict { .. } | WriteOutcome::Unknown => {
                self.coordinator.next_write = self.now + WRITE_RETRY;
                None
            }
        };
        for leader in leaders {
            self.on_named(&leader.service, version);
        }
        if version.is_some() && self.leaders.copy.is_some() {
            // The next write needs the versions of this one.
            self.coordinator.next_write = self.now + WRITE_RETRY;
            self.effects.push(Effect::ReadLeaders);
        }
    }
}
