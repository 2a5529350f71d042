//! The runner under load: full queues to the edges, and status queries among many events.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sapphireslip_core::{
    ClientEffect, ClientEvent, Event, Incarnation, Local, SessionId, State, VmId, ZoneName,
};
use sapphireslipd::{
    Clock, EffectSenders, HybridClock, Metrics, PeerEdge, ReadinessCell, Runner, RunnerParts,
    StatusQuery, TimelineRing,
};

/// How long a test waits for its result.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The capacity of each queue in these tests.
const QUEUE_CAPACITY: usize = 4;

/// The number of clients that connect: far more than all queues hold.
const CLIENTS: u64 = 1_000;

/// The number of concurrent senders; enough that the event queue is never empty.
const CONCURRENT_SENDERS: u64 = 500;

/// A runner without edges; the tests send its events and receive its effects.
struct Fixture {
    events: flume::Sender<Event>,
    clients: flume::Receiver<ClientEffect>,
    queries: flume::Sender<StatusQuery>,
}

impl Fixture {
    fn start() -> Self {
        let local = Local {
            vm: VmId::try_from("vm-1").expect("valid name"),
            zone: ZoneName::try_from("a").expect("valid name"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
            incarnation: Incarnation(1),
        };
        let (events_tx, events) = flume::bounded(QUEUE_CAPACITY);
        let (queries_tx, queries) = flume::bounded(QUEUE_CAPACITY);
        let (clients, clients_rx) = flume::bounded(QUEUE_CAPACITY);
        // These effects have no receiver and are dropped.
        let (backends, _) = flume::bounded(QUEUE_CAPACITY);
        let (platform, _) = flume::bounded(QUEUE_CAPACITY);
        let metrics = Arc::new(Metrics::default());
        let hybrid_clock = Arc::new(HybridClock::new(local.incarnation));
        let peers = PeerEdge::new(
            local.clone(),
            local.address.ip(),
            Arc::clone(&hybrid_clock),
            events_tx.clone(),
            Arc::clone(&metrics),
        );
        let parts = RunnerParts {
            clock: Clock::start(),
            hybrid_clock,
            timeline: Arc::new(TimelineRing::default()),
            metrics,
            readiness: Arc::new(ReadinessCell::default()),
            events,
            queries,
            effects: EffectSenders {
                clients,
                backends,
                platform,
                peers,
            },
        };
        tokio::spawn(Runner::new(State::new(local, Vec::new(), 1), parts).run());
        Self {
            events: events_tx,
            clients: clients_rx,
            queries: queries_tx,
        }
    }

    /// Sends the event of a client that connects to an unknown database, whose session is closed.
    async fn connect(&self, session: u64) {
        let event = Event::Client(ClientEvent::Connecting {
            session: SessionId(session),
            user: "till".into(),
            database: "nowhere".into(),
        });
        self.events
            .send_async(event)
            .await
            .expect("the runner is running");
    }
}

/// The runner must not deadlock with an edge that sends all its events before it takes any effect.
#[tokio::test]
async fn full_queues_no_deadlock() {
    let fixture = Fixture::start();
    let exchange = async {
        for session in 0..CLIENTS {
            fixture.connect(session).await;
        }
        for session in 0..CLIENTS {
            let effect = fixture.clients.recv_async().await.expect("an effect");
            let ClientEffect::Close {
                session: closed, ..
            } = effect
            else {
                panic!("{effect:?}");
            };
            assert_eq!(closed, SessionId(session), "effects are out of order");
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, exchange)
        .await
        .expect("no deadlock");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_under_load() {
    let fixture = Fixture::start();
    let connect = async |session| loop {
        fixture.connect(session).await;
    };
    let load = futures::future::join_all((0..CONCURRENT_SENDERS).map(connect));
    let edge = async { while fixture.clients.recv_async().await.is_ok() {} };
    let query = async {
        let (tx, rx) = flume::bounded(1);
        fixture
            .queries
            .send_async(StatusQuery(tx))
            .await
            .expect("the runner is running");
        rx.recv_async().await.expect("a status")
    };
    let answered = async {
        tokio::select! {
            status = query => status,
            _ = load => unreachable!("the load never ends"),
            () = edge => unreachable!("the runner is running"),
        }
    };
    let status = tokio::time::timeout(WAIT_TIMEOUT, answered)
        .await
        .expect("an answer in time");
    assert_eq!(status.vm, "vm-1");
}
