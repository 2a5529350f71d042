//! A client session, from its login to its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use flume::{Receiver, Sender};
use sapphireslip_core::{
    ClientEffect, ClientEvent, Event, RequestKey, SessionId, TermPosition, Text, TransactionStatus,
};
use tokio::time::timeout;

use crate::client_error::ClientError;
use crate::client_startup::{CancelKey, STARTUP_TIMEOUT, STEP_STARTUP, Startup};
use crate::client_wire::ClientWire;
use crate::frames::{MESSAGE_MAX_BYTES, first_frame_head};
use crate::prepared::PreparedStatements;

/// The step in which the session waits for a statement, as named in errors.
pub(crate) const STEP_IDLE: &str = "the wait for a statement";

/// The step in which a statement runs or is answered, as named in errors.
pub(crate) const STEP_STATEMENT: &str = "a statement";

/// The most messages of one batch.
pub const BATCH_MAX_MESSAGES: usize = 16 * 1024;

/// The target of this module's log lines: its former path, by which operators filter them.
const LOG_TARGET: &str = "sapphireslipd::caller_session";

/// A session's identity and its channels to the edge and the reducer.
#[derive(Debug)]
pub(crate) struct SessionLinks {
    /// The identifier of the session.
    pub(crate) id: SessionId,
    /// The key by which the client can cancel the session's running statement.
    pub(crate) cancel_key: CancelKey,
    /// Sends events to the reducer.
    pub(crate) events: Sender<Event>,
    /// Receives the reducer's effects; disconnected once the daemon gives the session up.
    pub(crate) effects: Receiver<ClientEffect>,
    /// The bytes of the answers that wait in `effects`.
    pub(crate) queued_bytes: Arc<AtomicUsize>,
}

/// The state of a session's task.
pub(crate) struct Session {
    /// The session's identity and channels.
    pub(crate) links: SessionLinks,
    /// The connection to the client.
    pub(crate) wire: ClientWire,
    /// The session's prepared statements.
    pub(crate) prepared: PreparedStatements,
    /// The messages received since the last sync, which form the current batch.
    pub(crate) batch: Vec<Bytes>,
    /// The total bytes of the messages in `batch`.
    pub(crate) batch_bytes: usize,
    /// Whether messages of the extended protocol are skipped until the next sync, because a flush
    /// failed.
    pub(crate) is_skipping: bool,
    /// The transaction status that was last reported to the client.
    pub(crate) transaction: TransactionStatus,
    /// The session token that was last reported to the client or set by it.
    pub(crate) token: Option<TermPosition>,
    /// The name of the session's database; empty before the login.
    pub(crate) database: Text,
    /// The request key that the client set for its next statement.
    pub(crate) next_key: Option<RequestKey>,
}

impl SessionLinks {
    /// Sends an event to the reducer.
    pub(crate) async fn send(&self, event: ClientEvent) {
        let _runner_gone = self.events.send_async(Event::Client(event)).await;
    }
}

/// Runs a session to its end, and reports its start and end to the reducer.
pub(crate) async fn run(links: SessionLinks, startup: Startup, wire: ClientWire) {
    let session = links.id;
    let events = links.events.clone();
    links
        .send(ClientEvent::Connecting {
            session,
            user: Text::clone(&startup.user),
            database: Text::clone(&startup.database),
        })
        .await;
    match run_to_error(links, &startup, wire).await {
        ClientError::Closed(..) => {}
        error => log::info!(target: LOG_TARGET, "session {}: {error}", session.0),
    }
    let closed = ClientEvent::Closed { session };
    let _runner_gone = events.send_async(Event::Client(closed)).await;
}

