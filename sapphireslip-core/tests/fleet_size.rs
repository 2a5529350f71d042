//! Control traffic per daemon in a large zone, and the time that changes take to reach all daemons.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, document, vm, zone_of};
use rstest::rstest;
use sapphireslip_core::{ChangeCount, VmId, VmState};

const SECOND: Duration = Duration::from_secs(1);
/// The number of VMs in the large zone `a`.
const ZONE_VMS: usize = 127;
/// The other zones.
const OTHER_ZONES: [&str; 6] = ["b", "c", "d", "e", "f", "g"];
/// The number of VMs in each of the other zones.
const OTHER_ZONE_VMS: usize = 4;
/// The maximum control traffic of a daemon in bytes per second.
const CONTROL_BYTES_PER_SECOND: u64 = 18 * 1024;

/// Returns the VMs of a zone, numbered from 1.
fn vms(zone: &str, count: usize) -> Vec<VmId> {
    (1..=count)
        .map(|number| vm(&format!("{zone}-{number}")))
        .collect()
}

/// Returns a fleet in which one zone is large, three seconds after its start.
fn started() -> Fleet {
    let mut all = vms("a", ZONE_VMS);
    all.extend(
        OTHER_ZONES
            .iter()
            .flat_map(|zone| vms(zone, OTHER_ZONE_VMS)),
    );
    let mut fleet = Fleet::start(&all);
    fleet.run_for(SECOND * 3);
    fleet
}

/// Returns whether every other VM in a VM's zone sees it in the given state.
fn zone_holds(fleet: &Fleet, of: &VmId, state: VmState) -> bool {
    let peers = fleet
        .daemons
        .keys()
        .filter(|at| zone_of(at) == zone_of(of) && *at != of);
    peers
        .into_iter()
        .all(|at| fleet.view(at, of) == Some(state))
}

/// Bounds the control traffic of each daemon and the reads from the platform in a fleet without
/// changes.
#[test]
fn fleet_quiet_traffic() {
    let mut fleet = started();
    fleet.bytes.clear();
    fleet.platform.reads = 0;
    fleet.run_for(SECOND * 60);
    let most = fleet.bytes.values().max().unwrap() / 60;
    let reads = fleet.platform.reads / 60;
    println!("sent at most {most} B/s by a daemon; {reads} reads of the platform a second");
    assert!(most < CONTROL_BYTES_PER_SECOND / 4, "{most}");
    assert!(reads <= 7 * 2 * 3, "{reads}");
}

/// A new document reaches every daemon within three seconds.
#[test]
fn fleet_change_in_force() {
    let mut fleet = started();
    fleet.bytes.clear();
    fleet.platform.accept(document("stock", 1, 1, &["stock"]));
    let took = fleet.run_until(SECOND * 3, |fleet| {
        let mut states = fleet.daemons.values();
        states.all(|state| state.configuration.changes() == ChangeCount(1))
    });
    let most = fleet.bytes.values().max().unwrap();
    println!("in force everywhere after {took:?}; {most} B sent by a relay");
}

/// A VM that is killed or frozen is declared dead within three seconds, and 100 ms later all VMs of
/// its zone know it.
#[rstest]
#[case::killed(false)]
#[case::frozen(true)]
fn fleet_dead_vm_known_in_its_zone(#[case] is_frozen: bool) {
    let mut fleet = started();
    let gone = vm("a-60");
    if is_frozen {
        fleet.frozen.insert(gone.clone());
    } else {
        fleet.kill(&gone);
    }
    let took = fleet.run_until(SECOND * 3, |fleet| {
        fleet
            .daemons
            .iter()
            .any(|(at, _)| fleet.view(at, &gone) == Some(VmState::Dead))
    });
    println!("frozen {is_frozen}: first held dead after {took:?}");
    let took = fleet.run_until(SECOND / 10, |fleet| zone_holds(fleet, &gone, VmState::Dead));
    println!("frozen {is_frozen}: held dead by all {took:?} later");
}

/// All VMs of the zone learn within a second that a VM is leaving.
#[test]
fn fleet_leaving_vm_known_at_once() {
    let mut fleet = started();
    let gone = vm("a-60");
    fleet.drain(&gone, SECOND * 30);
    let took = fleet.run_until(SECOND, |fleet| zone_holds(fleet, &gone, VmState::Leaving));
    println!("leaving known in the zone after {took:?}");
}

/// A new document reaches a zone that is cut off from the platform by way of the other zones.
#[test]
fn fleet_zone_without_platform() {
    let mut fleet = started();
    fleet.platform.cut_zones = vec![zone_of(&vm("a-1"))];
    fleet.run_for(SECOND * 5);
    fleet.platform.accept(document("stock", 1, 1, &["stock"]));
    let took = fleet.run_until(SECOND * 3 / 2, |fleet| {
        let mut states = fleet.daemons.values();
        states.all(|state| state.configuration.changes() == ChangeCount(1))
    });
    println!("in force everywhere after {took:?} with a zone cut from the platform");
}
