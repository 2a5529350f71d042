//! Suspicion of a server that leaves statements unanswered, and writes at a superseded primary.

mod home_fake;

use home_fake::{Fake, record};
use sapphireslip_core::{
    Certainty, DatabaseName, PeerMessage, Position, RequestKey, ServerRole, StatementKind, Term,
    TimelineKind,
};

/// Returns whether the home has recorded that the primary is suspected.
fn is_suspected(fake: &Fake) -> bool {
    let suspected =
        |entry: &sapphireslip_core::TimelineEntry| entry.kind == TimelineKind::PrimarySuspected;
    fake.records.iter().any(suspected)
}

/// An unanswered statement must lead to a poll of its server before the next regular one.
#[test]
fn unanswered_work_polls_server_early() {
    let mut fake = Fake::new();
    fake.up.insert("s-a".to_owned(), false);
    fake.submit_kind(StatementKind::Write);
    fake.run_ms(400);
    assert!(is_suspected(&fake));
}

/// A poll that was answered after the statement was sent must not delay the next one for long.
#[test]
fn unanswered_work_after_answered_poll_polls_again() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Write);
    fake.run_ms(110);
    fake.up.insert("s-a".to_owned(), false);
    fake.run_ms(500);
    assert!(is_suspected(&fake));
}

/// A long statement on a server that answers polls must not make the primary suspect.
#[test]
fn unanswered_long_statement_does_not_suspect_primary() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::Write);
    fake.run_ms(2_900);
    assert!(!is_suspected(&fake));
}

/// A keyed write left unanswered by a superseded primary is refused as not run as soon as the new
/// primary is known, rather than at its deadline.
#[test]
fn superseded_keyed_write_is_refused_before_its_deadline() {
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
    let refused = fake
        .refusal(write)
        .expect("the write must be refused before its deadline");
    assert_eq!(
        refused.1,
        Certainty::NotRun,
        "the server had not reached the commit"
    );
    assert!(fake.sent.is_empty());
}
