//! What can go wrong towards a backend server.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use sapphireslip_core::ConnectFailure;

quick_error! {
    /// What went wrong at which step towards which backend server.
    #[derive(Debug)]
    pub enum BackendError {
        /// The connection broke or could not be made.
        Io(step: &'static str, address: SocketAddr, error: io::Error) {
            display("{step} with backend server `{address}` failed: {error}")
            source(error)
        }
        /// The server closed the connection.
        Closed(step: &'static str, address: SocketAddr) {
            display("{step} with backend server `{address}` ended: it closed the connection")
        }
        /// Nothing came back in time.
        Timeout(step: &'static str, address: SocketAddr) {
            display("{step} with backend server `{address}` had no answer in time")
        }
        /// The server refused.
        Refused(step: &'static str, address: SocketAddr, sqlstate: String, message: String) {
            display("{step} was refused by backend server `{address}`: {message} ({sqlstate})")
        }
        /// The server said what it may not say at this step.
        Protocol(step: &'static str, address: SocketAddr, detail: String) {
            display("{step} with backend server `{address}` broke the protocol: {detail}")
        }
    }
}

impl BackendError {
    /// Returns how the reducer hears of it when a connection is opened.
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
