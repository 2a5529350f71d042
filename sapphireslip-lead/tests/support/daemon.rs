use std::collections::{BTreeMap, BTreeSet};

use sapphireslip_core::{
    AccountName, ConnectionId, Incarnation, ServerId, SessionId, Text, TransactionStatus, VmId,
};
use sapphireslip_lead::{
    ClientEvent, ConnectFailure, Effect, Event, Identity, KeyDigest, PromoteOutcome, Record, Reply,
    ServerEvent, ServerRequest, ServerStatus, State, StoreWrite, TermPosition, WriteOutcome,
    Written,
};

use super::{
    Closing, FakeGroup, FakeStore, PAYMENTS, Prepared, SERVER_DRAIN_BOUND, VM_MILLICORES, at,
    catalog, query, vm, zone,
};

/// One daemon with a fake store and fake servers, both of which answer at once unless told
/// otherwise.
#[derive(Debug)]
pub struct Daemon {
    /// The reducer under test.
    pub state: State,
    /// The store that the daemon reads and writes.
    pub store: FakeStore,
    /// The servers that the daemon connects to.
    pub group: FakeGroup,
    /// The time since the start of the daemon, in milliseconds.
    pub millis: u64,
    /// Whether the store answers reads and writes.
    pub store_answers: bool,
    /// Whether reads of the list of servers stay unanswered.
    pub withholds_lists: bool,
    /// Whether the daemon is not told of changes of the leaders, as when its watch hangs.
    pub withholds_lead_changes: bool,
    /// Whether statements of clients stay unanswered until `answer_all`.
    pub withholds_answers: bool,
    /// Whether connections stay unopened until `finish_opening`.
    pub withholds_connects: bool,
    /// Whether the platform answers requests to promote that the server is not running.
    pub refuses_promotions: bool,
    /// The connections that one server accepts; none if there is no limit.
    pub connections_max: Option<usize>,
    /// The connections that were to be opened, with their servers and accounts, the oldest first.
    pub opened: Vec<(ConnectionId, ServerId, Option<AccountName>)>,
    /// The connections that the daemon has closed, the oldest first.
    pub disconnected: Vec<ConnectionId>,
    /// The statements of clients with the connections that they were sent on, the oldest first.
    pub sent_on: Vec<(ConnectionId, ServerRequest)>,
    /// The answers to clients, the oldest first.
    pub answers: Vec<(SessionId, Reply)>,
    /// The sessions that the daemon has closed, the oldest first.
    pub closed: Vec<SessionId>,
    /// The effects that the fakes don't carry out, and closed sessions, the oldest first.
    pub effects: Vec<Effect>,
    /// The requests that were sent to servers, the oldest first.
    pub sent: Vec<(ServerId, ServerRequest)>,
    /// When servers got single statements or the first ones of transactions, in milliseconds, the
    /// oldest first.
    pub new_work: Vec<(u64, ServerId)>,
    /// What the servers' connections hold under prepared names.
    pub prepared: Prepared,
    /// The position that servers report in place of their own.
    pub reported_position: Option<TermPosition>,
    /// Whether servers tell no position.
    pub hides_positions: bool,
    /// The number of calls to the store.
    pub store_calls: usize,
    /// The log records, the oldest first.
    pub records: Vec<Record>,
    /// The requests that servers have received and not answered, the oldest first.
    held: Vec<(ConnectionId, ServerRequest)>,
    /// The connections whose transaction has begun and got no statement.
    begun: BTreeSet<ConnectionId>,
    /// The identifiers of the first statements of transactions.
    first_statements: BTreeSet<Text>,
    /// The open connections with their servers and transaction status.
    connections: BTreeMap<ConnectionId, (ServerId, TransactionStatus)>,
    /// The connections that are being opened, the oldest first.
    opening: Vec<(ConnectionId, ServerId)>,
    /// The number of the last session that was opened.
    sessions: u64,
    /// The sessions that are to be closed.
    closing: Closing,
}

