//! Sessions that this daemon forwards to another one, line by line.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use futures::FutureExt;
use sapphireslip_core::{Text, TransactionStatus};
use sapphireslip_lead::ClientEvent;
use sapphireslip_platform::{
    LINE_END, decode_query_id, decode_ready_status, encode_session_opened, has_bare_line_feed,
    may_write, reads_whole_lines,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::lead_clients::{LOG_TARGET, SessionTask};
use crate::line_stream::{LineReader, split};

/// How long a connection to another daemon may take: a few round trips between zones.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long another daemon may take to answer the opening of a forwarded session. A daemon that has
/// used up its processor share is not scheduled for the rest of 100 ms, also several times in a row.
const RELAY_OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The connection to the daemon that serves a forwarded session.
struct Peer {
    lines: LineReader,
    writer: OwnedWriteHalf,
    /// Whether that daemon accepts a line feed within a line.
    reads_whole_lines: bool,
}

impl SessionTask {
    /// Forwards the session to its end; returns false if the other daemon does not accept it.
    pub(crate) async fn forward(&mut self, to: SocketAddr, opening: Vec<u8>) -> io::Result<bool> {
        let opened = tokio::time::timeout(RELAY_OPEN_TIMEOUT, open_relay(to, &opening)).await;
        let is_refused = match opened.unwrap_or_else(|err| Err(io::Error::other(err))) {
            Ok(Some(peer)) => {
                let mut bytes = Vec::new();
                encode_session_opened(&mut bytes);
                self.send_event(ClientEvent::RelayAnswered {
                    session: self.id,
                    status: TransactionStatus::Idle,
                })
                .await;
                self.write(bytes).await?;
                self.relay(peer).await?;
                return Ok(true);
            }
            Ok(None) => true,
            Err(err) => {
                log::debug!(target: LOG_TARGET, "forwarding a session to `{to}`: {err}");
                err.kind() == io::ErrorKind::ConnectionRefused
            }
        };
        self.send_event(ClientEvent::RelayFailed {
            session: self.id,
            is_refused,
        })
        .await;
        Ok(false)
    }

    /// Relays lines in both directions until the client closes its connection or the session is to
    /// be closed.
    async fn relay(&mut self, peer: Peer) -> io::Result<()> {
        let mut peer = Some(peer);
        loop {
            if self.is_finished() {
                // A statement that has arrived meanwhile is forwarded before the session ends.
                match self.lines.next().now_or_never() {
                    Some(Ok(Some(line))) => {
                        if self.refuse_stopping(&line).await? {
                            return Ok(());
                        }
                        self.forward_lines(line, &mut peer).await?;
                        continue;
                    }
                    Some(_) => return Ok(()),
                    None => return self.writer.shutdown().await,
                }
            }
            let from_peer = async {
                match &mut peer {
                    Some(peer) => peer.lines.next().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                command = self.commands.recv_async() => match command {
                    Ok(command) => self.execute(command).await?,
                    Err(_) => return self.writer.shutdown().await,
                },
                line = from_peer => {
                    let Some(Peer { lines, .. }) = &mut peer else {
                        continue;
                    };
                    let Ok(Some(line)) = line else {
                        peer = None;
                        self.send_event(ClientEvent::RelayLost { session: self.id }).await;
                        continue;
                    };
                    let mut status = None;
                    let mut answered = 0;
                    let bytes = join_lines(line, lines, |line| {
                        let end = decode_ready_status(line);
                        answered += usize::from(end.is_some());
                        status = end.or(status);
                    });
                    self.unanswered = self.unanswered.saturating_sub(answered);
                    if let Some(status) = status {
                        self.send_event(ClientEvent::RelayAnswered { session: self.id, status })
                            .await;
                    }
                    self.write(bytes).await?;
                }
                line = self.lines.next(), if self.may_read() => {
                    let Some(line) = line? else {
                        return Ok(());
                    };
                    if self.refuse_stopping(&line).await? {
                        return Ok(());
                    }
                    self.forward_lines(line, &mut peer).await?;
                }
            }
        }
    }

    /// Sends the other daemon a line of the client and all lines that are buffered after it.
    ///
    /// # Errors
    ///
    /// Returns an error, and has sent nothing and refused the lines, if the other daemon would take
    /// one of them for several.
    async fn forward_lines(&mut self, line: BytesMut, peer: &mut Option<Peer>) -> io::Result<()> {
        let mut first = None;
        let mut writes = false;
        let unanswered = &mut self.unanswered;
        let bytes = join_lines(line, &mut self.lines, |line| {
            if let Some(request) = decode_query_id(line) {
                *unanswered += 1;
                first.get_or_insert_with(|| Text::from(request));
                writes |= may_write(line);
            }
        });
        if peer.as_ref().is_some_and(|peer| !peer.reads_whole_lines) && has_bare_line_feed(&bytes) {
            let text = "a daemon of an earlier build serves the session and accepts no line feed";
            self.refuse(text).await?;
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        if let Some(request) = first {
            self.send_event(ClientEvent::RelayQuery {
                session: self.id,
                request,
                may_write: writes,
            })
            .await;
        }
        // If the write fails, the connection is broken, and reading from it reports that.
        if let Some(peer) = peer
            && let Err(err) = peer.writer.write_all(&bytes).await
        {
            log::debug!(
                target: LOG_TARGET, session = self.id.0;
                "forwarding statements: {err}"
            );
        }
        Ok(())
    }
}

/// Opens a forwarded session at another daemon; returns none if that daemon refuses it.
async fn open_relay(to: SocketAddr, opening: &[u8]) -> io::Result<Option<Peer>> {
    let stream = tokio::time::timeout(RELAY_CONNECT_TIMEOUT, TcpStream::connect(to)).await??;
    let (mut lines, mut writer) = split(stream)?;
    writer.write_all(opening).await?;
    let line = lines.next().await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(decode_ready_status(&line).map(|_| Peer {
        lines,
        writer,
        reads_whole_lines: reads_whole_lines(&line),
    }))
}

/// Joins a line and all lines that are buffered after it, each with its line end, and calls
/// `inspect` on each of them.
fn join_lines(first: BytesMut, lines: &mut LineReader, mut inspect: impl FnMut(&[u8])) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(first.len() + LINE_END.len());
    let mut next = Some(first);
    while let Some(line) = next {
        inspect(&line);
        bytes.extend_from_slice(&line);
        bytes.extend_from_slice(LINE_END);
        next = lines.next_buffered();
    }
    bytes
}
