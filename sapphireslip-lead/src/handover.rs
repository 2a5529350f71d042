//! Handovers: the replacement of a primary by another server of its group.
//!
//! The coordinator names the new leader in the store and waits until no daemon works with the old
//! one. If the old leader still answers, it waits until the new one has all of its log. Then it
//! asks the platform to promote the new leader, and watches until that server leads.

use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, data, key};

use crate::server::KnownServer;
use crate::state::State;
use crate::sync_replicas::Commits;
use crate::unreadable_rows::UNREADABLE_PERMISSION_MAX;
use crate::{Effect, PromoteOutcome, Record, RecordKind, RowVersion, Term, TermPosition};

/// How long a new leader may receive nothing before the rest of the log is given up.
const CATCH_UP_STALL_MAX: Duration = Duration::from_millis(700);

/// How often permissions are read while daemons have to acknowledge the new leader.
const ACKNOWLEDGEMENT_POLL_EVERY: Duration = Duration::from_millis(40);

/// The time that daemons have had to acknowledge the new leader, as a multiple of the pause until the
/// next read: a leader that all have acknowledged is promoted late by at most this part.
const ACKNOWLEDGEMENT_POLLS_PER_WAIT: u32 = 16;

/// The longest time that the new leader may take to receive the rest of the old one's log.
const CATCH_UP_MAX: Duration = Duration::from_millis(2_500);

/// How long a request to promote may take to have an effect before it is sent again.
pub(crate) const PROMOTE_RETRY_AFTER: Duration = Duration::from_millis(1_800);

/// How long a new leader may take to lead before another one is chosen.
const PROMOTE_MAX: Duration = Duration::from_secs(6);

key! {
    /// Why a primary is replaced.
    pub(crate) enum Reason {
        /// The primary is draining.
        Draining,
        /// The primary is no longer in the list of servers.
        Gone,
        /// More daemons report the primary as unreachable than as reached, or the new leader of the
        /// previous attempt did not come to lead.
        Lost,
        /// The service has no primary.
        NoPrimary,
    }

    /// The current step of a handover.
    pub(crate) enum Step {
        /// The servers that could take over are asked for their status.
        Choosing,
        /// The new leader is being written to the store.
        Naming,
        /// Every daemon has to acknowledge the new leader's row of this version.
        Acknowledging(RowVersion),
        /// The new leader receives the rest of the old leader's log.
        CatchingUp,
        /// The platform promotes the new leader; it was last asked at this time, if at all.
        Promoting(Option<Instant>),
    }
}

data! {
    /// A handover that is under way.
    pub(crate) struct Handover {
        /// The leader that is replaced; none if there was no leader or a promotion is resumed.
        pub(crate) old: Option<ServerId>,
        /// The server that takes over; none until it is chosen.
        pub(crate) new: Option<ServerId>,
        /// Why the primary is replaced.
        pub(crate) reason: Reason,
        /// The term that the new leader's term has to exceed.
        pub(crate) above: Term,
        /// The current step.
        step: Step,
        /// When the handover began.
        pub(crate) began: Instant,
        /// When the current step began.
        pub(crate) since: Instant,
        /// The last position of the new leader's log that was seen while it caught up.
        received: Option<TermPosition>,
        /// When `received` last changed.
        last_progress: Instant,
        /// Whether the new leader was named before this handover began, and was not chosen in it.
        is_resumed: bool,
        /// The life of the new leader in which it was chosen; none before that.
        life: Option<(u64, u64)>,
        /// When the platform first accepted the request to promote the new leader; none before.
        pub(crate) accepted: Option<Instant>,
    }
}

impl Handover {
    /// Returns a handover that begins at `now` with the choice of the new leader.
    const fn new(now: Instant, old: Option<ServerId>, reason: Reason, above: Term) -> Self {
        Self {
            old,
            new: None,
            reason,
            above,
            step: Step::Choosing,
            began: now,
            since: now,
            received: None,
            last_progress: now,
            is_resumed: false,
            life: None,
            accepted: None,
        }
    }

