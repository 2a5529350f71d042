//! A handful of reducers joined by queues, with a hand-driven clock.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sapphireslip_core::{
    AcceptedDocument, ChangeCount, Effect, Event, Generation, Incarnation, Instant, Local,
    MemberName, Now, OperatorEvent, PeerMessage, PlatformEffect, PlatformEvent, ServiceName, State,
    VmId, VmRecord, VmState, ZoneName, reduce,
};

const ONE_WAY: Duration = Duration::from_millis(1);

pub fn vm(name: &str) -> VmId {
    VmId::try_from(name).unwrap()
}

/// The zone of a VM named `ZONE-NUMBER`.
pub fn zone_of(vm: &VmId) -> ZoneName {
    let (zone, _) = vm.as_str().split_once('-').unwrap();
    ZoneName::try_from(zone).unwrap()
}

fn address(vm: &VmId) -> SocketAddr {
    let (zone, number) = vm.as_str().split_once('-').unwrap();
    let number: u8 = number.parse().unwrap();
    SocketAddr::from(([10, 0, zone.as_bytes()[0], number], 7000))
}

pub fn record(vm: &VmId, incarnation: u64, state: VmState) -> VmRecord {
    VmRecord {
        vm: vm.clone(),
        zone: zone_of(vm),
        address: address(vm),
        incarnation: Incarnation(incarnation),
        state,
    }
}

/// A document that declares the databases.
pub fn document(
    service: &str,
    generation: u64,
    change: u64,
    databases: &[&str],
) -> AcceptedDocument {
    let mut text = format!(
        "service = \"{service}\"\nmember = \"m\"\ngeneration = {generation}\n\
         [limits]\nsessions = 10\nqueued = 10\n[stop]\nbound = \"5s\"\n"
    );
    for (index, database) in databases.iter().enumerate() {
        text += &format!(
            "[[database]]\nname = \"{database}\"\nconnections = 16\nmax_staleness = \"5s\"\n\
             deadline = \"2s\"\n[[database.server]]\nid = \"{database}-1\"\nzone = \"a\"\n\
             address = \"10.9.0.{}:5432\"\n",
            index + 1
        );
    }
    AcceptedDocument {
        member: MemberName::try_from("m").unwrap(),
        service: ServiceName::try_from(service).unwrap(),
        generation: Generation(generation),
        change: ChangeCount(change),
        text: Arc::from(text),
    }
}

/// The platform's service, reduced to what daemons read.
#[derive(Default)]
pub struct Platform {
    pub is_down: bool,
    pub cut_zones: Vec<ZoneName>,
    pub documents: BTreeMap<ServiceName, AcceptedDocument>,
    pub vms: Vec<VmRecord>,
    pub leaving: Vec<IpAddr>,
    pub reads: u64,
    /// How many of these ask for documents: each is several reads of the table.
    pub document_reads: u64,
}

impl Platform {
    pub fn accept(&mut self, document: AcceptedDocument) {
        self.documents.insert(document.service.clone(), document);
    }

    pub fn changes(&self) -> ChangeCount {
        let changes = self.documents.values().map(|document| document.change);
        changes.max().unwrap_or_default()
    }

    fn answer(&mut self, from: &VmId, effect: &PlatformEffect) -> PlatformEvent {
        self.reads += 1;
        let is_up = !self.is_down && !self.cut_zones.contains(&zone_of(from));
        match effect {
            PlatformEffect::ReadChanges => PlatformEvent::Changes(is_up.then(|| self.changes())),
            PlatformEffect::ReadDocuments { since } => {
                self.document_reads += 1;
                let newer = self.documents.values().filter(|d| d.change > *since);
                PlatformEvent::Documents(is_up.then(|| newer.cloned().collect()))
            }
            PlatformEffect::ReadVms => PlatformEvent::Vms(is_up.then(|| self.vms.clone())),
        }
    }
}

/// The daemons and the messages under way.
#[derive(Default)]
pub struct Fleet {
    pub now: Duration,
    pub daemons: BTreeMap<VmId, State>,
    pub platform: Platform,
    /// Pairs of zones whose VMs do not reach each other.
    pub cuts: Vec<[ZoneName; 2]>,
    /// Pairs of VMs that do not reach each other.
    pub vm_cuts: Vec<[VmId; 2]>,
    /// VMs that take no message and no tick, without anybody being told.
    pub frozen: BTreeSet<VmId>,
    /// Effects of interest, with the time and the VM.
    pub log: Vec<(Duration, VmId, Effect)>,
    /// Approximate bytes sent by each VM.
    pub bytes: BTreeMap<VmId, u64>,
    /// When each daemon was started: its own clock begins there.
    born: BTreeMap<VmId, Duration>,
    queue: BTreeMap<(Duration, u64), (VmId, Event)>,
    ticks: BTreeSet<(Duration, VmId)>,
    sent: u64,
}

impl Fleet {
    /// Starts daemons that know each other and each other's runs.
    pub fn start(vms: &[VmId]) -> Self {
        let mut fleet = Self::default();
        let alive = |vm| record(vm, 1, VmState::Alive);
        for vm in vms {
            fleet.add_knowing(vm, 1, vms.iter().map(alive).collect());
        }
        fleet
    }

