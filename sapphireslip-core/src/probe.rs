//! Failure detection among VMs by periodic probes.
//!
//! Each daemon probes one VM of its zone per second, in a shuffled order. A VM that does not answer
//! is probed again through other VMs, then becomes suspect and after a timeout dead. At a lower
//! rate a daemon also probes VMs of other zones and VMs that count as dead. These probes carry news
//! between zones, and they restore contact between VMs that declared each other dead during a
//! network partition.

use std::time::Duration;

use crate::derives::{data, key};
use crate::{Cx, Instant, Membership, PeerMessage, ProbeNumber, VmId, VmRecord, VmState, ZoneName};

/// The mean time between two probes of VMs of the daemon's own zone.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The mean time between two probes of VMs that are in other zones or count as dead.
pub const FAR_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The time within which a probe must be answered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum number of probes that wait for an answer.
pub const PROBES_MAX: usize = 256;

key! {
    /// The way in which a VM is being probed.
    pub(crate) enum Stage {
        /// This daemon sent the probe to the VM.
        Direct,
        /// Other VMs were asked to probe the VM.
        ThroughOthers,
    }
}

data! {
    /// A daemon that asked this one to probe a VM on its behalf.
    pub(crate) struct Requester {
        /// The VM of the daemon that asked.
        vm: VmId,
        /// The probe number in its request, which the answer repeats.
        number: ProbeNumber,
    }

    /// A probe that has not been answered yet.
    pub(crate) struct PendingProbe {
        /// The probe's number, which the answer repeats.
        pub(crate) number: ProbeNumber,
        /// The probed VM.
        pub(crate) vm: VmId,
        /// When the probe counts as unanswered.
        pub(crate) deadline: Instant,
        /// Whether the VM is probed directly or through other VMs.
        pub(crate) stage: Stage,
        /// The daemon on whose behalf the probe was sent, if any.
        pub(crate) requester: Option<Requester>,
    }

    /// The pending probes and the schedule of the next ones.
    #[derive(Default)]
    pub(crate) struct Prober {
        /// The number of the last probe sent.
        last_number: u64,
        /// The probes that have not been answered yet.
        pub(crate) pending: Vec<PendingProbe>,
        /// The VMs of this zone still to be probed in the current round, the next one last.
        round: Vec<VmId>,
        /// When the next VM of this zone is to be probed.
        next_near_probe: Option<Instant>,
        /// When the next VM that is in another zone or counts as dead is to be probed.
        next_far_probe: Option<Instant>,
        /// When the next tick is needed; a tick that comes much later than that shows that the
        /// process was paused.
        pub(crate) planned_tick: Option<Instant>,
    }
}

impl Prober {
    /// Requests a tick at `at`.
    pub(crate) fn schedule_tick(&mut self, cx: &mut Cx<'_>, at: Instant) {
        let is_sooner = self.planned_tick.is_none_or(|planned| at < planned);
        if is_sooner {
            self.planned_tick = Some(at);
        }
        cx.wake_at(at);
    }
}

impl Membership {
    /// Records that a VM has sent a message and is therefore up. A VM that counts as dead and was
    /// not heard from within [`PROBE_INTERVAL`] is probed, so that it learns that it counts as
    /// dead.
    pub(crate) fn on_heard(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        let now = cx.now.instant;
        let Some(member) = self.member_mut(vm) else {
            return;
        };
        let last_heard = member.last_heard.replace(now);
        member.dead_at = None;
        if member.record.state == VmState::Suspect {
            member.record.state = VmState::Alive;
        }
        let is_dead = member.record.state == VmState::Dead;
        let pending = &mut self.prober.pending;
        pending.retain(|probe| probe.vm != *vm || probe.requester.is_some());
        let is_recent = last_heard.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        if is_dead && !is_recent {
            self.probe(cx, vm.clone(), None);
        }
    }

    /// Handles the loss of a message to a VM: the VM is suspected until it answers a probe.
    pub(crate) fn on_peer_lost(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        self.suspect(cx, vm);
    }

    /// Answers a probe.
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

    /// Handles the answer to a probe, and forwards it if the probe was sent on behalf of another
    /// daemon.
    pub(crate) fn on_probe_ack(&mut self, cx: &mut Cx<'_>, from: &VmId, number: ProbeNumber) {
        let answered = |probe: &PendingProbe| probe.number == number && probe.vm == *from;
        let Some(index) = self.prober.pending.iter().position(answered) else {
            return;
        };
        if let Some(requester) = self.prober.pending.swap_remove(index).requester {
            let number = requester.number;
            cx.send(requester.vm, PeerMessage::ProbeForAck { number });
        }
    }

    /// Probes a VM on behalf of another daemon.
    pub(crate) fn on_probe_for(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        number: ProbeNumber,
        vm: VmId,
    ) {
        let requester = Requester {
            vm: from.clone(),
            number,
        };
        self.probe(cx, vm, Some(requester));
    }

    /// Handles the news that a VM answered a probe that another daemon sent on behalf of this one.
    pub(crate) fn on_probe_for_ack(&mut self, cx: &mut Cx<'_>, number: ProbeNumber) {
        let pending = &self.prober.pending;
        let probed = pending.iter().find(|probe| probe.number == number);
        if let Some(vm) = probed.map(|probe| probe.vm.clone()) {
            self.on_heard(cx, &vm);
        }
    }

