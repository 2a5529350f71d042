//! A minimal HTTP client that gets the pages of admin interfaces.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest time that a request may take, from connecting to the end of the response.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The status code.
    pub status: u16,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
}

/// Sends a GET request and returns the response.
///
/// # Errors
///
/// Returns an error if the connection fails, there is no complete response within 5 seconds, or the
/// response is not HTTP.
pub async fn http_get(address: SocketAddr, path: &str) -> io::Result<Page> {
    let text = tokio::time::timeout(PAGE_TIMEOUT, exchange(address, path)).await??;
    let broken = || io::Error::from(io::ErrorKind::InvalidData);
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(broken)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Page {
        status: status.ok_or_else(broken)?,
        body: body.to_owned(),
    })
}

/// Sends a GET request and returns everything that the server sends until it closes the connection.
async fn exchange(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let req = format!("GET {path} HTTP/1.0\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
