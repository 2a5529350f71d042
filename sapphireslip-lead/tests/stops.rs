//! Graceful stops, and sessions that are sent to other daemons.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::SessionId;
use sapphireslip_lead::{ClientEvent, Effect, ErrorCode, Event, Reply};
use support::{Daemon, PAYMENTS, server};

/// The time from the request to stop until the process would be killed.
const GRACE: Duration = Duration::from_secs(6);

/// Returns whether the daemon has asked for the process to exit.
fn has_exited(daemon: &Daemon) -> bool {
    daemon.effects.contains(&Effect::Exit)
}

/// Guards against closing a session between the answer to a `PREPARE` and the `EXECUTE` that the
/// client sends in its next packet.
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
fn permission_lacked_for_long_sends_clients_away() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store_answers = false;
    // The only daemon is the coordinator, whose permission lasts 6 s.
    daemon.advance(7_000);
    assert_eq!(daemon.closed, [], "the load balancer has not noticed yet");
    daemon.advance(3_000);
    assert_eq!(daemon.closed, [session]);
    assert!(!daemon.state.is_ready());
}

/// Guards against a client that never pauses and so never leaves a daemon that has lost the store.
#[rstest]
fn busy_client_is_sent_away_too() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store_answers = false;
    for n in 0..1_000 {
        if daemon.closed.contains(&session) {
            break;
        }
        daemon.submit(session, &n.to_string(), "READ x");
        daemon.advance(10);
    }
    assert_eq!(daemon.closed, [session]);
}

#[rstest]
#[case::with_an_older_configuration(2, true)]
#[case::with_the_same_configuration(1, false)]
fn forwarded_session_is_refused(#[case] forwarder_version: u64, #[case] is_refused: bool) {
    let mut daemon = Daemon::ready();
    let session = sapphireslip_core::SessionId(900);
    daemon.event(Event::Client(ClientEvent::Opened {
        session,
        database: PAYMENTS.into(),
        key: None,
        forwarder_version: Some(forwarder_version),
    }));
    assert_eq!(daemon.closed.contains(&session), is_refused);
}

#[rstest]
fn unknown_database_is_refused() {
    let mut daemon = Daemon::ready();
    let session = daemon.open("nowhere");
    let closed = daemon.effects.pop().expect("the session is closed");
    let Effect::CloseSession {
        failure: Some(failure),
        ..
    } = closed
    else {
        panic!("expected the session to be closed with a failure, got {closed:?}");
    };
    assert_eq!(failure.code, ErrorCode::NoDatabase);
    assert_eq!(daemon.closed, [session]);
}

/// Guards against statements that are cut off without an answer: a client that has just been
/// answered, or has just connected, may have sent its next statement when its session is closed.
#[rstest]
#[case::own_session(false, 3_000)]
#[case::forwarded_session(true, 700)]
fn session_is_closed_with_an_answer_when_the_permission_is_lost(
    #[case] is_forwarded: bool,
    #[case] lacking_millis: u64,
) {
    let mut daemon = Daemon::ready();
    let session = match is_forwarded {
        true => daemon.open_forwarded(PAYMENTS),
        false => daemon.open(PAYMENTS),
    };
    daemon.store_answers = false;
    // The only daemon is the coordinator, whose permission lasts 6 s.
    for n in 0..(6_000 + lacking_millis) / 100 {
        if daemon.closed.contains(&session) {
            break;
        }
        daemon.answers.clear();
        daemon.submit(session, &n.to_string(), "READ x");
        let is_closed = daemon.closed.contains(&session);
        assert!(
            !is_closed || !daemon.answers.is_empty(),
            "closed unanswered"
        );
        daemon.advance(100);
        assert_eq!(
            daemon.closed.contains(&session),
            is_closed,
            "closed between statements"
        );
    }
    assert_eq!(daemon.closed, [session]);
}

