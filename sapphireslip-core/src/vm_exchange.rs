//! Exchanges lists of VMs: with peers, and at the relays with the platform.

use std::time::Duration;

use crate::derives::data;
use crate::probe::pick;
use crate::{
    Cx, Incarnation, Instant, Membership, PeerMessage, PlatformEffect, VmId, VmRecord, VmState,
};

/// The most records in one message.
pub const VMS_PER_MESSAGE: usize = 256;

/// The mean time between a relay's reads of the platform's list.
pub const VMS_READ_INTERVAL: Duration = Duration::from_secs(2);

/// The first time between two questions for all VMs at the start of a daemon; it doubles.
pub const WANT_VMS_FIRST: Duration = Duration::from_millis(250);

/// The longest time between two questions, and the time between them once all VMs were learnt.
pub const WANT_VMS_LAST: Duration = Duration::from_secs(60);

/// How long after the start a daemon waits for the list of VMs before it counts as ready.
pub const LEARN_PATIENCE: Duration = Duration::from_secs(2);

/// How recently a VM must have sent something for the platform's word of its death to be ignored.
pub const HEARD_LATELY: Duration = Duration::from_secs(5);

data! {
    /// When lists are asked for.
    #[derive(Default)]
    pub(crate) struct VmExchange {
        want_at: Option<Instant>,
        want_delay: Option<Duration>,
        /// The VM that was asked last and has not answered.
        asked: Option<VmId>,
        is_learnt: bool,
        read_at: Option<Instant>,
    }
}

