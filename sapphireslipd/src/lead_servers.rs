//! Connections to backend servers in the line protocol, of a daemon that takes its leaders from the
//! store.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{AccountName, ConnectionId, ServerId, ServiceName};
use sapphireslip_lead::{ConnectFailure, Event, Reply, ServerEvent, ServerRequest, TermPosition};
use sapphireslip_platform::{
    ReplyReader, connect_failure, decode_status, encode_request, encode_start,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::line_stream::{LineReader, split, write_all};

/// How long a connection may take to be opened, including the server's handling of the opening.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The most batches of requests that may be queued for one connection while its server does not
/// read.
const REQUEST_BATCHES_MAX: usize = 64;

/// The connections to backend servers; a task serves each of them.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    open: BTreeMap<ConnectionId, Connection>,
}

/// The channels to the task of one connection.
#[derive(Debug)]
struct Connection {
    /// Encoded requests to be sent.
    bytes: flume::Sender<Vec<u8>>,
    /// For each request, in order, whether it requests the server's status.
    status_flags: flume::Sender<bool>,
}

/// The address of a connection, the service and server that are expected there, and the client account
/// that the connection serves.
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    pub(crate) server: ServerId,
    pub(crate) account: Option<AccountName>,
}

/// The task that serves one connection.
struct ConnectionTask {
    id: ConnectionId,
    /// Encoded requests to be sent.
    bytes: flume::Receiver<Vec<u8>>,
    /// For each request, in order, whether it requests the server's status.
    status_flags: flume::Receiver<bool>,
    /// The channel to the reducer.
    events: flume::Sender<Event>,
}

impl Backends {
    /// Starts a task that opens a connection and serves it.
    pub(crate) fn connect(&mut self, id: ConnectionId, to: Target, events: flume::Sender<Event>) {
        let (bytes_tx, bytes) = flume::bounded(REQUEST_BATCHES_MAX);
        let (status_flags_tx, status_flags) = flume::unbounded();
        self.open.insert(
            id,
            Connection {
                bytes: bytes_tx,
                status_flags: status_flags_tx,
            },
        );
        tokio::spawn(
            ConnectionTask {
                id,
                bytes,
                status_flags,
                events,
            }
            .run(to),
        );
    }

    /// Sends requests on a connection. A connection whose server does not read them is closed.
    pub(crate) fn send(&mut self, id: ConnectionId, requests: &[ServerRequest]) {
        let Some(connection) = self.open.get(&id) else {
            return;
        };
        let mut bytes = Vec::new();
        for request in requests {
            encode_request(request, &mut bytes);
            // Fails only if the connection has ended, which its task reports.
            let _ended = connection
                .status_flags
                .send(*request == ServerRequest::Status);
        }
        if connection.bytes.try_send(bytes).is_err() {
            self.open.remove(&id);
        }
    }

    /// Closes a connection.
    pub(crate) fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}

impl ConnectionTask {
    /// Opens the connection and serves it to its end; reports its opening and its end as events.
    async fn run(self, to: Target) {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open(&to)).await;
        let opened = opened.unwrap_or(Err(ConnectFailure::Silent));
        let (lines, writer, position) = match opened {
            Ok(opened) => opened,
            Err(failure) => {
                return self
                    .send_event(ServerEvent::ConnectFailed {
                        connection: self.id,
                        failure,
                    })
                    .await;
            }
        };
        self.send_event(ServerEvent::Connected {
            connection: self.id,
            position,
        })
        .await;
        if let Err(err) = self.serve(lines, writer).await {
            log::debug!(connection = self.id.0; "a connection to `{}` ended: {err}", to.server);
        }
        self.send_event(ServerEvent::Lost {
            connection: self.id,
        })
        .await;
    }

    /// Sends requests and reports replies until either side closes the connection.
    async fn serve(&self, mut lines: LineReader, mut writer: OwnedWriteHalf) -> io::Result<()> {
        let mut reader = ReplyReader::default();
        let mut status_flags = VecDeque::new();
        loop {
            tokio::select! {
                bytes = self.bytes.recv_async() => {
                    let Ok(bytes) = bytes else {
                        return Ok(());
                    };
                    write_all(&mut writer, bytes, &self.bytes).await?;
                }
                line = lines.next() => {
                    let Some(mut line) = line? else {
                        return Ok(());
                    };
                    loop {
                        if let Some(reply) = reader.add_line(&line).map_err(io::Error::other)? {
                            status_flags.extend(self.status_flags.try_iter());
                            let is_status = status_flags.pop_front().unwrap_or(false);
                            self.send_reply(reply, is_status).await?;
                        }
                        match lines.next_buffered() {
                            Some(next) => line = next,
                            None => break,
                        }
                    }
                }
            }
        }
    }

    /// Reports a reply, with the server's status if the request asked for it.
    async fn send_reply(&self, reply: Reply, is_status: bool) -> io::Result<()> {
        let status = match is_status {
            true => decode_status(&reply).map_err(io::Error::other)?,
            false => None,
        };
        self.send_event(ServerEvent::Replied {
            connection: self.id,
            reply,
            status,
        })
        .await;
        Ok(())
    }

    /// Sends an event to the reducer.
    async fn send_event(&self, event: ServerEvent) {
        // Fails only if the daemon is already stopping.
        let _stopping = self.events.send_async(Event::Server(event)).await;
    }
}

/// Connects to a server and waits until it has confirmed the service and its own name. Returns the last
/// position of its log too.
async fn open(
    to: &Target,
) -> Result<(LineReader, OwnedWriteHalf, Option<TermPosition>), ConnectFailure> {
    let failure = |err: io::Error| {
        log::debug!("connecting to `{}` at `{}`: {err}", to.server, to.address);
        match err.kind() {
            io::ErrorKind::ConnectionRefused => ConnectFailure::Refused,
            _ => ConnectFailure::Silent,
        }
    };
    let stream = TcpStream::connect(to.address).await.map_err(failure)?;
    let (mut lines, mut writer) = split(stream).map_err(failure)?;
    let mut bytes = Vec::new();
    encode_start(&to.service, &to.server, to.account.as_ref(), &mut bytes);
    writer.write_all(&bytes).await.map_err(failure)?;
    let mut reader = ReplyReader::default();
    loop {
        let Some(line) = lines.next().await.map_err(failure)? else {
            return Err(reader
                .refusal()
                .map_or(ConnectFailure::Silent, connect_failure));
        };
        let reply = reader
            .add_line(&line)
            .map_err(|err| failure(io::Error::other(err)))?;
        if let Some(refusal) = reader.refusal() {
            return Err(connect_failure(refusal));
        }
        if let Some(reply) = reply {
            return Ok((lines, writer, reply.position));
        }
    }
}
