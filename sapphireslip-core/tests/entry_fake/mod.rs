//! Drives one entry daemon event by event; its zone has no servers, and two VMs in another zone may
//! be the home of its database.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::time::Duration;

use bytes::Bytes;
use sapphireslip_core::*;

/// The VM of the entry daemon.
pub const ENTRY: &str = "vm-entry";

/// The two VMs that may be the home of the database.
pub const HOMES: [&str; 2] = ["vm-1", "vm-2"];

/// The deadline of requests that the document sets.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// The limit of sessions that the document sets.
pub const SESSIONS: u64 = 3;

/// An entry daemon whose peers, platform and clients are played by the test.
pub struct Fake {
    /// The state of the daemon.
    pub state: State,
    /// The time since the start of the daemon.
    pub now: Duration,
    /// The effects of the daemon that no test has taken yet, oldest first.
    pub effects: Vec<Effect>,
}

/// The result of a session's statement, as its client was told.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The refusal; `None` if the statement was done.
    pub refusal: Option<Refusal>,
    /// The transaction status after the statement.
    pub transaction: TransactionStatus,
    /// The session token, if it is known.
    pub token: Option<TermPosition>,
}

fn vm(name: &str) -> VmId {
    VmId::try_from(name).unwrap()
}

fn document() -> String {
    format!(
        "service = \"pooler\"\nmember = \"quetzal\"\ngeneration = 1\n\
         [limits]\nsessions = {SESSIONS}\nqueued = 100\n[stop]\nbound = \"30s\"\n\
         [[caller]]\nname = \"till\"\nverifier = \"SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy\"\n\
         [[database]]\nname = \"stock\"\nconnections = 9\nmax_staleness = \"1s\"\n\
         deadline = \"{}s\"\n[[database.server]]\nid = \"s-a\"\nzone = \"a\"\n\
         address = \"10.0.0.1:5432\"\n",
        DEADLINE.as_secs()
    )
}

/// Returns a position in the log of the database.
pub fn record(term: u64, position: u64) -> TermPosition {
    TermPosition {
        term: Term(term),
        position: Position(position),
    }
}

/// Returns the end of an answer to a request that was done.
pub fn done(transaction: TransactionStatus) -> AnswerEnd {
    AnswerEnd {
        outcome: Outcome::Done,
        transaction,
        seen: None,
    }
}

/// Returns the end of an answer to a request that was refused, outside a transaction.
pub fn refused(refusal: Refusal) -> AnswerEnd {
    AnswerEnd {
        outcome: Outcome::Refused(refusal),
        transaction: TransactionStatus::Idle,
        seen: None,
    }
}

impl Fake {
    /// Returns an entry daemon that knows the document and both homes.
    pub fn new() -> Self {
        let local = Local {
            vm: vm(ENTRY),
            zone: ZoneName::try_from("x").unwrap(),
            address: "10.1.0.1:7000".parse().unwrap(),
            incarnation: Incarnation(5),
        };
        let homes = HOMES.iter().enumerate().map(|(n, name)| VmRecord {
            vm: vm(name),
            zone: ZoneName::try_from("a").unwrap(),
            address: format!("10.1.0.{}:7000", n + 2).parse().unwrap(),
            incarnation: Incarnation(1),
            state: VmState::Alive,
        });
        let mut fake = Self {
            state: State::new(local, homes.collect(), 7),
            now: Duration::from_secs(1),
            effects: Vec::new(),
        };
        fake.event(Event::Platform(PlatformEvent::Documents(Some(vec![
            AcceptedDocument {
                member: MemberName::try_from("quetzal").unwrap(),
                service: ServiceName::try_from("pooler").unwrap(),
                generation: Generation(1),
                change: ChangeCount(1),
                text: document().into(),
            },
        ]))));
        fake
    }

    /// Hands an event to the daemon and keeps its effects.
    pub fn event(&mut self, event: Event) {
        let now = Now {
            instant: Instant {
                since_start: self.now,
            },
            unix: Duration::from_secs(1_000_000),
        };
        self.effects.extend(reduce(&mut self.state, now, event));
    }

    /// Hands an event of a client to the daemon.
    pub fn client(&mut self, event: ClientEvent) {
        self.event(Event::Client(event));
    }

    /// Advances the time by `time` milliseconds, with a tick after each one.
    pub fn run_ms(&mut self, time: u64) {
        for _ in 0..time {
            self.now += Duration::from_millis(1);
            self.event(Event::Tick);
        }
    }

    /// Advances the time by `time` milliseconds at once, with a single late tick at the end.
    pub fn stall_ms(&mut self, time: u64) {
        self.now += Duration::from_millis(time);
        self.event(Event::Tick);
    }

    /// Connects a client that has not proved its password yet.
    pub fn connect(&mut self, session: u64) {
        self.client(ClientEvent::Connecting {
            session: SessionId(session),
            user: "till".into(),
            database: "stock".into(),
        });
    }

