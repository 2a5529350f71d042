//! The store comes back from an older copy of its rows, which takes back permissions, the role of the
//! coordinator and leaders that it had acknowledged.

mod support;

use rstest::rstest;
use sapphireslip_lead::{Event, Term};
use support::{Daemon, FakeStore, Fleet, catalog, server, vm};

/// The pause before the store goes away, in milliseconds: the coordinator's role has come to rest.
const CALM: u64 = 16_000;

/// For how long the store is away, in milliseconds.
const AWAY: u64 = 500;

/// How old the copy is when the store goes away, in milliseconds.
const COPY_AGE: u64 = 5_000;

/// When permissions from before the return have ended, so that only later ones let writes through, in
/// milliseconds.
const SERVED_WITHIN: u64 = 2_000;

/// The longest time without a replacement of the primary after a return, in milliseconds: the longest
/// permission of an earlier era, and the usual time of a replacement.
const REPLACED_WITHIN: u64 = 11_000;

/// Takes the store away and has it come back from a copy.
fn return_from_copy(fleet: &mut Fleet) {
    fleet.store_is_down = true;
    fleet.advance(AWAY);
    fleet.return_store(AWAY + COPY_AGE);
}

/// Has the present primary be listed as draining.
fn drain_primary(fleet: &mut Fleet) {
    let primary = fleet.group.newest().id.clone();
    fleet.set_draining(&primary, true);
}

/// Lets time pass until a number of promotions have taken effect; panics after `within` milliseconds.
fn wait_for_promotions(fleet: &mut Fleet, promotions: usize, within: u64) {
    let end = fleet.millis + within;
    while fleet.promotions < promotions {
        assert!(fleet.millis < end, "{} promotions", fleet.promotions);
        fleet.advance(10);
    }
}

/// Returns the index of the coordinator.
fn coordinator(fleet: &Fleet) -> usize {
    let (record, _) = fleet.store.leaders.coordinator.clone().expect("one");
    let is_holder = |n: &usize| record.holder == vm(&format!("vm-{n}"));
    (0..3).find(is_holder).expect("a daemon")
}

/// Asserts that a fleet has broken no guarantee.
fn assert_safe(fleet: &Fleet) {
    assert_eq!(fleet.violations(), Vec::<String>::new());
    assert!(!fleet.has_lower_token(), "a lower fencing token was sent");
}

/// Guards against a fleet that serves nothing until it is restarted, as the store has lost the naming of
/// the primary and its generation is older than the one that the daemons know (review/7).
#[rstest]
fn replaced_primary_serves_on_after_a_return(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    fleet.advance(CALM);
    drain_primary(&mut fleet);
    wait_for_promotions(&mut fleet, 1, 5_000);
    fleet.advance(800);
    return_from_copy(&mut fleet);
    for wait in [0, SERVED_WITHIN, REPLACED_WITHIN] {
        fleet.advance(wait);
        let before = fleet.acknowledged();
        fleet.advance(1_000);
        let acknowledged = fleet.acknowledged() - before;
        assert!(acknowledged > 20, "{acknowledged} writes in a second");
    }
    assert_eq!(fleet.promotions, 1);
    assert_safe(&fleet);
}

/// Guards against two coordinators: the store turns the first one away, and the copy shows its permission as
/// ended while it still relies on it (review/6).
#[rstest]
fn turned_away_coordinator_is_waited_for_after_a_return(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut fleet = Fleet::new(seed);
    fleet.advance(CALM);
    let holder = coordinator(&fleet);
    fleet.daemons[holder].is_cut_from_store = true;
    return_from_copy(&mut fleet);
    drain_primary(&mut fleet);
    wait_for_promotions(&mut fleet, 1, REPLACED_WITHIN);
    fleet.daemons[holder].is_cut_from_store = false;
    let before = fleet.acknowledged();
    fleet.advance(4_000);
    assert!(fleet.acknowledged() > before + 20);
    assert_safe(&fleet);
}

/// Guards against writes that stop at a return although nothing has been lost that matters.
#[rstest]
fn return_alone_stops_no_writes(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    fleet.advance(CALM);
    for _ in 0..2 {
        return_from_copy(&mut fleet);
        for _ in 0..6 {
            let before = fleet.acknowledged();
            fleet.advance(500);
            let acknowledged = fleet.acknowledged() - before;
            assert!(acknowledged >= 9, "{acknowledged} writes in half a second");
        }
    }
    assert_eq!(fleet.promotions, 0);
    assert_safe(&fleet);
}

/// Guards against a primary that is not replaced after a return, as the rows that would show that all
/// daemons have left it are gone: those of the last seconds, and once all of them.
#[rstest]
fn lost_primary_is_replaced_after_a_return(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(COPY_AGE, 60_000)] age: u64,
) {
    let mut fleet = Fleet::new(seed);
    fleet.advance(CALM);
    fleet.store_is_down = true;
    fleet.advance(AWAY);
    fleet.return_store(AWAY + age);
    let primary = fleet.group.newest().id.clone();
    fleet.group.get_mut(&primary).is_isolated = true;
    wait_for_promotions(&mut fleet, 1, REPLACED_WITHIN);
    let before = fleet.acknowledged();
    fleet.advance(2_000);
    assert!(fleet.acknowledged() > before + 20);
    assert_safe(&fleet);
}

/// Returns a daemon that starts with the store of another one.
fn start_after(earlier: &Daemon) -> Daemon {
    let store = earlier.store.for_later_daemons(earlier.millis);
    let mut daemon = Daemon::with_store(store);
    daemon.event(Event::Catalog(catalog(1)));
    daemon
}

/// Guards against a daemon that takes the copy's leaders when it starts, as others may know later ones, and
/// against one that waits for that in an era that has lasted long.
#[rstest]
fn daemon_that_starts_after_a_return_learns_how_long_ago_it_was() {
    let mut daemon = Daemon::with_store(FakeStore::with_copies());
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(2_000);
    daemon.store.return_from_copy(daemon.millis, 1_000);
    let mut early = start_after(&daemon);
    early.advance(8_000);
    assert!(!early.state.is_ready(), "the leaders are not confirmed");
    early.advance(3_000);
    assert!(early.state.is_ready(), "earlier permissions have ended");

    daemon.advance(10_000);
    let mut late = start_after(&daemon);
    late.advance(2_000);
    assert!(late.state.is_ready(), "the leaders are confirmed");
    late.group.get_mut(&server("s-a")).is_isolated = true;
    late.break_connections(&server("s-a"));
    late.advance(5_000);
    assert_eq!(late.group.newest().term, Term(2), "a primary is promoted");
}
