//! Retries as a share of recent successes, so that they can't multiply the load of a failure.

use crate::derives::data;

/// Successes that pay for one retry.
const SUCCESSES_PER_RETRY: u32 = 10;

/// The most retries that can be saved up.
const SAVED_RETRIES_MAX: u32 = 10;

data! {
    /// The budget of one database at its home.
    pub struct RetryBudget {
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
    /// Notes a success.
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

    /// Takes one retry, if there is one.
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
