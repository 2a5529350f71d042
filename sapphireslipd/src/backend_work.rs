//! Carries out the queued work of one backend connection, one piece after the other.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use flume::{Receiver, Sender};
use pgwire::messages::PgWireBackendMessage as In;
use pgwire::messages::response::TransactionStatus as WireStatus;
use sapphireslip_core::{
    BackendEvent, ConnectionId, Event, SqlState, TermPosition, TransactionStatus, WorkEnd, WorkId,
    WorkPayload,
};

use crate::backend_connection::{Connection, decode, error_field, query_message};
use crate::backend_error::BackendError;

/// The size in bytes from which a part of an answer is passed on before the answer is complete.
pub const ANSWER_PART_BYTES: usize = 32 * 1024;

const STEP_WORK: &str = "running a statement";
const STEP_IDLE: &str = "waiting on an idle connection";

/// One piece of work for a connection.
#[derive(Debug)]
pub(crate) struct Work {
    /// The identifier under which the answer is reported.
    pub(crate) id: WorkId,
    /// The messages or the SQL text to send.
    pub(crate) payload: WorkPayload,
}

/// Carries out the work of a connection until its queue is closed or the runner has stopped.
///
/// # Errors
///
/// Returns the [`BackendError`] that ended the connection.
pub(crate) async fn run(
    mut connection: Connection,
    id: ConnectionId,
    work: Receiver<Work>,
    events: &Sender<Event>,
) -> Result<(), BackendError> {
    loop {
        let next = tokio::select! {
            next = work.recv_async() => next,
            frame = connection.next(STEP_IDLE) => {
                check_idle(&frame?, connection.address())?;
                continue;
            }
        };
        let Ok(Work { id: work, payload }) = next else {
            return Ok(());
        };
        let is_internal = matches!(payload, WorkPayload::Sql(_));
        let mut pending = match payload {
            WorkPayload::Messages(messages) => messages,
            WorkPayload::Sql(sql) => query_message(&sql),
        };
        let mut answer = AnswerCollector::new(is_internal, connection.address());
        let mut is_complete = false;
        while !is_complete {
            let frame = connection
                .next_while_writing(STEP_WORK, &mut pending)
                .await?;
            let Some(part) = answer.push(&frame)? else {
                continue;
            };
            is_complete = part.end.is_some();
            let event = BackendEvent::Answered {
                connection: id,
                work,
                payload: part.payload,
                end: part.end,
            };
            if events.send_async(Event::Backend(event)).await.is_err() {
                return Ok(());
            }
        }
    }
}

/// Checks a message that a server sent without a request; an error message means that the server
/// ends the connection.
fn check_idle(frame: &Bytes, address: SocketAddr) -> Result<(), BackendError> {
    match decode(frame, STEP_IDLE, address)? {
        In::NoticeResponse(_) | In::NotificationResponse(_) | In::ParameterStatus(_) => Ok(()),
        In::ErrorResponse(error) => Err(BackendError::Refused(
            STEP_IDLE,
            address,
            error_field(&error.fields, b'C'),
            error_field(&error.fields, b'M'),
        )),
        other => {
            let detail = format!("unexpected message {other:?}");
            Err(BackendError::Protocol(STEP_IDLE, address, detail))
        }
    }
}

/// A part of an answer, ready to be reported.
struct AnswerPart {
    /// The messages to relay.
    payload: Bytes,
    /// The outcome of the work; `None` while further parts follow.
    end: Option<WorkEnd>,
}

/// Splits the messages of an answer into parts and extracts what the reducer needs to know.
struct AnswerCollector {
    /// The address of the server.
    address: SocketAddr,
    /// Whether the work is the reducer's own SQL, whose messages are not relayed to a client.
    is_internal: bool,
    /// The relayed messages of the current part.
    buf: BytesMut,
    /// The last log position that the server reported in this answer.
    committed: Option<TermPosition>,
    /// The SQLSTATE of the first error in this answer.
    sqlstate: Option<SqlState>,
    /// The first column of the first row; only for internal work.
    first_value: Option<sapphireslip_core::Text>,
    /// The number of rows received so far; only counted for internal work.
    row_count: usize,
}

