//! Tests that homes are balanced over a zone and that few of them move when a VM leaves.

mod fleet_support;

use std::collections::BTreeMap;

use fleet_support::{document, record, vm, zone_of};
use sapphireslip_core::{
    DatabaseSpec, Document, Incarnation, Local, Membership, VmId, VmRecord, VmState, placement,
};

/// The number of VMs in each zone.
const VMS_PER_ZONE: usize = 127;
/// The number of databases to place.
const DATABASES: usize = 1600;

fn vms(zone: &str) -> Vec<VmId> {
    (1..=VMS_PER_ZONE)
        .map(|number| vm(&format!("{zone}-{number}")))
        .collect()
}

/// Returns the view of a daemon in a zone without databases that knows these VMs.
fn membership(records: Vec<VmRecord>) -> Membership {
    let local = Local {
        vm: vm("z-1"),
        zone: zone_of(&vm("z-1")),
        address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    Membership::new(&local, records)
}

fn databases(zones: &[&str]) -> Vec<DatabaseSpec> {
    let text = document("stock", 1, 1, &["stock"]).text;
    let checked = Document::try_from(text.as_bytes()).unwrap();
    let named = |number| DatabaseSpec {
        name: format!("database-{number}").as_str().try_into().unwrap(),
        zones: zones
            .iter()
            .map(|zone| (*zone).try_into().unwrap())
            .collect(),
        ..checked.databases[0].clone()
    };
    (0..DATABASES).map(named).collect()
}

/// Returns the home of each database for an entry daemon in `zone`.
fn homes(membership: &Membership, databases: &[DatabaseSpec], zone: &str) -> Vec<VmId> {
    let zone = zone.try_into().unwrap();
    let home = |database| placement::home_for(membership, database, &zone).unwrap();
    databases.iter().map(home).collect()
}

fn records(vms: &[VmId]) -> Vec<VmRecord> {
    vms.iter().map(|vm| record(vm, 1, VmState::Alive)).collect()
}

#[test]
fn placement_balanced() {
    let membership = membership(records(&vms("a")));
    let mut counts = BTreeMap::new();
    for home in homes(&membership, &databases(&["a"]), "a") {
        *counts.entry(home).or_insert(0) += 1;
    }
    let most = counts.values().max().unwrap();
    println!(
        "{DATABASES} databases on {} of {VMS_PER_ZONE} VMs, at most {most}",
        counts.len()
    );
    // The mean is 12.6 databases per VM; the greatest of 127 random draws with that mean is about
    // 22.
    assert!(*most <= 27, "{most}");
}

#[test]
fn placement_leaving_vm_moves_only_its_own_databases() {
    let all = vms("a");
    let databases = databases(&["a"]);
    let before = homes(&membership(records(&all)), &databases, "a");
    let mut left = records(&all);
    left[60].state = VmState::Leaving;
    let after = homes(&membership(left), &databases, "a");
    let pairs = before.iter().zip(&after);
    let moved = pairs
        .clone()
        .filter(|(before, after)| before != after)
        .count();
    let own = before.iter().filter(|home| **home == all[60]).count();
    assert!(own > 0);
    assert_eq!(moved, own);
    assert!(
        pairs
            .into_iter()
            .all(|(before, after)| before == after || *before == all[60])
    );
}

#[test]
fn placement_same_in_every_build() {
    let membership = membership(records(&vms("a")));
    let homes = homes(&membership, &databases(&["a"])[..3], "a");
    let names: Vec<_> = homes.iter().map(VmId::as_str).collect();
    // The expected names come from another implementation of FNV-1a and SplitMix64.
    assert_eq!(names, ["a-105", "a-79", "a-100"]);
}

#[test]
fn placement_own_zone_first() {
    let mut all = records(&vms("a"));
    all.extend(records(&vms("b")));
    all.extend(records(&vms("c")));
    let membership = membership(all);
    let databases = databases(&["a", "b"]);
    for home in homes(&membership, &databases, "b") {
        assert_eq!(zone_of(&home).as_str(), "b");
    }
    let from_c = homes(&membership, &databases, "c");
    let in_a = from_c
        .iter()
        .filter(|home| zone_of(home).as_str() == "a")
        .count();
    assert!((600..1000).contains(&in_a), "{in_a}");
    for (database, home) in databases.iter().zip(from_c) {
        let homes = placement::homes_of(&membership, database);
        assert_eq!(homes.len(), 2);
        assert!(homes.contains(&home));
    }
}

#[test]
fn placement_suspect_keeps_its_homes() {
    let all = vms("a");
    let databases = databases(&["a"]);
    let before = homes(&membership(records(&all)), &databases, "a");
    let mut suspect = records(&all);
    suspect[5].state = VmState::Suspect;
    assert_eq!(homes(&membership(suspect), &databases, "a"), before);
}

#[test]
fn placement_without_usable_vms() {
    let membership = membership(Vec::new());
    let database = &databases(&["a"])[0];
    let zone = "b".try_into().unwrap();
    assert_eq!(placement::home_for(&membership, database, &zone), None);
    assert!(placement::homes_of(&membership, database).is_empty());
}
