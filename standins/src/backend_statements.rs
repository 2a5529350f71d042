//! The simple and extended query protocols of one session.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use pgwire::messages::data::{FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::extendedquery::{Bind, BindComplete, CloseComplete, Parse, ParseComplete};
use pgwire::messages::response::{EmptyQueryResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{PgWireBackendMessage as Out, PgWireFrontendMessage as In};
use rusqlite::types::Value;

use crate::backend_query::{Column, Description};
use crate::backend_server::{Server, lock};
use crate::backend_sql::{SqlError, Translated, split, translate};
use crate::backend_transaction::{Block, Transaction};
use crate::backend_values::decode;
use crate::backend_wire::{Wire, format_code, put_result};

/// A statement that the client has prepared.
struct Prepared {
    /// The statement in SQLite's dialect.
    translated: Arc<Translated>,
    /// The statement's parameter types and result columns.
    description: Description,
}

/// A prepared statement with bound parameters, ready to be executed.
struct Portal {
    /// The statement in SQLite's dialect.
    translated: Arc<Translated>,
    /// The values of the parameters, in order.
    parameters: Vec<Value>,
    /// The columns of the result.
    columns: Vec<Column>,
    /// The format codes of the result columns as the client sent them; see [`format_code`].
    formats: Vec<i16>,
}

/// The state of one session.
pub(crate) struct Session {
    /// The state of the transaction.
    transaction: Transaction,
    /// The prepared statements by name; the unnamed one has an empty name.
    statements: BTreeMap<String, Prepared>,
    /// The open portals by name; the unnamed one has an empty name.
    portals: BTreeMap<String, Portal>,
    /// Whether a message has failed since the last `Sync`, so that messages are skipped until the
    /// next one.
    is_skipping: bool,
}

impl Session {
    /// Creates the session of a new connection to a server.
    pub(crate) fn new(server: &Arc<Server>) -> Self {
        Self {
            transaction: Transaction::new(Arc::clone(server)),
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            is_skipping: false,
        }
    }

    /// Handles a message of the client; returns false if the connection is to be closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(crate) async fn handle(&mut self, wire: &mut Wire, message: In) -> io::Result<bool> {
        if matches!(message, In::Query(_) | In::Execute(_)) {
            wire.server.statements.fetch_add(1, Ordering::SeqCst);
        }
        match message {
            In::Query(query) => self.simple_query(wire, &query.query).await,
            In::Sync(_) => self.sync(wire).await,
            In::Terminate(_) => Ok(false),
            In::Flush(_) => wire.flush().await.map(|()| true),
            _ if self.is_skipping => Ok(true),
            message => {
                if let Err(error) = self.extended_query(wire, message).await? {
                    self.is_skipping = true;
                    self.transaction.fail();
                    wire.put_error("ERROR", &error)?;
                }
                Ok(true)
            }
        }
    }

    /// Runs the statements of a simple query up to the first one that fails.
    async fn simple_query(&mut self, wire: &mut Wire, text: &str) -> io::Result<bool> {
        let statements = split(text);
        if statements.is_empty() {
            wire.put(Out::EmptyQueryResponse(EmptyQueryResponse::new()))?;
        }
        for sql in statements {
            let translated = translate(&sql);
            let described = self.transaction.describe(&translated, &[]);
            let result = self.transaction.run_statement(&translated, &[]).await;
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
        self.finish_query(wire).await
    }

    /// Ends a sequence of extended query messages.
    async fn sync(&mut self, wire: &mut Wire) -> io::Result<bool> {
        self.is_skipping = false;
        self.portals.clear();
        self.finish_query(wire).await
    }

    /// Commits the implicit transaction, reports the log position of a commit, and tells the client
    /// that the session is ready; returns false if the answer is to be lost.
    async fn finish_query(&mut self, wire: &mut Wire) -> io::Result<bool> {
        if let Err(error) = self.transaction.end_implicit() {
            wire.put_error("ERROR", &error)?;
        }
        if let Some(committed) = self.transaction.committed.take() {
            if std::mem::take(&mut lock(&wire.server.faults).lose_next_answer) {
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
        wire.in_transaction = self.transaction.block != Block::Idle;
        wire.local_idle_limit = self.transaction.idle_limit();
        wire.put(Out::ReadyForQuery(ReadyForQuery::new(status)))?;
        wire.flush().await?;
        Ok(true)
    }

    /// Handles a message of the extended query protocol.
    async fn extended_query(
        &mut self,
        wire: &mut Wire,
        message: In,
    ) -> io::Result<Result<(), SqlError>> {
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
            _ => Err(SqlError::new("08P01", "this message type is not supported")),
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

    /// Prepares a statement.
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

    /// Returns a prepared statement by its name.
    fn prepared(&self, name: &str) -> Result<&Prepared, SqlError> {
        let missing = || SqlError::new("26000", format!("no prepared statement `{name}`"));
        self.statements.get(name).ok_or_else(missing)
    }

    /// Returns an open portal by its name.
    fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        let missing = || SqlError::new("34000", format!("no portal `{name}`"));
        self.portals.get(name).ok_or_else(missing)
    }

    /// Opens a portal.
    fn bind(&mut self, bind: &Bind) -> Result<(), SqlError> {
        let prepared = self.prepared(bind.statement_name.as_deref().unwrap_or(""))?;
        let oids = &prepared.description.parameters;
        let parameters = bind.parameters.iter().enumerate().map(|(i, bytes)| {
            let format = format_code(&bind.parameter_format_codes, i);
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

    /// Returns the messages that describe a prepared statement (target `S`) or a portal.
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
            let format = format_code(formats, i);
            FieldDescription::new(column.name.clone(), 0, 0, column.oid, -1, -1, format)
        };
        let fields = columns.iter().enumerate().map(field).collect();
        messages.push(Out::RowDescription(RowDescription::new(fields)));
        Ok(messages)
    }

    /// Runs the statement of a portal and sends its result.
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
        match self
            .transaction
            .run_statement(&translated, &parameters)
            .await
        {
            Ok(result) => put_result(wire, sql, &result, &columns, &formats, false).map(Ok),
            Err(error) => Ok(Err(error)),
        }
    }
}
