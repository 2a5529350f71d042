//! Refusals and unknown outcomes: when a statement gets which error code.

mod support;

use rstest::rstest;
use sapphireslip_core::{ServerId, SessionId, TransactionStatus};
use sapphireslip_lead::{ErrorCode, RecordKind};
use support::{BALANCES, Daemon, PAYMENTS, code, server};

/// Returns the error codes of all answers, the oldest first; none for a success.
fn codes(daemon: &Daemon) -> Vec<Option<ErrorCode>> {
    let replies = daemon.answers.iter().map(|(_, reply)| reply);
    replies.map(code).collect()
}

/// Returns the server that is the first primary.
fn primary() -> ServerId {
    server("s-a")
}

#[rstest]
fn write_without_permission_is_refused_at_once() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store_answers = false;
    // The only daemon is the coordinator, whose permission lasts 6 s instead of 2 s.
    daemon.advance(7_000);
    let session = if daemon.closed.contains(&session) {
        daemon.open(PAYMENTS)
    } else {
        session
    };
    daemon.statements();
    let reply = daemon.run(session, "1", "WRITE x 1");
    assert_eq!(code(&reply), Some(ErrorCode::Busy));
    assert!(
        reply
            .failure()
            .is_some_and(|f| f.text.contains("retry after"))
    );
    assert_eq!(daemon.statements(), []);
}

#[rstest]
fn write_at_an_unreachable_primary_is_refused_at_once() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store_answers = false;
    daemon.group.get_mut(&primary()).is_isolated = true;
    daemon.break_connections(&primary());
    daemon.advance(500);
    assert_eq!(
        code(&daemon.run(session, "1", "WRITE x 1")),
        Some(ErrorCode::Busy)
    );
}

#[rstest]
fn lost_write_has_unknown_outcome() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.withholds_answers = true;
    daemon.submit(session, "1", "WRITE x 1");
    daemon.break_connections(&primary());
    let (_, reply) = daemon.answers.pop().expect("the statement is answered");
    assert_eq!(code(&reply), Some(ErrorCode::InDoubt));
}

#[rstest]
fn lost_read_is_tried_again() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.withholds_answers = true;
    daemon.submit(session, "1", "READ x");
    daemon.break_connections(&primary());
    daemon.advance(100);
    daemon.answer_all();
    let (_, reply) = daemon.answers.pop().expect("the statement is answered");
    assert_eq!(code(&reply), None);
}

#[rstest]
fn transaction_that_lost_its_connection_is_aborted() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.withholds_answers = true;
    daemon.submit(session, "3", "WRITE y 1");
    daemon.break_connections(&primary());
    let (_, reply) = daemon.answers.pop().expect("the statement is answered");
    assert_eq!(code(&reply), Some(ErrorCode::Aborted));
    assert_eq!(reply.transaction, TransactionStatus::Failed);
    assert_eq!(
        code(&daemon.run(session, "4", "READ x")),
        Some(ErrorCode::Malformed)
    );
    let ended = daemon.run(session, "5", "ROLLBACK");
    assert_eq!(
        (code(&ended), ended.transaction),
        (None, TransactionStatus::Idle)
    );
    daemon.withholds_answers = false;
    assert_eq!(code(&daemon.run(session, "6", "WRITE x 1")), None);
}

/// Guards against a statement that is committed alone though its transaction was aborted: its client had
/// sent it before it saw the answer, which said that no transaction is open.
#[rstest]
#[case::connection_lost(true, ErrorCode::Aborted)]
#[case::no_answer_in_time(false, ErrorCode::Timeout)]
fn statement_on_its_way_does_not_outlive_its_transaction(
    #[case] is_lost: bool,
    #[case] expected: ErrorCode,
) {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.withholds_answers = true;
    daemon.submit(session, "3", "WRITE y 1");
    match is_lost {
        true => daemon.break_connections(&primary()),
        false => daemon.advance(900),
    }
    daemon.withholds_answers = false;
    daemon.answer_all();
    daemon.statements();
    daemon.submit(session, "4", "WRITE z 1");
    daemon.submit(session, "5", "COMMIT");
    assert_eq!(daemon.statements(), []);
    let expected = [expected, ErrorCode::Malformed, ErrorCode::Aborted].map(Some);
    assert_eq!(codes(&daemon), expected);
    let (_, last) = daemon.answers.last().expect("an answer");
    assert_eq!(last.transaction, TransactionStatus::Idle);
}

