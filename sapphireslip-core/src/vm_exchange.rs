//! Exchange of lists of VMs between peers and, at relays, with the platform.

use std::time::Duration;

use crate::derives::data;
use crate::probe::random_index;
use crate::{
    Cx, Incarnation, Instant, Membership, PeerMessage, PlatformEffect, VmId, VmRecord, VmState,
};

/// The maximum number of records in one message.
pub const VMS_PER_MESSAGE: usize = 256;

/// The mean time between two reads of the platform's list by a relay.
pub const VMS_READ_INTERVAL: Duration = Duration::from_secs(2);

/// The mean interval between requests for all VMs right after a daemon's start; it doubles each
/// time.
pub const VM_LIST_REQUEST_INTERVAL_MIN: Duration = Duration::from_millis(250);

/// The maximum mean interval between requests for all VMs, also used once all VMs are known.
pub const VM_LIST_REQUEST_INTERVAL_MAX: Duration = Duration::from_secs(60);

/// How long after its start a daemon waits for the list of VMs before it counts as ready.
pub const VM_LIST_WAIT_MAX: Duration = Duration::from_secs(2);

/// The time since a VM's last message within which the platform's report of its death is ignored.
pub const RECENT_CONTACT: Duration = Duration::from_secs(5);

data! {
    /// The schedule and state of requests for lists of VMs.
    #[derive(Default)]
    pub(crate) struct VmExchange {
        /// When a peer is to be asked for all VMs next.
        next_list_request: Option<Instant>,
        /// The mean interval before the next request to a peer for all VMs.
        list_request_interval: Option<Duration>,
        /// The VM that was asked for all VMs last and has not answered.
        asked_vm: Option<VmId>,
        /// Whether a peer has sent its list since this daemon started.
        is_vm_list_known: bool,
        /// When the platform's list is to be read next, if this daemon is a relay.
        next_list_read: Option<Instant>,
    }
}

impl Membership {
    /// Handles a peer's message about VMs.
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

    /// Handles the platform's list of VMs. The list lags behind, so it neither revives a VM nor
    /// declares one dead against newer knowledge.
    pub(crate) fn on_vms(&mut self, cx: &mut Cx<'_>, records: Option<Vec<VmRecord>>) {
        let mut changed = Vec::new();
        for record in records.into_iter().flatten().take(crate::MEMBERS_MAX) {
            let vm = record.vm.clone();
            if self.merge_listed(cx, record) {
                changed.extend(self.record(&vm).cloned());
            }
        }
        self.send_to_zone(cx, &changed);
    }

    /// Merges one record of the platform's list; returns whether it changed the record of a known
    /// VM.
    fn merge_listed(&mut self, cx: &mut Cx<'_>, mut listed: VmRecord) -> bool {
        let Some(member) = self.member(&listed.vm) else {
            self.add_unknown_vm(cx, listed);
            return false;
        };
        let known = member.record.incarnation;
        let last_heard = member.last_heard;
        // The platform lists VMs and may not know the incarnations of their daemons.
        if listed.incarnation.0 == 0 {
            listed.incarnation = known;
        }
        match listed.state {
            VmState::Alive | VmState::Suspect => {
                listed.state = VmState::Alive;
                if member.last_heard.is_none() && member.record.state == VmState::Dead {
                    self.probe(cx, listed.vm.clone(), None);
                }
                listed.vm != *self.local() && self.merge(cx, listed)
            }
            VmState::Leaving => self.merge(cx, listed),
            VmState::Dead => {
                let is_recent =
                    last_heard.is_some_and(|at| cx.now.instant.since(at) < RECENT_CONTACT);
                if listed.incarnation >= known && !is_recent {
                    self.suspect(cx, &listed.vm);
                }
                false
            }
        }
    }