impl Daemon {
    /// Returns a daemon in zone a that has its permission and knows the leaders.
    pub fn ready() -> Self {
        Self::ready_in("a")
    }

    /// Returns a ready daemon with a session on the database of payments.
    pub fn with_session() -> (Self, SessionId) {
        let mut daemon = Self::ready();
        let session = daemon.open(PAYMENTS);
        (daemon, session)
    }

    /// Returns a ready daemon in a zone; the first primary is in zone a.
    pub fn ready_in(zone_name: &str) -> Self {
        let mut daemon = Self::new(zone_name);
        daemon.event(Event::Catalog(catalog(1)));
        daemon.advance(2_000);
        assert!(daemon.state.is_ready(), "the daemon is ready");
        daemon.effects.clear();
        daemon.sent.clear();
        daemon
    }

    /// Returns a daemon that has just started and knows only the leaders.
    pub fn new(zone_name: &str) -> Self {
        Self::started(zone_name, VM_MILLICORES, FakeStore::default())
    }

    /// Returns a daemon in zone a that has just started on a VM with a share of a core, in
    /// thousandths.
    pub fn with_millicores(millicores: u32) -> Self {
        Self::started("a", millicores, FakeStore::default())
    }

    /// Returns a daemon in zone a that has just started and knows the leaders of this store.
    pub fn with_store(store: FakeStore) -> Self {
        Self::started("a", VM_MILLICORES, store)
    }

    fn started(zone_name: &str, millicores: u32, store: FakeStore) -> Self {
        let identity = Identity {
            vm: vm("vm-1"),
            zone: zone(zone_name),
            millicores,
            incarnation: Incarnation(1),
            peers: "10.1.0.1:7000".parse().expect("a valid address"),
        };
        let mut daemon = Self {
            state: State::new(identity, SERVER_DRAIN_BOUND, 1),
            store,
            group: FakeGroup::new(),
            millis: 0,
            store_answers: true,
            withholds_lists: false,
            withholds_lead_changes: false,
            withholds_answers: false,
            withholds_connects: false,
            refuses_promotions: false,
            connections_max: None,
            opened: Vec::new(),
            disconnected: Vec::new(),
            sent_on: Vec::new(),
            answers: Vec::new(),
            closed: Vec::new(),
            effects: Vec::new(),
            sent: Vec::new(),
            new_work: Vec::new(),
            prepared: Prepared::default(),
            reported_position: None,
            hides_positions: false,
            store_calls: 0,
            records: Vec::new(),
            held: Vec::new(),
            begun: BTreeSet::new(),
            first_statements: BTreeSet::new(),
            connections: BTreeMap::new(),
            opening: Vec::new(),
            sessions: 0,
            closing: Closing::default(),
        };
        let leaders = daemon.store.leaders_at(0);
        daemon.event(Event::Leaders(leaders));
        daemon
    }

    /// Returns the daemon's VM.
    pub fn vm(&self) -> VmId {
        vm("vm-1")
    }

    /// Changes the reducer's settings.
    pub fn change_state(&mut self, change: impl FnOnce(State) -> State) {
        self.state = change(self.state.clone());
    }

    /// Opens a session with a key, which a daemon of that configuration version has forwarded if
    /// there is one.
    pub fn open_as(
        &mut self,
        database: &str,
        key: Option<KeyDigest>,
        forwarder_version: Option<u64>,
    ) -> SessionId {
        self.sessions += 1;
        let session = SessionId(self.sessions);
        self.event(Event::Client(ClientEvent::Opened {
            session,
            database: database.into(),
            key,
            forwarder_version,
        }));
        session
    }

    /// Sends a statement without waiting for its answer.
    pub fn submit(&mut self, session: SessionId, id: &str, text: &str) {
        let query = query(id, text);
        if let Some(reply) = self.closing.refusal(session, text) {
            self.answers.push((session, reply));
            return self.close(session);
        }
        self.event(Event::Client(ClientEvent::Query { session, query }));
    }

