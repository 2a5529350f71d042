//! Rows of the store that can't be read: what daemons still do, and what they wait for.

mod support;

use std::collections::BTreeMap;

use rstest::rstest;
use sapphireslip_core::Incarnation;
use sapphireslip_lead::{
    CatalogWatch, CoordinatorRecord, Event, PermissionRecord, RecordKind, Role, RowVersion,
    StoreTime, Term, UnreadableRow,
};
use support::{Daemon, PAYMENTS, presence, server, service, vm};

/// The longest time, in milliseconds, for which a permission in a row may last that can't be read.
const PERMISSION_MAX: u64 = 9_000;

/// Returns whether a server other than the first primary was promoted.
fn has_promoted(daemon: &Daemon) -> bool {
    daemon.group.servers.iter().any(|server| server.term.0 > 1)
}

/// Lets time pass until a condition holds, at most `max` milliseconds, and returns how long that took.
fn wait(daemon: &mut Daemon, max: u64, is_met: impl Fn(&Daemon) -> bool) -> Option<u64> {
    let began = daemon.millis;
    while daemon.millis - began < max {
        daemon.advance(10);
        if is_met(daemon) {
            return Some(daemon.millis - began);
        }
    }
    None
}

/// Guards against primaries that are never replaced for one odd row, and against a promotion while a
/// daemon works with the old primary under a permission that its row, since overwritten, gave it.
#[rstest]
#[case::row_of_a_daemon("vm-7", true)]
#[case::no_such_row("", false)]
fn promotion_waits_for_a_permission_that_cannot_be_read(
    #[case] spoiled: &str,
    #[case] is_delayed: bool,
) {
    let (mut daemon, _) = Daemon::with_session();
    if is_delayed {
        daemon.store.spoil_permission(&vm(spoiled));
    }
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    let took = wait(&mut daemon, 20_000, has_promoted).expect("the primary is replaced");
    assert_eq!(took >= PERMISSION_MAX, is_delayed, "after {took} ms");
}

/// Guards against a daemon that goes without its permission because another writer overwrote its row.
#[rstest]
fn overwritten_row_is_written_anew() {
    let (mut daemon, session) = Daemon::with_session();
    let own = daemon.vm();
    daemon.store.spoil_permission(&own);
    daemon.advance(1_500);
    let table = daemon.store.permissions(daemon.millis);
    assert_eq!(table.unreadable, []);
    assert_eq!(table.permissions.len(), 1);
    assert_eq!(daemon.run(session, "1", "WRITE x 1").failure(), None);
}

/// Guards against a role that is never taken over, and against one that is taken over while its holder
/// may still name leaders: the holder's row was overwritten, and the holder is gone.
#[rstest]
fn role_of_a_coordinator_with_an_unreadable_row_is_taken_over() {
    let mut daemon = Daemon::new("a");
    let holder = vm("vm-0");
    daemon.store.add_permission(PermissionRecord {
        until: StoreTime(std::time::Duration::from_secs(600)),
        ..presence("vm-0", "b")
    });
    let record = CoordinatorRecord {
        holder: holder.clone(),
        incarnation: Incarnation(1),
    };
    daemon.store.leaders.coordinator = Some((record, RowVersion(1)));
    let leaders = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(leaders));
    daemon.event(Event::Catalog(support::catalog(1)));
    daemon.advance(1_000);
    daemon.open(PAYMENTS);
    daemon.store.spoil_permission(&holder);
    let is_taken = |daemon: &Daemon| {
        let coordinator = daemon.store.leaders.coordinator.as_ref();
        coordinator.is_some_and(|(record, _)| record.holder == daemon.vm())
    };
    let took = wait(&mut daemon, 20_000, is_taken).expect("the role is taken over");
    assert!(took >= PERMISSION_MAX, "after {took} ms");
}

/// Tells the daemon of the leaders that the store names.
fn tell_leaders(daemon: &mut Daemon) {
    let leaders = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(leaders));
}

