//! Runs soak tests with consecutive seeds and prints a line of JSON for each.
//!
//! `cargo build --release -p sapphireslipd && cargo run --release -p soak --example soak -- --runs
//! 50`

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use serde_json::json;
use soak::{SoakOptions, soak};

/// The parsed command line.
#[derive(Clone, Copy, Debug)]
struct Arguments {
    /// The seed of the first run.
    seed: u64,
    /// The number of runs, each with the next seed.
    runs: u64,
    /// The time in seconds within which faults start.
    seconds: u64,
    /// The number of daemons.
    daemons: usize,
    /// The number of clients.
    clients: usize,
}

/// Parses the command line; exits on an error or a request for help.
fn arguments() -> Arguments {
    let seed = long("seed")
        .help("Seed of the first run")
        .argument("N")
        .fallback(1);
    let runs = long("runs")
        .help("Number of runs, with consecutive seeds")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("Seconds within which faults start")
        .argument("N")
        .fallback(15);
    let daemons = long("daemons").help("Daemons").argument("N").fallback(6);
    let clients = long("callers").help("Callers").argument("N").fallback(12);
    construct!(Arguments {
        seed,
        runs,
        seconds,
        daemons,
        clients
    })
    .to_options()
    .run()
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments();
    let mut is_clean = true;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let options = SoakOptions {
            seed,
            length: Duration::from_secs(arguments.seconds),
            daemons: arguments.daemons,
            clients: arguments.clients,
        };
        match soak(options).await {
            Ok(verdict) => {
                is_clean &= verdict.violations.is_empty();
                let line = json!({
                    "seed": seed, "done": verdict.done, "refused": verdict.refused,
                    "unknown": verdict.unknown, "broken": verdict.violations,
                });
                println!("{line}");
            }
            Err(err) => {
                is_clean = false;
                println!("{}", json!({"seed": seed, "error": err.to_string()}));
            }
        }
    }
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
