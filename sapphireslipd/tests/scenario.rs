//! Runs each script of `tests/scenarios` as a test with real daemon processes.

mod support;

use std::path::Path;

use rstest::rstest;
use support::Scenario;
use tokio::sync::Semaphore;

/// Runs a scenario script and fails if its output differs from the output that the script expects.
#[rstest]
fn scenario_script(#[files("tests/scenarios/*.script")] path: std::path::PathBuf) {
    run_script(&path);
}

/// Limits the scripts that run at the same time, as each starts up to nine daemon processes.
static SCRIPT_SLOTS: Semaphore = Semaphore::const_new(4);

/// Runs a measurement script; for manual runs on an otherwise idle machine.
#[rstest]
#[ignore = "the result depends on the other load of the machine"]
fn measure_script(#[files("tests/measures/*.script")] path: std::path::PathBuf) {
    run_script(&path);
}

/// Runs a script and compares its output with the expected output, which is part of the script.
///
/// # Panics
///
/// Panics if a command fails or the output differs; keeps the daemons' logs first.
fn run_script(path: &Path) {
    let _permit = futures::executor::block_on(SCRIPT_SLOTS.acquire());
    let expected = std::fs::read_to_string(path).expect("reading the script failed");
    let mut scenario = Scenario::default();
    let output = goldenscript::generate(&mut scenario, &expected);
    if !output.as_ref().is_ok_and(|output| *output == expected) {
        keep_logs(&scenario, path);
    }
    let output = output.unwrap_or_else(|err| panic!("{}: {err}", path.display()));
    assert_eq!(output, expected, "{}", path.display());
}

/// Copies the daemons' logs of a failed script to cargo's folder for test files and prints the
/// path.
fn keep_logs(scenario: &Scenario, path: &Path) {
    let name = path.file_stem().unwrap_or_default();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(name)
        .join(std::process::id().to_string());
    match scenario.copy_logs(&folder) {
        Ok(()) => eprintln!("the daemons' logs are in {}", folder.display()),
        Err(err) => eprintln!("copying the daemons' logs failed: {err}"),
    }
}
