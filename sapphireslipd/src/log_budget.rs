//! Which lines of the log are written when there are too many.

use std::time::{Duration, Instant};

use log::{Level, Metadata};

/// The target of lines about single statements.
pub const STATEMENT_TARGET: &str = "sapphireslipd::statement";

/// The most lines a second about statements that did not fail: about four a statement at 75
/// statements a second.
pub const STATEMENT_LINES_A_SECOND: u32 = 300;

/// The most lines in a second, those about failures and about what the daemon believes included.
pub const LINES_A_SECOND: u32 = 500;

/// The lines of the present second.
#[derive(Debug, Default)]
pub struct LogBudget {
    second_start: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl LogBudget {
    /// Returns how many lines were left out before `now` began a new second, which counts anew.
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

    /// Returns whether a line is to be written, if there is room for it, and counts it.
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
