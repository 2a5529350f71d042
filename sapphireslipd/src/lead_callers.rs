//! Connections of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::SessionId;
use sapphireslip_lead::{ClientEvent, ErrorCode, Event, Failure};
use sapphireslip_platform::{ClientMessage, decode_client, encode_failure};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::line_stream::{LineReader, split, write_all};

/// The pause after a connection could not be taken, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The most answers that wait for one caller to read them.
const ANSWERS_MAX: usize = 128;

/// How long a caller may take to read what was sent to it.
const WRITE_MAX: Duration = Duration::from_secs(10);

/// How long a caller may take to name its database.
const START_MAX: Duration = Duration::from_secs(10);

/// The ways to the callers.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    open: BTreeMap<SessionId, flume::Sender<Vec<u8>>>,
}

/// A caller that has connected.
pub(crate) struct NewCaller {
    pub(crate) stream: TcpStream,
}

/// Takes connections until the receiver is gone.
pub(crate) async fn accept(listener: TcpListener, callers: flume::Sender<NewCaller>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if callers.send_async(NewCaller { stream }).await.is_err() {
                    return;
                }
            }
            Err(err) => {
                log::warn!("taking a caller's connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Callers {
    /// Serves a new caller as a session.
    pub(crate) fn add(&mut self, id: SessionId, caller: NewCaller, events: flume::Sender<Event>) {
        let (tx, rx) = flume::bounded(ANSWERS_MAX);
        self.open.insert(id, tx);
        tokio::spawn(async move {
            if let Err(err) = serve(id, caller.stream, &rx, &events).await {
                log::debug!(session = id.0; "a caller's connection ended: {err}");
            }
            let closed = Event::Client(ClientEvent::Closed { session: id });
            // Fails only when the daemon is stopping already.
            let _stopping = events.send_async(closed).await;
        });
    }

    /// Sends bytes to a caller; one that does not read loses its connection.
    pub(crate) fn send(&mut self, id: SessionId, bytes: Vec<u8>) {
        if let Some(tx) = self.open.get(&id)
            && tx.try_send(bytes).is_err()
        {
            self.open.remove(&id);
        }
    }

    /// Ends a caller's connection after what was sent.
    pub(crate) fn close(&mut self, id: SessionId) {
        self.open.remove(&id);
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}

async fn serve(
    id: SessionId,
    stream: TcpStream,
    answers: &flume::Receiver<Vec<u8>>,
    events: &flume::Sender<Event>,
) -> std::io::Result<()> {
    let (mut lines, mut writer) = split(stream)?;
    let start = tokio::time::timeout(START_MAX, lines.next()).await;
    let Some(line) = start.map_err(std::io::Error::other)?? else {
        return Ok(());
    };
    let Ok(ClientMessage::Start { database }) = decode_client(&line) else {
        return refuse(&mut writer, "expected START and a database").await;
    };
    tell(
        events,
        ClientEvent::Opened {
            session: id,
            database,
        },
    )
    .await;
    loop {
        tokio::select! {
            biased;
            answer = answers.recv_async() => {
                let Ok(bytes) = answer else {
                    return writer.shutdown().await;
                };
                let write = write_all(&mut writer, bytes, answers);
                tokio::time::timeout(WRITE_MAX, write).await.map_err(std::io::Error::other)??;
            }
            line = lines.next() => {
                let Some(line) = line? else {
                    return Ok(());
                };
                if !take(id, &line, events, &mut lines).await {
                    return refuse(&mut writer, "the line is no message").await;
                }
            }
        }
    }
}

/// Takes a line; returns false if the session can't go on.
async fn take(
    id: SessionId,
    line: &[u8],
    events: &flume::Sender<Event>,
    _lines: &mut LineReader,
) -> bool {
    match decode_client(line) {
        Ok(ClientMessage::Query(query)) => {
            tell(events, ClientEvent::Query { session: id, query }).await;
            true
        }
        Ok(ClientMessage::Terminate) => {
            tell(events, ClientEvent::Closed { session: id }).await;
            true
        }
        Ok(ClientMessage::Start { .. }) => false,
        Err(err) => {
            log::debug!(session = id.0; "{err}");
            false
        }
    }
}

async fn tell(events: &flume::Sender<Event>, event: ClientEvent) {
    // Fails only when the daemon is stopping already.
    let _stopping = events.send_async(Event::Client(event)).await;
}

async fn refuse(writer: &mut tokio::net::tcp::OwnedWriteHalf, text: &str) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    encode_failure(&Failure::new(ErrorCode::Malformed, text), &mut bytes);
    writer.write_all(&bytes).await?;
    writer.shutdown().await
}
