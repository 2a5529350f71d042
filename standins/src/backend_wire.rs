//! Reads and writes the messages of a session and applies the faults of its connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ErrorResponse, SslResponse};
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Out, PgWireFrontendMessage as In,
    SslNegotiationMetaMessage,
};
use rusqlite::types::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::backend_query::{Column, ResultSet};
use crate::backend_server::{Faults, Server, lock};
use crate::backend_sql::{SqlError, tag};
use crate::backend_values::encode;

/// The size above which an answer counts as large for the fault that breaks one off.
const LARGE_ANSWER_BYTES: usize = 128 * 1024;

/// A client connection with its buffers.
pub(crate) struct Wire {
    /// The server that the client is connected to.
    pub(crate) server: Arc<Server>,
    /// The connection's number at the server, counted from 1.
    pub(crate) number: u64,
    /// The client's availability zone, from the end of its `application_name`; empty if unknown.
    pub(crate) zone: String,
    /// The connection.
    pub(crate) socket: TcpStream,
    /// The bytes received and not decoded yet.
    pub(crate) input: BytesMut,
    /// The bytes encoded and not sent yet.
    pub(crate) output: BytesMut,
    /// The state of the protocol that the decoder needs.
    pub(crate) cx: DecodeContext,
    /// How long a transaction may be idle, from the startup options.
    pub(crate) idle_limit: Option<Duration>,
    /// The idle limit that the open block has set for itself; it replaces `idle_limit`.
    pub(crate) local_idle_limit: Option<Duration>,
    /// Whether a transaction block was open at the end of the last query.
    pub(crate) in_transaction: bool,
}

/// Wraps a protocol error in an I/O error.
pub(crate) fn io_error(error: PgWireError) -> io::Error {
    io::Error::other(error)
}

impl Wire {
    /// Adds a message to the output.
    pub(crate) fn put(&mut self, message: Out) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io_error)
    }

    /// Adds an error response to the output.
    pub(crate) fn put_error(&mut self, severity: &str, error: &SqlError) -> io::Result<()> {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.put(Out::ErrorResponse(ErrorResponse::new(fields)))
    }

    /// Waits until no fault holds back the data of this connection.
    pub(crate) async fn wait_until_unblocked(&self) {
        let zone = &self.zone;
        let open = |faults: &Faults| {
            !faults.is_frozen && !faults.cut_clients && !faults.cut_zones.contains(zone)
        };
        self.server.wait_until(open).await;
    }

    /// Waits for a future, but while a transaction is open no longer than the idle limit.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` if the limit has passed.
    async fn with_idle_limit<T>(&self, wait: impl Future<Output = T>) -> io::Result<T> {
        let limit = self.local_idle_limit.or(self.idle_limit);
        let Some(limit) = limit.filter(|_| self.in_transaction) else {
            return Ok(wait.await);
        };
        let waited = tokio::time::timeout(limit, wait).await;
        if waited.is_err() {
            // A frozen process can't close the connection.
            self.server.wait_until(|faults| !faults.is_frozen).await;
        }
        Ok(waited?)
    }

    /// Reads from the socket; returns the number of bytes, 0 at its end.
    async fn receive(&mut self) -> io::Result<usize> {
        self.with_idle_limit(self.socket.readable()).await??;
        self.socket.read_buf(&mut self.input).await
    }

    /// Sends the output; breaks off a large one if that fault is switched on.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.with_idle_limit(self.wait_until_unblocked()).await?;
        let output = self.output.split();
        if output.len() > LARGE_ANSWER_BYTES && self.take_break_fault() {
            self.socket.write_all(&output[..output.len() / 2]).await?;
            self.socket.shutdown().await?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.socket.write_all(&output).await
    }

    /// Switches the fault that breaks off a large answer off; returns whether it was on.
    fn take_break_fault(&self) -> bool {
        std::mem::take(&mut lock(&self.server.faults).break_next_large_answer)
    }

    /// Returns the client's next message; `None` once the client has closed the connection.
    pub(crate) async fn read(&mut self) -> io::Result<Option<In>> {
        loop {
            self.with_idle_limit(self.wait_until_unblocked()).await?;
            if let Some(message) = In::decode(&mut self.input, &self.cx).map_err(io_error)? {
                return Ok(Some(message));
            }
            if self.receive().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Returns the startup message, after refusing a request for TLS; `None` if none comes.
    pub(crate) async fn startup(&mut self) -> io::Result<Option<Startup>> {
        loop {
            match self.read().await? {
                Some(In::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                    self.cx.awaiting_frontend_ssl = false;
                }
                Some(In::SslNegotiation(_)) => {
                    self.put(Out::SslResponse(SslResponse::Refuse))?;
                    self.flush().await?;
                }
                Some(In::Startup(startup)) => {
                    self.cx.awaiting_frontend_startup = false;
                    return Ok(Some(startup));
                }
                _ => return Ok(None),
            }
        }
    }

    /// Reads and discards all input until the client closes the connection.
    pub(crate) async fn discard_input(&mut self) {
        loop {
            self.input.clear();
            match self.socket.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

/// Returns the format code of value `i`: a list of codes may be empty (all text), have one code for
/// all values, or one for each.
pub(crate) fn format_code(formats: &[i16], i: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(i).copied().unwrap_or(0),
    }
}

/// Adds the description of a result's columns to the output.
pub(crate) fn put_description(
    wire: &mut Wire,
    columns: &[Column],
    formats: &[i16],
) -> io::Result<()> {
    let field = |(i, column): (usize, &Column)| {
        let format = format_code(formats, i);
        FieldDescription::new(column.name.clone(), 0, 0, column.oid, -1, -1, format)
    };
    let fields = columns.iter().enumerate().map(field).collect();
    wire.put(Out::RowDescription(RowDescription::new(fields)))
}

/// Adds a data row to the output.
pub(crate) fn put_row(
    wire: &mut Wire,
    row: &[Value],
    columns: &[Column],
    formats: &[i16],
) -> io::Result<()> {
    let mut data = BytesMut::new();
    for (i, (value, column)) in row.iter().zip(columns).enumerate() {
        encode(value, column.oid, format_code(formats, i), &mut data);
    }
    let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
    wire.put(Out::DataRow(DataRow::new(data, count)))
}

/// Adds a statement's result to the output, with a description of its columns if `described`.
pub(crate) fn put_result(
    wire: &mut Wire,
    sql: &str,
    result: &ResultSet,
    columns: &[Column],
    formats: &[i16],
    described: bool,
) -> io::Result<()> {
    if described && !columns.is_empty() {
        put_description(wire, columns, formats)?;
    }
    for row in &result.rows {
        put_row(wire, row, columns, formats)?;
    }
    let tag = tag(sql, result.rows.len(), result.changes);
    wire.put(Out::CommandComplete(CommandComplete::new(tag)))
}
