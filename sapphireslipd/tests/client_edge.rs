//! Tests of the client edge with a real PostgreSQL client and a scripted reducer.

mod client_bench;

use std::time::Duration;

use client_bench::{Bench, Opened, TIMEOUT, code, session_of};
use sapphireslip_core::{
    BackendEffect, BackendEvent, ClientEffect, ClientEvent, ConnectionId, DatabaseName, Event,
    Refusal, RefusalReason, TermPosition, VmId, WorkId, WorkPayload, ZoneName,
};
use sapphireslipd::{BackendSettings, run_backend_edge};
use standins::{BackendGroup, BackendGroupSettings};
use tokio_postgres::{NoTls, SimpleQueryMessage};

fn token(text: &str) -> TermPosition {
    TermPosition::try_from(text).expect("well formed")
}

/// Returns the first value of a result.
fn first_value(messages: &[SimpleQueryMessage]) -> Option<&str> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    })
}

#[tokio::test]
async fn connect_right_password() {
    let bench = Bench::start().await;
    let opened = bench.open("").await;
    assert_eq!(opened.token, None);
    drop(opened.client);
    let closed = ClientEvent::Closed {
        session: opened.session,
    };
    assert_eq!(bench.event().await, closed);
}

#[tokio::test]
async fn connect_wrong_password() {
    let bench = Bench::start().await;
    let refused = bench.connect("guess", "").await.map(drop);
    assert_eq!(refused, Err("28P01".to_owned()));
    let event = bench.event().await;
    assert!(matches!(event, ClientEvent::Closed { .. }), "{event:?}");
}

#[tokio::test]
async fn connect_refused() {
    let bench = Bench::start().await;
    let address = bench.address;
    let client = tokio::spawn(async move {
        let config = format!(
            "host=127.0.0.1 port={} user=till dbname=other",
            address.port()
        );
        tokio_postgres::connect(&config, NoTls)
            .await
            .map(drop)
            .map_err(code)
    });
    let session = session_of(&bench.event().await);
    let refusal = Refusal::not_run(RefusalReason::UnknownDatabase, None, "no database `other`");
    bench.send_effect(ClientEffect::Close { session, refusal });
    assert_eq!(client.await.expect("it ends"), Err("3D000".to_owned()));
    assert_eq!(bench.event().await, ClientEvent::Closed { session });
}

#[tokio::test]
async fn connect_with_token() {
    let bench = Bench::start().await;
    let opened = bench.open("options='-c sapphireslip.token=3/1042'").await;
    assert_eq!(opened.token, Some(token("3/1042")));
    let rows = opened
        .client
        .simple_query("SHOW sapphireslip.token")
        .await
        .expect("it is local");
    assert_eq!(first_value(&rows), Some("stock:3/1042"));
}

#[tokio::test]
async fn connect_with_token_of_another_database() {
    let bench = Bench::start().await;
    let Opened { client, .. } = bench
        .open("options='-c sapphireslip.token=stock:3/1042'")
        .await;
    let other = client
        .simple_query("SET sapphireslip.token = 'other:9/1'")
        .await;
    assert_eq!(other.map(drop).map_err(code), Err("22023".to_owned()));
    let rows = client
        .simple_query("SHOW sapphireslip.token")
        .await
        .expect("it is local");
    assert_eq!(first_value(&rows), Some("stock:3/1042"));
}

#[tokio::test]
async fn statement_answer() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let sql = "INSERT INTO t VALUES (1)";
    let (done, statement) = tokio::join!(client.batch_execute(sql), bench.answer(session));
    done.expect("it is answered");
    assert_eq!((statement.text.as_str(), statement.key), (sql, None));
    let mut message = vec![b'Q', 0, 0, 0, 29];
    message.extend_from_slice(sql.as_bytes());
    message.push(0);
    assert_eq!(statement.payload, message);
}

