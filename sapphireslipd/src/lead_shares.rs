//! The connections on which daemons ask the coordinator for shares of accounts' limits.
//!
//! A daemon keeps one connection to the coordinator. A request that can't be sent, and an answer that
//! does not come, are not reported: the reducer asks again.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_lead::{Event, ShareRequest};
use sapphireslip_platform::{decode_share_answer, decode_share_request, encode_share_request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinHandle;
use tokio_util::task::AbortOnDropHandle;

use crate::lead_clients::SessionTask;
use crate::line_stream::{LineReader, split};

/// How long it may take to open a connection to the coordinator, or to write one request.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The most requests that may wait while a connection is being opened. Only the last one counts.
const REQUESTS_MAX: usize = 16;

/// A request and the address of the coordinator that it is for.
type Addressed = (SocketAddr, ShareRequest);

/// This daemon's connection to the coordinator, served by a task of its own.
#[derive(Debug)]
pub(crate) struct ShareLink {
    requests: flume::Sender<Addressed>,
}

impl ShareLink {
    /// Starts the task, which sends the answers to `events`.
    pub(crate) fn start(events: flume::Sender<Event>) -> Self {
        let (tx, requests) = flume::bounded(REQUESTS_MAX);
        tokio::spawn(run(requests, events));
        Self { requests: tx }
    }

    /// Sends a request. It is dropped if many wait already.
    pub(crate) fn send(&self, address: SocketAddr, request: ShareRequest) {
        if self.requests.try_send((address, request)).is_err() {
            log::debug!("a request for shares is dropped: too many wait");
        }
    }
}

/// An open connection to the coordinator.
struct Connection {
    address: SocketAddr,
    writer: OwnedWriteHalf,
    /// The task that reads the answers; it ends with the connection.
    reader: AbortOnDropHandle<()>,
}

/// Sends requests until the daemon stops, and opens another connection whenever the last one has
/// failed or the coordinator has changed.
async fn run(requests: flume::Receiver<Addressed>, events: flume::Sender<Event>) {
    let mut open: Option<Connection> = None;
    while let Ok(first) = requests.recv_async().await {
        // Of requests that waited for a connection, only the answer to the last would be accepted.
        let (address, request) = requests.drain().last().unwrap_or(first);
        open = open.filter(|link| link.address == address && !link.reader.is_finished());
        let sent = async {
            let mut link = match open.take() {
                Some(link) => link,
                None => connect(address, events.clone()).await?,
            };
            let mut bytes = Vec::new();
            encode_share_request(&request, &mut bytes);
            link.writer.write_all(&bytes).await?;
            Ok::<_, io::Error>(link)
        };
        let sent = tokio::time::timeout(SEND_TIMEOUT, sent).await;
        match sent.unwrap_or_else(|err| Err(io::Error::other(err))) {
            Ok(link) => open = Some(link),
            Err(err) => log::debug!("asking `{address}` for shares: {err}"),
        }
    }
}

/// Opens a connection to the coordinator at the address, and starts to read its answers.
async fn connect(address: SocketAddr, events: flume::Sender<Event>) -> io::Result<Connection> {
    let (lines, writer) = split(TcpStream::connect(address).await?)?;
    let reader: JoinHandle<()> = tokio::spawn(async move {
        if let Err(err) = read_answers(lines, events).await {
            log::debug!("reading shares from `{address}`: {err}");
        }
    });
    Ok(Connection {
        address,
        writer,
        reader: AbortOnDropHandle::new(reader),
    })
}

/// Passes the coordinator's answers to the reducer until the connection ends.
async fn read_answers(mut lines: LineReader, events: flume::Sender<Event>) -> io::Result<()> {
    while let Some(line) = lines.next().await? {
        let answer = decode_share_answer(&line).map_err(io::Error::other)?;
        let sent = events.send_async(Event::ShareAnswered(answer)).await;
        sent.map_err(io::Error::other)?;
    }
    Ok(())
}

impl SessionTask {
    /// Serves the connection of a daemon that asks for shares, beginning with its first request.
    pub(crate) async fn serve_shares(mut self, first: ShareRequest) -> io::Result<()> {
        self.pass_share_request(first).await?;
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv_async() => match command {
                    Ok(command) => self.execute(command).await?,
                    Err(_) => return self.writer.shutdown().await,
                },
                line = self.lines.next() => {
                    let Some(line) = line? else {
                        return Ok(());
                    };
                    let request = decode_share_request(&line).map_err(io::Error::other)?;
                    self.pass_share_request(request).await?;
                }
            }
        }
    }

    /// Passes a request for shares to the reducer.
    async fn pass_share_request(&self, request: ShareRequest) -> io::Result<()> {
        let session = self.id;
        let event = Event::ShareRequested { session, request };
        let sent = self.events.send_async(event).await;
        sent.map_err(io::Error::other)
    }
}
