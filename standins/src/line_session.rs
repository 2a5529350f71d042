//! A client session over the platform's line protocol.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// A client's connection to a daemon or a server.
#[derive(Debug)]
pub struct LineSession {
    /// The receiving side of the connection.
    reader: BufReader<OwnedReadHalf>,
    /// The sending side of the connection.
    writer: OwnedWriteHalf,
}

/// The answer to one statement.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LineAnswer {
    /// The rows of the result, each without the word `ROW`.
    pub rows: Vec<String>,
    /// The error code if the statement failed, such as `READONLY`.
    pub failure: Option<String>,
}

impl LineSession {
    /// Connects without opening a session.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let (read, writer) = TcpStream::connect(address).await?.into_split();
        let reader = BufReader::new(read);
        Ok(Self { reader, writer })
    }

    /// Connects and opens a session on a database.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or breaks, or, with the daemon's answer as its
    /// message, if the session is refused.
    pub async fn open(address: SocketAddr, database: &str) -> io::Result<Self> {
        let mut session = Self::connect(address).await?;
        session.send(&format!("START {database} till")).await?;
        let line = session.line().await?;
        if line.starts_with("READY") {
            Ok(session)
        } else {
            Err(io::Error::other(line))
        }
    }

    /// Sends a line, to which the line ending is added.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub async fn send(&mut self, line: &str) -> io::Result<()> {
        self.send_bytes(format!("{line}\r\n").as_bytes()).await
    }

    /// Sends bytes unchanged, whether or not they form a line.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes).await
    }

    /// Waits for the next line and returns it without its line ending.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken, and `UnexpectedEof` if it was closed.
    pub async fn line(&mut self) -> io::Result<String> {
        let line = read_line(&mut self.reader).await?;
        line.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Runs a statement and returns its complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the answer is complete.
    pub async fn ask(&mut self, id: &str, text: &str) -> io::Result<LineAnswer> {
        self.send(&format!("QUERY {id} {text}")).await?;
        let mut answer = LineAnswer::default();
        loop {
            let line = self.line().await?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or_default();
                    answer.failure = Some(code.to_owned());
                }
                "READY" => return Ok(answer),
                _ => {}
            }
        }
    }
}

/// Reads a line up to a carriage return and a line feed, and returns it without them; none once the
/// connection is closed.
pub(crate) async fn read_line(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<String>> {
    let mut line = String::new();
    while !line.ends_with("\r\n") {
        if reader.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
    }
    line.truncate(line.len() - 2);
    Ok(Some(line))
}
