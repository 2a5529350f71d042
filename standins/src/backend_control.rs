//! Group requests: fencing, promotion and status queries, sent as SQL on control connections.

use std::sync::Arc;
use std::time::Duration;

use sapphireslip_core::{ServerRole, ServerStatus, Term, TermPosition};
use tokio::time::timeout;

use crate::backend_log::Following;
use crate::backend_server::{Server, lock};
use crate::backend_sql::SqlError;

/// The database name by which a client opens a control connection.
pub(crate) const CONTROL_DATABASE: &str = "group_control";

/// Formats a server's status as the text that answers a group request.
pub(crate) fn encode(status: &ServerStatus) -> String {
    let role = match status.role {
        ServerRole::Primary => "primary",
        ServerRole::Replica => "replica",
    };
    let starts = status.term_starts.iter().map(ToString::to_string);
    format!(
        "role={role} fenced={} held={} applied={} starts={}",
        status.fenced.0,
        status.held,
        status.applied.0,
        starts.collect::<Vec<_>>().join(",")
    )
}

/// Carries out a group request and returns the server's status afterwards.
///
/// # Errors
///
/// Returns SQLSTATE 42883 if the request is unknown or malformed, and 57P05 with the status as its
/// message if the server refuses the request.
pub(crate) async fn handle_request(
    server: &Arc<Server>,
    group: &[Arc<Server>],
    sql: &str,
) -> Result<String, SqlError> {
    let unknown = || SqlError::new("42883", format!("unknown group request `{sql}`"));
    let call = sql.trim().trim_end_matches(';');
    let call = call.strip_prefix("SELECT ").ok_or_else(unknown)?;
    let (name, arguments) = call.split_once('(').ok_or_else(unknown)?;
    let arguments = arguments.trim_end().strip_suffix(')').ok_or_else(unknown)?;
    let arguments: Vec<&str> = arguments
        .split(',')
        .map(|argument| argument.trim().trim_matches('\''))
        .collect();
    let term = || arguments[0].parse().map(Term).ok().ok_or_else(unknown);
    let succeeded = match name.trim() {
        "group_status" => true,
        "group_wait" => {
            let record = TermPosition::try_from(arguments[0])
                .ok()
                .ok_or_else(unknown)?;
            let time = arguments.get(1).and_then(|time| time.parse().ok());
            wait_held(server, record, Duration::from_millis(time.unwrap_or(0))).await;
            true
        }
        "group_fence" => lock(&server.log).fence(term()?),
        "group_promote" => lock(&server.log).promote(term()?),
        "group_follow" => {
            let named = |peer: &&Arc<Server>| Some(&peer.id.as_str()) == arguments.get(1);
            let primary = group.iter().find(named).ok_or_else(unknown)?.index;
            let term = term()?;
            let following = Following { term, primary };
            primary != server.index && lock(&server.log).follow(following)
        }
        _ => return Err(unknown()),
    };
    if succeeded && name.trim() != "group_status" && name.trim() != "group_wait" {
        server.replace_write_lock();
    }
    if name.trim() == "group_follow" && succeeded {
        server.pull_records(group);
    }
    let status = encode(&lock(&server.log).status());
    match succeeded {
        true => Ok(status),
        false => Err(SqlError::new("57P05", status)),
    }
}

/// Waits until the server's log holds a record, but no longer than `time`.
async fn wait_held(server: &Server, record: TermPosition, time: Duration) {
    let mut changed = server.changed.subscribe();
    let held = async {
        while !lock(&server.log).holds(record) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    let _in_time = timeout(time, held).await;
}
