//! Forwarding of sessions to the home of their service.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{SessionId, TransactionStatus};
use sapphireslip_lead::{
    ClientEvent, Effect, ErrorCode, Event, PermissionRecord, Record, RecordKind,
};
use support::{Daemon, PAYMENTS, presence, server};

/// Returns a daemon that knows another live daemon, and whether that one is the home of the
/// service.
fn with_second_daemon(name: &str, other_zone: &str) -> (Daemon, bool) {
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

/// Returns a daemon that forwards its sessions to another one, and a session that it has forwarded.
fn forwarding() -> (Daemon, SessionId) {
    for n in 0..200 {
        let (mut daemon, is_home) = with_second_daemon(&format!("other-{n}"), "a");
        if is_home {
            let session = daemon.open(PAYMENTS);
            return (daemon, session);
        }
    }
    panic!("no name of 200 ranks the other daemon as the home");
}

/// Hands the daemon an event of a client connection.
fn client_event(daemon: &mut Daemon, event: ClientEvent) {
    daemon.event(Event::Client(event));
}

#[rstest]
fn daemons_of_other_zones_are_not_homes() {
    for n in 0..20 {
        assert!(!with_second_daemon(&format!("other-{n}"), "b").1);
    }
}

#[rstest]
fn session_refused_by_its_home_is_served_locally() {
    let (mut daemon, session) = forwarding();
    let is_refused = true;
    client_event(
        &mut daemon,
        ClientEvent::RelayFailed {
            session,
            is_refused,
        },
    );
    assert_eq!(daemon.run(session, "1", "READ x").failure(), None);
}

/// A home that is slow to open one session but answers others must keep its sessions: given up by all
/// entries at once, they would go to daemons without a permission.
#[rstest]
#[case::and_answers_other_sessions(100, true)]
#[case::and_is_silent(800, false)]
fn home_is_slow_to_open_a_session(#[case] answered_ago: u64, #[case] is_tried_again: bool) {
    let (mut daemon, other) = forwarding();
    let status = TransactionStatus::Idle;
    client_event(
        &mut daemon,
        ClientEvent::RelayAnswered {
            session: other,
            status,
        },
    );
    let session = daemon.open(PAYMENTS);
    daemon.advance(answered_ago);
    daemon.effects.clear();
    client_event(
        &mut daemon,
        ClientEvent::RelayFailed {
            session,
            is_refused: false,
        },
    );
    let is_relayed = |e: &Effect| matches!(e, Effect::Relay { session: id, .. } if *id == session);
    assert_eq!(daemon.effects.iter().any(is_relayed), is_tried_again);
}

/// Returns the event of a read with identifier `q1` on a forwarded session.
fn relay_query(session: SessionId) -> ClientEvent {
    ClientEvent::RelayQuery {
        session,
        request: "q1".into(),
        may_write: false,
    }
}

#[rstest]
#[case::with_a_running_statement(true, 1)]
#[case::while_idle(false, 0)]
fn session_at_a_lost_home_is_closed(#[case] has_statement: bool, #[case] answers: usize) {
    let (mut daemon, session) = forwarding();
    let status = TransactionStatus::Idle;
    client_event(&mut daemon, ClientEvent::RelayAnswered { session, status });
    if has_statement {
        client_event(&mut daemon, relay_query(session));
    }
    client_event(&mut daemon, ClientEvent::RelayLost { session });
    assert_eq!(daemon.closed, [session]);
    assert_eq!(daemon.answers.len(), answers);
    let unknown = |line: &&Record| line.kind == RecordKind::RequestUnknown;
    let line = daemon.records.iter().find(unknown);
    let request = line.and_then(|line| line.request.as_deref());
    assert_eq!(request, has_statement.then_some("q1"));
    for (_, reply) in &daemon.answers {
        let code = reply.failure().map(|failure| failure.code.clone());
        assert_eq!(code, Some(ErrorCode::InDoubt));
    }
}

/// Guards against sessions that hang when the VM of their home freezes: no connection breaks, but
/// statements stay unanswered.
#[rstest]
fn sessions_leave_a_silent_home() {
    let (mut daemon, session) = forwarding();
    let status = TransactionStatus::Idle;
    client_event(&mut daemon, ClientEvent::RelayAnswered { session, status });
    client_event(&mut daemon, relay_query(session));
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

/// Guards against a payment that is given up although the home of its session was only suspended for a
/// moment: the client can't repeat it, and must be told its outcome.
#[rstest]
fn write_at_a_silent_home_has_all_of_its_time() {
    let (mut daemon, session) = forwarding();
    let reading = daemon.open(PAYMENTS);
    let status = TransactionStatus::Idle;
    for session in [session, reading] {
        client_event(&mut daemon, ClientEvent::RelayAnswered { session, status });
    }
    client_event(&mut daemon, relay_query(reading));
    let write = ClientEvent::RelayQuery {
        session,
        request: "q2".into(),
        may_write: true,
    };
    client_event(&mut daemon, write.clone());
    daemon.advance(750);
    assert_eq!(daemon.closed, [reading], "its client can read elsewhere");
    // The home goes on and answers.
    client_event(&mut daemon, ClientEvent::RelayAnswered { session, status });
    daemon.advance(400);
    assert_eq!(daemon.closed, [reading]);
    // The home is silent for longer than the route's timeout of 800 ms.
    client_event(&mut daemon, write);
    daemon.advance(900);
    assert_eq!(daemon.closed, [reading, session]);
    let avoided = |line: &&Record| line.kind == RecordKind::DaemonAvoided;
    let lines = daemon.records.iter().filter(avoided).count();
    assert_eq!(lines, 1, "a daemon is avoided for seconds");
}

/// Guards against futile forwarding: a third of the daemons are cut off from the store and refuse
/// forwarded sessions, while their rows in the store still say that they are alive.
#[rstest]
fn refusing_home_is_retried_with_growing_pauses() {
    let (mut daemon, mut session) = forwarding();
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let is_refused = true;
        let refused = ClientEvent::RelayFailed {
            session,
            is_refused,
        };
        client_event(&mut daemon, refused);
        let since = daemon.millis;
        while !is_forwarded(&mut daemon, &mut session) {
            daemon.advance(100);
        }
        pauses.push(daemon.millis - since);
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 4_000]);
    let status = TransactionStatus::Idle;
    client_event(&mut daemon, ClientEvent::RelayAnswered { session, status });
    assert!(
        is_forwarded(&mut daemon, &mut session),
        "a home that accepts a session again gets the next one"
    );
}

/// Opens a session and returns whether it is forwarded.
fn is_forwarded(daemon: &mut Daemon, session: &mut SessionId) -> bool {
    daemon.effects.clear();
    *session = daemon.open(PAYMENTS);
    daemon
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Relay { .. }))
}

#[rstest]
fn drain_waits_for_a_forwarded_statement() {
    let (mut daemon, session) = forwarding();
    client_event(&mut daemon, relay_query(session));
    daemon.event(Event::Drain {
        grace: Duration::from_secs(6),
    });
    daemon.advance(400);
    assert_eq!(daemon.closed, []);
    let status = TransactionStatus::Idle;
    client_event(&mut daemon, ClientEvent::RelayAnswered { session, status });
    daemon.advance(200);
    assert_eq!(daemon.closed, [session]);
    assert_eq!(daemon.answers.len(), 0);
}

/// The other daemon reported that it reaches the primary, but its permission has ended since, so
/// that its report no longer prevents a promotion.
#[rstest]
fn report_of_an_expired_permission_does_not_prevent_a_promotion() {
    let (mut daemon, _) = with_second_daemon("other", "b");
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    daemon.advance(3_000);
    assert!(daemon.group.servers.iter().any(|server| server.term.0 == 2));
}