/// Runs a session until an error ends it, and returns that error.
async fn run_to_error(links: SessionLinks, startup: &Startup, wire: ClientWire) -> ClientError {
    let peer = wire.peer();
    let mut session = Session {
        links,
        wire,
        prepared: PreparedStatements::default(),
        batch: Vec::new(),
        batch_bytes: 0,
        is_skipping: false,
        transaction: TransactionStatus::Idle,
        token: None,
        database: Text::from(""),
        next_key: None,
    };
    match timeout(STARTUP_TIMEOUT, session.log_in(startup)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return error,
        Err(_elapsed) => return ClientError::Timeout(STEP_STARTUP, peer),
    }
    loop {
        if let Err(error) = session.handle_next().await {
            return error;
        }
    }
}

impl Session {
    /// Waits for the next message or effect while no statement runs, and handles it.
    async fn handle_next(&mut self) -> Result<(), ClientError> {
        let frame = tokio::select! {
            effect = self.links.effects.recv_async() => return self.handle_effect(effect).await,
            frame = self.wire.next(STEP_IDLE) => frame,
        };
        let frame = match frame {
            Err(ClientError::Io(_, _, error))
                if error.kind() == std::io::ErrorKind::InvalidData =>
            {
                let message = format!("a message has over {MESSAGE_MAX_BYTES} bytes");
                return Err(self.wire.refuse(STEP_IDLE, "54000", message).await);
            }
            frame => frame?,
        };
        match first_frame_head(&frame).map(|head| head.kind) {
            Some(b'Q') => self.handle_query(frame).await,
            Some(b'P' | b'B' | b'D' | b'E' | b'C' | b'H') if self.is_skipping => Ok(()),
            Some(b'P' | b'B' | b'D' | b'E' | b'C') => self.add_to_batch(frame).await,
            Some(b'H') => self.handle_flush().await,
            Some(b'S') => {
                self.add_to_batch(frame).await?;
                self.handle_sync().await
            }
            Some(b'X') => Err(ClientError::Closed(STEP_IDLE, self.wire.peer())),
            // The rest of a refused COPY: data, done or fail messages.
            Some(b'd' | b'c' | b'f') => Ok(()),
            _ => {
                let message = "the message is not supported";
                Err(self.wire.refuse(STEP_IDLE, "08P01", message).await)
            }
        }
    }

    /// Handles an effect that does not belong to a running statement.
    pub(crate) async fn handle_effect(
        &mut self,
        effect: Result<ClientEffect, flume::RecvError>,
    ) -> Result<(), ClientError> {
        match effect {
            Ok(ClientEffect::Close { refusal, .. }) => Err(self.end(&refusal).await),
            Ok(ClientEffect::Answer { payload, .. }) => {
                self.release_queued_bytes(&payload);
                log::error!(
                    target: LOG_TARGET,
                    "session {} received an answer while no statement was running",
                    self.links.id.0
                );
                Ok(())
            }
            Ok(_) => {
                log::error!(
                    target: LOG_TARGET,
                    "session {} received an effect that does not apply to its state",
                    self.links.id.0
                );
                Ok(())
            }
            Err(_) => {
                let message = "the daemon gave the session up";
                Err(self.wire.refuse(STEP_IDLE, "57P01", message).await)
            }
        }
    }

    /// Subtracts an answer's bytes from the queued bytes.
    pub(crate) fn release_queued_bytes(&self, payload: &Bytes) {
        let queued = &self.links.queued_bytes;
        queued.fetch_sub(payload.len(), Ordering::Relaxed);
    }

    /// Adds a message to the current batch; refuses a batch that is too large.
    async fn add_to_batch(&mut self, frame: Bytes) -> Result<(), ClientError> {
        self.batch_bytes += frame.len();
        self.batch.push(frame);
        if self.batch_bytes > MESSAGE_MAX_BYTES || self.batch.len() > BATCH_MAX_MESSAGES {
            let message = format!(
                "a batch has over {BATCH_MAX_MESSAGES} messages or over {MESSAGE_MAX_BYTES} bytes"
            );
            return Err(self.wire.refuse(STEP_IDLE, "54000", message).await);
        }
        Ok(())
    }
}
