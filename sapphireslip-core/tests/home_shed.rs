//! Tests of early refusal: a request that is not expected to get a connection in time is refused on
//! arrival.

mod home_fake;

use home_fake::{Fake, ok};
use sapphireslip_core::{Certainty, Outcome, RefusalReason, StatementKind};

/// Returns a home whose primary has answered a write every 100 ms, with 20 more writes outstanding.
fn slow_primary() -> Fake {
    let mut fake = Fake::new();
    for _ in 0..30 {
        fake.submit_kind(StatementKind::Write);
    }
    for _ in 0..10 {
        fake.run_ms(100);
        let sent = fake.sent[0].clone();
        fake.reply(&sent, b"INSERT 0 1", Some(ok()));
    }
    fake
}

#[test]
fn shed_write_by_the_pace_of_the_primary() {
    let mut fake = slow_primary();
    let mut last = 0;
    for _ in 0..10 {
        last = fake.submit_kind(StatementKind::Write);
    }
    let expected = (RefusalReason::Deadline, Certainty::NotRun);
    assert_eq!(fake.refusal(last), Some(expected));
    let Outcome::Refused(refusal) = &fake.end(last).unwrap().outcome else {
        panic!("the write is not refused");
    };
    assert!(refusal.retry_after.is_some());
}

#[test]
fn shed_does_not_affect_reads_at_replicas() {
    let mut fake = slow_primary();
    for _ in 0..10 {
        fake.submit_kind(StatementKind::Write);
    }
    let at_primary = fake.sent.len();
    fake.submit_kind(StatementKind::Read);
    assert_eq!(fake.sent.len(), at_primary + 1);
    assert_ne!(fake.sent[at_primary].server, "s-a");
}
