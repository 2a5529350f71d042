//! The end of the caller edge while a session still has something to write.

mod client_bench;

use client_bench::{Bench, code};
use sapphireslip_core::{ClientEffect, ClientEvent, Refusal, RefusalReason};
use tokio::runtime;
use tokio_postgres::NoTls;

/// Runs a caller's one statement on a thread of its own and returns what it is told.
fn run_client(port: u16) -> std::thread::JoinHandle<Result<(), String>> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    std::thread::spawn(move || {
        runtime.block_on(async {
            let config =
                format!("host=127.0.0.1 port={port} user=till dbname=stock password=secret");
            let connected = tokio_postgres::connect(&config, NoTls).await;
            let (client, connection) = connected.map_err(code)?;
            tokio::spawn(connection);
            client.batch_execute("DELETE FROM t").await.map_err(code)
        })
    })
}

#[test]
fn stop_writes_answers_that_are_ready() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let client = runtime.block_on(async {
        let (bench, edge) = Bench::new().await;
        let client = run_client(bench.address.port());
        // All in one turn: the edge ends before the session's task has a turn.
        let reducer = async move {
            bench.ask_password().await;
            let ClientEvent::Opened { session, .. } = bench.event().await else {
                panic!("not opened");
            };
            bench.answer(session).await;
            let refusal = Refusal::not_run(RefusalReason::Draining, None, "it is stopping");
            bench.send_effect(ClientEffect::Close { session, refusal });
        };
        tokio::join!(reducer, edge);
        client
    });
    // As the end of the process does.
    drop(runtime);
    assert_eq!(client.join().expect("the caller ends"), Ok(()));
}
