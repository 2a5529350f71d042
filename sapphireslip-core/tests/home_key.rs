//! Tests of keyed writes: each runs at most once, and the client is told correctly whether it ran.

mod home_fake;

use home_fake::{Fake, committed, failed, ok, open, record};
use sapphireslip_core::*;

const KEY: &str = "999999.repair-42";

/// Returns a write with a request key.
fn keyed(fake: &Fake) -> Request {
    Request {
        key: Some(RequestKey::try_from(KEY).unwrap()),
        ..fake.request(StatementKind::Write)
    }
}

/// Returns the end of a statement that failed inside a transaction.
fn aborted(sqlstate: &[u8; 5]) -> WorkEnd {
    WorkEnd {
        transaction: TransactionStatus::Failed,
        ..failed(sqlstate)
    }
}

/// Returns the end of the update that reads back a key, with its stored state and answer.
fn read_back(value: &str) -> WorkEnd {
    WorkEnd {
        value: Some(value.into()),
        ..committed(1, 12)
    }
}

/// Asserts that a text inserts the key, and before that limits how long the transaction may hold
/// its locks and wait for those of others.
fn assert_claim(sql: &str) {
    let bounds = "BEGIN; SET LOCAL idle_in_transaction_session_timeout = 1000; \
        SET LOCAL statement_timeout = ";
    let rest = sql.strip_prefix(bounds).expect("the bounds come first");
    let (timeout, insert) = rest.split_once("; ").expect("the insert comes last");
    let millis: u64 = timeout.parse().expect("milliseconds");
    assert!((500..=5500).contains(&millis), "{sql}");
    assert!(insert.starts_with("INSERT INTO sapphireslip_request"));
}

/// Sends a keyed write and lets the insertion of its key succeed, so that the client's request is
/// at the server. Returns the request's number.
fn submit_and_claim(fake: &mut Fake) -> u64 {
    let write = fake.submit(keyed(fake));
    assert_claim(&fake.sql());
    fake.reply_only(b"", open());
    assert_eq!(fake.sql(), "messages");
    write
}

/// Lets all servers hold the log up to a position, and waits until the home has polled them.
fn hold_all(fake: &mut Fake, position: u64) {
    for server in home_fake::SERVERS {
        fake.hold(server, position);
    }
    fake.run_ms(2100);
}

#[test]
fn keyed_write_records_its_answer() {
    let mut fake = Fake::new();
    let write = submit_and_claim(&mut fake);
    fake.reply_only(b"OK", open());
    let record_step = fake.sql();
    assert!(record_step.contains("SET answer = '4f4b'"), "{record_step}");
    assert!(record_step.ends_with("; COMMIT"));
    fake.reply_only(b"", committed(1, 11));
    assert_eq!(fake.end(write), None);
    hold_all(&mut fake, 11);
    assert!(fake.is_done(write));
    assert_eq!(fake.answers[&write].payload, b"OK");
    assert_eq!(fake.end(write).unwrap().seen, Some(record(1, 11)));
}

#[test]
fn keyed_write_creates_its_table() {
    let mut fake = Fake::new();
    fake.submit(keyed(&fake));
    fake.reply_only(b"", aborted(b"42P01"));
    assert_eq!(fake.sql(), "ROLLBACK");
    fake.reply_only(b"", ok());
    assert!(fake.sql().starts_with("CREATE TABLE IF NOT EXISTS"));
    fake.reply_only(b"", ok());
    assert_claim(&fake.sql());
}

#[test]
fn keyed_write_done_earlier_gives_the_recorded_answer() {
    let mut fake = Fake::new();
    let write = fake.submit(keyed(&fake));
    fake.reply_only(b"", aborted(b"23505"));
    fake.reply_only(b"", ok());
    assert!(
        fake.sql()
            .starts_with("UPDATE sapphireslip_request SET state = state")
    );
    fake.reply_only(b"", read_back("done:4f4b"));
    assert_eq!(fake.end(write), None, "a majority doesn't hold the key yet");
    hold_all(&mut fake, 12);
    assert!(fake.is_done(write));
    assert_eq!(fake.answers[&write].payload, b"OK");
}

