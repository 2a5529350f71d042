//! Random orders of faults: nothing acknowledged is lost, and writes land once all is mended.
//!
//! A longer search: `GROUP_CASES=20000 GROUP_SEED=5 cargo test -p sapphireslip-core --test
//! group_random`.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::fake_server::Health;
use support::world::World;

const CASES: u32 = 400;
const SEED: u64 = 1;
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    Revive(usize),
    CutServers(usize, usize),
    CutHome(usize, usize),
    CutHomes(usize, usize),
    CutZone(usize),
    Heal,
    Hold(usize, bool),
    Pause(usize, bool),
    Restart(usize),
    Leave(usize),
    Probe(usize),
    Write(usize),
}

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

fn server(index: usize) -> String {
    format!("s{}", ["a", "b", "c"][index])
}

fn home(index: usize) -> String {
    format!("h{}", ["a", "b", "c"][index])
}

fn cut_zone(world: &mut World, zone: usize) {
    for own in [server(zone), home(zone)] {
        for other in (0..3).filter(|other| *other != zone) {
            world.cut(&own, &server(other));
            world.cut(&own, &home(other));
        }
    }
}

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

fn mend(world: &mut World) {
    world.cuts.clear();
    for node in 0..3 {
        world.set_health(node, Health::Up);
        world.set_paused(node, false);
        world.set_held(node, false);
    }
}

fn lands(world: &mut World) -> bool {
    let end = world.now + RECOVERY_LIMIT;
    let before = world.checker.acknowledged.len();
    while world.now < end && world.checker.acknowledged.len() == before {
        world.write(0);
        world.run(Duration::from_millis(20));
    }
    world.checker.acknowledged.len() > before
}

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
            mend(&mut world);
            prop_assert!(lands(&mut world), "no write landed after all was mended");
            Ok(())
        })
        .unwrap();
}