impl AnswerCollector {
    fn new(is_internal: bool, address: SocketAddr) -> Self {
        Self {
            address,
            is_internal,
            buf: BytesMut::new(),
            committed: None,
            sqlstate: None,
            first_value: None,
            row_count: 0,
        }
    }

    /// Adds a message; returns a part once it is large enough or the answer is complete.
    fn push(&mut self, frame: &Bytes) -> Result<Option<AnswerPart>, BackendError> {
        let is_relayed = match frame.first() {
            Some(b'Z') => return self.finish(frame).map(Some),
            Some(b'S') => self.handle_parameter(frame)?,
            Some(b'E') => self.handle_error(frame)?,
            Some(b'D') if self.is_internal => self.handle_row(frame)?,
            _ => true,
        };
        if !is_relayed || self.is_internal {
            return Ok(None);
        }
        self.buf.extend_from_slice(frame);
        if self.buf.len() < ANSWER_PART_BYTES {
            return Ok(None);
        }
        Ok(Some(AnswerPart {
            payload: self.buf.split().freeze(),
            end: None,
        }))
    }

    /// Records the commit position and hides it from the client; returns whether to relay the
    /// message.
    fn handle_parameter(&mut self, frame: &Bytes) -> Result<bool, BackendError> {
        let In::ParameterStatus(parameter) = decode(frame, STEP_WORK, self.address)? else {
            return Ok(true);
        };
        if parameter.name != "group_position" {
            return Ok(true);
        }
        let position = TermPosition::try_from(parameter.value.as_str());
        let protocol = |error: sapphireslip_core::TermPositionError| {
            BackendError::Protocol(STEP_WORK, self.address, error.to_string())
        };
        self.committed = Some(position.map_err(protocol)?);
        Ok(false)
    }

    /// Records the SQLSTATE of the first error; returns whether to relay the message.
    fn handle_error(&mut self, frame: &Bytes) -> Result<bool, BackendError> {
        let In::ErrorResponse(error) = decode(frame, STEP_WORK, self.address)? else {
            return Ok(true);
        };
        let code = error_field(&error.fields, b'C');
        let state = code.as_bytes().try_into().ok().map(SqlState);
        self.sqlstate = self.sqlstate.or(state);
        Ok(true)
    }

    /// Records the first value of an internal query; returns whether to relay the message.
    fn handle_row(&mut self, frame: &Bytes) -> Result<bool, BackendError> {
        self.row_count += 1;
        let In::DataRow(row) = decode(frame, STEP_WORK, self.address)? else {
            return Ok(true);
        };
        if self.row_count == 1 && row.field_count > 0 {
            self.first_value = first_column(&row.data);
        }
        Ok(true)
    }

    /// Returns the last part of the answer, at the `ReadyForQuery` message.
    fn finish(&mut self, frame: &Bytes) -> Result<AnswerPart, BackendError> {
        let In::ReadyForQuery(ready) = decode(frame, STEP_WORK, self.address)? else {
            let detail = "a ReadyForQuery message is malformed".to_owned();
            return Err(BackendError::Protocol(STEP_WORK, self.address, detail));
        };
        let transaction = match ready.status {
            WireStatus::Idle => TransactionStatus::Idle,
            WireStatus::Transaction => TransactionStatus::Open,
            WireStatus::Error => TransactionStatus::Failed,
        };
        Ok(AnswerPart {
            payload: self.buf.split().freeze(),
            end: Some(WorkEnd {
                transaction,
                committed: self.committed,
                sqlstate: self.sqlstate,
                value: self.first_value.take(),
            }),
        })
    }
}

/// Returns the text of a row's first column; `None` if it is null or not UTF-8.
pub(crate) fn first_column(data: &[u8]) -> Option<sapphireslip_core::Text> {
    let (length, rest) = data.split_first_chunk::<4>()?;
    let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
    let text = std::str::from_utf8(rest.get(..length)?).ok()?;
    Some(text.into())
}
