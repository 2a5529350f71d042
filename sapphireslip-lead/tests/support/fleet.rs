//! Several daemons around one fake store and one fake group of servers, under simulated time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use sapphireslip_core::{
    ConnectionId, Incarnation, Instant, Random, ServerId, SessionId, Text, TransactionStatus,
};
use sapphireslip_lead::{
    ClientEvent, ConnectFailure, Effect, Event, Identity, PromoteOutcome, Role, RowVersion,
    ServerEvent, ServerRequest, State, StoreWrite, Term, WriteOutcome, Written,
};

use super::fleet_history::History;
use super::fleet_transactions::Transaction;
use super::{
    FakeGroup, FakeStore, PAYMENTS, SERVER_DRAIN_BOUND, ServerAction, VM_MILLICORES, at, catalog,
    query, vm, zone,
};

/// The length of one step of the simulated time, in milliseconds.
const STEP_MILLIS: u64 = 10;

/// The time that the platform takes for a promotion, in milliseconds.
const PROMOTION_MILLIS: u64 = 300;

/// How long a replaced primary goes on after the promotion of another server, in milliseconds: until it
/// reaches that one, and a second more.
const DEMOTION_MILLIS: u64 = 1_000;

/// Returns the address where the daemon with the given index accepts sessions of other daemons.
pub(super) fn member_address(n: usize) -> SocketAddr {
    format!("10.1.0.{}:7000", n + 1)
        .parse()
        .expect("an address")
}

/// Several daemons around one store and one group, with an independent check of what clients see.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Member>,
    /// The store.
    pub store: FakeStore,
    /// The group of backend servers.
    pub group: FakeGroup,
    /// The simulated time since the start, in milliseconds.
    pub millis: u64,
    /// Whether the store answers no daemon at present.
    pub store_is_down: bool,
    /// The longest time by which a promotion takes effect later than usual, in milliseconds.
    pub promotion_delay_max: u64,
    /// How much later than usual the platform carries out requests to promote, in milliseconds, if it is
    /// slow; it answers none then.
    pub slow_promotion: Option<u64>,
    /// The number of promotions that have taken effect.
    pub promotions: usize,
    /// The source of random delays, losses and statements.
    random: Random,
    /// The events that are under way: when each arrives, in milliseconds, and at which daemon.
    pending_events: Vec<(u64, usize, Event)>,
    /// Whether the store carries out some writes seconds later and answers none of these.
    pub has_late_writes: bool,
    /// The writes that are to be carried out late: when, in milliseconds.
    pub(super) late_writes: Vec<(u64, StoreWrite)>,
    /// The promotions that are under way: when each takes effect, in milliseconds.
    pending_promotions: Vec<(u64, ServerId)>,
    /// The clients that run transactions.
    pub(super) transactions: Vec<Transaction>,
    /// The unanswered requests for a grant: which daemon asks, for which generation, and when it
    /// asked.
    pub(super) grant_requests: BTreeMap<SessionId, (usize, RowVersion, Instant)>,
    /// What clients and servers have seen so far.
    pub(super) history: History,
}

/// One daemon, with the faults around it.
#[derive(Debug)]
pub struct Member {
    /// The state of the daemon.
    state: State,
    /// Whether the process is stopped at present; its clock goes on.
    pub is_frozen: bool,
    /// Whether the daemon can't reach the store at present.
    pub is_cut_from_store: bool,
    /// The servers that the daemon can't reach at present.
    pub cut_servers: BTreeSet<ServerId>,
    /// The open connections, each with its server and the status of its transaction.
    pub(super) connections: BTreeMap<ConnectionId, (ServerId, TransactionStatus)>,
    /// The number of sessions that were opened.
    sessions: u64,
    /// The unanswered statements of each session, the oldest first, and whether each commits.
    asked: BTreeMap<SessionId, VecDeque<(Text, bool)>>,
    /// The events that arrived while the process was stopped, in order.
    events_while_frozen: Vec<Event>,
}

