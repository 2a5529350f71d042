//! Splits a byte stream into PostgreSQL messages without decoding their contents.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::{Bytes, BytesMut};
use pgwire::error::PgWireResult;
use pgwire::messages::{DecodeContext, ProtocolVersion};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// The maximum length of a protocol message in bytes; longer ones are an error.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A buffered reader of messages that start with a kind byte and their length.
#[derive(Debug)]
pub(crate) struct FrameReader {
    codec: LengthDelimitedCodec,
    /// Bytes that were read but not yet returned.
    buf: BytesMut,
}

impl FrameReader {
    /// Returns a reader that starts with the bytes in `buf`, which were read before.
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

    /// Returns the number of bytes that were read but not yet returned.
    pub(crate) fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Reads more bytes into the buffer; returns `false` once the other side has closed the
    /// connection.
    ///
    /// Cancel-safe: no bytes are lost if the future is dropped.
    pub(crate) async fn fill(&mut self, socket: &mut (impl AsyncRead + Unpin)) -> io::Result<bool> {
        Ok(socket.read_buf(&mut self.buf).await? > 0)
    }

    /// Returns the next message with its header; `None` once the other side has closed the
    /// connection.
    ///
    /// Cancel-safe: no bytes are lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or a message is longer than [`MESSAGE_MAX_BYTES`].
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

/// Decodes a message; returns `None` if it is malformed.
///
/// Catches panics: the decoders of `pgwire` panic on a message that is shorter than its fields, so
/// that the other side could otherwise end a task with five bytes.
pub(crate) fn decode_checked<T>(
    bytes: &[u8],
    decode: impl FnOnce(&mut BytesMut) -> PgWireResult<Option<T>>,
) -> Option<T> {
    let mut buf = BytesMut::from(bytes);
    let decoded = catch_unwind(AssertUnwindSafe(|| decode(&mut buf)));
    decoded.ok()?.ok()?
}

/// Returns the context for decoding messages that follow the startup phase.
pub(crate) fn session_context() -> DecodeContext {
    let mut cx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    cx.awaiting_frontend_ssl = false;
    cx.awaiting_frontend_startup = false;
    cx
}

/// Returns the kind and length of the first message; `None` if that message is incomplete.
pub(crate) fn first_frame_head(messages: &[u8]) -> Option<FrameHead> {
    let (kind, rest) = messages.split_first()?;
    let length = rest.first_chunk::<4>()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()? + 1;
    (messages.len() >= length).then_some(FrameHead {
        kind: *kind,
        length,
    })
}

/// The kind and length of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FrameHead {
    /// The kind byte, such as `Q` for a simple query.
    pub(crate) kind: u8,
    /// The length of the whole message in bytes, header included.
    pub(crate) length: usize,
}
