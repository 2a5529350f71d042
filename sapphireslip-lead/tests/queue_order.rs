//! The order in which waiting statements are sent.

mod support;

use rstest::rstest;
use sapphireslip_lead::{Event, Role};
use support::{Daemon, PAYMENTS, server};

/// A refusal starts the next statement that its client has pipelined. That statement must not
/// overtake those that have waited for longer.
#[rstest]
fn statement_pipelined_behind_a_refused_one_waits_its_turn() {
    let mut daemon = Daemon::ready();
    let first = daemon.open(PAYMENTS);
    let second = daemon.open(PAYMENTS);
    // The primary says that it does not lead, and the store does not answer the coordinator.
    daemon.store_answers = false;
    daemon.group.get_mut(&server("s-a")).role = Role::Replica;
    daemon.submit(first, "1", "WRITE refused 1");
    daemon.submit(first, "2", "WRITE pipelined 1");
    daemon.advance(200);
    daemon.submit(second, "3", "WRITE waiting 1");
    daemon.advance(190);
    daemon.millis += 10;
    // The wait for the primary ends while the queue is run, not by a tick.
    daemon.event(Event::Leaders(daemon.store.leaders.clone()));
    let (refused, reply) = daemon
        .answers
        .pop()
        .expect("the first statement is refused");
    assert_eq!(refused, first);
    assert!(reply.failure().is_some(), "{reply:?}");
    daemon.statements();
    daemon.group.get_mut(&server("s-a")).role = Role::Primary;
    daemon.advance(60);
    let sent: Vec<_> = daemon
        .statements()
        .into_iter()
        .map(|(_, text)| text)
        .collect();
    assert_eq!(sent, ["WRITE waiting 1", "WRITE pipelined 1"]);
}
