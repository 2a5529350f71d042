//! Finds out by probes which VMs answer.
//!
//! Each daemon probes one VM of its zone a second, in a shuffled order. One that does not answer
//! is probed again through others, is then suspect, and after a time dead. Now and then a VM of
//! another zone, or one that is thought dead, is probed too: that carries news from zone to zone
//! and ends the mutual silence that a cut leaves behind.

use std::time::Duration;

use crate::derives::{data, key};
use crate::{Cx, Instant, Membership, PeerMessage, ProbeNumber, VmId, VmRecord, VmState, ZoneName};

/// The mean time between probes of VMs of the own zone.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The mean time between probes of VMs of other zones or of dead ones.
pub const FAR_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a probe may go unanswered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The most probes that wait for an answer.
pub const PROBES_MAX: usize = 256;

key! {
    /// How far a probe has come.
    pub(crate) enum Stage {
        /// It was sent to the VM.
        Direct,
        /// Others were asked to probe the VM.
        ThroughOthers,
    }
}

data! {
    /// Whose question a probe made on behalf of another daemon answers.
    pub(crate) struct Asker {
        vm: VmId,
        number: ProbeNumber,
    }

    /// A probe that waits for an answer.
    pub(crate) struct Pending {
        pub(crate) number: ProbeNumber,
        pub(crate) vm: VmId,
        pub(crate) deadline: Instant,
        pub(crate) stage: Stage,
        pub(crate) asker: Option<Asker>,
    }

    /// The probes that are out and the order of those to come.
    #[derive(Default)]
    pub(crate) struct Prober {
        last_number: u64,
        pub(crate) pending: Vec<Pending>,
        round: Vec<VmId>,
        next_at: Option<Instant>,
        next_far_at: Option<Instant>,
        pub(crate) planned_tick: Option<Instant>,
    }
}

impl Prober {
    /// Asks for a tick at `at`.
    pub(crate) fn plan(&mut self, cx: &mut Cx<'_>, at: Instant) {
        let is_sooner = self.planned_tick.is_none_or(|planned| at < planned);
        if is_sooner {
            self.planned_tick = Some(at);
        }
        cx.wake_at(at);
    }
}

impl Membership {
    /// Notes that a VM has sent something: it is alive.
    pub(crate) fn on_heard(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        let now = cx.now.instant;
        let Some(member) = self.member_mut(vm) else {
            return;
        };
        let heard = member.heard.replace(now);
        member.dead_at = None;
        if member.record.state == VmState::Suspect {
            member.record.state = VmState::Alive;
        }
        let is_dead = member.record.state == VmState::Dead;
        let pending = &mut self.prober.pending;
        pending.retain(|probe| probe.vm != *vm || probe.asker.is_some());
        let is_lately = heard.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        if is_dead && !is_lately {
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
        if self
            .prober
            .planned_tick
            .is_some_and(|at| cx.now.instant < at)
        {
            return;
        }
        self.forgive_pause(cx.now.instant);
        self.expire_probes(cx);
        self.bury_suspects(cx);
        self.forget_dead(cx.now.instant);
        self.probe_next(cx);
        self.probe_far(cx);
        self.plan_tick(cx);
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

    /// Probes a VM unless a probe to it is out already.
    pub(crate) fn probe(&mut self, cx: &mut Cx<'_>, vm: VmId, asker: Option<Asker>) {
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
        self.prober.plan(cx, deadline);
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
    ///
    /// News for another zone leaves out what this zone cannot judge, see [`Self::may_tell`].
    fn news_for(&mut self, receiver: &VmId) -> Vec<VmRecord> {
        let mut vms = vec![self.local().clone()];
        if self
            .record(receiver)
            .is_some_and(|record| record.state != VmState::Alive)
        {
            vms.push(receiver.clone());
        }
        let zone = self.record(receiver).map(|record| record.zone.clone());
        for vm in self.news.take() {
            let record = self.record(&vm);
            if !vms.contains(&vm) && record.is_some_and(|r| self.may_tell(r, zone.as_ref())) {
                vms.push(vm);
            }
        }
        vms.iter()
            .filter_map(|vm| self.record(vm).cloned())
            .collect()
    }

    /// Returns whether a record may be told to a VM of `zone`.
    ///
    /// Which VMs of a zone are gone is for that zone to say: a zone that is cut off from another
    /// one takes its VMs for dead, and must not persuade a third zone of it.
    pub(crate) fn may_tell(&self, record: &VmRecord, zone: Option<&ZoneName>) -> bool {
        let is_judgement = matches!(record.state, VmState::Suspect | VmState::Dead);
        !is_judgement || record.zone == *self.zone() || zone == Some(self.zone())
    }

    fn plan_tick(&mut self, cx: &mut Cx<'_>) {
        let probes = self.prober.pending.iter().map(|probe| probe.deadline);
        let suspects = self.members().filter_map(|member| member.dead_at);
        let intervals = [self.prober.next_at, self.prober.next_far_at];
        let next = probes
            .chain(suspects)
            .chain(intervals.into_iter().flatten())
            .min();
        self.prober.planned_tick = None;
        if let Some(next) = next {
            self.prober.plan(cx, next);
        }
    }
}

/// Returns a random index below `length`, or 0.
pub(crate) fn pick(cx: &mut Cx<'_>, length: usize) -> usize {
    let bound = u64::try_from(length).unwrap_or(u64::MAX);
    usize::try_from(cx.random.below(bound)).unwrap_or(0)
}
