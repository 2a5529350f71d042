//! The backend edge against stand-in backend servers.

use std::time::Duration;

use bytes::Bytes;
use flume::{Receiver, Sender};
use rstest::rstest;
use sapphireslip_core::{
    BackendEffect, BackendEvent, CallId, ConnectFailure, ConnectionId, DatabaseName, Event,
    GroupFailure, GroupRequest, Position, ServerId, ServerRole, ServerSpec, ServerStatus, SqlState,
    Term, TermPosition, TransactionStatus, VmId, WorkEnd, WorkId, WorkPayload, ZoneName,
};
use sapphireslipd::{BackendSettings, StatusText, run_backend_edge};
use standins::{BackendGroup, BackendGroupSettings};

/// How long an event or an answer is waited for.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A backend edge with a group of stand-in servers.
struct Fixture {
    group: BackendGroup,
    events: Receiver<Event>,
    effects: Sender<BackendEffect>,
}

impl Fixture {
    async fn start(settings: BackendGroupSettings) -> Self {
        let password = settings
            .password
            .clone()
            .map(|password| password.as_str().into());
        let group = BackendGroup::start(settings)
            .await
            .expect("the servers start on loopback");
        let (event_tx, events) = flume::bounded(256);
        let (effects, effect_rx) = flume::bounded(256);
        let settings = BackendSettings {
            user: "sapphireslip".into(),
            password,
            vm: VmId::try_from("vm-1").expect("valid name"),
            zone: ZoneName::try_from("zone-a").expect("valid name"),
        };
        tokio::spawn(run_backend_edge(event_tx, effect_rx, settings));
        Self {
            group,
            events,
            effects,
        }
    }

    fn send_effect(&self, effect: BackendEffect) {
        self.effects.send(effect).expect("the edge is running");
    }

    async fn event(&self) -> BackendEvent {
        let event = tokio::time::timeout(CALL_TIMEOUT, self.events.recv_async()).await;
        match event
            .expect("an event in time")
            .expect("the edge is running")
        {
            Event::Backend(event) => event,
            other => panic!("unexpected event {other:?}"),
        }
    }

    fn connect(&self, connection: u64, server: usize) {
        self.send_effect(BackendEffect::Connect {
            connection: ConnectionId(connection),
            server: self.group.id(server),
            address: self.group.addresses()[server],
            database: DatabaseName::try_from("stock").expect("valid name"),
        });
    }

    async fn connected(&self, connection: u64, server: usize) {
        self.connect(connection, server);
        let connection = ConnectionId(connection);
        assert_eq!(self.event().await, BackendEvent::Connected { connection });
    }

    fn send(&self, connection: u64, work: u64, payload: WorkPayload) {
        self.send_effect(BackendEffect::Send {
            connection: ConnectionId(connection),
            work: WorkId(work),
            payload,
        });
    }

    /// Sends work on connection 1 and returns its complete answer.
    async fn work(&self, work: u64, payload: WorkPayload) -> Answer {
        self.send(1, work, payload);
        let mut answer = Vec::new();
        let mut parts = 0;
        loop {
            let event = self.event().await;
            let BackendEvent::Answered {
                work: answered,
                payload,
                end,
                ..
            } = event
            else {
                panic!("expected an answer, got {event:?}");
            };
            assert_eq!(answered, WorkId(work));
            answer.extend_from_slice(&payload);
            parts += 1;
            if let Some(end) = end {
                return Answer {
                    payload: answer,
                    parts,
                    end,
                };
            }
        }
    }

    async fn call(
        &self,
        server: usize,
        request: GroupRequest,
    ) -> Result<ServerStatus, GroupFailure> {
        self.send_group_request(1, server, request, CALL_TIMEOUT);
        match self.event().await {
            BackendEvent::GroupReply { result, .. } => result,
            other => panic!("expected a group reply, got {other:?}"),
        }
    }

    fn send_group_request(
        &self,
        call: u64,
        server: usize,
        request: GroupRequest,
        timeout: Duration,
    ) {
        self.send_effect(BackendEffect::Group {
            call: CallId(call),
            server: ServerSpec {
                id: self.group.id(server),
                zone: ZoneName::try_from("zone-a").expect("valid name"),
                address: self.group.addresses()[server],
                leaving: false,
            },
            database: DatabaseName::try_from("stock").expect("valid name"),
            request,
            timeout,
        });
    }
}

