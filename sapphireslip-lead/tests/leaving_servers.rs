//! Servers that leave: they get no new work once the platform's bound has passed, whatever the
//! daemon has been able to learn meanwhile.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{ServerId, SessionId};
use sapphireslip_lead::{
    CoordinatorRecord, ErrorCode, Event, Freshness, LeaderRecord, LeaderTable, PermissionRecord,
    RowVersion, StayingServers, StoreTime, Term,
};
use support::{
    BALANCES, Daemon, FakeStore, Fleet, ORDERS, PAYMENTS, at, catalog, code, presence, server,
    service, vm,
};

/// The time after which a server that the store lists as draining must get no new work.
const BOUND_MILLIS: u64 = 7_000;

/// Returns the server that is the first primary.
fn primary() -> ServerId {
    server("s-a")
}

/// Returns a daemon whose service has one server, and a session on a database.
fn with_single_server(database: &str) -> (Daemon, SessionId) {
    let mut daemon = Daemon::ready();
    daemon.group.servers.truncate(1);
    daemon.advance(8_000);
    let session = daemon.open(database);
    (daemon, session)
}

/// Has a server be listed as draining just after the daemon has read that it stays; returns the
/// time at which the bound ends.
fn drain(daemon: &mut Daemon, leaving: &ServerId) -> u64 {
    daemon.read_list();
    daemon.group.get_mut(leaving).is_draining = true;
    daemon.millis + BOUND_MILLIS
}

/// Returns the times at which a server got new work at or after `end`.
fn work_from(daemon: &Daemon, leaving: &ServerId, end: u64) -> Vec<u64> {
    let late = daemon.new_work.iter();
    late.filter(|(at, server)| *at >= end && server == leaving)
        .map(|(at, _)| *at)
        .collect()
}

