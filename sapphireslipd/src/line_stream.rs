//! Reads and writes lines on a TCP connection.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use sapphireslip_platform::LINE_MAX_BYTES;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The free capacity of the buffer before each read, in bytes.
const READ_CAPACITY_BYTES: usize = 4 << 10;

/// How long sent bytes may stay unacknowledged before the system closes the connection as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(4_000);

/// How long a connection may be idle before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// The interval between two keepalive probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The reading half of a connection, which splits the bytes into lines.
#[derive(Debug)]
pub(crate) struct LineReader {
    stream: OwnedReadHalf,
    /// The bytes that have been read and not yet returned.
    buf: BytesMut,
    /// The number of bytes at the start of `buf` that are known to hold no line end.
    scanned: usize,
}

/// Sets the options of a connection and splits it into its reading and its writing half.
pub(crate) fn split(stream: TcpStream) -> io::Result<(LineReader, OwnedWriteHalf)> {
    set_up(&stream)?;
    let (read, write) = stream.into_split();
    let reader = LineReader {
        stream: read,
        buf: BytesMut::new(),
        scanned: 0,
    };
    Ok((reader, write))
}

/// Disables Nagle's algorithm, and has a broken connection detected.
fn set_up(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}

impl LineReader {
    /// Returns the next line without its line end; none once the peer has closed the connection.
    ///
    /// Cancel safe: no bytes are lost if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or a line is longer than [`LINE_MAX_BYTES`].
    pub(crate) async fn next(&mut self) -> io::Result<Option<BytesMut>> {
        loop {
            if let Some(line) = self.next_buffered() {
                return Ok(Some(line));
            }
            if self.buf.len() > LINE_MAX_BYTES {
                let text = format!("a line is longer than {LINE_MAX_BYTES} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            }
            self.buf.reserve(READ_CAPACITY_BYTES);
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Returns the next line without its line end if all of it has been read already.
    pub(crate) fn next_buffered(&mut self) -> Option<BytesMut> {
        let unscanned = self.buf.get(self.scanned..).unwrap_or_default();
        let Some(line_end) = unscanned.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.buf.len();
            return None;
        };
        let mut line = self.buf.split_to(self.scanned + line_end);
        self.buf.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }
}

/// Writes `first` and everything in the queue after it, in as few writes as possible.
pub(crate) async fn write_all(
    stream: &mut OwnedWriteHalf,
    first: Vec<u8>,
    queue: &flume::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let mut bytes = first;
    while let Ok(mut more) = queue.try_recv() {
        bytes.append(&mut more);
    }
    stream.write_all(&bytes).await
}