    /// Connects a client and opens its session.
    pub fn open(&mut self, session: u64) {
        self.connect(session);
        self.client(ClientEvent::Opened {
            session: SessionId(session),
            user: UserName::try_from("till").unwrap(),
            database: DatabaseName::try_from("stock").unwrap(),
            token: None,
        });
    }

    /// Hands a statement of a session to the daemon.
    pub fn statement(&mut self, session: u64, text: &str, key: Option<&str>) {
        self.client(ClientEvent::Statement {
            session: SessionId(session),
            text: text.into(),
            key: key.map(|key| RequestKey::try_from(key).unwrap()),
            payload: Bytes::copy_from_slice(text.as_bytes()),
        });
    }

    /// Takes the requests that were sent since the last call, each with the VM that it went to.
    pub fn take_sent(&mut self) -> Vec<(VmId, Request)> {
        let mut sent = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Send {
                to,
                message: PeerMessage::Request(request),
                ..
            } => {
                sent.push((to.clone(), request.clone()));
                false
            }
            _ => true,
        });
        sent
    }

    /// Takes the only request that was sent since the last call, with the VM that it went to;
    /// panics unless there is exactly one.
    pub fn take_only_sent(&mut self) -> (VmId, Request) {
        let mut sent = self.take_sent();
        assert_eq!(sent.len(), 1, "{sent:?}");
        sent.remove(0)
    }

    /// Hands a statement to the daemon and takes the request that it sends to a home.
    pub fn send(&mut self, session: u64, text: &str, key: Option<&str>) -> (VmId, Request) {
        self.statement(session, text, key);
        self.take_only_sent()
    }

    /// Runs a statement to its end, after which the session has the transaction status `after`.
    pub fn run_done(&mut self, session: u64, text: &str, after: TransactionStatus) {
        let (home, request) = self.send(session, text, None);
        self.answer(&home, &request, 0, "", Some(done(after)));
        assert!(
            self.take_finished(session).unwrap().refusal.is_none(),
            "{text}"
        );
    }

    /// Hands a part of a home's answer to the daemon.
    pub fn answer(
        &mut self,
        home: &VmId,
        request: &Request,
        part: u32,
        payload: &str,
        end: Option<AnswerEnd>,
    ) {
        self.event(Event::Peer {
            from: home.clone(),
            message: PeerMessage::Answer(Answer {
                id: request.id.clone(),
                part,
                payload: Bytes::copy_from_slice(payload.as_bytes()),
                end,
            }),
        });
    }

    /// Tells the daemon that a home was lost.
    pub fn lose_home(&mut self, home: &VmId) {
        self.event(Event::PeerLost { vm: home.clone() });
    }

    /// Takes the answer parts that a session's client received since the last call, joined
    /// together.
    pub fn take_output(&mut self, session: u64) -> String {
        let mut given = String::new();
        self.effects.retain(|effect| match effect {
            Effect::Client(ClientEffect::Answer {
                session: to,
                payload,
            }) if to.0 == session => {
                given.push_str(std::str::from_utf8(payload).unwrap());
                false
            }
            _ => true,
        });
        given
    }

    /// Takes the result of a session's statement; `None` if it has not ended.
    pub fn take_finished(&mut self, session: u64) -> Option<Finished> {
        let mut ends = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Client(ClientEffect::Finish {
                session: to,
                refusal,
                transaction,
                token,
            }) if to.0 == session => {
                ends.push(Finished {
                    refusal: refusal.clone(),
                    transaction: *transaction,
                    token: *token,
                });
                false
            }
            _ => true,
        });
        assert!(ends.len() <= 1, "{ends:?}");
        ends.pop()
    }

    /// Takes the refusal that ended a session's statement; panics if it was not refused.
    pub fn take_refusal(&mut self, session: u64) -> Refusal {
        let end = self
            .take_finished(session)
            .expect("the statement has ended");
        end.refusal.expect("the statement was refused")
    }

    /// Takes the refusal with which a session was closed; `None` if it was not.
    pub fn take_closed(&mut self, session: u64) -> Option<Refusal> {
        let mut closed = None;
        self.effects.retain(|effect| match effect {
            Effect::Client(ClientEffect::Close {
                session: of,
                refusal,
            }) if of.0 == session => {
                closed = Some(refusal.clone());
                false
            }
            _ => true,
        });
        closed
    }

    /// Returns whether a home was told that a session is closed or its transaction given up.
    pub fn was_told_closed(&self, home: &VmId, session: u64) -> bool {
        self.effects.iter().any(|effect| {
            matches!(effect, Effect::Send { to, message: PeerMessage::SessionClosed { session: of, .. }, .. }
                if to == home && of.0 == session)
        })
    }
}
