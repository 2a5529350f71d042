//! The servers that reads are sent to, and the floors that they carry.

mod support;

use rstest::rstest;
use sapphireslip_lead::{ErrorCode, ServerRequest};
use support::{BALANCES, Daemon, ORDERS, server};

/// Returns the servers that statements were sent to with the positions of their floors, and forgets
/// what was sent.
fn floors(daemon: &mut Daemon) -> Vec<(String, Option<u64>)> {
    let sent = std::mem::take(&mut daemon.sent);
    sent.iter()
        .filter_map(|(server, request)| match request {
            ServerRequest::Forward { floor, .. } => {
                Some((server.to_string(), floor.map(|floor| floor.position.0)))
            }
            _ => None,
        })
        .collect()
}

#[rstest]
fn payments_are_read_at_the_primary() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "READ x");
    assert_eq!(floors(&mut daemon), [("s-a".to_owned(), None)]);
}

#[rstest]
#[case::of_the_same_session(ORDERS, &[("s-b", Some(2)), ("s-c", Some(2)), ("s-a", None)])]
#[case::of_another_session_within_the_staleness_bound(BALANCES, &[("s-b", Some(1))])]
fn read_after_a_write(#[case] database: &str, #[case] expected: &[(&str, Option<u64>)]) {
    let mut daemon = Daemon::ready_in("b");
    let writer = daemon.open(ORDERS);
    daemon.run(writer, "1", "WRITE x 1");
    let reader = if database == ORDERS {
        writer
    } else {
        daemon.open(database)
    };
    daemon.sent.clear();
    // The replicas have not received the write yet, so they refuse a read that must see it.
    assert_eq!(daemon.run(reader, "2", "READ x").failure(), None);
    let expected: Vec<_> = expected
        .iter()
        .map(|(s, floor)| ((*s).to_owned(), *floor))
        .collect();
    assert_eq!(floors(&mut daemon), expected);
}

#[rstest]
fn bounded_reads_stop_once_the_floor_is_too_old() {
    let mut daemon = Daemon::ready();
    let session = daemon.open(BALANCES);
    daemon.run(session, "1", "READ x");
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.store_answers = false;
    daemon.break_connections(&server("s-a"));
    daemon.advance(1_200);
    // The primary answered less than 1.5 s ago, so a replica with that floor may serve the read.
    assert_eq!(daemon.run(session, "2", "READ x").failure(), None);
    daemon.advance(800);
    let reply = daemon.run(session, "3", "READ x");
    assert_eq!(
        reply.failure().map(|f| f.code.clone()),
        Some(ErrorCode::Busy)
    );
}

#[rstest]
fn slow_read_is_sent_to_another_server() {
    let mut daemon = Daemon::ready();
    let session = daemon.open(BALANCES);
    daemon.withholds_answers = true;
    daemon.submit(session, "1", "READ x");
    daemon.advance(300);
    let servers: Vec<_> = daemon
        .statements()
        .into_iter()
        .map(|(server, _)| server)
        .collect();
    assert_eq!(servers.len(), 2);
    assert_ne!(servers[0], servers[1]);
    daemon.answer_all();
    assert_eq!(
        daemon.answers.len(),
        1,
        "the client gets exactly one answer"
    );
}
