//! Tests that changes reach every daemon, also under faults, and how many reads the platform gets.

mod fleet_support;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet_support::{Fleet, document, vm};
use sapphireslip_core::{ChangeCount, DatabaseName, Effect, TimelineKind, VmId, ZoneName};

const SECOND: Duration = Duration::from_secs(1);

fn seven_vms() -> Vec<VmId> {
    ["a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"]
        .map(vm)
        .to_vec()
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).unwrap()
}

/// Returns seven daemons that have the first document in force.
fn started_fleet() -> Fleet {
    let mut fleet = Fleet::start(&seven_vms());
    fleet.platform.accept(document("stock", 1, 1, &["stock"]));
    fleet.run_for(SECOND * 5);
    assert!(is_in_force(&fleet, 1));
    fleet
}

/// Returns whether exactly the changes up to `change` are in force on every daemon.
fn is_in_force(fleet: &Fleet, change: u64) -> bool {
    let changes = |vm| fleet.state(vm).configuration.changes();
    fleet
        .daemons
        .keys()
        .all(|vm| changes(vm) == ChangeCount(change))
}

/// Returns the generation of the document that a daemon has in force for the database `stock`.
fn generation(fleet: &Fleet, vm: &VmId) -> Option<u64> {
    let database = DatabaseName::try_from("stock").unwrap();
    let document = fleet.state(vm).configuration.document_of(&database)?;
    Some(document.generation.0)
}

#[test]
fn configuration_change_is_in_force_within_a_second() {
    let mut fleet = started_fleet();
    fleet.platform.accept(document("stock", 2, 2, &["stock"]));
    let took = fleet.run_until(SECOND, |fleet| is_in_force(fleet, 2));
    println!("in force on 7 daemons after {took:?}");
    assert!(
        seven_vms()
            .iter()
            .all(|vm| generation(&fleet, vm) == Some(2))
    );
}

#[test]
fn configuration_only_relays_read() {
    let mut fleet = Fleet::start(&seven_vms());
    fleet.run_for(SECOND * 5);
    fleet.platform.reads = 0;
    fleet.run_for(SECOND * 60);
    let reads = fleet.platform.reads;
    println!("{reads} reads of the platform by 7 daemons in 60 s");
    let relays = 3 * 2;
    assert!(reads <= relays * 60 * 3, "{reads}");
}

#[test]
fn configuration_zone_without_platform_asks_another_zone() {
    let mut fleet = started_fleet();
    fleet.platform.cut_zones = vec![zone("a")];
    fleet.run_for(SECOND * 10);
    for change in 2..12 {
        fleet
            .platform
            .accept(document("stock", change, change, &["stock"]));
        let took = fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, change));
        println!("in force after {took:?} with zone a cut from the platform");
        fleet.run_for(Duration::from_millis(730));
    }
}

#[test]
fn configuration_dead_relays_are_replaced() {
    let mut fleet = started_fleet();
    let relays = fleet.state(&vm("a-1")).membership.relays(&zone("a"));
    for relay in &relays {
        fleet.kill(relay);
    }
    fleet.platform.accept(document("stock", 2, 2, &["stock"]));
    let took = fleet.run_until(SECOND * 4, |fleet| is_in_force(fleet, 2));
    println!("in force after {took:?} with both relays of a zone killed");
}

#[test]
fn configuration_frozen_daemon_catches_up() {
    let mut fleet = started_fleet();
    let relays = fleet.state(&vm("a-1")).membership.relays(&zone("a"));
    let zone_vms = ["a-1", "a-2", "a-3"].map(vm);
    let other = zone_vms.iter().find(|vm| !relays.contains(vm)).unwrap();
    fleet.frozen.insert(other.clone());
    fleet.platform.accept(document("stock", 2, 2, &["stock"]));
    fleet.run_for(SECOND * 30);
    assert_eq!(generation(&fleet, other), Some(1));
    fleet.frozen.clear();
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 2));
}

#[test]
fn configuration_new_daemon_learns_from_peers() {
    let mut fleet = started_fleet();
    fleet.platform.is_down = true;
    fleet.add(&vm("b-3"), 1, &[vm("b-2")]);
    let took = fleet.run_until(SECOND, |fleet| generation(fleet, &vm("b-3")) == Some(1));
    println!("new daemon knows the documents after {took:?} with the platform down");
    fleet.run_for(SECOND);
    let ready = (vm("b-3"), Effect::Ready(true));
    let count = fleet
        .log
        .iter()
        .filter(|(_, vm, effect)| (vm, effect) == (&ready.0, &ready.1));
    assert_eq!(count.count(), 1);
}

