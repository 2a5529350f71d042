//! A simulation of three homes and three servers in three zones with links that can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use sapphireslip_core::{
    BackendEffect, CallId, Cx, DatabaseName, DatabaseSpec, Effect, Group, GroupContext,
    GroupFailure, GroupRequest, Incarnation, Instant, Local, Now, PeerMessage, Random, ServerId,
    ServerSpec, ServerStatus, TermPosition, VmId, ZoneName,
};

use super::checker::{Checker, is_majority};
use super::fake_server::{FakeServer, Health};

/// The delay of each message.
const LATENCY: Duration = Duration::from_millis(1);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Something that a home receives.
#[derive(Clone, Debug)]
enum Delivery {
    Tick,
    Reply(CallId, Result<ServerStatus, GroupFailure>),
    Peer(VmId, PeerMessage),
    Written(ServerId, TermPosition),
    WriteFailed(ServerId),
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    ToHome(usize, String, Delivery),
    ToServer(usize, Call),
    Replicate,
}

/// A home's request to a server.
#[derive(Clone, Debug)]
struct Call {
    home: usize,
    call: CallId,
    request: GroupRequest,
    until: Duration,
}

/// A simulated home.
pub struct Home {
    pub group: Group,
    local: Local,
    random: Random,
    next_call: CallId,
    /// Whether the process is paused; events are then queued in `inbox`.
    pub paused: bool,
    inbox: Vec<Delivery>,
    /// Whether orders to servers are queued in `outbox`, as if the process had stalled before
    /// sending.
    pub held: bool,
    outbox: Vec<Effect>,
    /// The records written that are not acknowledged yet.
    pending: Vec<TermPosition>,
    /// When the pending probe was sent.
    probed: Option<Duration>,
}

/// The simulation: servers, homes, links and time.
pub struct World {
    pub now: Duration,
    pub servers: Vec<FakeServer>,
    pub homes: Vec<Home>,
    pub checker: Checker,
    pub notes: String,
    pub leaving: Vec<ServerId>,
    /// Pairs of names of nodes that cannot reach each other.
    pub cuts: BTreeSet<(String, String)>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    waiting: Vec<(usize, Call)>,
    frozen: Vec<(usize, Call)>,
}

fn is_order(effect: &Effect) -> bool {
    let Effect::Backend(BackendEffect::Group { request, .. }) = effect else {
        return false;
    };
    !matches!(request, GroupRequest::Status { .. })
}

fn server_id(zone: &str) -> ServerId {
    ServerId::try_from(format!("s{zone}").as_str()).expect("a server")
}

fn vm(zone: &str) -> VmId {
    VmId::try_from(format!("h{zone}").as_str()).expect("a VM")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a zone")
}

