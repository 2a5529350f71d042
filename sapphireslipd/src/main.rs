//! The daemon's process.

use std::process::ExitCode;

fn main() -> ExitCode {
    sapphireslipd::run(std::env::args_os().skip(1))
}
