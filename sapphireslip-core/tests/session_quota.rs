//! Tests the limit on the sessions of a service at one daemon.

mod fleet_support;

use fleet_support::document;
use rstest::rstest;
use sapphireslip_core::{
    ClientEffect, ClientEvent, DAEMON_SESSIONS_MAX, Effect, Event, Incarnation, Local, Now,
    PlatformEvent, Refusal, RefusalReason, SessionId, State, VmId, ZoneName, reduce,
};

/// The limit of sessions that the documents set for each service.
const LIMIT: u64 = 10;

/// Returns a daemon that knows the services `shop` and `store`, each with a database of its name
/// and `limit` sessions.
fn daemon(limit: u64) -> State {
    let local = Local {
        vm: VmId::try_from("a-1").unwrap(),
        zone: ZoneName::try_from("a").unwrap(),
        address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let mut state = State::new(local, Vec::new(), 1);
    let documents = [("shop", 1), ("store", 2)].map(|(service, change)| {
        let mut accepted = document(service, 1, change, &[service]);
        let client = "[[caller]]\nname = \"till\"\n\
            verifier = \"SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy\"\n[[database]]";
        let text = accepted.text.replacen("[[database]]", client, 1);
        let limit = format!("sessions = {limit}\n");
        accepted.text = text.replacen("sessions = 10\n", &limit, 1).into();
        accepted
    });
    hand_in(
        &mut state,
        Event::Platform(PlatformEvent::Documents(Some(documents.to_vec()))),
    );
    state
}

fn hand_in(state: &mut State, event: Event) -> Vec<Effect> {
    reduce(state, Now::default(), event)
}

/// Connects a client and returns the refusal, if it was refused.
fn connect(state: &mut State, session: u64, database: &str) -> Option<Refusal> {
    let event = ClientEvent::Connecting {
        session: SessionId(session),
        user: "till".into(),
        database: database.into(),
    };
    let effects = hand_in(state, Event::Client(event));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Client(ClientEffect::Close { refusal, .. }) => Some(refusal),
        _ => None,
    })
}

/// Connects a client and returns the reason if it was refused.
fn reason(state: &mut State, session: u64, database: &str) -> Option<RefusalReason> {
    connect(state, session, database).map(|refusal| refusal.reason)
}

fn close(state: &mut State, session: u64) {
    let session = SessionId(session);
    hand_in(state, Event::Client(ClientEvent::Closed { session }));
}

#[rstest]
#[case::first_closed(1)]
#[case::last_closed(LIMIT)]
fn session_quota_of_each_service(#[case] closed: u64) {
    let mut state = daemon(LIMIT);
    for session in 1..=LIMIT {
        assert_eq!(reason(&mut state, session, "shop"), None);
    }
    let refused = Some(RefusalReason::Quota);
    assert_eq!(reason(&mut state, 100, "shop"), refused);
    assert_eq!(
        reason(&mut state, 200, "store"),
        None,
        "the limit of another service is separate"
    );
    close(&mut state, closed);
    close(&mut state, closed);
    close(&mut state, 100);
    assert_eq!(reason(&mut state, 101, "shop"), None);
    assert_eq!(reason(&mut state, 102, "shop"), refused);
}

/// The refusal names the limit that was reached: an operator who reads of a service's limit would
/// raise the wrong one.
#[test]
fn session_quota_of_the_daemon() {
    let max = u64::try_from(DAEMON_SESSIONS_MAX).unwrap();
    let mut state = daemon(max + 1);
    for session in 1..=max {
        assert_eq!(connect(&mut state, session, "shop"), None);
    }
    for database in ["shop", "store"] {
        let refusal = connect(&mut state, max + 1, database).unwrap();
        assert_eq!(refusal.reason, RefusalReason::Quota);
        assert_eq!(
            &*refusal.detail,
            "this daemon has 16384 sessions of all services and accepts no more"
        );
    }
}
