//! Tests of the deletion of old request keys: rarely, in bounded batches, and by one home only.

mod home_fake;

use home_fake::{Fake, committed, failed, ok};
use rstest::rstest;
use sapphireslip_core::*;

/// A time in seconds after which the next check for old keys is due, whatever its jitter.
const PURGE_CHECK_SECONDS: u64 = PURGE_INTERVAL.as_secs() * 3 / 2 + 1;

/// Returns how many deletion batches are at the servers.
fn purges_in_flight(fake: &Fake) -> usize {
    let is_purge = |sent: &&home_fake::Sent| matches!(&sent.payload, WorkPayload::Sql(sql) if sql.starts_with("DELETE"));
    fake.sent.iter().filter(is_purge).count()
}

/// Lets a home run for a number of seconds or until a batch is at the primary, and returns whether
/// one is. The entry daemon sends a message each second so that it isn't taken for lost.
fn run_until_purge(fake: &mut Fake, seconds: u64) -> bool {
    for _ in 0..seconds {
        fake.peer(PeerMessage::WantVms);
        fake.run_ms(1000);
        if purges_in_flight(fake) > 0 {
            return true;
        }
    }
    false
}

/// Returns a home whose first batch is at the primary.
fn fake_with_purge_sent() -> Fake {
    let mut fake = Fake::new();
    let early = PURGE_INTERVAL.as_secs() / 2 - 1;
    assert!(
        !run_until_purge(&mut fake, early),
        "the first batch comes long after the home opens"
    );
    assert!(run_until_purge(&mut fake, PURGE_CHECK_SECONDS));
    fake
}

/// Returns the end of a batch that deleted rows.
fn deleted() -> WorkEnd {
    WorkEnd {
        value: Some("1.old".into()),
        ..committed(1, 11)
    }
}

#[test]
fn purge_first_batch() {
    let fake = fake_with_purge_sent();
    // The wall clock of the fake is fixed at 1,000,000 s.
    let oldest = 1_000_000 - 2 * REQUEST_KEY_LIFETIME.as_secs();
    assert_eq!(
        fake.only_sent().server,
        "s-a",
        "the batch goes to the primary"
    );
    assert!(fake.sql().contains(&format!("born_s < {oldest} LIMIT 200")));
}

#[rstest]
#[case::rows(deleted(), true)]
#[case::none(ok(), false)]
#[case::no_table(failed(b"42P01"), false)]
fn purge_goes_on_while_there_are_rows(#[case] end: WorkEnd, #[case] expected: bool) {
    let mut fake = fake_with_purge_sent();
    fake.reply_only(b"", end);
    assert_eq!(
        purges_in_flight(&fake),
        0,
        "the next batch comes after a pause"
    );
    assert_eq!(run_until_purge(&mut fake, 2), expected);
}

#[test]
fn purge_gives_its_connection_back() {
    let mut fake = fake_with_purge_sent();
    let connection = fake.only_sent().connection;
    fake.reply_only(b"", ok());
    fake.submit_kind(StatementKind::Write);
    assert_eq!(fake.only_sent().connection, connection);
}

#[test]
fn purge_silent_is_given_up() {
    let mut fake = fake_with_purge_sent();
    let silent = fake.only_sent();
    fake.run(PURGE_TIMEOUT);
    assert!(!fake.open.contains_key(&silent.connection));
    assert_eq!(purges_in_flight(&fake), 0);
}

#[test]
fn purge_lost_is_repeated() {
    let mut fake = fake_with_purge_sent();
    let sent = fake.only_sent();
    fake.lose(&sent);
    assert!(run_until_purge(&mut fake, PURGE_CHECK_SECONDS));
}

/// A home that is not in the first zone deletes nothing.
#[test]
fn purge_by_one_home() {
    let mut fake = Fake::in_zone("c");
    assert!(!run_until_purge(&mut fake, 2 * PURGE_CHECK_SECONDS));
}
