//! A session's statements: on their way to the reducer, and their answers on the way back.

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage as In;
use sapphireslip_core::{
    CallerEffect, CallerEvent, Refusal, RequestKey, TermPosition, Text, TransactionStatus,
};

use crate::caller_batch::{LocalAnswer, answer_batch, batch_commands, batch_text, token_text};
use crate::caller_error::CallerError;
use crate::caller_messages::{
    Severity, put_error, put_parameter, put_ready, put_refusal, without_inserted,
};
use crate::caller_session::{STEP_IDLE, STEP_STATEMENT, Session};
use crate::caller_wire::decode;
use crate::frames::first_frame_head;
use crate::session_command::{TOKEN_PARAMETER, key_of_comment, session_commands};

/// One statement or batch, ready for the reducer.
struct Statement {
    text: Text,
    key: Option<RequestKey>,
    payload: Bytes,
    inserted: Vec<bool>,
    /// Whether it ends in a flush, after which the caller gets no ready message.
    is_flush: bool,
}

/// A statement that the reducer has.
struct RunningStatement {
    inserted: std::vec::IntoIter<bool>,
    is_flush: bool,
    /// Whether a part of its answer was an error; only looked at after a flush.
    has_failed: bool,
}

/// A sync as it is written.
const SYNC: [u8; 5] = [b'S', 0, 0, 0, 4];

impl Session {
    /// Refuses a statement that was not run.
    async fn refuse(&mut self, sqlstate: &str, message: &str) -> Result<(), CallerError> {
        let mut buf = BytesMut::new();
        put_error(&mut buf, Severity::Error, sqlstate, message);
        put_ready(&mut buf, self.transaction);
        self.wire.write(STEP_STATEMENT, &buf).await
    }

    /// Takes a simple query.
    pub(crate) async fn simple(&mut self, frame: Bytes) -> Result<(), CallerError> {
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
            Ok(key) => key.or_else(|| self.key.take()),
            Err(error) => return self.refuse("22023", &error.to_string()).await,
        };
        self.key = None;
        let statement = Statement {
            text: query.query.into(),
            key,
            payload: frame,
            inserted: Vec::new(),
            is_flush: false,
        };
        self.run_statement(statement).await
    }

    /// Takes a sync, which ends a batch.
    pub(crate) async fn sync(&mut self) -> Result<(), CallerError> {
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
            is_flush: false,
        };
        self.run_statement(statement).await
    }

    /// Takes a flush.
    ///
    /// What only prepares or describes is answered at once, as drivers wait for it. What binds or
    /// runs anything waits for its sync: a batch is one unit on a pooled connection.
    pub(crate) async fn flush(&mut self) -> Result<(), CallerError> {
        let describes = |frame: &Bytes| match frame.first() {
            Some(b'P') => true,
            Some(b'D' | b'C') => frame.get(5) == Some(&b'S'),
            _ => false,
        };
        if self.batch.is_empty() || !self.batch.iter().all(describes) {
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
        let mut running = RunningStatement {
            inserted: statement.inserted.into_iter(),
            is_flush: statement.is_flush,
            has_failed: false,
        };
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
                    self.relay(&payload, &mut running).await?;
                }
                Ok(CallerEffect::Finish {
                    refusal,
                    transaction,
                    token,
                    ..
                }) => return self.finish(&running, refusal, transaction, token).await,
                other => self.take_idle(other).await?,
            }
        }
    }

    async fn relay(
        &mut self,
        payload: &Bytes,
        running: &mut RunningStatement,
    ) -> Result<(), CallerError> {
        running.has_failed |= running.is_flush && has_error(payload);
        if running.inserted.as_slice().contains(&true) {
            let kept = without_inserted(payload, &mut running.inserted);
            return self.wire.write(STEP_STATEMENT, &kept).await;
        }
        self.wire.write(STEP_STATEMENT, payload).await
    }

    async fn finish(
        &mut self,
        running: &RunningStatement,
        refusal: Option<Refusal>,
        transaction: TransactionStatus,
        token: Option<TermPosition>,
    ) -> Result<(), CallerError> {
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

/// Returns whether one of the messages is an error.
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
