//! Property test of a home over random orders of events: no two transactions share a connection,
//! each request gets exactly one final answer, no write is sent twice, and no write that may have
//! run is reported as not run.

mod home_fake;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use home_fake::{Fake, Sent, committed, failed, ok, open};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sapphireslip_core::*;

/// How many random sequences are tried.
const CASES: u32 = 256;

/// One step of a random sequence; `pick` selects among what is there at the time.
#[derive(Clone, Debug)]
enum Step {
    /// Send a request of a session, unless its last one has not ended.
    Submit {
        session: u64,
        kind: StatementKind,
        keyed: bool,
    },
    /// Answer a piece of work at the servers.
    Reply { pick: usize, end: End },
    /// Break the connection of a piece of work at the servers.
    Lose { pick: usize },
    /// Cancel a request.
    Cancel { pick: usize },
    /// Close a session.
    CloseSession { session: u64 },
    /// Report the entry daemon as lost.
    LoseEntry,
    /// Set whether a server answers group requests.
    Cut { server: usize, up: bool },
    /// Let a replica hold all that was committed.
    Hold,
    /// Let time pass.
    Run { ms: u64 },
}

/// How a server answers a piece of work.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Success outside a transaction, without a commit.
    Idle,
    /// Success with a transaction open.
    Open,
    /// Success with a commit, if the server is the primary.
    Committed,
    /// This SQLSTATE outside a transaction.
    Error(&'static [u8; 5]),
    /// This SQLSTATE in a transaction, which fails.
    Aborted(&'static [u8; 5]),
    /// A commit with this stored state and answer of a key, if the server is the primary.
    ReadBack(&'static str),
    /// A part of the answer without its end.
    Part,
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        3 => Just(End::Idle),
        3 => Just(End::Open),
        3 => Just(End::Committed),
        1 => Just(End::Error(b"25006")),
        1 => Just(End::Error(b"57P04")),
        1 => Just(End::Error(b"23505")),
        1 => Just(End::Aborted(b"23505")),
        1 => Just(End::Aborted(b"42P01")),
        1 => Just(End::ReadBack("done:4f4b")),
        1 => Just(End::ReadBack("refused:")),
        1 => Just(End::Part),
    ]
}

fn kind() -> impl Strategy<Value = StatementKind> {
    prop_oneof![
        Just(StatementKind::Read),
        Just(StatementKind::Write),
        Just(StatementKind::Begin),
        Just(StatementKind::BeginReadOnly),
        Just(StatementKind::Commit),
        Just(StatementKind::Rollback),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..4_u64, kind(), any::<bool>())
            .prop_map(|(session, kind, keyed)| Step::Submit { session, kind, keyed }),
        12 => (any::<usize>(), end()).prop_map(|(pick, end)| Step::Reply { pick, end }),
        2 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => (0..4_u64).prop_map(|session| Step::CloseSession { session }),
        1 => Just(Step::LoseEntry),
        1 => (0..3_usize, any::<bool>()).prop_map(|(server, up)| Step::Cut { server, up }),
        2 => Just(Step::Hold),
        3 => (1..800_u64).prop_map(|ms| Step::Run { ms }),
    ]
}

/// What the test has observed of one request.
struct Submitted {
    /// The session that sent the request.
    session: u64,
    /// The kind of its statement.
    kind: StatementKind,
    /// Whether the session had a transaction open when it sent the request.
    in_transaction: bool,
    /// Whether the request has a key.
    keyed: bool,
    /// How often the client's messages were sent to a server.
    sends: u32,
    /// The connection on which the client's messages are at a server now.
    running: Option<ConnectionId>,
    /// Whether the request may have run outside a transaction.
    may_have_run: bool,
}

/// A home and what the test has observed of it.
struct World {
    /// The home with its scripted servers.
    fake: Fake,
    /// All requests sent so far, by number.
    submitted: BTreeMap<u64, Submitted>,
    /// The work that has been checked.
    seen: BTreeSet<WorkId>,
    /// The session whose transaction each connection was last reported to be in.
    owners: BTreeMap<ConnectionId, u64>,
    /// The log position of the last commit.
    position: u64,
}

/// Returns the request whose own messages a piece of work consists of; none for a step of the home.
fn number(sent: &Sent) -> Option<u64> {
    match &sent.payload {
        WorkPayload::Messages(payload) => std::str::from_utf8(payload).unwrap().parse().ok(),
        WorkPayload::Sql(_) => None,
    }
}

impl World {
    fn new() -> Self {
        Self {
            fake: Fake::new(),
            submitted: BTreeMap::new(),
            seen: BTreeSet::new(),
            owners: BTreeMap::new(),
            position: 10,
        }
    }

    /// Updates the observations after an event and checks all work that was sent since the last
    /// check.
    fn check_last_event(&mut self) {
        for submitted in self.submitted.values_mut() {
            let at = |connection| {
                let sent = self.fake.sent.iter();
                sent.into_iter().any(|sent| sent.connection == connection)
            };
            if submitted.running.is_some_and(|connection| !at(connection)) {
                submitted.running = None;
                submitted.may_have_run = true;
            }
        }
        for sent in self.fake.sent.clone() {
            if !self.seen.insert(sent.work) {
                continue;
            }
            let Some(number) = number(&sent) else {
                continue;
            };
            let submitted = self.submitted.get_mut(&number).unwrap();
            submitted.sends += 1;
            submitted.running = Some(sent.connection);
            let owner = self.owners.get(&sent.connection);
            let is_own = match owner {
                Some(owner) => *owner == submitted.session || submitted.keyed,
                None => !submitted.in_transaction,
            };
            assert!(
                is_own,
                "work of session {} was sent on a connection that belongs to {owner:?}",
                submitted.session
            );
            let may_write = submitted.keyed || submitted.kind == StatementKind::Write;
            assert!(
                !may_write || submitted.sends == 1,
                "request {number} was sent twice"
            );
        }
        let open = &self.fake.open;
        self.owners
            .retain(|connection, _| open.contains_key(connection));
    }

