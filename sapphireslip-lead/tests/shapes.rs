//! Prepared statements run the shape that their own client prepared.

mod support;

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use rstest::rstest;
use sapphireslip_core::SessionId;
use sapphireslip_lead::{ClientEvent, Event, Shape, Shapes, State};
use support::{BALANCES, Daemon, PAYMENTS, server};

/// The number of shapes that the daemon of the random test keeps.
const SHAPES_KEPT: usize = 8;

/// The number of clients of the random test: more than the shapes that the daemon keeps.
const CLIENTS: usize = 12;

/// Returns a shape of its own for each number.
fn shape(n: usize) -> Shape {
    Shape {
        writes: false,
        text: format!("q{n}").into(),
    }
}

/// Guards against memory that grows with the shapes that clients have ever used: a million of them, of
/// which 1,000 are in use at a time.
#[rstest]
fn shapes_in_use_alone_are_kept() {
    let mut shapes = Shapes::default();
    let mut used = VecDeque::new();
    let mut largest = 0;
    for n in 0..1_000_000 {
        used.push_back(shapes.numbered(&shape(n)));
        if used.len() > 1_000 {
            used.pop_front();
        }
        largest = largest.max(shapes.len());
    }
    // With about 200 bytes each, 0.8 MB.
    assert!(largest <= 4_096, "{largest} shapes are known");
    assert_eq!(shapes.numbered(&shape(999_500)), used[500]);
}

/// Guards against a shape that is forgotten while a statement or a connection uses it.
#[rstest]
fn shape_in_use_keeps_its_number() {
    let mut shapes = Shapes::keeping(4);
    let used = shapes.numbered(&shape(0));
    let forgotten = shapes.numbered(&shape(1)).number;
    for n in 2..100 {
        shapes.numbered(&shape(n));
    }
    assert_eq!(shapes.numbered(&shape(0)), used);
    assert_ne!(shapes.numbered(&shape(1)).number, forgotten);
}

/// Guards against a statement that runs another client's shape: those that waited in the queue while
/// the daemon forgot shapes lost their numbers, and ran what was prepared as number 0.
#[rstest]
fn waiting_statements_keep_their_shapes() {
    let mut daemon = daemon_keeping(SHAPES_KEPT);
    let mut expected = BTreeMap::new();
    daemon.withholds_connects = true;
    daemon.break_connections(&server("s-a"));
    for n in 0..30 {
        let session = daemon.open(PAYMENTS);
        let text = format!("READ q{n}");
        daemon.run(session, "-", &format!("PREPARE s1 {text}"));
        daemon.submit(session, &n.to_string(), "EXECUTE s1 x");
        expected.insert(n.to_string(), text);
    }
    daemon.withholds_connects = false;
    daemon.finish_opening();
    daemon.advance(300);
    assert!(!daemon.prepared.ran.is_empty());
    check(&daemon, &expected);
}

/// Returns a ready daemon that keeps a number of unused shapes.
fn daemon_keeping(kept: usize) -> Daemon {
    let mut daemon = Daemon::ready();
    daemon.change_state(|state: State| state.with_shapes_kept(kept));
    daemon
}

/// Checks that each statement that was sent ran the shape that is expected for its identifier.
fn check(daemon: &Daemon, expected: &BTreeMap<String, String>) {
    for (id, ran) in &daemon.prepared.ran {
        let ran = ran.as_ref().map(|shape| shape.text.to_string());
        assert_eq!(ran.as_ref(), expected.get(&**id), "statement {id}");
    }
}

