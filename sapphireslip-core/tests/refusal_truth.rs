//! Tests of the certainty in refusals: a request is reported as not run only if it had no effect
//! and never will have one, and as unknown otherwise.

mod home_fake;

use std::time::Duration;

use home_fake::{Fake, committed, failed, open};
use rstest::rstest;
use sapphireslip_core::*;

const NOT_RUN: Certainty = Certainty::NotRun;
const UNKNOWN: Certainty = Certainty::Unknown;
const KEY: &str = "999999.repair-42";

/// Returns a write with a request key; `resent` says whether an earlier copy may have run.
fn keyed(fake: &Fake, resent: bool) -> Request {
    Request {
        key: Some(RequestKey::try_from(KEY).unwrap()),
        resent,
        ..fake.request(StatementKind::Write)
    }
}

/// Takes two of three servers down and waits until the home notices.
fn without_majority(fake: &mut Fake) {
    fake.up.insert("s-b".to_owned(), false);
    fake.up.insert("s-c".to_owned(), false);
    fake.run_ms(5000);
}

/// An earlier copy of a keyed request may have run at a home that was lost. A home that refuses the
/// next copy has proved nothing about the first.
#[rstest]
#[case::first_send(false, NOT_RUN)]
#[case::sent_again(true, UNKNOWN)]
fn refusal_of_a_copy(#[case] resent: bool, #[case] expected: Certainty) {
    let mut fake = Fake::new();
    without_majority(&mut fake);
    let write = fake.submit(keyed(&fake, resent));
    let expected = (RefusalReason::NoMajority, expected);
    assert_eq!(fake.refusal(write), Some(expected));
    assert!(fake.sent.is_empty());
}

#[rstest]
#[case::first_send(false, NOT_RUN)]
#[case::sent_again(true, UNKNOWN)]
fn refusal_of_a_copy_by_a_full_queue(#[case] resent: bool, #[case] expected: Certainty) {
    let mut fake = Fake::with(1, "0s");
    for _ in 0..4 {
        fake.submit_kind(StatementKind::Write);
    }
    let write = fake.submit(keyed(&fake, resent));
    let expected = (RefusalReason::QueueFull, expected);
    assert_eq!(fake.refusal(write), Some(expected));
}

/// A statement that looks like a read may call a function that writes.
#[rstest]
#[case::read(StatementKind::Read, UNKNOWN)]
#[case::begin(StatementKind::Begin, NOT_RUN)]
fn refusal_of_a_copy_without_key(#[case] kind: StatementKind, #[case] expected: Certainty) {
    let mut fake = Fake::with(1, "0s");
    for _ in 0..4 {
        fake.submit_kind(StatementKind::Write);
    }
    let mut request = fake.request(kind);
    request.resent = true;
    let request = fake.submit(request);
    let expected = (RefusalReason::QueueFull, expected);
    assert_eq!(fake.refusal(request), Some(expected));
}