    /// Starts one daemon that has the seeds in its settings.
    pub fn add(&mut self, vm: &VmId, incarnation: u64, seeds: &[VmId]) {
        let alive = |seed| record(seed, 0, VmState::Alive);
        self.add_knowing(vm, incarnation, seeds.iter().map(alive).collect());
    }

    fn add_knowing(&mut self, vm: &VmId, incarnation: u64, seeds: Vec<VmRecord>) {
        let local = Local {
            vm: vm.clone(),
            zone: zone_of(vm),
            address: address(vm),
            incarnation: Incarnation(incarnation),
        };
        let seed = vm
            .as_str()
            .bytes()
            .fold(incarnation, |sum, byte| sum * 31 + u64::from(byte));
        self.daemons
            .insert(vm.clone(), State::new(local, seeds, seed));
        self.born.insert(vm.clone(), self.now);
        self.ticks.insert((self.now, vm.clone()));
    }

    pub fn kill(&mut self, vm: &VmId) {
        self.daemons.remove(vm);
    }

    pub fn state(&self, vm: &VmId) -> &State {
        &self.daemons[vm]
    }

    /// Returns in which state one daemon holds another VM.
    pub fn view(&self, at: &VmId, of: &VmId) -> Option<VmState> {
        self.state(at)
            .membership
            .record(of)
            .map(|record| record.state)
    }

    pub fn drain(&mut self, vm: &VmId, bound: Duration) {
        self.hand_in(vm, Event::Operator(OperatorEvent::Drain { bound }));
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until the condition holds; returns how long that took.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.step(start + limit), "not within {limit:?}");
        }
        self.now - start
    }

    /// Hands in the next event, if it is due by `end`.
    fn step(&mut self, end: Duration) -> bool {
        let message = self.queue.first_key_value().map(|(key, _)| *key);
        let tick = self.ticks.first().cloned();
        let message_at = message.map_or(Duration::MAX, |(at, _)| at);
        let tick_at = tick.as_ref().map_or(Duration::MAX, |(at, _)| *at);
        if message_at.min(tick_at) > end {
            return false;
        }
        self.now = self.now.max(message_at.min(tick_at));
        if message_at <= tick_at {
            let (to, event) = self.queue.remove(&message.unwrap()).unwrap();
            self.hand_in(&to, event);
        } else {
            let (at, vm) = tick.unwrap();
            self.ticks.remove(&(at, vm.clone()));
            self.hand_in(&vm, Event::Tick);
        }
        true
    }

    pub fn hand_in(&mut self, vm: &VmId, event: Event) {
        if self.frozen.contains(vm) {
            if event == Event::Tick {
                self.ticks
                    .insert((self.now + Duration::from_millis(50), vm.clone()));
            }
            return;
        }
        let Some(state) = self.daemons.get_mut(vm) else {
            return;
        };
        let now = Now {
            instant: Instant {
                since_start: self.now - self.born[vm],
            },
            unix: self.now,
        };
        for effect in reduce(state, now, event) {
            self.carry_out(vm, effect);
        }
    }

    fn carry_out(&mut self, vm: &VmId, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.send(vm, to, message),
            Effect::Platform(effect) => {
                let event = self.platform.answer(vm, &effect);
                if matches!(event, PlatformEvent::Vms(Some(_))) {
                    let event = PlatformEvent::LeavingServers(self.platform.leaving.clone());
                    self.push(vm.clone(), Event::Platform(event));
                }
                self.push(vm.clone(), Event::Platform(event));
            }
            Effect::WakeAt(at) => {
                let at = at.since_start + self.born[vm];
                self.ticks.insert((at.max(self.now), vm.clone()));
            }
            effect => self.log.push((self.now, vm.clone(), effect)),
        }
    }

    fn send(&mut self, from: &VmId, to: VmId, message: PeerMessage) {
        *self.bytes.entry(from.clone()).or_default() += bytes_of(&message);
        let zones = [zone_of(from), zone_of(&to)];
        let is_cut =
            |cut: &[ZoneName; 2]| zones[0] != zones[1] && cut.iter().all(|z| zones.contains(z));
        let is_vm_cut = |cut: &[VmId; 2]| cut.contains(from) && cut.contains(&to);
        if self.cuts.iter().any(is_cut) || self.vm_cuts.iter().any(is_vm_cut) {
            return;
        }
        if self.daemons.contains_key(&to) {
            let from = from.clone();
            self.push(to, Event::Peer { from, message });
        } else {
            self.push(from.clone(), Event::PeerLost { vm: to });
        }
    }

    fn push(&mut self, to: VmId, event: Event) {
        self.sent += 1;
        self.queue
            .insert((self.now + ONE_WAY, self.sent), (to, event));
    }
}

/// Returns about how many bytes a message takes, framing included.
fn bytes_of(message: &PeerMessage) -> u64 {
    const FRAME: u64 = 30;
    const RECORD: u64 = 50;
    let records = |records: &[VmRecord]| RECORD * u64::try_from(records.len()).unwrap();
    let body = match message {
        PeerMessage::Probe { news, .. } | PeerMessage::ProbeAck { news, .. } => 20 + records(news),
        PeerMessage::Vms(vms) => records(vms),
        PeerMessage::Documents { documents, .. } => documents
            .iter()
            .map(|document| 60 + u64::try_from(document.text.len()).unwrap())
            .sum(),
        _ => 30,
    };
    FRAME + body
}