    /// Sends a statement and returns its answer; panics if there is none at once.
    pub fn run(&mut self, session: SessionId, id: &str, text: &str) -> Reply {
        self.submit(session, id, text);
        self.answers
            .pop()
            .expect("the statement is answered at once")
            .1
    }

    /// Has the servers answer all requests that they have withheld, and every later one at once.
    pub fn answer_all(&mut self) {
        self.withholds_answers = false;
        for (connection, request) in std::mem::take(&mut self.held) {
            self.serve(connection, &request);
        }
    }

    /// Has the servers answer the oldest requests that they have withheld, up to a number, and
    /// withhold the next ones.
    pub fn answer_oldest(&mut self, count: usize) {
        let count = count.min(self.held.len());
        let oldest: Vec<_> = self.held.drain(..count).collect();
        for (connection, request) in oldest {
            self.serve(connection, &request);
        }
    }

    /// Breaks all connections to a server; its unanswered requests are lost.
    pub fn break_connections(&mut self, server: &ServerId) {
        let broken: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, (to, _))| to == server)
            .map(|(id, _)| *id)
            .collect();
        for connection in broken {
            self.connections.remove(&connection);
            self.held.retain(|(held, _)| *held != connection);
            self.event(Event::Server(ServerEvent::Lost { connection }));
        }
    }

    /// Hands the daemon an event and carries out its effects.
    pub fn event(&mut self, event: Event) {
        for effect in self.state.reduce(at(self.millis), event) {
            self.carry_out(effect);
        }
    }

    /// Opens the connections that are being opened, each unless its server accepts no more.
    pub fn finish_opening(&mut self) {
        for (connection, server) in std::mem::take(&mut self.opening) {
            let failure = if self.group.get(&server).is_isolated {
                Some(ConnectFailure::Refused)
            } else if Some(self.connections_to(&server)) == self.connections_max {
                Some(ConnectFailure::Limit)
            } else {
                None
            };
            let event = match failure {
                Some(failure) => ServerEvent::ConnectFailed {
                    connection,
                    failure,
                },
                None => {
                    let position = match self.reported_position {
                        Some(position) => position,
                        None => self.group.get(&server).position(),
                    };
                    let state = (server, TransactionStatus::Idle);
                    self.connections.insert(connection, state);
                    ServerEvent::Connected {
                        connection,
                        position: Some(position).filter(|_| !self.hides_positions),
                    }
                }
            };
            self.event(Event::Server(event));
        }
    }

    /// Returns the number of open connections to a server.
    pub fn connections_to(&self, server: &ServerId) -> usize {
        let to = self.connections.values().filter(|(to, _)| to == server);
        to.count()
    }

    /// Returns the servers of the connections that are being opened.
    pub fn opening(&self) -> Vec<ServerId> {
        self.opening.iter().map(|(_, to)| to.clone()).collect()
    }

    fn carry_out(&mut self, effect: Effect) {
        self.store_calls += usize::from(matches!(
            effect,
            Effect::ReadServers | Effect::ReadLeaders | Effect::ReadPermissions | Effect::Write(_)
        ));
        match effect {
            Effect::Connect {
                connection,
                server,
                account,
                ..
            } => {
                self.opened.push((connection, server.clone(), account));
                self.opening.push((connection, server));
                if !self.withholds_connects {
                    self.finish_opening();
                }
            }
            Effect::Send {
                connection,
                requests,
            } => {
                for request in requests {
                    self.send(connection, request);
                }
            }
            Effect::Disconnect { connection } => {
                self.connections.remove(&connection);
                self.opening.retain(|(id, _)| *id != connection);
                self.disconnected.push(connection);
            }
            Effect::ReadServers if self.withholds_lists => {}
            Effect::ReadServers => {
                let list = self.store_answers.then(|| self.group.records());
                let sent = at(self.millis);
                self.event(Event::Servers { list, sent });
            }
            Effect::ReadLeaders => {
                let leaders = self.store.leaders_at(self.millis);
                let coordinator = leaders.coordinator.clone();
                let sent = at(self.millis);
                self.event(Event::Leaders(leaders));
                self.event(Event::CoordinatorRead { coordinator, sent });
            }
            Effect::ReadPermissions => {
                let table = self
                    .store_answers
                    .then(|| self.store.permissions(self.millis));
                let sent = at(self.millis);
                self.event(Event::Permissions { table, sent });
            }
            Effect::Write(write) => self.write(write),
            Effect::Promote {
                service, server, ..
            } => {
                let outcome = match self.refuses_promotions {
                    true => PromoteOutcome::NotRunning,
                    false => {
                        self.group.promote(&server);
                        PromoteOutcome::Accepted
                    }
                };
                self.event(Event::Promoted { service, outcome });
            }
            Effect::Answer { session, reply } => {
                self.answers.push((session, reply));
                if self.closing.note_answer(session) {
                    self.close(session);
                }
            }
            Effect::RefuseNext { session, failure } => {
                self.closing.refuse_next(session, failure);
            }
            Effect::CloseWhenIdle { session } => {
                if self.closing.close_when_idle(session) {
                    self.close(session);
                }
            }
            Effect::CloseSession { session, .. } => {
                self.closed.push(session);
                self.effects.push(effect);
            }
            Effect::Log(record) => self.records.push(record),
            Effect::Welcome { .. } => {}
            other => self.effects.push(other),
        }
    }

    /// Closes a session at the daemon's request.
    fn close(&mut self, session: SessionId) {
        self.closed.push(session);
        self.event(Event::Client(ClientEvent::Closed { session }));
    }

    fn write(&mut self, write: StoreWrite) {
        let outcome = match self.store_answers {
            true => self.store.write(self.millis, &write),
            false => WriteOutcome::Unknown,
        };
        let changes_leaders = !matches!(write, StoreWrite::RenewPermission { .. });
        let sent = at(self.millis);
        self.event(Event::Written(Written {
            write,
            sent,
            outcome,
        }));
        if changes_leaders && !self.withholds_lead_changes {
            let leaders = self.store.leaders_at(self.millis);
            self.event(Event::Leaders(leaders));
        }
    }

    fn send(&mut self, connection: ConnectionId, request: ServerRequest) {
        let Some((server, status)) = self.connections.get(&connection).cloned() else {
            return;
        };
        let is_clients = matches!(
            request,
            ServerRequest::Forward { .. } | ServerRequest::Execute { .. }
        );
        if matches!(request, ServerRequest::Begin { .. }) {
            self.begun.insert(connection);
        }
        let is_first = is_clients && self.begun.remove(&connection);
        if let (true, ServerRequest::Forward { id, .. }) = (is_first, &request) {
            self.first_statements.insert(Text::clone(id));
        }
        let is_first = match &request {
            ServerRequest::Forward { id, .. } => self.first_statements.contains(id),
            _ => is_first,
        };
        if is_first || (is_clients && status == TransactionStatus::Idle) {
            self.new_work.push((self.millis, server.clone()));
        }
        self.prepared.note(connection, &request);
        self.sent.push((server.clone(), request.clone()));
        if is_clients {
            self.sent_on.push((connection, request.clone()));
        }
        if (is_clients && self.withholds_answers) || self.group.get(&server).is_isolated {
            self.held.push((connection, request));
        } else {
            self.serve(connection, &request);
        }
    }

    fn serve(&mut self, connection: ConnectionId, request: &ServerRequest) {
        let Some((server, transaction)) = self.connections.get_mut(&connection) else {
            return;
        };
        let (mut reply, mut status, _) = self.group.get_mut(server).answer(request, transaction);
        if let Some(position) = self.reported_position {
            reply.position = Some(position);
            status = status.map(|status| ServerStatus {
                term: position.term,
                received: position,
                ..status
            });
        }
        if self.hides_positions {
            reply.position = None;
        }
        self.event(Event::Server(ServerEvent::Replied {
            connection,
            reply,
            status,
        }));
    }
}