    /// Sends the probes that are due, suspects VMs that did not answer and declares dead those
    /// whose suspicion timed out.
    pub(crate) fn tick_probes(&mut self, cx: &mut Cx<'_>) {
        if self
            .prober
            .planned_tick
            .is_some_and(|at| cx.now.instant < at)
        {
            return;
        }
        self.extend_deadlines_after_pause(cx.now.instant);
        self.expire_probes(cx);
        self.declare_suspects_dead(cx);
        self.forget_dead(cx.now.instant);
        self.probe_next(cx);
        self.probe_far(cx);
        self.plan_tick(cx);
    }

    /// Probes the next VM of this zone if that is due.
    fn probe_next(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.prober.next_near_probe.is_some_and(|at| now < at) {
            return;
        }
        self.prober.next_near_probe = Some(now + cx.random.jitter(PROBE_INTERVAL));
        while let Some(vm) = self.next_of_round(cx) {
            let is_not_dead = |record: &VmRecord| record.state != VmState::Dead;
            if self.record(&vm).is_some_and(is_not_dead) {
                self.probe(cx, vm, None);
                return;
            }
        }
    }

    /// Returns the next VM of the shuffled round, starting a new round when the last one is
    /// complete.
    fn next_of_round(&mut self, cx: &mut Cx<'_>) -> Option<VmId> {
        if self.prober.round.is_empty() {
            let near = self.records().filter(|record| {
                record.zone == *self.zone()
                    && record.vm != *self.local()
                    && record.state != VmState::Dead
            });
            let mut vms: Vec<_> = near.map(|record| record.vm.clone()).collect();
            while !vms.is_empty() {
                let vm = vms.swap_remove(random_index(cx, vms.len()));
                self.prober.round.push(vm);
            }
        }
        self.prober.round.pop()
    }

    /// Probes a random VM that is in another zone or counts as dead, if that is due.
    fn probe_far(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.prober.next_far_probe.is_some_and(|at| now < at) {
            return;
        }
        self.prober.next_far_probe = Some(now + cx.random.jitter(FAR_PROBE_INTERVAL));
        let far = self
            .records()
            .filter(|record| record.zone != *self.zone() || record.state == VmState::Dead);
        let far: Vec<_> = far.map(|record| record.vm.clone()).collect();
        if let Some(vm) = far.get(random_index(cx, far.len())) {
            self.probe(cx, vm.clone(), None);
        }
    }

    /// Sends a probe to a VM, unless the VM is unknown, [`PROBES_MAX`] probes are pending, or one
    /// of this daemon's own is pending for the VM already. A probe on behalf of a requester does
    /// not count as its own.
    pub(crate) fn probe(&mut self, cx: &mut Cx<'_>, vm: VmId, requester: Option<Requester>) {
        let is_pending = |probe: &PendingProbe| {
            probe.vm == vm && requester.is_none() && probe.requester.is_none()
        };
        let is_full = self.prober.pending.len() >= PROBES_MAX;
        if is_full || self.record(&vm).is_none() || self.prober.pending.iter().any(is_pending) {
            return;
        }
        self.prober.last_number += 1;
        let number = ProbeNumber(self.prober.last_number);
        let deadline = cx.now.instant + PROBE_TIMEOUT;
        let news = self.news_for(&vm);
        let changes = self.changes;
        self.prober.pending.push(PendingProbe {
            number,
            vm: vm.clone(),
            deadline,
            stage: Stage::Direct,
            requester,
        });
        self.prober.schedule_tick(cx, deadline);
        cx.send(
            vm,
            PeerMessage::Probe {
                number,
                news,
                changes,
            },
        );
    }

    /// Returns the records to send along with a probe or its answer: this daemon's own, the
    /// receiver's if it does not count as alive, so that it can refute that, and recent news.
    ///
    /// Records that this zone must not tell the receiver's zone are left out, see
    /// [`Self::may_share`].
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
            if !vms.contains(&vm) && record.is_some_and(|r| self.may_share(r, zone.as_ref())) {
                vms.push(vm);
            }
        }
        vms.iter()
            .filter_map(|vm| self.record(vm).cloned())
            .collect()
    }

    /// Returns whether a record may be sent to a VM of `zone`.
    ///
    /// Only a zone itself may tell other zones which of its VMs are suspect or dead. A zone that is
    /// cut off from another one declares all VMs there dead and must not convince a third zone of
    /// it.
    pub(crate) fn may_share(&self, record: &VmRecord, zone: Option<&ZoneName>) -> bool {
        let is_judgement = matches!(record.state, VmState::Suspect | VmState::Dead);
        !is_judgement || record.zone == *self.zone() || zone == Some(self.zone())
    }

    /// Requests a tick for the next step that is due.
    fn plan_tick(&mut self, cx: &mut Cx<'_>) {
        let probes = self.prober.pending.iter().map(|probe| probe.deadline);
        let suspects = self.members().filter_map(|member| member.dead_at);
        let intervals = [self.prober.next_near_probe, self.prober.next_far_probe];
        let next = probes
            .chain(suspects)
            .chain(intervals.into_iter().flatten())
            .min();
        self.prober.planned_tick = None;
        if let Some(next) = next {
            self.prober.schedule_tick(cx, next);
        }
    }
}

/// Returns a random index below `length`, or 0 if `length` is 0.
pub(crate) fn random_index(cx: &mut Cx<'_>, length: usize) -> usize {
    let bound = u64::try_from(length).unwrap_or(u64::MAX);
    usize::try_from(cx.random.below(bound)).unwrap_or(0)
}
