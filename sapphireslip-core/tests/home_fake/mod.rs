//! A test double around one home: three scripted backend servers, and a clock that moves only when
//! the test says so.

#![allow(dead_code, reason = "no test file uses all of this module")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use sapphireslip_core::*;

/// The VM of the entry daemon that sends the requests.
pub const ENTRY: &str = "vm-entry";
/// The backend servers, in the zones `a`, `b` and `c`.
pub const SERVERS: [&str; 3] = ["s-a", "s-b", "s-c"];

/// A piece of work that the home has sent to a server and that is not answered yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub connection: ConnectionId,
    pub server: String,
    pub work: WorkId,
    pub payload: WorkPayload,
}

/// What the entry daemon has received for one request.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// How many parts of the answer have come.
    pub parts: u32,
    /// The payloads of all parts, joined.
    pub payload: Vec<u8>,
    /// The ends of the answer; a correct home sends one.
    pub ends: Vec<AnswerEnd>,
}

/// A daemon that is the home of database `stock`, with its scripted surroundings.
pub struct Fake {
    /// The state of the daemon under test.
    pub state: State,
    /// The time since the clock's start.
    pub now: Duration,
    /// The status that each server gives to group requests.
    pub statuses: BTreeMap<String, ServerStatus>,
    /// The servers that never answer group requests.
    pub silent: Vec<&'static str>,
    /// Whether each server answers group requests; if not, they fail at once.
    pub up: BTreeMap<String, bool>,
    /// The result of attempts to connect to each server.
    pub connect: BTreeMap<String, Result<(), ConnectFailure>>,
    /// The work that is at the servers, in the order in which it was sent.
    pub sent: Vec<Sent>,
    /// The server of each open connection.
    pub open: BTreeMap<ConnectionId, String>,
    /// What the entry daemon has received, by request number.
    pub answers: BTreeMap<u64, Received>,
    /// The timeline entries recorded so far.
    pub records: Vec<TimelineEntry>,
    /// What the daemon sent to clients of its own.
    pub clients: Vec<ClientEffect>,
    /// Whether the daemon has asked to exit.
    pub has_exited: bool,
    /// The times at which the daemon asked for a tick.
    wakes: Vec<Duration>,
    /// The number of the last request.
    last_request: u64,
}

/// Returns a log position.
pub fn record(term: u64, position: u64) -> TermPosition {
    TermPosition {
        term: Term(term),
        position: Position(position),
    }
}

/// Returns the end of a statement that succeeded outside a transaction and wrote nothing.
pub fn ok() -> WorkEnd {
    WorkEnd {
        transaction: TransactionStatus::Idle,
        committed: None,
        sqlstate: None,
        value: None,
    }
}

/// Returns the end of a statement that succeeded and left a transaction open.
pub fn open() -> WorkEnd {
    WorkEnd {
        transaction: TransactionStatus::Open,
        ..ok()
    }
}

/// Returns the end of a statement that failed outside a transaction.
pub fn failed(sqlstate: &[u8; 5]) -> WorkEnd {
    WorkEnd {
        sqlstate: Some(SqlState(*sqlstate)),
        ..ok()
    }
}

/// Returns the end of a statement that committed a log record.
pub fn committed(term: u64, position: u64) -> WorkEnd {
    WorkEnd {
        committed: Some(record(term, position)),
        ..ok()
    }
}

/// Returns the document of service `pooler`, with the given queue limit and allowed staleness.
fn document(queued: u32, max_staleness: &str) -> String {
    let servers: String = SERVERS
        .iter()
        .zip(["a", "b", "c"])
        .enumerate()
        .map(|(n, (id, zone))| {
            format!("[[database.server]]\nid = \"{id}\"\nzone = \"{zone}\"\naddress = \"10.0.{n}.1:5432\"\n")
        })
        .collect();
    format!(
        "service = \"pooler\"\nmember = \"quetzal\"\ngeneration = 1\n\
         [limits]\nsessions = 100\nqueued = {queued}\n[stop]\nbound = \"30s\"\n\
         [[caller]]\nname = \"till\"\nverifier = \"SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy\"\n\
         [[database]]\nname = \"stock\"\nconnections = 9\nmax_staleness = \"{max_staleness}\"\n\
         deadline = \"5s\"\n{servers}"
    )
}