#[test]
fn configuration_many_documents_reach_a_new_daemon() {
    let mut fleet = Fleet::start(&[vm("a-1"), vm("a-2")]);
    for number in 1..=500 {
        let service = format!("service-{number}");
        let database = format!("database-{number}");
        fleet
            .platform
            .accept(document(&service, 1, number, &[&database]));
    }
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 500));
    fleet.platform.is_down = true;
    fleet.add(&vm("a-3"), 1, &[vm("a-1")]);
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 500));
    assert_eq!(
        fleet.state(&vm("a-3")).configuration.documents().count(),
        500
    );
}

#[test]
fn configuration_faulty_document_is_refused() {
    let mut fleet = started_fleet();
    let mut faulty = document("stock", 2, 2, &["stock"]);
    faulty.text = faulty.text.replace("sessions = 10", "sessions = -1").into();
    fleet.platform.accept(faulty);
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 2));
    assert_eq!(generation(&fleet, &vm("a-1")), Some(1));
    let refused = |effect: &Effect| {
        matches!(effect, Effect::Record(entry) if entry.kind == TimelineKind::DocumentRefused
            && entry.detail.contains("line 5: limits.sessions: must be 1 to 100000, is -1"))
    };
    let refusals = fleet.log.iter().filter(|(_, _, effect)| refused(effect));
    let at: BTreeSet<_> = refusals.map(|(_, at, _)| at).collect();
    // Only the six relays receive the faulty document, because daemons pass on only what is in
    // force.
    assert_eq!(at.len(), 6);
    fleet.platform.accept(document("stock", 3, 3, &["stock"]));
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 3));
    assert_eq!(generation(&fleet, &vm("a-1")), Some(3));
}

/// Returns whether a daemon treats the first server of the database `stock` as leaving.
fn knows_leaving(fleet: &Fleet, at: &VmId) -> bool {
    let configuration = &fleet.state(at).configuration;
    let database = DatabaseName::try_from("stock").unwrap();
    let spec = configuration.database(&database).unwrap();
    configuration.is_leaving(&spec.servers[0])
}

#[test]
fn configuration_leaving_servers_are_known_everywhere() {
    let mut fleet = started_fleet();
    for is_leaving in [true, false] {
        fleet.platform.leaving = Vec::new();
        if is_leaving {
            fleet.platform.leaving.push("10.9.0.1".parse().unwrap());
        }
        let took = fleet.run_until(SECOND * 3, |fleet| {
            seven_vms()
                .iter()
                .all(|at| knows_leaving(fleet, at) == is_leaving)
        });
        println!("leaving {is_leaving} known everywhere after {took:?}");
    }
}

#[test]
fn configuration_leaving_servers_are_repeated() {
    let mut fleet = started_fleet();
    let relays = fleet.state(&vm("a-1")).membership.relays(&zone("a"));
    let zone_vms = ["a-1", "a-2", "a-3"].map(vm);
    let other = zone_vms.iter().find(|vm| !relays.contains(vm)).unwrap();
    fleet.frozen.insert(other.clone());
    fleet.platform.leaving.push("10.9.0.1".parse().unwrap());
    fleet.run_for(SECOND * 30);
    fleet.frozen.clear();
    fleet.run_until(SECOND * 10, |fleet| knows_leaving(fleet, other));
}

#[test]
fn configuration_restarted_relay_does_not_push_everything() {
    let mut fleet = Fleet::start(&[vm("a-1"), vm("a-2")]);
    for number in 1..=500 {
        let service = format!("service-{number}");
        let database = format!("database-{number}");
        fleet
            .platform
            .accept(document(&service, 1, number, &[&database]));
    }
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 500));
    fleet.kill(&vm("a-2"));
    fleet.run_for(SECOND * 10);
    fleet.bytes.clear();
    fleet.add(&vm("a-2"), 2, &[vm("a-1")]);
    fleet.run_until(SECOND * 3, |fleet| is_in_force(fleet, 500));
    fleet.run_for(SECOND * 5);
    let sent = fleet.bytes[&vm("a-2")];
    println!("a restarted relay sent {sent} B");
    assert!(sent < 20_000, "{sent}");
}
