//! Statements about the session itself, which the client edge answers without a backend server.
//!
//! Backend connections are shared by sessions, so no setting may outlive a transaction on one.
//! Settings that drivers routinely send are acknowledged without effect; all others are refused.

use sapphireslip_core::{RequestKey, RequestKeyError, SessionToken};

use crate::sql_scan::{comments, statements};

/// The parameter that sets, reports and shows the session token.
pub const TOKEN_PARAMETER: &str = "sapphireslip.token";

/// The parameter that sets the request key of the next statement.
pub const KEY_PARAMETER: &str = "sapphireslip.request_key";

/// The settings that are acknowledged and have no effect.
const IGNORED_SETTINGS: [&str; 9] = [
    "application_name",
    "bytea_output",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "names",
    "timezone",
];

/// A statement about the session itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionCommand {
    /// Set the session token: the session has seen this record of its database's log.
    SetToken(SessionToken),
    /// Set the request key of the next statement.
    SetKey(RequestKey),
    /// Return the session token as a row.
    ShowToken,
    /// Report that the command is complete, without any effect.
    Acknowledge {
        /// The command tag to report.
        tag: &'static str,
    },
    /// Discard the session's prepared statements.
    ClearPrepared {
        /// The command tag to report.
        tag: &'static str,
    },
    /// Refuse the command.
    Refuse {
        /// The SQLSTATE of the error.
        sqlstate: &'static str,
        /// The reason, with what to do instead.
        message: String,
    },
}

/// Returns the session commands of a text, or `None` if the text is for a backend server.
///
/// A text that mixes session commands with other statements yields a single refusal.
///
/// ```
/// use sapphireslipd::{SessionCommand, session_commands};
/// let commands = session_commands("SET application_name = 'till'");
/// assert_eq!(commands, Some(vec![SessionCommand::Acknowledge { tag: "SET" }]));
/// assert_eq!(session_commands("SELECT 1"), None);
/// ```
#[must_use]
pub fn session_commands(text: &str) -> Option<Vec<SessionCommand>> {
    let statements = statements(text);
    let commands: Vec<_> = statements
        .iter()
        .filter_map(|sql| parse_command(sql))
        .collect();
    if commands.is_empty() {
        return None;
    }
    if commands.len() < statements.len() {
        let message = "`SET` and the like can't stand with other statements: send them alone";
        return Some(vec![unsupported(message)]);
    }
    Some(commands)
}

/// Returns the request key in a text's first comment of the form `/* sapphireslip key=KEY */`, if
/// there is one.
///
/// # Errors
///
/// Returns an error if the key is malformed.
///
/// ```
/// use sapphireslipd::key_of_comment;
/// let key = key_of_comment("INSERT INTO t VALUES (1) /* sapphireslip key=1764794258.a */")?;
/// assert_eq!(key.map(|key| key.to_string()).as_deref(), Some("1764794258.a"));
/// # Ok::<(), sapphireslip_core::RequestKeyError>(())
/// ```
pub fn key_of_comment(text: &str) -> Result<Option<RequestKey>, RequestKeyError> {
    for comment in comments(text) {
        let inner = comment.trim_start_matches("/*").trim_end_matches("*/");
        let Some(rest) = inner.trim().strip_prefix("sapphireslip key=") else {
            continue;
        };
        return RequestKey::try_from(rest.trim()).map(Some);
    }
    Ok(None)
}

/// Returns the refusal of a statement that is not supported.
fn unsupported(message: impl Into<String>) -> SessionCommand {
    SessionCommand::Refuse {
        sqlstate: "0A000",
        message: message.into(),
    }
}

/// Returns the session command of one statement, or `None` if it is for a backend server.
fn parse_command(sql: &str) -> Option<SessionCommand> {
    let sql = sql.trim();
    let (word, rest) = first_word(sql);
    match word.to_ascii_uppercase().as_str() {
        "SET" => parse_set(rest),
        "SHOW" if rest.eq_ignore_ascii_case(TOKEN_PARAMETER) => Some(SessionCommand::ShowToken),
        "RESET" => Some(SessionCommand::Acknowledge { tag: "RESET" }),
        "UNLISTEN" => Some(SessionCommand::Acknowledge { tag: "UNLISTEN" }),
        "DISCARD" => Some(SessionCommand::ClearPrepared { tag: "DISCARD ALL" }),
        "DEALLOCATE" => Some(SessionCommand::ClearPrepared { tag: "DEALLOCATE" }),
        "LISTEN" | "COPY" | "PREPARE" | "EXECUTE" => Some(unsupported(format!(
            "`{word}` is not supported through the proxy"
        ))),
        _ => None,
    }
}

/// Splits off the first word, which may contain dots, and trims the rest.
fn first_word(sql: &str) -> (&str, &str) {
    let end = sql.find(|c: char| !c.is_ascii_alphanumeric() && c != '_' && c != '.');
    let (word, rest) = sql.split_at(end.unwrap_or(sql.len()));
    (word, rest.trim())
}

/// Returns the command of a `SET` statement from the text after `SET`, or `None` if the statement
/// is for a backend server.
fn parse_set(rest: &str) -> Option<SessionCommand> {
    let (mut name, mut value) = first_word(rest);
    if name.eq_ignore_ascii_case("session") {
        (name, value) = first_word(value);
    }
    let name = name.to_ascii_lowercase();
    let value = match value.strip_prefix('=') {
        Some(value) => value,
        None => match first_word(value) {
            (to, value) if to.eq_ignore_ascii_case("to") => value,
            _ => value,
        },
    };
    let value = value.trim().trim_matches('\'');
    let invalid_value = |message: String| SessionCommand::Refuse {
        sqlstate: "22023",
        message,
    };
    match name.as_str() {
        // These settings end with the transaction.
        "local" | "transaction" | "constraints" => None,
        "time" => Some(SessionCommand::Acknowledge { tag: "SET" }),
        TOKEN_PARAMETER => Some(match SessionToken::try_from(value) {
            Ok(token) => SessionCommand::SetToken(token),
            Err(error) => invalid_value(error.to_string()),
        }),
        KEY_PARAMETER => Some(match RequestKey::try_from(value) {
            Ok(key) => SessionCommand::SetKey(key),
            Err(error) => invalid_value(error.to_string()),
        }),
        name if IGNORED_SETTINGS.contains(&name) => {
            Some(SessionCommand::Acknowledge { tag: "SET" })
        }
        name => Some(unsupported(format!(
            "`SET {name}` would outlive the transaction: use `SET LOCAL` within one"
        ))),
    }
}