impl Fake {
    /// Returns a home in zone `a` that knows its group: `s-a` is the primary of term 1 at position
    /// 10.
    pub fn new() -> Self {
        Self::with(100, "1s")
    }

    /// Returns a home as [`Self::new`] does, with the given queue limit and allowed staleness.
    pub fn with(queued: u32, max_staleness: &str) -> Self {
        let mut fake = Self::unpolled("a", queued, max_staleness);
        fake.run(Duration::from_millis(20));
        assert!(fake.sent.is_empty());
        fake
    }

    /// Returns a home in the given zone, which is not the first one: the entry daemon is the home
    /// in zone `b`.
    pub fn in_zone(zone: &str) -> Self {
        Self::unpolled(zone, 100, "1s")
    }

    /// Returns a home for which no time has passed since it opened.
    fn unpolled(zone: &str, queued: u32, max_staleness: &str) -> Self {
        let local = Local {
            vm: VmId::try_from("vm-home").unwrap(),
            zone: ZoneName::try_from(zone).unwrap(),
            address: "10.1.0.1:7000".parse().unwrap(),
            incarnation: Incarnation(1),
        };
        let entry = VmRecord {
            vm: VmId::try_from(ENTRY).unwrap(),
            zone: ZoneName::try_from("b").unwrap(),
            address: "10.1.0.2:7000".parse().unwrap(),
            incarnation: Incarnation(1),
            state: VmState::Alive,
        };
        let status = |role| ServerStatus {
            role,
            fenced: Term(1),
            held: record(1, 10),
            applied: Position(10),
            term_starts: vec![record(1, 1)],
        };
        let mut fake = Self {
            state: State::new(local, vec![entry], 7),
            now: Duration::from_secs(1),
            statuses: SERVERS
                .iter()
                .map(|s| ((*s).to_owned(), status(ServerRole::Replica)))
                .collect(),
            up: SERVERS.iter().map(|s| ((*s).to_owned(), true)).collect(),
            connect: SERVERS.iter().map(|s| ((*s).to_owned(), Ok(()))).collect(),
            silent: Vec::new(),
            sent: Vec::new(),
            open: BTreeMap::new(),
            answers: BTreeMap::new(),
            records: Vec::new(),
            clients: Vec::new(),
            has_exited: false,
            wakes: Vec::new(),
            last_request: 0,
        };
        fake.statuses
            .insert("s-a".to_owned(), status(ServerRole::Primary));
        fake.event(Event::Platform(PlatformEvent::Documents(Some(vec![
            AcceptedDocument {
                member: MemberName::try_from("quetzal").unwrap(),
                service: ServiceName::try_from("pooler").unwrap(),
                generation: Generation(1),
                change: ChangeCount(1),
                text: document(queued, max_staleness).into(),
            },
        ]))));
        fake
    }

