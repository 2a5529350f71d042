//! Measures how long a change takes to be in force everywhere and how many reads the platform gets
//! meanwhile, with relays in each zone and with every daemon reading by itself.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, document, vm};
use rstest::rstest;
use sapphireslip_core::{ChangeCount, VmId};

const SECOND: Duration = Duration::from_secs(1);

/// The time within which a change must be in force on all daemons.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of reads per second that the platform takes from all daemons together.
const PLATFORM_READS_PER_SECOND_MAX: f64 = 2_000.0;

/// The number of relays in the seven zones that the design assumes, two in each.
const RELAYS_IN_SEVEN_ZONES: usize = 14;

/// The number of changes measured in each case.
const CHANGES: u32 = 10;

/// The way in which daemons learn of changes.
#[derive(Clone, Copy, Debug)]
enum Distribution {
    /// The daemons are spread over seven zones with their relays, as in production.
    Relays,
    /// Each daemon is in a zone of its own, so that it is a relay and reads by itself.
    Direct,
}

fn vms(count: usize, distribution: Distribution) -> Vec<VmId> {
    let name = |number: usize| match distribution {
        Distribution::Relays => format!(
            "{}-{}",
            ["a", "b", "c", "d", "e", "f", "g"][number % 7],
            number
        ),
        Distribution::Direct => format!("z{number}-1"),
    };
    (0..count).map(|number| vm(&name(number))).collect()
}

#[rstest]
fn change_in_force(
    #[values(7, 50, 200)] daemons: usize,
    #[values(Distribution::Relays, Distribution::Direct)] distribution: Distribution,
) {
    let mut fleet = Fleet::start(&vms(daemons, distribution));
    fleet.run_for(SECOND * 3);
    fleet.platform.reads = 0;
    fleet.bytes.clear();
    let start = fleet.now;
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let next = start + Duration::from_millis(1_170) * change;
        fleet.run_for(next.saturating_sub(fleet.now));
        let change = u64::from(change);
        fleet
            .platform
            .accept(document("stock", change, change, &["stock"]));
        times.push(fleet.run_until(IN_FORCE_TIMEOUT, |fleet| {
            let mut states = fleet.daemons.values();
            states.all(|state| state.configuration.changes() == ChangeCount(change))
        }));
    }
    let took = (fleet.now - start).as_secs_f64();
    let reads = fleet.platform.reads as f64 / took;
    let most = fleet.bytes.values().max().copied().unwrap_or_default() as f64 / took;
    let mean = times.iter().sum::<Duration>() / CHANGES;
    let max = times.iter().max();
    println!(
        "{daemons} daemons, {distribution:?}: in force after {mean:?} on average, {max:?} at most; \
         {reads:.1} platform reads per second; {most:.0} B/s sent at most"
    );
    if matches!(distribution, Distribution::Relays) {
        let of_all_relays =
            reads * (RELAYS_IN_SEVEN_ZONES as f64 / daemons.min(RELAYS_IN_SEVEN_ZONES) as f64);
        assert!(
            of_all_relays <= PLATFORM_READS_PER_SECOND_MAX,
            "{of_all_relays}"
        );
    }
}
