use std::collections::BTreeMap;

use sapphireslip_core::{ConnectionId, Incarnation, ServerId, SessionId, TransactionStatus};
use sapphireslip_lead::{
    ClientEvent, ConnectFailure, Effect, Event, Identity, PromoteOutcome, Record, Reply,
    ServerEvent, ServerRequest, State, StoreWrite, WriteOutcome, Written,
};

use super::{FakeGroup, FakeStore, PAYMENTS, at, catalog, query, vm, zone};

/// One daemon whose store answers at once, while its servers answer only what is not held back.
#[derive(Debug)]
pub struct Daemon {
    pub state: State,
    pub store: FakeStore,
    pub group: FakeGroup,
    pub millis: u64,
    pub store_answers: bool,
    /// Whether changes of the leads stay untold, as by a watch that hangs.
    pub leads_hang: bool,
    /// Whether statements of callers wait until `answer_all`.
    pub holds_back: bool,
    pub answers: Vec<(SessionId, Reply)>,
    pub closed: Vec<SessionId>,
    /// All other effects, as they came.
    pub effects: Vec<Effect>,
    pub sent: Vec<(ServerId, ServerRequest)>,
    pub records: Vec<Record>,
    held: Vec<(ConnectionId, ServerRequest)>,
    connections: BTreeMap<ConnectionId, (ServerId, TransactionStatus)>,
    sessions: u64,
}

impl Daemon {
    /// Returns a daemon that has its permission and knows who leads.
    pub fn ready() -> Self {
        Self::ready_in("a")
    }

    /// Returns such a daemon with a session on the database of payments.
    pub fn with_session() -> (Self, SessionId) {
        let mut daemon = Self::ready();
        let session = daemon.open(PAYMENTS);
        (daemon, session)
    }

    /// Returns such a daemon in a zone; the first primary is in zone a.
    pub fn ready_in(zone_name: &str) -> Self {
        let mut daemon = Self::new(zone_name);
        daemon.event(Event::Catalog(catalog(1)));
        daemon.advance(2_000);
        assert!(daemon.state.is_ready(), "the daemon is ready");
        daemon.effects.clear();
        daemon.sent.clear();
        daemon
    }

    pub fn new(zone_name: &str) -> Self {
        let identity = Identity {
            vm: vm("vm-1"),
            zone: zone(zone_name),
            incarnation: Incarnation(1),
            peers: "10.1.0.1:7000".parse().expect("an address"),
        };
        let mut daemon = Self {
            state: State::new(identity, 1),
            store: FakeStore::default(),
            group: FakeGroup::new(),
            millis: 0,
            store_answers: true,
            leads_hang: false,
            holds_back: false,
            answers: Vec::new(),
            closed: Vec::new(),
            effects: Vec::new(),
            sent: Vec::new(),
            records: Vec::new(),
            held: Vec::new(),
            connections: BTreeMap::new(),
            sessions: 0,
        };
        let leaders = daemon.store.leaders.clone();
        daemon.event(Event::Leads(leaders));
        daemon
    }

    /// Lets time pass in ticks.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.millis += 10;
            self.event(Event::Tick);
        }
    }

    pub fn open(&mut self, database: &str) -> SessionId {
        self.sessions += 1;
        let session = SessionId(self.sessions);
        self.event(Event::Client(ClientEvent::Opened {
            session,
            database: database.into(),
            passed_on: None,
        }));
        session
    }

    pub fn ask(&mut self, session: SessionId, id: &str, text: &str) {
        let query = query(id, text);
        self.event(Event::Client(ClientEvent::Query { session, query }));
    }

    /// Asks and returns the answer, which has to come at once.
    pub fn run(&mut self, session: SessionId, id: &str, text: &str) -> Reply {
        self.ask(session, id, text);
        self.answers.pop().expect("an answer").1
    }

    /// Has the servers answer all that was held back.
    pub fn answer_all(&mut self) {
        self.holds_back = false;
        for (connection, request) in std::mem::take(&mut self.held) {
            self.serve(connection, &request);
        }
    }

    /// Breaks all connections to a server; what was held back there is lost.
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

    pub fn event(&mut self, event: Event) {
        for effect in self.state.reduce(at(self.millis), event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect {
                connection, server, ..
            } => {
                let event = if self.group.get(&server).is_dark {
                    ServerEvent::ConnectFailed {
                        connection,
                        failure: ConnectFailure::Refused,
                    }
                } else {
                    let state = (server, TransactionStatus::Idle);
                    self.connections.insert(connection, state);
                    ServerEvent::Connected { connection }
                };
                self.event(Event::Server(event));
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
            }
            Effect::ReadServers => {
                let list = self.store_answers.then(|| self.group.records());
                self.event(Event::Servers(list));
            }
            Effect::ReadLeads => {
                let leaders = self.store.leaders.clone();
                self.event(Event::Leads(leaders));
            }
            Effect::ReadPermits => {
                let table = self
                    .store_answers
                    .then(|| self.store.permissions(self.millis));
                let sent = at(self.millis);
                self.event(Event::Permits { table, sent });
            }
            Effect::Write(write) => self.write(write),
            Effect::Promote {
                service, server, ..
            } => {
                self.group.promote(&server);
                let outcome = PromoteOutcome::Accepted;
                self.event(Event::Promoted { service, outcome });
            }
            Effect::Answer { session, reply } => self.answers.push((session, reply)),
            Effect::CloseWhenIdle { session } => {
                self.closed.push(session);
                self.event(Event::Client(ClientEvent::Closed { session }));
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

    fn write(&mut self, write: StoreWrite) {
        let outcome = match self.store_answers {
            true => self.store.write(self.millis, &write),
            false => WriteOutcome::Unknown,
        };
        let changes_leads = !matches!(write, StoreWrite::Permit { .. });
        let sent = at(self.millis);
        self.event(Event::Written(Written {
            write,
            sent,
            outcome,
        }));
        if changes_leads && !self.leads_hang {
            let leaders = self.store.leaders.clone();
            self.event(Event::Leads(leaders));
        }
    }

    fn send(&mut self, connection: ConnectionId, request: ServerRequest) {
        let Some((server, _)) = self.connections.get(&connection).cloned() else {
            return;
        };
        let is_callers = matches!(
            request,
            ServerRequest::Forward { .. } | ServerRequest::Execute { .. }
        );
        self.sent.push((server.clone(), request.clone()));
        if (is_callers && self.holds_back) || self.group.get(&server).is_dark {
            self.held.push((connection, request));
        } else {
            self.serve(connection, &request);
        }
    }

    fn serve(&mut self, connection: ConnectionId, request: &ServerRequest) {
        let Some((server, transaction)) = self.connections.get_mut(&connection) else {
            return;
        };
        let (reply, status, _) = self.group.get_mut(server).answer(request, transaction);
        self.event(Event::Server(ServerEvent::Replied {
            connection,
            reply,
            status,
        }));
    }

    /// Returns the statements of callers that were sent, with their servers, and forgets them.
    pub fn statements(&mut self) -> Vec<(String, String)> {
        let sent = std::mem::take(&mut self.sent);
        sent.into_iter()
            .filter_map(|(server, request)| match request {
                ServerRequest::Forward { text, .. } => Some((server.to_string(), text.to_string())),
                ServerRequest::Execute {
                    arguments, number, ..
                } => Some((server.to_string(), format!("EXECUTE {number} {arguments}"))),
                _ => None,
            })
            .collect()
    }
}
