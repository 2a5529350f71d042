//! Passes a session's statements to the reducer and their answers back to the client.

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage as In;
use sapphireslip_core::{
    ClientEffect, ClientEvent, Refusal, RequestKey, TermPosition, Text, TransactionStatus,
};

use crate::client_batch::{LocalAnswer, answer_batch, batch_commands, batch_text, token_text};
use crate::client_error::ClientError;
use crate::client_messages::{
    Severity, put_error, put_parameter, put_ready, put_refusal, without_inserted,
};
use crate::client_session::{STEP_IDLE, STEP_STATEMENT, Session};
use crate::client_wire::decode;
use crate::frames::first_frame_head;
use crate::session_command::{TOKEN_PARAMETER, key_of_comment, session_commands};

/// A simple query or a batch, ready to be sent to the reducer.
struct Statement {
    /// The SQL text, for classification.
    text: Text,
    /// The request key that the client gave, if any.
    key: Option<RequestKey>,
    /// The protocol messages for a backend server.
    payload: Bytes,
    /// For each parse message in `payload`, whether the proxy inserted it.
    inserted: Vec<bool>,
    /// Whether the statement ends in a flush, after which the client gets no ready message.
    is_flush: bool,
}

/// A statement that was sent to the reducer and is not finished.
struct RunningStatement {
    /// For each parse complete message still to come, whether the proxy inserted its parse message.
    inserted: std::vec::IntoIter<bool>,
    /// Whether the statement ends in a flush, after which the client gets no ready message.
    is_flush: bool,
    /// Whether the answer so far contains an error; only kept for a flush.
    has_failed: bool,
}

/// The bytes of a sync message.
const SYNC: [u8; 5] = [b'S', 0, 0, 0, 4];

impl Session {
    /// Answers a statement that was not run with an error and a ready message.
    async fn refuse(&mut self, sqlstate: &str, message: &str) -> Result<(), ClientError> {
        let mut buf = BytesMut::new();
        put_error(&mut buf, Severity::Error, sqlstate, message);
        put_ready(&mut buf, self.transaction);
        self.wire.write(STEP_STATEMENT, &buf).await
    }

    /// Handles a simple query.
    pub(crate) async fn handle_query(&mut self, frame: Bytes) -> Result<(), ClientError> {
        let Some(In::Query(query)) = decode(&frame) else {
            let message = "a query message is malformed";
            return Err(self.wire.refuse(STEP_IDLE, "08P01", message).await);
        };
        if let Some(commands) = session_commands(&query.query) {
            let mut answer = LocalAnswer::new(self.token, &self.database);
            for command in &commands {
                answer.describe(command);
                if !answer.execute(command) {
                    break;
                }
            }
            return self.finish_local(answer).await;
        }
        let key = match key_of_comment(&query.query) {
            Ok(key) => key.or_else(|| self.next_key.take()),
            Err(error) => return self.refuse("22023", &error.to_string()).await,
        };
        self.next_key = None;
        let statement = Statement {
            text: query.query.into(),
            key,
            payload: frame,
            inserted: Vec::new(),
            is_flush: false,
        };
        self.run_statement(statement).await
    }

    /// Handles a sync, which ends a batch.
    pub(crate) async fn handle_sync(&mut self) -> Result<(), ClientError> {
        let batch = std::mem::take(&mut self.batch);
        self.batch_bytes = 0;
        if std::mem::take(&mut self.is_skipping) {
            let mut buf = BytesMut::new();
            put_ready(&mut buf, self.transaction);
            return self.wire.write(STEP_STATEMENT, &buf).await;
        }
        let rewritten = match self.prepared.rewrite(&batch) {
            Ok(rewritten) => rewritten,
            Err(error) => return self.refuse(error.sqlstate(), &error.to_string()).await,
        };
        if let Some(commands) = batch_commands(&rewritten.steps) {
            let mut answer = LocalAnswer::new(self.token, &self.database);
            answer_batch(&mut answer, &rewritten.steps, &commands);
            return self.finish_local(answer).await;
        }
        let text = batch_text(&rewritten.steps);
        let mut key = None;
        if text.executes {
            key = match key_of_comment(&text.text) {
                Ok(key) => key.or_else(|| self.next_key.take()),
                Err(error) => return self.refuse("22023", &error.to_string()).await,
            };
            self.next_key = None;
        }
        let statement = Statement {
            text: text.text,
            key,
            payload: rewritten.payload,
            inserted: rewritten.inserted,
            is_flush: false,
        };
        self.run_statement(statement).await
    }