#[tokio::test]
async fn statement_refused() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let reducer = async {
        bench.statement().await;
        let retry_after = Some(Duration::from_millis(250));
        let refusal = Refusal::not_run(RefusalReason::NoMajority, retry_after, "no majority");
        bench.finish(session, Some(refusal), None);
    };
    let (refused, ()) = tokio::join!(client.batch_execute("DELETE FROM t"), reducer);
    let error = refused.expect_err("it was refused");
    let error = error.as_db_error().expect("by the edge");
    assert_eq!(error.code().code(), "57P03");
    assert_eq!(error.message(), "no majority");
    assert_eq!(error.hint(), Some("retry after 250 ms"));
}

#[tokio::test]
async fn statement_reports_token() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let reducer = async {
        bench.statement().await;
        bench.finish(session, None, Some(token("2/7")));
    };
    let (done, ()) = tokio::join!(client.simple_query("DELETE FROM t"), reducer);
    done.expect("it is answered");
    let rows = client
        .simple_query("SHOW sapphireslip.token")
        .await
        .expect("it is local");
    assert_eq!(first_value(&rows), Some("stock:2/7"));
}

#[tokio::test]
async fn statement_keys() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let sql = "DELETE FROM t /* sapphireslip key=1764794258.a */";
    let (_, statement) = tokio::join!(client.batch_execute(sql), bench.answer(session));
    assert_eq!(statement.key.as_deref(), Some("1764794258.a"));
    let set = "SET sapphireslip.request_key = '1764794258.b'";
    client.batch_execute(set).await.expect("it is local");
    let sql = "DELETE FROM t";
    let (_, statement) = tokio::join!(client.batch_execute(sql), bench.answer(session));
    assert_eq!(statement.key.as_deref(), Some("1764794258.b"));
    let (_, statement) = tokio::join!(client.batch_execute(sql), bench.answer(session));
    assert_eq!(statement.key, None);
    let sql = "DELETE FROM t /* sapphireslip key=b */";
    let refused = client.batch_execute(sql).await.map_err(code);
    assert_eq!(refused, Err("22023".to_owned()));
}

#[tokio::test]
async fn session_token_given() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let set = "SET sapphireslip.token = '4/9'";
    client.batch_execute(set).await.expect("it is local");
    let given = ClientEvent::TokenGiven {
        session,
        token: token("4/9"),
    };
    assert_eq!(bench.event().await, given);
}

#[tokio::test]
async fn session_settings() {
    let bench = Bench::start().await;
    let opened = bench.open("").await;
    let client = opened.client;
    client
        .batch_execute("SET application_name = 'till'")
        .await
        .expect("harmless");
    client
        .execute("SET extra_float_digits = 3", &[])
        .await
        .expect("harmless");
    let refused = client
        .batch_execute("SET search_path = x")
        .await
        .map_err(code);
    assert_eq!(refused, Err("0A000".to_owned()));
    let refused = client
        .execute("SET search_path = x", &[])
        .await
        .map(drop)
        .map_err(code);
    assert_eq!(refused, Err("0A000".to_owned()));
}

#[tokio::test]
async fn session_closed_in_flight() {
    let bench = Bench::start().await;
    let Opened {
        client,
        socket,
        session,
        ..
    } = bench.open("").await;
    let running = tokio::spawn(async move { client.batch_execute("DELETE FROM t").await });
    bench.statement().await;
    socket.abort();
    assert_eq!(bench.event().await, ClientEvent::Closed { session });
    running
        .await
        .expect("it ends")
        .expect_err("there is no answer");
}

#[tokio::test]
async fn session_ended_by_reducer() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let refusal = Refusal::not_run(RefusalReason::Draining, None, "this daemon is stopping");
    bench.send_effect(ClientEffect::Close { session, refusal });
    assert_eq!(bench.event().await, ClientEvent::Closed { session });
    client
        .batch_execute("SELECT 1")
        .await
        .expect_err("the session is over");
}

#[tokio::test]
async fn cancel_running() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    let cancel = client.cancel_token();
    let running = tokio::spawn(async move { client.batch_execute("SELECT 1").await });
    bench.statement().await;
    cancel.cancel_query(NoTls).await.expect("the edge takes it");
    assert_eq!(bench.event().await, ClientEvent::Cancel { session });
    bench.finish(session, None, None);
    running.await.expect("it ends").expect("it is answered");
}

