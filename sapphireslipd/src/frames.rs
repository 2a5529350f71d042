//! Whole PostgreSQL messages on a socket, without a look inside.

use std::io;

use bytes::{Bytes, BytesMut};
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
            if socket.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }
}
