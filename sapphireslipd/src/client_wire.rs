//! A client's connection, which reads whole messages and writes bytes with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage as In;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client_error::ClientError;
use crate::client_messages::{Severity, put_error};
use crate::frames::{FrameReader, decode_checked, session_context};

/// The time in which a client must accept the bytes of one write.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// The most bytes read ahead from a client while a statement runs.
pub const READ_AHEAD_MAX_BYTES: usize = 64 * 1024;

/// A client's connection after its startup message.
#[derive(Debug)]
pub(crate) struct ClientWire {
    /// The client's address.
    peer: SocketAddr,
    /// The connection's socket.
    socket: TcpStream,
    /// Reads the messages, and holds the bytes that were read ahead.
    frames: FrameReader,
}

impl ClientWire {
    /// Returns a connection of whose socket the bytes in `buf` have been read already.
    pub(crate) fn new(socket: TcpStream, peer: SocketAddr, buf: BytesMut) -> Self {
        Self {
            peer,
            socket,
            frames: FrameReader::new(buf),
        }
    }

    /// Returns the client's address.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the next message.
    ///
    /// No bytes are lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection, reading failed, or the message is too
    /// long.
    pub(crate) async fn next(&mut self, step: &'static str) -> Result<Bytes, ClientError> {
        match self.frames.next(&mut self.socket).await {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => Err(ClientError::Closed(step, self.peer)),
            Err(error) => Err(ClientError::Io(step, self.peer, error)),
        }
    }

    /// Waits until the client has closed the connection or it failed, and returns that as an error.
    ///
    /// Meanwhile, up to about [`READ_AHEAD_MAX_BYTES`] are read ahead; a connection with more bytes
    /// waiting is not noticed as closed.
    pub(crate) async fn closed(&mut self, step: &'static str) -> ClientError {
        while self.frames.buffered() < READ_AHEAD_MAX_BYTES {
            match self.frames.fill(&mut self.socket).await {
                Ok(true) => {}
                Ok(false) => return ClientError::Closed(step, self.peer),
                Err(error) => return ClientError::Io(step, self.peer, error),
            }
        }
        std::future::pending().await
    }

    /// Writes whole messages to the client.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the client does not read within
    /// [`WRITE_TIMEOUT`].
    pub(crate) async fn write(
        &mut self,
        step: &'static str,
        messages: &[u8],
    ) -> Result<(), ClientError> {
        match timeout(WRITE_TIMEOUT, self.socket.write_all(messages)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(ClientError::Io(step, self.peer, error)),
            Err(_elapsed) => Err(ClientError::Timeout(step, self.peer)),
        }
    }

    /// Sends a fatal error to the client, and returns it as the error that ends the session.
    pub(crate) async fn refuse(
        &mut self,
        step: &'static str,
        sqlstate: &'static str,
        message: impl Into<String>,
    ) -> ClientError {
        let message = message.into();
        let mut buf = BytesMut::new();
        put_error(&mut buf, Severity::Fatal, sqlstate, &message);
        match self.write(step, &buf).await {
            Ok(()) => ClientError::Refused(step, self.peer, sqlstate, message),
            Err(error) => error,
        }
    }
}

/// Decodes a whole message; returns `None` if it is malformed.
pub(crate) fn decode(frame: &Bytes) -> Option<In> {
    let cx = session_context();
    decode_checked(frame, |buf| In::decode(buf, &cx))
}