    /// Returns whether the old leader is available again, so that it need not be replaced.
    pub(crate) fn is_unnecessary(&self, state: &State) -> bool {
        let old = self.old.as_ref().and_then(|old| state.servers.get(old));
        match self.reason {
            Reason::Lost => state.is_back(self),
            Reason::Draining | Reason::Gone => old.is_some_and(KnownServer::is_staying),
            Reason::NoPrimary => false,
        }
    }

    /// Returns whether the platform has not been asked to promote the new leader yet.
    const fn is_before_promotion(&self) -> bool {
        !matches!(self.step, Step::Promoting(Some(_)))
    }

    /// Returns whether the new leader is named in the store or is being named.
    pub(crate) fn is_named(&self) -> bool {
        self.step != Step::Choosing
    }
}

impl State {
    /// Starts to replace the leader of a service, or to promote one if there is none.
    pub(crate) fn begin_handover(
        &mut self,
        service: &ServiceName,
        old: Option<ServerId>,
        reason: Reason,
    ) {
        let led = self.leaders.term(service);
        let seen = self
            .servers
            .of(service)
            .filter_map(|(_, server)| server.position);
        let above = led
            .or(seen.map(|position| position.term).max())
            .max(Some(self.leaders.reached(service)))
            .unwrap_or_default();
        let handover = Handover::new(self.now, old, reason, above);
        self.note_step(service, &handover);
        self.coordinator.handovers.insert(service.clone(), handover);
        self.advance_handover(service);
    }

    /// Resumes the promotion of a leader that is named and does not lead yet.
    pub(crate) fn resume_handover(&mut self, service: &ServiceName, leader: ServerId) {
        let Some((record, version)) = self.leaders.table.leaders.get(service) else {
            return;
        };
        let handover = Handover {
            step: Step::Acknowledging((*version).max(self.leaders.confirmed_at)),
            is_resumed: true,
            life: self.life_of(&leader),
            new: Some(leader),
            ..Handover::new(self.now, None, Reason::NoPrimary, record.above)
        };
        self.note_step(service, &handover);
        self.coordinator.handovers.insert(service.clone(), handover);
    }

    /// Logs the current step of a handover.
    fn note_step(&mut self, service: &ServiceName, handover: &Handover) {
        let name = |server: &Option<ServerId>| {
            server
                .as_ref()
                .map_or_else(|| "none".to_owned(), ToString::to_string)
        };
        let detail = format!(
            "{:?}: {:?}, old leader {}, new leader {}, above term {}",
            handover.reason,
            handover.step,
            name(&handover.old),
            name(&handover.new),
            handover.above.0,
        );
        self.log(Record::new(RecordKind::Promotion, detail.into()).service(service));
    }

    /// Begins a step of a handover and logs it.
    fn set_step(&mut self, service: &ServiceName, step: Step) {
        let now = self.now;
        if let Some(handover) = self.coordinator.handovers.get_mut(service) {
            handover.step = step;
            handover.since = now;
            let handover = handover.clone();
            self.note_step(service, &handover);
        }
    }

    /// Takes the next step of a handover if its conditions hold.
    pub(crate) fn advance_handover(&mut self, service: &ServiceName) {
        let Some(handover) = self.coordinator.handovers.get(service).cloned() else {
            return;
        };
        let life = handover.new.as_ref().and_then(|new| self.life_of(new));
        let has_restarted = life.is_some() && handover.life.is_some() && life != handover.life;
        if has_restarted && matches!(handover.step, Step::CatchingUp | Step::Promoting(_)) {
            // The server that was chosen for its log has lost that.
            return self.begin_handover(service, None, Reason::NoPrimary);
        }
        if handover.is_resumed && handover.is_before_promotion() {
            self.ask_for_reports(service);
            let named = handover.new.as_ref();
            if named.is_some_and(|named| self.has_lost_records(service, named)) {
                return self.begin_handover(service, None, Reason::NoPrimary);
            }
        }
        match handover.step {
            Step::Choosing => self.choose(service, &handover),
            Step::Naming => {}
            Step::Acknowledging(_) => self.poll_permissions(&handover),
            Step::CatchingUp => self.catch_up(service, &handover),
            Step::Promoting(asked) => self.promote(service, &handover, asked),
        }
    }

