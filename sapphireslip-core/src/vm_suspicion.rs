//! Suspicion of VMs that leave probes unanswered, up to their declaration as dead.

use std::time::Duration;

use crate::probe::{PendingProbe, Stage, random_index};
use crate::{Cx, Instant, Membership, PeerMessage, VmId, VmRecord, VmState};

/// The time within which a probe through other VMs must be answered.
pub const PROBE_FOR_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of other VMs that are asked to probe a VM that does not answer.
pub const PROBE_HELPERS: usize = 2;

/// How long a suspect VM has to show that it is up before it is declared dead.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1200);

/// The minimum delay of a tick after which this process counts as having been paused.
pub const PAUSE_MIN: Duration = Duration::from_millis(200);

impl Membership {
    /// Extends all deadlines by the time for which this process was paused.
    pub(crate) fn extend_deadlines_after_pause(&mut self, now: Instant) {
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

    /// Handles the probes that were not answered in time. Those sent on behalf of other daemons are
    /// dropped, as each requester has its own deadline.
    pub(crate) fn expire_probes(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        let (due, waiting) = std::mem::take(&mut self.prober.pending)
            .into_iter()
            .partition(|probe| probe.deadline <= now);
        self.prober.pending = waiting;
        let due: Vec<PendingProbe> = due;
        for probe in due.into_iter().filter(|probe| probe.requester.is_none()) {
            if probe.stage == Stage::ThroughOthers || !self.ask_others(cx, &probe) {
                self.suspect(cx, &probe.vm);
            }
        }
    }

    /// Asks other VMs of the zone to probe a VM; returns false if the VM is in another zone or
    /// there is nobody to ask.
    fn ask_others(&mut self, cx: &mut Cx<'_>, probe: &PendingProbe) -> bool {
        let is_near = self
            .record(&probe.vm)
            .is_some_and(|record| record.zone == *self.zone());
        let mut others = self.zone_peers();
        others.retain(|vm| *vm != probe.vm);
        if !is_near || others.is_empty() {
            return false;
        }
        for _ in 0..PROBE_HELPERS.min(others.len()) {
            let helper = others.swap_remove(random_index(cx, others.len()));
            let vm = probe.vm.clone();
            let number = probe.number;
            cx.send(helper, PeerMessage::ProbeFor { number, vm });
        }
        self.prober.pending.push(PendingProbe {
            deadline: cx.now.instant + PROBE_FOR_TIMEOUT,
            stage: Stage::ThroughOthers,
            ..probe.clone()
        });
        true
    }

    /// Marks a VM as suspect, so that it is declared dead unless it is heard from in time, and
    /// probes it, which tells it about the suspicion. A leaving VM keeps that state until then.
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
            let at = cx.now.instant + SUSPECT_TIMEOUT;
            member.dead_at = Some(at);
            self.prober.schedule_tick(cx, at);
        }
        self.probe(cx, vm.clone(), None);
    }

    /// Declares dead the VMs whose suspicion timed out, and tells the whole zone at once about
    /// those of its own: news that travels with probes alone would take several seconds to reach
    /// all of a hundred VMs.
    pub(crate) fn declare_suspects_dead(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        let due = self
            .members()
            .filter(|member| member.dead_at.is_some_and(|at| at <= now));
        let records: Vec<_> = due.map(|member| member.record.clone()).collect();
        let mut dead = Vec::new();
        for record in records {
            let state = VmState::Dead;
            let record = VmRecord { state, ..record };
            self.set(cx, record.clone());
            dead.push(record);
        }
        dead.retain(|record| record.zone == *self.zone());
        self.send_to_zone(cx, &dead);
    }
}