#[rstest]
#[case::that_wrote("WRITE x 1", ErrorCode::InDoubt)]
#[case::that_only_read("READ x", ErrorCode::Aborted)]
fn lost_commit_of_a_transaction(#[case] statement: &str, #[case] expected: ErrorCode) {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", statement);
    daemon.withholds_answers = true;
    daemon.submit(session, "3", "COMMIT");
    daemon.break_connections(&primary());
    let (_, reply) = daemon.answers.pop().expect("the statement is answered");
    assert_eq!(code(&reply), Some(expected));
}

/// Returns a session with an open transaction whose last statements are pipelined and unanswered.
fn transaction_sent_ahead() -> (Daemon, SessionId) {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.withholds_answers = true;
    daemon.submit(session, "3", "WRITE y 1");
    daemon.submit(session, "4", "WRITE z 1");
    daemon.submit(session, "5", "COMMIT");
    (daemon, session)
}

#[rstest]
fn statements_sent_ahead_do_not_run_outside_their_transaction() {
    let (mut daemon, _) = transaction_sent_ahead();
    daemon.statements();
    daemon.break_connections(&primary());
    daemon.advance(200);
    assert_eq!(daemon.statements(), []);
    let expected = [ErrorCode::Aborted, ErrorCode::Malformed, ErrorCode::Aborted].map(Some);
    assert_eq!(codes(&daemon), expected);
}

#[rstest]
fn write_without_answer_until_its_deadline_is_unknown() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.withholds_answers = true;
    daemon.submit(session, "1", "WRITE x 1");
    daemon.advance(790);
    assert_eq!(daemon.answers.len(), 0);
    daemon.advance(20);
    assert_eq!(code(&daemon.answers[0].1), Some(ErrorCode::InDoubt));
}

/// Guards against a server that loses many answers: statements that will never be answered must not
/// occupy its slots.
#[rstest]
fn lost_answers_free_their_slots() {
    let mut daemon = Daemon::ready();
    daemon.withholds_answers = true;
    for n in 0..4 {
        let session = daemon.open(PAYMENTS);
        daemon.submit(session, &format!("lost-{n}"), "WRITE x 1");
    }
    daemon.withholds_answers = false;
    daemon.advance(300);
    let session = daemon.open(PAYMENTS);
    daemon.submit(session, "1", "READ x");
    daemon.advance(20);
    let (_, reply) = daemon.answers.pop().expect("the statement is answered");
    assert_eq!(code(&reply), None);
}

/// Guards against reads that wait past their latency target when a burst meets few connections.
#[rstest]
fn burst_is_refused_before_the_latency_target() {
    let mut daemon = Daemon::ready();
    daemon.withholds_answers = true;
    for n in 0..60 {
        let session = daemon.open(BALANCES);
        daemon.submit(session, &n.to_string(), "READ x");
    }
    daemon.advance(130);
    let refused = daemon
        .answers
        .iter()
        .filter(|(_, r)| code(r) == Some(ErrorCode::Busy))
        .count();
    assert!(refused >= 30, "only {refused} of 60 reads were refused");
    let sent = daemon.statements().len();
    assert!(
        refused + sent >= 60,
        "{refused} of 60 reads were refused and {sent} sent: the rest still waits"
    );
}

/// Guards against unlogged failures when the connection of a transaction with pipelined statements
/// breaks.
#[rstest]
fn failures_of_a_transaction_are_logged() {
    let (mut daemon, session) = transaction_sent_ahead();
    daemon.records.clear();
    daemon.break_connections(&primary());
    let of = |kind| daemon.records.iter().filter(move |line| line.kind == kind);
    let aborted: Vec<_> = of(RecordKind::TransactionAborted).collect();
    assert_eq!(aborted.len(), 1);
    assert_eq!(aborted[0].session, Some(session));
    assert_eq!(&*aborted[0].detail, "the connection to the server broke");
    let answered = of(RecordKind::RequestAnswered)
        .map(|line| (line.request.as_deref(), line.detail.split(',').next()));
    let expected = [("3", "Aborted"), ("4", "Malformed"), ("5", "Aborted")];
    let expected = expected.map(|(request, outcome)| (Some(request), Some(outcome)));
    assert_eq!(answered.collect::<Vec<_>>(), expected);
}