    /// Has the chosen server named as the new leader, unless that has to be tried again later.
    pub(crate) fn name_chosen(&mut self, service: &ServiceName, new: ServerId, above: Term) {
        if !self.name_leader(service, &new, above) {
            return;
        }
        let life = self.life_of(&new);
        if let Some(handover) = self.coordinator.handovers.get_mut(service) {
            handover.new = Some(new);
            handover.above = above;
            handover.accepted = None;
            handover.life = life;
        }
        self.set_step(service, Step::Naming);
    }

    /// Continues a handover after the write that names the new leader, or drops it if `version` is
    /// none because the write failed.
    pub(crate) fn on_named(&mut self, service: &ServiceName, version: Option<RowVersion>) {
        let is_naming = self
            .coordinator
            .handovers
            .get(service)
            .is_some_and(|handover| handover.step == Step::Naming);
        match version {
            Some(version) if is_naming => self.set_step(service, Step::Acknowledging(version)),
            Some(_) => {}
            None => {
                self.coordinator.handovers.remove(service);
            }
        }
    }

    /// Reads the permissions if no read was sent lately, for whatever handover. Daemons that are in
    /// touch acknowledge at once; the longer one takes, the more likely its permission has to end.
    fn poll_permissions(&mut self, handover: &Handover) {
        if self.store_era.holds_promotions(self.now) {
            return;
        }
        let waited = self.now.since(handover.since);
        let pause = ACKNOWLEDGEMENT_POLL_EVERY.max(waited / ACKNOWLEDGEMENT_POLLS_PER_WAIT);
        self.read_permissions_unless_read_within(pause);
    }

    /// Continues handovers that every daemon with a permission acknowledged, once grants are over.
    pub(crate) fn count_acknowledgements(&mut self) {
        if self.now < self.grants.no_promotion_before || self.store_era.holds_promotions(self.now) {
            return;
        }
        let Some(table) = &self.permissions else {
            return;
        };
        let are_earlier_over = self.store_era.are_earlier_permissions_over(self.now);
        let is_acknowledged = |version: RowVersion, named: Instant| {
            // Whether a daemon has left the old leader: it has no permission, or a newer one.
            let has_left = |(record, row): &(crate::PermissionRecord, RowVersion)| {
                // A row that was sent in an earlier era may have been written late.
                let is_of_this_era = record.era == self.store_era.current() || are_earlier_over;
                record.until <= table.now || (*row > version && is_of_this_era)
            };
            // The permission of a daemon whose row can't be read was written before the naming, unless
            // that daemon knows of it.
            let are_others_over =
                table.unreadable.is_empty() || self.now.since(named) >= UNREADABLE_PERMISSION_MAX;
            // A table older than the naming may lack the row of a daemon that has just started.
            table.version >= version && table.permissions.iter().all(has_left) && are_others_over
        };
        let done: Vec<ServiceName> = self
            .coordinator
            .handovers
            .iter()
            .filter(|(_, handover)| {
                matches!(handover.step, Step::Acknowledging(version) if is_acknowledged(version, handover.since))
            })
            .map(|(service, _)| service.clone())
            .collect();
        for service in done {
            self.set_step(&service, Step::CatchingUp);
            self.advance_handover(&service);
        }
    }

    /// Waits for the rest of the old leader's log, unless that is unreachable or no more arrives.
    fn catch_up(&mut self, service: &ServiceName, handover: &Handover) {
        let is_reachable = |id: &ServerId| {
            self.servers
                .get(id)
                .is_some_and(|server| !server.is_unreachable(self.now))
        };
        let old = handover.old.clone().filter(|old| is_reachable(old));
        let Some(new) = handover.new.clone() else {
            return self.start_promoting(service);
        };
        let Some(old) = old else {
            return self.promote_unless_lacking(service, handover, &new);
        };
        let received = |state: &Self, id: &ServerId| {
            let server = state.servers.get(id)?;
            let asked = server
                .status_request_sent
                .filter(|asked| *asked >= handover.since);
            asked
                .and(server.status.as_ref())
                .map(|status| status.received)
        };
        let final_position = received(self, &old);
        let present = received(self, &new);
        let has_whole_log = final_position.is_some() && final_position <= present;
        if present != handover.received
            && let Some(handover) = self.coordinator.handovers.get_mut(service)
        {
            handover.received = present;
            handover.last_progress = self.now;
        }
        let is_stalled =
            self.now.since(handover.last_progress.max(handover.since)) >= CATCH_UP_STALL_MAX;
        if has_whole_log {
            return self.start_promoting(service);
        }
        if is_stalled || self.now.since(handover.since) >= CATCH_UP_MAX {
            return self.promote_unless_lacking(service, handover, &new);
        }
        self.probe(&new);
        if final_position.is_none() {
            self.probe(&old);
        }
    }

