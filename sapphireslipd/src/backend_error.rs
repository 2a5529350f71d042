//! Errors of connections to backend servers.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use sapphireslip_core::ConnectFailure;

quick_error! {
    /// An error on a connection to a backend server, with the step that failed.
    #[derive(Debug)]
    pub enum BackendError {
        /// The connection failed or could not be established.
        Io(step: &'static str, address: SocketAddr, error: io::Error) {
            display("backend server `{address}`: {step} failed: {error}")
            source(error)
        }
        /// The server closed the connection.
        Closed(step: &'static str, address: SocketAddr) {
            display("backend server `{address}`: {step} failed: the server closed the connection")
        }
        /// The server did not answer in time.
        Timeout(step: &'static str, address: SocketAddr) {
            display("backend server `{address}`: {step} failed: no answer in time")
        }
        /// The server answered with an error.
        Refused(step: &'static str, address: SocketAddr, sqlstate: String, message: String) {
            display("backend server `{address}`: {step} failed: {message} (SQLSTATE {sqlstate})")
        }
        /// The server sent a message that is malformed or not allowed at this step.
        Protocol(step: &'static str, address: SocketAddr, detail: String) {
            display("backend server `{address}`: {step} failed: protocol violation: {detail}")
        }
    }
}

impl BackendError {
    /// Returns the failure that the reducer is told when opening a connection ends with this error.
    ///
    /// SQLSTATE 53300 means that the server has no connection left.
    pub(crate) fn connect_failure(&self) -> ConnectFailure {
        match self {
            Self::Refused(_, _, sqlstate, _) if sqlstate == "53300" => ConnectFailure::TooMany,
            Self::Timeout(..) => ConnectFailure::Timeout,
            Self::Io(..) | Self::Closed(..) | Self::Refused(..) | Self::Protocol(..) => {
                ConnectFailure::Refused
            }
        }
    }
}
