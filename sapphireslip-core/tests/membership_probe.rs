//! Failure detection among VMs: crashes, pauses, partitions and outdated lists.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, record, vm};
use sapphireslip_core::{Event, PeerMessage, PlatformEvent, VmId, VmState, ZoneName};

const SECOND: Duration = Duration::from_secs(1);

/// Returns seven VMs in three zones.
fn seven() -> Vec<VmId> {
    ["a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"]
        .map(vm)
        .to_vec()
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).unwrap()
}

/// Returns whether every daemon sees every VM as alive.
fn all_alive(fleet: &Fleet) -> bool {
    let vms: Vec<_> = fleet.daemons.keys().collect();
    vms.iter().all(|at| {
        vms.iter()
            .all(|of| fleet.view(at, of) == Some(VmState::Alive))
    })
}

/// Returns a fleet of seven VMs that all know each other.
fn started() -> Fleet {
    let mut fleet = Fleet::start(&seven());
    fleet.run_for(SECOND * 5);
    assert!(all_alive(&fleet));
    fleet
}

/// No VM changes its state while all of them answer.
#[test]
fn membership_quiet_fleet_stays_alive() {
    let mut fleet = started();
    let version = fleet.state(&vm("a-1")).membership.version();
    fleet.run_for(SECOND * 600);
    assert!(all_alive(&fleet));
    assert_eq!(fleet.state(&vm("a-1")).membership.version(), version);
}

/// A killed VM is declared dead by the VMs of its zone.
#[test]
fn membership_killed_vm_is_dead_in_its_zone() {
    let mut fleet = started();
    fleet.kill(&vm("a-2"));
    let took = fleet.run_until(SECOND * 3, |fleet| {
        let is_dead = |at| fleet.view(&vm(at), &vm("a-2")) == Some(VmState::Dead);
        is_dead("a-1") && is_dead("a-3")
    });
    println!("killed VM dead in its zone after {took:?}");
}

/// A frozen VM is declared dead, and becomes alive again once it answers.
#[test]
fn membership_frozen_vm_is_dead_and_comes_back() {
    let mut fleet = started();
    fleet.frozen.insert(vm("a-2"));
    fleet.run_until(SECOND * 4, |fleet| {
        let is_dead = |at| fleet.view(&vm(at), &vm("a-2")) == Some(VmState::Dead);
        is_dead("a-1") && is_dead("a-3")
    });
    fleet.run_for(SECOND * 60);
    fleet.frozen.clear();
    let took = fleet.run_until(SECOND * 20, all_alive);
    println!("thawed VM alive everywhere after {took:?}");
}

/// Pauses of 600 ms, shorter than it takes to declare a VM dead, have no effect.
#[test]
fn membership_short_pause_has_no_effect() {
    let mut fleet = started();
    let version = fleet.state(&vm("a-1")).membership.version();
    for _ in 0..20 {
        fleet.frozen.insert(vm("a-2"));
        fleet.run_for(Duration::from_millis(600));
        fleet.frozen.clear();
        fleet.run_for(SECOND * 3);
    }
    assert_eq!(fleet.state(&vm("a-1")).membership.version(), version);
}

/// A daemon that was paused itself must not suspect the others when it resumes.
#[test]
fn membership_paused_vm_suspects_no_other() {
    let mut fleet = started();
    let version = fleet.state(&vm("a-2")).membership.version();
    fleet.frozen.insert(vm("a-2"));
    fleet.run_for(SECOND * 60);
    fleet.frozen.clear();
    fleet.run_for(SECOND * 20);
    let others = fleet.state(&vm("a-2")).membership.version();
    assert_eq!(others, version);
}

/// All daemons learn at once that a VM is leaving.
#[test]
fn membership_leaving_is_known_at_once() {
    let mut fleet = started();
    fleet.drain(&vm("b-1"), SECOND * 30);
    let took = fleet.run_until(SECOND * 3, |fleet| {
        let others = fleet.daemons.keys();
        others
            .into_iter()
            .all(|at| fleet.view(at, &vm("b-1")) == Some(VmState::Leaving))
    });
    assert!(took < Duration::from_millis(50), "{took:?}");
}

/// Neither the platform's list nor a peer's record may turn a leaving VM alive again.
#[test]
fn membership_leaving_is_not_revived() {
    let mut fleet = started();
    fleet.drain(&vm("b-1"), SECOND * 30);
    fleet.run_for(SECOND);
    fleet.platform.vms = seven()
        .iter()
        .map(|vm| record(vm, 1, VmState::Alive))
        .collect();
    for at in seven() {
        let from = vm("c-1");
        let message = PeerMessage::Vms(vec![record(&vm("b-1"), 1, VmState::Alive)]);
        fleet.hand_in(&at, Event::Peer { from, message });
    }
    fleet.run_for(SECOND * 10);
    for at in seven().into_iter().filter(|at| *at != vm("b-1")) {
        assert_eq!(fleet.view(&at, &vm("b-1")), Some(VmState::Leaving));
    }
}

/// A daemon that restarts with a higher incarnation is alive again everywhere.
#[test]
fn membership_restarted_vm_is_alive_again() {
    let mut fleet = started();
    fleet.kill(&vm("a-2"));
    fleet.run_for(SECOND * 10);
    fleet.add(&vm("a-2"), 2, &[vm("a-1")]);
    let took = fleet.run_until(SECOND * 20, all_alive);
    println!("restarted VM alive everywhere after {took:?}");
    let own = fleet.state(&vm("a-2")).membership.records().count();
    assert_eq!(own, seven().len());
}