    /// Begins the promotion of the new leader, or chooses again if that lacks acknowledged commits that
    /// another server has.
    fn promote_unless_lacking(
        &mut self,
        service: &ServiceName,
        handover: &Handover,
        new: &ServerId,
    ) {
        match self.commits_of(service, handover, new, handover.since) {
            Commits::All => self.start_promoting(service),
            Commits::Unknown => {}
            Commits::Lacking => {
                let began = handover.began;
                self.begin_handover(service, None, Reason::NoPrimary);
                if let Some(handover) = self.coordinator.handovers.get_mut(service) {
                    handover.began = began;
                }
            }
        }
    }

    /// Begins the promotion of the new leader.
    fn start_promoting(&mut self, service: &ServiceName) {
        self.set_step(service, Step::Promoting(None));
        self.advance_handover(service);
    }

    /// Asks the platform to promote the new leader, until it leads or another has to be chosen.
    fn promote(&mut self, service: &ServiceName, handover: &Handover, asked: Option<Instant>) {
        if self.leaders.term(service).is_some() {
            let line = Record::new(RecordKind::Promotion, "the new primary leads".into());
            self.log(line.service(service));
            self.coordinator.handovers.remove(service);
            return;
        }
        let Some(new) = handover.new.clone() else {
            self.coordinator.handovers.remove(service);
            return;
        };
        let is_unreachable = self
            .servers
            .get(&new)
            .is_none_or(|server| server.is_unreachable(self.now));
        if is_unreachable || self.now.since(handover.since) >= PROMOTE_MAX {
            return self.begin_handover(service, Some(new), Reason::Lost);
        }
        if self.end_promotion_without_effect(service, handover, &new) {
            return;
        }
        if asked.is_some_and(|asked| self.now.since(asked) < PROMOTE_RETRY_AFTER) {
            return;
        }
        let Some(token) = self.fencing_token() else {
            return;
        };
        if let Some(handover) = self.coordinator.handovers.get_mut(service) {
            handover.step = Step::Promoting(Some(self.now));
        }
        self.coordinator
            .last_promotion_request
            .insert(service.clone(), self.now);
        self.coordinator
            .promotion_requests
            .note_sent(self.now, service, &new);
        self.effects.push(Effect::Promote {
            service: service.clone(),
            server: new,
            coordinator: self.local.vm.clone(),
            token,
        });
    }

    /// Records the platform's answer to a request to promote.
    pub(crate) fn on_promoted(&mut self, service: &ServiceName, outcome: &PromoteOutcome) {
        let line = Record::new(RecordKind::Promotion, format!("{outcome:?}").into());
        self.log(line.service(service));
        let asked = self.coordinator.last_promotion_request.get(service);
        let asked = asked.copied().unwrap_or(self.now);
        self.coordinator
            .promotion_requests
            .note_answer(asked, service, outcome);
        let now = self.now;
        let Some(handover) = self.coordinator.handovers.get_mut(service) else {
            return;
        };
        if *outcome == PromoteOutcome::Accepted {
            handover.accepted.get_or_insert(now);
        }
        if *outcome == PromoteOutcome::NotRunning && matches!(handover.step, Step::Promoting(_)) {
            let new = handover.new.clone();
            if let Some(server) = new.as_ref().and_then(|new| self.servers.get_mut(new)) {
                server.note_failure(Instant::default()); // so long ago that it is unreachable now
            }
            self.begin_handover(service, new, Reason::Lost);
        }
    }
}
