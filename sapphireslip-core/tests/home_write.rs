//! Tests of a home's requests without keys: when a write is acknowledged or refused, and what the
//! client is told when an answer is lost.

mod home_fake;

use home_fake::{Fake, committed, failed, ok, open, record};
use rstest::rstest;
use sapphireslip_core::*;

const NOT_RUN: Certainty = Certainty::NotRun;
const UNKNOWN: Certainty = Certainty::Unknown;

#[test]
fn write_waits_for_majority() {
    let mut fake = Fake::new();
    let write = fake.submit_kind(StatementKind::Write);
    assert_eq!(fake.only_sent().server, "s-a");
    fake.reply_only(b"INSERT 0 1", committed(1, 11));
    fake.run_ms(50);
    assert_eq!(fake.end(write), None, "only the primary holds the write");
    fake.hold("s-b", 11);
    fake.run_ms(2500);
    assert!(fake.is_done(write));
    assert_eq!(fake.end(write).unwrap().seen, Some(record(1, 11)));
}

#[test]
fn write_releases_its_connection_while_it_waits() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Write);
    let first = fake.only_sent();
    fake.reply_only(b"", committed(1, 11));
    fake.submit_kind(StatementKind::Write);
    assert_eq!(fake.only_sent().connection, first.connection);
}

