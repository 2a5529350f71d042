//! Plans of disruptions and planned work for a simulated fleet, generated so that failures shrink to the
//! fewest events.

use proptest::prelude::*;
use sapphireslip_core::{ConnectionId, ServerId};
use sapphireslip_lead::{Event, ServerEvent};

use super::{Fleet, server};

/// How long a fleet runs before the first event, so that it has a coordinator and a primary.
const START_MILLIS: u64 = 3_000;

/// How long it runs after the last event has ended, until service has to be back.
const RECOVERY_MILLIS: u64 = 10_000;

/// An event with its place in the plan.
#[derive(Clone, Debug)]
pub struct PlannedEvent {
    /// When the event begins after the one before it began, in milliseconds.
    pub after: u64,
    /// How long it lasts, in milliseconds.
    pub lasts: u64,
    /// What happens.
    pub kind: EventKind,
}

/// A disruption, or planned work.
#[derive(Clone, Debug)]
pub enum EventKind {
    /// The store turns a daemon away.
    TurnAway(usize),
    /// The store answers nobody.
    StoreDown,
    /// The store answers nobody, and comes back from a copy that was made this many milliseconds before it
    /// went away.
    StoreReturn(u64),
    /// The platform answers no request to promote, and carries each out this many milliseconds late.
    SlowPlatform(u64),
    /// The store carries out some writes seconds later, and answers none of these.
    LateWrites,
    /// A daemon is suspended.
    Freeze(usize),
    /// A daemon can't reach a server.
    Cut(usize, &'static str),
    /// A server answers nobody.
    Dark(&'static str),
    /// A server crashes, and starts again under its id with nothing of what it had.
    StartAgain(&'static str),
    /// The present primary crashes, and starts again under its id with nothing of what it had.
    StartPrimaryAgain,
    /// A server says that it leaves, and then no longer.
    Drain(&'static str),
    /// The present primary says that it leaves.
    DrainPrimary,
}

/// Returns plans of up to `events` events, many of which begin shortly after the one before.
pub fn plans(events: usize) -> impl Strategy<Value = Vec<PlannedEvent>> {
    let daemon = 0..3_usize;
    let name = prop::sample::select(vec!["s-a", "s-b", "s-c"]);
    let kind = prop_oneof![
        4 => daemon.clone().prop_map(EventKind::TurnAway),
        1 => Just(EventKind::StoreDown),
        3 => (0..8_000_u64).prop_map(EventKind::StoreReturn),
        2 => (500..5_000_u64).prop_map(EventKind::SlowPlatform),
        2 => Just(EventKind::LateWrites),
        2 => daemon.clone().prop_map(EventKind::Freeze),
        2 => (daemon, name.clone()).prop_map(|(n, name)| EventKind::Cut(n, name)),
        4 => name.clone().prop_map(EventKind::Dark),
        1 => name.clone().prop_map(EventKind::StartAgain),
        2 => Just(EventKind::StartPrimaryAgain),
        1 => name.prop_map(EventKind::Drain),
        4 => Just(EventKind::DrainPrimary),
    ];
    let after = prop_oneof![3 => 0..600_u64, 2 => 0..4_000_u64];
    let lasts = prop_oneof![1 => 50..600_u64, 3 => 600..6_000_u64];
    let event =
        (after, lasts, kind).prop_map(|(after, lasts, kind)| PlannedEvent { after, lasts, kind });
    prop::collection::vec(event, 1..=events)
}

/// Plays a plan, and returns a description of each guarantee that was broken.
pub fn play(seed: u64, plan: &[PlannedEvent]) -> Vec<String> {
    let mut fleet = Fleet::new(seed);
    fleet.advance(START_MILLIS);
    let mut steps: Vec<(u64, bool, EventKind)> = Vec::new();
    let mut begins = fleet.millis;
    for event in plan {
        begins += event.after;
        let kind = match &event.kind {
            EventKind::DrainPrimary => EventKind::Drain(primary(&fleet)),
            EventKind::StartPrimaryAgain => EventKind::StartAgain(primary(&fleet)),
            EventKind::StoreReturn(age) => EventKind::StoreReturn(age + event.lasts),
            kind => kind.clone(),
        };
        steps.push((begins, true, kind.clone()));
        steps.push((begins + event.lasts, false, kind));
    }
    steps.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, kind) in steps {
        fleet.advance(at.saturating_sub(fleet.millis));
        fleet.apply_event(&kind, begins);
    }
    fleet.advance(RECOVERY_MILLIS);
    let healed = fleet.acknowledged();
    fleet.advance(2_000);
    let mut violations = fleet.violations();
    if fleet.has_lower_token() {
        violations.push("a lower fencing token was sent".to_owned());
    }
    if fleet.acknowledged() <= healed + 20 {
        violations.push("writes are not acknowledged again after all events".to_owned());
    }
    violations
}

/// Returns the server that leads the newest term.
fn primary(fleet: &Fleet) -> &'static str {
    match fleet.group.newest().id.as_str() {
        "s-b" => "s-b",
        "s-c" => "s-c",
        _ => "s-a",
    }
}

impl Fleet {
    /// Has the store turn a daemon away, or serve it again. Then the daemon's watch of the leaders is
    /// answered, before or after its next renewal.
    fn turn_away(&mut self, n: usize, is_away: bool) {
        self.daemons[n].is_cut_from_store = is_away;
        if !is_away {
            let leaders = self.store.leaders_at(self.millis);
            self.schedule(n, 300, Event::Leaders(leaders));
        }
    }

    /// Breaks the connections of a daemon to a server.
    fn break_connections(&mut self, n: usize, server: &ServerId) {
        let open = self.daemons[n].connections.iter();
        let to_server = open.filter(|(_, (to, _))| to == server);
        let broken: Vec<ConnectionId> = to_server.map(|(id, _)| *id).collect();
        for connection in broken {
            self.daemons[n].connections.remove(&connection);
            self.deliver(n, Event::Server(ServerEvent::Lost { connection }));
        }
    }

    /// Has a server crash: it loses what it had and its connections, and answers nobody yet.
    fn crash(&mut self, id: &ServerId) {
        let crashed = self.group.get_mut(id);
        crashed.start_again();
        crashed.is_isolated = true;
        self.history.emptied.insert(id.clone(), self.millis);
        for n in 0..self.daemons.len() {
            self.break_connections(n, id);
        }
    }

    /// Begins or ends an event.
    fn apply_event(&mut self, kind: &EventKind, begins: bool) {
        match kind {
            EventKind::TurnAway(n) => self.turn_away(*n, begins),
            EventKind::StoreDown => self.store_is_down = begins,
            EventKind::LateWrites => self.has_late_writes = begins,
            EventKind::SlowPlatform(delay) => self.slow_promotion = begins.then_some(*delay),
            EventKind::StoreReturn(_) if begins => self.store_is_down = true,
            EventKind::StoreReturn(age) => self.return_store(*age),
            EventKind::Freeze(n) => self.daemons[*n].is_frozen = begins,
            EventKind::Cut(n, name) => {
                let cut = &mut self.daemons[*n].cut_servers;
                match begins {
                    true => cut.insert(server(name)),
                    false => cut.remove(&server(name)),
                };
            }
            EventKind::Dark(name) => self.group.get_mut(&server(name)).is_isolated = begins,
            EventKind::Drain(name) => self.set_draining(&server(name), begins),
            EventKind::StartAgain(name) if begins => self.crash(&server(name)),
            EventKind::StartAgain(name) => {
                self.group.get_mut(&server(name)).is_isolated = false;
            }
            EventKind::DrainPrimary | EventKind::StartPrimaryAgain => {}
        }
    }
}
