//! One connection to a backend server.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{Bind, BindComplete, CloseComplete, Parse, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, SslResponse,
    TransactionStatus,
};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Out, PgWireFrontendMessage as In, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use rusqlite::types::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use crate::backend_control::{CONTROL_DATABASE, request};
use crate::backend_query::{Column, Description, ResultSet};
use crate::backend_server::{Faults, Server, lock};
use crate::backend_sql::{SqlError, Translated, split, tag, translate};
use crate::backend_transaction::{Block, Transaction};
use crate::backend_values::{decode, encode};

/// The bytes of a session on their way in and out.
struct Wire {
    server: Arc<Server>,
    number: u64,
    zone: String,
    socket: TcpStream,
    input: BytesMut,
    output: BytesMut,
    cx: DecodeContext,
}

fn other(error: PgWireError) -> io::Error {
    io::Error::other(error)
}

impl Wire {
    fn put(&mut self, message: Out) -> io::Result<()> {
        message.encode(&mut self.output).map_err(other)
    }

    fn put_error(&mut self, severity: &str, error: &SqlError) -> io::Result<()> {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.put(Out::ErrorResponse(ErrorResponse::new(fields)))
    }

    async fn pass(&self) {
        let zone = &self.zone;
        let open = |faults: &Faults| {
            !faults.frozen && !faults.cut_callers && !faults.cut_zones.contains(zone)
        };
        self.server.until(open).await;
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.pass().await;
        let output = self.output.split();
        self.socket.write_all(&output).await
    }

