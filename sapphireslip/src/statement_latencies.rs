//! Latencies of single statements, from the send to the end of the answer, by outcome.

use std::time::Duration;

use serde::Serialize;

use crate::{Attempt, Latencies, LatencySummary, attempt_result};

/// The latencies of answered and refused statements, and the number of those that failed otherwise.
#[derive(Debug, Default)]
pub struct StatementLatencies {
    /// The latencies of statements that were answered.
    answered: Latencies,
    /// The latencies of statements that were refused as not run.
    refused: Latencies,
    /// The number of refusals that named a delay for the retry.
    with_hint: u64,
    /// The number of statements that ended in any other way.
    failed: u64,
}

/// A summary of the latencies of statements.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StatementSummary {
    /// The latencies of statements that were answered.
    pub answered: LatencySummary,
    /// The latencies of statements that were refused as not run.
    pub refused: LatencySummary,
    /// The number of refusals that named a delay for the retry.
    pub with_hint: u64,
    /// The number of statements that ended in any other way.
    pub failed: u64,
}

impl StatementLatencies {
    /// Records the result of a statement and the time that it took.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut latencies = sapphireslip::StatementLatencies::default();
    /// latencies.add(&Ok(()), Duration::from_millis(3));
    /// assert_eq!(latencies.summary().answered.count, 1);
    /// ```
    pub fn add<T>(&mut self, result: &Result<T, tokio_postgres::Error>, took: Duration) {
        match result.as_ref().map_err(attempt_result) {
            Ok(_) => self.answered.add(took),
            Err(Attempt::NotRun { retry_after, .. }) => {
                self.refused.add(took);
                self.with_hint += u64::from(retry_after.is_some());
            }
            Err(_) => self.failed += 1,
        }
    }

    /// Returns a summary of the latencies recorded so far.
    ///
    /// ```
    /// assert_eq!(sapphireslip::StatementLatencies::default().summary().with_hint, 0);
    /// ```
    #[must_use]
    pub fn summary(&self) -> StatementSummary {
        StatementSummary {
            answered: self.answered.summary(),
            refused: self.refused.summary(),
            with_hint: self.with_hint,
            failed: self.failed,
        }
    }
}