#[tokio::test]
async fn stop_listening() {
    let bench = Bench::start().await;
    let Opened {
        client, session, ..
    } = bench.open("").await;
    bench.send_effect(ClientEffect::StopListening);
    let closed = async {
        while tokio::net::TcpStream::connect(bench.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, closed)
        .await
        .expect("the listener closes");
    let (done, _) = tokio::join!(client.batch_execute("DELETE FROM t"), bench.answer(session));
    done.expect("open sessions continue");
}

/// Relays statements to a backend server through the backend edge, each on a new connection.
async fn relay_statements(bench: &Bench, group: &BackendGroup) {
    let (event_tx, events) = flume::bounded(256);
    let (effects, effect_rx) = flume::bounded(256);
    let settings = BackendSettings {
        user: "sapphireslip".into(),
        password: None,
        vm: VmId::try_from("vm-1").expect("well formed"),
        zone: ZoneName::try_from("zone-a").expect("well formed"),
    };
    tokio::spawn(run_backend_edge(event_tx, effect_rx, settings));
    for number in 0_u64.. {
        let event = bench.event().await;
        let ClientEvent::Statement {
            session, payload, ..
        } = event
        else {
            continue;
        };
        let connection = ConnectionId(number);
        effects
            .send(BackendEffect::Connect {
                connection,
                server: group.id(0),
                address: group.addresses()[0],
                database: DatabaseName::try_from("stock").expect("well formed"),
            })
            .expect("the edge runs");
        let mut pending = Some(payload);
        while let Ok(Event::Backend(event)) = events.recv_async().await {
            match event {
                BackendEvent::Connected { .. } => {
                    let payload = pending.take().expect("it connects once");
                    let work = WorkId(number);
                    let payload = WorkPayload::Messages(payload);
                    let send = BackendEffect::Send {
                        connection,
                        work,
                        payload,
                    };
                    effects.send(send).expect("the edge runs");
                }
                BackendEvent::Answered { payload, end, .. } => {
                    bench.send_effect(ClientEffect::Answer { session, payload });
                    if let Some(end) = end {
                        bench.send_effect(ClientEffect::Finish {
                            session,
                            refusal: None,
                            transaction: end.transaction,
                            token: end.committed,
                        });
                        break;
                    }
                }
                other => panic!("unexpected event of the backend edge: {other:?}"),
            }
        }
        effects
            .send(BackendEffect::Close { connection })
            .expect("the edge runs");
    }
}

#[tokio::test]
async fn prepared_over_changing_connections() {
    let group = BackendGroup::start(BackendGroupSettings {
        connect_delay: Duration::ZERO,
        ..Default::default()
    })
    .await
    .expect("loopback has free ports");
    let bench = Bench::start().await;
    let Opened { client, .. } = bench.open("").await;
    let work = async {
        let sql = "CREATE TABLE t (id BIGINT PRIMARY KEY, name TEXT)";
        client.batch_execute(sql).await.expect("the table is new");
        let insert = client
            .prepare("INSERT INTO t VALUES ($1, $2)")
            .await
            .expect("prepares");
        let select = client
            .prepare("SELECT name FROM t WHERE id = $1")
            .await
            .expect("prepares");
        for id in 0_i64..3 {
            let name = format!("name {id}");
            client
                .execute(&insert, &[&id, &name])
                .await
                .expect("inserts");
            let row = client.query_one(&select, &[&id]).await.expect("one row");
            assert_eq!(row.get::<_, String>(0), name);
        }
        let twice = client.execute(&insert, &[&0_i64, &"again"]).await;
        assert_eq!(twice.map_err(code), Err("23505".to_owned()));
        let rows = client
            .query("SELECT id FROM t", &[])
            .await
            .expect("the session continues after an error");
        assert_eq!(rows.len(), 3);
        let rows = client
            .simple_query("SHOW sapphireslip.token")
            .await
            .expect("it is local");
        assert_eq!(first_value(&rows), Some("stock:1/5"));
    };
    let worked = tokio::time::timeout(TIMEOUT, async {
        tokio::select! {
            () = work => {}
            () = relay_statements(&bench, &group) => {}
        }
    });
    worked.await.expect("in time");
}
