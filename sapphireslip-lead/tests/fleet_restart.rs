//! Load pattern: all daemons of a fleet lose power and start again together, and callers come at once.

mod support;

use rstest::rstest;
use sapphireslip_core::{Incarnation, SessionId};
use sapphireslip_lead::{
    ClientEvent, CoordinatorRecord, Effect, Event, PermissionRecord, RowVersion,
};
use support::{Daemon, PAYMENTS, catalog, presence, vm};

/// Returns a daemon that knows the configuration and the servers, and nothing of other daemons.
fn just_started() -> Daemon {
    let mut daemon = Daemon::new("a");
    daemon.store_answers = false;
    daemon.event(Event::Catalog(catalog(1)));
    daemon.event(Event::Servers(Some(daemon.group.records())));
    daemon
}

/// Leaves the row of a daemon's earlier run in the store.
fn add_row(daemon: &mut Daemon, name: &str) {
    daemon.store.add_permit(PermissionRecord {
        incarnation: Incarnation(0),
        ..presence(name, "a")
    });
}

/// Adds so many daemons of the zone that at least three come before this one in rank.
fn add_others(daemon: &mut Daemon) {
    for n in 0..200 {
        add_row(daemon, &format!("other-{n}"));
    }
}

/// Returns the sessions that were passed on, in order.
fn passed_on(daemon: &Daemon) -> Vec<SessionId> {
    let relayed = |effect: &Effect| match effect {
        Effect::Relay { session, .. } => Some(*session),
        _ => None,
    };
    daemon.effects.iter().filter_map(relayed).collect()
}

/// The store writes the rows of one part one after the other: those of daemons that have no work yet
/// would hold up the permissions of those that have.
#[rstest]
#[case::without_work(false, 0)]
#[case::with_a_session(true, 1)]
fn restarted_daemon_with_a_session_writes_its_row_at_once(
    #[case] has_session: bool,
    #[case] incarnation: u64,
) {
    let mut daemon = just_started();
    add_others(&mut daemon);
    add_row(&mut daemon, "vm-1");
    daemon.store_answers = true;
    daemon.advance(250);
    if has_session {
        let session = daemon.open(PAYMENTS);
        for _ in 0..4 {
            daemon.event(Event::Client(ClientEvent::RelayFailed {
                session,
                is_refused: true,
            }));
        }
    }
    daemon.advance(100);
    let table = daemon.store.permissions(daemon.millis);
    let own = table
        .permissions
        .iter()
        .find(|(row, _)| row.vm == vm("vm-1"));
    let (own, _) = own.expect("its row");
    assert_eq!(own.incarnation, Incarnation(incarnation));
    assert_eq!(own.until > table.now, has_session);
    daemon.advance(3_000);
    let table = daemon.store.permissions(daemon.millis);
    let own = table
        .permissions
        .iter()
        .find(|(row, _)| row.vm == vm("vm-1"));
    assert_eq!(own.expect("its row").0.incarnation, Incarnation(1));
}

/// All others wait until the permission of the earlier run has ended, for up to 6 s.
#[rstest]
fn restarted_coordinator_takes_over_again_though_it_is_no_home() {
    let mut daemon = just_started();
    add_others(&mut daemon);
    add_row(&mut daemon, "vm-1");
    // So many others with a permission would come before it.
    for n in 0..20 {
        let record = presence(&format!("a-home-{n}"), "a");
        let until = record.alive;
        daemon
            .store
            .add_permit(PermissionRecord { until, ..record });
    }
    let earlier = CoordinatorRecord {
        holder: vm("vm-1"),
        incarnation: Incarnation(0),
    };
    daemon.store.leaders.coordinator = Some((earlier, RowVersion(1)));
    daemon.event(Event::Leads(daemon.store.leaders.clone()));
    daemon.store_answers = true;
    daemon.advance(300);
    let (duty, _) = daemon.store.leaders.coordinator.as_ref().expect("a holder");
    assert_eq!(duty.incarnation, Incarnation(1));
}

/// Each daemon that opened connections before it knew the homes would take up one of the few that a
/// server has.
#[rstest]
fn no_connection_is_opened_before_the_homes_are_known() {
    let mut daemon = just_started();
    daemon.advance(500);
    assert_eq!(daemon.state.snapshot().connections, 0);
    daemon.store_answers = true;
    daemon.advance(2_000);
    assert_eq!(daemon.state.snapshot().connections, 3);
}

#[rstest]
fn row_of_an_earlier_run_makes_the_daemon_a_home_at_once() {
    let mut daemon = just_started();
    add_row(&mut daemon, "vm-1");
    daemon.store_answers = true;
    daemon.advance(250);
    assert_eq!(daemon.state.snapshot().connections, 3);
}

#[rstest]
fn session_waits_until_its_home_is_known() {
    let mut daemon = just_started();
    add_others(&mut daemon);
    let session = daemon.open(PAYMENTS);
    daemon.advance(100);
    assert_eq!(daemon.state.snapshot().sessions, 0);
    daemon.store_answers = true;
    daemon.advance(190);
    assert_eq!(passed_on(&daemon), [session]);
}

#[rstest]
fn session_waits_for_a_limited_time() {
    let mut daemon = just_started();
    daemon.open(PAYMENTS);
    daemon.advance(310);
    assert_eq!(daemon.state.snapshot().sessions, 1, "it is served here");
    let mut daemon = Daemon::new("a");
    daemon.store_answers = false;
    let session = daemon.open(PAYMENTS);
    daemon.advance(310);
    assert_eq!(daemon.closed, [session], "nobody knows where it belongs");
}

#[rstest]
fn session_of_a_caller_that_left_is_not_opened() {
    let mut daemon = just_started();
    let session = daemon.open(PAYMENTS);
    daemon.event(Event::Client(ClientEvent::Closed { session }));
    daemon.advance(400);
    assert_eq!(daemon.state.snapshot().sessions, 0);
}

/// If each daemon served the sessions of a lost home by itself, all of them would need connections.
#[rstest]
fn refused_session_is_passed_on_to_the_next_home() {
    let mut daemon = just_started();
    add_others(&mut daemon);
    daemon.store_answers = true;
    daemon.advance(250);
    let session = daemon.open(PAYMENTS);
    let is_refused = true;
    for expected in [2, 3, 4, 4] {
        daemon.event(Event::Client(ClientEvent::RelayFailed {
            session,
            is_refused,
        }));
        assert_eq!(passed_on(&daemon).len(), expected);
    }
    assert_eq!(daemon.state.snapshot().sessions, 1, "served here at last");
}
