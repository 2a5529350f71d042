//! Runs statements on a SQLite database and describes their parameters and columns.

use std::collections::BTreeMap;

use rusqlite::types::Value;
use rusqlite::{Connection, Statement};

use crate::backend_sql::{SqlError, Translated, insert_columns, insert_parameters};
use crate::backend_values::{declared_type, oid, value_type};

/// A column of a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Column {
    /// The name that the client is told.
    pub(crate) name: String,
    /// The object identifier of the column's type.
    pub(crate) oid: u32,
}

/// The parameter types and result columns of a statement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Description {
    /// The object identifiers of the parameters' types, in order.
    pub(crate) parameters: Vec<u32>,
    /// The columns of the result; empty if the statement returns no rows.
    pub(crate) columns: Vec<Column>,
}

/// The result of a statement.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResultSet {
    /// The rows, each with one value for each column.
    pub(crate) rows: Vec<Vec<Value>>,
    /// The number of rows that the database's last writing statement inserted, updated or deleted.
    pub(crate) changes: usize,
}

/// The declared columns of all tables whose names occur in a statement.
struct DeclaredColumns {
    /// The object identifier of each column's type, by the column's name in lower case.
    types: BTreeMap<String, u32>,
    /// The names of the columns in the order of their declaration, in lower case.
    order: Vec<String>,
}

impl DeclaredColumns {
    /// Reads the columns from the database's schema.
    fn read(database: &Connection, sql: &str) -> Result<Self, SqlError> {
        let lower = sql.to_ascii_lowercase();
        let mut statement = database.prepare_cached(
            "SELECT lower(m.name), lower(c.name), c.type FROM sqlite_master m, \
             pragma_table_info(m.name) c WHERE m.type = 'table'",
        )?;
        let mut rows = statement.query([])?;
        let mut declared_columns = Self {
            types: BTreeMap::new(),
            order: Vec::new(),
        };
        while let Some(row) = rows.next()? {
            let table: String = row.get(0)?;
            let column: String = row.get(1)?;
            let kind: String = row.get(2)?;
            if lower.contains(&table) {
                declared_columns.order.push(column.clone());
                declared_columns.types.insert(column, declared_type(&kind));
            }
        }
        Ok(declared_columns)
    }
}

/// Describes a statement's parameters and columns.
///
/// `given` holds the parameter types that the client named; 0 leaves a type open.
///
/// # Errors
///
/// Returns an error if the database can't prepare the statement.
pub(crate) fn describe(
    database: &Connection,
    translated: &Translated,
    given: &[u32],
) -> Result<Description, SqlError> {
    let mut statement = database.prepare(&translated.sql)?;
    let declared_columns = DeclaredColumns::read(database, &translated.sql)?;
    let parameters = (0..statement.parameter_count())
        .map(|i| match given.get(i) {
            Some(0) | None => parameter_type(translated, &declared_columns, i),
            Some(oid) => *oid,
        })
        .collect();
    let columns = columns(&mut statement, &declared_columns)?;
    Ok(Description {
        parameters,
        columns,
    })
}

/// Returns the type of parameter `i`, from its cast, the column that it is compared with or the
/// column that it is inserted into, and otherwise text.
fn parameter_type(translated: &Translated, columns: &DeclaredColumns, i: usize) -> u32 {
    let hint = translated.hints.get(i);
    if let Some(cast) = hint.and_then(|hint| hint.cast.as_ref()) {
        return declared_type(cast);
    }
    let named = hint.and_then(|hint| hint.column.as_ref());
    if let Some(oid) = named.and_then(|column| columns.types.get(column)) {
        return *oid;
    }
    let inserted = insert_parameters(&translated.sql)
        .into_iter()
        .find(|inserted| inserted.number == i + 1);
    let names = insert_columns(&translated.sql);
    let names = names.as_ref().unwrap_or(&columns.order);
    let name = inserted.and_then(|inserted| names.get(inserted.column_index));
    let found = name.and_then(|name| columns.types.get(name));
    found.copied().unwrap_or(oid::TEXT)
}

/// Describes the columns of a result.
///
/// A column without a declared type gets the type of its value in the first row, for which a
/// statement that only reads is run.
fn columns(
    statement: &mut Statement<'_>,
    declared_columns: &DeclaredColumns,
) -> Result<Vec<Column>, SqlError> {
    let mut unknown = Vec::new();
    let mut columns = Vec::new();
    for (i, column) in statement.columns().enumerate() {
        let name = column.name().to_owned();
        let named = declared_columns.types.get(&name.to_ascii_lowercase());
        let declaration = column.decl_type().map(declared_type);
        let oid = declaration.or(named.copied()).unwrap_or_else(|| {
            unknown.push(i);
            expression_type(&name)
        });
        columns.push(Column { name, oid });
    }
    if unknown.is_empty() || !statement.readonly() {
        return Ok(columns);
    }
    let mut rows = statement.raw_query();
    if let Some(row) = rows.next()? {
        for i in unknown {
            let value = row.get_ref(i)?;
            if value != rusqlite::types::ValueRef::Null {
                columns[i].oid = value_type(value);
            }
        }
    }
    Ok(columns)
}

/// Returns the type of a column that is an expression, from the function that its name begins with.
fn expression_type(name: &str) -> u32 {
    let lower = name.to_ascii_lowercase();
    match lower.split('(').next() {
        Some("count" | "sum" | "max" | "min" | "length") => oid::INT8,
        _ => oid::TEXT,
    }
}

/// Runs a statement to its end and collects its rows.
///
/// # Errors
///
/// Returns an error if the database refuses the statement.
pub(crate) fn run(
    database: &Connection,
    sql: &str,
    parameters: &[Value],
) -> Result<ResultSet, SqlError> {
    let mut statement = database.prepare_cached(sql)?;
    let width = statement.column_count();
    let mut result = ResultSet::default();
    let mut rows = statement.query(rusqlite::params_from_iter(parameters))?;
    while let Some(row) = rows.next()? {
        let values = (0..width).map(|i| row.get(i));
        result.rows.push(values.collect::<Result<_, _>>()?);
    }
    drop(rows);
    result.changes = usize::try_from(database.changes()).unwrap_or(usize::MAX);
    Ok(result)
}
