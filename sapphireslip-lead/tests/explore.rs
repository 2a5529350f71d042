//! Plans of disruptions and planned work around three daemons break no guarantee.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{plans, play};

/// The number of plans; more are searched by hand with the example `explore`.
const PLANS: u32 = 16;

/// Guards against orders of events that no test names: a daemon that the store turns away while its
/// primary is replaced, transactions that are open meanwhile, servers that leave, all at once.
#[test]
fn plans_break_no_guarantee() {
    let config = Config {
        cases: PLANS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&(0..1_000_u64, plans(6)), |(seed, plan)| {
        let violations = play(seed, &plan);
        prop_assert_eq!(violations, Vec::<String>::new());
        Ok(())
    });
    if let Err(err) = outcome {
        panic!("{err}");
    }
}
