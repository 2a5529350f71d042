//! Connections to backend servers.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{ConnectionId, ServerId, ServiceName};
use sapphireslip_lead::{ConnectFailure, Event, Reply, ServerEvent, ServerRequest};
use sapphireslip_platform::{
    ReplyReader, connect_failure, decode_status, encode_request, encode_start,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::line_stream::{LineReader, split, write_all};

/// How long a connection may take to be opened, the server's work for it included.
const CONNECT_MAX: Duration = Duration::from_millis(800);

/// How many batches of requests may wait for one server to read them.
const REQUESTS_MAX: usize = 64;

/// The ways to the backend servers.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    open: BTreeMap<ConnectionId, Connection>,
}

#[derive(Debug)]
struct Connection {
    bytes: flume::Sender<Vec<u8>>,
    /// For each request that was sent whether it asks for the status.
    asked: flume::Sender<bool>,
}

/// Where a connection goes, and who is expected there.
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    pub(crate) server: ServerId,
}

/// What one connection's task works with.
struct Task {
    id: ConnectionId,
    bytes: flume::Receiver<Vec<u8>>,
    asked: flume::Receiver<bool>,
    events: flume::Sender<Event>,
}

impl Backends {
    /// Opens a connection.
    pub(crate) fn connect(&mut self, id: ConnectionId, to: Target, events: flume::Sender<Event>) {
        let (bytes_tx, bytes) = flume::bounded(REQUESTS_MAX);
        let (asked_tx, asked) = flume::unbounded();
        self.open.insert(
            id,
            Connection {
                bytes: bytes_tx,
                asked: asked_tx,
            },
        );
        tokio::spawn(
            Task {
                id,
                bytes,
                asked,
                events,
            }
            .run(to),
        );
    }

    /// Sends requests on a connection.
    pub(crate) fn send(&mut self, id: ConnectionId, requests: &[ServerRequest]) {
        let Some(connection) = self.open.get(&id) else {
            return;
        };
        let mut bytes = Vec::new();
        for request in requests {
            encode_request(request, &mut bytes);
            // Fails only when the connection has ended, which its task reports.
            let _ended = connection.asked.send(*request == ServerRequest::Status);
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

impl Task {
    async fn run(self, to: Target) {
        let opened = tokio::time::timeout(CONNECT_MAX, open(&to)).await;
        let opened = opened.unwrap_or(Err(ConnectFailure::Silent));
        let (lines, writer) = match opened {
            Ok(opened) => opened,
            Err(failure) => {
                return self
                    .tell(ServerEvent::ConnectFailed {
                        connection: self.id,
                        failure,
                    })
                    .await;
            }
        };
        self.tell(ServerEvent::Connected {
            connection: self.id,
        })
        .await;
        if let Err(err) = self.serve(lines, writer).await {
            log::debug!(connection = self.id.0; "a connection to `{}` ended: {err}", to.server);
        }
        self.tell(ServerEvent::Lost {
            connection: self.id,
        })
        .await;
    }

    async fn serve(&self, mut lines: LineReader, mut writer: OwnedWriteHalf) -> io::Result<()> {
        let mut reader = ReplyReader::default();
        let mut asked = VecDeque::new();
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
                            asked.extend(self.asked.try_iter());
                            let asks_status = asked.pop_front().unwrap_or(false);
                            self.tell_reply(reply, asks_status).await?;
                        }
                        match lines.take() {
                            Some(next) => line = next,
                            None => break,
                        }
                    }
                }
            }
        }
    }

    async fn tell_reply(&self, reply: Reply, asks_status: bool) -> io::Result<()> {
        let status = match asks_status {
            true => decode_status(&reply).map_err(io::Error::other)?,
            false => None,
        };
        self.tell(ServerEvent::Replied {
            connection: self.id,
            reply,
            status,
        })
        .await;
        Ok(())
    }

    async fn tell(&self, event: ServerEvent) {
        // Fails only when the daemon is stopping already.
        let _stopping = self.events.send_async(Event::Server(event)).await;
    }
}

async fn open(to: &Target) -> Result<(LineReader, OwnedWriteHalf), ConnectFailure> {
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
    encode_start(&to.service, &to.server, &mut bytes);
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
        if reply.is_some() {
            return Ok((lines, writer));
        }
    }
}
