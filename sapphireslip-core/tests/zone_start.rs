//! The number of reads from the platform when all daemons of a zone start at once.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, document, vm};
use sapphireslip_core::{ChangeCount, VmId};

const SECOND: Duration = Duration::from_secs(1);
/// The number of VMs in the zone that starts.
const ZONE_VMS: usize = 127;

/// The number of peers in the settings of each daemon.
const SEEDS: usize = 3;

/// The maximum number of reads per second that the platform accepts from all daemons together.
const PLATFORM_READS: u64 = 2_000;

/// The number of table reads that it takes to fetch all documents of the largest supported
/// configuration: the count, the list, and 1,600 documents in batches of 64.
const READS_FOR_DOCUMENTS: u64 = 27;

/// Returns the VMs of a zone, numbered from 0.
fn vms(zone: &str, count: usize) -> Vec<VmId> {
    (0..count).map(|n| vm(&format!("{zone}-{n}"))).collect()
}

/// A zone of 127 VMs that starts at once must not overload the platform, and every daemon must
/// receive the documents within ten seconds.
#[test]
fn zone_start_platform_reads() {
    let zones = ["b", "c", "d", "e", "f", "g"];
    let others: Vec<_> = zones.iter().flat_map(|zone| vms(zone, 3)).collect();
    let mut fleet = Fleet::start(&others);
    fleet.platform.accept(document("stock", 1, 1, &["stock"]));
    fleet.run_for(SECOND * 5);
    let zone = vms("a", ZONE_VMS);
    for (number, vm) in zone.iter().enumerate() {
        let seeds: Vec<_> = (1..=SEEDS)
            .map(|step| zone[(number + step) % ZONE_VMS].clone())
            .collect();
        fleet.add(vm, 1, &seeds);
    }
    let mut most = 0;
    let mut known = None;
    for second in 1..=10 {
        fleet.platform.reads = 0;
        fleet.platform.document_reads = 0;
        fleet.run_for(SECOND);
        let documents = fleet.platform.document_reads;
        let reads = fleet.platform.reads + documents * (READS_FOR_DOCUMENTS - 1);
        println!("second {second}: {reads} reads, {documents} daemons read all documents");
        most = most.max(reads);
        let mut states = fleet.daemons.values();
        if states.all(|state| state.configuration.changes() == ChangeCount(1)) {
            known.get_or_insert(second);
        }
    }
    println!("at most {most} reads a second; all know the documents after second {known:?}");
    assert!(most <= PLATFORM_READS, "{most}");
    assert!(known.is_some());
}