pub fn spec() -> DatabaseSpec {
    let server = |name: &&str| ServerSpec {
        id: server_id(name),
        zone: zone(name),
        address: ([127, 0, 0, 1], 5432).into(),
        leaving: false,
    };
    DatabaseSpec {
        name: DatabaseName::try_from("stock").expect("a database"),
        servers: ZONES.iter().map(server).collect(),
        zones: ZONES.iter().map(|name| zone(name)).collect(),
        connections: 16,
        max_staleness: Duration::from_secs(5),
        deadline: Duration::from_secs(5),
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let home = |(index, name): (usize, &&str)| Home {
            group: Group::new(spec()),
            local: Local {
                vm: vm(name),
                zone: zone(name),
                address: ([127, 0, 0, 1], 7000).into(),
                incarnation: Incarnation(1),
            },
            random: Random::new(seed + index as u64),
            next_call: CallId(0),
            paused: false,
            inbox: Vec::new(),
            held: false,
            outbox: Vec::new(),
            pending: Vec::new(),
            probed: None,
        };
        let mut world = Self {
            now: Duration::from_secs(10),
            servers: ZONES
                .iter()
                .map(|name| FakeServer::new(server_id(name)))
                .collect(),
            homes: ZONES.iter().enumerate().map(home).collect(),
            checker: Checker::default(),
            notes: String::new(),
            leaving: Vec::new(),
            cuts: BTreeSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
            waiting: Vec::new(),
            frozen: Vec::new(),
        };
        for home in 0..ZONES.len() {
            world.deliver(home, Delivery::Tick);
        }
        world.schedule(LATENCY, Event::Replicate);
        world
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn home_name(&self, home: usize) -> String {
        self.homes[home].local.vm.to_string()
    }

    pub fn home_index(&self, name: &str) -> usize {
        let found = self.homes.iter().position(|h| h.local.vm.as_str() == name);
        found.expect("a home")
    }

    pub fn server_index(&self, name: &str) -> usize {
        let found = self.servers.iter().position(|s| s.id.as_str() == name);
        found.expect("a server")
    }

    pub fn cut(&mut self, one: &str, other: &str) {
        self.cuts.insert((one.to_owned(), other.to_owned()));
        self.cuts.insert((other.to_owned(), one.to_owned()));
    }

    fn linked(&self, one: &str, other: &str) -> bool {
        !self.cuts.contains(&(one.to_owned(), other.to_owned()))
    }

    /// Advances the simulated time, checking the servers after each event.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_while(end, |_| true);
    }

    /// Advances the simulated time by up to `limit` until a condition holds; returns whether it
    /// does.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        self.run_while(end, |world| !done(world));
        done(self)
    }

    fn run_while(&mut self, end: Duration, more: impl Fn(&Self) -> bool) {
        while more(self) {
            let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) else {
                self.now = end;
                return;
            };
            self.now = entry.key().0;
            let event = entry.remove();
            self.step(event);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Replicate => self.replicate(),
            Event::ToServer(server, call) => self.at_server(server, call),
            Event::ToHome(home, from, delivery) => {
                if self.linked(&self.home_name(home), &from) {
                    self.deliver(home, delivery);
                }
            }
        }
        self.checker.check_servers(&self.servers);
    }

    fn replicate(&mut self) {
        for replica in 0..self.servers.len() {
            let Some(primary) = self.servers[replica].following.clone() else {
                continue;
            };
            let primary = self.servers[self.server_index(primary.as_str())].clone();
            let own = &self.servers[replica];
            let up = own.health == Health::Up && primary.health == Health::Up;
            if up && self.linked(own.id.as_str(), primary.id.as_str()) {
                self.servers[replica].replicate(&primary);
            }
        }
        self.answer_waiting();
        self.schedule(LATENCY, Event::Replicate);
    }

    fn answer_waiting(&mut self) {
        for (server, call) in std::mem::take(&mut self.waiting) {
            let status = self.servers[server].status();
            let held = matches!(call.request, GroupRequest::Status { wait_for: Some(record) }
                if status.held >= record);
            if self.servers[server].health != Health::Up {
                continue;
            }
            if held || self.now + LATENCY * 5 >= call.until {
                self.reply(server, &call, Ok(status));
            } else {
                self.waiting.push((server, call));
            }
        }
    }

    fn at_server(&mut self, server: usize, call: Call) {
        let name = self.servers[server].id.to_string();
        if !self.linked(&name, &self.home_name(call.home)) {
            return;
        }
        match self.servers[server].health {
            Health::Killed => self.reply(server, &call, Err(GroupFailure::NoAnswer)),
            Health::Frozen => self.frozen.push((server, call)),
            Health::Up if matches!(call.request, GroupRequest::Status { wait_for: Some(_) }) => {
                self.waiting.push((server, call));
            }
            Health::Up => {
                let result = self.servers[server].handle(&call.request);
                self.reply(server, &call, result);
            }
        }
    }

    fn reply(&mut self, server: usize, call: &Call, result: Result<ServerStatus, GroupFailure>) {
        let from = self.servers[server].id.to_string();
        let delivery = Delivery::Reply(call.call, result);
        self.schedule(LATENCY, Event::ToHome(call.home, from, delivery));
    }

    pub fn set_health(&mut self, server: usize, health: Health) {
        self.servers[server].health = health;
        if health == Health::Up {
            for (server, call) in std::mem::take(&mut self.frozen) {
                self.at_server(server, call);
            }
        }
    }

    pub fn set_paused(&mut self, home: usize, paused: bool) {
        self.homes[home].paused = paused;
        if !paused {
            for delivery in std::mem::take(&mut self.homes[home].inbox) {
                self.deliver(home, delivery);
            }
        }
    }

    pub fn set_held(&mut self, home: usize, held: bool) {
        self.homes[home].held = held;
        if !held {
            let effects = std::mem::take(&mut self.homes[home].outbox);
            self.act(home, effects);
        }
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let now = self.now;
        let home = &mut self.homes[index];
        if home.paused {
            home.inbox.push(delivery);
            return;
        }
        let context = GroupContext {
            homes: ZONES.iter().map(|name| vm(name)).collect(),
            leaving: self.leaving.clone(),
        };
        let effects = home.take(now, &context, delivery);
        self.acknowledge_held_records(index);
        self.act(index, effects);
        let group = &self.homes[index].group;
        self.checker.check_home(group, &self.servers, now);
    }

    /// Acknowledges the records that the home reports as held by a majority, and checks its probe.
    fn acknowledge_held_records(&mut self, index: usize) {
        let home = &mut self.homes[index];
        let (done, pending) = std::mem::take(&mut home.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|record| is_majority(&home.group, *record));
        home.pending = pending;
        for record in done {
            self.checker.acknowledge(record, &self.servers, self.now);
        }
        if let Some(since) = home.probed
            && let Some(confirmed) = home.group.confirmed_since(Instant { since_start: since })
        {
            home.probed = None;
            self.checker.check_confirmed(confirmed, since);
        }
    }

    fn act(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            if self.homes[index].held && is_order(&effect) {
                self.homes[index].outbox.push(effect);
            } else {
                self.carry_out(index, effect);
            }
        }
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        let from = self.home_name(index);
        match effect {
            Effect::WakeAt(at) => {
                let delay = at.since_start.saturating_sub(self.now);
                self.schedule(delay, Event::ToHome(index, from, Delivery::Tick));
            }
            Effect::Backend(BackendEffect::Group {
                call,
                server,
                request,
                timeout,
                ..
            }) => {
                let server = self.server_index(server.id.as_str());
                let until = self.now + timeout;
                let lost = Delivery::Reply(call, Err(GroupFailure::NoAnswer));
                self.schedule(timeout, Event::ToHome(index, from, lost));
                let call = Call {
                    home: index,
                    call,
                    request,
                    until,
                };
                self.schedule(LATENCY, Event::ToServer(server, call));
            }
            Effect::Send { to, message, .. } => {
                let to = self.home_index(to.as_str());
                let sender = self.homes[index].local.vm.clone();
                let delivery = Delivery::Peer(sender, message);
                self.schedule(LATENCY, Event::ToHome(to, from, delivery));
            }
            Effect::Record(entry) => {
                let server = entry.server.map(|id| id.to_string()).unwrap_or_default();
                let term = entry.term.unwrap_or_default().0;
                let now = self.now.as_millis();
                let _ = writeln!(
                    self.notes,
                    "{now} {from} {:?} {server} term {term}",
                    entry.kind
                );
            }
            _ => {}
        }
    }

    /// Writes through a home's primary; the home receives the answer one round trip later.
    pub fn write(&mut self, index: usize) -> bool {
        let Some(primary) = self.homes[index].group.primary() else {
            return false;
        };
        let server = self.server_index(primary.server.as_str());
        let name = self.servers[server].id.to_string();
        let up = self.servers[server].health == Health::Up;
        let reached = up && self.linked(&name, &self.home_name(index));
        let written = reached.then(|| self.servers[server].write(primary.term));
        let delivery = match written.flatten() {
            Some(record) => Delivery::Written(primary.server, record),
            None => Delivery::WriteFailed(primary.server),
        };
        let own = self.home_name(index);
        self.schedule(LATENCY * 2, Event::ToHome(index, own, delivery));
        written.flatten().is_some()
    }

    /// Restarts a home's daemon, which then knows only its settings.
    pub fn restart(&mut self, index: usize) {
        let home = &mut self.homes[index];
        home.group = Group::new(spec());
        home.pending.clear();
        home.probed = None;
        home.next_call.0 += 1000;
        self.deliver(index, Delivery::Tick);
    }

    /// Probes the group from a home; the answer is checked when it arrives.
    pub fn probe(&mut self, index: usize) {
        let now = self.now;
        let effects = self.homes[index].with(now, |group, cx| group.probe(cx));
        self.homes[index].probed = Some(now);
        self.act(index, effects);
    }
}

