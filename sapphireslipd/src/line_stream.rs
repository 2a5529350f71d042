//! Lines over a TCP connection.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use sapphireslip_platform::LINE_MAX_BYTES;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The room that is made for a read, in bytes.
const READ_CAPACITY_BYTES: usize = 4 << 10;

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(4_000);

/// How long a connection may be quiet before its path is checked.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// The pause between two checks of a quiet path.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The reading half of a connection.
#[derive(Debug)]
pub(crate) struct LineReader {
    stream: OwnedReadHalf,
    buf: BytesMut,
    scanned: usize,
}

/// Sets up a connection and splits it.
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
    /// Returns the next line without its end; none once the peer has closed the connection.
    ///
    /// Nothing is lost if the future is dropped before it is ready.
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

    /// Returns the next line if it has been read already.
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

/// Writes everything that waits in a queue, in as few writes as possible.
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
