//! One caller's session, from its startup to its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use flume::{Receiver, Sender};
use pgwire::messages::PgWireFrontendMessage as In;
use sapphireslip_core::{
    CallerEffect, CallerEvent, CallerName, DatabaseName, Event, Refusal, RequestKey, SessionId,
    TermPosition, Text, TransactionStatus,
};
use tokio::time::timeout;

use crate::caller_batch::{LocalAnswer, answer_batch, batch_commands, batch_text};
use crate::caller_error::CallerError;
use crate::caller_messages::{
    Severity, put, put_cancel_key, put_error, put_parameter, put_ready, put_refusal,
    without_inserted,
};
use crate::caller_startup::{CancelKey, STARTUP_TIMEOUT, STEP_STARTUP, Startup, authenticate};
use crate::caller_wire::{CallerWire, decode};
use crate::frames::{MESSAGE_MAX_BYTES, split_first};
use crate::prepared::PreparedStatements;
use crate::session_command::{TOKEN_PARAMETER, key_of_comment, session_commands};

const STEP_IDLE: &str = "waiting for a statement";
const STEP_STATEMENT: &str = "a statement";

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
struct Session {
    links: SessionLinks,
    wire: CallerWire,
    prepared: PreparedStatements,
    /// Messages of the batch that the next sync ends.
    batch: Vec<Bytes>,
    batch_bytes: usize,
    transaction: TransactionStatus,
    /// The token that the caller was told last or gave.
    token: Option<TermPosition>,
    /// The key of the next statement.
    key: Option<RequestKey>,
}

/// One statement or batch, ready for the reducer.
struct Statement {
    text: Text,
    key: Option<RequestKey>,
    payload: Bytes,
    inserted: Vec<bool>,
}

