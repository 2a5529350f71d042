//! Encodes the protocol messages that the client edge sends itself.

use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireBackendMessage as Out;
use pgwire::messages::data::{DataRow, FieldDescription, NoData, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus as WireStatus,
};
use pgwire::messages::startup::{BackendKeyData, ParameterStatus, SecretKey};
use sapphireslip_core::{Refusal, TransactionStatus};

use crate::frames::first_frame_head;

/// The object identifier of PostgreSQL's `text` type.
const TEXT_OID: u32 = 25;

/// The target of this module's log lines: its former path, by which operators filter them.
const LOG_TARGET: &str = "sapphireslipd::caller_messages";

/// Appends a message; one that can't be encoded is logged and left out.
pub(crate) fn put(buf: &mut BytesMut, message: &Out) {
    if let Err(error) = message.encode(buf) {
        log::error!(target: LOG_TARGET, "a message to a client can't be encoded: {error}");
    }
}

/// Appends a parameter status message.
pub(crate) fn put_parameter(buf: &mut BytesMut, name: &str, value: &str) {
    let status = ParameterStatus::new(name.to_owned(), value.to_owned());
    put(buf, &Out::ParameterStatus(status));
}

/// Appends a ready message with the session's transaction status.
pub(crate) fn put_ready(buf: &mut BytesMut, transaction: TransactionStatus) {
    let status = match transaction {
        TransactionStatus::Idle => WireStatus::Idle,
        TransactionStatus::Open => WireStatus::Transaction,
        TransactionStatus::Failed => WireStatus::Error,
    };
    put(buf, &Out::ReadyForQuery(ReadyForQuery::new(status)));
}

/// Appends a command complete message with this tag.
pub(crate) fn put_complete(buf: &mut BytesMut, tag: &str) {
    let complete = CommandComplete::new(tag.to_owned());
    put(buf, &Out::CommandComplete(complete));
}

/// Appends the key with which the client can cancel the session's running statement.
pub(crate) fn put_cancel_key(buf: &mut BytesMut, process: i32, secret: i32) {
    let key = BackendKeyData::new(process, SecretKey::I32(secret));
    put(buf, &Out::BackendKeyData(key));
}

/// Appends the description of a result with one text column.
pub(crate) fn put_text_column(buf: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    put(buf, &Out::RowDescription(RowDescription::new(vec![field])));
}

/// Appends a row with one text value.
pub(crate) fn put_text_row(buf: &mut BytesMut, text: &str) {
    let mut data = BytesMut::new();
    data.put_i32(i32::try_from(text.len()).unwrap_or(i32::MAX));
    data.put_slice(text.as_bytes());
    put(buf, &Out::DataRow(DataRow::new(data, 1)));
}

/// Appends a message that a statement returns no columns.
pub(crate) fn put_no_data(buf: &mut BytesMut) {
    put(buf, &Out::NoData(NoData::new()));
}

/// The severity of an error message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Severity {
    /// The error ends the statement.
    Error,
    /// The error ends the session.
    Fatal,
}

/// Appends an error message.
pub(crate) fn put_error(buf: &mut BytesMut, severity: Severity, sqlstate: &str, message: &str) {
    put_error_with_hint(buf, severity, sqlstate, message, None);
}

/// Appends an error message with an optional hint.
fn put_error_with_hint(
    buf: &mut BytesMut,
    severity: Severity,
    sqlstate: &str,
    message: &str,
    hint: Option<String>,
) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    fields.extend(hint.map(|hint| (b'H', hint)));
    put(buf, &Out::ErrorResponse(ErrorResponse::new(fields)));
}

/// Appends a refusal as an error message, with the time after which to retry as its hint.
pub(crate) fn put_refusal(buf: &mut BytesMut, severity: Severity, refusal: &Refusal) {
    let hint = refusal
        .retry_after
        .map(|time| format!("retry after {} ms", time.as_millis()));
    put_error_with_hint(buf, severity, refusal.sqlstate(), &refusal.detail, hint);
}

/// Returns the messages of an answer without the parse complete messages that the client does not
/// expect.
///
/// `inserted` yields for each parse complete message still to come whether the proxy inserted its
/// parse message, so that the client must not see the answer to it.
pub(crate) fn without_inserted(
    answer: &[u8],
    inserted: &mut impl Iterator<Item = bool>,
) -> BytesMut {
    let mut kept = BytesMut::with_capacity(answer.len());
    let mut rest = answer;
    while let Some(head) = first_frame_head(rest) {
        let (message, tail) = rest.split_at(head.length);
        let left_out = head.kind == b'1' && inserted.next().unwrap_or(false);
        if !left_out {
            kept.extend_from_slice(message);
        }
        rest = tail;
    }
    kept
}
