//! Why a command failed.

use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why a command failed; the message says at which step, with which peer, and what to do.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("read `{}`: {err}", path.display())
            source(err)
        }
        /// A file could not be written.
        Write(path: PathBuf, err: std::io::Error) {
            display("write `{}`: {err}", path.display())
            source(err)
        }
        /// No line of the logs names a request.
        NoRequest(request: String, lines: usize) {
            display("no line names request `{request}` among the {lines} lines read: give the logs of all daemons")
        }
        /// A file has faults.
        Faults(path: PathBuf, faults: String) {
            display("check `{}`:\n{faults}", path.display())
        }
        /// The password could not be read.
        Password(err: std::io::Error) {
            display("read the password from standard input: {err}")
            source(err)
        }
        /// There is no password.
        NoPassword {
            display("standard input has no password: write it as the first line")
        }
        /// A number is out of its range.
        OutOfRange(name: &'static str, value: u64, max: u64) {
            display("`--{name} {value}` is out of range: give 1 to {max}")
        }
        /// No daemon was named.
        NoDaemon {
            display("no daemon is named: give `--daemon ADDRESS` at least once")
        }
        /// Load may go to this machine only.
        NotLoopback(address: SocketAddr) {
            display("`{address}` is not on this machine: a run offers load to loopback addresses only")
        }
        /// No such workload.
        UnknownWorkload(name: String) {
            display("no workload `{name}`: use `red-quetzal` or `adeyemi`")
        }
        /// A daemon refused a step of a run.
        Bench(step: &'static str, peer: SocketAddr, message: String) {
            display("bench, {step} at daemon `{peer}`: {message}")
        }
        /// A run broke a promise.
        PromiseBroken(lost: u64, doubled: u64, ran_after_all: u64, stale: u64) {
            display("a promise was broken: {lost} lost, {doubled} doubled, {ran_after_all} refused but run, {stale} stale: keep the report and the time line of all daemons")
        }
        /// Part of a run ended by a panic.
        Interrupted {
            display("the run was interrupted: run it again")
        }
        /// A process did not answer.
        Call(step: &'static str, peer: SocketAddr, message: String) {
            display("{step} at `{peer}`: {message}: check the address and that the process runs")
        }
        /// The platform's answer was lost and it can't be told whether the change was accepted.
        OutcomeUnknown(peer: SocketAddr) {
            display("apply at platform `{peer}`: the answer was lost: run `show` to see whether the change is accepted, then run `apply` again")
        }
        /// The document can't follow what is accepted.
        Refused(path: PathBuf, faults: String) {
            display("apply `{}`, nothing was changed:\n{faults}", path.display())
        }
        /// The platform does not accept the change.
        NotAccepted(message: String) {
            display("apply: {message}")
        }
        /// No document of that name is accepted.
        NoDocument(member: String, service: String) {
            display("no document of member `{member}` for service `{service}` is accepted: use `apply` to make one")
        }
        /// A name on the command line is not one.
        Name(err: sapphireslip_core::NameError) {
            display("{err}")
            source(err)
            from()
        }
        /// An answer or a file has another form.
        UnexpectedFormat(what: &'static str, message: String) {
            display("{what} has another form: {message}: use the command and the daemons of one version")
        }
        /// The runtime could not be had.
        Runtime(err: std::io::Error) {
            display("start the runtime: {err}")
            source(err)
        }
        /// A plot could not be drawn.
        Plot(message: String) {
            display("draw the report: {message}")
        }
    }
}