#[rstest]
fn session_that_was_just_opened_is_not_closed_when_the_permission_is_lost() {
    let mut daemon = Daemon::ready();
    daemon.store_answers = false;
    daemon.advance(9_000);
    let session = daemon.open(PAYMENTS);
    daemon.advance(100);
    assert_eq!(daemon.closed, []);
    let reply = daemon.run(session, "1", "WRITE x 1");
    let failure = reply.failure().expect("a refusal");
    assert_eq!(failure.code, ErrorCode::Busy);
    assert!(failure.text.contains("retry after"), "{}", failure.text);
    assert_eq!(daemon.closed, [session]);
}

/// Guards against a statement that is cut off when the daemon exits: a client whose pauses are short
/// was never idle for long enough to be told that its session ends.
#[rstest]
fn session_of_a_client_with_short_pauses_is_closed_in_time() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.event(Event::Drain { grace: GRACE });
    let mut statements = 0;
    while daemon.closed.is_empty() && !has_exited(&daemon) {
        daemon.advance(50);
        if daemon.closed.is_empty() {
            statements += 1;
            daemon.run(session, &statements.to_string(), "READ x");
        }
    }
    assert_eq!(daemon.closed, [session]);
    assert!(!has_exited(&daemon), "closed by the exit");
}

/// Has the client of a session send `next` at once after each answer, each of which takes 90 ms, until
/// the session is closed or the daemon exits. Returns the last answer.
fn run_without_pauses(
    daemon: &mut Daemon,
    session: SessionId,
    next: impl Fn(&Daemon) -> &'static str,
) -> Reply {
    daemon.withholds_answers = true;
    let mut sent = 0;
    while !daemon.closed.contains(&session) && !has_exited(daemon) {
        sent += 1;
        let text = next(daemon);
        daemon.submit(session, &sent.to_string(), text);
        daemon.advance(90);
        if !daemon.closed.contains(&session) && !has_exited(daemon) {
            daemon.answer_oldest(1);
        }
    }
    let is_closed = daemon.closed.contains(&session);
    assert!(is_closed, "a statement was cut off by the exit");
    daemon.answers.last().expect("an answer").1.clone()
}

/// Guards against a statement that is cut off when the daemon exits: a client that sends its next
/// statement at once after each answer was never found without a running one, and got new work until the
/// end.
#[rstest]
fn session_of_a_client_without_pauses_is_closed_in_time() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.event(Event::Drain { grace: GRACE });
    let last = run_without_pauses(&mut daemon, session, |_| "READ x");
    let failure = last.failure().expect("a refusal");
    assert_eq!(failure.code, ErrorCode::Busy);
    assert!(failure.text.contains("retry after"), "{}", failure.text);
    assert!(daemon.millis < 2_000 + 3_500, "closed at {}", daemon.millis);
}

/// Guards against a transaction that goes on to the exit because a statement ran at half of the grace
/// period, and against one that may not end then.
#[rstest]
#[case::that_commits("COMMIT")]
#[case::that_goes_on("READ x")]
fn transaction_without_pauses_ends_in_time(#[case] last: &'static str) {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "begin", "BEGIN");
    daemon.run(session, "write", "WRITE x 1");
    let length = |daemon: &Daemon| daemon.group.get(&server("s-a")).log.len();
    let before = length(&daemon);
    daemon.event(Event::Drain { grace: GRACE });
    let end = daemon.millis + 3_000;
    let next = |daemon: &Daemon| if daemon.millis < end { "READ x" } else { last };
    let answer = run_without_pauses(&mut daemon, session, next);
    let code = answer.failure().map(|failure| failure.code.clone());
    assert_eq!(code, Some(ErrorCode::Busy));
    let commits = length(&daemon) - before;
    assert_eq!(commits, usize::from(last == "COMMIT"));
}

/// Guards against a session that is opened shortly before the exit and cut off by it.
#[rstest]
fn session_that_is_opened_late_is_refused() {
    let (mut daemon, busy) = Daemon::with_session();
    daemon.run(busy, "begin", "BEGIN");
    daemon.event(Event::Drain { grace: GRACE });
    daemon.advance(2_900);
    let early = daemon.open(PAYMENTS);
    assert!(!daemon.closed.contains(&early));
    daemon.withholds_answers = true;
    daemon.submit(early, "1", "READ x");
    daemon.advance(200);
    let late = daemon.open(PAYMENTS);
    assert!(daemon.closed.contains(&late));
}
