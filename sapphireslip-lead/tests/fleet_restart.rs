//! A whole fleet loses power and starts again together, and clients connect at once.

mod support;

use rstest::rstest;
use sapphireslip_core::{Incarnation, SessionId};
use sapphireslip_lead::{
    ClientEvent, CoordinatorRecord, Effect, Event, PermissionRecord, RowVersion,
};
use support::{Daemon, PAYMENTS, at, catalog, presence, vm};

/// Returns a daemon that knows the configuration and the servers, and nothing of other daemons.
fn just_started() -> Daemon {
    let mut daemon = Daemon::new("a");
    daemon.store_answers = false;
    daemon.event(Event::Catalog(catalog(1)));
    daemon.event(Event::Servers {
        list: Some(daemon.group.records()),
        sent: at(daemon.millis),
    });
    daemon
}

/// Adds the row of a daemon's earlier run to the store.
fn add_row(daemon: &mut Daemon, name: &str) {
    daemon.store.add_permission(PermissionRecord {
        incarnation: Incarnation(0),
        ..presence(name, "a")
    });
}

/// Adds enough daemons of the zone for at least three to rank before this one.
fn add_others(daemon: &mut Daemon) {
    for n in 0..200 {
        add_row(daemon, &format!("other-{n}"));
    }
}

/// Returns the sessions that were passed on to other daemons, in order.
fn passed_on(daemon: &Daemon) -> Vec<SessionId> {
    let relayed = |effect: &Effect| match effect {
        Effect::Relay { session, .. } => Some(*session),
        _ => None,
    };
    daemon.effects.iter().filter_map(relayed).collect()
}

/// Guards against permissions that come late in a restarting fleet: the store writes the rows of
/// one partition one after the other, so daemons without work must not write theirs at once.
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
    let (own, _) = own.expect("a row of vm-1");
    assert_eq!(own.incarnation, Incarnation(incarnation));
    assert_eq!(own.until > table.now, has_session);
    daemon.advance(3_000);
    let table = daemon.store.permissions(daemon.millis);
    let own = table
        .permissions
        .iter()
        .find(|(row, _)| row.vm == vm("vm-1"));
    assert_eq!(own.expect("a row of vm-1").0.incarnation, Incarnation(1));
}

/// Guards against a gap without a coordinator after a restart: any other daemon has to wait until
/// the permission of the earlier run has ended, for up to 6 s.
#[rstest]
fn restarted_coordinator_takes_over_again_though_it_is_no_home() {
    let mut daemon = just_started();
    add_others(&mut daemon);
    add_row(&mut daemon, "vm-1");
    // These daemons have a permission and would claim the role before this one.
    for n in 0..20 {
        let record = presence(&format!("a-home-{n}"), "a");
        let until = record.alive;
        daemon
            .store
            .add_permission(PermissionRecord { until, ..record });
    }
    let earlier = CoordinatorRecord {
        holder: vm("vm-1"),
        incarnation: Incarnation(0),
    };
    daemon.store.leaders.coordinator = Some((earlier, RowVersion(1)));
    daemon.event(Event::Leaders(daemon.store.leaders.clone()));
    daemon.store_answers = true;
    daemon.advance(300);
    let (coordinator, _) = daemon
        .store
        .leaders
        .coordinator
        .as_ref()
        .expect("a coordinator");
    assert_eq!(coordinator.incarnation, Incarnation(1));
}

/// Guards against exhausted connections at a fleet's start: a daemon that opened connections before
/// it knew the homes would take up some of the few that a server has.
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
    assert_eq!(daemon.state.snapshot().sessions, 1, "served without homes");
    let mut daemon = Daemon::new("a");
    daemon.store_answers = false;
    let session = daemon.open(PAYMENTS);
    daemon.advance(310);
    assert_eq!(daemon.closed, [session], "refused without a configuration");
}

#[rstest]
fn session_of_a_client_that_left_is_not_opened() {
    let mut daemon = just_started();
    let session = daemon.open(PAYMENTS);
    daemon.event(Event::Client(ClientEvent::Closed { session }));
    daemon.advance(400);
    assert_eq!(daemon.state.snapshot().sessions, 0);
}

/// Guards against exhausted connections after a home is lost: if every daemon served that home's
/// sessions by itself, all of them would need connections to the servers.
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
    assert_eq!(daemon.state.snapshot().sessions, 1, "served by this daemon");
}
