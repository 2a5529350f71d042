//! The platform stand-in: transactions, lost answers and the other fault switches.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rstest::rstest;
use sapphireslip_core::{DatabaseName, Generation, MemberName, ServiceName};
use sapphireslip_wire::platform::table_client::TableClient;
use sapphireslip_wire::platform::vms_client::VmsClient;
use sapphireslip_wire::platform::{
    Condition, ListReply, ListRequest, ReadReply, ReadRequest, TransactReply, TransactRequest, Vm,
    VmState, Write,
};
use sapphireslip_wire::{Apply, ApplyError, Settled};
use standins::{KEYS_MAX, Platform, PlatformSettings};
use tonic::transport::Channel;
use tonic::{Code, Request, Status};

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

struct Fixture {
    platform: Platform,
    table: TableClient<Channel>,
    vms: VmsClient<Channel>,
}

impl Fixture {
    async fn start(settings: PlatformSettings) -> Self {
        let platform = Platform::start(settings).await.expect("starts");
        let url = format!("http://{}", platform.address());
        let channel = Channel::from_shared(url).expect("url").connect_lazy();
        Self {
            platform,
            table: TableClient::new(channel.clone()),
            vms: VmsClient::new(channel),
        }
    }

    async fn read(&mut self, keys: &[&str]) -> Result<ReadReply, Status> {
        let keys = keys.iter().map(|key| (*key).to_owned()).collect();
        let reply = self.table.read(ReadRequest { keys }).await;
        reply.map(tonic::Response::into_inner)
    }

    async fn transact(&mut self, req: TransactRequest) -> Result<TransactReply, Status> {
        let reply = self.table.transact(req).await;
        reply.map(tonic::Response::into_inner)
    }

    async fn list(&mut self) -> ListReply {
        let reply = self.vms.list(ListRequest {}).await;
        reply.expect("list").into_inner()
    }
}

fn put(key: &str, version: u64, value: &'static str) -> TransactRequest {
    TransactRequest {
        conditions: vec![Condition {
            key: key.to_owned(),
            version,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(Bytes::from_static(value.as_bytes())),
        }],
    }
}

fn apply(against: u64, writer: &str) -> Apply {
    Apply {
        member: MemberName::try_from("acme").expect("name"),
        service: ServiceName::try_from("shop").expect("name"),
        against: Generation(against),
        databases: vec![DatabaseName::try_from("stock").expect("name")],
        released: vec![],
        text: "text".into(),
        writer: writer.into(),
    }
}

#[tokio::test]
async fn transact_conditions() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let reply = fixture.transact(put("a", 0, "one")).await.expect("answer");
    assert_eq!(reply.failed, None);
    let first = fixture.platform.row("a").version;
    let reply = fixture.transact(put("a", 0, "two")).await.expect("answer");
    assert_eq!(reply.failed.expect("failed").version, first);
    assert_eq!(fixture.platform.row("a").value, "one");
    let reply = fixture
        .transact(put("a", first, "two"))
        .await
        .expect("answer");
    assert_eq!(reply.failed, None);
    assert!(fixture.platform.row("a").version > first);
}

#[tokio::test]
async fn transact_all_or_nothing() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let mut req = put("a", 0, "one");
    req.conditions.push(Condition {
        key: "b".to_owned(),
        version: 9,
    });
    let reply = fixture.transact(req).await.expect("answer");
    assert_eq!(reply.failed.expect("failed").key, "b");
    assert_eq!(fixture.platform.row("a").version, 0);
}

#[tokio::test]
async fn transact_delete_then_create() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.transact(put("a", 0, "one")).await.expect("answer");
    let first = fixture.platform.row("a").version;
    let mut delete = put("a", first, "");
    delete.writes[0].value = None;
    fixture.transact(delete).await.expect("answer");
    assert_eq!(fixture.platform.row("a").version, 0);
    fixture.transact(put("a", 0, "two")).await.expect("answer");
    assert!(fixture.platform.row("a").version > first);
}

#[tokio::test]
async fn read_too_many_keys() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let err = fixture.read(&vec!["a"; KEYS_MAX + 1]).await;
    assert_eq!(err.expect_err("refused").code(), Code::InvalidArgument);
}

#[tokio::test]
async fn apply_lost_answer() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let (ours, rival) = (apply(0, "ours"), apply(0, "rival"));
    let rows = fixture
        .table
        .read(ours.reads())
        .await
        .expect("rows")
        .into_inner();
    let transaction = ours.transaction(&rows).expect("transaction");
    let late = rival.transaction(&rows).expect("transaction");
    fixture.platform.lose_next_answer();
    let err = fixture.transact(transaction.clone()).await;
    assert_eq!(err.expect_err("lost").code(), Code::Unavailable);
    let read = ours.settling_reads(&transaction);
    let row = fixture.table.read(read).await.expect("row").into_inner();
    assert_eq!(ours.settle(&row), Settled::Committed);
    assert_eq!(rival.settle(&row), Settled::Refused);
    let reply = fixture.transact(late).await.expect("answer");
    assert!(reply.failed.is_some(), "the rival's change must not land");
}