#[test]
fn write_unacknowledged_at_deadline_is_unknown() {
    let mut fake = Fake::new();
    let write = fake.submit_kind(StatementKind::Write);
    fake.reply_only(b"", committed(1, 11));
    fake.run_ms(3000);
    let expected = (RefusalReason::AnswerLost, UNKNOWN);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[test]
fn write_on_lost_branch_is_unknown() {
    let mut fake = Fake::new();
    let write = fake.submit_kind(StatementKind::Write);
    fake.reply_only(b"", committed(1, 11));
    fake.promote("s-b", 2);
    fake.run_ms(2500);
    let expected = (RefusalReason::AnswerLost, UNKNOWN);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[test]
fn write_failed_statement_is_an_answer() {
    let mut fake = Fake::new();
    let write = fake.submit_kind(StatementKind::Write);
    fake.reply_only(b"error", failed(b"23503"));
    assert!(fake.is_done(write));
    assert_eq!(fake.answers[&write].payload, b"error");
}

#[rstest]
#[case::superseded(b"57P04")]
#[case::demoted(b"25006")]
fn write_refused_by_server_is_not_run(#[case] sqlstate: &[u8; 5]) {
    let mut fake = Fake::new();
    let write = fake.submit_kind(StatementKind::Write);
    fake.reply_only(b"error", failed(sqlstate));
    assert_eq!(
        fake.refusal(write),
        Some((RefusalReason::NoPrimary, NOT_RUN))
    );
}

#[rstest]
#[case::write(StatementKind::Write, UNKNOWN)]
#[case::begin(StatementKind::Begin, NOT_RUN)]
fn lost_connection_certainty(#[case] kind: StatementKind, #[case] expected: Certainty) {
    let mut fake = Fake::new();
    let request = fake.submit_kind(kind);
    for _ in 0..3 {
        if let Some(sent) = fake.sent.first().cloned() {
            fake.lose(&sent);
        }
    }
    fake.run_ms(3000);
    assert_eq!(fake.refusal(request).unwrap().1, expected);
}

#[test]
fn lost_read_moves_to_another_server() {
    let mut fake = Fake::new();
    let read = fake.submit_kind(StatementKind::Read);
    let first = fake.only_sent();
    fake.lose(&first);
    assert_ne!(fake.only_sent().server, first.server);
    fake.reply_only(b"rows", ok());
    assert!(fake.is_done(read));
    assert_eq!(fake.answers[&read].payload, b"rows");
}

#[test]
fn lost_read_after_a_part_is_not_retried() {
    let mut fake = Fake::new();
    let read = fake.submit_kind(StatementKind::Read);
    let sent = fake.only_sent();
    static LONG: [u8; READ_BUFFER_MAX_BYTES + 1] = [b'x'; READ_BUFFER_MAX_BYTES + 1];
    fake.reply(&sent, &LONG, None);
    fake.lose(&sent);
    assert!(fake.sent.is_empty());
    assert_eq!(fake.refusal(read).unwrap().0, RefusalReason::AnswerLost);
}

/// A statement that looks like a read may call a function that writes. Once its answer is lost at
/// the primary, it must not run there again.
#[test]
fn lost_read_at_primary_never_runs_there_twice() {
    let mut fake = Fake::with(100, "0s");
    let read = fake.submit_kind(StatementKind::Read);
    let sent = fake.only_sent();
    assert_eq!(sent.server, "s-a");
    fake.lose(&sent);
    fake.run_ms(3000);
    assert!(fake.sent.is_empty());
    assert_eq!(fake.refusal(read).unwrap().1, UNKNOWN);
}

#[test]
fn resent_write_without_key_is_unknown() {
    let mut fake = Fake::new();
    let mut request = fake.request(StatementKind::Write);
    request.resent = true;
    let write = fake.submit(request);
    assert!(fake.sent.is_empty());
    assert_eq!(fake.refusal(write).unwrap().1, UNKNOWN);
}

#[test]
fn late_answer_of_an_abandoned_request_reaches_no_one() {
    let mut fake = Fake::new();
    let read = fake.submit_kind(StatementKind::Read);
    let sent = fake.only_sent();
    fake.cancel(read);
    assert_eq!(fake.refusal(read), Some((RefusalReason::Deadline, NOT_RUN)));
    assert!(
        !fake.open.contains_key(&sent.connection),
        "the connection is closed instead of pooled"
    );
    fake.reply(&sent, b"late", Some(ok()));
    let next = fake.submit_kind(StatementKind::Read);
    assert_ne!(fake.only_sent().connection, sent.connection);
    fake.reply_only(b"rows", ok());
    assert_eq!(fake.answers[&next].payload, b"rows");
}

#[test]
fn answer_to_earlier_work_is_dropped() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Write);
    let earlier = fake.only_sent();
    fake.reply_only(b"", failed(b"23503"));
    let next = fake.submit_kind(StatementKind::Write);
    assert_eq!(fake.only_sent().connection, earlier.connection);
    fake.reply(&earlier, b"late", Some(ok()));
    assert_eq!(fake.end(next), None);
    fake.reply_only(b"own", failed(b"23503"));
    assert_eq!(fake.answers[&next].payload, b"own");
}

#[test]
fn lost_read_at_primary_never_runs_at_its_successor() {
    let mut fake = Fake::with(100, "0s");
    let read = fake.submit_kind(StatementKind::Read);
    let sent = fake.only_sent();
    fake.promote("s-b", 2);
    fake.lose(&sent);
    fake.peer(PeerMessage::Promoted {
        database: DatabaseName::try_from("stock").unwrap(),
        term: Term(2),
    });
    assert_eq!(fake.end(read), None, "the read still waits for a replica");
    assert!(
        fake.sent.is_empty(),
        "the read is not sent to the new primary"
    );
    fake.run_ms(3000);
    assert!(fake.sent.is_empty());
    assert_eq!(fake.refusal(read).unwrap().1, UNKNOWN);
}

#[test]
fn queue_full_is_refused_at_once() {
    let mut fake = Fake::with(2, "0s");
    let submitted: Vec<_> = (0..9)
        .map(|_| fake.submit_kind(StatementKind::Write))
        .collect();
    let refused: Vec<_> = submitted.iter().filter_map(|n| fake.refusal(*n)).collect();
    assert_eq!(
        fake.sent.len(),
        3,
        "the share of 9 connections over 3 zones"
    );
    assert_eq!(refused, [(RefusalReason::QueueFull, NOT_RUN); 4]);
}

