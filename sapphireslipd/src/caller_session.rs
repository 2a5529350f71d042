//! One caller's session, from its startup to its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use flume::{Receiver, Sender};
use sapphireslip_core::{
    CallerEffect, CallerEvent, Event, RequestKey, SessionId, TermPosition, Text, TransactionStatus,
};
use tokio::time::timeout;

use crate::caller_error::CallerError;
use crate::caller_startup::{CancelKey, STARTUP_TIMEOUT, STEP_STARTUP, Startup};
use crate::caller_wire::CallerWire;
use crate::frames::{MESSAGE_MAX_BYTES, first_frame_head};
use crate::prepared::PreparedStatements;

pub(crate) const STEP_IDLE: &str = "waiting for a statement";
pub(crate) const STEP_STATEMENT: &str = "a statement";

/// Messages of one batch at the most.
pub const BATCH_MAX_MESSAGES: usize = 16 * 1024;

/// What a session's task is given.
#[derive(Debug)]
pub(crate) struct SessionLinks {
    /// The session.
    pub(crate) id: SessionId,
    /// What names it in a request to cancel.
    pub(crate) cancel_key: CancelKey,
    /// To the reducer.
    pub(crate) events: Sender<Event>,
    /// From the reducer.
    pub(crate) effects: Receiver<CallerEffect>,
    /// The bytes of answers in `effects`.
    pub(crate) queued_bytes: Arc<AtomicUsize>,
}

/// A session of which the caller has proved its password.
pub(crate) struct Session {
    /// What the task was given.
    pub(crate) links: SessionLinks,
    /// The caller's socket.
    pub(crate) wire: CallerWire,
    /// Its prepared statements.
    pub(crate) prepared: PreparedStatements,
    /// Messages of the batch that the next sync ends.
    pub(crate) batch: Vec<Bytes>,
    /// The bytes of these messages.
    pub(crate) batch_bytes: usize,
    /// Whether messages are skipped until the next sync, after a failed flush.
    pub(crate) is_skipping: bool,
    /// Whether the session is in a transaction.
    pub(crate) transaction: TransactionStatus,
    /// The token that the caller was told last or gave.
    pub(crate) token: Option<TermPosition>,
    /// The database.
    pub(crate) database: Text,
    /// The key of the next statement.
    pub(crate) key: Option<RequestKey>,
}

impl SessionLinks {
    /// Hands an event to the reducer.
    pub(crate) async fn send(&self, event: CallerEvent) {
        let _runner_gone = self.events.send_async(Event::Caller(event)).await;
    }
}

/// Runs a session to its end; the reducer hears of its beginning and its end.
pub(crate) async fn run(links: SessionLinks, startup: Startup, wire: CallerWire) {
    let session = links.id;
    let events = links.events.clone();
    links
        .send(CallerEvent::Connecting {
            session,
            user: Text::clone(&startup.user),
            database: Text::clone(&startup.database),
        })
        .await;
    match run_to_error(links, &startup, wire).await {
        CallerError::Closed(..) => {}
        error => log::info!("session {}: {error}", session.0),
    }
    let closed = CallerEvent::Closed { session };
    let _runner_gone = events.send_async(Event::Caller(closed)).await;
}

async fn run_to_error(links: SessionLinks, startup: &Startup, wire: CallerWire) -> CallerError {
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
        key: None,
    };
    match timeout(STARTUP_TIMEOUT, session.log_in(startup)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return error,
        Err(_elapsed) => return CallerError::Timeout(STEP_STARTUP, peer),
    }
    loop {
        if let Err(error) = session.step().await {
            return error;
        }
    }
}

impl Session {
    /// Takes the next message or effect while no statement runs.
    async fn step(&mut self) -> Result<(), CallerError> {
        let frame = tokio::select! {
            effect = self.links.effects.recv_async() => return self.take_idle(effect).await,
            frame = self.wire.next(STEP_IDLE) => frame,
        };
        let frame = match frame {
            Err(CallerError::Io(_, _, error))
                if error.kind() == std::io::ErrorKind::InvalidData =>
            {
                let message = format!("a message has over {MESSAGE_MAX_BYTES} bytes");
                return Err(self.wire.refuse(STEP_IDLE, "54000", message).await);
            }
            frame => frame?,
        };
        match first_frame_head(&frame).map(|head| head.kind) {
            Some(b'Q') => self.simple(frame).await,
            Some(b'P' | b'B' | b'D' | b'E' | b'C' | b'H') if self.is_skipping => Ok(()),
            Some(b'P' | b'B' | b'D' | b'E' | b'C') => self.collect(frame).await,
            Some(b'H') => self.flush().await,
            Some(b'S') => {
                self.collect(frame).await?;
                self.sync().await
            }
            Some(b'X') => Err(CallerError::Closed(STEP_IDLE, self.wire.peer())),
            // What is left of a copy that was refused.
            Some(b'd' | b'c' | b'f') => Ok(()),
            _ => {
                let message = "the message is not supported";
                Err(self.wire.refuse(STEP_IDLE, "08P01", message).await)
            }
        }
    }

    /// Takes an effect that is not about a running statement.
    pub(crate) async fn take_idle(
        &mut self,
        effect: Result<CallerEffect, flume::RecvError>,
    ) -> Result<(), CallerError> {
        match effect {
            Ok(CallerEffect::Close { refusal, .. }) => Err(self.end(&refusal).await),
            Ok(CallerEffect::Answer { payload, .. }) => {
                self.dequeue(&payload);
                log::error!("session {} got an answer to nothing", self.links.id.0);
                Ok(())
            }
            Ok(_) => {
                log::error!("session {} was told the end of nothing", self.links.id.0);
                Ok(())
            }
            Err(_) => {
                let message = "the daemon gave the session up";
                Err(self.wire.refuse(STEP_IDLE, "57P01", message).await)
            }
        }
    }

    /// Counts an answer as taken.
    pub(crate) fn dequeue(&self, payload: &Bytes) {
        let queued = &self.links.queued_bytes;
        queued.fetch_sub(payload.len(), Ordering::Relaxed);
    }

    async fn collect(&mut self, frame: Bytes) -> Result<(), CallerError> {
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