/// Guards against statements at a leaving primary that no other server can replace (incident
/// inc1: its service had lost all replicas, and it was used until it exited).
#[rstest]
#[case::of_a_write(PAYMENTS, &["WRITE x 1"])]
#[case::of_a_read_for_the_primary(PAYMENTS, &["READ x"])]
#[case::of_a_bounded_read(BALANCES, &["READ x"])]
#[case::of_a_read_of_own_writes(ORDERS, &["READ x"])]
#[case::of_a_transaction(PAYMENTS, &["BEGIN", "WRITE x 1"])]
#[case::of_a_reading_transaction(BALANCES, &["BEGIN READ", "READ x"])]
fn leaving_primary_without_replacement_gets_no_late_work(
    #[case] database: &str,
    #[case] texts: &[&str],
) {
    let (mut daemon, session) = with_single_server(database);
    let end = drain(&mut daemon, &primary());
    while daemon.millis < end {
        daemon.advance(10);
    }
    for (n, text) in texts.iter().enumerate() {
        daemon.submit(session, &n.to_string(), text);
    }
    let (_, reply) = daemon.answers.pop().expect("it is refused at once");
    assert_eq!(code(&reply), Some(ErrorCode::Busy));
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Guards against reads that wait and are refused although the leaving primary, which no other
/// server can replace, still takes work (incident inc1: a third of them from the first second on).
#[rstest]
#[case::bounded(BALANCES)]
#[case::of_own_writes(ORDERS)]
fn read_is_served_by_a_leaving_primary_without_replacement(#[case] database: &str) {
    let (mut daemon, session) = with_single_server(database);
    drain(&mut daemon, &primary());
    daemon.advance(2_000);
    assert_eq!(code(&daemon.run(session, "1", "READ x")), None);
}

/// Guards against statements that wait in a queue while the bound passes.
#[rstest]
fn statement_queued_at_a_leaving_primary_is_not_sent_late() {
    let (mut daemon, _) = with_single_server(PAYMENTS);
    let end = drain(&mut daemon, &primary());
    let mut number = 0;
    while daemon.millis < end + 3_000 {
        // Answers come 60 ms late, so that statements wait for one of the server's slots.
        daemon.withholds_answers = true;
        for _ in 0..6 {
            number += 1;
            let session = daemon.open(PAYMENTS);
            daemon.submit(session, &number.to_string(), "WRITE x 1");
        }
        daemon.advance(60);
        daemon.answer_all();
    }
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Guards against the first statement of a transaction whose `BEGIN` was sent in time and answered
/// late.
#[rstest]
fn first_statement_of_a_transaction_is_not_sent_late() {
    let (mut daemon, session) = with_single_server(PAYMENTS);
    let end = drain(&mut daemon, &primary());
    while daemon.millis < end - 550 {
        daemon.advance(10);
    }
    daemon.run(session, "1", "BEGIN");
    daemon.group.get_mut(&primary()).is_isolated = true;
    daemon.submit(session, "2", "WRITE x 1");
    daemon.advance(600);
    daemon.group.get_mut(&primary()).is_isolated = false;
    daemon.answer_all();
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Guards against the first statement of a transaction that a busy server refuses until the bound
/// has passed.
#[rstest]
fn first_statement_that_the_server_was_busy_for_is_not_sent_late() {
    let (mut daemon, session) = with_single_server(PAYMENTS);
    let mut patient = catalog(2);
    let route = patient.routes.get_mut(PAYMENTS).expect("a route");
    route.target_latency = Duration::from_secs(2);
    daemon.event(Event::Catalog(patient));
    let end = drain(&mut daemon, &primary());
    while daemon.millis < end - 310 {
        daemon.advance(10);
    }
    daemon.run(session, "1", "BEGIN");
    daemon.group.get_mut(&primary()).is_busy = true;
    daemon.withholds_answers = true;
    daemon.submit(session, "2", "WRITE x 1");
    while daemon.answers.is_empty() {
        daemon.advance(120);
        daemon.answer_all();
        daemon.withholds_answers = true;
    }
    assert_eq!(code(&daemon.answers[0].1), Some(ErrorCode::Busy));
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Guards against cutting transactions short that began in time: the server still serves them.
#[rstest]
fn transaction_at_a_leaving_primary_may_end_late() {
    let (mut daemon, session) = with_single_server(PAYMENTS);
    let end = drain(&mut daemon, &primary());
    while daemon.millis < end - 1_000 {
        daemon.advance(10);
    }
    daemon.run(session, "1", "BEGIN");
    assert_eq!(code(&daemon.run(session, "2", "WRITE x 1")), None);
    daemon.advance(1_500);
    assert_eq!(code(&daemon.run(session, "3", "WRITE x 2")), None);
    assert_eq!(code(&daemon.run(session, "4", "COMMIT")), None);
}

/// Guards against reads at a replica that left while the daemon could not read the list.
#[rstest]
fn replica_gets_no_late_work_from_a_daemon_without_the_store() {
    let mut daemon = Daemon::ready_in("b");
    let mut stale = catalog(2);
    let route = stale.routes.get_mut(BALANCES).expect("a route");
    route.freshness = Freshness::Bounded(Duration::from_secs(4));
    daemon.event(Event::Catalog(stale));
    let session = daemon.open(BALANCES);
    let end = drain(&mut daemon, &server("s-b"));
    daemon.store_answers = false;
    let mut served = 0;
    for n in 0..1_000 {
        daemon.advance(10);
        if daemon.closed.is_empty() {
            daemon.submit(session, &n.to_string(), "READ x");
        }
        served += daemon
            .answers
            .drain(..)
            .filter(|(_, reply)| code(reply).is_none())
            .count();
    }
    assert!(served > 500, "{served} reads were served without the store");
    assert_eq!(work_from(&daemon, &server("s-b"), end), []);
}

/// Returns a daemon that works with no server, as another one of its zone is the home and the
/// coordinator, just after it has read the list of servers.
fn idle_daemon() -> Daemon {
    for n in 0..200 {
        let other = PermissionRecord {
            until: StoreTime(Duration::from_secs(600)),
            reached: vec![primary()],
            ..presence(&format!("other-{n}"), "a")
        };
        let mut daemon = Daemon::new("a");
        let coordinator = CoordinatorRecord {
            holder: other.vm.clone(),
            incarnation: other.incarnation,
        };
        let leader = LeaderRecord {
            leader: primary(),
            above: Term(0),
        };
        daemon.store.add_permission(other);
        daemon.store.leaders = LeaderTable {
            generation: RowVersion(1),
            leaders: BTreeMap::from([(service(), (leader, RowVersion(1)))]),
            coordinator: Some((coordinator, RowVersion(1))),
            ..LeaderTable::default()
        };
        daemon.event(Event::Leaders(daemon.store.leaders.clone()));
        daemon.event(Event::Catalog(catalog(1)));
        daemon.advance(20_000);
        if daemon.state.needs_leaders() {
            continue; // this daemon is the home
        }
        while daemon.state.snapshot().servers_age > Duration::ZERO {
            daemon.advance(10);
        }
        return daemon;
    }
    panic!("no name of 200 ranks the other daemon as the home");
}

/// Guards against work by a list that a daemon read while it worked with no server, which it does
/// less often than the bound.
#[rstest]
#[case::is_draining(|daemon: &mut Daemon| daemon.group.get_mut(&primary()).is_draining = true)]
#[case::is_unlisted(|daemon: &mut Daemon| daemon.group.get_mut(&primary()).is_unlisted = true)]
fn daemon_that_begins_to_work_uses_no_server_that(#[case] leave: fn(&mut Daemon)) {
    let mut daemon = idle_daemon();
    leave(&mut daemon);
    let end = daemon.millis + BOUND_MILLIS;
    daemon.advance(BOUND_MILLIS + 2_000);
    let session = daemon.open_forwarded(PAYMENTS);
    daemon.submit(session, "1", "WRITE x 1");
    daemon.advance(1_000);
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Guards against a server that stays in use for ever because each rare read of the list counts as
/// the first one after an outage.
#[rstest]
fn unlisted_server_is_forgotten_by_an_idle_daemon() {
    let mut daemon = idle_daemon();
    daemon.group.get_mut(&server("s-c")).is_unlisted = true;
    daemon.advance(40_000);
    assert_eq!(daemon.state.snapshot().servers, 2);
}

/// Guards against work by a daemon that starts after a server has said that it leaves, and can't
/// know when that was.
#[rstest]
fn daemon_that_starts_gives_a_leaving_server_no_work() {
    let mut daemon = Daemon::new("a");
    daemon.group.servers.truncate(1);
    daemon.group.get_mut(&primary()).is_draining = true;
    daemon.event(Event::Catalog(catalog(1)));
    let session = daemon.open(PAYMENTS);
    for n in 0..10 {
        daemon.advance(1_000);
        daemon.submit(session, &n.to_string(), "WRITE x 1");
    }
    assert_eq!(daemon.new_work, []);
}

/// Guards against refusals after an outage of the store that was longer than the bound: rows of
/// servers have lapsed in it and are back only a moment later.
#[rstest]
fn rows_that_lapsed_in_an_outage_stop_no_work() {
    let (mut daemon, _) = Daemon::with_session();
    daemon.store_answers = false;
    daemon.advance(BOUND_MILLIS + 2_000);
    daemon.store_answers = true;
    for server in &mut daemon.group.servers {
        server.is_unlisted = true;
    }
    daemon.advance(600);
    for n in 0..15 {
        let session = daemon.open(PAYMENTS);
        let reply = daemon.run(session, &n.to_string(), "WRITE x 1");
        assert_eq!(code(&reply), None, "{reply:?}");
        daemon.advance(100);
    }
    daemon.advance(5_000);
    let session = daemon.open(PAYMENTS);
    let reply = daemon.run(session, "last", "WRITE x 1");
    assert_eq!(code(&reply), Some(ErrorCode::Busy), "the servers are gone");
}

/// Guards against an answer to an earlier read of the list that overtakes a later one.
#[rstest]
fn late_answer_with_an_older_list_changes_nothing() {
    let mut daemon = Daemon::ready();
    daemon.advance(1_000);
    let (older, sent) = (daemon.group.records(), at(daemon.millis));
    daemon.advance(20);
    daemon.group.get_mut(&primary()).is_draining = true;
    for (list, sent) in [(daemon.group.records(), at(daemon.millis)), (older, sent)] {
        let list = Some(list);
        daemon.event(Event::Servers { list, sent });
    }
    assert_eq!(daemon.state.snapshot().leaving_leaders, 1);
}

/// Guards against statements that wait for a list that does not come.
#[rstest]
fn statement_is_refused_at_once_while_the_list_can_not_be_read() {
    let (mut daemon, _) = with_single_server(PAYMENTS);
    daemon.withholds_lists = true;
    daemon.advance(BOUND_MILLIS);
    let session = daemon.open(PAYMENTS);
    assert_eq!(
        code(&daemon.run(session, "1", "WRITE x 1")),
        Some(ErrorCode::Busy)
    );
}

/// Guards against work at a server that is gone, if a store that is away again and again makes each
/// list look like the first one after an outage.
#[rstest]
fn server_that_is_gone_gets_no_work_while_the_store_comes_and_goes() {
    let (mut daemon, _) = with_single_server(PAYMENTS);
    daemon.group.get_mut(&primary()).is_unlisted = true;
    let end = daemon.millis + BOUND_MILLIS;
    for n in 0..10 {
        daemon.store_answers = false;
        daemon.advance(2_600);
        daemon.store_answers = true;
        daemon.advance(500);
        let session = daemon.open(PAYMENTS);
        daemon.submit(session, &n.to_string(), "WRITE x 1");
        daemon.advance(100);
    }
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Writes the only server's row as its report of this number in its life `born`.
fn report(daemon: &mut Daemon, is_draining: bool, sequence: u64, born: u64) {
    let listed = daemon.group.get_mut(&primary());
    (listed.is_draining, listed.sequence, listed.born) = (is_draining, sequence, born);
}

/// Guards against work at a server that leaves, if the store comes back from a copy in which it stays
/// (issue 20, point 3; third review, `drain-and-drill`).
#[rstest]
#[case::copy_of_an_earlier_report(true, Some(3), false)]
#[case::copy_with_the_same_count(true, Some(4), false)]
#[case::copy_without_the_row(true, None, false)]
#[case::coordinator_that_knows_only_the_copy(true, Some(3), true)]
#[case::report_that_no_daemon_has_read(false, Some(3), false)]
fn server_that_leaves_gets_no_late_work_after_a_return(
    #[case] is_read: bool,
    #[case] copied: Option<u64>,
    #[case] is_granted: bool,
) {
    let mut daemon = Daemon::with_store(FakeStore::with_copies());
    daemon.group.servers.truncate(1);
    daemon.event(Event::Catalog(catalog(1)));
    report(&mut daemon, false, 3, 1);
    daemon.advance(8_000);
    report(&mut daemon, true, 4, 1);
    let end = daemon.millis + BOUND_MILLIS;
    if is_read {
        daemon.advance(2_000);
    }
    daemon.store_answers = false;
    daemon.advance(1_000);
    daemon.store.return_from_copy(daemon.millis, 3_500);
    daemon.event(Event::StoreEra(daemon.store.era()));
    daemon.store_answers = true;
    match copied {
        Some(sequence) => report(&mut daemon, false, sequence, 1),
        None => daemon.group.get_mut(&primary()).is_unlisted = true,
    }
    daemon.advance(1_200);
    daemon.group.get_mut(&primary()).is_unlisted = false;
    if is_granted {
        daemon.event(Event::Granted {
            generation: RowVersion::default(),
            staying: StayingServers {
                age: Duration::ZERO,
                servers: vec![primary()],
            },
            length: Duration::ZERO,
            sent: at(daemon.millis),
        });
    }
    report(&mut daemon, true, 5, 1);
    let mut served = 0;
    for n in 0..100 {
        daemon.advance(100);
        let session = daemon.open(PAYMENTS);
        daemon.submit(session, &n.to_string(), "WRITE x 1");
        let answers = daemon.answers.drain(..);
        served += answers.filter(|(_, reply)| code(reply).is_none()).count();
    }
    assert!(served > 10, "{served} writes were served within the bound");
    assert_eq!(work_from(&daemon, &primary(), end), []);
}

/// Guards against a server that gets no work although it says that it stays, after it had said otherwise.
#[rstest]
#[case::later_report(5, 1)]
#[case::later_life(1, 2)]
fn server_that_stays_after_all_gets_work(#[case] sequence: u64, #[case] born: u64) {
    let (mut daemon, session) = with_single_server(PAYMENTS);
    report(&mut daemon, true, 4, 1);
    daemon.advance(BOUND_MILLIS);
    let refused = daemon.run(session, "1", "WRITE x 1");
    assert_eq!(code(&refused), Some(ErrorCode::Busy));
    report(&mut daemon, false, sequence, born);
    daemon.advance(2_000);
    assert_eq!(code(&daemon.run(session, "2", "WRITE x 1")), None);
}

/// Starts or ends one random fault, or has a server leave or stay.
fn toggle_fault_or_leave(fleet: &mut Fleet) {
    let n = fleet.random(3) as usize;
    let id = server(["s-a", "s-b", "s-c"][fleet.random(3) as usize]);
    match fleet.random(6) {
        0 => fleet.store_is_down = !fleet.store_is_down,
        1 => fleet.daemons[n].is_cut_from_store = !fleet.daemons[n].is_cut_from_store,
        2 => fleet.daemons[n].is_frozen = !fleet.daemons[n].is_frozen,
        3 => fleet.daemons[n].toggle_cut(id),
        _ => {
            let is_draining = fleet.group.get(&id).is_draining;
            fleet.set_draining(&id, !is_draining);
        }
    }
}

/// Guards against new work at leaving servers while daemons lose the store, servers or time.
#[rstest]
fn random_faults_bring_no_late_work(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut fleet = Fleet::new(seed);
    fleet.advance(3_000);
    for _ in 0..40 {
        toggle_fault_or_leave(&mut fleet);
        let pause = 200 + fleet.random(3_500);
        fleet.advance(pause);
    }
    assert_eq!(fleet.first_late_work(BOUND_MILLIS), None);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Returns three daemons around one server, of which only the coordinator reaches the store.
fn fleet_on_grants() -> Fleet {
    let mut fleet = Fleet::new(5);
    fleet.group.servers.truncate(1);
    fleet.advance(3_000);
    let coordinator = fleet.store.leaders.coordinator.clone();
    let (coordinator, _) = coordinator.expect("a coordinator");
    for n in (0..3).filter(|n| vm(&format!("vm-{n}")) != coordinator.holder) {
        fleet.daemons[n].is_cut_from_store = true;
    }
    fleet.advance(300);
    fleet
}

/// Guards against refused writes at daemons that the store turns away for longer than the bound:
/// the coordinator tells them which servers stay.
#[rstest]
fn daemons_on_grants_serve_for_longer_than_the_bound() {
    let mut fleet = fleet_on_grants();
    fleet.advance(BOUND_MILLIS + 2_000);
    for n in 0..3 {
        let before = fleet.acknowledged_by(n);
        fleet.advance(1_000);
        let acknowledged = fleet.acknowledged_by(n) - before;
        assert!(acknowledged >= 5, "daemon {n} acknowledged {acknowledged}");
    }
}

/// Guards against a server that leaves while daemons depend on the coordinator's grants.
#[rstest]
fn daemons_on_grants_bring_no_late_work() {
    let mut fleet = fleet_on_grants();
    fleet.set_draining(&primary(), true);
    fleet.advance(14_000);
    assert_eq!(fleet.first_late_work(BOUND_MILLIS), None);
}
