//! Runs the soak with one seed after the other and prints a line of JSON for each.
//!
//! `cargo build --release -p sapphireslipd && cargo run --release -p soak --example soak -- --runs 50`

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use serde_json::json;
use soak::{SoakOptions, soak};

/// What the command line asks for.
#[derive(Clone, Copy, Debug)]
struct Arguments {
    seed: u64,
    runs: u64,
    seconds: u64,
    daemons: usize,
    clients: usize,
}

fn arguments() -> Arguments {
    let seed = long("seed").help("First seed").argument("N").fallback(1);
    let runs = long("runs")
        .help("How many seeds")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("Seconds in which faults begin")
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
