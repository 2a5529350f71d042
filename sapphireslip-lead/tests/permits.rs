//! When a daemon has a permission, and what its row in the store says.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{Incarnation, SessionId};
use sapphireslip_lead::{
    CoordinatorRecord, Effect, Event, PermissionRecord, RowVersion, StoreTime, StoreWrite,
};
use support::{Daemon, PAYMENTS, catalog, presence, vm};

/// Adds a daemon of another zone, with a permission, that could become the coordinator.
fn add_other(daemon: &mut Daemon) {
    let record = presence("vm-0", "b");
    let until = record.alive;
    daemon
        .store
        .add_permission(PermissionRecord { until, ..record });
    daemon.advance(2_500);
}

#[rstest]
fn idle_daemon_has_no_permission() {
    let mut daemon = Daemon::new("a");
    // Without a configuration, the daemon is the home of no service.
    daemon.advance(3_000);
    let table = daemon.store.permissions(daemon.millis);
    let (record, _) = &table.permissions[0];
    assert!(record.until <= table.now, "{:?}", record.until);
    assert!(table.now < record.alive);
}

#[rstest]
fn first_session_requests_a_permission() {
    let mut daemon = Daemon::new("a");
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(100);
    let session = daemon.open(PAYMENTS);
    daemon.advance(2_000);
    assert_eq!(daemon.run(session, "1", "WRITE x 1").failure(), None);
    let table = daemon.store.permissions(daemon.millis);
    assert!(table.permissions[0].0.until > table.now);
}

/// Guards against exhausted connections while a third of the daemons are cut off from the store for
/// long, and servers have fewer connections than there are daemons.
#[rstest]
fn daemon_without_permission_closes_its_connections() {
    let mut daemon = Daemon::ready();
    assert_eq!(daemon.state.snapshot().connections, 3);
    daemon.store_answers = false;
    // The coordinator's permission lasts 6 s. Its connections are unused after 2.3 s without one,
    // and are closed some time later.
    daemon.advance(11_000);
    assert_eq!(daemon.state.snapshot().connections, 0);
    daemon.store_answers = true;
    daemon.advance(1_000);
    assert_eq!(daemon.state.snapshot().connections, 3);
}

/// Guards against an idle daemon that relies on an old leader: its last row counts as an
/// acknowledgement of every change, so it must not rely on an earlier row any more.
#[rstest]
fn permission_ends_when_its_row_is_given_up() {
    let mut daemon = Daemon::new("a");
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(2_000);
    assert!(daemon.state.snapshot().permission_left > Duration::ZERO);
    let mut without = catalog(2);
    without.services.clear();
    without.routes.clear();
    daemon.event(Event::Catalog(without));
    let is_given_up = |daemon: &Daemon| {
        let table = daemon.store.permissions(daemon.millis);
        table.permissions[0].0.until <= StoreTime(table.now.0)
    };
    for _ in 0..1_000 {
        daemon.advance(10);
        if is_given_up(&daemon) {
            break;
        }
    }
    if is_given_up(&daemon) {
        assert_eq!(daemon.state.snapshot().permission_left, Duration::ZERO);
    } else {
        // The daemon is alone, so it is the coordinator and still needs the permission.
        assert!(daemon.state.needs_leaders());
    }
}

/// Guards against grants by a former coordinator: a daemon that has given up the role gives none,
/// even if it has not yet learned that the store has removed its row.
#[rstest]
fn former_coordinator_gives_no_grants() {
    let mut daemon = Daemon::ready();
    add_other(&mut daemon);
    daemon.withholds_lead_changes = true;
    daemon.advance(12_000);
    assert_eq!(
        daemon.store.leaders.coordinator, None,
        "the role was given up for the other zone"
    );
    daemon.event(Event::GrantAsked {
        session: SessionId(77),
        vm: vm("vm-0"),
        generation: daemon.store.leaders.generation,
        servers: Vec::new(),
    });
    let given = daemon.effects.iter().find_map(|effect| match effect {
        Effect::Grant { length, .. } => Some(*length),
        _ => None,
    });
    assert_eq!(given, Some(Duration::ZERO));
}

/// Guards against a permission that outlasts its row: the coordinator's permission is longer than
/// that of other daemons. Once another daemon is the coordinator, the next row is shorter, and the
/// daemon must stop relying on the longer one as soon as it sends that row.
#[rstest]
fn permission_is_no_longer_than_its_row() {
    let mut daemon = Daemon::ready();
    assert!(daemon.state.snapshot().permission_left > Duration::from_secs(3));
    add_other(&mut daemon);
    let other = CoordinatorRecord {
        holder: vm("vm-0"),
        incarnation: Incarnation(1),
    };
    daemon.store.leaders.coordinator = Some((other, RowVersion(1_000)));
    let leaders = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(leaders));
    for _ in 0..300 {
        daemon.advance(10);
        let table = daemon.store.permissions(daemon.millis);
        let own = table
            .permissions
            .iter()
            .find(|(record, _)| record.vm == vm("vm-1"));
        let left = own.expect("a row").0.until.0.saturating_sub(table.now.0);
        let believed = daemon.state.snapshot().permission_left;
        assert!(
            believed <= left,
            "the daemon relies on its permission for {believed:?}, its row lasts {left:?}"
        );
    }
}

/// Has the daemon `vm-2`, with a permission, take the coordinator's role in the store.
fn have_other_take_role(daemon: &mut Daemon) {
    daemon.store.add_permission(PermissionRecord {
        until: daemon.store.now(60_000),
        ..presence("vm-2", "b")
    });
    let (_, role) = daemon.store.leaders.coordinator.clone().expect("a role");
    let record = CoordinatorRecord {
        holder: vm("vm-2"),
        incarnation: Incarnation(1),
    };
    let take = StoreWrite::SetCoordinator {
        record: Some(record),
        coordinator_version: role,
        ended: None,
    };
    daemon.store.write(daemon.millis, &take);
}

/// Returns whether the daemon gives a grant to another one that asks for it.
fn gives_grant(daemon: &mut Daemon) -> bool {
    daemon.event(Event::GrantAsked {
        session: SessionId(900),
        vm: vm("vm-3"),
        generation: daemon.store.leaders.generation,
        servers: Vec::new(),
    });
    let granted = daemon.effects.iter().find_map(|effect| match effect {
        Effect::Grant { length, .. } => Some(!length.is_zero()),
        _ => None,
    });
    granted.expect("an answer")
}

/// Guards against grants of a coordinator that was cut off from the store until another daemon took
/// its role, and that has renewed its permission before it learns of that.
#[rstest]
#[case::role_kept(false)]
#[case::role_lost(true)]
fn coordinator_that_lost_its_role_unnoticed_gives_no_grant(#[case] is_lost: bool) {
    let mut daemon = Daemon::ready();
    daemon.store_answers = false;
    daemon.advance(7_000);
    if is_lost {
        have_other_take_role(&mut daemon);
    }
    daemon.store_answers = true;
    daemon.advance(1_000);
    assert_eq!(gives_grant(&mut daemon), !is_lost);
}

/// Guards against grants of a former coordinator that is handed an earlier table of the leaders last,
/// as reads and watches may overtake each other.
#[rstest]
fn earlier_table_of_leaders_gives_no_role_back() {
    let mut daemon = Daemon::ready();
    let earlier = daemon.store.leaders.clone();
    have_other_take_role(&mut daemon);
    let later = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(later));
    daemon.event(Event::Leaders(earlier));
    assert!(!gives_grant(&mut daemon));
}