impl Home {
    fn with(&mut self, now: Duration, f: impl FnOnce(&mut Group, &mut Cx<'_>)) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut outgoing = Vec::new();
        let cx = &mut Cx {
            now: Now {
                instant: Instant { since_start: now },
                unix: now,
            },
            local: &self.local,
            random: &mut self.random,
            next_call: &mut self.next_call,
            effects: &mut effects,
            outgoing: &mut outgoing,
        };
        f(&mut self.group, cx);
        effects.extend(outgoing.into_iter().map(|out| Effect::Send {
            to: out.to,
            address: self.local.address,
            message: out.message,
        }));
        effects
    }

    fn take(&mut self, now: Duration, context: &GroupContext, delivery: Delivery) -> Vec<Effect> {
        if let Delivery::Written(_, record) = &delivery {
            self.pending.push(*record);
        }
        self.with(now, |group, cx| match delivery {
            Delivery::Tick => group.advance(cx, context),
            Delivery::Reply(call, result) => {
                group.handle_reply(cx, context, call, &result);
            }
            Delivery::Peer(from, message) => take_peer(group, cx, context, &from, message),
            Delivery::Written(server, record) => {
                group.note_alive(cx, &server);
                group.note_committed(&server, record);
                group.watch(cx, record);
            }
            Delivery::WriteFailed(server) => group.note_failed(cx, &server),
        })
    }
}

fn take_peer(
    group: &mut Group,
    cx: &mut Cx<'_>,
    context: &GroupContext,
    from: &VmId,
    message: PeerMessage,
) {
    match message {
        PeerMessage::ConfirmSuspicion { term, .. } => group.on_confirm_suspicion(cx, from, term),
        PeerMessage::Suspicion {
            term, confirmed, ..
        } => group.handle_suspicion(cx, context, from, term, confirmed),
        PeerMessage::Promoted { term, .. } => group.on_promoted(cx, term),
        _ => {}
    }
}
