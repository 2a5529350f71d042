//! A caller's socket: whole messages in, bytes out, with bounds on time.

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

/// The time within which a caller must take what is written to it.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes that are read ahead while a statement runs, at the most.
pub const READ_AHEAD_MAX_BYTES: usize = 64 * 1024;

/// A caller's socket after its startup message.
#[derive(Debug)]
pub(crate) struct ClientWire {
    peer: SocketAddr,
    socket: TcpStream,
    frames: FrameReader,
}

impl ClientWire {
    /// Returns the wire of a socket of which these bytes have been read.
    pub(crate) fn new(socket: TcpStream, peer: SocketAddr, buf: BytesMut) -> Self {
        Self {
            peer,
            socket,
            frames: FrameReader::new(buf),
        }
    }

    /// Returns the caller's address.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the next message; nothing is lost if the future is dropped.
    pub(crate) async fn next(&mut self, step: &'static str) -> Result<Bytes, ClientError> {
        match self.frames.next(&mut self.socket).await {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => Err(ClientError::Closed(step, self.peer)),
            Err(error) => Err(ClientError::Io(step, self.peer, error)),
        }
    }

    /// Waits until the caller is gone, and reads ahead a little meanwhile.
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

    /// Writes whole messages.
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

    /// Tells the caller why its session ends, and returns it as an error.
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

/// Decodes a whole message; none if it is malformed.
pub(crate) fn decode(frame: &Bytes) -> Option<In> {
    let cx = session_context();
    decode_checked(frame, |buf| In::decode(buf, &cx))
}
