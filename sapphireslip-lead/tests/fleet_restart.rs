//! A whole fleet loses power and starts again together, and clients connect at once.

mod support;

use rstest::rstest;
use sapphireslip_core::{Incarnation, SessionId};
use sapphireslip_lead::{
    ClientEvent, CoordinatorRecord, Effect, Event, LeaderRecord, NamedLeader, PermissionRecord,
    RecordKind, RowVersion, StoreWrite, Term,
};
use support::{Daemon, FakeStore, PAYMENTS, catalog, presence, server, service, vm};

/// Returns a daemon that knows the configuration and the servers, and nothing of other daemons.
fn just_started() -> Daemon {
    let mut daemon = Daemon::new("a");
    daemon.store_answers = false;
    daemon.event(Event::Catalog(catalog(1)));
    daemon.read_list();
    daemon
}

/// Returns a daemon that has read nothing but the configuration and the leaders.
fn without_tables() -> Daemon {
    let mut daemon = Daemon::new("a");
    daemon.withholds_lists = true;
    daemon.event(Event::Catalog(catalog(1)));
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
        daemon.open_forwarded(PAYMENTS);
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
    daemon.advance(2_000);
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

/// Guards against sessions that scatter over a fleet that restarts: a home that has not read its tables yet
/// used to refuse them, and they went to daemons that are no homes.
#[rstest]
fn restart_of_all_forwarded_session_waits_for_a_starting_home() {
    let mut daemon = without_tables();
    add_row(&mut daemon, "vm-1");
    daemon.open_forwarded(PAYMENTS);
    daemon.advance(100);
    assert_eq!(
        (daemon.state.snapshot().sessions, &*daemon.closed),
        (0, [].as_slice())
    );
    daemon.read_list();
    daemon.advance(10);
    assert_eq!(daemon.state.snapshot().sessions, 1);
    assert_eq!(daemon.closed, []);
}

#[rstest]
fn restart_of_all_forwarded_session_waits_for_a_limited_time() {
    let mut daemon = without_tables();
    let session = daemon.open_forwarded(PAYMENTS);
    daemon.advance(310);
    assert_eq!(daemon.closed, [session]);
}

/// Guards against homes that are left out by all daemons of a restarting fleet because they started later.
#[rstest]
#[case::home_comes_up(1)]
#[case::home_stays_away(6)]
fn restart_of_all_session_is_offered_again_to_its_home(#[case] refusals: usize) {
    let mut daemon = just_started();
    add_others(&mut daemon);
    daemon.store_answers = true;
    daemon.advance(250);
    let session = daemon.open(PAYMENTS);
    let is_refused = true;
    for _ in 0..refusals {
        daemon.event(Event::Client(ClientEvent::RelayFailed {
            session,
            is_refused,
        }));
        daemon.advance(100);
    }
    let avoided = daemon.records.iter();
    let avoided = avoided.filter(|line| line.kind == RecordKind::DaemonAvoided);
    assert_eq!(avoided.count() > 0, refusals > 3);
    assert_eq!(daemon.state.snapshot().sessions, usize::from(refusals > 3));
}

/// Has a run on a VM take the coordinator's role in the store from the row of a version.
fn take_role(store: &mut FakeStore, holder: &str, incarnation: u64, from: RowVersion) {
    let write = StoreWrite::SetCoordinator {
        record: Some(CoordinatorRecord {
            holder: vm(holder),
            incarnation: Incarnation(incarnation),
        }),
        coordinator_version: from,
        ended: None,
    };
    store.write(0, &write);
}

/// Returns a daemon that starts after all daemons were killed while its service had a leader that
/// was named and not promoted. The coordinator was a run on the VM `holder`.
fn started_with_a_named_leader(holder: &str) -> Daemon {
    let mut store = FakeStore::default();
    take_role(&mut store, holder, 0, RowVersion(0));
    let name = StoreWrite::NameLeaders {
        leaders: vec![NamedLeader {
            service: service(),
            record: LeaderRecord {
                leader: server("s-b"),
                above: Term(1),
            },
            version: RowVersion(0),
        }],
        coordinator_version: RowVersion(1),
        generation: RowVersion(0),
        confirmation: None,
    };
    store.write(0, &name);
    let earlier = |name| PermissionRecord {
        incarnation: Incarnation(0),
        ..presence(name, "a")
    };
    store.add_permission(earlier("vm-1"));
    store.add_permission(earlier("vm-2"));
    assert!(store.leaders.leaders.contains_key(&service()));
    let mut daemon = Daemon::with_store(store);
    daemon.event(Event::Catalog(catalog(1)));
    daemon
}

/// Returns when the daemon took the coordinator's role, and when a server was promoted to a term, in
/// milliseconds.
fn taken_and_promoted(daemon: &mut Daemon, term: Term) -> (u64, u64) {
    let mut taken = None;
    for _ in 0..800 {
        daemon.advance(10);
        let takes = |record: &sapphireslip_lead::Record| {
            record.kind == RecordKind::CoordinatorChanged && record.detail.starts_with("taken")
        };
        if taken.is_none() && daemon.records.iter().any(takes) {
            taken = Some(daemon.millis);
        }
        if daemon
            .group
            .servers
            .iter()
            .any(|server| server.term == term)
        {
            return (taken.expect("a coordinator"), daemon.millis);
        }
    }
    panic!("no server was promoted");
}

/// Guards against writes that stand still for longer than a grant of the killed coordinator may last:
/// 1.5 s, counted from when its next run learns that it was the coordinator. Until then a grant may
/// exist.
#[rstest]
#[case::store_answers_at_once(0)]
#[case::role_taken_late(1_200)]
fn leader_named_before_all_daemons_were_killed_is_promoted_after_the_last_grant(
    #[case] outage_ms: u64,
) {
    let mut daemon = started_with_a_named_leader("vm-1");
    daemon.store_answers = false;
    daemon.advance(outage_ms);
    daemon.store_answers = true;
    let (taken, promoted) = taken_and_promoted(&mut daemon, Term(2));
    assert!(promoted >= 1_550, "promoted after {promoted} ms");
    let grants_end = 1_550.max(taken + 400);
    assert!(
        promoted <= grants_end + 100,
        "taken after {taken} ms, promoted after {promoted} ms"
    );
    let session = daemon.open(PAYMENTS);
    daemon.advance(100);
    assert_eq!(daemon.run(session, "1", "WRITE x 1").failure(), None);
}

/// Guards against a promotion while a daemon relies on a grant of a coordinator on another VM, which
/// may have ended, or given up the role, just before.
#[rstest]
fn grants_of_a_coordinator_on_another_vm_are_waited_out() {
    let mut daemon = started_with_a_named_leader("vm-2");
    let (taken, promoted) = taken_and_promoted(&mut daemon, Term(2));
    assert!(promoted >= taken + 2_000, "{taken}, {promoted}");
}

/// Guards against a promotion while a daemon relies on a grant of a coordinator that had the role
/// between the earlier run on this VM and this one.
#[rstest]
fn grants_of_a_coordinator_in_between_are_waited_out() {
    let mut daemon = started_with_a_named_leader("vm-1");
    let first = daemon.store.leaders.coordinator.clone();
    let (_, first) = first.expect("a coordinator");
    let permitted = PermissionRecord {
        until: daemon.store.now(60_000),
        ..presence("vm-2", "a")
    };
    daemon.store.add_permission(permitted);
    take_role(&mut daemon.store, "vm-2", 1, first);
    // This daemon claims the role from the row that it knows, in vain.
    daemon.advance(300);
    let second = daemon.store.leaders.coordinator.clone();
    let (record, second) = second.expect("a coordinator");
    assert_eq!(record.holder, vm("vm-2"));
    daemon.advance(1_000);
    let resign = StoreWrite::SetCoordinator {
        record: None,
        coordinator_version: second,
        ended: None,
    };
    daemon.store.write(0, &resign);
    let leaders = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(leaders));
    let resigned = daemon.millis;
    let (_, promoted) = taken_and_promoted(&mut daemon, Term(2));
    assert!(promoted >= resigned + 2_000, "{resigned}, {promoted}");
}
