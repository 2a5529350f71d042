//! A server that leaves work unanswered, and work at a superseded primary.

mod home_fake;

use home_fake::{Fake, record};
use sapphireslip_core::{
    Certainty, DatabaseName, PeerMessage, Position, RequestKey, ServerRole, StatementKind, Term,
    TimelineKind,
};

fn is_suspected(fake: &Fake) -> bool {
    let suspected =
        |entry: &sapphireslip_core::TimelineEntry| entry.kind == TimelineKind::PrimarySuspected;
    fake.records.iter().any(suspected)
}

#[test]
fn doubt_unanswered_work_before_the_next_poll() {
    let mut fake = Fake::new();
    fake.up.insert("s-a".to_owned(), false);
    fake.submit_kind(StatementKind::Write);
    fake.run_ms(400);
    assert!(is_suspected(&fake));
}

#[test]
fn doubt_poll_answered_after_the_work_was_sent() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Write);
    fake.run_ms(110);
    fake.up.insert("s-a".to_owned(), false);
    fake.run_ms(500);
    assert!(is_suspected(&fake));
}

#[test]
fn doubt_long_statement_costs_few_polls() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Write);
    fake.run_ms(2_900);
    assert!(!is_suspected(&fake));
}

#[test]
fn superseded_primary_leaves_keyed_write() {
    let mut fake = Fake::new();
    let mut request = fake.request(StatementKind::Write);
    request.key = Some(RequestKey::try_from("1000000.a").unwrap());
    let write = fake.submit(request);
    assert_eq!(fake.only_sent().server, "s-a");
    fake.silent = vec!["s-a"];
    fake.run_ms(100);
    for server in ["s-b", "s-c"] {
        let status = fake.statuses.get_mut(server).unwrap();
        status.fenced = Term(2);
        status.held = record(2, 11);
        status.applied = Position(11);
        status.term_starts.push(record(2, 11));
    }
    fake.statuses.get_mut("s-b").unwrap().role = ServerRole::Primary;
    fake.peer(PeerMessage::Promoted {
        database: DatabaseName::try_from("stock").unwrap(),
        term: Term(2),
    });
    let refused = fake.refusal(write).expect("not held until its deadline");
    assert_eq!(
        refused.1,
        Certainty::NotRun,
        "it had not come to its commit"
    );
    assert!(fake.sent.is_empty());
}
