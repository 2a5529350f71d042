//! The replacement of a primary that drains, crashes or can't be reached.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::{
    Effect, ErrorCode, Event, PermissionRecord, Record, RecordKind, StoreTime,
};
use support::{Daemon, PAYMENTS, at, presence, server, service};

#[rstest]
fn draining_primary_hands_over_all_of_its_log() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "WRITE x 1");
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    daemon.advance(1_200);
    daemon.group.replicate();
    daemon.advance(1_000);
    let leader = daemon.group.newest();
    assert_ne!(leader.id, server("s-a"));
    assert_eq!(leader.log.len(), 2, "the new leader has the write");
    daemon.statements();
    assert_eq!(daemon.run(session, "2", "WRITE x 2").failure(), None);
    assert_ne!(daemon.statements()[0].0, "s-a");
}

/// Guards against a promotion while a daemon still works with the old leader: a table of
/// permissions may have been read partly before the leader was named, and lack the row of another
/// daemon, although the row of this daemon is from after the naming.
#[rstest]
fn table_older_than_the_naming_is_no_acknowledgement() {
    let (mut daemon, _) = Daemon::with_session();
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    let older = daemon.store.permissions(daemon.millis).version;
    while daemon.store.leaders.leaders[&service()].0.leader == server("s-a") {
        daemon.advance(10);
    }
    let is_promoted = |daemon: &Daemon| daemon.group.servers.iter().any(|s| s.term.0 > 1);
    assert!(
        !is_promoted(&daemon),
        "no permissions were read after the naming"
    );
    let mut table = daemon.store.permissions(daemon.millis);
    table.version = older;
    for (_, row) in &mut table.permissions {
        row.0 += 1_000;
    }
    let sent = at(daemon.millis);
    daemon.event(Event::Permissions {
        table: Some(table),
        sent,
    });
    daemon.store_answers = false;
    daemon.advance(300);
    let is_early = is_promoted(&daemon);
    assert!(!is_early, "a table from before the naming does not count");
    daemon.store_answers = true;
    daemon.advance(1_000);
    assert!(is_promoted(&daemon));
}

#[rstest]
fn open_transaction_ends_before_the_primary_is_replaced() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    while daemon.store.leaders.leaders[&service()].0.leader == server("s-a") {
        daemon.advance(10);
    }
    daemon.advance(300);
    let is_promoted = |daemon: &Daemon| daemon.group.servers.iter().any(|s| s.term.0 > 1);
    assert!(!is_promoted(&daemon), "the transaction may still end");
    assert_eq!(daemon.run(session, "3", "COMMIT").failure(), None);
    daemon.group.replicate();
    daemon.advance(500);
    assert!(daemon.group.servers.iter().any(|server| server.term.0 == 2));
}

#[rstest]
fn idle_transaction_is_aborted_for_the_handover() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    daemon.advance(2_500);
    daemon.group.replicate();
    daemon.advance(1_000);
    assert!(daemon.group.servers.iter().any(|server| server.term.0 == 2));
    let reply = daemon.run(session, "3", "COMMIT");
    assert_eq!(
        reply.failure().map(|f| f.code.clone()),
        Some(ErrorCode::Aborted)
    );
}

/// Guards against lost writes when replication hangs while the primary is draining.
#[rstest]
fn lagging_replica_does_not_take_over() {
    let (mut daemon, session) = Daemon::with_session();
    for n in 0..30 {
        daemon.run(session, &n.to_string(), "WRITE x 1");
    }
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    daemon.advance(3_000);
    assert_eq!(
        daemon.run(session, "30", "WRITE x 1").failure(),
        None,
        "the primary still serves"
    );
    daemon.group.replicate();
    daemon.advance(1_500);
    let leader = daemon.group.newest();
    assert_ne!(leader.id, server("s-a"));
    assert_eq!(leader.log.len(), 32);
}

/// Guards against the replacement of a primary under load whose answers are lost occasionally.
#[rstest]
fn primary_is_kept_when_single_answers_are_lost() {
    let mut daemon = Daemon::ready();
    let loser = daemon.open(PAYMENTS);
    let session = daemon.open(PAYMENTS);
    for n in 0..40 {
        if n % 10 == 0 {
            daemon.withholds_answers = true;
            daemon.submit(loser, &format!("lost-{n}"), "READ x");
            daemon.withholds_answers = false;
        }
        daemon.run(session, &n.to_string(), "WRITE x 1");
        daemon.advance(100);
    }
    let steps: Vec<_> = daemon
        .records
        .iter()
        .filter(|record| record.kind == RecordKind::Promotion)
        .collect();
    assert_eq!(steps, Vec::<&Record>::new());
}

#[rstest]
fn crashed_primary_is_replaced() {
    let mut daemon = Daemon::ready();
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    daemon.advance(2_000);
    assert!(daemon.group.servers.iter().any(|server| server.term.0 == 2));
}

#[rstest]
fn lost_primary_with_missing_records_is_waited_for() {
    let (mut daemon, session) = Daemon::with_session();
    daemon.run(session, "1", "WRITE x 1");
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    daemon.advance(1_000);
    assert!(
        daemon.group.servers.iter().all(|server| server.term.0 == 1),
        "the lost primary may still come back"
    );
    daemon.group.get_mut(&server("s-a")).is_isolated = false;
    daemon.advance(2_500);
    assert!(
        daemon.group.servers.iter().all(|server| server.term.0 == 1),
        "the primary came back and is kept"
    );
    assert_eq!(daemon.run(session, "2", "WRITE x 2").failure(), None);
}

#[rstest]
fn nothing_is_promoted_during_a_store_outage() {
    let mut daemon = Daemon::ready();
    daemon.store_answers = false;
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    daemon.advance(6_000);
    assert!(daemon.group.servers.iter().all(|server| server.term.0 == 1));
    assert!(
        !daemon
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Promote { .. }))
    );
}

/// Guards against the loss of healthy primaries when a zone of many daemons was cut off: all of them report
/// that they can't reach the primaries of the other zones, whose homes are few.
#[rstest]
#[case::cut_off_zone(["c"].as_slice(), true)]
#[case::lost_to_most_zones([].as_slice(), false)]
fn primary_is_kept_while_most_zones_reach_it(#[case] reached_from: &[&str], #[case] is_kept: bool) {
    let mut daemon = Daemon::ready();
    let report = |name: &str, zone: &str, is_reached: bool| {
        let leader = vec![server("s-a")];
        let (reached, unreachable) = match is_reached {
            true => (leader, Vec::new()),
            false => (Vec::new(), leader),
        };
        PermissionRecord {
            until: StoreTime(Duration::from_secs(500)),
            reached,
            unreachable,
            ..presence(name, zone)
        }
    };
    for n in 0..9 {
        let record = report(&format!("b-{n}"), "b", false);
        daemon.store.add_permission(record);
    }
    let record = report("c-1", "c", reached_from.contains(&"c"));
    daemon.store.add_permission(record);
    daemon.advance(3_000);
    let leader = &daemon.store.leaders.leaders[&service()].0.leader;
    assert_eq!(*leader == server("s-a"), is_kept);
}
