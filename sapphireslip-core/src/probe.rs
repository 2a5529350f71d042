//! Finds out by probes which VMs answer.
//!
//! Each daemon probes one VM of its zone a second, in a shuffled order. One that does not answer
//! is probed again through others, is then suspect, and after a time dead. Now and then a VM of
//! another zone, or one that is thought dead, is probed too: that carries news from zone to zone
//! and ends the mutual silence that a cut leaves behind.

use std::time::Duration;

use crate::derives::{data, key};
use crate::{Cx, Instant, Membership, PeerMessage, ProbeNumber, VmId, VmRecord, VmState};

/// The mean time between probes of VMs of the own zone.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The mean time between probes of VMs of other zones or of dead ones.
pub const FAR_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a probe may go unanswered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the probes through others may go unanswered.
pub const PROBE_FOR_TIMEOUT: Duration = Duration::from_millis(400);

/// Through how many others an unanswering VM is probed.
pub const PROBE_HELPERS: usize = 2;

/// The most probes that wait for an answer.
pub const PROBES_MAX: usize = 256;

/// How late a tick must be for this process to count as having been paused.
pub const PAUSE_MIN: Duration = Duration::from_millis(200);

key! {
    enum Stage {
        Direct,
        ThroughOthers,
    }
}

data! {
    /// Whose question a probe made on behalf of another daemon answers.
    struct Asker {
        vm: VmId,
        number: ProbeNumber,
    }

    struct Pending {
        number: ProbeNumber,
        vm: VmId,
        deadline: Instant,
        stage: Stage,
        asker: Option<Asker>,
    }

    /// The probes that are out and the order of those to come.
    #[derive(Default)]
    pub(crate) struct Prober {
        last_number: u64,
        pending: Vec<Pending>,
        round: Vec<VmId>,
        next_at: Option<Instant>,
        next_far_at: Option<Instant>,
        planned_tick: Option<Instant>,
    }
}

impl Membership {
    /// Notes that a VM has sent something: it is alive.
    pub(crate) fn on_heard(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        let now = cx.now.instant;
        let Some(member) = self.member_mut(vm) else {
            return;
        };
        member.heard = Some(now);
        member.dead_at = None;
        if member.record.state == VmState::Suspect {
            member.record.state = VmState::Alive;
        }
        let is_dead = member.record.state == VmState::Dead;
        let pending = &mut self.prober.pending;
        pending.retain(|probe| probe.vm != *vm || probe.asker.is_some());
        if is_dead {
            self.probe(cx, vm.clone(), None);
        }
    }

    /// A message to a VM was lost: suspects it until it answers a probe.
    pub(crate) fn on_peer_lost(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        self.suspect(cx, vm);
    }

    pub(crate) fn on_probe(&mut self, cx: &mut Cx<'_>, from: &VmId, number: ProbeNumber) {
        let news = self.news_for(from);
        let changes = self.changes;
        cx.send(
            from.clone(),
            PeerMessage::ProbeAck {
                number,
                news,
                changes,
            },
        );
    }

    pub(crate) fn on_probe_ack(&mut self, cx: &mut Cx<'_>, from: &VmId, number: ProbeNumber) {
        let answered = |probe: &Pending| probe.number == number && probe.vm == *from;
        let Some(index) = self.prober.pending.iter().position(answered) else {
            return;
        };
        if let Some(asker) = self.prober.pending.swap_remove(index).asker {
            let number = asker.number;
            cx.send(asker.vm, PeerMessage::ProbeForAck { number });
        }
    }

    pub(crate) fn on_probe_for(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        number: ProbeNumber,
        vm: VmId,
    ) {
        let asker = Asker {
            vm: from.clone(),
            number,
        };
        self.probe(cx, vm, Some(asker));
    }

    pub(crate) fn on_probe_for_ack(&mut self, cx: &mut Cx<'_>, number: ProbeNumber) {
        let pending = &self.prober.pending;
        let probed = pending.iter().find(|probe| probe.number == number);
        if let Some(vm) = probed.map(|probe| probe.vm.clone()) {
            self.on_heard(cx, &vm);
        }
    }

    /// Sends what is due, suspects what did not answer and buries what stayed suspect.
    pub(crate) fn tick_probes(&mut self, cx: &mut Cx<'_>) {
        self.forgive_pause(cx.now.instant);
        self.expire_probes(cx);
        self.bury_suspects(cx);
        self.probe_next(cx);
        self.probe_far(cx);
        self.plan_tick(cx);
    }

    /// Gives others the time back during which this process did not run.
    fn forgive_pause(&mut self, now: Instant) {
        let late = self
            .prober
            .planned_tick
            .map_or(Duration::ZERO, |at| now.since(at));
        if late < PAUSE_MIN {
            return;
        }
        for probe in &mut self.prober.pending {
            probe.deadline = probe.deadline + late;
        }
        for member in self.members_mut() {
            member.dead_at = member.dead_at.map(|at| at + late);
        }
    }

    fn expire_probes(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        let (due, waiting) = std::mem::take(&mut self.prober.pending)
            .into_iter()
            .partition(|probe| probe.deadline <= now);
        self.prober.pending = waiting;
        let due: Vec<Pending> = due;
        for probe in due.into_iter().filter(|probe| probe.asker.is_none()) {
            if probe.stage == Stage::ThroughOthers || !self.ask_others(cx, &probe) {
                self.suspect(cx, &probe.vm);
            }
        }
    }