#[test]
fn queued_request_past_its_deadline_is_refused() {
    let mut fake = Fake::new();
    fake.connect
        .insert("s-a".to_owned(), Err(ConnectFailure::TooMany));
    for _ in 0..4 {
        let mut request = fake.request(StatementKind::Write);
        request.time_left = std::time::Duration::from_millis(400);
        fake.submit(request);
    }
    fake.run_ms(400);
    assert_eq!(fake.refusal(4), Some((RefusalReason::Deadline, NOT_RUN)));
}

#[test]
fn transaction_has_a_connection_of_its_own() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Begin);
    let begin = fake.only_sent();
    fake.reply_only(b"BEGIN", open());
    let mut other = fake.request(StatementKind::Write);
    other.session = SessionId(2);
    fake.submit(other);
    let between = fake.only_sent();
    assert_ne!(between.connection, begin.connection);
    fake.reply(&between, b"", Some(failed(b"23503")));
    let mut commit = fake.request(StatementKind::Commit);
    commit.in_transaction = true;
    let commit = fake.submit(commit);
    assert_eq!(fake.only_sent().connection, begin.connection);
    fake.hold("s-b", 11);
    fake.reply_only(b"COMMIT", committed(1, 11));
    fake.run_ms(5);
    assert!(fake.is_done(commit));
    assert_eq!(
        fake.end(commit).unwrap().transaction,
        TransactionStatus::Idle
    );
    assert!(fake.state.homes.is_idle());
}

#[rstest]
#[case::statement(StatementKind::Write, RefusalReason::TransactionLost, NOT_RUN)]
#[case::commit(StatementKind::Commit, RefusalReason::AnswerLost, UNKNOWN)]
fn lost_transaction(
    #[case] kind: StatementKind,
    #[case] reason: RefusalReason,
    #[case] ran: Certainty,
) {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Begin);
    fake.reply_only(b"BEGIN", open());
    let mut request = fake.request(kind);
    request.in_transaction = true;
    let request = fake.submit(request);
    let sent = fake.only_sent();
    fake.lose(&sent);
    assert_eq!(fake.refusal(request), Some((reason, ran)));
    assert!(fake.state.homes.is_idle());
}

#[test]
fn transaction_of_a_closed_session_is_rolled_back() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Begin);
    let begin = fake.only_sent();
    fake.reply_only(b"BEGIN", open());
    fake.peer(PeerMessage::SessionClosed {
        incarnation: Incarnation(1),
        session: SessionId(1),
    });
    assert!(!fake.open.contains_key(&begin.connection));
    assert!(fake.state.homes.is_idle());
}

/// A connection counts as silent after half the time to the deadline, here 2,990 ms, at the latest
/// with the next poll of its server.
#[test]
fn silent_path_is_found_within_its_bound() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Read);
    let silent = fake.only_sent();
    fake.run_ms(1494);
    assert!(fake.open.contains_key(&silent.connection));
    fake.run_ms(506);
    assert!(!fake.open.contains_key(&silent.connection));
}

#[test]
fn silent_path_is_closed_and_its_read_moved() {
    let mut fake = Fake::new();
    let read = fake.submit_kind(StatementKind::Read);
    let silent = fake.only_sent();
    let idle: Vec<_> = fake
        .open
        .iter()
        .filter(|(_, server)| **server == silent.server)
        .map(|(connection, _)| *connection)
        .collect();
    fake.run_ms(2600);
    assert!(
        idle.iter()
            .all(|connection| !fake.open.contains_key(connection))
    );
    assert!(
        fake.records
            .iter()
            .any(|r| r.kind == TimelineKind::PathSilent)
    );
    assert_ne!(fake.only_sent().server, silent.server);
    fake.reply_only(b"rows", ok());
    assert!(fake.is_done(read));
}