#[test]
fn keyed_write_refused_earlier_is_not_run() {
    let mut fake = Fake::new();
    let write = fake.submit(keyed(&fake));
    fake.reply_only(b"", aborted(b"23505"));
    fake.reply_only(b"", ok());
    fake.reply_only(b"", read_back("refused:"));
    hold_all(&mut fake, 12);
    let expected = (RefusalReason::KeyRefused, Certainty::NotRun);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[test]
fn keyed_write_failed_statement_leaves_the_key_free() {
    let mut fake = Fake::new();
    let write = submit_and_claim(&mut fake);
    fake.reply_only(b"error", aborted(b"23514"));
    assert_eq!(fake.sql(), "ROLLBACK");
    fake.reply_only(b"", ok());
    assert!(fake.is_done(write));
    assert_eq!(fake.answers[&write].payload, b"error");
}

#[test]
fn keyed_write_lost_and_never_run() {
    let mut fake = Fake::new();
    let write = submit_and_claim(&mut fake);
    let sent = fake.only_sent();
    fake.lose(&sent);
    assert!(fake.sql().contains("'refused'"), "{}", fake.sql());
    fake.reply_only(b"", committed(1, 11));
    assert_eq!(
        fake.end(write),
        None,
        "a claim that only the primary holds proves nothing"
    );
    hold_all(&mut fake, 11);
    let expected = (RefusalReason::AnswerLost, Certainty::NotRun);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[test]
fn keyed_write_lost_but_run() {
    let mut fake = Fake::new();
    let write = submit_and_claim(&mut fake);
    fake.reply_only(b"OK", open());
    let sent = fake.only_sent();
    fake.lose(&sent);
    fake.reply_only(b"", failed(b"23505"));
    fake.reply_only(b"", read_back("done:4f4b"));
    hold_all(&mut fake, 12);
    assert!(fake.is_done(write));
    assert_eq!(fake.answers[&write].payload, b"OK");
}

#[test]
fn keyed_write_unresolved_is_unknown() {
    let mut fake = Fake::new();
    let write = submit_and_claim(&mut fake);
    let sent = fake.only_sent();
    fake.lose(&sent);
    fake.run_ms(3000);
    let expected = (RefusalReason::AnswerLost, Certainty::Unknown);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[test]
fn keyed_write_silent_is_resolved_before_its_deadline() {
    let mut fake = Fake::new();
    submit_and_claim(&mut fake);
    let silent = fake.only_sent();
    fake.run_ms(2100);
    assert!(!fake.open.contains_key(&silent.connection));
    assert!(fake.sql().contains("'refused'"));
}

#[test]
fn keyed_write_expired_key_is_refused() {
    let mut fake = Fake::new();
    let mut request = keyed(&fake);
    request.key = Some(RequestKey::try_from("5.old").unwrap());
    let write = fake.submit(request);
    let expected = (RefusalReason::KeyRefused, Certainty::NotRun);
    assert_eq!(fake.refusal(write), Some(expected));
}

#[test]
fn keyed_commit_writes_its_key_first() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Begin);
    fake.reply_only(b"BEGIN", open());
    let request = Request {
        kind: StatementKind::Commit,
        in_transaction: true,
        ..keyed(&fake)
    };
    let commit = fake.submit(request);
    assert!(fake.sql().starts_with("INSERT INTO sapphireslip_request"));
    fake.reply_only(b"", open());
    let sent = fake.only_sent();
    fake.lose(&sent);
    assert!(fake.sql().contains("'refused'"));
    fake.reply_only(b"", failed(b"23505"));
    fake.reply_only(b"", read_back("done:"));
    hold_all(&mut fake, 12);
    assert!(fake.is_done(commit));
}

#[test]
fn keyed_statement_conflict_rolls_its_transaction_back() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Begin);
    fake.reply_only(b"BEGIN", open());
    let request = Request {
        in_transaction: true,
        ..keyed(&fake)
    };
    let statement = fake.submit(request);
    fake.reply_only(b"", aborted(b"23505"));
    fake.reply_only(b"", ok());
    let expected = (RefusalReason::KeyRefused, Certainty::NotRun);
    assert_eq!(fake.refusal(statement), Some(expected));
    assert_eq!(
        fake.end(statement).unwrap().transaction,
        TransactionStatus::Idle
    );
}
