//! Tests that a stopping client edge writes the answers that are ready.
//!
//! Without that, a client would lose the answer to a statement that was executed.

mod client_bench;

use client_bench::{Bench, code};
use sapphireslip_core::{ClientEffect, ClientEvent, Refusal, RefusalReason};
use tokio::runtime;
use tokio_postgres::NoTls;

/// Runs one statement of a client on a thread of its own, and returns the SQLSTATE if it fails.
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
        // Sent without a pause: the edge ends before the session's task runs again.
        let reducer = async move {
            bench.ask_password().await;
            let ClientEvent::Opened { session, .. } = bench.event().await else {
                panic!("expected an open session");
            };
            bench.answer(session).await;
            let refusal = Refusal::not_run(RefusalReason::Draining, None, "it is stopping");
            bench.send_effect(ClientEffect::Close { session, refusal });
        };
        tokio::join!(reducer, edge);
        client
    });
    // Aborts the tasks that are left, as the end of the process does.
    drop(runtime);
    assert_eq!(client.join().expect("the client thread ends"), Ok(()));
}
