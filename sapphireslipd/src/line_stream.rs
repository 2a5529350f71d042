//! Reads and writes lines on a TCP connection.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use sapphireslip_platform::LineBuffer;
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
    /// What has been read and not yet returned.
    lines: LineBuffer,
}

/// Sets the options of a connection and splits it into its reading and its writing half.
pub(crate) fn split(stream: TcpStream) -> io::Result<(LineReader, OwnedWriteHalf)> {
    set_up(&stream)?;
    let (read, write) = stream.into_split();
    let reader = LineReader {
        stream: read,
        lines: LineBuffer::default(),
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
    /// Returns an error if reading fails or a line is longer than
    /// [`LINE_MAX_BYTES`](sapphireslip_platform::LINE_MAX_BYTES).
    pub(crate) async fn next(&mut self) -> io::Result<Option<BytesMut>> {
        loop {
            let line = self.lines.next_line();
            let line = line.map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
            if line.is_some() {
                return Ok(line);
            }
            let buf = self.lines.bytes();
            buf.reserve(READ_CAPACITY_BYTES);
            if self.stream.read_buf(buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Returns the next line without its line end if all of it has been read already.
    ///
    /// None too for a line that is too long, for which [`Self::next`] returns the error.
    pub(crate) fn next_buffered(&mut self) -> Option<BytesMut> {
        self.lines.next_line().ok().flatten()
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