/// What a client, or the world around the daemon, does next.
#[derive(Clone, Debug)]
enum Step {
    Prepare(usize, usize, usize),
    Execute(usize, usize),
    /// Prepares a shape under a name and runs it.
    Run(usize, usize, usize),
    Deallocate(usize, usize),
    Transaction(usize, &'static str),
    Set(usize, usize),
    Reconnect(usize),
    Hold,
    Release,
    /// All connections break, and none is opened until the next release.
    HoldConnections,
    ReleaseConnections,
    Break(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (client, name) = (0..CLIENTS, 0..3_usize);
    let step = prop_oneof![
        2 => (client.clone(), name.clone(), 0..40_usize).prop_map(|(c, n, s)| Step::Prepare(c, n, s)),
        20 => (client.clone(), name.clone(), 0..40_usize).prop_map(|(c, n, s)| Step::Run(c, n, s)),
        4 => (client.clone(), name.clone()).prop_map(|(c, n)| Step::Execute(c, n)),
        1 => (client.clone(), name).prop_map(|(c, n)| Step::Deallocate(c, n)),
        2 => (client.clone(), prop::sample::select(vec!["BEGIN", "COMMIT", "ROLLBACK"]))
            .prop_map(|(c, text)| Step::Transaction(c, text)),
        1 => (client.clone(), 0..3_usize).prop_map(|(c, v)| Step::Set(c, v)),
        1 => client.prop_map(Step::Reconnect),
        2 => Just(Step::Hold),
        2 => Just(Step::Release),
        1 => Just(Step::HoldConnections),
        1 => Just(Step::ReleaseConnections),
        1 => (0..3_usize).prop_map(Step::Break),
        2 => (1..8_u64).prop_map(|ticks| Step::Pass(ticks * 10)),
    ];
    prop::collection::vec(step, 1..200)
}

/// A statement of a client that has not been answered.
struct Statement {
    id: String,
    text: String,
}

/// A client of the random test: what it has sent and not seen answered, the oldest first, and the shapes
/// whose preparing was acknowledged.
struct Client {
    session: SessionId,
    unanswered: VecDeque<Statement>,
    prepared: BTreeMap<String, String>,
}

/// The clients of the random test and their daemon.
struct Clients {
    daemon: Daemon,
    clients: Vec<Client>,
    /// The shape that each prepared statement has to run, by its identifier.
    expected: BTreeMap<String, String>,
    statements: usize,
}

impl Clients {
    fn new() -> Self {
        let mut daemon = daemon_keeping(SHAPES_KEPT);
        let clients = (0..CLIENTS).map(|n| Client {
            session: daemon.open([PAYMENTS, BALANCES][n % 2]),
            unanswered: VecDeque::new(),
            prepared: BTreeMap::new(),
        });
        let clients = clients.collect();
        Self {
            daemon,
            clients,
            expected: BTreeMap::new(),
            statements: 0,
        }
    }

    /// Sends a statement of a client without waiting for its answer.
    fn submit(&mut self, client: usize, text: &str) {
        self.statements += 1;
        let (id, text) = (self.statements.to_string(), text.to_owned());
        let session = self.clients[client].session;
        self.clients[client].unanswered.push_back(Statement {
            id: id.clone(),
            text: text.clone(),
        });
        self.expect_oldest(client);
        self.daemon.submit(session, &id, &text);
    }

    /// Records what the oldest unanswered statement of a client has to run.
    fn expect_oldest(&mut self, client: usize) {
        let client = &self.clients[client];
        let Some(Statement { id, text }) = client.unanswered.front() else {
            return;
        };
        let name = text
            .strip_prefix("EXECUTE ")
            .and_then(|rest| rest.split(' ').next());
        if let Some(shape) = name.and_then(|name| client.prepared.get(name)) {
            self.expected.insert(id.clone(), shape.clone());
        }
    }

    /// Lets the clients see their answers.
    fn see_answers(&mut self) {
        for (session, reply) in std::mem::take(&mut self.daemon.answers) {
            let mut clients = self.clients.iter();
            let Some(n) = clients.position(|client| client.session == session) else {
                continue;
            };
            let client = &mut self.clients[n];
            let Some(statement) = client.unanswered.pop_front() else {
                continue;
            };
            let mut words = statement.text.splitn(3, ' ');
            let (verb, name) = (words.next(), words.next().unwrap_or_default());
            match (verb, words.next()) {
                _ if reply.failure().is_some() => {}
                (Some("PREPARE"), Some(shape)) => {
                    client.prepared.insert(name.to_owned(), shape.to_owned());
                }
                (Some("DEALLOCATE"), _) => {
                    client.prepared.remove(name);
                }
                _ => {}
            }
            self.expect_oldest(n);
        }
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Prepare(client, name, shape) => {
                self.submit(client, &format!("PREPARE s{name} READ q{shape}"));
            }
            Step::Run(client, name, shape) => {
                self.submit(client, &format!("PREPARE s{name} READ q{shape}"));
                self.submit(client, &format!("EXECUTE s{name} x"));
            }
            Step::Execute(client, name) => self.submit(client, &format!("EXECUTE s{name} x")),
            Step::Deallocate(client, name) => self.submit(client, &format!("DEALLOCATE s{name}")),
            Step::Transaction(client, text) => self.submit(client, text),
            Step::Set(client, value) => self.submit(client, &format!("SET v {value}")),
            Step::Reconnect(client) => {
                let session = self.clients[client].session;
                self.daemon
                    .event(Event::Client(ClientEvent::Closed { session }));
                self.clients[client] = Client {
                    session: self.daemon.open(PAYMENTS),
                    unanswered: VecDeque::new(),
                    prepared: BTreeMap::new(),
                };
            }
            Step::Hold => self.daemon.withholds_answers = true,
            Step::Release => self.daemon.answer_all(),
            Step::HoldConnections => {
                self.daemon.withholds_connects = true;
                (0..3).for_each(|n| self.take(&Step::Break(n)));
            }
            Step::ReleaseConnections => {
                self.daemon.withholds_connects = false;
                self.daemon.finish_opening();
            }
            Step::Break(n) => {
                let server = self.daemon.group.servers[n].id.clone();
                self.daemon.break_connections(&server);
            }
            Step::Pass(millis) => self.daemon.advance(millis),
        }
        self.see_answers();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a statement that runs another shape than its client prepared, in any order of
    /// preparing, running, waiting, reconnecting and losing connections.
    #[test]
    fn statements_run_their_own_shape(steps in steps()) {
        let mut clients = Clients::new();
        for step in &steps {
            clients.take(step);
            check(&clients.daemon, &clients.expected);
        }
    }
}