/// The complete answer to a piece of work.
struct Answer {
    /// The relayed messages.
    payload: Vec<u8>,
    /// The number of parts in which the answer arrived.
    parts: usize,
    end: WorkEnd,
}

impl Answer {
    /// Returns the kind bytes of the relayed messages, in order.
    fn kinds(&self) -> String {
        let mut kinds = String::new();
        let mut rest = self.payload.as_slice();
        while let [kind, a, b, c, d, ..] = rest {
            let length = u32::from_be_bytes([*a, *b, *c, *d]) as usize;
            kinds.push(char::from(*kind));
            rest = &rest[1 + length..];
        }
        assert!(rest.is_empty(), "a message is truncated");
        kinds
    }
}

fn query(sql: &str) -> WorkPayload {
    let mut message = vec![b'Q'];
    let length = u32::try_from(sql.len() + 5).expect("the query fits a message");
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(sql.as_bytes());
    message.push(0);
    WorkPayload::Messages(Bytes::from(message))
}

fn settings() -> BackendGroupSettings {
    BackendGroupSettings {
        connect_delay: Duration::ZERO,
        ..Default::default()
    }
}

fn log_position(term: u64, position: u64) -> TermPosition {
    TermPosition {
        term: Term(term),
        position: Position(position),
    }
}

#[tokio::test]
async fn work_commit() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 0).await;
    let answer = fixture
        .work(1, query("CREATE TABLE t (id BIGINT PRIMARY KEY)"))
        .await;
    assert_eq!(answer.kinds(), "C");
    assert_eq!(answer.end.committed, Some(log_position(1, 2)));
    assert_eq!(answer.end.transaction, TransactionStatus::Idle);
    let answer = fixture.work(2, query("SELECT 1; SELECT 2")).await;
    assert_eq!(answer.kinds(), "TDCTDC");
    assert_eq!(answer.end.committed, None);
}

#[tokio::test]
async fn work_transaction() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 0).await;
    let answer = fixture.work(1, query("BEGIN")).await;
    assert_eq!(answer.end.transaction, TransactionStatus::Open);
    let answer = fixture.work(2, query("SELECT * FROM missing")).await;
    assert_eq!(answer.kinds(), "E");
    assert_eq!(answer.end.sqlstate, Some(SqlState(*b"42P01")));
    assert_eq!(answer.end.transaction, TransactionStatus::Failed);
}

#[tokio::test]
async fn work_replica_refuses() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 1).await;
    let answer = fixture.work(1, query("CREATE TABLE t (id BIGINT)")).await;
    assert_eq!(answer.end.sqlstate, Some(SqlState::READ_ONLY));
}

#[tokio::test]
async fn work_internal_sql() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 0).await;
    let sql = "SELECT 'first' UNION ALL SELECT 'second'";
    let answer = fixture.work(1, WorkPayload::Sql(sql.into())).await;
    assert_eq!(answer.payload, b"");
    assert_eq!(answer.end.value.as_deref(), Some("first"));
}

#[tokio::test]
async fn work_large_answer() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 0).await;
    let sql = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 9999) \
               SELECT i, 'some text to make it larger' FROM n";
    let answer = fixture.work(1, query(sql)).await;
    let rows = answer.kinds().matches('D').count();
    assert_eq!(rows, 9999);
    assert!(answer.parts > 4, "{} parts", answer.parts);
}

#[tokio::test]
async fn work_lost_answer() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 0).await;
    fixture.group.lose_next_answer(0);
    fixture.send(1, 1, query("CREATE TABLE t (id BIGINT)"));
    let connection = ConnectionId(1);
    assert_eq!(fixture.event().await, BackendEvent::Lost { connection });
    assert_eq!(fixture.group.status(0).held, log_position(1, 2));
}

