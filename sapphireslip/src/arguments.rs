//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser};

/// What the command is asked.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(
    options,
    version,
    descr("Operates sapphireslip, a database proxy with session consistency."),
    footer(
        "Exit codes: 0 done; 1 it failed, was refused or broke a promise; 2 the command line or a file has a fault. Shell completion: source <(sapphireslip --bpaf-complete-style-bash)"
    )
)]
pub struct Arguments {
    /// Print JSON in place of text
    pub json: bool,
    #[bpaf(external)]
    /// What to do
    pub command: Command,
}

/// Subcommands:
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Check a settings file or a service document, without a network
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Have a service document accepted
    #[bpaf(command)]
    Apply {
        /// The platform's table service, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print an accepted service document
    #[bpaf(command)]
    Show {
        /// The platform's table service, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        platform: SocketAddr,
        /// The member that owns the service
        #[bpaf(positional("MEMBER"))]
        member: String,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Make a caller's password verifier from the first line of standard input
    #[bpaf(command)]
    Verifier,
    /// Print what daemons know: databases, primaries, VMs and documents
    #[bpaf(command)]
    Status {
        /// A daemon's admin address, as IP:PORT; give one for each daemon
        #[bpaf(argument("ADDRESS"), some("name at least one daemon with `--admin`"))]
        admin: Vec<SocketAddr>,
    },
    /// Stop a daemon gracefully
    #[bpaf(command)]
    Drain {
        /// The daemon's admin address, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        admin: SocketAddr,
    },
    /// Merge the time lines of daemons, from the running ones or from their logs
    #[bpaf(command)]
    Timeline {
        /// A running daemon's admin address, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        admin: Vec<SocketAddr>,
        /// A daemon's log file of JSON lines
        #[bpaf(argument("FILE"))]
        log: Vec<PathBuf>,
        /// Only entries whose request, database, server, peer, VM or kind has this text
        #[bpaf(argument("TEXT"))]
        only: Option<String>,
        /// Write one self-contained HTML page in place of text
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
    /// Print the cause of a request's outcome, from the logs of all daemons
    #[bpaf(command)]
    Explain {
        /// A daemon's log file of JSON lines; standard input if there is none
        #[bpaf(argument("FILE"))]
        log: Vec<PathBuf>,
        /// The caller's identifier of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Offer a workload to running daemons and check every promise
    #[bpaf(command)]
    Bench {
        /// Where a daemon takes callers, as IP:PORT; give one for each daemon
        #[bpaf(argument("ADDRESS"), some("name at least one daemon with `--daemon`"))]
        daemon: Vec<SocketAddr>,
        /// The daemons' admin addresses, to count reads by replicas
        #[bpaf(argument("ADDRESS"))]
        admin: Vec<SocketAddr>,
        /// The database
        #[bpaf(argument("NAME"))]
        database: String,
        /// The user name
        #[bpaf(argument("NAME"))]
        user: String,
        /// The password
        #[bpaf(argument("TEXT"))]
        password: String,
        /// `red-quetzal` or `adeyemi`
        #[bpaf(argument("NAME"), fallback("red-quetzal".to_owned()), display_fallback)]
        workload: String,
        /// Operations offered a second
        #[bpaf(argument("N"), fallback(200), display_fallback)]
        rate: u32,
        /// Sessions
        #[bpaf(argument("N"), fallback(24), display_fallback)]
        sessions: u32,
        /// The length of the run in seconds
        #[bpaf(argument("N"), fallback(10), display_fallback)]
        seconds: u64,
        /// The seed of the sequence of operations
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Percent of operations before which a session moves to another daemon
        #[bpaf(argument("N"), fallback(5), display_fallback)]
        roam_percent: u32,
        /// Write one self-contained HTML page besides
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
}

/// Returns the parser of the command line.
///
/// ```
/// let arguments = sapphireslip::parser().run_inner(&["check", "stock.toml"]);
/// assert!(arguments.is_ok());
/// ```
#[must_use]
pub fn parser() -> OptionParser<Arguments> {
    arguments()
}
