//! A caller's session over the platform's line protocol.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// A connection of a caller.
#[derive(Debug)]
pub struct LineSession {
    lines: Lines<BufReader<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
}

/// The answer to one statement.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LineAnswer {
    /// The rows.
    pub rows: Vec<String>,
    /// The code of the failure, if it failed.
    pub failure: Option<String>,
}

impl LineSession {
    /// Connects without naming a database.
    ///
    /// # Errors
    ///
    /// Nobody listens there.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let (read, writer) = TcpStream::connect(address).await?.into_split();
        let lines = BufReader::new(read).lines();
        Ok(Self { lines, writer })
    }

    /// Connects and opens a session on a database.
    ///
    /// # Errors
    ///
    /// Nobody listens there, or the session was refused; the error has the answer then.
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

    /// Sends a line.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn send(&mut self, line: &str) -> io::Result<()> {
        self.send_bytes(format!("{line}\r\n").as_bytes()).await
    }

    /// Sends bytes as they are, a line or not.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes).await
    }

    /// Returns the next line.
    ///
    /// # Errors
    ///
    /// The connection broke, or was closed (`UnexpectedEof`).
    pub async fn line(&mut self) -> io::Result<String> {
        let line = self.lines.next_line().await?;
        line.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Runs a statement and returns its whole answer.
    ///
    /// # Errors
    ///
    /// The connection broke before the answer was whole.
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