    /// Asks other VMs of the zone to probe; returns false if there are none to ask.
    fn ask_others(&mut self, cx: &mut Cx<'_>, probe: &Pending) -> bool {
        let is_near = self
            .record(&probe.vm)
            .is_some_and(|record| record.zone == *self.zone());
        let mut others = self.zone_peers();
        others.retain(|vm| *vm != probe.vm);
        if !is_near || others.is_empty() {
            return false;
        }
        for _ in 0..PROBE_HELPERS.min(others.len()) {
            let helper = others.swap_remove(pick(cx, others.len()));
            let vm = probe.vm.clone();
            let number = probe.number;
            cx.send(helper, PeerMessage::ProbeFor { number, vm });
        }
        self.prober.pending.push(Pending {
            deadline: cx.now.instant + PROBE_FOR_TIMEOUT,
            stage: Stage::ThroughOthers,
            ..probe.clone()
        });
        true
    }

    /// Counts a VM as dead after a time unless it is heard from, and tells it so.
    pub(crate) fn suspect(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        let Some(member) = self.member(vm) else {
            return;
        };
        let is_new = member.dead_at.is_none() && member.record.state != VmState::Dead;
        if !is_new || vm == self.local() {
            return;
        }
        let record = member.record.clone();
        if record.state == VmState::Alive {
            let state = VmState::Suspect;
            self.set(cx, VmRecord { state, ..record });
        } else if let Some(member) = self.member_mut(vm) {
            member.dead_at = Some(cx.now.instant + crate::SUSPECT_TIMEOUT);
        }
        self.probe(cx, vm.clone(), None);
    }

    fn bury_suspects(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        let due = self
            .members()
            .filter(|member| member.dead_at.is_some_and(|at| at <= now));
        let records: Vec<_> = due.map(|member| member.record.clone()).collect();
        for record in records {
            let state = VmState::Dead;
            self.set(cx, VmRecord { state, ..record });
        }
    }

    fn probe_next(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.prober.next_at.is_some_and(|at| now < at) {
            return;
        }
        self.prober.next_at = Some(now + cx.random.jitter(PROBE_INTERVAL));
        while let Some(vm) = self.next_of_round(cx) {
            let is_there = |record: &VmRecord| record.state != VmState::Dead;
            if self.record(&vm).is_some_and(is_there) {
                self.probe(cx, vm, None);
                return;
            }
        }
    }

    /// Returns the next VM of the shuffled round; begins a new round if the last one is through.
    fn next_of_round(&mut self, cx: &mut Cx<'_>) -> Option<VmId> {
        if self.prober.round.is_empty() {
            let near = self.records().filter(|record| {
                record.zone == *self.zone()
                    && record.vm != *self.local()
                    && record.state != VmState::Dead
            });
            let mut vms: Vec<_> = near.map(|record| record.vm.clone()).collect();
            while !vms.is_empty() {
                let vm = vms.swap_remove(pick(cx, vms.len()));
                self.prober.round.push(vm);
            }
        }
        self.prober.round.pop()
    }

    fn probe_far(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.prober.next_far_at.is_some_and(|at| now < at) {
            return;
        }
        self.prober.next_far_at = Some(now + cx.random.jitter(FAR_PROBE_INTERVAL));
        let far = self
            .records()
            .filter(|record| record.zone != *self.zone() || record.state == VmState::Dead);
        let far: Vec<_> = far.map(|record| record.vm.clone()).collect();
        if let Some(vm) = far.get(pick(cx, far.len())) {
            self.probe(cx, vm.clone(), None);
        }
    }

    fn probe(&mut self, cx: &mut Cx<'_>, vm: VmId, asker: Option<Asker>) {
        let is_out = |probe: &Pending| probe.vm == vm && asker.is_none() && probe.asker.is_none();
        let is_full = self.prober.pending.len() >= PROBES_MAX;
        if is_full || self.record(&vm).is_none() || self.prober.pending.iter().any(is_out) {
            return;
        }
        self.prober.last_number += 1;
        let number = ProbeNumber(self.prober.last_number);
        let deadline = cx.now.instant + PROBE_TIMEOUT;
        let news = self.news_for(&vm);
        let changes = self.changes;
        self.prober.pending.push(Pending {
            number,
            vm: vm.clone(),
            deadline,
            stage: Stage::Direct,
            asker,
        });
        cx.wake_at(deadline);
        cx.send(
            vm,
            PeerMessage::Probe {
                number,
                news,
                changes,
            },
        );
    }

    /// Returns this daemon's record, the receiver's if it must refute it, and some news.
    fn news_for(&mut self, receiver: &VmId) -> Vec<VmRecord> {
        let mut vms = vec![self.local().clone()];
        if self
            .record(receiver)
            .is_some_and(|record| record.state != VmState::Alive)
        {
            vms.push(receiver.clone());
        }
        for vm in self.news.take() {
            if !vms.contains(&vm) {
                vms.push(vm);
            }
        }
        vms.iter()
            .filter_map(|vm| self.record(vm).cloned())
            .collect()
    }

    fn plan_tick(&mut self, cx: &mut Cx<'_>) {
        let probes = self.prober.pending.iter().map(|probe| probe.deadline);
        let suspects = self.members().filter_map(|member| member.dead_at);
        let intervals = [self.prober.next_at, self.prober.next_far_at];
        let next = probes
            .chain(suspects)
            .chain(intervals.into_iter().flatten())
            .min();
        self.prober.planned_tick = next;
        if let Some(next) = next {
            cx.wake_at(next);
        }
    }
}

/// Returns a random index below `length`, or 0.
pub(crate) fn pick(cx: &mut Cx<'_>, length: usize) -> usize {
    let bound = u64::try_from(length).unwrap_or(u64::MAX);
    usize::try_from(cx.random.below(bound)).unwrap_or(0)
}
