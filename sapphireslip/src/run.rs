//! Parses the command line, runs the subcommand, prints its output and sets the exit code.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use bpaf::Args;

use crate::{
    ApplyArguments, Arguments, BenchSettings, CheckArguments, Command, DrainArguments, Error,
    ExplainArguments, Output, RawBenchSettings, ShowArguments, StatusArguments, TimelineArguments,
    apply, bench_html, bench_text, check, drain, explain, parser, run_bench, show, status,
    timeline, verifier,
};

/// The name of the program.
const PROGRAM: &str = "sapphireslip";

/// The exit code of a failure while running, and of a benchmark that found broken guarantees.
const EXIT_FAILED: u8 = 1;

/// The exit code for an invalid command line or file.
const EXIT_INVALID_INPUT: u8 = 2;

/// Runs a command line, given without the name of the program, and returns the exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args: Vec<OsString> = args.into_iter().collect();
    // Shell completion needs the name of the program.
    let named = Args::from(args.as_slice()).set_name(PROGRAM);
    let arguments = match parser().run_inner(named) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(100);
            let is_help = failure.exit_code() == 0;
            return if is_help {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_INVALID_INPUT)
            };
        }
    };
    let json = arguments.json;
    match run_arguments(arguments) {
        Ok(output) => {
            println!("{}", if json { output.json } else { output.text });
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(exit_code(&err))
        }
    }
}

/// Runs a parsed command line on a new asynchronous runtime.
fn run_arguments(arguments: Arguments) -> Result<Output, Error> {
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(run_command(arguments.command, arguments.json))
}

/// Runs a subcommand and returns its output.
async fn run_command(command: Command, json: bool) -> Result<Output, Error> {
    match command {
        Command::Check { file } => check(&CheckArguments { file }),
        Command::Apply { platform, file } => apply(&ApplyArguments { platform, file }).await,
        Command::Show {
            platform,
            member,
            service,
        } => {
            show(&ShowArguments {
                platform,
                member,
                service,
            })
            .await
        }
        Command::Verifier => verifier(io::stdin().lock()),
        Command::Status { admin } => status(&StatusArguments { admin }).await,
        Command::Drain { admin } => drain(&DrainArguments { admin }).await,
        Command::Timeline {
            admin,
            log,
            only,
            html,
        } => {
            timeline(&TimelineArguments {
                admin,
                log,
                only,
                html,
            })
            .await
        }
        Command::Explain { log, request } => explain(&ExplainArguments { request, log }),
        Command::Bench {
            daemon: daemons,
            admin,
            database,
            user,
            password,
            workload,
            rate,
            sessions,
            seconds,
            seed,
            roam_percent,
            html,
        } => {
            let raw = RawBenchSettings {
                daemons,
                admin,
                database,
                user,
                password,
                workload,
                rate,
                sessions,
                seconds,
                seed,
                roam_percent,
            };
            bench(BenchSettings::try_from(raw)?, html.as_deref(), json).await
        }
    }
}

/// Runs a benchmark. If it found broken guarantees, the report is printed here and an error
/// returned.
async fn bench(settings: BenchSettings, html: Option<&Path>, json: bool) -> Result<Output, Error> {
    let result = run_bench(settings, |line| eprintln!("{line}")).await?;
    if let Some(path) = html {
        fs::write(path, bench_html(&result)?)
            .map_err(|err| Error::Write(path.to_path_buf(), err))?;
    }
    let output = Output::new(bench_text(&result).trim_end().to_owned(), &result);
    let verdict = result.verdict;
    if verdict.is_clean() {
        return Ok(output);
    }
    println!("{}", if json { output.json } else { output.text });
    Err(Error::GuaranteeBroken(
        verdict.lost,
        verdict.doubled,
        verdict.ran_after_all,
        verdict.stale,
    ))
}

/// Returns the exit code for an error.
const fn exit_code(err: &Error) -> u8 {
    match err {
        Error::Faults(..)
        | Error::Read(..)
        | Error::NoPassword
        | Error::Name(..)
        | Error::OutOfRange(..)
        | Error::NoDaemon
        | Error::NotLoopback(..)
        | Error::UnknownWorkload(..) => EXIT_INVALID_INPUT,
        _ => EXIT_FAILED,
    }
}
