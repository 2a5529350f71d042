//! The `sapphireslipd` executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    sapphireslipd::run(std::env::args_os().skip(1))
}
