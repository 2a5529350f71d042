//! Converts SQLite's values to and from the text and binary formats of the wire protocol.

use bytes::{BufMut, Bytes, BytesMut};
use rusqlite::types::{Value, ValueRef};

use crate::backend_sql::SqlError;

/// The object identifiers of the supported types.
pub(crate) mod oid {
    pub(crate) const BOOL: u32 = 16;
    pub(crate) const INT8: u32 = 20;
    pub(crate) const INT2: u32 = 21;
    pub(crate) const INT4: u32 = 23;
    pub(crate) const TEXT: u32 = 25;
    pub(crate) const FLOAT4: u32 = 700;
    pub(crate) const FLOAT8: u32 = 701;
    pub(crate) const VARCHAR: u32 = 1043;
}

/// The format code of the binary format; all other codes mean text.
pub(crate) const BINARY: i16 = 1;

/// Returns the object identifier of the type that a declaration such as `INTEGER` names.
pub(crate) fn declared_type(declaration: &str) -> u32 {
    let upper = declaration.to_ascii_uppercase();
    match upper.as_str() {
        "INT4" => oid::INT4,
        _ if upper.starts_with("BOOL") => oid::BOOL,
        _ if upper.contains("INT") => oid::INT8,
        _ if ["REAL", "FLOA", "DOUB", "NUMERIC"]
            .iter()
            .any(|word| upper.starts_with(word)) =>
        {
            oid::FLOAT8
        }
        _ => oid::TEXT,
    }
}

/// Returns the object identifier of a value's type, for columns without a declared type.
pub(crate) fn value_type(value: ValueRef<'_>) -> u32 {
    match value {
        ValueRef::Integer(_) => oid::INT8,
        ValueRef::Real(_) => oid::FLOAT8,
        ValueRef::Null | ValueRef::Text(_) | ValueRef::Blob(_) => oid::TEXT,
    }
}

/// Appends a value to a data row, in the format that the code names.
pub(crate) fn encode(value: &Value, oid: u32, format: i16, row: &mut BytesMut) {
    let text = match value {
        Value::Null => {
            row.put_i32(-1);
            return;
        }
        Value::Integer(n) if oid == oid::BOOL => if *n == 0 { "f" } else { "t" }.to_owned(),
        Value::Integer(n) => n.to_string(),
        Value::Real(x) => x.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => String::from_utf8_lossy(bytes).into_owned(),
    };
    if format != BINARY {
        put(row, text.as_bytes());
        return;
    }
    let integer = || match value {
        Value::Integer(n) => *n,
        _ => text.parse().unwrap_or(0),
    };
    match oid {
        oid::BOOL => put(row, &[u8::from(integer() != 0)]),
        oid::INT4 => put(
            row,
            &i32::try_from(integer()).unwrap_or(i32::MAX).to_be_bytes(),
        ),
        oid::INT8 => put(row, &integer().to_be_bytes()),
        oid::FLOAT8 => put(row, &text.parse::<f64>().unwrap_or(f64::NAN).to_be_bytes()),
        _ => put(row, text.as_bytes()),
    }
}

/// Appends the length of a value and the value itself.
fn put(row: &mut BytesMut, bytes: &[u8]) {
    row.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
    row.put_slice(bytes);
}

/// Decodes a parameter of the type that the object identifier names; no bytes mean `NULL`.
///
/// # Errors
///
/// Returns SQLSTATE 22P02 if the bytes are not a value of the type.
pub(crate) fn decode(bytes: Option<&Bytes>, oid: u32, format: i16) -> Result<Value, SqlError> {
    let Some(bytes) = bytes else {
        return Ok(Value::Null);
    };
    let bad = || SqlError::new("22P02", format!("parameter of type {oid} is malformed"));
    if format == BINARY {
        let raw = bytes.as_ref();
        let value = match oid {
            oid::BOOL => Value::Integer(i64::from(raw != [0])),
            oid::INT2 => {
                Value::Integer(i16::from_be_bytes(raw.try_into().ok().ok_or_else(bad)?).into())
            }
            oid::INT4 => {
                Value::Integer(i32::from_be_bytes(raw.try_into().ok().ok_or_else(bad)?).into())
            }
            oid::INT8 => Value::Integer(i64::from_be_bytes(raw.try_into().ok().ok_or_else(bad)?)),
            oid::FLOAT4 => {
                Value::Real(f32::from_be_bytes(raw.try_into().ok().ok_or_else(bad)?).into())
            }
            oid::FLOAT8 => Value::Real(f64::from_be_bytes(raw.try_into().ok().ok_or_else(bad)?)),
            _ => Value::Text(String::from_utf8(raw.to_vec()).ok().ok_or_else(bad)?),
        };
        return Ok(value);
    }
    let text = std::str::from_utf8(bytes).ok().ok_or_else(bad)?;
    match oid {
        oid::INT2 | oid::INT4 | oid::INT8 => Ok(Value::Integer(text.parse().ok().ok_or_else(bad)?)),
        oid::FLOAT4 | oid::FLOAT8 => Ok(Value::Real(text.parse().ok().ok_or_else(bad)?)),
        oid::BOOL => Ok(Value::Integer(i64::from(matches!(
            text,
            "t" | "true" | "1"
        )))),
        oid::TEXT | oid::VARCHAR => Ok(Value::Text(text.to_owned())),
        _ => Ok(text
            .parse()
            .map_or_else(|_| Value::Text(text.to_owned()), Value::Integer)),
    }
}