impl SessionLinks {
    async fn send(&self, event: CallerEvent) {
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
        transaction: TransactionStatus::Idle,
        token: None,
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
    async fn log_in(&mut self, startup: &Startup) -> Result<(), CallerError> {
        let effect = tokio::select! {
            effect = self.links.effects.recv_async() => effect,
            error = self.wire.gone(STEP_STARTUP) => return Err(error),
        };
        let verifier = match effect {
            Ok(CallerEffect::Authenticate { verifier, .. }) => verifier,
            Ok(CallerEffect::Close { refusal, .. }) => return Err(self.end(&refusal).await),
            Ok(_) | Err(_) => return Err(CallerError::Dropped(STEP_STARTUP, self.wire.peer())),
        };
        authenticate(&mut self.wire, &startup.user, &verifier).await?;
        let token = match startup.token() {
            Ok(token) => token,
            Err(error) => {
                let message = error.to_string();
                return Err(self.wire.refuse(STEP_STARTUP, "22023", message).await);
            }
        };
        let caller = CallerName::try_from(startup.user.as_ref());
        let database = DatabaseName::try_from(startup.database.as_ref());
        let (Ok(caller), Ok(database)) = (caller, database) else {
            let message = "the user name or the database name is malformed";
            return Err(self.wire.refuse(STEP_STARTUP, "28000", message).await);
        };
        self.token = token;
        self.links
            .send(CallerEvent::Opened {
                session: self.links.id,
                caller,
                database,
                token,
            })
            .await;
        self.greet().await
    }

    async fn greet(&mut self) -> Result<(), CallerError> {
        let mut buf = BytesMut::new();
        let ok = pgwire::messages::startup::Authentication::Ok;
        put(
            &mut buf,
            &pgwire::messages::PgWireBackendMessage::Authentication(ok),
        );
        let parameters = [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("integer_datetimes", "on"),
            ("DateStyle", "ISO, MDY"),
            ("IntervalStyle", "postgres"),
            ("TimeZone", "UTC"),
        ];
        for (name, value) in parameters {
            put_parameter(&mut buf, name, value);
        }
        let CancelKey { process, secret } = self.links.cancel_key;
        put_cancel_key(&mut buf, process, secret);
        put_ready(&mut buf, TransactionStatus::Idle);
        self.wire.write(STEP_STARTUP, &buf).await
    }

    /// Tells the caller why its session ends.
    async fn end(&mut self, refusal: &Refusal) -> CallerError {
        let mut buf = BytesMut::new();
        put_refusal(&mut buf, Severity::Fatal, refusal);
        let peer = self.wire.peer();
        match self.wire.write(STEP_STATEMENT, &buf).await {
            Ok(()) => CallerError::Refused(
                STEP_STATEMENT,
                peer,
                refusal.sqlstate(),
                refusal.detail.to_string(),
            ),
            Err(error) => error,
        }
    }

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
        match split_first(&frame).map(|head| head.kind) {
            Some(b'Q') => self.simple(frame).await,
            Some(b'P' | b'B' | b'D' | b'E' | b'C' | b'H') => self.collect(frame).await,
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

    async fn take_idle(
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

    fn dequeue(&self, payload: &Bytes) {
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

    /// Refuses a statement that was not run.
    async fn refuse(&mut self, sqlstate: &str, message: &str) -> Result<(), CallerError> {
        let mut buf = BytesMut::new();
        put_error(&mut buf, Severity::Error, sqlstate, message);
        put_ready(&mut buf, self.transaction);
        self.wire.write(STEP_STATEMENT, &buf).await
    }

    async fn simple(&mut self, frame: Bytes) -> Result<(), CallerError> {
        let Some(In::Query(query)) = decode(&frame) else {
            let message = "a query message is malformed";
            return Err(self.wire.refuse(STEP_IDLE, "08P01", message).await);
        };
        if let Some(commands) = session_commands(&query.query) {
            let mut answer = LocalAnswer::new(self.token);
            for command in &commands {
                answer.describe(command);
                if !answer.execute(command) {
                    break;
                }
            }
            return self.finish_local(answer).await;
        }
        let key = match key_of_comment(&query.query) {
            Ok(key) => key.or_else(|| self.key.take()),
            Err(error) => return self.refuse("22023", &error.to_string()).await,
        };
        self.key = None;
        let statement = Statement {
            text: query.query.into(),
            key,
            payload: frame,
            inserted: Vec::new(),
        };
        self.run_statement(statement).await
    }

    async fn sync(&mut self) -> Result<(), CallerError> {
        let batch = std::mem::take(&mut self.batch);
        self.batch_bytes = 0;
        let rewritten = match self.prepared.rewrite(&batch) {
            Ok(rewritten) => rewritten,
            Err(error) => return self.refuse("54000", &error.to_string()).await,
        };
        if let Some(commands) = batch_commands(&rewritten.steps) {
            let mut answer = LocalAnswer::new(self.token);
            answer_batch(&mut answer, &rewritten.steps, &commands);
            return self.finish_local(answer).await;
        }
        let text = batch_text(&rewritten.steps);
        let mut key = None;
        if text.executes {
            key = match key_of_comment(&text.text) {
                Ok(key) => key.or_else(|| self.key.take()),
                Err(error) => return self.refuse("22023", &error.to_string()).await,
            };
            self.key = None;
        }
        let statement = Statement {
            text: text.text,
            key,
            payload: rewritten.payload,
            inserted: rewritten.inserted,
        };
        self.run_statement(statement).await
    }

    async fn finish_local(&mut self, answer: LocalAnswer) -> Result<(), CallerError> {
        if answer.forget {
            self.prepared.clear();
        }
        if answer.key.is_some() {
            self.key = answer.key;
        }
        if let Some(token) = answer.given {
            self.token = Some(token);
            let session = self.links.id;
            self.links
                .send(CallerEvent::TokenGiven { session, token })
                .await;
        }
        let mut buf = answer.buf;
        put_ready(&mut buf, self.transaction);
        self.wire.write(STEP_STATEMENT, &buf).await
    }

    async fn run_statement(&mut self, statement: Statement) -> Result<(), CallerError> {
        let mut inserted = statement.inserted.into_iter();
        self.links
            .send(CallerEvent::Statement {
                session: self.links.id,
                text: statement.text,
                key: statement.key,
                payload: statement.payload,
            })
            .await;
        loop {
            let effect = tokio::select! {
                effect = self.links.effects.recv_async() => effect,
                error = self.wire.gone(STEP_STATEMENT) => return Err(error),
            };
            match effect {
                Ok(CallerEffect::Answer { payload, .. }) => {
                    self.dequeue(&payload);
                    self.relay(&payload, &mut inserted).await?;
                }
                Ok(CallerEffect::Finish {
                    refusal,
                    transaction,
                    token,
                    ..
                }) => return self.finish(refusal, transaction, token).await,
                other => self.take_idle(other).await?,
            }
        }
    }

    async fn relay(
        &mut self,
        payload: &Bytes,
        inserted: &mut std::vec::IntoIter<bool>,
    ) -> Result<(), CallerError> {
        if inserted.as_slice().contains(&true) {
            let kept = without_inserted(payload, inserted);
            return self.wire.write(STEP_STATEMENT, &kept).await;
        }
        self.wire.write(STEP_STATEMENT, payload).await
    }

    async fn finish(
        &mut self,
        refusal: Option<Refusal>,
        transaction: TransactionStatus,
        token: Option<TermPosition>,
    ) -> Result<(), CallerError> {
        let mut buf = BytesMut::new();
        if let Some(refusal) = refusal {
            put_refusal(&mut buf, Severity::Error, &refusal);
        }
        if let Some(token) = token.filter(|token| self.token != Some(*token)) {
            self.token = Some(token);
            put_parameter(&mut buf, TOKEN_PARAMETER, &token.to_string());
        }
        self.transaction = transaction;
        put_ready(&mut buf, transaction);
        self.wire.write(STEP_STATEMENT, &buf).await
    }
}
