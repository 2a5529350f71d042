//! Retry budget: limits retries to a share of the successes, so that retries can't multiply the
//! load during a failure.

use crate::derives::data;

/// How many successes earn one retry.
const SUCCESSES_PER_RETRY: u32 = 10;

/// The most retries that can accumulate.
const SAVED_RETRIES_MAX: u32 = 10;

data! {
    /// The retry budget of one database at its home; it starts full.
    pub struct RetryBudget {
        /// Successes not yet spent on retries, at most those for [`SAVED_RETRIES_MAX`] retries.
        successes: u32,
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            successes: SAVED_RETRIES_MAX * SUCCESSES_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Adds a success, such as an answer of a server, to the budget.
    ///
    /// ```
    /// use sapphireslip_core::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// while budget.take() {}
    /// for _ in 0..10 {
    ///     budget.on_success();
    /// }
    /// assert!(budget.take());
    /// assert!(!budget.take());
    /// ```
    pub fn on_success(&mut self) {
        self.successes = (self.successes + 1).min(SAVED_RETRIES_MAX * SUCCESSES_PER_RETRY);
    }

    /// Takes one retry from the budget; returns false if none is left.
    ///
    /// ```
    /// use sapphireslip_core::RetryBudget;
    /// assert!(RetryBudget::default().take());
    /// ```
    pub fn take(&mut self) -> bool {
        match self.successes.checked_sub(SUCCESSES_PER_RETRY) {
            Some(left) => {
                self.successes = left;
                true
            }
            None => false,
        }
    }
}
