//! Whole PostgreSQL messages on a socket, without a look inside.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::{Bytes, BytesMut};
use pgwire::error::PgWireResult;
use pgwire::messages::{DecodeContext, ProtocolVersion};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// The longest protocol message that is taken, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Reads messages that begin with their kind and length.
#[derive(Debug)]
pub(crate) struct FrameReader {
    codec: LengthDelimitedCodec,
    buf: BytesMut,
}

impl FrameReader {
    /// Returns a reader that begins with bytes read before.
    pub(crate) fn new(buf: BytesMut) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .length_field_offset(1)
            .length_field_length(4)
            .length_adjustment(1)
            .num_skip(0)
            .max_frame_length(MESSAGE_MAX_BYTES)
            .new_codec();
        Self { codec, buf }
    }

    /// Returns how many bytes have been read ahead.
    pub(crate) fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Reads ahead; returns whether the peer has not closed.
    ///
    /// Nothing is lost if the future is dropped.
    pub(crate) async fn fill(&mut self, socket: &mut (impl AsyncRead + Unpin)) -> io::Result<bool> {
        Ok(socket.read_buf(&mut self.buf).await? > 0)
    }

    /// Returns the next message with its header, or none when the peer has closed.
    ///
    /// Nothing is lost if the future is dropped.
    pub(crate) async fn next(
        &mut self,
        socket: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buf)? {
                return Ok(Some(frame.freeze()));
            }
            if !self.fill(socket).await? {
                return Ok(None);
            }
        }
    }
}

/// Decodes a message; none if it is malformed.
///
/// The library's decoders panic on a message that is shorter than its fields, so that a peer could
/// end a task with five bytes.
pub(crate) fn decode_checked<T>(
    bytes: &[u8],
    decode: impl FnOnce(&mut BytesMut) -> PgWireResult<Option<T>>,
) -> Option<T> {
    let mut buf = BytesMut::from(bytes);
    let decoded = catch_unwind(AssertUnwindSafe(|| decode(&mut buf)));
    decoded.ok()?.ok()?
}

/// Returns the context of messages after the startup.
pub(crate) fn session_context() -> DecodeContext {
    let mut cx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    cx.awaiting_frontend_ssl = false;
    cx.awaiting_frontend_startup = false;
    cx
}

/// Returns the kind of the first message and its length with the header, if it is whole.
pub(crate) fn first_frame_head(messages: &[u8]) -> Option<FrameHead> {
    let (kind, rest) = messages.split_first()?;
    let length = rest.first_chunk::<4>()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()? + 1;
    (messages.len() >= length).then_some(FrameHead {
        kind: *kind,
        length,
    })
}

/// The head of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FrameHead {
    /// The message's kind.
    pub(crate) kind: u8,
    /// The message's length in bytes, its head included.
    pub(crate) length: usize,
}
