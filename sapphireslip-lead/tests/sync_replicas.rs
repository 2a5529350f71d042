//! The loss of a primary whose service acknowledges commits once a replica has received them.

mod support;

use rstest::rstest;
use sapphireslip_core::{ServerId, Text};
use sapphireslip_lead::{Event, Term};
use support::{Daemon, PAYMENTS, catalog, server, service};

/// The number of commits that are acknowledged before the primary is lost.
const COMMITS: usize = 40;

/// The longest time in milliseconds until the service has a primary again: the platform's recovery time.
const RECOVERY_MAX: u64 = 12_000;

/// Returns a daemon whose service waits for a number of replicas. Its primary has acknowledged commits
/// that `s-b` has received and `s-c` has not.
fn daemon_with_a_deaf_replica(sync_replicas: usize) -> Daemon {
    let mut daemon = Daemon::ready();
    let mut catalog = catalog(2);
    let spec = catalog.services.get_mut(&service()).expect("a service");
    spec.sync_replicas = sync_replicas;
    daemon.event(Event::Catalog(catalog));
    let session = daemon.open(PAYMENTS);
    for n in 0..COMMITS {
        let reply = daemon.run(session, &n.to_string(), "WRITE x 1");
        assert_eq!(reply.failure(), None);
    }
    copy_log(&mut daemon, "s-a", "s-b");
    daemon
}

/// Has a replica receive the log of another server.
fn copy_log(daemon: &mut Daemon, from: &str, to: &str) {
    let log = daemon.group.get(&server(from)).log.clone();
    daemon.group.get_mut(&server(to)).log = log;
}

/// Has a server answer nothing more.
fn isolate(daemon: &mut Daemon, name: &str) {
    daemon.group.get_mut(&server(name)).is_isolated = true;
    daemon.break_connections(&server(name));
}

/// Lets time pass until a server leads a new term, and returns its name and the time that took.
fn wait_for_primary(daemon: &mut Daemon) -> (ServerId, u64) {
    let began = daemon.millis;
    while daemon.group.newest().term == Term(1) {
        assert!(daemon.millis - began < RECOVERY_MAX, "no new primary");
        daemon.advance(10);
    }
    (daemon.group.newest().id.clone(), daemon.millis - began)
}

/// Returns whether a server has all commits that were acknowledged.
fn has_all(daemon: &Daemon, id: &ServerId) -> bool {
    let log = &daemon.group.get(id).log;
    (0..COMMITS).all(|n| log.iter().any(|(_, id)| *id == Text::from(n.to_string())))
}

/// Guards against acknowledged commits that are lost: a replica that stays and lacks them was promoted
/// before one that leaves and has them all.
#[rstest]
#[case::without_waiting(0, false)]
#[case::for_one_replica(1, true)]
fn leaving_replica_with_all_commits_is_promoted(
    #[case] sync_replicas: usize,
    #[case] is_kept: bool,
) {
    let mut daemon = daemon_with_a_deaf_replica(sync_replicas);
    daemon.group.get_mut(&server("s-b")).is_draining = true;
    daemon.advance(2_000);
    isolate(&mut daemon, "s-a");
    let (primary, _) = wait_for_primary(&mut daemon);
    assert_eq!(has_all(&daemon, &primary), is_kept, "{primary} leads");
    if !is_kept {
        return;
    }
    // It hands over to the replica that stays, once that has received the log.
    daemon.advance(3_000);
    assert_eq!(daemon.group.newest().id, primary);
    daemon.group.replicate();
    daemon.advance(4_000);
    let newest = daemon.group.newest();
    assert_eq!(newest.id, server("s-c"));
    assert!(has_all(&daemon, &newest.id));
}

/// Guards against a choice by what a replica had received earlier: both are deaf in turn.
#[rstest]
fn replica_that_caught_up_last_is_promoted() {
    let mut daemon = daemon_with_a_deaf_replica(1);
    let session = daemon.open(PAYMENTS);
    daemon.run(session, "later", "WRITE x 2");
    copy_log(&mut daemon, "s-a", "s-c");
    daemon.advance(1_000);
    isolate(&mut daemon, "s-a");
    let (primary, _) = wait_for_primary(&mut daemon);
    assert_eq!(primary, server("s-c"));
}

/// Guards against acknowledged commits that are lost because the replica that has them can't be reached
/// for some seconds, and against a service that stays without a primary when that replica is lost too.
#[rstest]
#[case::comes_back(Some(4_000))]
#[case::is_gone(None)]
fn unreachable_replica_is_waited_for(#[case] back_after: Option<u64>) {
    let mut daemon = daemon_with_a_deaf_replica(1);
    daemon.advance(1_000);
    isolate(&mut daemon, "s-b");
    isolate(&mut daemon, "s-a");
    if let Some(back_after) = back_after {
        daemon.advance(back_after);
        assert_eq!(daemon.group.newest().term, Term(1), "promoted too early");
        daemon.group.get_mut(&server("s-b")).is_isolated = false;
    }
    let (primary, _) = wait_for_primary(&mut daemon);
    assert_eq!(has_all(&daemon, &primary), back_after.is_some());
}

/// Guards against acknowledged commits that are lost because the only replica that has them led an earlier
/// term and can't be reached for some seconds: it was taken for the lost primary, by the status that it gave when
/// it led (review/9).
#[rstest]
fn former_primary_is_waited_for_like_any_replica() {
    let mut daemon = daemon_with_a_deaf_replica(1);
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    let (primary, _) = wait_for_primary(&mut daemon);
    assert_eq!(primary, server("s-b"));
    // s-a follows s-b, and s-c receives nothing.
    let deaf = daemon.group.get(&server("s-c")).log.clone();
    daemon.group.replicate();
    daemon.group.get_mut(&server("s-c")).log = deaf;
    daemon.advance(2_000);
    let session = daemon.open(PAYMENTS);
    let reply = daemon.run(session, "later", "WRITE x 2");
    assert_eq!(reply.failure(), None);
    copy_log(&mut daemon, "s-b", "s-a");
    isolate(&mut daemon, "s-a");
    isolate(&mut daemon, "s-b");
    daemon.advance(4_000);
    assert_eq!(daemon.group.newest().term, Term(2), "promoted too early");
    daemon.group.get_mut(&server("s-a")).is_isolated = false;
    daemon.advance(3_000);
    assert_eq!(daemon.group.newest().id, server("s-a"));
}

/// Guards against a replica that is named with the longest log and overtaken before it is promoted.
#[rstest]
fn new_leader_is_chosen_again_if_another_replica_has_more() {
    let mut daemon = daemon_with_a_deaf_replica(1);
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    while daemon.store.leaders.leaders[&service()].0.leader == server("s-a") {
        daemon.advance(10);
    }
    let named = daemon.store.leaders.leaders[&service()].0.leader.clone();
    assert_eq!(named, server("s-b"));
    // Commits of the last moment reach the other replica alone, and the primary is lost.
    let log = &mut daemon.group.get_mut(&server("s-a")).log;
    log.push((Term(1), "last".into()));
    copy_log(&mut daemon, "s-a", "s-c");
    isolate(&mut daemon, "s-a");
    let (primary, _) = wait_for_primary(&mut daemon);
    assert_eq!(primary, server("s-c"));
}