    /// Sends a request of a session, unless its last one has not ended.
    fn submit(&mut self, session: u64, kind: StatementKind, keyed: bool) {
        let last = self
            .submitted
            .iter()
            .rev()
            .find(|(_, a)| a.session == session);
        // A session sends its next request only after the last one has ended.
        let transaction = match last {
            None => TransactionStatus::Idle,
            Some((number, _)) => match self.fake.end(*number) {
                None => return,
                Some(end) => end.transaction,
            },
        };
        let next = self.submitted.len() as u64 + 1;
        let mut request = self.fake.request(kind);
        request.session = SessionId(session);
        request.in_transaction = transaction != TransactionStatus::Idle;
        request.payload = Bytes::from(next.to_string());
        let is_keyed = keyed && kind == StatementKind::Write;
        if is_keyed {
            let key = format!("999999.key-{next}");
            request.key = Some(RequestKey::try_from(key.as_str()).unwrap());
        }
        let submitted = Submitted {
            session,
            kind,
            in_transaction: request.in_transaction,
            keyed: is_keyed,
            sends: 0,
            running: None,
            may_have_run: false,
        };
        self.submitted.insert(next, submitted);
        assert_eq!(self.fake.submit(request), next);
    }

    /// Answers a piece of work at the servers; only the primary can commit.
    fn reply(&mut self, pick: usize, end: End) {
        let Some(sent) = self.pick(pick) else {
            return;
        };
        let end = match end {
            End::Part => return self.fake.reply(&sent, b"part", None),
            End::Idle => ok(),
            End::Open => open(),
            End::Error(sqlstate) => failed(sqlstate),
            End::Aborted(sqlstate) => WorkEnd {
                transaction: TransactionStatus::Failed,
                ..failed(sqlstate)
            },
            End::Committed | End::ReadBack(_) if sent.server != "s-a" => ok(),
            End::Committed => self.commit(),
            End::ReadBack(value) => WorkEnd {
                value: Some(value.into()),
                ..self.commit()
            },
        };
        self.record_end(&sent, &end);
        self.fake.reply(&sent, b"answer", Some(end));
    }

    /// Lets the primary commit the next log record.
    fn commit(&mut self) -> WorkEnd {
        self.position += 1;
        self.fake.hold("s-a", self.position);
        committed(1, self.position)
    }

    /// Updates the observations with what the end of a piece of work proves.
    fn record_end(&mut self, sent: &Sent, end: &WorkEnd) {
        if end.transaction == TransactionStatus::Idle {
            self.owners.remove(&sent.connection);
        }
        let Some(submitted) = number(sent).and_then(|number| self.submitted.get_mut(&number))
        else {
            return;
        };
        submitted.running = None;
        submitted.may_have_run |= end.committed.is_some();
        if end.transaction != TransactionStatus::Idle {
            self.owners.insert(sent.connection, submitted.session);
        }
    }

    /// Returns a piece of work at the servers; none if there is no work.
    fn pick(&self, pick: usize) -> Option<Sent> {
        let sent = &self.fake.sent;
        sent.get(pick % sent.len().max(1)).cloned()
    }

    /// Performs a step and checks the result.
    fn take(&mut self, step: Step) {
        match step {
            Step::Submit {
                session,
                kind,
                keyed,
            } => self.submit(session, kind, keyed),
            Step::Reply { pick, end } => self.reply(pick, end),
            Step::Lose { pick } => {
                if let Some(sent) = self.pick(pick) {
                    self.fake.lose(&sent);
                }
            }
            Step::Cancel { pick } => {
                let number = pick as u64 % (self.submitted.len() as u64 + 1);
                self.fake.cancel(number);
            }
            Step::CloseSession { session } => self.fake.peer(PeerMessage::SessionClosed {
                incarnation: Incarnation(1),
                session: SessionId(session),
            }),
            Step::LoseEntry => self.fake.event(Event::PeerLost {
                vm: VmId::try_from(home_fake::ENTRY).unwrap(),
            }),
            Step::Cut { server, up } => {
                let server = home_fake::SERVERS[server].to_owned();
                self.fake.up.insert(server, up);
            }
            Step::Hold => self.fake.hold("s-b", self.position),
            Step::Run { ms } => self.fake.run_ms(ms),
        }
        self.check_last_event();
    }

    /// Lets all deadlines pass and checks the final answers.
    fn finish(&mut self) {
        self.fake.run_ms(10_000);
        self.check_last_event();
        for (number, submitted) in &self.submitted {
            let ends = self.fake.answers.get(number).map_or(0, |a| a.ends.len());
            assert_eq!(ends, 1, "request {number} has {ends} final answers");
            let is_plain = !submitted.keyed && !submitted.in_transaction;
            let has_run = submitted.may_have_run && submitted.kind == StatementKind::Write;
            let said_not_run = self
                .fake
                .refusal(*number)
                .is_some_and(|(_, ran)| ran == Certainty::NotRun);
            assert!(
                !(is_plain && has_run && said_not_run),
                "request {number} may have run"
            );
        }
        self.fake.run(TRANSACTION_IDLE_MAX);
        assert!(self.fake.state.homes.is_idle());
    }
}

#[test]
fn order_random_events() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..120);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new();
        for step in steps {
            world.take(step);
        }
        world.finish();
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}
