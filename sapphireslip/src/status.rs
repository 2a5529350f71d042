//! `status` and `drain`: call the admin interface of running daemons.

use std::fmt::Write;
use std::net::SocketAddr;

use serde::Serialize;

use crate::http::{get, post};
use crate::{Error, Output};

/// The arguments of `status`.
#[derive(Clone, Debug)]
pub struct StatusArguments {
    /// The admin addresses of the daemons.
    pub admin: Vec<SocketAddr>,
}

/// The arguments of `drain`.
#[derive(Clone, Debug)]
pub struct DrainArguments {
    /// The admin address of the daemon.
    pub admin: SocketAddr,
}

/// The answer of one daemon, as printed in JSON.
#[derive(Clone, Debug, Serialize)]
struct DaemonStatus {
    /// The admin address of the daemon.
    address: SocketAddr,
    /// The status of the daemon; `None` if it did not answer or its answer is not JSON.
    status: Option<serde_json::Value>,
    /// Why the daemon did not answer; `None` if it did.
    error: Option<String>,
}

/// Reads the status of daemons. A daemon that does not answer is listed with its error.
///
/// # Errors
///
/// [`Error::Call`] if no daemon answers.
pub async fn status(arguments: &StatusArguments) -> Result<Output, Error> {
    let mut daemons = Vec::new();
    let mut last_error = None;
    for address in &arguments.admin {
        let body = get(*address, "/status").await;
        let status = match body {
            Ok(body) => DaemonStatus {
                address: *address,
                status: serde_json::from_str(&body).ok(),
                error: None,
            },
            Err(err) => {
                let error = Some(err.to_string());
                last_error = Some(err);
                DaemonStatus {
                    address: *address,
                    status: None,
                    error,
                }
            }
        };
        daemons.push(status);
    }
    match last_error {
        Some(err) if daemons.iter().all(|daemon| daemon.status.is_none()) => Err(err),
        _ => Ok(Output::new(status_text(&daemons), &daemons)),
    }
}

/// Returns the answers of the daemons as text.
fn status_text(daemons: &[DaemonStatus]) -> String {
    let mut text = String::new();
    for daemon in daemons {
        let _fits = writeln!(text, "{}", daemon.address);
        if let Some(error) = &daemon.error {
            let _fits = writeln!(text, "  {error}");
        }
        if let Some(status) = &daemon.status {
            write_value(&mut text, status, 1);
        }
    }
    text.truncate(text.trim_end().len());
    text
}

/// Writes a JSON value as indented lines without braces and quotes, for human readers.
fn write_value(text: &mut String, value: &serde_json::Value, depth: usize) {
    let indent = "  ".repeat(depth);
    match value {
        serde_json::Value::Object(fields) => {
            for (name, value) in fields {
                write_field(text, name, value, depth);
            }
        }
        serde_json::Value::Array(values) => {
            for value in values {
                let _fits = writeln!(text, "{indent}-");
                write_value(text, value, depth + 1);
            }
        }
        other => {
            let _fits = writeln!(text, "{indent}{}", plain_text(other));
        }
    }
}

/// Writes a field of a JSON object, with its value on the same line unless it is nested.
fn write_field(text: &mut String, name: &str, value: &serde_json::Value, depth: usize) {
    let indent = "  ".repeat(depth);
    if value.is_object() || value.is_array() {
        let _fits = writeln!(text, "{indent}{name}:");
        return write_value(text, value, depth + 1);
    }
    let _fits = writeln!(text, "{indent}{name}: {}", plain_text(value));
}

/// Returns a JSON value as text, a string without quotes.
fn plain_text(value: &serde_json::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Starts the graceful stop of a daemon.
///
/// # Errors
///
/// [`Error::Call`] if the daemon does not answer.
pub async fn drain(arguments: &DrainArguments) -> Result<Output, Error> {
    post(arguments.admin, "/drain").await?;
    let text = format!("daemon at {} is draining", arguments.admin);
    Ok(Output::new(text, &arguments.admin))
}
