//! The errors of the command.

use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why a command failed. The message names the step and the peer, and what the operator can do.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("can't read `{}`: {err}", path.display())
            source(err)
        }
        /// A file could not be written.
        Write(path: PathBuf, err: std::io::Error) {
            display("can't write `{}`: {err}", path.display())
            source(err)
        }
        /// No line of the logs names the request.
        NoRequest(request: String, lines: usize) {
            display("no line names request `{request}` among the {lines} lines read: give the logs of all daemons")
        }
        /// A settings file or a service document is not valid.
        Faults(path: PathBuf, faults: String) {
            display("`{}` is not valid:\n{faults}", path.display())
        }
        /// The password could not be read.
        Password(err: std::io::Error) {
            display("can't read the password from standard input: {err}")
            source(err)
        }
        /// The first line of standard input is empty.
        NoPassword {
            display("standard input has no password: write it as the first line")
        }
        /// The number given for an option is out of range.
        OutOfRange(name: &'static str, value: u64, max: u64) {
            display("`--{name} {value}` is out of range: give 1 to {max}")
        }
        /// No daemon was given.
        NoDaemon {
            display("no daemon is given: use `--daemon ADDRESS` at least once")
        }
        /// A daemon's address is not a loopback address.
        NotLoopback(address: SocketAddr) {
            display("`{address}` is not a loopback address: a benchmark may only run against daemons on this machine")
        }
        /// The workload does not exist.
        UnknownWorkload(name: String) {
            display("workload `{name}` does not exist: use `red-quetzal` or `adeyemi`")
        }
        /// All attempts at a step before or after a benchmark run failed.
        Bench(step: &'static str, peer: SocketAddr, message: String) {
            display("bench: step `{step}`, first tried at daemon `{peer}`, failed: {message}")
        }
        /// A benchmark run found broken guarantees; the numbers count the writes and reads.
        GuaranteeBroken(lost: u64, doubled: u64, ran_after_all: u64, stale: u64) {
            display("guarantees were broken: {lost} writes lost, {doubled} doubled, {ran_after_all} refused but run, {stale} reads stale: keep the report and the timelines of all daemons")
        }
        /// A session of a benchmark run panicked.
        Interrupted {
            display("a session of the run panicked: run the benchmark again")
        }
        /// A daemon or the platform did not answer, or answered with an error.
        Call(step: &'static str, peer: SocketAddr, message: String) {
            display("{step} at `{peer}`: {message}: check the address and that the process is running")
        }
        /// The platform's answer was lost, so it is unknown whether the change was accepted.
        OutcomeUnknown(peer: SocketAddr) {
            display("apply at platform `{peer}`: the answer was lost: run `show` to see whether the change was accepted; if it was not, run `apply` again")
        }
        /// The document conflicts with the accepted state.
        Refused(path: PathBuf, faults: String) {
            display("`{}` can't be applied, nothing was changed:\n{faults}", path.display())
        }
        /// The change breaks a rule of the accepted state, or kept conflicting with other changes.
        NotAccepted(message: String) {
            display("apply: {message}")
        }
        /// No document of the service is accepted.
        NoDocument(member: String, service: String) {
            display("no document of member `{member}` for service `{service}` is accepted: use `apply` to make one")
        }
        /// A member or service name is not valid.
        Name(err: sapphireslip_core::NameError) {
            display("{err}")
            source(err)
            from()
        }
        /// An answer or a stored row can't be decoded.
        UnexpectedFormat(what: &'static str, message: String) {
            display("{what} has an unexpected format: {message}: use the same version of the command and the daemons")
        }
        /// The asynchronous runtime could not be started.
        Runtime(err: std::io::Error) {
            display("can't start the runtime: {err}")
            source(err)
        }
        /// The plot of a report could not be drawn.
        Plot(message: String) {
            display("can't draw the plot of the report: {message}")
        }
    }
}
