//! A home with three scripted backend servers, driven event by event with a clock of its own.

#![allow(dead_code, reason = "each test file uses its own part of the helper")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use sapphireslip_core::*;

pub const ENTRY: &str = "vm-entry";
pub const SERVERS: [&str; 3] = ["s-a", "s-b", "s-c"];

/// One piece of work that the home has sent and that is not yet answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub connection: ConnectionId,
    pub server: String,
    pub work: WorkId,
    pub payload: WorkPayload,
}

/// What came back for one request.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub parts: u32,
    pub payload: Vec<u8>,
    pub ends: Vec<AnswerEnd>,
}

pub struct Fake {
    pub state: State,
    pub now: Duration,
    pub statuses: BTreeMap<String, ServerStatus>,
    /// Servers whose answers to status requests don't come.
    pub silent: Vec<&'static str>,
    /// Servers that answer group requests.
    pub up: BTreeMap<String, bool>,
    /// How attempts to connect end.
    pub connect: BTreeMap<String, Result<(), ConnectFailure>>,
    pub sent: Vec<Sent>,
    pub open: BTreeMap<ConnectionId, String>,
    pub answers: BTreeMap<u64, Received>,
    pub records: Vec<TimelineEntry>,
    /// What callers of this daemon's own were given.
    pub callers: Vec<CallerEffect>,
    pub has_exited: bool,
    wakes: Vec<Duration>,
    next_request: u64,
}

pub fn record(term: u64, position: u64) -> TermPosition {
    TermPosition {
        term: Term(term),
        position: Position(position),
    }
}

pub fn ok() -> WorkEnd {
    WorkEnd {
        transaction: TransactionStatus::Idle,
        committed: None,
        sqlstate: None,
        value: None,
    }
}

pub fn open() -> WorkEnd {
    WorkEnd {
        transaction: TransactionStatus::Open,
        ..ok()
    }
}

pub fn failed(sqlstate: &[u8; 5]) -> WorkEnd {
    WorkEnd {
        sqlstate: Some(SqlState(*sqlstate)),
        ..ok()
    }
}

pub fn committed(term: u64, position: u64) -> WorkEnd {
    WorkEnd {
        committed: Some(record(term, position)),
        ..ok()
    }
}

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
    /// Returns a home whose group is known, with `s-a` the primary of term 1 at position 10.
    pub fn new() -> Self {
        Self::with(100, "1s")
    }

    pub fn with(queued: u32, max_staleness: &str) -> Self {
        let mut fake = Self::unpolled("a", queued, max_staleness);
        fake.run(Duration::from_millis(20));
        assert!(fake.sent.is_empty());
        fake
    }

    /// Returns a home in another zone than the first; the entry daemon in `b` is home there.
    pub fn in_zone(zone: &str) -> Self {
        Self::unpolled(zone, 100, "1s")
    }

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
            callers: Vec::new(),
            has_exited: false,
            wakes: Vec::new(),
            next_request: 0,
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

    /// Hands in an event and lets group requests and connection attempts be answered at once.
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

    fn effect(&mut self, effect: Effect, events: &mut VecDeque<Event>) {
        match effect {
            Effect::Send { to, message, .. } if to == self.state.local.vm => {
                events.push_back(Event::Peer { from: to, message });
            }
            Effect::Caller(effect) => self.callers.push(effect),
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
                assert!(!is_busy, "two pieces of work on {connection:?}");
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

    fn answered(&mut self, answer: Answer) {
        let answered = self.answers.entry(answer.id.number.0).or_default();
        assert_eq!(answer.part, answered.parts, "a gap in the parts");
        answered.parts += 1;
        answered.payload.extend_from_slice(&answer.payload);
        answered.ends.extend(answer.end);
    }

    /// Lets time pass, with a tick at each point that the reducer asked for.
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

    pub fn run_ms(&mut self, time: u64) {
        self.run(Duration::from_millis(time));
    }

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

    /// Sends a request and returns its number.
    pub fn submit(&mut self, mut request: Request) -> u64 {
        self.next_request += 1;
        request.id.number = RequestNumber(self.next_request);
        self.peer(PeerMessage::Request(request));
        self.next_request
    }

    pub fn submit_kind(&mut self, kind: StatementKind) -> u64 {
        self.submit(self.request(kind))
    }

    pub fn peer(&mut self, message: PeerMessage) {
        self.event(Event::Peer {
            from: VmId::try_from(ENTRY).unwrap(),
            message,
        });
    }

    pub fn cancel(&mut self, number: u64) {
        let mut id = self.request(StatementKind::Read).id;
        id.number = RequestNumber(number);
        self.peer(PeerMessage::Cancel(id));
    }

    /// Takes the one piece of work at the servers.
    pub fn only_sent(&self) -> Sent {
        assert_eq!(self.sent.len(), 1, "{:?}", self.sent);
        self.sent[0].clone()
    }

    pub fn sql(&self) -> String {
        match self.only_sent().payload {
            WorkPayload::Sql(sql) => sql.to_string(),
            WorkPayload::Messages(_) => "messages".to_owned(),
        }
    }

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

    /// Answers the one piece of work at the servers.
    pub fn reply_only(&mut self, payload: &'static [u8], end: WorkEnd) {
        let sent = self.only_sent();
        self.reply(&sent, payload, Some(end));
    }

    pub fn lose(&mut self, sent: &Sent) {
        self.sent.retain(|other| other != sent);
        self.open.remove(&sent.connection);
        self.event(Event::Backend(BackendEvent::Lost {
            connection: sent.connection,
        }));
    }

    /// Lets a server hold and show everything up to a position of its term.
    pub fn hold(&mut self, server: &str, position: u64) {
        let status = self.statuses.get_mut(server).unwrap();
        status.held.position = Position(position);
        status.applied = Position(position);
    }

    /// Makes a server the primary of a term that starts at position 11, followed by `s-c`; `s-a`
    /// has not heard of it.
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

    pub fn end(&self, number: u64) -> Option<&AnswerEnd> {
        let ends = &self.answers.get(&number)?.ends;
        assert!(ends.len() <= 1, "{ends:?}");
        ends.first()
    }

    pub fn is_done(&self, number: u64) -> bool {
        self.end(number)
            .is_some_and(|end| end.outcome == Outcome::Done)
    }

    /// Returns why a request was refused and whether it may have run.
    pub fn refusal(&self, number: u64) -> Option<(RefusalReason, Certainty)> {
        match &self.end(number)?.outcome {
            Outcome::Refused(refusal) => Some((refusal.reason, refusal.ran)),
            Outcome::Done => None,
        }
    }
}
