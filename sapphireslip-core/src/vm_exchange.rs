//! Exchanges lists of VMs: with peers, and at the relays with the platform.

use std::time::Duration;

use crate::derives::data;
use crate::probe::pick;
use crate::{Cx, Instant, Membership, PeerMessage, PlatformEffect, VmId, VmRecord, VmState};

/// The most records in one message.
pub const VMS_PER_MESSAGE: usize = 256;

/// The mean time between a relay's reads of the platform's list.
pub const VMS_READ_INTERVAL: Duration = Duration::from_secs(2);

/// The first time between two questions for all VMs at the start of a daemon; it doubles.
pub const WANT_VMS_FIRST: Duration = Duration::from_millis(250);

/// The longest time between two questions, and the time between them once all VMs were learnt.
pub const WANT_VMS_LAST: Duration = Duration::from_secs(60);

/// How recently a VM must have sent something for the platform's word of its death to be ignored.
pub const HEARD_LATELY: Duration = Duration::from_secs(5);

data! {
    /// When lists are asked for.
    #[derive(Default)]
    pub(crate) struct VmExchange {
        want_at: Option<Instant>,
        want_delay: Option<Duration>,
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
            return listed.state != VmState::Dead && self.merge(cx, listed);
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
        let records: Vec<_> = self.records().cloned().collect();
        for part in records.chunks(VMS_PER_MESSAGE) {
            cx.send(from.clone(), PeerMessage::Vms(part.to_vec()));
        }
    }

    /// Takes a peer's list; a relay passes on to its zone what another zone told it.
    fn on_peer_vms(&mut self, cx: &mut Cx<'_>, from: &VmId, records: Vec<VmRecord>) {
        if records.len() > 1 {
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

    fn tell_zone(&self, cx: &mut Cx<'_>, records: &[VmRecord]) {
        for part in records.chunks(VMS_PER_MESSAGE) {
            for vm in self.zone_peers() {
                cx.send(vm, PeerMessage::Vms(part.to_vec()));
            }
        }
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.tick_probes(cx);
        self.forget_dead(cx.now.instant);
        self.tick_want(cx);
        self.tick_read(cx);
    }

    /// Asks a peer for all VMs: at the start until one answers, later rarely, as a repair.
    fn tick_want(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if let Some(at) = self.exchange.want_at.filter(|at| now < *at) {
            cx.wake_at(at);
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
            cx.send(vm.clone(), PeerMessage::WantVms);
        }
    }

    fn tick_read(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if !self.is_relay() {
            return;
        }
        if let Some(at) = self.exchange.read_at.filter(|at| now < *at) {
            cx.wake_at(at);
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
        self.set(cx, own.clone());
        self.tell_zone(cx, std::slice::from_ref(&own));
        for vm in self.foreign_relays() {
            cx.send(vm, PeerMessage::Vms(vec![own.clone()]));
        }
    }
}
