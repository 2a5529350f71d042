//! Limits the number of log lines written per second.

use std::time::{Duration, Instant};

use log::{Level, Metadata};

/// The log target of lines about single statements.
pub const STATEMENT_TARGET: &str = "sapphireslipd::statement";

/// The most lines per second about statements that did not fail: about four lines per statement at
/// 75 statements a second.
pub const STATEMENT_LINES_A_SECOND: u32 = 300;

/// The most lines per second in all, including those about failures and about the daemon's view of
/// leaders and servers.
pub const LINES_A_SECOND: u32 = 500;

/// A count of the lines written and left out in the current second.
#[derive(Debug, Default)]
pub struct LogBudget {
    /// The time at which the current second began; `None` before the first line.
    second_start: Option<Instant>,
    /// The lines admitted since `second_start`.
    written: u32,
    /// The lines left out since `second_start`.
    left_out: u64,
}

impl LogBudget {
    /// Starts a new second if the current one is over, and returns how many lines were left out in
    /// the old one; returns 0 if the current second is not over.
    ///
    /// ```
    /// use std::time::Instant;
    /// let mut budget = sapphireslipd::LogBudget::default();
    /// assert_eq!(budget.begin_second(Instant::now()), 0);
    /// ```
    pub fn begin_second(&mut self, now: Instant) -> u64 {
        let is_current = |second: Instant| now - second < Duration::from_secs(1);
        if self.second_start.is_some_and(is_current) {
            return 0;
        }
        self.second_start = Some(now);
        self.written = 0;
        std::mem::take(&mut self.left_out)
    }

    /// Returns whether a line is to be written, and counts it as written or left out.
    ///
    /// `has_room` says whether the output buffer has room for the line; a line without room is left
    /// out.
    ///
    /// ```
    /// use log::{Level, Metadata};
    /// let mut budget = sapphireslipd::LogBudget::default();
    /// let line = Metadata::builder().level(Level::Info).target("sapphireslipd").build();
    /// assert!(budget.admits(&line, true));
    /// assert!(!budget.admits(&line, false));
    /// ```
    pub fn admits(&mut self, line: &Metadata<'_>, has_room: bool) -> bool {
        let is_routine_statement = line.target() == STATEMENT_TARGET && line.level() > Level::Warn;
        let limit = if is_routine_statement {
            STATEMENT_LINES_A_SECOND
        } else {
            LINES_A_SECOND
        };
        let fits = has_room && self.written < limit;
        if fits {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        fits
    }
}
