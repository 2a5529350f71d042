//! Peer edges in one process: sending, answering, lost streams, reconnecting and greetings.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphireslip_core::{
    DatabaseName, Event, Freshness, Incarnation, Local, PeerMessage, ProbeNumber, Request,
    RequestId, RequestNumber, ServiceName, SessionId, StatementKind, VmId, ZoneName,
};
use sapphireslip_wire::peer::peer_client::PeerClient;
use sapphireslip_wire::peer::{Envelope, WantVms, envelope::Body};
use sapphireslipd::{HybridClock, Metrics, PeerEdge};
use standins::Link;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tonic::Code;

/// How long an event or a condition is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum time to detect a silent connection: two seconds for the keepalive, and a margin for
/// a busy machine.
const SILENCE_DETECTION_MAX: Duration = Duration::from_secs(4);

/// A peer edge that listens on loopback.
struct Peer {
    local: Local,
    clock: Arc<HybridClock>,
    edge: PeerEdge,
    events: flume::Receiver<Event>,
}

impl Peer {
    async fn start(vm: &str, incarnation: u64) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("listening succeeds");
        Self::on(listener, vm, incarnation)
    }

    fn on(listener: TcpListener, vm: &str, incarnation: u64) -> Self {
        let local = Local {
            vm: VmId::try_from(vm).expect("valid name"),
            zone: ZoneName::try_from("a").expect("valid name"),
            address: listener.local_addr().expect("a local address"),
            incarnation: Incarnation(incarnation),
        };
        let source = local.address.ip();
        let clock = Arc::new(HybridClock::new(local.incarnation));
        let (tx, events) = flume::bounded(64);
        let metrics = Arc::new(Metrics::default());
        let edge = PeerEdge::new(local.clone(), source, Arc::clone(&clock), tx, metrics);
        let served = edge.clone();
        tokio::spawn(async move {
            served.serve(listener).await.expect("serving succeeds");
        });
        Self {
            local,
            clock,
            edge,
            events,
        }
    }

    /// Sends a message that is told apart by its number.
    fn send(&self, to: &Local, number: u64) {
        let message = PeerMessage::ProbeForAck {
            number: ProbeNumber(number),
        };
        self.edge
            .send(&to.vm, to.address, message)
            .expect("the queue has room");
    }

    async fn event(&self) -> Event {
        let event = tokio::time::timeout(WAIT_TIMEOUT, self.events.recv_async()).await;
        event.expect("an event in time").expect("an open channel")
    }

    /// Expects the message with a number as the next event.
    async fn expect(&self, from: &Local, number: u64) {
        let message = PeerMessage::ProbeForAck {
            number: ProbeNumber(number),
        };
        let from = from.vm.clone();
        assert_eq!(self.event().await, Event::Peer { from, message });
    }

    async fn expect_lost(&self, peer: &Local) {
        let vm = peer.vm.clone();
        assert_eq!(self.event().await, Event::PeerLost { vm });
    }
}

#[tokio::test]
async fn send_in_order() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    for number in 0..50 {
        a.send(&b.local, number);
    }
    for number in 0..50 {
        b.expect(&a.local, number).await;
    }
}

#[tokio::test]
async fn send_answer_on_same_stream() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    a.send(&b.local, 1);
    b.expect(&a.local, 1).await;
    b.send(&a.local, 2);
    a.expect(&b.local, 2).await;
    assert_eq!(
        b.edge.stream_count(),
        1,
        "the answer opened no second stream"
    );
}

#[tokio::test]
async fn send_merges_time() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    let ahead = a.clock.tick() + (5 << 32);
    a.clock.merge(ahead);
    a.send(&b.local, 1);
    b.expect(&a.local, 1).await;
    assert!(b.clock.tick() > ahead);
}

#[tokio::test]
async fn send_refused_connection() {
    let a = Peer::start("vm-a", 1).await;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listening succeeds");
    let gone = Local {
        vm: VmId::try_from("vm-b").expect("valid name"),
        address: listener.local_addr().expect("a local address"),
        ..a.local.clone()
    };
    drop(listener);
    a.send(&gone, 1);
    a.expect_lost(&gone).await;
    assert_eq!(a.edge.stream_count(), 0);
}

#[tokio::test]
async fn send_to_wrong_vm() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    let other = Local {
        vm: VmId::try_from("vm-c").expect("valid name"),
        ..b.local.clone()
    };
    a.send(&other, 1);
    a.expect_lost(&other).await;
}

#[tokio::test]
async fn send_full_queue() {
    let a = Peer::start("vm-a", 1).await;
    // The kernel accepts connections to this listener, but nothing ever answers on them.
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listening succeeds");
    let silent = Local {
        vm: VmId::try_from("vm-b").expect("valid name"),
        address: listener.local_addr().expect("a local address"),
        ..a.local.clone()
    };
    let send = |number| {
        let message = PeerMessage::ProbeForAck {
            number: ProbeNumber(number),
        };
        a.edge.send(&silent.vm, silent.address, message)
    };
    let refused = (0..100_000).find(|number| send(*number).is_err());
    assert!(refused.is_some(), "the queue is not bounded");
    assert_eq!(a.edge.stream_count(), 0);
}

#[tokio::test]
async fn silent_peer_lost() {
    let a = Peer::start("vm-a", 1).await;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listening succeeds");
    let silent = Local {
        vm: VmId::try_from("vm-b").expect("valid name"),
        address: listener.local_addr().expect("a local address"),
        ..a.local.clone()
    };
    a.send(&silent, 1);
    a.expect_lost(&silent).await;
}

