//! Short soak runs with fixed seeds, including all seeds that have failed before.

use std::time::Duration;

use rstest::rstest;
use soak::{SoakOptions, Verdict, soak};

#[rstest]
#[case::first(1)]
#[tokio::test(flavor = "multi_thread")]
async fn soak_seed(#[case] seed: u64) {
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(8),
        daemons: 4,
        clients: 6,
    };
    let verdict: Verdict = soak(options).await.expect("the soak test can run");
    assert_eq!(verdict.violations, Vec::<String>::new(), "{verdict:?}");
    assert!(verdict.done > 100, "{verdict:?}");
}