#[tokio::test]
async fn apply_older_generation() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let first = apply(0, "first");
    let rows = fixture
        .table
        .read(first.reads())
        .await
        .expect("rows")
        .into_inner();
    let transaction = first.transaction(&rows).expect("transaction");
    fixture.transact(transaction).await.expect("answer");
    let rows = fixture
        .table
        .read(first.reads())
        .await
        .expect("rows")
        .into_inner();
    let err = apply(0, "second").transaction(&rows);
    assert_eq!(err, Err(ApplyError::Generation(0, 1)));
    assert!(apply(1, "second").transaction(&rows).is_ok());
}

#[tokio::test]
async fn apply_owned_database() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    fixture
        .transact(put("database/stock", 0, "rival/shop"))
        .await
        .expect("answer");
    let ours = apply(0, "ours");
    let rows = fixture
        .table
        .read(ours.reads())
        .await
        .expect("rows")
        .into_inner();
    let err = ours.transaction(&rows).expect_err("refused");
    assert!(matches!(err, ApplyError::Owned(_, owner) if owner == "rival/shop"));
}

#[tokio::test]
async fn down_then_up() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.transact(put("a", 0, "one")).await.expect("answer");
    fixture.platform.down(true);
    let err = fixture.read(&["a"]).await.expect_err("down");
    assert_eq!(err.code(), Code::Unavailable);
    fixture.platform.down(false);
    let reply = fixture.read(&["a"]).await.expect("up again");
    assert_eq!(reply.rows[0].value, "one");
}

#[tokio::test]
async fn slow_call() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let delay = Duration::from_millis(50);
    fixture.platform.slow(delay);
    let start = Instant::now();
    fixture.read(&["a"]).await.expect("answer");
    assert!(start.elapsed() >= delay);
}

#[rstest]
#[case::vm("vm-1", "b")]
#[case::zone("vm-2", "a")]
#[tokio::test]
async fn cut_no_answer(#[case] vm: &'static str, #[case] zone: &'static str) {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.platform.cut_vm("vm-1", true);
    fixture.platform.cut_zone("a", true);
    let call = |vm: &str, zone: &str| {
        let mut req = Request::new(ReadRequest::default());
        req.metadata_mut().insert("vm", vm.parse().expect("value"));
        req.metadata_mut()
            .insert("zone", zone.parse().expect("value"));
        req
    };
    let cut = fixture.table.read(call(vm, zone));
    let cut = tokio::time::timeout(Duration::from_millis(100), cut).await;
    assert!(cut.is_err(), "a cut VM gets no answer");
    fixture
        .table
        .read(call("vm-2", "b"))
        .await
        .expect("others get theirs");
    fixture.platform.cut_vm("vm-1", false);
    fixture.platform.cut_zone("a", false);
    fixture.table.read(call(vm, zone)).await.expect("healed");
}

#[tokio::test]
async fn rate_limit_refuses() {
    let settings = PlatformSettings {
        reads_per_second: 1,
        ..PlatformSettings::default()
    };
    let mut fixture = Fixture::start(settings).await;
    let mut codes = Vec::new();
    for _ in 0..20 {
        codes.push(fixture.read(&["a"]).await.err().map(|err| err.code()));
    }
    assert_eq!(codes[0], None);
    assert!(codes.contains(&Some(Code::ResourceExhausted)));
    assert!(fixture.platform.counts().limited > 0);
}

#[tokio::test]
async fn vm_list_lags() {
    let mut fixture = Fixture::start(PlatformSettings::default()).await;
    let lag = Duration::from_millis(200);
    fixture.platform.set_vm_list_lag(lag);
    let server: IpAddr = "127.0.0.9".parse().expect("ip");
    let start = Instant::now();
    fixture.platform.set_vm(Vm {
        vm: "vm-1".to_owned(),
        zone: "a".to_owned(),
        address: "127.0.0.1:5000".to_owned(),
        incarnation: 1,
        state: VmState::Live.into(),
    });
    fixture.platform.set_leaving_servers([server]);
    loop {
        let list = fixture.list().await;
        if list.vms.len() == 1 && list.leaving_servers == ["127.0.0.9"] {
            break;
        }
        assert!(start.elapsed() < PATIENCE, "the list never came");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(start.elapsed() >= lag);
}
