//! `status` and `drain`: ask running daemons by their admin interface.

use std::fmt::Write;
use std::net::SocketAddr;

use serde::Serialize;

use crate::http::{get, post};
use crate::{Error, Output};

/// What `status` is asked.
#[derive(Clone, Debug)]
pub struct StatusArguments {
    /// The admin addresses.
    pub admin: Vec<SocketAddr>,
}

/// What `drain` is asked.
#[derive(Clone, Debug)]
pub struct DrainArguments {
    /// The admin address.
    pub admin: SocketAddr,
}

/// One daemon's answer.
#[derive(Clone, Debug, Serialize)]
struct DaemonStatus {
    address: SocketAddr,
    status: Option<serde_json::Value>,
    error: Option<String>,
}

/// Reads the status of daemons; one that does not answer is named and does not hide the others.
///
/// # Errors
///
/// [`Error::Call`] if none of them answers.
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

/// Writes JSON as indented lines, which read better than braces.
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

fn write_field(text: &mut String, name: &str, value: &serde_json::Value, depth: usize) {
    let indent = "  ".repeat(depth);
    if value.is_object() || value.is_array() {
        let _fits = writeln!(text, "{indent}{name}:");
        return write_value(text, value, depth + 1);
    }
    let _fits = writeln!(text, "{indent}{name}: {}", plain_text(value));
}

fn plain_text(value: &serde_json::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Begins the graceful stop of a daemon.
///
/// # Errors
///
/// [`Error::Call`] if it does not answer.
pub async fn drain(arguments: &DrainArguments) -> Result<Output, Error> {
    post(arguments.admin, "/drain").await?;
    let text = format!("daemon at {} is draining", arguments.admin);
    Ok(Output::new(text, &arguments.admin))
}
