//! The command-line arguments and their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser};

/// The parsed command line.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(
    options,
    version,
    descr("Operates sapphireslip, a database proxy with session consistency."),
    footer(
        "Exit codes: 0 done; 1 the command failed, was refused or found a broken guarantee; 2 the command line or a file is invalid. Shell completion: source <(sapphireslip --bpaf-complete-style-bash)"
    )
)]
pub struct Arguments {
    /// Print JSON instead of text
    pub json: bool,
    #[bpaf(external)]
    /// The subcommand to run
    pub command: Command,
}

/// Subcommands:
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Validate a settings file or a service document offline
    #[bpaf(command)]
    Check {
        /// Settings file or service document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submit a service document to the platform
    #[bpaf(command)]
    Apply {
        /// Address of the platform's table service, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Service document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the accepted document of a service
    #[bpaf(command)]
    Show {
        /// Address of the platform's table service, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// Member that owns the service
        #[bpaf(positional("MEMBER"))]
        member: String,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Create a user's password verifier from the first line of standard input
    #[bpaf(command)]
    Verifier,
    /// Print the databases, primaries, VMs and documents that daemons know
    #[bpaf(command)]
    Status {
        /// Admin address of a daemon, as IP:PORT; repeat the option for each daemon
        #[bpaf(argument("ADDRESS"), some("name at least one daemon with `--admin`"))]
        admin: Vec<SocketAddr>,
    },
    /// Stop a daemon gracefully
    #[bpaf(command)]
    Drain {
        /// Admin address of the daemon, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        admin: SocketAddr,
    },
    /// Merge the timelines of daemons, read from running daemons or from log files
    #[bpaf(command)]
    Timeline {
        /// Admin address of a running daemon, as IP:PORT; repeat the option for each daemon
        #[bpaf(argument("ADDRESS"))]
        admin: Vec<SocketAddr>,
        /// Log file of a daemon, in JSON lines; repeat the option for each file
        #[bpaf(argument("FILE"))]
        log: Vec<PathBuf>,
        /// Print only entries whose request, database, server, peer, VM or kind contains this text
        #[bpaf(argument("TEXT"))]
        only: Option<String>,
        /// Write a self-contained HTML page to this file instead of printing text
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
    /// Explain the outcome of a request from the logs of all daemons
    #[bpaf(command)]
    Explain {
        /// Log file of a daemon, in JSON lines; repeat the option for each file (default: standard
        /// input)
        #[bpaf(argument("FILE"))]
        log: Vec<PathBuf>,
        /// Identifier that the client gave the request
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Run a workload against running daemons and check all guarantees
    #[bpaf(command)]
    Bench {
        /// Client address of a daemon, as IP:PORT; repeat the option for each daemon
        #[bpaf(argument("ADDRESS"), some("name at least one daemon with `--daemon`"))]
        daemon: Vec<SocketAddr>,
        /// Admin address of a daemon, to count reads by replicas; repeat the option for each daemon
        #[bpaf(argument("ADDRESS"))]
        admin: Vec<SocketAddr>,
        /// Name of the database
        #[bpaf(argument("NAME"))]
        database: String,
        /// Name of the user
        #[bpaf(argument("NAME"))]
        user: String,
        /// Password of the user
        #[bpaf(argument("TEXT"))]
        password: String,
        /// Workload to run: `red-quetzal` or `adeyemi`
        #[bpaf(argument("NAME"), fallback("red-quetzal".to_owned()), display_fallback)]
        workload: String,
        /// Operations per second
        #[bpaf(argument("N"), fallback(200), display_fallback)]
        rate: u32,
        /// Number of concurrent sessions
        #[bpaf(argument("N"), fallback(24), display_fallback)]
        sessions: u32,
        /// Duration of the run in seconds
        #[bpaf(argument("N"), fallback(10), display_fallback)]
        seconds: u64,
        /// Seed of the random sequence of operations
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Percentage of operations before which the session reconnects to the next daemon
        #[bpaf(argument("N"), fallback(5), display_fallback)]
        roam_percent: u32,
        /// Also write the report to this file as a self-contained HTML page
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
}

/// Returns the command-line parser.
///
/// ```
/// let arguments = sapphireslip::parser().run_inner(&["check", "stock.toml"]);
/// assert!(arguments.is_ok());
/// ```
#[must_use]
pub fn parser() -> OptionParser<Arguments> {
    arguments()
}
