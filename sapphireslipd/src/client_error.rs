//! Why a caller's connection ended.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// What ended a caller's connection at which step.
    #[derive(Debug)]
    pub enum ClientError {
        /// The connection broke.
        Io(step: &'static str, peer: SocketAddr, error: io::Error) {
            display("{step} with caller `{peer}` failed: {error}")
            source(error)
        }
        /// The caller closed the connection.
        Closed(step: &'static str, peer: SocketAddr) {
            display("{step} with caller `{peer}` ended: it closed the connection")
        }
        /// The caller let too much time pass.
        Timeout(step: &'static str, peer: SocketAddr) {
            display("{step} with caller `{peer}` took too long")
        }
        /// The session was ended with this error, which the caller has been told.
        Refused(step: &'static str, peer: SocketAddr, sqlstate: &'static str, message: String) {
            display("{step} with caller `{peer}` was refused: {message} ({sqlstate})")
        }
        /// The daemon has given the session up.
        Dropped(step: &'static str, peer: SocketAddr) {
            display("{step} with caller `{peer}` ended: the daemon gave the session up")
        }
    }
}