/// Guards against a service without a leader, and against a table that is followed no longer, for one odd
/// row among the leaders.
#[rstest]
fn overwritten_leader_is_kept_and_written_anew() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.store.spoil_leader(&service());
    tell_leaders(&mut daemon);
    assert_eq!(daemon.run(session, "1", "WRITE x 1").failure(), None);
    daemon.advance(1_000);
    assert_eq!(daemon.store.leaders.unreadable, BTreeMap::new());
    let (record, _) = &daemon.store.leaders.leaders[&service()];
    assert_eq!(record.leader, server("s-a"));
    assert_eq!(daemon.run(session, "2", "WRITE x 2").failure(), None);
    assert!(!has_promoted(&daemon));
}

/// Guards against writes at a replaced primary that still takes itself for one: the row that named its
/// successor was overwritten before this daemon started.
#[rstest]
fn leader_with_an_unreadable_row_is_found_by_its_log() {
    let mut daemon = Daemon::ready();
    let log = daemon.group.get(&server("s-a")).log.clone();
    let successor = daemon.group.get_mut(&server("s-b"));
    (successor.role, successor.term) = (Role::Primary, Term(6));
    successor.log = [log, vec![(Term(6), "later".into())]].concat();
    let mut store = std::mem::take(&mut daemon.store);
    store.spoil_leader(&service());
    store.leaders.coordinator = None;
    let group = daemon.group.clone();
    let mut daemon = Daemon::with_store(store);
    daemon.group = group;
    daemon.event(Event::Catalog(support::catalog(1)));
    let is_named = |daemon: &Daemon| daemon.store.leaders.leaders.contains_key(&service());
    wait(&mut daemon, 20_000, is_named).expect("a leader is named");
    let (record, _) = &daemon.store.leaders.leaders[&service()];
    assert_eq!(record.leader, server("s-b"));
}

/// Guards against a fleet without a coordinator, and against two of them, after the row of the role was
/// overwritten: its holder no longer counts on it, and it is taken once any holder's permission has ended.
#[rstest]
fn role_with_an_unreadable_row_is_taken_anew() {
    let (mut daemon, _) = Daemon::with_session();
    daemon.store.spoil_role();
    tell_leaders(&mut daemon);
    let is_taken = |daemon: &Daemon| daemon.store.leaders.coordinator.is_some();
    let took = wait(&mut daemon, 20_000, is_taken).expect("the role is taken");
    assert!(took >= PERMISSION_MAX, "after {took} ms");
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    wait(&mut daemon, 20_000, has_promoted).expect("primaries are replaced again");
}

/// Guards against a log that grows with each read of a table, and with the size of an odd row.
#[rstest]
fn unreadable_row_is_logged_once() {
    let mut daemon = Daemon::ready();
    let row = |fault: &str| UnreadableRow {
        key: "i-9".into(),
        version: RowVersion(7),
        fault: fault.into(),
    };
    let long = "é".repeat(1 << 20);
    for rows in [
        vec![row("no zone")],
        vec![row("no zone")],
        vec![row(&long)],
        vec![],
        vec![row("no zone")],
    ] {
        daemon.event(Event::UnreadableServers(rows));
    }
    let lines = daemon.records.iter();
    let lines: Vec<_> = lines
        .filter(|line| line.kind == RecordKind::RowIgnored)
        .collect();
    assert_eq!(lines.len(), 3);
    assert!(lines.iter().all(|line| line.detail.len() < 250));
}

/// Guards against a configuration that is not followed without a word in the log.
#[rstest]
fn unreadable_configuration_is_logged_once_and_the_one_before_stays() {
    let (mut daemon, session) = Daemon::with_session();
    for is_valid in [false, false, true, false] {
        let at = support::at(daemon.millis);
        daemon.event(Event::CatalogWatch(CatalogWatch::Answered { at, is_valid }));
    }
    let lines = daemon.records.iter();
    let lines = lines.filter(|line| line.kind == RecordKind::RowIgnored);
    assert_eq!(lines.count(), 2);
    assert_eq!(daemon.run(session, "1", "WRITE x 1").failure(), None);
}