    async fn read(&mut self) -> io::Result<Option<In>> {
        loop {
            self.pass().await;
            if let Some(message) = In::decode(&mut self.input, &self.cx).map_err(other)? {
                return Ok(Some(message));
            }
            if self.socket.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn startup(&mut self) -> io::Result<Option<Startup>> {
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

    /// Takes bytes and gives none back until the peer closes.
    async fn swallow(&mut self) {
        loop {
            self.input.clear();
            match self.socket.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

/// Serves one connection until either side closes it.
pub(crate) async fn serve(server: Arc<Server>, group: Arc<[Arc<Server>]>, socket: TcpStream) {
    let _set = socket.set_nodelay(true);
    let mut cx = DecodeContext::default();
    cx.protocol_version = ProtocolVersion::PROTOCOL3_0;
    let number = server.next_connection.fetch_add(1, Ordering::SeqCst);
    let mut wire = Wire {
        server: Arc::clone(&server),
        number,
        zone: String::new(),
        socket,
        input: BytesMut::new(),
        output: BytesMut::new(),
        cx,
    };
    let silent = server.until(|faults| faults.silent_until > number);
    tokio::select! {
        result = session(&mut wire, &group) => drop(result),
        () = silent => {
            wire.swallow().await;
        }
    }
}

async fn session(wire: &mut Wire, group: &[Arc<Server>]) -> io::Result<()> {
    let Some(startup) = wire.startup().await? else {
        return Ok(());
    };
    let parameter = |name| startup.parameters.get(name).map_or("", String::as_str);
    let control = parameter("database") == CONTROL_DATABASE;
    let origin = parameter("application_name");
    wire.zone = origin
        .rsplit_once('/')
        .map_or("", |(_, zone)| zone)
        .to_owned();
    let permit = match control {
        true => None,
        false => match admit(wire).await? {
            Some(permit) => Some(permit),
            None => return Ok(()),
        },
    };
    if !authenticate(wire).await? {
        return Ok(());
    }
    greet(wire).await?;
    if control {
        return serve_control(wire, group).await;
    }
    let mut session = Session {
        transaction: Transaction::new(Arc::clone(&wire.server)),
        statements: BTreeMap::new(),
        portals: BTreeMap::new(),
        skipping: false,
        _permit: permit,
    };
    while let Some(message) = wire.read().await? {
        if !session.take(wire, message).await? {
            return Ok(());
        }
    }
    Ok(())
}

async fn admit(wire: &mut Wire) -> io::Result<Option<OwnedSemaphorePermit>> {
    let connections = Arc::clone(&lock(&wire.server.run).connections);
    let permit = connections.try_acquire_owned().ok();
    if permit.is_none() {
        let error = SqlError::new("53300", "sorry, too many clients already");
        wire.put_error("FATAL", &error)?;
        wire.flush().await?;
        return Ok(None);
    }
    sleep(wire.server.limits.open_cost).await;
    Ok(permit)
}

async fn authenticate(wire: &mut Wire) -> io::Result<bool> {
    let Some(password) = wire.server.limits.password.clone() else {
        return Ok(true);
    };
    wire.put(Out::Authentication(Authentication::CleartextPassword))?;
    wire.flush().await?;
    let Some(In::PasswordMessageFamily(message)) = wire.read().await? else {
        return Ok(false);
    };
    let given = message.into_password().map_err(other)?;
    if given.password == password {
        return Ok(true);
    }
    wire.put_error(
        "FATAL",
        &SqlError::new("28P01", "password authentication failed"),
    )?;
    wire.flush().await?;
    Ok(false)
}

async fn greet(wire: &mut Wire) -> io::Result<()> {
    wire.put(Out::Authentication(Authentication::Ok))?;
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        wire.put(Out::ParameterStatus(status))?;
    }
    let pid = i32::try_from(wire.number).unwrap_or(i32::MAX);
    wire.put(Out::BackendKeyData(BackendKeyData::new(
        pid,
        SecretKey::I32(pid),
    )))?;
    wire.put(Out::ReadyForQuery(ReadyForQuery::new(
        TransactionStatus::Idle,
    )))?;
    wire.flush().await
}

async fn serve_control(wire: &mut Wire, group: &[Arc<Server>]) -> io::Result<()> {
    while let Some(message) = wire.read().await? {
        let In::Query(query) = message else {
            return Ok(());
        };
        let server = Arc::clone(&wire.server);
        match request(&server, group, &query.query).await {
            Ok(status) => {
                let column = Column {
                    name: "status".to_owned(),
                    oid: crate::backend_values::oid::TEXT,
                };
                put_description(wire, std::slice::from_ref(&column), &[])?;
                put_row(wire, &[Value::Text(status)], &[column], &[])?;
                wire.put(Out::CommandComplete(CommandComplete::new(
                    "SELECT 1".to_owned(),
                )))?;
            }
            Err(error) => wire.put_error("ERROR", &error)?,
        }
        wire.put(Out::ReadyForQuery(ReadyForQuery::new(
            TransactionStatus::Idle,
        )))?;
        wire.flush().await?;
    }
    Ok(())
}

fn format_of(formats: &[i16], i: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(i).copied().unwrap_or(0),
    }
}

fn put_description(wire: &mut Wire, columns: &[Column], formats: &[i16]) -> io::Result<()> {
    let field = |(i, column): (usize, &Column)| {
        let format = format_of(formats, i);
        FieldDescription::new(column.name.clone(), 0, 0, column.oid, -1, -1, format)
    };
    let fields = columns.iter().enumerate().map(field).collect();
    wire.put(Out::RowDescription(RowDescription::new(fields)))
}

fn put_row(wire: &mut Wire, row: &[Value], columns: &[Column], formats: &[i16]) -> io::Result<()> {
    let mut data = BytesMut::new();
    for (i, (value, column)) in row.iter().zip(columns).enumerate() {
        encode(value, column.oid, format_of(formats, i), &mut data);
    }
    let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
    wire.put(Out::DataRow(DataRow::new(data, count)))
}

/// A statement prepared by the caller.
struct Prepared {
    translated: Arc<Translated>,
    description: Description,
}

/// A statement with its parameters.
struct Portal {
    translated: Arc<Translated>,
    parameters: Vec<Value>,
    columns: Vec<Column>,
    formats: Vec<i16>,
}

struct Session {
    transaction: Transaction,
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    /// Whether messages are skipped until the next sync.
    skipping: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Session {
    /// Takes a message; returns whether the session goes on.
    async fn take(&mut self, wire: &mut Wire, message: In) -> io::Result<bool> {
        match message {
            In::Query(query) => self.simple(wire, &query.query).await,
            In::Sync(_) => self.sync(wire).await,
            In::Terminate(_) => Ok(false),
            In::Flush(_) => wire.flush().await.map(|()| true),
            _ if self.skipping => Ok(true),
            message => {
                if let Err(error) = self.extended(wire, message).await? {
                    self.skipping = true;
                    self.transaction.fail();
                    wire.put_error("ERROR", &error)?;
                }
                Ok(true)
            }
        }
    }

    async fn simple(&mut self, wire: &mut Wire, text: &str) -> io::Result<bool> {
        let statements = split(text);
        if statements.is_empty() {
            wire.put(Out::EmptyQueryResponse(EmptyQueryResponse::new()))?;
        }
        for sql in statements {
            let translated = translate(&sql);
            let described = self.transaction.describe(&translated, &[]);
            let result = self.transaction.statement(&translated, &[]).await;
            let outcome = result.and_then(|result| {
                let described = described.or_else(|_| self.transaction.describe(&translated, &[]));
                Ok((result, described?.columns))
            });
            match outcome {
                Ok((result, columns)) => put_result(wire, &sql, &result, &columns, &[], true)?,
                Err(error) => {
                    wire.put_error("ERROR", &error)?;
                    break;
                }
            }
        }
        self.ready(wire).await
    }

    async fn sync(&mut self, wire: &mut Wire) -> io::Result<bool> {
        self.skipping = false;
        self.portals.clear();
        self.ready(wire).await
    }

    /// Ends the implicit transaction and reports the session's state.
    async fn ready(&mut self, wire: &mut Wire) -> io::Result<bool> {
        if let Err(error) = self.transaction.end_implicit() {
            wire.put_error("ERROR", &error)?;
        }
        if let Some(committed) = self.transaction.committed.take() {
            if std::mem::take(&mut lock(&wire.server.faults).lose_answer) {
                return Ok(false);
            }
            let status = ParameterStatus::new("group_position".to_owned(), committed.to_string());
            wire.put(Out::ParameterStatus(status))?;
        }
        let status = match self.transaction.block {
            Block::Idle => TransactionStatus::Idle,
            Block::Open => TransactionStatus::Transaction,
            Block::Failed => TransactionStatus::Error,
        };
        wire.put(Out::ReadyForQuery(ReadyForQuery::new(status)))?;
        wire.flush().await?;
        Ok(true)
    }

    async fn extended(&mut self, wire: &mut Wire, message: In) -> io::Result<Result<(), SqlError>> {
        let result = match message {
            In::Parse(parse) => self
                .parse(&parse)
                .map(|()| vec![Out::ParseComplete(ParseComplete::new())]),
            In::Bind(bind) => self
                .bind(&bind)
                .map(|()| vec![Out::BindComplete(BindComplete::new())]),
            In::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                self.describe(describe.target_type, &name)
            }
            In::Close(close) => {
                let name = close.name.unwrap_or_default();
                match close.target_type {
                    b'S' => drop(self.statements.remove(&name)),
                    _ => drop(self.portals.remove(&name)),
                }
                Ok(vec![Out::CloseComplete(CloseComplete::new())])
            }
            In::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                return self.execute(wire, &name).await;
            }
            _ => Err(SqlError::new("08P01", "the message is not supported")),
        };
        match result {
            Ok(messages) => {
                for message in messages {
                    wire.put(message)?;
                }
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    fn parse(&mut self, parse: &Parse) -> Result<(), SqlError> {
        let translated = translate(&parse.query);
        let description = self.transaction.describe(&translated, &parse.type_oids)?;
        let prepared = Prepared {
            translated: Arc::new(translated),
            description,
        };
        let name = parse.name.clone().unwrap_or_default();
        self.statements.insert(name, prepared);
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<&Prepared, SqlError> {
        let missing = || SqlError::new("26000", format!("no prepared statement `{name}`"));
        self.statements.get(name).ok_or_else(missing)
    }

    fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        let missing = || SqlError::new("34000", format!("no portal `{name}`"));
        self.portals.get(name).ok_or_else(missing)
    }

    fn bind(&mut self, bind: &Bind) -> Result<(), SqlError> {
        let prepared = self.prepared(bind.statement_name.as_deref().unwrap_or(""))?;
        let oids = &prepared.description.parameters;
        let parameters = bind.parameters.iter().enumerate().map(|(i, bytes)| {
            let format = format_of(&bind.parameter_format_codes, i);
            decode(bytes.as_ref(), oids.get(i).copied().unwrap_or(0), format)
        });
        let portal = Portal {
            translated: Arc::clone(&prepared.translated),
            parameters: parameters.collect::<Result<_, _>>()?,
            columns: prepared.description.columns.clone(),
            formats: bind.result_column_format_codes.clone(),
        };
        let name = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(name, portal);
        Ok(())
    }

    fn describe(&self, target: u8, name: &str) -> Result<Vec<Out>, SqlError> {
        let mut messages = Vec::new();
        let (columns, formats) = match target {
            b'S' => {
                let description = &self.prepared(name)?.description;
                let parameters = ParameterDescription::new(description.parameters.clone());
                messages.push(Out::ParameterDescription(parameters));
                (&description.columns, &[][..])
            }
            _ => {
                let portal = self.portal(name)?;
                (&portal.columns, portal.formats.as_slice())
            }
        };
        if columns.is_empty() {
            messages.push(Out::NoData(NoData::new()));
            return Ok(messages);
        }
        let field = |(i, column): (usize, &Column)| {
            let format = format_of(formats, i);
            FieldDescription::new(column.name.clone(), 0, 0, column.oid, -1, -1, format)
        };
        let fields = columns.iter().enumerate().map(field).collect();
        messages.push(Out::RowDescription(RowDescription::new(fields)));
        Ok(messages)
    }

    async fn execute(&mut self, wire: &mut Wire, name: &str) -> io::Result<Result<(), SqlError>> {
        let portal = match self.portal(name) {
            Ok(portal) => portal,
            Err(error) => return Ok(Err(error)),
        };
        let translated = Arc::clone(&portal.translated);
        let parameters = portal.parameters.clone();
        let columns = portal.columns.clone();
        let formats = portal.formats.clone();
        let sql = &translated.sql;
        if sql.trim().is_empty() {
            wire.put(Out::EmptyQueryResponse(EmptyQueryResponse::new()))?;
            return Ok(Ok(()));
        }
        match self.transaction.statement(&translated, &parameters).await {
            Ok(result) => put_result(wire, sql, &result, &columns, &formats, false).map(Ok),
            Err(error) => Ok(Err(error)),
        }
    }
}

fn put_result(
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
