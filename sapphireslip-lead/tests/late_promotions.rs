//! Requests to promote that the platform carries out late, and that another one overtakes.

mod support;

use rstest::rstest;
use sapphireslip_core::ServerId;
use support::{Fleet, service};

/// For how long the new leader is lost, in milliseconds.
const LOST: u64 = 900;

/// The longest time in milliseconds after which a request that got no answer may take effect.
const UNANSWERED_MAX: u64 = 6_000;

/// Drains the primary, and returns the server that the coordinator asks to lead, 100 ms later.
fn ask_for_promotion(fleet: &mut Fleet) -> ServerId {
    fleet.advance(6_000);
    let old = fleet.group.newest().id.clone();
    fleet.set_draining(&old, true);
    let until = fleet.millis + 5_000;
    while !fleet.is_promoting() {
        assert!(fleet.millis < until, "nobody is to be promoted");
        fleet.advance(10);
    }
    fleet.advance(100);
    let (record, _) = fleet.store.leaders.leaders[&service()].clone();
    record.leader
}

/// Guards against acknowledged writes that are lost: the new leader was given up as it didn't answer, another
/// one was promoted and given writes, and then the first request took effect (review/8).
#[rstest]
fn unanswered_promotion_is_waited_for(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(1_500, 3_000, 5_000)] slow: u64,
) {
    let mut fleet = Fleet::new(seed);
    fleet.slow_promotion = Some(slow);
    let new = ask_for_promotion(&mut fleet);
    fleet.slow_promotion = None;
    fleet.group.get_mut(&new).is_isolated = true;
    fleet.advance(LOST);
    fleet.group.get_mut(&new).is_isolated = false;
    fleet.advance(8_000);
    assert_eq!(fleet.violations(), Vec::<String>::new());
    let before = fleet.acknowledged();
    fleet.advance(1_000);
    assert!(fleet.acknowledged() > before + 20);
}

/// Guards against a service that stays without a primary for longer than before although the platform answers: a
/// request that was answered takes effect before any later one.
#[rstest]
fn answered_promotion_delays_no_other_one(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    let new = ask_for_promotion(&mut fleet);
    let began = fleet.millis;
    fleet.group.get_mut(&new).is_isolated = true;
    let before = fleet.acknowledged();
    while fleet.acknowledged() < before + 20 {
        assert!(fleet.millis < began + UNANSWERED_MAX, "no writes");
        fleet.advance(10);
    }
    fleet.advance(1_000);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}
