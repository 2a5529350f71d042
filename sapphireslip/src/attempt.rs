//! How a client classifies the result of one attempt at a request.

use std::time::Duration;

use tokio_postgres::error::SqlState;

/// The text that precedes the delay in milliseconds in the hint of a refusal.
pub const RETRY_HINT: &str = "retry after ";

/// The result of one attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The request was acknowledged.
    Done,
    /// The request was refused and did not run.
    NotRun {
        /// The delay after which the client should retry, if the daemon named one.
        retry_after: Option<Duration>,
        /// The SQLSTATE and message of the error, or why nothing could be sent.
        message: String,
    },
    /// The request key is already in use: an earlier attempt ran, or the key was claimed for a
    /// request that was refused.
    KeyTaken,
    /// The request may have run.
    Unknown {
        /// The message of the error, with its SQLSTATE if it has one.
        message: String,
    },
}

/// Classifies an error of the PostgreSQL driver by its SQLSTATE.
///
/// An error without a SQLSTATE means that the connection was lost, so the statement may have run.
#[must_use]
pub fn attempt_result(error: &tokio_postgres::Error) -> Attempt {
    let Some(db) = error.as_db_error() else {
        return Attempt::Unknown {
            message: error.to_string(),
        };
    };
    let message = format!("{}: {}", db.code().code(), db.message());
    if *db.code() == SqlState::UNIQUE_VIOLATION {
        return Attempt::KeyTaken;
    }
    if *db.code() == SqlState::TRANSACTION_RESOLUTION_UNKNOWN {
        return Attempt::Unknown { message };
    }
    Attempt::NotRun {
        retry_after: db.hint().and_then(retry_after),
        message,
    }
}

/// Returns the delay that a hint such as `retry after 200 ms` names.
///
/// ```
/// use sapphireslip::retry_after;
/// use std::time::Duration;
/// assert_eq!(retry_after("retry after 200 ms"), Some(Duration::from_millis(200)));
/// ```
#[must_use]
pub fn retry_after(hint: &str) -> Option<Duration> {
    let (_, rest) = hint.split_once(RETRY_HINT)?;
    let digits = rest.split(' ').next()?;
    digits.parse().ok().map(Duration::from_millis)
}
