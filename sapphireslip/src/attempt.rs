//! What a caller makes of one answer.

use std::time::Duration;

use tokio_postgres::error::SqlState;

/// The text before the milliseconds in the hint of a refusal.
pub const RETRY_HINT: &str = "retry after ";

/// What became of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// Acknowledged.
    Done,
    /// Refused, and not run.
    NotRun {
        /// When to come back.
        retry_after: Option<Duration>,
        /// What was said.
        message: String,
    },
    /// The key is taken: the request has run before or was given up on.
    KeyTaken,
    /// It may have run.
    Unknown {
        /// What was said.
        message: String,
    },
}

/// Reads an error of the driver as a caller should, by its SQLSTATE.
///
/// An error without a SQLSTATE is a lost connection: what was sent may have run.
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

/// Returns the time to wait that a hint names, such as `retry after 200 ms`.
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