impl Membership {
    pub(crate) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &VmId, message: PeerMessage) {
        match message {
            PeerMessage::Probe { number, news, .. } => {
                self.merge_all(cx, news);
                self.on_probe(cx, from, number);
            }
            PeerMessage::ProbeAck { number, news, .. } => {
                self.merge_all(cx, news);
                self.on_probe_ack(cx, from, number);
            }
            PeerMessage::ProbeFor { number, vm } => self.on_probe_for(cx, from, number, vm),
            PeerMessage::ProbeForAck { number } => self.on_probe_for_ack(cx, number),
            PeerMessage::WantVms => self.on_want_vms(cx, from),
            PeerMessage::Vms(records) => self.on_peer_vms(cx, from, records),
            _ => {}
        }
    }

    /// Takes the platform's list, which lags: it neither revives nor kills against better
    /// knowledge.
    pub(crate) fn on_vms(&mut self, cx: &mut Cx<'_>, records: Option<Vec<VmRecord>>) {
        let mut changed = Vec::new();
        for record in records.into_iter().flatten().take(crate::MEMBERS_MAX) {
            let vm = record.vm.clone();
            if self.merge_listed(cx, record) {
                changed.extend(self.record(&vm).cloned());
            }
        }
        self.tell_zone(cx, &changed);
    }

    fn merge_listed(&mut self, cx: &mut Cx<'_>, mut listed: VmRecord) -> bool {
        let Some(member) = self.member(&listed.vm) else {
            self.look_for(cx, listed);
            return false;
        };
        let known = member.record.incarnation;
        let heard = member.heard;
        // The platform lists VMs; it need not know the runs of their daemons.
        if listed.incarnation.0 == 0 {
            listed.incarnation = known;
        }
        match listed.state {
            VmState::Alive | VmState::Suspect => {
                listed.state = VmState::Alive;
                if member.heard.is_none() && member.record.state == VmState::Dead {
                    self.probe(cx, listed.vm.clone(), None);
                }
                listed.vm != *self.local() && self.merge(cx, listed)
            }
            VmState::Leaving => self.merge(cx, listed),
            VmState::Dead => {
                let lately = heard.is_some_and(|at| cx.now.instant.since(at) < HEARD_LATELY);
                if listed.incarnation >= known && !lately {
                    self.suspect(cx, &listed.vm);
                }
                false
            }
        }
    }

    /// Probes a VM of which only the platform knows: it takes part once it answers.
    fn look_for(&mut self, cx: &mut Cx<'_>, listed: VmRecord) {
        if matches!(listed.state, VmState::Leaving | VmState::Dead) {
            return;
        }
        let vm = listed.vm.clone();
        let state = VmState::Dead;
        let incarnation = Incarnation(0);
        if self.merge(
            cx,
            VmRecord {
                state,
                incarnation,
                ..listed
            },
        ) {
            self.probe(cx, vm, None);
        }
    }

    fn merge_all(&mut self, cx: &mut Cx<'_>, records: Vec<VmRecord>) -> Vec<VmRecord> {
        let mut changed = Vec::new();
        for record in records {
            let vm = record.vm.clone();
            if self.merge(cx, record) {
                changed.extend(self.record(&vm).cloned());
            }
        }
        changed
    }

    fn on_want_vms(&self, cx: &mut Cx<'_>, from: &VmId) {
        let zone = self.record(from).map(|record| record.zone.clone());
        let told = self
            .records()
            .filter(|record| self.may_tell(record, zone.as_ref()));
        let records: Vec<_> = told.cloned().collect();
        for part in records.chunks(VMS_PER_MESSAGE) {
            cx.send(from.clone(), PeerMessage::Vms(part.to_vec()));
        }
    }

    /// Takes a peer's list; a relay passes on to its zone what another zone told it.
    fn on_peer_vms(&mut self, cx: &mut Cx<'_>, from: &VmId, records: Vec<VmRecord>) {
        if self.exchange.asked.as_ref() == Some(from) && records.len() > 1 {
            self.exchange.asked = None;
            self.announce(cx);
            self.exchange.want_delay = Some(WANT_VMS_LAST);
            self.exchange.want_at = Some(cx.now.instant + cx.random.jitter(WANT_VMS_LAST));
        }
        let changed = self.merge_all(cx, records);
        let is_far = self
            .record(from)
            .is_some_and(|record| record.zone != *self.zone());
        if is_far && self.is_relay() {
            self.tell_zone(cx, &changed);
        }
    }

    /// Returns whether the list of VMs was learnt from a peer, or no peer gave it in good time.
    pub(crate) fn is_learnt(&self, now: Instant) -> bool {
        let is_alone = self.members().count() == 1;
        self.exchange.is_learnt || is_alone || now.since_start >= LEARN_PATIENCE
    }

    /// Tells the zone and the relays of the others that this daemon takes part, the first time
    /// that it has learnt who they are.
    fn announce(&mut self, cx: &mut Cx<'_>) {
        if !self.exchange.is_learnt {
            self.exchange.is_learnt = true;
            self.tell_all(cx);
        }
    }

    /// Sends this daemon's own record to its zone and to the relays of the others, which pass it
    /// on.
    fn tell_all(&self, cx: &mut Cx<'_>) {
        for vm in self.zone_peers().into_iter().chain(self.foreign_relays()) {
            self.introduce(cx, &vm);
        }
    }

    /// Sends this daemon's own record, so that the receiver can answer.
    pub(crate) fn introduce(&self, cx: &mut Cx<'_>, vm: &VmId) {
        if let Some(own) = self.record(self.local()) {
            cx.send(vm.clone(), PeerMessage::Vms(vec![own.clone()]));
        }
    }

    /// Tells all usable VMs of the zone.
    pub(crate) fn tell_zone(&self, cx: &mut Cx<'_>, records: &[VmRecord]) {
        for part in records.chunks(VMS_PER_MESSAGE) {
            for vm in self.zone_peers() {
                cx.send(vm, PeerMessage::Vms(part.to_vec()));
            }
        }
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.tick_probes(cx);
        self.tick_want(cx);
        self.tick_read(cx);
    }

    /// Asks a peer for all VMs: at the start until one answers, later rarely, as a repair.
    fn tick_want(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.exchange.want_at.is_some_and(|at| now < at) {
            return;
        }
        let delay = self.exchange.want_delay.unwrap_or(WANT_VMS_FIRST);
        let next = now + cx.random.jitter(delay);
        self.exchange.want_delay = Some((delay * 2).min(WANT_VMS_LAST));
        self.exchange.want_at = Some(next);
        cx.wake_at(next);
        let mut peers = self.zone_peers();
        if peers.is_empty() {
            let others = self.records().map(|record| &record.vm);
            peers = others.filter(|vm| *vm != self.local()).cloned().collect();
        }
        if let Some(vm) = peers.get(pick(cx, peers.len())) {
            self.introduce(cx, vm);
            cx.send(vm.clone(), PeerMessage::WantVms);
            self.exchange.asked = Some(vm.clone());
        }
    }

    fn tick_read(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if !self.is_relay() {
            return;
        }
        if self.exchange.read_at.is_some_and(|at| now < at) {
            return;
        }
        let next = now + cx.random.jitter(VMS_READ_INTERVAL);
        self.exchange.read_at = Some(next);
        cx.wake_at(next);
        cx.platform(PlatformEffect::ReadVms);
    }

    /// Announces that this daemon is leaving, to its zone and to the relays of the others.
    pub(crate) fn leave(&mut self, cx: &mut Cx<'_>) {
        let Some(own) = self.record(self.local()).cloned() else {
            return;
        };
        let state = VmState::Leaving;
        let own = VmRecord { state, ..own };
        self.set(cx, own);
        self.tell_all(cx);
    }
}
