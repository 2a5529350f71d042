//! Work at a leader that has been replaced, when the daemon gets a permission for the new leaders.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{Incarnation, ServerId, SessionId};
use sapphireslip_lead::{
    CoordinatorRecord, ErrorCode, Event, LeaderRecord, NamedLeader, RowVersion, StayingServers,
    StoreWrite, Term, WriteOutcome,
};
use support::{Daemon, PAYMENTS, at, code, presence, server, service, vm};

/// Returns a daemon that has lost the store for so long that its permission has ended, with a session
/// that has run `before`, and has sent `running` shortly before the end. Another daemon is the
/// coordinator.
fn daemon_without_permission(before: &[&str], running: Option<&str>) -> (Daemon, SessionId) {
    let mut daemon = Daemon::ready();
    let other = CoordinatorRecord {
        holder: vm("vm-0"),
        incarnation: Incarnation(1),
    };
    daemon.store.add_permission(presence("vm-0", "b"));
    daemon.store.leaders.coordinator = Some((other, RowVersion(1_000)));
    let leaders = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(leaders));
    daemon.advance(1_000);
    let session = daemon.open(PAYMENTS);
    for (n, statement) in before.iter().enumerate() {
        daemon.run(session, &n.to_string(), statement);
    }
    daemon.store_answers = false;
    let left = |daemon: &Daemon| daemon.state.snapshot().permission_left;
    while left(&daemon) > Duration::from_millis(50) {
        daemon.advance(10);
    }
    daemon.withholds_answers = true;
    if let Some(running) = running {
        daemon.submit(session, "running", running);
    }
    while left(&daemon) > Duration::ZERO {
        daemon.advance(10);
    }
    (daemon, session)
}

/// Has the coordinator name `leader`, which leads the next term, and tells the daemon.
fn replace_leader(daemon: &mut Daemon, leader: &ServerId) {
    let leaders = &daemon.store.leaders;
    let newest = daemon.group.newest().term;
    let named = NamedLeader {
        service: service(),
        record: LeaderRecord {
            leader: leader.clone(),
            above: newest,
        },
        version: leaders.leaders[&service()].1,
    };
    let write = StoreWrite::NameLeaders {
        leaders: vec![named],
        coordinator_version: leaders.coordinator.as_ref().expect("a coordinator").1,
        generation: leaders.generation,
        confirmation: None,
    };
    let outcome = daemon.store.write(daemon.millis, &write);
    assert!(matches!(outcome, WriteOutcome::Done { .. }), "{outcome:?}");
    // The server may have led before, so that promoting it anew is another term.
    let replaced = daemon.group.get_mut(leader);
    replaced.role = sapphireslip_lead::Role::Primary;
    replaced.term = Term(newest.0 + 1);
    let leaders = daemon.store.leaders.clone();
    daemon.event(Event::Leaders(leaders));
}

/// Has the coordinator grant the daemon a permission for the leaders that the store names.
fn grant(daemon: &mut Daemon) {
    let generation = daemon.store.leaders.generation;
    let staying = StayingServers {
        age: Duration::ZERO,
        servers: ["s-a", "s-b", "s-c"].map(server).to_vec(),
    };
    daemon.event(Event::Granted {
        generation,
        staying,
        length: Duration::from_millis(1_500),
        sent: at(daemon.millis),
    });
    assert!(daemon.state.snapshot().permission_left > Duration::ZERO);
}

/// Guards against an acknowledged commit that is rolled back: a daemon that the store turned away
/// learned of the new leader, got a grant before its work at the old one had ended, and acknowledged
/// the old one's commits under it.
#[rstest]
#[case::open_transaction(&["BEGIN", "WRITE x 1"], None, ErrorCode::Aborted)]
#[case::running_commit(&["BEGIN", "WRITE x 1"], Some("COMMIT"), ErrorCode::InDoubt)]
#[case::running_write(&[], Some("WRITE x 1"), ErrorCode::InDoubt)]
fn grant_ends_work_at_replaced_leader(
    #[case] before: &[&str],
    #[case] running: Option<&str>,
    #[case] expected: ErrorCode,
    #[values("s-b", "s-a")] leader: &str,
) {
    let (mut daemon, session) = daemon_without_permission(before, running);
    replace_leader(&mut daemon, &server(leader));
    grant(&mut daemon);
    daemon.answer_all();
    if running.is_none() {
        daemon.submit(session, "later", "COMMIT");
    }
    let codes: Vec<_> = daemon
        .answers
        .iter()
        .map(|(_, reply)| code(reply))
        .collect();
    assert_eq!(codes, [Some(expected)]);
}

/// Guards against a fix that costs service: a grant ends no work where the leader is the same.
#[rstest]
fn grant_for_the_same_leader_lets_transactions_go_on() {
    let (mut daemon, session) = daemon_without_permission(&["BEGIN", "WRITE x 1"], None);
    grant(&mut daemon);
    daemon.answer_all();
    assert_eq!(code(&daemon.run(session, "later", "COMMIT")), None);
}