    /// Adds a VM that only the platform knows as dead and probes it; it becomes alive once it
    /// answers.
    fn add_unknown_vm(&mut self, cx: &mut Cx<'_>, listed: VmRecord) {
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

    /// Merges records and returns those that changed.
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

    /// Sends all records that a peer may be told.
    fn on_want_vms(&self, cx: &mut Cx<'_>, from: &VmId) {
        let zone = self.record(from).map(|record| record.zone.clone());
        let told = self
            .records()
            .filter(|record| self.may_share(record, zone.as_ref()));
        let records: Vec<_> = told.cloned().collect();
        for part in records.chunks(VMS_PER_MESSAGE) {
            cx.send(from.clone(), PeerMessage::Vms(part.to_vec()));
        }
    }

    /// Merges a peer's records; a relay forwards changes from another zone to its own zone.
    ///
    /// More than one record from the VM that was asked for all VMs counts as its list; a single one
    /// may be just its own announcement.
    fn on_peer_vms(&mut self, cx: &mut Cx<'_>, from: &VmId, records: Vec<VmRecord>) {
        if self.exchange.asked_vm.as_ref() == Some(from) && records.len() > 1 {
            self.exchange.asked_vm = None;
            self.announce(cx);
            self.exchange.list_request_interval = Some(VM_LIST_REQUEST_INTERVAL_MAX);
            self.exchange.next_list_request =
                Some(cx.now.instant + cx.random.jitter(VM_LIST_REQUEST_INTERVAL_MAX));
        }
        let changed = self.merge_all(cx, records);
        let is_far = self
            .record(from)
            .is_some_and(|record| record.zone != *self.zone());
        if is_far && self.is_relay() {
            self.send_to_zone(cx, &changed);
        }
    }

    /// Returns whether the list of VMs was received from a peer, or none can be expected any more:
    /// there is no other VM, or [`VM_LIST_WAIT_MAX`] has passed.
    pub(crate) fn is_vm_list_known(&self, now: Instant) -> bool {
        let is_alone = self.members().count() == 1;
        self.exchange.is_vm_list_known || is_alone || now.since_start >= VM_LIST_WAIT_MAX
    }

    /// Announces this daemon to its zone and to the relays of the other zones when it first
    /// receives the list of VMs.
    fn announce(&mut self, cx: &mut Cx<'_>) {
        if !self.exchange.is_vm_list_known {
            self.exchange.is_vm_list_known = true;
            self.announce_own_record(cx);
        }
    }

    /// Sends this daemon's own record to its zone and to the relays of the other zones, which
    /// forward it.
    fn announce_own_record(&self, cx: &mut Cx<'_>) {
        for vm in self.zone_peers().into_iter().chain(self.foreign_relays()) {
            self.send_own_record(cx, &vm);
        }
    }

    /// Sends this daemon's own record to a VM, so that it can answer.
    pub(crate) fn send_own_record(&self, cx: &mut Cx<'_>, vm: &VmId) {
        if let Some(own) = self.record(self.local()) {
            cx.send(vm.clone(), PeerMessage::Vms(vec![own.clone()]));
        }
    }

    /// Sends records to all usable VMs of the zone.
    pub(crate) fn send_to_zone(&self, cx: &mut Cx<'_>, records: &[VmRecord]) {
        for part in records.chunks(VMS_PER_MESSAGE) {
            for vm in self.zone_peers() {
                cx.send(vm, PeerMessage::Vms(part.to_vec()));
            }
        }
    }

    /// Performs the steps of membership that are due.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.tick_probes(cx);
        self.request_list_if_due(cx);
        self.read_list_if_due(cx);
    }

    /// Asks a peer for all VMs if that is due: often after the start until one answers, later
    /// rarely to repair differences.
    fn request_list_if_due(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.exchange.next_list_request.is_some_and(|at| now < at) {
            return;
        }
        let delay = self
            .exchange
            .list_request_interval
            .unwrap_or(VM_LIST_REQUEST_INTERVAL_MIN);
        let next = now + cx.random.jitter(delay);
        self.exchange.list_request_interval = Some((delay * 2).min(VM_LIST_REQUEST_INTERVAL_MAX));
        self.exchange.next_list_request = Some(next);
        cx.wake_at(next);
        let mut peers = self.zone_peers();
        if peers.is_empty() {
            let others = self.records().map(|record| &record.vm);
            peers = others.filter(|vm| *vm != self.local()).cloned().collect();
        }
        if let Some(vm) = peers.get(random_index(cx, peers.len())) {
            self.send_own_record(cx, vm);
            cx.send(vm.clone(), PeerMessage::WantVms);
            self.exchange.asked_vm = Some(vm.clone());
        }
    }

    /// Reads the platform's list if this daemon is a relay and a read is due.
    fn read_list_if_due(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if !self.is_relay() {
            return;
        }
        if self.exchange.next_list_read.is_some_and(|at| now < at) {
            return;
        }
        let next = now + cx.random.jitter(VMS_READ_INTERVAL);
        self.exchange.next_list_read = Some(next);
        cx.wake_at(next);
        cx.platform(PlatformEffect::ReadVms);
    }

    /// Announces to this zone and to the relays of the other zones that this daemon is leaving.
    pub(crate) fn leave(&mut self, cx: &mut Cx<'_>) {
        let Some(own) = self.record(self.local()).cloned() else {
            return;
        };
        let state = VmState::Leaving;
        let own = VmRecord { state, ..own };
        self.set(cx, own);
        self.announce_own_record(cx);
    }
}
