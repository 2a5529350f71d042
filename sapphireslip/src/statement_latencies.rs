//! Latencies of single statements, from the send to the end of the answer, by what came of them.

use std::time::Duration;

use serde::Serialize;

use crate::{Attempt, Latencies, LatencySummary, attempt_result};

/// Latencies of statements that were answered and of those that were refused.
#[derive(Debug, Default)]
pub struct StatementLatencies {
    answered: Latencies,
    refused: Latencies,
    with_hint: u64,
    failed: u64,
}

/// What is told of the latencies of statements.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StatementSummary {
    /// Statements that were answered.
    pub answered: LatencySummary,
    /// Statements that were refused as not run.
    pub refused: LatencySummary,
    /// How many of the refusals said when to come back.
    pub with_hint: u64,
    /// Statements that ended in any other way.
    pub failed: u64,
}

impl StatementLatencies {
    /// Adds a statement's result and the time that it took.
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

    /// Returns what is told of them.
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
