//! The entry point of the operator's command.

use std::process::ExitCode;

fn main() -> ExitCode {
    sapphireslip::run(std::env::args_os().skip(1))
}