    /// Handles a flush.
    ///
    /// A batch that only prepares, describes or closes statements is answered at once, because
    /// drivers wait for the answer before they continue. A batch that binds or executes anything
    /// waits for its sync: it is sent as one unit on a pooled connection.
    pub(crate) async fn handle_flush(&mut self) -> Result<(), ClientError> {
        let only_describes = |frame: &Bytes| match frame.first() {
            Some(b'P') => true,
            Some(b'D' | b'C') => frame.get(5) == Some(&b'S'),
            _ => false,
        };
        if self.batch.is_empty() || !self.batch.iter().all(only_describes) {
            return Ok(());
        }
        let batch = std::mem::take(&mut self.batch);
        self.batch_bytes = 0;
        let rewritten = match self.prepared.rewrite(&batch) {
            Ok(rewritten) => rewritten,
            Err(error) => {
                self.is_skipping = true;
                let mut buf = BytesMut::new();
                let message = error.to_string();
                put_error(&mut buf, Severity::Error, error.sqlstate(), &message);
                return self.wire.write(STEP_STATEMENT, &buf).await;
            }
        };
        if let Some(commands) = batch_commands(&rewritten.steps) {
            let mut answer = LocalAnswer::new(self.token, &self.database);
            answer_batch(&mut answer, &rewritten.steps, &commands);
            return self.wire.write(STEP_STATEMENT, &answer.buf).await;
        }
        let mut payload = BytesMut::from(rewritten.payload.as_ref());
        payload.extend_from_slice(&SYNC);
        let statement = Statement {
            text: batch_text(&rewritten.steps).text,
            key: None,
            payload: payload.freeze(),
            inserted: rewritten.inserted,
            is_flush: true,
        };
        self.run_statement(statement).await
    }

    /// Sends the answer to session commands and applies their effects on the session.
    async fn finish_local(&mut self, answer: LocalAnswer) -> Result<(), ClientError> {
        if answer.clears_prepared {
            self.prepared.clear();
        }
        if answer.key_given.is_some() {
            self.next_key = answer.key_given;
        }
        if let Some(token) = answer.token_given {
            self.token = Some(token);
            let session = self.links.id;
            self.links
                .send(ClientEvent::TokenGiven { session, token })
                .await;
        }
        let mut buf = answer.buf;
        put_ready(&mut buf, self.transaction);
        self.wire.write(STEP_STATEMENT, &buf).await
    }

    /// Sends a statement to the reducer and relays its answer until it is finished.
    async fn run_statement(&mut self, statement: Statement) -> Result<(), ClientError> {
        let mut running = RunningStatement {
            inserted: statement.inserted.into_iter(),
            is_flush: statement.is_flush,
            has_failed: false,
        };
        self.links
            .send(ClientEvent::Statement {
                session: self.links.id,
                text: statement.text,
                key: statement.key,
                payload: statement.payload,
            })
            .await;
        loop {
            let effect = tokio::select! {
                effect = self.links.effects.recv_async() => effect,
                error = self.wire.closed(STEP_STATEMENT) => return Err(error),
            };
            match effect {
                Ok(ClientEffect::Answer { payload, .. }) => {
                    self.release_queued_bytes(&payload);
                    self.relay(&payload, &mut running).await?;
                }
                Ok(ClientEffect::Finish {
                    refusal,
                    transaction,
                    token,
                    ..
                }) => return self.finish(&running, refusal, transaction, token).await,
                other => self.handle_effect(other).await?,
            }
        }
    }

    /// Relays a part of an answer to the client.
    async fn relay(
        &mut self,
        payload: &Bytes,
        running: &mut RunningStatement,
    ) -> Result<(), ClientError> {
        running.has_failed |= running.is_flush && has_error(payload);
        if running.inserted.as_slice().contains(&true) {
            let kept = without_inserted(payload, &mut running.inserted);
            return self.wire.write(STEP_STATEMENT, &kept).await;
        }
        self.wire.write(STEP_STATEMENT, payload).await
    }

    /// Ends a statement's answer: reports a refusal, a changed session token, and, unless the
    /// statement ended in a flush, that the session is ready.
    async fn finish(
        &mut self,
        running: &RunningStatement,
        refusal: Option<Refusal>,
        transaction: TransactionStatus,
        token: Option<TermPosition>,
    ) -> Result<(), ClientError> {
        let mut buf = BytesMut::new();
        if let Some(refusal) = &refusal {
            put_refusal(&mut buf, Severity::Error, refusal);
        }
        if let Some(token) = token.filter(|token| self.token != Some(*token)) {
            self.token = Some(token);
            let text = token_text(&self.database, token);
            put_parameter(&mut buf, TOKEN_PARAMETER, &text);
        }
        self.transaction = transaction;
        if running.is_flush {
            self.is_skipping = running.has_failed || refusal.is_some();
        } else {
            put_ready(&mut buf, transaction);
        }
        self.wire.write(STEP_STATEMENT, &buf).await
    }
}

/// Returns whether the messages contain an error message.
fn has_error(messages: &[u8]) -> bool {
    let mut rest = messages;
    while let Some(head) = first_frame_head(rest) {
        if head.kind == b'E' {
            return true;
        }
        rest = &rest[head.length..];
    }
    false
}
