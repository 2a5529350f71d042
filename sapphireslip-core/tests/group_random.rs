//! Random sequences of faults: no acknowledged record is lost, and writes succeed once all faults
//! are repaired.
//!
//! A longer search: `GROUP_CASES=20000 GROUP_SEED=5 cargo test -p sapphireslip-core --test
//! group_random`.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::fake_server::Health;
use support::world::World;

/// The number of fault sequences, unless `GROUP_CASES` is set.
const CASES: u32 = 400;
/// The seed of the fault sequences, unless `GROUP_SEED` is set.
const SEED: u64 = 1;
/// The simulated time within which a write must succeed after all faults are repaired.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// A step of a fault sequence; numbers are indices of servers, homes or zones.
#[derive(Clone, Debug)]
enum Fault {
    /// Kills a server.
    Kill(usize),
    /// Freezes a server.
    Freeze(usize),
    /// Makes a server run again.
    Revive(usize),
    /// Cuts the link between two servers.
    CutServers(usize, usize),
    /// Cuts the link between a home and a server.
    CutHome(usize, usize),
    /// Cuts the link between two homes.
    CutHomes(usize, usize),
    /// Cuts a zone's server and home off from the other zones.
    CutZone(usize),
    /// Repairs all links.
    Heal,
    /// Starts or stops delaying a home's orders to servers.
    Hold(usize, bool),
    /// Pauses or resumes a home's process.
    Pause(usize, bool),
    /// Restarts a home's process.
    Restart(usize),
    /// Marks a server as leaving, in place of the previous one.
    Leave(usize),
    /// Probes the group from a home.
    Probe(usize),
    /// Writes through a home.
    Write(usize),
}

/// Generates a step.
fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..3_usize;
    let pair = (0..3_usize, 0..3_usize);
    prop_oneof![
        2 => node.clone().prop_map(Fault::Kill),
        2 => node.clone().prop_map(Fault::Freeze),
        4 => node.clone().prop_map(Fault::Revive),
        2 => pair.clone().prop_map(|(a, b)| Fault::CutServers(a, b)),
        2 => pair.clone().prop_map(|(a, b)| Fault::CutHome(a, b)),
        1 => pair.prop_map(|(a, b)| Fault::CutHomes(a, b)),
        2 => node.clone().prop_map(Fault::CutZone),
        3 => Just(Fault::Heal),
        3 => (node.clone(), any::<bool>()).prop_map(|(n, b)| Fault::Hold(n, b)),
        2 => (node.clone(), any::<bool>()).prop_map(|(n, b)| Fault::Pause(n, b)),
        1 => node.clone().prop_map(Fault::Restart),
        1 => node.clone().prop_map(Fault::Leave),
        2 => node.clone().prop_map(Fault::Probe),
        12 => node.prop_map(Fault::Write),
    ]
}

/// Returns the name of a server.
fn server(index: usize) -> String {
    format!("s{}", ["a", "b", "c"][index])
}

/// Returns the name of a home.
fn home(index: usize) -> String {
    format!("h{}", ["a", "b", "c"][index])
}

/// Cuts a zone's server and home off from the other zones.
fn cut_zone(world: &mut World, zone: usize) {
    for own in [server(zone), home(zone)] {
        for other in (0..3).filter(|other| *other != zone) {
            world.cut(&own, &server(other));
            world.cut(&own, &home(other));
        }
    }
}

/// Applies a step to the simulation.
fn apply(world: &mut World, fault: &Fault) {
    match *fault {
        Fault::Kill(node) => world.set_health(node, Health::Killed),
        Fault::Freeze(node) => world.set_health(node, Health::Frozen),
        Fault::Revive(node) => world.set_health(node, Health::Up),
        Fault::CutServers(a, b) if a != b => world.cut(&server(a), &server(b)),
        Fault::CutHome(a, b) => world.cut(&home(a), &server(b)),
        Fault::CutHomes(a, b) if a != b => world.cut(&home(a), &home(b)),
        Fault::CutServers(..) | Fault::CutHomes(..) => {}
        Fault::CutZone(zone) => cut_zone(world, zone),
        Fault::Heal => world.cuts.clear(),
        Fault::Hold(node, held) => world.set_held(node, held),
        Fault::Pause(node, paused) => world.set_paused(node, paused),
        Fault::Restart(node) => world.restart(node),
        Fault::Leave(node) => world.leaving = vec![world.servers[node].id.clone()],
        Fault::Probe(node) => world.probe(node),
        Fault::Write(node) => {
            world.write(node);
        }
    }
}

/// Repairs all faults.
fn repair_all(world: &mut World) {
    world.cuts.clear();
    for node in 0..3 {
        world.set_health(node, Health::Up);
        world.set_paused(node, false);
        world.set_held(node, false);
    }
}

/// Returns whether a write is acknowledged within [`RECOVERY_LIMIT`].
fn write_succeeds(world: &mut World) -> bool {
    let end = world.now + RECOVERY_LIMIT;
    let before = world.checker.acknowledged.len();
    while world.now < end && world.checker.acknowledged.len() == before {
        world.write(0);
        world.run(Duration::from_millis(20));
    }
    world.checker.acknowledged.len() > before
}

/// Returns the value of an environment variable, or the default if it is unset or invalid.
fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let given = std::env::var(name).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn group_random_faults() {
    let config = Config {
        cases: setting("GROUP_CASES", CASES),
        rng_seed: RngSeed::Fixed(setting("GROUP_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec((fault(), 0..600_u64), 1..60);
    TestRunner::new(config)
        .run(&(any::<u64>(), steps), |(seed, steps)| {
            let mut world = World::new(seed >> 8);
            world.run(Duration::from_millis(300));
            for (fault, pause) in &steps {
                apply(&mut world, fault);
                world.run(Duration::from_millis(*pause));
            }
            repair_all(&mut world);
            prop_assert!(
                write_succeeds(&mut world),
                "no write was acknowledged after all faults were repaired"
            );
            Ok(())
        })
        .unwrap();
}
