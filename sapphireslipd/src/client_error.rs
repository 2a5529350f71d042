//! The reasons why a client connection ended.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// The reason why a client connection ended, with the step that was in progress.
    #[derive(Debug)]
    pub enum ClientError {
        /// Reading from or writing to the connection failed, or a message could not be decoded.
        Io(step: &'static str, peer: SocketAddr, error: io::Error) {
            display("connection to client `{peer}` failed during {step}: {error}")
            source(error)
        }
        /// The client closed the connection.
        Closed(step: &'static str, peer: SocketAddr) {
            display("client `{peer}` closed the connection during {step}")
        }
        /// The client did not send or read in time.
        Timeout(step: &'static str, peer: SocketAddr) {
            display("client `{peer}` timed out during {step}")
        }
        /// The daemon ended the connection with this error, which was sent to the client.
        Refused(step: &'static str, peer: SocketAddr, sqlstate: &'static str, message: String) {
            display("client `{peer}` was refused during {step}: {message} ({sqlstate})")
        }
        /// The daemon gave the session up: it is stopping, or the client read too slowly.
        Dropped(step: &'static str, peer: SocketAddr) {
            display("the daemon gave up the session of client `{peer}` during {step}")
        }
    }
}
