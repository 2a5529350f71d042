//! Sessions that are passed on to the home of their service.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{SessionId, TransactionStatus};
use sapphireslip_lead::{
    ClientEvent, Effect, ErrorCode, Event, PermissionRecord, Record, RecordKind,
};
use support::{Daemon, PAYMENTS, presence, server};

/// Adds a live daemon of the same zone, and returns whether it is the home.
fn with_other(name: &str, other_zone: &str) -> (Daemon, bool) {
    let mut daemon = Daemon::ready();
    daemon.store.add_permission(PermissionRecord {
        reached: vec![server("s-a")],
        ..presence(name, other_zone)
    });
    daemon.advance(2_500);
    let session = daemon.open(PAYMENTS);
    let is_home = daemon.effects.iter().any(
        |effect| matches!(effect, Effect::Relay { session: relayed, .. } if *relayed == session),
    );
    daemon.event(Event::Client(ClientEvent::Closed { session }));
    daemon.effects.clear();
    (daemon, is_home)
}

/// Returns a daemon whose sessions go to another one, and such a session.
fn passing_on() -> (Daemon, SessionId) {
    for n in 0..200 {
        let (mut daemon, is_home) = with_other(&format!("other-{n}"), "a");
        if is_home {
            let session = daemon.open(PAYMENTS);
            return (daemon, session);
        }
    }
    panic!("one of two hundred names should have the higher weight");
}

fn tell(daemon: &mut Daemon, event: ClientEvent) {
    daemon.event(Event::Client(event));
}

#[rstest]
fn daemons_of_other_zones_are_no_homes() {
    for n in 0..20 {
        assert!(!with_other(&format!("other-{n}"), "b").1);
    }
}

#[rstest]
fn session_that_its_home_refuses_is_served_here() {
    let (mut daemon, session) = passing_on();
    let is_refused = true;
    tell(
        &mut daemon,
        ClientEvent::RelayFailed {
            session,
            is_refused,
        },
    );
    assert_eq!(daemon.run(session, "1", "READ x").failure(), None);
}

fn asked(session: SessionId) -> ClientEvent {
    let request = "q1".into();
    ClientEvent::RelayAsked { session, request }
}

#[rstest]
#[case::with_a_statement_at_work(true, 1)]
#[case::at_rest(false, 0)]
fn lost_home(#[case] asks: bool, #[case] answers: usize) {
    let (mut daemon, session) = passing_on();
    let status = TransactionStatus::Idle;
    tell(&mut daemon, ClientEvent::RelayAnswered { session, status });
    if asks {
        tell(&mut daemon, asked(session));
    }
    tell(&mut daemon, ClientEvent::RelayLost { session });
    assert_eq!(daemon.closed, [session]);
    assert_eq!(daemon.answers.len(), answers);
    let unknown = |line: &&Record| line.kind == RecordKind::RequestUnknown;
    let line = daemon.records.iter().find(unknown);
    let request = line.and_then(|line| line.request.as_deref());
    assert_eq!(request, asks.then_some("q1"));
    for (_, reply) in &daemon.answers {
        let code = reply.failure().map(|failure| failure.code.clone());
        assert_eq!(code, Some(ErrorCode::InDoubt));
    }
}

/// Pattern: the home's machine freezes while sessions wait there.
#[rstest]
fn silent_home_is_left() {
    let (mut daemon, session) = passing_on();
    let status = TransactionStatus::Idle;
    tell(&mut daemon, ClientEvent::RelayAnswered { session, status });
    tell(&mut daemon, asked(session));
    daemon.advance(500);
    assert_eq!(daemon.closed, []);
    daemon.advance(200);
    assert_eq!(daemon.closed, [session]);
    daemon.effects.clear();
    let next = daemon.open(PAYMENTS);
    assert!(
        !daemon
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Relay { .. }))
    );
    assert_eq!(daemon.run(next, "1", "READ x").failure(), None);
}

/// Load pattern: a third of the daemons are cut off from the store and refuse what is passed on to
/// them, while their rows say that they live.
#[rstest]
fn home_that_goes_on_refusing_is_asked_more_and_more_rarely() {
    let (mut daemon, mut session) = passing_on();
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let is_refused = true;
        let refused = ClientEvent::RelayFailed {
            session,
            is_refused,
        };
        tell(&mut daemon, refused);
        let since = daemon.millis;
        while !is_passed_on(&mut daemon, &mut session) {
            daemon.advance(100);
        }
        pauses.push(daemon.millis - since);
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 4_000]);
    let status = TransactionStatus::Idle;
    tell(&mut daemon, ClientEvent::RelayAnswered { session, status });
    assert!(is_passed_on(&mut daemon, &mut session), "it took one again");
}

/// Opens a session and returns whether it is passed on.
fn is_passed_on(daemon: &mut Daemon, session: &mut SessionId) -> bool {
    daemon.effects.clear();
    *session = daemon.open(PAYMENTS);
    daemon
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Relay { .. }))
}

#[rstest]
fn stop_waits_for_a_statement_that_was_passed_on() {
    let (mut daemon, session) = passing_on();
    tell(&mut daemon, asked(session));
    daemon.event(Event::Drain {
        grace: Duration::from_secs(6),
    });
    daemon.advance(400);
    assert_eq!(daemon.closed, []);
    let status = TransactionStatus::Idle;
    tell(&mut daemon, ClientEvent::RelayAnswered { session, status });
    daemon.advance(200);
    assert_eq!(daemon.closed, [session]);
    assert_eq!(daemon.answers.len(), 0);
}

/// The report of a daemon whose permission has ended no longer counts.
#[rstest]
fn lost_primary_is_replaced_against_an_old_witness() {
    let (mut daemon, _) = with_other("other", "b");
    daemon.group.get_mut(&server("s-a")).is_dark = true;
    daemon.break_connections(&server("s-a"));
    daemon.advance(3_000);
    assert!(daemon.group.servers.iter().any(|server| server.term.0 == 2));
}
