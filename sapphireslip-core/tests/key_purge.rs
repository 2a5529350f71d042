//! Old request keys are deleted rarely, in bounded batches, and by one home.

mod home_fake;

use home_fake::{Fake, committed, failed, ok};
use rstest::rstest;
use sapphireslip_core::*;

/// Seconds past the next look, whatever its jitter.
const PURGE_CHECK_SECONDS: u64 = PURGE_INTERVAL.as_secs() * 3 / 2 + 1;

fn purges_in_flight(fake: &Fake) -> usize {
    let is_purge = |sent: &&home_fake::Sent| matches!(&sent.payload, WorkPayload::Sql(sql) if sql.starts_with("DELETE"));
    fake.sent.iter().filter(is_purge).count()
}

/// Lets a home run for a number of seconds, or until a batch is at the server; the entry daemon
/// is heard of all along.
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

fn fake_with_purge_sent() -> Fake {
    let mut fake = Fake::new();
    let early = PURGE_INTERVAL.as_secs() / 2 - 1;
    assert!(
        !run_until_purge(&mut fake, early),
        "not soon after a home opens"
    );
    assert!(run_until_purge(&mut fake, PURGE_CHECK_SECONDS));
    fake
}

fn deleted() -> WorkEnd {
    WorkEnd {
        value: Some("1.old".into()),
        ..committed(1, 11)
    }
}

#[test]
fn purge_first_batch() {
    let fake = fake_with_purge_sent();
    // The fake's wall clock stands at second 1,000,000.
    let oldest = 1_000_000 - 2 * REQUEST_KEY_LIFETIME.as_secs();
    assert_eq!(fake.only_sent().server, "s-a", "the primary");
    assert!(fake.sql().contains(&format!("born_s < {oldest} LIMIT 200")));
}

#[rstest]
#[case::rows(deleted(), true)]
#[case::none(ok(), false)]
#[case::no_table(failed(b"42P01"), false)]
fn purge_goes_on_while_there_are_rows(#[case] end: WorkEnd, #[case] expected: bool) {
    let mut fake = fake_with_purge_sent();
    fake.reply_only(b"", end);
    assert_eq!(purges_in_flight(&fake), 0, "a pause between two batches");
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

/// A home in a later zone leaves it to the first.
#[test]
fn purge_by_one_home() {
    let mut fake = Fake::in_zone("c");
    assert!(!run_until_purge(&mut fake, 2 * PURGE_CHECK_SECONDS));
}
