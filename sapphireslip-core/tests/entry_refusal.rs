//! Tests the refusals that an entry daemon gives by itself, and what it tells clients when the time
//! limit of its graceful stop passes.

mod home_fake;

use std::time::Duration;

use bytes::Bytes;
use home_fake::{Fake, open};
use rstest::rstest;
use sapphireslip_core::*;

/// The time limit of the graceful stop.
const BOUND: Duration = Duration::from_secs(2);

fn connect(fake: &mut Fake, session: u64, user: &str, database: &str) {
    fake.event(Event::Client(ClientEvent::Connecting {
        session: SessionId(session),
        user: user.into(),
        database: database.into(),
    }));
}

fn open_session(fake: &mut Fake, session: u64) {
    connect(fake, session, "till", "stock");
    fake.event(Event::Client(ClientEvent::Opened {
        session: SessionId(session),
        user: UserName::try_from("till").unwrap(),
        database: DatabaseName::try_from("stock").unwrap(),
        token: None,
    }));
}

fn statement(fake: &mut Fake, session: u64, text: &str) {
    fake.event(Event::Client(ClientEvent::Statement {
        session: SessionId(session),
        text: text.into(),
        key: None,
        payload: Bytes::from_static(b"statement"),
    }));
}

/// Returns the refusal with which a session was closed, if it was.
fn closed(fake: &Fake, session: u64) -> Option<Refusal> {
    fake.clients.iter().find_map(|effect| match effect {
        ClientEffect::Close {
            session: SessionId(id),
            refusal,
        } if *id == session => Some(refusal.clone()),
        _ => None,
    })
}

/// Returns the refusal of a session's last statement, if it was refused.
fn refused(fake: &Fake, session: u64) -> Option<Refusal> {
    let finished = fake.clients.iter().filter_map(|effect| match effect {
        ClientEffect::Finish {
            session: SessionId(id),
            refusal,
            ..
        } if *id == session => Some(refusal.clone()),
        _ => None,
    });
    finished.last().flatten()
}

fn drain(fake: &mut Fake) {
    fake.event(Event::Operator(OperatorEvent::Drain { bound: BOUND }));
}

#[rstest]
#[case::unknown_database("till", "nowhere", RefusalReason::UnknownDatabase)]
#[case::bad_user("nobody", "stock", RefusalReason::BadCredentials)]
fn connect_refused(#[case] user: &str, #[case] database: &str, #[case] expected: RefusalReason) {
    let mut fake = Fake::new();
    connect(&mut fake, 1, user, database);
    let refusal = closed(&fake, 1).unwrap();
    assert_eq!(refusal.reason, expected);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn connect_over_the_quota() {
    let mut fake = Fake::new();
    for session in 1..=100 {
        open_session(&mut fake, session);
        assert_eq!(closed(&fake, session), None);
    }
    connect(&mut fake, 101, "till", "stock");
    let refusal = closed(&fake, 101).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Quota);
    assert_eq!(refusal.retry_after, Some(QUOTA_RETRY_AFTER));
}

#[test]
fn connect_while_draining() {
    let mut fake = Fake::new();
    open_session(&mut fake, 1);
    drain(&mut fake);
    assert_eq!(
        closed(&fake, 1).unwrap().sqlstate(),
        "57P01",
        "an idle session"
    );
    connect(&mut fake, 2, "till", "stock");
    assert_eq!(closed(&fake, 2).unwrap().reason, RefusalReason::Draining);
}

#[test]
fn unsupported_statement_is_never_sent() {
    let mut fake = Fake::new();
    open_session(&mut fake, 1);
    statement(&mut fake, 1, "LISTEN news");
    let refusal = refused(&fake, 1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Unsupported);
    assert_eq!(refusal.ran, Certainty::NotRun);
    assert!(fake.sent.is_empty());
}

#[rstest]
#[case::write("INSERT INTO t VALUES (1)", Certainty::Unknown)]
#[case::read("SELECT next_number()", Certainty::Unknown)]
#[case::begin("BEGIN", Certainty::NotRun)]
fn stop_bound_of_a_running_statement(#[case] text: &str, #[case] expected: Certainty) {
    let mut fake = Fake::with(100, "0s");
    open_session(&mut fake, 1);
    statement(&mut fake, 1, text);
    fake.only_sent();
    drain(&mut fake);
    fake.run(BOUND - Duration::from_millis(1));
    assert!(!fake.has_exited);
    assert_eq!(closed(&fake, 1), None, "closed before the time limit");
    fake.run_ms(1);
    assert_eq!(refused(&fake, 1).unwrap().ran, expected);
    assert_eq!(closed(&fake, 1).unwrap().sqlstate(), "57P01");
    assert!(fake.has_exited);
}

#[test]
fn stop_bound_of_an_open_transaction() {
    let mut fake = Fake::new();
    open_session(&mut fake, 1);
    open_session(&mut fake, 2);
    for session in [1, 2] {
        statement(&mut fake, session, "BEGIN");
        fake.reply_only(b"BEGIN", open());
    }
    drain(&mut fake);
    statement(&mut fake, 2, "INSERT INTO t VALUES (1)");
    fake.run(BOUND);
    let told = refused(&fake, 2).unwrap();
    assert_eq!(told.reason, RefusalReason::TransactionLost);
    assert_eq!(told.ran, Certainty::NotRun);
    for session in [1, 2] {
        assert_eq!(closed(&fake, session).unwrap().sqlstate(), "57P01");
    }
    assert!(fake.has_exited);
}