async fn wait_for_streams(edge: &PeerEdge, count: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while edge.stream_count() != count {
        assert!(Instant::now() < deadline, "{} streams", edge.stream_count());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The side that opened a stream closes it once it is idle; no message is lost and neither side
/// reports the other as lost.
#[tokio::test]
async fn unused_stream_is_ended() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    for round in 0..2 {
        a.send(&b.local, round);
        b.expect(&a.local, round).await;
        b.send(&a.local, round);
        a.expect(&b.local, round).await;
        wait_for_streams(&a.edge, 0).await;
        wait_for_streams(&b.edge, 0).await;
    }
    b.send(&a.local, 9);
    a.expect(&b.local, 9).await;
    assert!(a.events.is_empty() && b.events.is_empty());
}

/// A stream stays open while an answer is outstanding, so that the loss of the peer is noticed.
#[tokio::test]
async fn unused_stream_with_request_stays() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    let runtime = Runtime::new().expect("a runtime");
    let c = runtime
        .spawn(Peer::start("vm-c", 1))
        .await
        .expect("starting succeeds");
    a.edge
        .send(&c.local.vm, c.local.address, request(&a.local))
        .expect("the queue has room");
    let Event::Peer { .. } = c.event().await else {
        panic!("expected the request first");
    };
    a.send(&b.local, 1);
    b.expect(&a.local, 1).await;
    wait_for_streams(&a.edge, 1).await;
    wait_for_streams(&b.edge, 0).await;
    assert!(a.events.is_empty());
    runtime.shutdown_background();
    a.expect_lost(&c.local).await;
}

/// A request to an earlier run of a peer is given up with that run, and keeps no stream to the next
/// run open.
#[tokio::test]
async fn unused_stream_after_a_request_to_an_earlier_run_is_ended() {
    let (a, old) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    a.edge
        .send(&old.local.vm, old.local.address, request(&a.local))
        .expect("the queue has room");
    let Event::Peer { .. } = old.event().await else {
        panic!("expected the request first");
    };
    let new = Peer::start("vm-b", 2).await;
    a.send(&new.local, 1);
    new.expect(&a.local, 1).await;
    a.expect_lost(&new.local).await;
    wait_for_streams(&a.edge, 0).await;
}

fn request(entry: &Local) -> PeerMessage {
    PeerMessage::Request(Request {
        id: RequestId {
            entry: entry.vm.clone(),
            incarnation: entry.incarnation,
            number: RequestNumber(1),
        },
        session: SessionId(1),
        service: ServiceName::try_from("shop").expect("valid name"),
        database: DatabaseName::try_from("stock").expect("valid name"),
        kind: StatementKind::Read,
        in_transaction: false,
        freshness: Freshness::Probe,
        key: None,
        resent: false,
        time_left: WAIT_TIMEOUT,
        payload: Bytes::new(),
    })
}

/// When an open stream goes silent, both sides report the loss within about two seconds.
#[tokio::test]
async fn open_stream_goes_silent() {
    let (a, b) = (Peer::start("vm-a", 1).await, Peer::start("vm-b", 1).await);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listening succeeds");
    let relayed = Local {
        address: listener.local_addr().expect("a local address"),
        ..b.local.clone()
    };
    drop(listener);
    let link = Link::start(relayed.address, b.local.address)
        .await
        .expect("starting succeeds");
    a.send(&relayed, 1);
    b.expect(&a.local, 1).await;
    let start = Instant::now();
    link.cut(a.local.address.ip());
    a.expect_lost(&b.local).await;
    b.expect_lost(&a.local).await;
    let took = start.elapsed();
    assert!(took < SILENCE_DETECTION_MAX, "took {took:?}");
    link.heal();
    a.send(&relayed, 2);
    b.expect(&a.local, 2).await;
}

#[tokio::test]
async fn break_then_reconnect() {
    let a = Peer::start("vm-a", 1).await;
    // Shutting down the runtime closes all streams of the peer, as the end of its process would.
    let runtime = Runtime::new().expect("a runtime");
    let b = runtime
        .spawn(Peer::start("vm-b", 1))
        .await
        .expect("starting succeeds");
    a.send(&b.local, 1);
    b.expect(&a.local, 1).await;
    runtime.shutdown_background();
    a.expect_lost(&b.local).await;
    let listener = TcpListener::bind(b.local.address).await;
    let b = Peer::on(listener.expect("listening again succeeds"), "vm-b", 2);
    a.send(&b.local, 2);
    b.expect(&a.local, 2).await;
}

#[tokio::test]
async fn message_before_hello() {
    let b = Peer::start("vm-b", 1).await;
    let url = format!("http://{}", b.local.address);
    let mut client = PeerClient::connect(url).await.expect("connecting succeeds");
    let early = Envelope {
        time: 0,
        body: Some(Body::WantVms(WantVms {})),
    };
    let outgoing = tokio_stream::iter([early]);
    let err = client
        .exchange(outgoing)
        .await
        .expect_err("the stream is refused");
    assert_eq!(err.code(), Code::FailedPrecondition);
    assert!(b.events.is_empty());
}

#[tokio::test]
async fn newer_run_replaces_stream() {
    let b = Peer::start("vm-b", 1).await;
    let old = Peer::start("vm-a", 1).await;
    old.send(&b.local, 1);
    b.expect(&old.local, 1).await;
    let new = Peer::start("vm-a", 2).await;
    new.send(&b.local, 2);
    b.expect_lost(&old.local).await;
    b.expect(&new.local, 2).await;
    b.send(&new.local, 3);
    new.expect(&b.local, 3).await;
}
