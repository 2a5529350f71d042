//! The platform edge against a stand-in platform: answers, failures and changing documents.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use sapphireslip_core::{
    ChangeCount, DatabaseName, Event, Generation, Incarnation, Local, MemberName, PlatformEffect,
    PlatformEvent, ServiceName, VmId, ZoneName,
};
use sapphireslip_wire::platform::table_client::TableClient;
use sapphireslip_wire::platform::{ReadRequest, Row, Vm, VmState};
use sapphireslip_wire::{Apply, CHANGES_KEPT, change_key};
use sapphireslipd::platform_edge;
use standins::{Platform, PlatformSettings};

/// How long an event is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A rate limit in requests per second that no test reaches, so that results don't depend on the
/// speed of the machine.
const UNLIMITED: u32 = 1_000_000;

/// A platform edge of a daemon in zone `a` with a stand-in platform.
struct Fixture {
    platform: Platform,
    effects: flume::Sender<PlatformEffect>,
    events: flume::Receiver<Event>,
}

impl Fixture {
    async fn start() -> Self {
        let settings = PlatformSettings {
            reads_per_second: UNLIMITED,
            writes_per_second: UNLIMITED,
            ..PlatformSettings::default()
        };
        let platform = Platform::start(settings)
            .await
            .expect("the platform starts");
        let local = Local {
            vm: VmId::try_from("vm-1").expect("valid name"),
            zone: ZoneName::try_from("a").expect("valid name"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
            incarnation: Incarnation(1),
        };
        let (events_tx, events) = flume::bounded(64);
        let (effects, effects_rx) = flume::bounded(64);
        let edge = platform_edge::run(platform.address(), local, events_tx, effects_rx);
        tokio::spawn(edge);
        Self {
            platform,
            effects,
            events,
        }
    }

    async fn request(&self, effect: PlatformEffect) -> PlatformEvent {
        self.effects.send(effect).expect("the queue has room");
        self.event().await
    }

    async fn event(&self) -> PlatformEvent {
        let event = tokio::time::timeout(WAIT_TIMEOUT, self.events.recv_async()).await;
        match event.expect("an event in time") {
            Ok(Event::Platform(event)) => event,
            other => panic!("{other:?}"),
        }
    }

    /// Has the platform accept the generation of a document that follows `against`.
    async fn accept(&self, service: &str, against: u64) {
        let apply = Apply {
            member: MemberName::try_from("acme").expect("valid name"),
            service: ServiceName::try_from(service).expect("valid name"),
            base_generation: Generation(against),
            databases: vec![DatabaseName::try_from(service).expect("valid name")],
            released: vec![],
            text: format!("{service} {}", against + 1).into(),
            writer: format!("{service}-{against}").into(),
        };
        let url = format!("http://{}", self.platform.address());
        let mut table = TableClient::connect(url)
            .await
            .expect("connecting succeeds");
        let rows = table
            .read(apply.reads())
            .await
            .expect("the read succeeds")
            .into_inner();
        let transaction = apply.transaction(&rows).expect("a valid transaction");
        let reply = table
            .transact(transaction)
            .await
            .expect("the transaction succeeds")
            .into_inner();
        assert_eq!(reply.failed, None);
    }

    async fn read(&self, keys: &[String]) -> Vec<Row> {
        let url = format!("http://{}", self.platform.address());
        let mut table = TableClient::connect(url)
            .await
            .expect("connecting succeeds");
        let keys = keys.to_vec();
        let reply = table
            .read(ReadRequest { keys })
            .await
            .expect("the read succeeds");
        reply.into_inner().rows
    }

    /// Returns the change count and the text of each document accepted after `since`.
    async fn documents(&self, since: u64) -> Vec<(u64, String)> {
        let since = ChangeCount(since);
        match self.request(PlatformEffect::ReadDocuments { since }).await {
            PlatformEvent::Documents(Some(documents)) => {
                let found = documents.iter();
                found
                    .map(|found| (found.change.0, found.text.to_string()))
                    .collect()
            }
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn change_count_starts_at_zero() {
    let fixture = Fixture::start().await;
    let answer = fixture.request(PlatformEffect::ReadChanges).await;
    assert_eq!(answer, PlatformEvent::Changes(Some(ChangeCount(0))));
}

#[tokio::test]
async fn documents_since() {
    let fixture = Fixture::start().await;
    fixture.accept("stock", 0).await;
    fixture.accept("sales", 0).await;
    fixture.accept("stock", 1).await;
    let all = [(2, "sales 1".to_owned()), (3, "stock 2".to_owned())];
    assert_eq!(fixture.documents(0).await, all);
    assert_eq!(fixture.documents(2).await, all[1..]);
    assert_eq!(fixture.documents(3).await, []);
}

#[tokio::test]
async fn documents_many_batches() {
    let fixture = Fixture::start().await;
    for number in 0..150 {
        fixture.accept(&format!("service-{number}"), 0).await;
    }
    let changes: Vec<_> = fixture
        .documents(0)
        .await
        .iter()
        .map(|found| found.0)
        .collect();
    assert_eq!(changes, (1..=150).collect::<Vec<_>>());
}

/// For a reader that is far behind, the number of reads depends on the number of documents and not
/// on that of their changes. Old changes are removed from the table.
#[tokio::test]
async fn documents_many_changes() {
    let fixture = Fixture::start().await;
    fixture.accept("sales", 0).await;
    for against in 0..CHANGES_KEPT {
        fixture.accept("stock", against).await;
    }
    let last = CHANGES_KEPT + 1;
    let rows = fixture
        .read(&[change_key(ChangeCount(1)), change_key(ChangeCount(2))])
        .await;
    assert_eq!(rows[0].version, 0, "the oldest change is removed");
    assert!(rows[1].version > 0);
    let before = fixture.platform.counts().reads;
    let found = fixture.documents(0).await;
    let stock = format!("stock {CHANGES_KEPT}");
    assert_eq!(found, [(1, "sales 1".to_owned()), (last, stock.clone())]);
    let reads = fixture.platform.counts().reads - before;
    assert!(
        reads <= 3,
        "{reads} reads, expected those of the count, the list and two documents"
    );
    assert_eq!(fixture.documents(last - 1).await, [(last, stock)]);
}

/// Guards against a skipped change. Between the reads of the edge, another document is changed, and
/// then again the one that the edge is about to read. An answer with the last change count must
/// also contain the change before it.
#[tokio::test]
async fn documents_changed_meanwhile() {
    let fixture = Fixture::start().await;
    fixture.accept("stock", 0).await;
    fixture.platform.slow(Duration::from_millis(100));
    let since = ChangeCount(0);
    fixture
        .effects
        .send(PlatformEffect::ReadDocuments { since })
        .expect("the queue has room");
    let reads = fixture.platform.counts().reads;
    while fixture.platform.counts().reads < reads + 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fixture.platform.slow(Duration::ZERO);
    fixture.accept("sales", 0).await;
    fixture.accept("stock", 1).await;
    let PlatformEvent::Documents(Some(documents)) = fixture.event().await else {
        panic!("no documents");
    };
    let changes: Vec<_> = documents.iter().map(|document| document.change.0).collect();
    assert!(changes == [1] || changes == [2, 3], "{changes:?}");
}

#[tokio::test]
async fn vms_and_leaving_servers() {
    let fixture = Fixture::start().await;
    fixture.platform.set_vm(Vm {
        vm: "vm-2".to_owned(),
        zone: "b".to_owned(),
        address: "127.0.0.1:7000".to_owned(),
        incarnation: 3,
        state: VmState::Leaving.into(),
    });
    let server = "127.0.0.9".parse().expect("valid IP address");
    fixture.platform.set_leaving_servers([server]);
    let PlatformEvent::Vms(Some(vms)) = fixture.request(PlatformEffect::ReadVms).await else {
        panic!("no list");
    };
    assert_eq!(vms[0].vm.as_str(), "vm-2");
    assert_eq!(vms[0].state, sapphireslip_core::VmState::Leaving);
    assert_eq!(
        fixture.event().await,
        PlatformEvent::LeavingServers(vec![server])
    );
}

#[tokio::test]
async fn down_no_answer_then_up() {
    let fixture = Fixture::start().await;
    fixture.platform.set_down(true);
    let answer = fixture.request(PlatformEffect::ReadChanges).await;
    assert_eq!(answer, PlatformEvent::Changes(None));
    assert_eq!(
        fixture.request(PlatformEffect::ReadVms).await,
        PlatformEvent::Vms(None)
    );
    fixture.platform.set_down(false);
    let answer = fixture.request(PlatformEffect::ReadChanges).await;
    assert_eq!(answer, PlatformEvent::Changes(Some(ChangeCount(0))));
}

#[tokio::test]
async fn cut_off_zone_no_answer() {
    let fixture = Fixture::start().await;
    fixture.platform.cut_zone("a", true);
    let answer = fixture.request(PlatformEffect::ReadChanges).await;
    assert_eq!(answer, PlatformEvent::Changes(None));
}

#[tokio::test]
async fn duplicate_call_is_dropped() {
    let fixture = Fixture::start().await;
    fixture.platform.slow(Duration::from_millis(200));
    for _ in 0..10 {
        fixture
            .effects
            .send(PlatformEffect::ReadChanges)
            .expect("the queue has room");
    }
    fixture.event().await;
    assert_eq!(fixture.platform.counts().reads, 1);
}