#[tokio::test]
async fn connect_limit() {
    let fixture = Fixture::start(BackendGroupSettings {
        connections: 1,
        ..settings()
    })
    .await;
    fixture.connected(1, 0).await;
    fixture.connect(2, 0);
    let failed = BackendEvent::ConnectFailed {
        connection: ConnectionId(2),
        failure: ConnectFailure::TooMany,
    };
    assert_eq!(fixture.event().await, failed);
    fixture.send_effect(BackendEffect::Close {
        connection: ConnectionId(1),
    });
    let closed = async {
        while fixture.group.open_connections(0) > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(CALL_TIMEOUT, closed)
        .await
        .expect("the connection is closed in time");
    fixture.connected(3, 0).await;
}

#[tokio::test]
async fn connect_refused() {
    let fixture = Fixture::start(settings()).await;
    fixture.group.kill(0);
    fixture.connect(1, 0);
    let failed = BackendEvent::ConnectFailed {
        connection: ConnectionId(1),
        failure: ConnectFailure::Refused,
    };
    assert_eq!(fixture.event().await, failed);
}

#[tokio::test]
async fn connect_password() {
    let fixture = Fixture::start(BackendGroupSettings {
        password: Some("secret".to_owned()),
        ..settings()
    })
    .await;
    fixture.connected(1, 0).await;
}

#[tokio::test]
async fn connect_timeout() {
    let fixture = Fixture::start(settings()).await;
    fixture.group.freeze(0);
    fixture.connect(1, 0);
    let failed = BackendEvent::ConnectFailed {
        connection: ConnectionId(1),
        failure: ConnectFailure::Timeout,
    };
    assert_eq!(fixture.event().await, failed);
}

#[tokio::test]
async fn idle_connection_lost() {
    let fixture = Fixture::start(settings()).await;
    fixture.connected(1, 0).await;
    fixture.group.kill(0);
    let connection = ConnectionId(1);
    assert_eq!(fixture.event().await, BackendEvent::Lost { connection });
}

#[tokio::test]
async fn group_failover() {
    let fixture = Fixture::start(settings()).await;
    let status = fixture
        .call(1, GroupRequest::Status { wait_for: None })
        .await;
    assert_eq!(status.expect("a status").role, ServerRole::Replica);
    let refused = fixture
        .call(1, GroupRequest::Promote { term: Term(2) })
        .await;
    assert!(
        matches!(refused, Err(GroupFailure::Refused(_))),
        "{refused:?}"
    );
    fixture
        .call(1, GroupRequest::Fence { term: Term(2) })
        .await
        .expect("the term is above all terms seen");
    let status = fixture
        .call(1, GroupRequest::Promote { term: Term(2) })
        .await;
    let status = status.expect("the server is fenced at this term");
    assert_eq!(status.role, ServerRole::Primary);
    assert_eq!(status.term_starts, [log_position(1, 1), log_position(2, 2)]);
    let follow = GroupRequest::Follow {
        term: Term(2),
        primary: ServerId::try_from("server-b").expect("valid name"),
    };
    let status = fixture
        .call(0, follow)
        .await
        .expect("the primary has the same term");
    assert_eq!(status.role, ServerRole::Replica);
}

#[tokio::test]
async fn group_wait_does_not_block_others() {
    let fixture = Fixture::start(settings()).await;
    let wait = GroupRequest::Status {
        wait_for: Some(log_position(1, 2)),
    };
    fixture.send_group_request(1, 0, wait, CALL_TIMEOUT);
    fixture.send_group_request(2, 0, GroupRequest::Status { wait_for: None }, CALL_TIMEOUT);
    let reply = fixture.event().await;
    let BackendEvent::GroupReply { call, .. } = reply else {
        panic!("expected a group reply, got {reply:?}");
    };
    assert_eq!(call, CallId(2));
    fixture.connected(1, 0).await;
    fixture.send(1, 1, query("CREATE TABLE t (id BIGINT)"));
    for _ in 0..2 {
        if let BackendEvent::GroupReply { result, .. } = fixture.event().await {
            assert_eq!(result.expect("a status").held, log_position(1, 2));
            return;
        }
    }
    panic!("the long poll was not answered");
}

#[tokio::test]
async fn group_no_answer() {
    let fixture = Fixture::start(settings()).await;
    fixture.group.freeze(0);
    let request = GroupRequest::Status { wait_for: None };
    fixture.send_group_request(7, 0, request, Duration::from_millis(50));
    let reply = BackendEvent::GroupReply {
        server: fixture.group.id(0),
        call: CallId(7),
        result: Err(GroupFailure::NoAnswer),
    };
    assert_eq!(fixture.event().await, reply);
    fixture.group.thaw(0);
    let status = fixture
        .call(0, GroupRequest::Status { wait_for: None })
        .await;
    assert_eq!(status.expect("a status").role, ServerRole::Primary);
}

#[rstest]
#[case::empty("")]
#[case::role("role=witness fenced=1 held=1/1 applied=1 starts=1/1")]
#[case::held("role=primary fenced=1 held=1 applied=1 starts=1/1")]
#[case::starts("role=primary fenced=1 held=1/1 applied=1 starts=")]
fn status_malformed(#[case] text: &str) {
    assert!(ServerStatus::try_from(StatusText(text)).is_err());
}