/// The platform's report that VMs are dead is ignored while they answer.
#[test]
fn membership_platform_cannot_declare_answering_vm_dead() {
    let mut fleet = started();
    let version = fleet.state(&vm("a-1")).membership.version();
    fleet.platform.vms = seven()
        .iter()
        .map(|vm| record(vm, 0, VmState::Dead))
        .collect();
    fleet.run_for(SECOND * 60);
    assert_eq!(fleet.state(&vm("a-1")).membership.version(), version);
}

/// A VM that the platform lists as leaving is leaving for every daemon.
#[test]
fn membership_platform_lists_leaving_vm() {
    let mut fleet = started();
    fleet.platform.vms = vec![record(&vm("c-2"), 0, VmState::Leaving)];
    fleet.run_until(SECOND * 4, |fleet| {
        let others = fleet.daemons.keys();
        others
            .into_iter()
            .all(|at| fleet.view(at, &vm("c-2")) == Some(VmState::Leaving))
    });
}

/// A VM that only the platform lists gets no work until its daemon answers.
#[test]
fn membership_listed_vm_takes_part_once_it_answers() {
    let mut fleet = started();
    fleet.platform.vms = vec![record(&vm("a-4"), 0, VmState::Alive)];
    let version = fleet.state(&vm("a-1")).membership.version();
    fleet.run_for(SECOND * 10);
    assert_eq!(fleet.state(&vm("a-1")).membership.version(), version);
    fleet.add(&vm("a-4"), 1, &[]);
    fleet.run_until(SECOND * 20, all_alive);
}

/// A zone cut off from the others recovers once the links are repaired, although the VMs on both
/// sides declared each other dead.
#[test]
fn membership_cut_heals() {
    let mut fleet = started();
    let pairs = [["a", "b"], ["a", "c"]];
    fleet.cuts = pairs.map(|pair| pair.map(zone)).to_vec();
    fleet.run_until(SECOND * 60, |fleet| {
        fleet.view(&vm("a-1"), &vm("b-1")) == Some(VmState::Dead)
            && fleet.view(&vm("b-1"), &vm("a-1")) == Some(VmState::Dead)
    });
    fleet.run_for(SECOND * 600);
    let near = fleet.view(&vm("a-1"), &vm("a-2"));
    assert_eq!(near, Some(VmState::Alive));
    fleet.cuts.clear();
    let took = fleet.run_until(SECOND * 60, all_alive);
    println!("alive everywhere {took:?} after the cut healed");
}

/// Two zones that cannot reach each other must not convince a third one that their VMs are dead.
#[test]
fn membership_partition_of_two_zones_leaves_third_unaffected() {
    let mut fleet = started();
    let version = fleet.state(&vm("c-1")).membership.version();
    fleet.cuts = vec![["a", "b"].map(zone)];
    fleet.run_for(SECOND * 120);
    assert_eq!(fleet.state(&vm("c-1")).membership.version(), version);
    assert_eq!(fleet.view(&vm("b-1"), &vm("b-2")), Some(VmState::Alive));
}

/// Outdated records of a dead VM must not make it alive again.
#[test]
fn membership_old_news_does_not_revive() {
    let mut fleet = started();
    fleet.kill(&vm("a-2"));
    fleet.run_for(SECOND * 5);
    let from = vm("a-3");
    let message = PeerMessage::Vms(vec![record(&vm("a-2"), 1, VmState::Alive)]);
    fleet.hand_in(&vm("a-1"), Event::Peer { from, message });
    let vms = vec![record(&vm("a-2"), 1, VmState::Alive)];
    fleet.hand_in(&vm("a-1"), Event::Platform(PlatformEvent::Vms(Some(vms))));
    assert_eq!(fleet.view(&vm("a-1"), &vm("a-2")), Some(VmState::Dead));
}

/// A new daemon learns all VMs from a peer in its settings while the platform is down.
#[test]
fn membership_starts_from_seeds_with_the_platform_down() {
    let mut fleet = started();
    fleet.platform.is_down = true;
    fleet.add(&vm("b-3"), 1, &[vm("b-1")]);
    let took = fleet.run_until(SECOND * 2, |fleet| {
        fleet.state(&vm("b-3")).membership.records().count() == 8
    });
    println!("new daemon knows all VMs after {took:?}");
    fleet.run_until(SECOND * 20, all_alive);
}

/// A VM that one peer cannot reach stays alive, as others can reach it.
#[test]
fn membership_broken_path_is_probed_through_others() {
    let mut fleet = started();
    let version = fleet.state(&vm("a-1")).membership.version();
    fleet.vm_cuts = vec![["a-1", "a-2"].map(vm)];
    fleet.run_for(SECOND * 120);
    assert_eq!(fleet.state(&vm("a-1")).membership.version(), version);
    assert_eq!(fleet.state(&vm("a-2")).membership.version(), version);
}

/// The time for which a daemon was paused does not count towards a suspicion.
#[test]
fn membership_pause_does_not_count_towards_suspicion() {
    let mut fleet = started();
    let version = fleet.state(&vm("a-1")).membership.version();
    fleet.frozen.insert(vm("a-2"));
    fleet.run_until(SECOND * 3, |fleet| {
        fleet.view(&vm("a-1"), &vm("a-2")) == Some(VmState::Suspect)
    });
    fleet.frozen = [vm("a-1")].into();
    fleet.run_for(SECOND * 60);
    fleet.frozen.clear();
    fleet.run_for(SECOND * 20);
    assert_eq!(fleet.state(&vm("a-1")).membership.version(), version);
    assert!(all_alive(&fleet));
}
