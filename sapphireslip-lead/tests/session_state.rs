//! Session variables and prepared statements on server connections that sessions share.

mod support;

use rstest::rstest;
use sapphireslip_core::{SessionId, TransactionStatus};
use sapphireslip_lead::{ErrorCode, ServerRequest};
use support::{Daemon, PAYMENTS, server};

/// Returns the requests that were sent, except for status requests, as text, and forgets them.
fn requests(daemon: &mut Daemon) -> Vec<String> {
    let sent = std::mem::take(&mut daemon.sent);
    let name = |request: &ServerRequest| match request {
        ServerRequest::Set { name, value } => format!("SET {name} {value}"),
        ServerRequest::Prepare { shape } => {
            format!("PREPARE {} {}", shape.number, shape.shape.text)
        }
        ServerRequest::Forward { text, .. } => text.to_string(),
        ServerRequest::Execute {
            number, arguments, ..
        } => format!("EXECUTE {number} {arguments}"),
        ServerRequest::Begin { .. } => "BEGIN".to_owned(),
        other => format!("{other:?}"),
    };
    sent.iter()
        .map(|(_, request)| name(request))
        .filter(|name| name != "Status")
        .collect()
}

/// Returns a daemon with two sessions on the database of payments.
fn two_sessions() -> (Daemon, SessionId, SessionId) {
    let mut daemon = Daemon::ready();
    let (a, b) = (daemon.open(PAYMENTS), daemon.open(PAYMENTS));
    (daemon, a, b)
}

#[rstest]
fn variables_of_one_session_do_not_reach_another() {
    let (mut daemon, a, b) = two_sessions();
    daemon.run(a, "1", "SET tz utc");
    daemon.run(a, "2", "READ x");
    assert_eq!(requests(&mut daemon), ["SET tz utc", "READ x"]);
    daemon.run(b, "3", "READ x");
    assert_eq!(requests(&mut daemon), ["Reset", "READ x"]);
}

#[rstest]
fn variables_are_set_once_per_connection() {
    let (mut daemon, a, _) = two_sessions();
    daemon.run(a, "1", "SET tz utc");
    daemon.run(a, "2", "READ x");
    daemon.run(a, "3", "READ x");
    assert_eq!(requests(&mut daemon), ["SET tz utc", "READ x", "READ x"]);
}

#[rstest]
fn prepared_statements_are_shared_by_text() {
    let (mut daemon, a, b) = two_sessions();
    daemon.run(a, "1", "PREPARE s1 READ q1");
    daemon.run(b, "2", "PREPARE s1 READ q2");
    daemon.run(b, "3", "PREPARE s2 READ q1");
    daemon.run(a, "4", "EXECUTE s1 x");
    daemon.run(b, "5", "EXECUTE s1 x");
    daemon.run(b, "6", "EXECUTE s2 x");
    let expected = [
        "PREPARE 1 READ q1",
        "EXECUTE 1 x",
        "PREPARE 2 READ q2",
        "EXECUTE 2 x",
        "EXECUTE 1 x",
    ];
    assert_eq!(requests(&mut daemon), expected);
}

#[rstest]
fn unknown_prepared_name_is_refused_locally() {
    let (mut daemon, a, _) = two_sessions();
    let reply = daemon.run(a, "1", "EXECUTE s9 x");
    assert_eq!(
        reply.failure().map(|f| f.code.clone()),
        Some(ErrorCode::NoStatement)
    );
    assert_eq!(requests(&mut daemon), Vec::<String>::new());
}

#[rstest]
fn transaction_keeps_its_connection_and_begins_at_its_first_statement() {
    let (mut daemon, a, b) = two_sessions();
    assert_eq!(
        daemon.run(a, "1", "BEGIN").transaction,
        TransactionStatus::Open
    );
    assert_eq!(requests(&mut daemon), Vec::<String>::new());
    daemon.run(a, "2", "WRITE x 1");
    daemon.run(b, "3", "READ x");
    daemon.run(a, "4", "COMMIT");
    // The other session's read opens its own connection, as the first one is bound, and waits.
    assert_eq!(
        requests(&mut daemon),
        ["BEGIN", "WRITE x 1", "READ x", "COMMIT"]
    );
    assert_eq!(daemon.answers.len(), 0);
}

/// Guards against a commit that runs under other values than the client was told: they were brought to the
/// server before reads and writes alone.
#[rstest]
#[case::after_the_last_statement(true, &["BEGIN", "WRITE x 1", "SET tz utc", "COMMIT"])]
#[case::without_a_statement(false, &["BEGIN", "SET tz utc", "COMMIT"])]
fn commit_runs_under_the_values_of_its_session(#[case] writes: bool, #[case] expected: &[&str]) {
    let (mut daemon, a, _) = two_sessions();
    daemon.run(a, "1", "BEGIN");
    if writes {
        daemon.run(a, "2", "WRITE x 1");
    }
    daemon.run(a, "3", "SET tz utc");
    daemon.run(a, "4", "COMMIT");
    assert_eq!(requests(&mut daemon), expected);
}

/// Guards against values that a failed commit has taken back and that count as still set on the connection: they
/// were set there within the transaction, although the client had set them before.
#[rstest]
fn variables_are_unknown_after_a_failed_commit() {
    let (mut daemon, a, _) = two_sessions();
    daemon.run(a, "1", "SET tz utc");
    daemon.run(a, "2", "BEGIN");
    daemon.run(a, "3", "WRITE x 1");
    daemon.group.get_mut(&server("s-a")).is_busy = true;
    daemon.submit(a, "4", "COMMIT");
    daemon.advance(2_000);
    daemon.group.get_mut(&server("s-a")).is_busy = false;
    requests(&mut daemon);
    daemon.run(a, "5", "READ x");
    assert_eq!(requests(&mut daemon), ["Reset", "SET tz utc", "READ x"]);
}

#[rstest]
fn variables_set_in_a_rolled_back_transaction_are_unknown() {
    let (mut daemon, a, _) = two_sessions();
    daemon.run(a, "1", "BEGIN");
    daemon.run(a, "2", "SET tz utc");
    daemon.run(a, "3", "READ x");
    daemon.run(a, "4", "ROLLBACK");
    daemon.run(a, "5", "READ x");
    let expected = [
        "BEGIN",
        "SET tz utc",
        "READ x",
        "Rollback",
        "Reset",
        "SET tz utc",
        "READ x",
    ];
    assert_eq!(requests(&mut daemon), expected);
}