/// A claim of the key that a majority holds proves that no earlier copy of the request ran either.
#[test]
fn claimed_copy_is_not_run() {
    let mut fake = Fake::new();
    let write = fake.submit(keyed(&fake, true));
    fake.reply_only(b"", open());
    let sent = fake.only_sent();
    fake.lose(&sent);
    assert!(fake.sql().contains("'refused'"), "{}", fake.sql());
    fake.reply_only(b"", committed(1, 11));
    for server in home_fake::SERVERS {
        fake.hold(server, 11);
    }
    fake.run_ms(2100);
    let expected = (RefusalReason::AnswerLost, NOT_RUN);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[rstest]
#[case::young(22, None)]
#[case::old(25, Some((RefusalReason::KeyRefused, NOT_RUN)))]
fn key_age(#[case] hours: u64, #[case] expected: Option<(RefusalReason, Certainty)>) {
    let mut fake = Fake::new();
    let born = 1_000_000 - hours * 60 * 60;
    let mut request = keyed(&fake, false);
    request.key = Some(RequestKey::try_from(format!("{born}.late").as_str()).unwrap());
    let write = fake.submit(request);
    assert_eq!(fake.refusal(write), expected);
    assert_eq!(fake.sent.is_empty(), expected.is_some());
}

#[rstest]
#[case::within_skew(299, None)]
#[case::future(301, Some((RefusalReason::KeyRefused, NOT_RUN)))]
fn key_ahead(#[case] seconds: u64, #[case] expected: Option<(RefusalReason, Certainty)>) {
    let mut fake = Fake::new();
    let born = 1_000_000 + seconds;
    let mut request = keyed(&fake, false);
    request.key = Some(RequestKey::try_from(format!("{born}.early").as_str()).unwrap());
    let write = fake.submit(request);
    assert_eq!(fake.refusal(write), expected);
    assert_eq!(fake.sent.is_empty(), expected.is_some());
}

/// Returns the retry hint of a refused request.
fn hint(fake: &Fake, number: u64) -> Option<Duration> {
    match &fake.end(number).unwrap().outcome {
        Outcome::Refused(refusal) => refusal.retry_after,
        Outcome::Done => panic!("request {number} is not refused"),
    }
}

#[test]
fn refusal_hints() {
    let mut fake = Fake::new();
    let mut dead = keyed(&fake, false);
    dead.key = Some(RequestKey::try_from("5.old").unwrap());
    let dead = fake.submit(dead);
    assert_eq!(hint(&fake, dead), None, "a retry can't succeed");
    without_majority(&mut fake);
    let before = fake.now;
    let write = fake.submit_kind(StatementKind::Write);
    assert_eq!(hint(&fake, write), Some(RETRY_NO_MAJORITY));
    assert_eq!(fake.now, before, "the refusal comes at once");
}

/// Without a known primary a write reaches no server, even after a new primary is promoted.
#[test]
fn no_primary_is_not_run() {
    let mut fake = Fake::new();
    for status in fake.statuses.values_mut() {
        status.role = ServerRole::Replica;
        status.fenced = Term(2);
    }
    fake.run_ms(3000);
    let write = fake.submit_kind(StatementKind::Write);
    fake.run_ms(1);
    let expected = (RefusalReason::NoPrimary, NOT_RUN);
    assert_eq!(fake.refusal(write), Some(expected));
    fake.promote("s-b", 3);
    fake.run_ms(3000);
    assert!(fake.sent.is_empty());
}

/// Without a majority the confirmed log position, which the read needs, can't be learnt.
#[test]
fn no_fresh_server_is_not_run() {
    let mut fake = Fake::new();
    without_majority(&mut fake);
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::Probe;
    let read = fake.submit(request);
    fake.run(FRESH_WAIT);
    let expected = (RefusalReason::NoFreshServer, NOT_RUN);
    assert_eq!(fake.refusal(read), Some(expected));
    assert!(fake.sent.is_empty());
}

#[test]
fn lost_branch_is_not_run() {
    let mut fake = Fake::new();
    fake.promote("s-b", 2);
    fake.statuses.get_mut("s-a").unwrap().role = ServerRole::Replica;
    fake.run_ms(3000);
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::AtLeast(home_fake::record(1, 50));
    let read = fake.submit(request);
    fake.run_ms(600);
    assert_eq!(
        fake.refusal(read),
        Some((RefusalReason::LostBranch, NOT_RUN))
    );
    assert!(fake.sent.is_empty());
}

/// A connection lost during the insertion of the key: the server rolls back the transaction to
/// which the insertion belongs.
#[test]
fn no_connection_for_a_keyed_write_is_not_run() {
    let mut fake = Fake::new();
    let write = fake.submit(keyed(&fake, false));
    let sent = fake.only_sent();
    fake.lose(&sent);
    let expected = (RefusalReason::NoConnection, NOT_RUN);
    assert_eq!(fake.refusal(write), Some(expected));
    let messages = |sent: &home_fake::Sent| matches!(sent.payload, WorkPayload::Messages(_));
    assert!(!fake.sent.iter().any(messages));
}

#[test]
fn statement_beside_a_running_one_is_unsupported() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Begin);
    fake.reply_only(b"BEGIN", open());
    let mut request = fake.request(StatementKind::Write);
    request.in_transaction = true;
    fake.submit(request.clone());
    let first = fake.only_sent();
    let second = fake.submit(request);
    let expected = (RefusalReason::Unsupported, NOT_RUN);
    assert_eq!(fake.refusal(second), Some(expected));
    assert_eq!(fake.only_sent(), first, "the second was not sent");
}

#[test]
fn statement_of_a_lost_transaction_is_not_run() {
    let mut fake = Fake::new();
    let mut request = fake.request(StatementKind::Write);
    request.in_transaction = true;
    let write = fake.submit(request);
    let expected = (RefusalReason::TransactionLost, NOT_RUN);
    assert_eq!(fake.refusal(write), Some(expected));
    assert!(fake.sent.is_empty());
}

#[test]
fn superseded_commit_step_of_a_keyed_write_is_not_run() {
    let mut fake = Fake::new();
    let write = fake.submit(keyed(&fake, false));
    fake.reply_only(b"", open());
    fake.reply_only(b"OK", open());
    fake.reply_only(b"", failed(b"57P04"));
    let expected = (RefusalReason::NoPrimary, NOT_RUN);
    assert_eq!(fake.refusal(write), Some(expected));
}
