//! Tests which clients may open a session, and what a graceful stop does to sessions.

mod entry_fake;

use std::time::Duration;

use entry_fake::{Fake, SESSIONS, done};
use rstest::rstest;
use sapphireslip_core::{
    ClientEffect, ClientEvent, Effect, Event, OperatorEvent, RefusalReason, SessionId,
    TransactionStatus,
};

fn drain(fake: &mut Fake) {
    let bound = Duration::from_secs(5);
    fake.event(Event::Operator(OperatorEvent::Drain { bound }));
}

#[test]
fn session_is_asked_for_its_password() {
    let mut fake = Fake::new();
    fake.connect(1);
    let is_asked = |effect: &Effect| {
        matches!(effect, Effect::Client(ClientEffect::Authenticate { session, .. })
            if *session == SessionId(1))
    };
    assert!(fake.effects.iter().any(is_asked));
}

#[test]
fn session_sends_nothing_before_its_password() {
    let mut fake = Fake::new();
    fake.connect(1);
    fake.statement(1, "SELECT 1", None);
    assert!(fake.take_sent().is_empty());
    assert!(fake.take_closed(1).is_some());
}

#[rstest]
#[case::database("till", "nowhere", RefusalReason::UnknownDatabase)]
#[case::database_form("till", "no such name", RefusalReason::UnknownDatabase)]
#[case::user("rival", "stock", RefusalReason::BadCredentials)]
fn session_refused(#[case] user: &str, #[case] database: &str, #[case] reason: RefusalReason) {
    let mut fake = Fake::new();
    fake.client(ClientEvent::Connecting {
        session: SessionId(1),
        user: user.into(),
        database: database.into(),
    });
    assert_eq!(fake.take_closed(1).unwrap().reason, reason);
    assert_eq!(fake.state.entry.sessions(), 0);
}

#[test]
fn session_quota_of_its_service() {
    let mut fake = Fake::new();
    for session in 1..=SESSIONS {
        fake.open(session);
    }
    fake.connect(SESSIONS + 1);
    let refusal = fake.take_closed(SESSIONS + 1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Quota);
    assert!(refusal.retry_after.is_some());
    fake.client(ClientEvent::Closed {
        session: SessionId(1),
    });
    fake.connect(SESSIONS + 2);
    assert!(fake.take_closed(SESSIONS + 2).is_none());
}

#[test]
fn session_statement_before_the_answer_closes_it() {
    let mut fake = Fake::new();
    fake.open(1);
    let _sent = fake.send(1, "SELECT 1", None);
    fake.statement(1, "SELECT 2", None);
    assert!(fake.take_sent().is_empty());
    assert!(fake.take_closed(1).is_some());
}

#[test]
fn session_closed_in_a_transaction_is_reported_to_its_home() {
    let mut fake = Fake::new();
    fake.open(1);
    let (home, request) = fake.send(1, "BEGIN", None);
    fake.answer(&home, &request, 0, "", Some(done(TransactionStatus::Open)));
    fake.client(ClientEvent::Closed {
        session: SessionId(1),
    });
    assert!(fake.was_told_closed(&home, 1));
}

#[test]
fn drain_closes_idle_sessions_and_lets_the_others_end() {
    let mut fake = Fake::new();
    for session in 1..=3 {
        fake.open(session);
    }
    let (home, running) = fake.send(2, "SELECT 1", None);
    let (_, begin) = fake.send(3, "BEGIN", None);
    fake.answer(&home, &begin, 0, "", Some(done(TransactionStatus::Open)));
    drain(&mut fake);
    assert_eq!(fake.take_closed(1).unwrap().reason, RefusalReason::Draining);
    assert!(fake.take_closed(2).is_none() && fake.take_closed(3).is_none());
    fake.answer(
        &home,
        &running,
        0,
        "one",
        Some(done(TransactionStatus::Idle)),
    );
    assert_eq!(fake.take_output(2), "one");
    assert_eq!(fake.take_closed(2).unwrap().reason, RefusalReason::Draining);
    let (home, commit) = fake.send(3, "COMMIT", None);
    fake.answer(&home, &commit, 0, "", Some(done(TransactionStatus::Idle)));
    assert_eq!(fake.take_closed(3).unwrap().reason, RefusalReason::Draining);
    assert!(fake.state.entry.is_idle());
}

#[test]
fn drain_refuses_new_sessions() {
    let mut fake = Fake::new();
    drain(&mut fake);
    fake.connect(1);
    assert_eq!(fake.take_closed(1).unwrap().reason, RefusalReason::Draining);
}