impl Member {
    /// Cuts the daemon off from a server, or ends such a cut.
    pub fn toggle_cut(&mut self, server: ServerId) {
        if !self.cut_servers.remove(&server) {
            self.cut_servers.insert(server);
        }
    }
}

impl Fleet {
    /// Returns three daemons in three zones that know the configuration and the empty table of
    /// leaders.
    pub fn new(seed: u64) -> Self {
        let member = |n: usize| Member {
            state: State::new(
                Identity {
                    vm: vm(&format!("vm-{n}")),
                    zone: zone(["a", "b", "c"][n % 3]),
                    millicores: VM_MILLICORES,
                    incarnation: Incarnation(1),
                    peers: member_address(n),
                },
                SERVER_DRAIN_BOUND,
                seed + n as u64,
            ),
            is_frozen: false,
            is_cut_from_store: false,
            cut_servers: BTreeSet::new(),
            connections: BTreeMap::new(),
            sessions: 0,
            asked: BTreeMap::new(),
            events_while_frozen: Vec::new(),
        };
        let mut fleet = Self {
            daemons: (0..3).map(member).collect(),
            store: FakeStore::with_copies(),
            group: FakeGroup::new(),
            millis: 0,
            store_is_down: false,
            promotion_delay_max: 0,
            slow_promotion: None,
            promotions: 0,
            random: Random::new(seed),
            pending_events: Vec::new(),
            has_late_writes: false,
            late_writes: Vec::new(),
            pending_promotions: Vec::new(),
            transactions: Vec::new(),
            grant_requests: BTreeMap::new(),
            history: History::default(),
        };
        for n in 0..fleet.daemons.len() {
            fleet.deliver(n, Event::Catalog(catalog(1)));
            fleet.deliver(n, Event::Leaders(fleet.store.leaders_at(0)));
        }
        fleet
    }

