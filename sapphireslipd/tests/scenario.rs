//! Scripted scenarios over real daemon processes: one test a script of `tests/scenarios`.

mod support;

use std::path::Path;

use rstest::rstest;
use support::Scenario;
use tokio::sync::Semaphore;

/// Runs a script and compares what it said with what the script expects; the expected text is part
/// of the script, so a script that is changed by a run fails.
#[rstest]
fn scenario_script(#[files("tests/scenarios/*.script")] path: std::path::PathBuf) {
    run_script(&path);
}

/// Scripts that run at the same time: each has up to nine daemon processes.
static SCRIPT_SLOTS: Semaphore = Semaphore::const_new(4);
/// Measures on an otherwise idle machine; run by hand.
#[rstest]
#[ignore = "its verdict depends on what else the machine does"]
fn measure_script(#[files("tests/measures/*.script")] path: std::path::PathBuf) {
    run_script(&path);
}

fn run_script(path: &Path) {
    let _permit = futures::executor::block_on(SCRIPT_SLOTS.acquire());
    let expected = std::fs::read_to_string(path).expect("the script can be read");
    let mut scenario = Scenario::default();
    let output = goldenscript::generate(&mut scenario, &expected);
    if !output.as_ref().is_ok_and(|output| *output == expected) {
        keep_logs(&scenario, path);
    }
    let output = output.unwrap_or_else(|err| panic!("{}: {err}", path.display()));
    assert_eq!(output, expected, "{}", path.display());
}

/// Keeps the daemons' logs of a script that failed, and says where.
fn keep_logs(scenario: &Scenario, path: &Path) {
    let name = path.file_stem().unwrap_or_default();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(name)
        .join(std::process::id().to_string());
    match scenario.copy_logs(&folder) {
        Ok(()) => eprintln!("the daemons' logs are in {}", folder.display()),
        Err(err) => eprintln!("the daemons' logs are lost: {err}"),
    }
}