    /// Passes an event to the daemon. Group requests and connection attempts that follow are
    /// answered at once; statements are not.
    pub fn event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = Now {
                instant: Instant {
                    since_start: self.now,
                },
                unix: Duration::from_secs(1_000_000),
            };
            for effect in reduce(&mut self.state, now, event) {
                self.effect(effect, &mut events);
            }
        }
    }

    /// Carries out an effect and adds the events that follow from it.
    fn effect(&mut self, effect: Effect, events: &mut VecDeque<Event>) {
        match effect {
            Effect::Send { to, message, .. } if to == self.state.local.vm => {
                events.push_back(Event::Peer { from: to, message });
            }
            Effect::Client(effect) => self.clients.push(effect),
            Effect::Exit => self.has_exited = true,
            Effect::Backend(effect) => events.extend(self.backend(effect).map(Event::Backend)),
            Effect::Send {
                message: PeerMessage::Answer(answer),
                ..
            } => self.answered(answer),
            Effect::WakeAt(at) => self.wakes.push(at.since_start),
            Effect::Record(entry) => self.records.push(entry),
            _ => {}
        }
    }

    /// Carries out an effect on a server and returns the event that follows at once, if any.
    fn backend(&mut self, effect: BackendEffect) -> Option<BackendEvent> {
        match effect {
            BackendEffect::Connect {
                connection, server, ..
            } => Some(match self.connect[server.as_str()] {
                Ok(()) => {
                    self.open.insert(connection, server.to_string());
                    BackendEvent::Connected { connection }
                }
                Err(failure) => BackendEvent::ConnectFailed {
                    connection,
                    failure,
                },
            }),
            BackendEffect::Send {
                connection,
                work,
                payload,
            } => {
                let server = self.open[&connection].clone();
                let is_busy = self.sent.iter().any(|sent| sent.connection == connection);
                assert!(!is_busy, "{connection:?} was sent work while busy");
                self.sent.push(Sent {
                    connection,
                    server,
                    work,
                    payload,
                });
                None
            }
            BackendEffect::Close { connection } => {
                self.open.remove(&connection);
                self.sent.retain(|sent| sent.connection != connection);
                None
            }
            BackendEffect::Group {
                call,
                server,
                request,
                ..
            } => self.group_reply(call, &server.id, &request),
        }
    }

    /// Returns a server's reply to a group request; none if it stays silent.
    fn group_reply(
        &self,
        call: CallId,
        server: &ServerId,
        request: &GroupRequest,
    ) -> Option<BackendEvent> {
        let status = &self.statuses[server.as_str()];
        let result = match request {
            _ if self.silent.contains(&server.as_str()) => return None,
            _ if !self.up[server.as_str()] => Err(GroupFailure::NoAnswer),
            GroupRequest::Status {
                wait_for: Some(record),
            } if status.held < *record => return None,
            GroupRequest::Status { .. } => Ok(status.clone()),
            _ => Err(GroupFailure::Refused(status.clone())),
        };
        Some(BackendEvent::GroupReply {
            server: server.clone(),
            call,
            result,
        })
    }

    /// Adds a part of an answer, which must follow the part before.
    fn answered(&mut self, answer: Answer) {
        let answered = self.answers.entry(answer.id.number.0).or_default();
        assert_eq!(answer.part, answered.parts, "a part is missing or repeated");
        answered.parts += 1;
        answered.payload.extend_from_slice(&answer.payload);
        answered.ends.extend(answer.end);
    }

    /// Lets time pass, with a tick at each time that the daemon asked for and one at the end.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let now = self.now;
            self.wakes.retain(|wake| *wake > now);
            let Some(next) = self.wakes.iter().min().copied().filter(|at| *at <= end) else {
                break;
            };
            self.now = next;
            self.event(Event::Tick);
        }
        self.now = end;
        self.event(Event::Tick);
    }

    /// Lets a number of milliseconds pass, as [`Self::run`] does.
    pub fn run_ms(&mut self, time: u64) {
        self.run(Duration::from_millis(time));
    }

    /// Returns a request of session 1, outside a transaction and without a key.
    pub fn request(&self, kind: StatementKind) -> Request {
        Request {
            id: RequestId {
                entry: VmId::try_from(ENTRY).unwrap(),
                incarnation: Incarnation(1),
                number: RequestNumber(0),
            },
            session: SessionId(1),
            service: ServiceName::try_from("pooler").unwrap(),
            database: DatabaseName::try_from("stock").unwrap(),
            kind,
            in_transaction: false,
            freshness: Freshness::AtLeast(record(1, 10)),
            key: None,
            resent: false,
            time_left: Duration::from_secs(3),
            payload: Bytes::from_static(b"statement"),
        }
    }

    /// Sends a request to the home under a new number, which is returned.
    pub fn submit(&mut self, mut request: Request) -> u64 {
        self.last_request += 1;
        request.id.number = RequestNumber(self.last_request);
        self.peer(PeerMessage::Request(request));
        self.last_request
    }

    /// Sends a request of the given kind and returns its number.
    pub fn submit_kind(&mut self, kind: StatementKind) -> u64 {
        self.submit(self.request(kind))
    }

    /// Delivers a peer message from the entry daemon.
    pub fn peer(&mut self, message: PeerMessage) {
        self.event(Event::Peer {
            from: VmId::try_from(ENTRY).unwrap(),
            message,
        });
    }

    /// Cancels a request by its number.
    pub fn cancel(&mut self, number: u64) {
        let mut id = self.request(StatementKind::Read).id;
        id.number = RequestNumber(number);
        self.peer(PeerMessage::Cancel(id));
    }

    /// Returns the only piece of work at the servers; panics if there is none or more than one.
    pub fn only_sent(&self) -> Sent {
        assert_eq!(self.sent.len(), 1, "{:?}", self.sent);
        self.sent[0].clone()
    }

    /// Returns the SQL text of the only piece of work, or `messages` if it is the client's request.
    pub fn sql(&self) -> String {
        match self.only_sent().payload {
            WorkPayload::Sql(sql) => sql.to_string(),
            WorkPayload::Messages(_) => "messages".to_owned(),
        }
    }

    /// Answers a piece of work with a part of its answer, the last one if `end` is given.
    pub fn reply(&mut self, sent: &Sent, payload: &'static [u8], end: Option<WorkEnd>) {
        if end.is_some() {
            self.sent.retain(|other| other != sent);
        }
        self.event(Event::Backend(BackendEvent::Answered {
            connection: sent.connection,
            work: sent.work,
            payload: Bytes::from_static(payload),
            end,
        }));
    }

    /// Answers the only piece of work at the servers and ends it.
    pub fn reply_only(&mut self, payload: &'static [u8], end: WorkEnd) {
        let sent = self.only_sent();
        self.reply(&sent, payload, Some(end));
    }

    /// Breaks the connection of a piece of work.
    pub fn lose(&mut self, sent: &Sent) {
        self.sent.retain(|other| other != sent);
        self.open.remove(&sent.connection);
        self.event(Event::Backend(BackendEvent::Lost {
            connection: sent.connection,
        }));
    }

    /// Breaks the connections to a server that have no work.
    pub fn lose_idle(&mut self, server: &str) {
        let is_busy = |c: &ConnectionId| self.sent.iter().any(|sent| sent.connection == *c);
        let idle: Vec<_> = self
            .open
            .iter()
            .filter(|(connection, at)| *at == server && !is_busy(connection))
            .map(|(connection, _)| *connection)
            .collect();
        for connection in idle {
            self.open.remove(&connection);
            self.event(Event::Backend(BackendEvent::Lost { connection }));
        }
    }

    /// Lets a server hold and apply everything up to a log position of its term.
    pub fn hold(&mut self, server: &str, position: u64) {
        let status = self.statuses.get_mut(server).unwrap();
        status.held.position = Position(position);
        status.applied = Position(position);
    }

    /// Makes a server the primary of a term that starts at position 11. `s-c` follows it, and `s-a`
    /// doesn't know of the term.
    pub fn promote(&mut self, server: &str, term: u64) {
        for id in [server, "s-c"] {
            let status = self.statuses.get_mut(id).unwrap();
            status.fenced = Term(term);
            status.held = record(term, 11);
            status.applied = Position(11);
            status.term_starts.push(record(term, 11));
        }
        self.statuses.get_mut(server).unwrap().role = ServerRole::Primary;
    }

    /// Returns the final answer of a request, if it has come; panics if there are several.
    pub fn end(&self, number: u64) -> Option<&AnswerEnd> {
        let ends = &self.answers.get(&number)?.ends;
        assert!(ends.len() <= 1, "{ends:?}");
        ends.first()
    }

    /// Returns whether a request has ended and was not refused.
    pub fn is_done(&self, number: u64) -> bool {
        self.end(number)
            .is_some_and(|end| end.outcome == Outcome::Done)
    }

    /// Returns why a request was refused and whether it may have run; none if it was not refused.
    pub fn refusal(&self, number: u64) -> Option<(RefusalReason, Certainty)> {
        match &self.end(number)?.outcome {
            Outcome::Refused(refusal) => Some((refusal.reason, refusal.ran)),
            Outcome::Done => None,
        }
    }
}
