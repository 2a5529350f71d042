//! A simulated fleet: the reducers of several daemons connected by message queues under a simulated
//! clock.

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

/// The delay of each message.
const ONE_WAY: Duration = Duration::from_millis(1);

/// Returns the VM with this name.
pub fn vm(name: &str) -> VmId {
    VmId::try_from(name).unwrap()
}

/// Returns the zone of a VM named `ZONE-NUMBER`.
pub fn zone_of(vm: &VmId) -> ZoneName {
    let (zone, _) = vm.as_str().split_once('-').unwrap();
    ZoneName::try_from(zone).unwrap()
}

/// Returns an address for a VM named `ZONE-NUMBER`.
fn address(vm: &VmId) -> SocketAddr {
    let (zone, number) = vm.as_str().split_once('-').unwrap();
    let number: u8 = number.parse().unwrap();
    SocketAddr::from(([10, 0, zone.as_bytes()[0], number], 7000))
}

/// Returns a VM's record.
pub fn record(vm: &VmId, incarnation: u64, state: VmState) -> VmRecord {
    VmRecord {
        vm: vm.clone(),
        zone: zone_of(vm),
        address: address(vm),
        incarnation: Incarnation(incarnation),
        state,
    }
}

/// Returns a configuration document that declares the databases.
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

/// A simulation of the part of the platform that daemons read from.
#[derive(Default)]
pub struct Platform {
    /// Whether no read is answered.
    pub is_down: bool,
    /// The zones whose reads are not answered.
    pub cut_zones: Vec<ZoneName>,
    /// The accepted configuration documents.
    pub documents: BTreeMap<ServiceName, AcceptedDocument>,
    /// The list of VMs.
    pub vms: Vec<VmRecord>,
    /// The addresses of leaving backend servers.
    pub leaving: Vec<IpAddr>,
    /// The number of reads so far, answered or not.
    pub reads: u64,
    /// The number of these reads that ask for documents; each stands for several reads of the
    /// table.
    pub document_reads: u64,
}

impl Platform {
    /// Adds a configuration document, replacing an earlier one of the same service.
    pub fn accept(&mut self, document: AcceptedDocument) {
        self.documents.insert(document.service.clone(), document);
    }

    /// Returns the number of accepted changes.
    pub fn changes(&self) -> ChangeCount {
        let changes = self.documents.values().map(|document| document.change);
        changes.max().unwrap_or_default()
    }

    /// Answers a read of a VM's daemon and counts it.
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

/// The simulated daemons, the platform and the messages in transit.
#[derive(Default)]
pub struct Fleet {
    /// The simulated time since the start.
    pub now: Duration,
    /// The state of each running daemon.
    pub daemons: BTreeMap<VmId, State>,
    /// The simulated platform.
    pub platform: Platform,
    /// Pairs of zones that cannot reach each other.
    pub cuts: Vec<[ZoneName; 2]>,
    /// Pairs of VMs that cannot reach each other.
    pub vm_cuts: Vec<[VmId; 2]>,
    /// VMs that handle no message and no tick, without their peers being notified.
    pub frozen: BTreeSet<VmId>,
    /// All effects except messages, platform reads and requests for ticks, with their time and VM.
    pub log: Vec<(Duration, VmId, Effect)>,
    /// The approximate number of bytes that each VM has sent.
    pub bytes: BTreeMap<VmId, u64>,
    /// When each daemon was started; its own clock begins at that time.
    born: BTreeMap<VmId, Duration>,
    /// The events in transit by due time and number.
    queue: BTreeMap<(Duration, u64), (VmId, Event)>,
    /// The requested ticks.
    ticks: BTreeSet<(Duration, VmId)>,
    /// The number of events queued so far.
    sent: u64,
}

impl Fleet {
    /// Starts daemons that know each other's records and incarnations.
    pub fn start(vms: &[VmId]) -> Self {
        let mut fleet = Self::default();
        let alive = |vm| record(vm, 1, VmState::Alive);
        for vm in vms {
            fleet.add_knowing(vm, 1, vms.iter().map(alive).collect());
        }
        fleet
    }

    /// Starts one daemon whose settings list the seeds.
    pub fn add(&mut self, vm: &VmId, incarnation: u64, seeds: &[VmId]) {
        let alive = |seed| record(seed, 0, VmState::Alive);
        self.add_knowing(vm, incarnation, seeds.iter().map(alive).collect());
    }

    /// Starts one daemon that knows the given records.
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

    /// Ends a daemon without notice; messages to it are reported as lost.
    pub fn kill(&mut self, vm: &VmId) {
        self.daemons.remove(vm);
    }

    /// Returns the state of a daemon.
    pub fn state(&self, vm: &VmId) -> &State {
        &self.daemons[vm]
    }

    /// Returns the state in which one daemon sees another VM.
    pub fn view(&self, at: &VmId, of: &VmId) -> Option<VmState> {
        self.state(at)
            .membership
            .record(of)
            .map(|record| record.state)
    }

    /// Asks a daemon to drain.
    pub fn drain(&mut self, vm: &VmId, bound: Duration) {
        self.hand_in(vm, Event::Operator(OperatorEvent::Drain { bound }));
    }

    /// Advances the simulated time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// Advances the simulated time until a condition holds and returns how long that took. Panics
    /// if it takes longer than `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(
                self.step(start + limit),
                "the condition did not hold within {limit:?}"
            );
        }
        self.now - start
    }

    /// Hands in the next event; returns false if none is due by `end`.
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

    /// Hands an event to a daemon. A frozen daemon drops it; a tick is then repeated later.
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

    /// Carries out an effect of a daemon.
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

    /// Sends a message unless the link is cut; a message to a VM that does not run is reported as
    /// lost.
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

    /// Queues an event for a daemon.
    fn push(&mut self, to: VmId, event: Event) {
        self.sent += 1;
        self.queue
            .insert((self.now + ONE_WAY, self.sent), (to, event));
    }
}

/// Returns the approximate number of bytes that a message takes, including framing.
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
