//! Random network cuts, freezes and store outages around three daemons: no write is acknowledged by
//! a superseded primary, and no read at a primary misses an acknowledged write.

mod support;

use rstest::rstest;
use support::{Fleet, server, vm};

/// Starts or ends one random fault.
fn toggle_random_fault(fleet: &mut Fleet) {
    let n = fleet.random(3) as usize;
    let id = server(["s-a", "s-b", "s-c"][fleet.random(3) as usize]);
    match fleet.random(7) {
        0 => fleet.store_is_down = !fleet.store_is_down,
        1 => fleet.daemons[n].is_cut_from_store = !fleet.daemons[n].is_cut_from_store,
        2 => fleet.daemons[n].is_frozen = !fleet.daemons[n].is_frozen,
        3 | 4 => fleet.daemons[n].toggle_cut(id),
        _ => {
            let dark = fleet.group.servers.iter().filter(|s| s.is_isolated).count();
            let server = fleet.group.get_mut(&id);
            server.is_isolated = !server.is_isolated && dark == 0;
        }
    }
}

/// Ends all faults.
fn end_all_faults(fleet: &mut Fleet) {
    fleet.store_is_down = false;
    for daemon in &mut fleet.daemons {
        daemon.is_cut_from_store = false;
        daemon.is_frozen = false;
        daemon.cut_servers.clear();
    }
    for server in &mut fleet.group.servers {
        server.is_isolated = false;
    }
}

#[rstest]
fn random_faults_break_no_guarantee(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut fleet = Fleet::new(seed);
    fleet.advance(3_000);
    for _ in 0..40 {
        toggle_random_fault(&mut fleet);
        let pause = 200 + fleet.random(1_500);
        fleet.advance(pause);
    }
    end_all_faults(&mut fleet);
    fleet.advance(10_000);
    let healed = fleet.acknowledged();
    fleet.advance(2_000);
    assert_eq!(fleet.violations(), Vec::<String>::new());
    assert!(
        fleet.acknowledged() > healed + 20,
        "writes are acknowledged again after the faults"
    );
}

/// Around a change of the coordinator both ask for a promotion, and the earlier request may take
/// effect last.
#[rstest]
fn late_promotions_break_no_guarantee(#[values(1, 2, 3, 4, 5, 6, 45)] seed: u64) {
    let mut fleet = Fleet::new(seed);
    fleet.promotion_delay_max = 5_000;
    fleet.advance(3_000);
    for _ in 0..3 {
        let leader = fleet.store.leaders.leaders.values().next();
        let primary = leader.expect("a leader").0.leader.clone();
        fleet.group.get_mut(&primary).is_isolated = true;
        for _ in 0..600 {
            if !fleet.is_promoting() {
                fleet.advance(10);
            }
        }
        // The coordinator is suspended once it has asked, and goes on when it has a successor.
        let (coordinator, _) = fleet.store.leaders.coordinator.clone().expect("one");
        let holder = (0..3).find(|n| coordinator.holder == vm(&format!("vm-{n}")));
        fleet.daemons[holder.expect("a daemon")].is_frozen = true;
        let pause = 7_000 + fleet.random(2_000);
        fleet.advance(pause);
        end_all_faults(&mut fleet);
        let pause = 1_000 + fleet.random(3_000);
        fleet.advance(pause);
    }
    fleet.advance(10_000);
    let healed = fleet.acknowledged();
    fleet.advance(2_000);
    assert_eq!(fleet.violations(), Vec::<String>::new());
    assert!(fleet.promotions >= 3, "{} promotions", fleet.promotions);
    assert!(
        fleet.acknowledged() > healed + 20,
        "writes are acknowledged again after the faults"
    );
}

#[rstest]
fn lost_primary_is_replaced_within_permission() {
    let mut fleet = Fleet::new(1);
    fleet.advance(3_000);
    fleet.group.get_mut(&server("s-a")).is_isolated = true;
    fleet.advance(4_000);
    assert_eq!(fleet.promotions, 1);
    let before = fleet.acknowledged();
    fleet.advance(1_000);
    assert!(
        fleet.acknowledged() > before + 20,
        "writes are acknowledged by the new primary"
    );
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[rstest]
fn cut_off_daemon_stops_before_the_promotion() {
    let mut fleet = Fleet::new(2);
    fleet.advance(3_000);
    // Daemon 0 reaches the old primary but not the store; the others reach the store but not the
    // old primary.
    fleet.daemons[0].is_cut_from_store = true;
    fleet.daemons[1].cut_servers.insert(server("s-a"));
    fleet.daemons[2].cut_servers.insert(server("s-a"));
    // Daemon 0 may be the coordinator, and remains it for 6 s after its last renewal.
    fleet.advance(10_000);
    assert_eq!(fleet.promotions, 1);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against refused writes during a store outage: permissions can't be renewed in the store
/// for 5 s under full load, so daemons depend on the coordinator's grants.
#[rstest]
fn store_outage_does_not_stop_writes() {
    let mut fleet = Fleet::new(3);
    fleet.advance(4_000);
    fleet.store_is_down = true;
    for _ in 0..9 {
        let before = fleet.acknowledged();
        fleet.advance(500);
        let acknowledged = fleet.acknowledged() - before;
        assert!(
            acknowledged >= 9,
            "{acknowledged} writes were acknowledged in half a second of the outage"
        );
    }
    fleet.store_is_down = false;
    fleet.advance(1_000);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against a slow replacement after a zone is cut off with both the primary and the
/// coordinator: the coordinator must move away from the primary's zone beforehand.
#[rstest]
fn coordinator_moves_to_a_zone_without_primaries() {
    let mut fleet = Fleet::new(4);
    fleet.advance(16_000);
    let (coordinator, _) = fleet
        .store
        .leaders
        .coordinator
        .clone()
        .expect("a coordinator");
    assert_ne!(
        coordinator.holder,
        vm("vm-0"),
        "vm-0 is in the zone of the primary"
    );
    assert_eq!(fleet.violations(), Vec::<String>::new());
}
