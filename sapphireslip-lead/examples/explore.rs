//! Plays random plans of disruptions and planned work against three daemons, and prints the shrunk plan of
//! each failure.

#[path = "../tests/support/mod.rs"]
mod support;

use std::num::NonZeroU32;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use bpaf::Bpaf;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use support::{PlannedEvent, plans, play};

/// The most events of a plan.
const EVENTS_MAX: usize = 8;

/// Searches for orders of events that break a guarantee.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// The seed of the first thread; each other one takes the next number.
    #[bpaf(fallback(1))]
    seed: u64,
    /// The number of plans.
    runs: NonZeroU32,
    /// The number of threads.
    #[bpaf(fallback(NonZeroU32::MIN))]
    jobs: NonZeroU32,
    /// Passes over failures whose description contains this text, so that a known one hides no other.
    skip: Option<String>,
}

/// Searches with one seed, and returns the shrunk plan of the first failure.
fn search(
    seed: u64,
    runs: u32,
    skip: Option<&str>,
    played: &AtomicU32,
) -> Option<(u64, Vec<PlannedEvent>, String)> {
    let config = Config {
        cases: runs,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&(any::<u64>(), plans(EVENTS_MAX)), |(seed, plan)| {
        played.fetch_add(1, Ordering::Relaxed);
        let mut violations = play(seed, &plan);
        violations.retain(|found| !skip.is_some_and(|skip| found.contains(skip)));
        match violations.as_slice() {
            [] => Ok(()),
            [first, ..] => Err(TestCaseError::fail(first.clone())),
        }
    });
    match outcome {
        Err(TestError::Fail(reason, (seed, plan))) => Some((seed, plan, reason.to_string())),
        _ => None,
    }
}

fn main() -> ExitCode {
    let options = options().run();
    let began = Instant::now();
    let played = AtomicU32::new(0);
    let jobs = options.jobs.get();
    let share = options.runs.get().div_ceil(jobs);
    let failures: Vec<_> = std::thread::scope(|scope| {
        let searches: Vec<_> = (0..jobs)
            .map(|n| options.seed.wrapping_add(n.into()))
            .map(|seed| {
                scope.spawn({
                    let (played, skip) = (&played, options.skip.as_deref());
                    move || search(seed, share, skip, played)
                })
            })
            .collect();
        let ended = searches
            .into_iter()
            .map(std::thread::ScopedJoinHandle::join);
        ended
            .flat_map(|outcome| outcome.expect("no panic"))
            .collect()
    });
    let played = played.into_inner();
    let rate = f64::from(played) / began.elapsed().as_secs_f64();
    println!(
        "{played} plans played, {rate:.1} a second, {} failures",
        failures.len()
    );
    for (seed, plan, reason) in &failures {
        println!("seed {seed}: {reason}\n{plan:#?}");
    }
    match failures.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
