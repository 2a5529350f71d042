//! Sessions of a zone in which no daemon can serve them, because the store turns those daemons away.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{SessionId, TransactionStatus};
use sapphireslip_lead::{ClientEvent, Effect, Event, PermissionRecord, StoreTime};
use support::{Daemon, PAYMENTS, catalog, presence};

/// Returns a daemon in zone a that the store has turned away for so long that its permission has
/// ended, and that knows a daemon with a permission in zone b.
fn turned_away() -> Daemon {
    let mut daemon = Daemon::ready();
    daemon.store.add_permission(PermissionRecord {
        until: StoreTime(Duration::from_secs(500)),
        ..presence("other", "b")
    });
    daemon.advance(3_000);
    daemon.store_answers = false;
    daemon.advance(8_000);
    daemon.effects.clear();
    daemon
}

/// Returns whether the daemon has forwarded a session.
fn is_forwarded(daemon: &Daemon, id: SessionId) -> bool {
    let is_it = |e: &Effect| matches!(e, Effect::Relay { session, .. } if *session == id);
    daemon.effects.iter().any(is_it)
}

/// Served here, every statement would be refused although another zone can serve it.
#[rstest]
fn session_without_a_permission_in_its_zone_goes_to_another_zone() {
    let mut daemon = turned_away();
    let session = daemon.open(PAYMENTS);
    assert!(is_forwarded(&daemon, session), "{:?}", daemon.effects);
}

/// A session that no zone takes must not be forwarded for ever.
#[rstest]
fn session_that_every_daemon_refuses_is_served_locally() {
    let mut daemon = turned_away();
    let session = daemon.open(PAYMENTS);
    for _ in 0..7 {
        let is_refused = true;
        daemon.event(Event::Client(ClientEvent::RelayFailed {
            session,
            is_refused,
        }));
    }
    let forwarded = |e: &&Effect| matches!(e, Effect::Relay { .. });
    assert_eq!(daemon.effects.iter().filter(forwarded).count(), 1);
    assert_eq!(daemon.state.snapshot().sessions, 1);
}

/// A daemon that can't get its permission would accept a session only to refuse its statements.
#[rstest]
fn forwarded_session_is_refused_by_a_daemon_that_the_store_turns_away() {
    let mut daemon = turned_away();
    let session = daemon.open_forwarded(PAYMENTS);
    assert_eq!(daemon.closed, [session]);
}

/// Bytes between zones are dear: a session that has moved must return once its zone can serve it.
#[rstest]
fn idle_session_returns_once_its_zone_can_serve_it() {
    let mut daemon = turned_away();
    let session = daemon.open(PAYMENTS);
    let status = TransactionStatus::Idle;
    daemon.event(Event::Client(ClientEvent::RelayAnswered {
        session,
        status,
    }));
    daemon.store_answers = true;
    daemon.advance(6_000);
    assert_eq!(daemon.closed, [session]);
}

/// Guards against daemons that work with servers long after a fault: a session that another daemon took
/// while its home was lost for a moment used to stay there for as long as its client did.
#[rstest]
fn idle_session_returns_to_its_home_in_the_zone() {
    let mut daemon = Daemon::with_millicores(50);
    for n in 0..5 {
        daemon.store.add_permission(PermissionRecord {
            until: StoreTime(Duration::from_secs(500)),
            alive: StoreTime(Duration::from_secs(500)),
            ..presence(&format!("home-{n}"), "a")
        });
    }
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(2_000);
    let session = daemon.open(PAYMENTS);
    let is_refused = true;
    daemon.event(Event::Client(ClientEvent::RelayFailed {
        session,
        is_refused,
    }));
    let forwarded = daemon.effects.iter();
    let forwarded = forwarded.filter(|e| matches!(e, Effect::Relay { .. }));
    assert_eq!(forwarded.count(), 2, "to the home and to the next in rank");
    let status = TransactionStatus::Idle;
    daemon.event(Event::Client(ClientEvent::RelayAnswered {
        session,
        status,
    }));
    daemon.advance(300);
    assert_eq!(daemon.closed, []);
    daemon.advance(1_000);
    assert_eq!(daemon.closed, [session]);
}
