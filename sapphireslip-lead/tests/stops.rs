//! A graceful stop, and sessions that move to other daemons.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::{ClientEvent, Effect, ErrorCode, Event};
use support::{Daemon, PAYMENTS};

const GRACE: Duration = Duration::from_secs(6);

fn has_exited(daemon: &Daemon) -> bool {
    daemon.effects.contains(&Effect::Exit)
}

/// Pattern: a caller that prepares, and sends its statement with the next packet.
#[rstest]
fn session_that_was_just_answered_is_not_closed() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "PREPARE s1 READ q1");
    daemon.event(Event::Drain { grace: GRACE });
    assert_eq!(daemon.closed, []);
    daemon.advance(50);
    assert_eq!(daemon.run(session, "2", "EXECUTE s1 x").failure(), None);
    daemon.advance(200);
    assert_eq!(daemon.closed, [session]);
}

#[rstest]
fn drain_ends_once_the_load_balancer_has_noticed() {
    let mut daemon = Daemon::ready();
    daemon.event(Event::Drain { grace: GRACE });
    assert!(!daemon.state.is_ready());
    daemon.advance(2_400);
    assert!(!has_exited(&daemon));
    daemon.advance(200);
    assert!(has_exited(&daemon));
}

#[rstest]
fn open_transaction_gets_half_of_the_grace_period() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.event(Event::Drain { grace: GRACE });
    daemon.advance(2_900);
    assert_eq!(daemon.closed, []);
    daemon.advance(200);
    assert_eq!(daemon.closed, [session]);
    assert!(has_exited(&daemon));
}

#[rstest]
fn permission_lacked_for_long_sends_callers_away() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store_answers = false;
    // Alone, it holds the duty, and its permission lasts 6 s.
    daemon.advance(7_000);
    assert_eq!(daemon.closed, [], "the balancer has not noticed yet");
    daemon.advance(3_000);
    assert_eq!(daemon.closed, [session]);
    assert!(!daemon.state.is_ready());
}

/// Pattern: a caller that asks again and again at a daemon that has lost the store.
#[rstest]
fn busy_caller_is_sent_away_too() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store_answers = false;
    for n in 0..1_000 {
        if daemon.closed.contains(&session) {
            break;
        }
        daemon.ask(session, &n.to_string(), "READ x");
        daemon.advance(10);
    }
    assert_eq!(daemon.closed, [session]);
}

#[rstest]
#[case::with_an_older_configuration(2, true)]
#[case::with_the_same_configuration(1, false)]
fn forwarded_session_is_refused(#[case] theirs: u64, #[case] is_refused: bool) {
    let mut daemon = Daemon::ready();
    let session = sapphireslip_core::SessionId(900);
    daemon.event(Event::Client(ClientEvent::Opened {
        session,
        database: PAYMENTS.into(),
        forwarder_version: Some(theirs),
    }));
    assert_eq!(daemon.closed.contains(&session), is_refused);
}

#[rstest]
fn unknown_database_is_refused() {
    let mut daemon = Daemon::ready();
    let session = daemon.open("nowhere");
    let closed = daemon.effects.pop().expect("an effect");
    let Effect::CloseSession {
        failure: Some(failure),
        ..
    } = closed
    else {
        panic!("{closed:?} is no refusal");
    };
    assert_eq!(failure.code, ErrorCode::NoDatabase);
    assert_eq!(daemon.closed, [session]);
}