    /// Returns a random number below `bound`.
    pub fn random(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// Returns whether a promotion was asked for that has not taken effect.
    pub fn is_promoting(&self) -> bool {
        !self.pending_promotions.is_empty()
    }

    /// Lets time pass while clients send statements.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MILLIS {
            self.step();
        }
    }

    /// Advances the simulated time by one step, with all that is due in it.
    fn step(&mut self) {
        self.millis += STEP_MILLIS;
        let now = self.millis;
        let (done, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_promotions)
            .into_iter()
            .partition(|(when, _)| *when <= now);
        self.pending_promotions = later;
        for (_, server) in done {
            self.group.promote(&server);
            self.promotions += 1;
            let kept: BTreeSet<_> = self
                .group
                .get(&server)
                .log
                .iter()
                .map(|(_, id)| id)
                .collect();
            let lost = self
                .history
                .committed
                .keys()
                .filter(|id| !kept.contains(id));
            let lost: Vec<Text> = lost.cloned().collect();
            self.history.rolled_back.extend(lost);
            self.history
                .promoted
                .push((now, self.group.get(&server).term));
        }
        self.carry_out_late_writes();
        if now.is_multiple_of(30) {
            let promoted = self.history.promoted.last().map_or(0, |(at, _)| *at);
            match now - promoted < DEMOTION_MILLIS {
                true => self.group.replicate_to_replicas(),
                false => self.group.replicate(),
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_events)
            .into_iter()
            .partition(|(when, ..)| *when <= now);
        self.pending_events = later;
        for (_, daemon, event) in due {
            self.deliver(daemon, event);
        }
        for n in 0..self.daemons.len() {
            self.deliver(n, Event::Tick);
            if self.random.below(4) == 0 {
                self.send_statement(n);
            }
        }
        self.continue_transactions();
    }

    /// Opens a session at a daemon.
    pub(super) fn open_session(&mut self, n: usize) -> SessionId {
        let member = &mut self.daemons[n];
        member.sessions += 1;
        let session = SessionId(member.sessions);
        let opened = ClientEvent::Opened {
            session,
            database: PAYMENTS.into(),
            // A session that is passed on is served by the daemon where it arrives, so that every
            // daemon works with the servers.
            key: None,
            forwarder_version: Some(0),
        };
        self.deliver(n, Event::Client(opened));
        session
    }

    /// Sends a statement on a session, which commits a write if it succeeds or not, and returns its
    /// identifier.
    pub(super) fn send_on(
        &mut self,
        n: usize,
        session: SessionId,
        text: &str,
        commits: bool,
    ) -> Text {
        self.history.statements += 1;
        let id: Text = format!("{n}-{}", self.history.statements).into();
        self.history.asked.insert(Text::clone(&id), self.millis);
        let asked = (Text::clone(&id), commits);
        let unanswered = self.daemons[n].asked.entry(session).or_default();
        unanswered.push_back(asked);
        let query = query(&id, text);
        self.deliver(n, Event::Client(ClientEvent::Query { session, query }));
        id
    }

    /// Sends a daemon a write, or a read that must see all acknowledged writes, in a new session.
    fn send_statement(&mut self, n: usize) {
        let session = self.open_session(n);
        let text = match self.random.below(2) {
            0 => "WRITE x 1",
            _ => "READ x",
        };
        self.send_on(n, session, text, text.starts_with("WRITE"));
    }

    /// Delivers an event to a daemon, or keeps it until the daemon is no longer frozen.
    pub(super) fn deliver(&mut self, n: usize, event: Event) {
        if self.daemons[n].is_frozen {
            if !matches!(event, Event::Tick) {
                self.daemons[n].events_while_frozen.push(event);
            }
            return;
        }
        for event in std::mem::take(&mut self.daemons[n].events_while_frozen) {
            self.reduce(n, event);
        }
        self.reduce(n, event);
    }

    /// Has a daemon reduce an event, and applies the effects.
    fn reduce(&mut self, n: usize, event: Event) {
        for effect in self.daemons[n].state.reduce(at(self.millis), event) {
            self.apply(n, effect);
        }
    }

    /// Schedules an event for a daemon after a random delay of up to `within` milliseconds and a
    /// step.
    pub(super) fn schedule(&mut self, n: usize, within: u64, event: Event) {
        let delay = STEP_MILLIS + self.random.below(within);
        self.pending_events.push((self.millis + delay, n, event));
    }

    /// Returns whether a daemon reaches the store.
    pub(super) fn reaches_store(&self, n: usize) -> bool {
        !self.store_is_down && !self.daemons[n].is_cut_from_store
    }

    /// Returns whether a daemon reaches a server.
    fn reaches(&self, n: usize, server: &ServerId) -> bool {
        !self.group.get(server).is_isolated && !self.daemons[n].cut_servers.contains(server)
    }

    /// Applies an effect of a daemon.
    fn apply(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Connect {
                connection, server, ..
            } => {
                if self.reaches(n, &server) {
                    let position = Some(self.group.get(&server).position());
                    let state = (server, TransactionStatus::Idle);
                    self.daemons[n].connections.insert(connection, state);
                    let connected = ServerEvent::Connected {
                        connection,
                        position,
                    };
                    self.schedule(n, 20, Event::Server(connected));
                } else {
                    let failure = ConnectFailure::Silent;
                    let event = ServerEvent::ConnectFailed {
                        connection,
                        failure,
                    };
                    self.pending_events
                        .push((self.millis + 400, n, Event::Server(event)));
                }
            }
            Effect::Send {
                connection,
                requests,
            } => {
                for request in &requests {
                    self.serve(n, connection, request);
                }
            }
            Effect::Disconnect { connection } => {
                self.daemons[n].connections.remove(&connection);
            }
            Effect::ReadServers => {
                let list = self.reaches_store(n).then(|| self.group.records());
                let sent = at(self.millis);
                self.schedule(n, 30, Event::Servers { list, sent });
            }
            Effect::ReadLeaders => {
                if self.reaches_store(n) {
                    let leaders = self.store.leaders_at(self.millis);
                    self.schedule(n, 40, Event::Leaders(leaders));
                }
            }
            Effect::ReadPermissions => {
                let table = self
                    .reaches_store(n)
                    .then(|| self.store.permissions(self.millis));
                let sent = at(self.millis);
                self.schedule(n, 30, Event::Permissions { table, sent });
            }
            Effect::Write(write) => {
                let is_late = self.has_late_writes && self.random.below(3) == 0;
                let outcome = match self.reaches_store(n) {
                    true if is_late => self.write_later(&write),
                    true => self.store.write(self.millis, &write),
                    false => WriteOutcome::Unknown,
                };
                // The answer may be lost although the write was done.
                let is_lost = self.random.below(10) == 0;
                let outcome = if is_lost {
                    WriteOutcome::Unknown
                } else {
                    outcome
                };
                let sent = at(self.millis);
                self.schedule(
                    n,
                    30,
                    Event::Written(Written {
                        write,
                        sent,
                        outcome,
                    }),
                );
                self.broadcast_leaders();
            }
            Effect::Promote {
                service,
                server,
                token,
                ..
            } => {
                self.history.tokens.push(token);
                self.check_promotion(&server);
                let delay = match (self.slow_promotion, self.promotion_delay_max) {
                    (Some(delay), _) => delay,
                    (None, 0) => 0,
                    (None, max) => self.random.below(max),
                };
                self.pending_promotions
                    .push((self.millis + PROMOTION_MILLIS + delay, server));
                let (within, outcome) = match self.slow_promotion {
                    Some(_) => (500, PromoteOutcome::Unknown),
                    None => (30, PromoteOutcome::Accepted),
                };
                self.schedule(n, within, Event::Promoted { service, outcome });
            }
            Effect::AskGrant {
                address,
                generation,
                servers,
            } => self.ask_grant(n, address, generation, servers),
            Effect::Grant {
                session,
                length,
                staying,
            } => {
                let asked = self.grant_requests.remove(&session);
                let (asker, generation, sent) = asked.expect("a question");
                let event = Event::Granted {
                    generation,
                    staying,
                    length,
                    sent,
                };
                self.schedule(asker, 30, event);
            }
            Effect::Log(_)
            | Effect::Welcome { .. }
            | Effect::CloseSession { .. }
            | Effect::CloseWhenIdle { .. } => {}
            Effect::Answer { session, reply } => {
                let unanswered = self.daemons[n].asked.entry(session).or_default();
                let id = unanswered.pop_front();
                self.see_answer(n, session, &reply);
                if let Some((id, true)) = id
                    && reply.failure().is_none()
                {
                    self.history.acknowledged.insert(id, self.millis);
                }
            }
            other => panic!("unexpected effect {other:?}"),
        }
    }

    /// Has a server answer a request, unless the daemon can't reach it, and records what it did.
    fn serve(&mut self, n: usize, connection: ConnectionId, request: &ServerRequest) {
        let Some((server, mut transaction)) = self.daemons[n].connections.get(&connection).cloned()
        else {
            return;
        };
        if !self.reaches(n, &server) {
            return;
        }
        if let Some(since) = self.history.draining_since.get(&server)
            && matches!(request, ServerRequest::Forward { .. })
        {
            let work = (self.millis, server.clone(), self.millis - since);
            self.history.work_while_draining.push(work);
        }
        let (reply, status, deed) = self
            .group
            .get_mut(&server)
            .answer(request, &mut transaction);
        self.daemons[n]
            .connections
            .insert(connection, (server.clone(), transaction));
        match deed {
            Some(ServerAction::Wrote(id)) => {
                let term = self.group.get(&server).term;
                self.history.committed.insert(id, (term, self.millis));
            }
            Some(ServerAction::Read(id)) => {
                let log = self.group.get(&server).log.iter();
                let log = log.map(|(_, write)| Text::clone(write)).collect();
                self.history.read.push((id, log));
            }
            None => {}
        }
        let event = ServerEvent::Replied {
            connection,
            reply,
            status,
        };
        self.schedule(n, 30, Event::Server(event));
    }
}
