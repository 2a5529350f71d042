//! A statement that waits in the queue of its service, as its queue sees it.

use std::time::Duration;

use sapphireslip_core::{AccountName, Instant, data, key};

use crate::JobId;

key! {
    /// What a statement needs to be sent. What stops one statement of a class stops all of the same
    /// account in the class.
    pub enum StatementClass {
        /// The statement runs on the connection that its transaction is bound to.
        Bound,
        /// Only the leader may run the statement.
        Leader,
        /// Any server that is fresh enough may run the statement.
        Any {
            /// How old the data may be.
            max_staleness: Duration,
            /// Whether servers have failed the statement so often that a leader that leaves may run
            /// it.
            is_retried: bool,
        },
    }
}

data! {
    /// A statement that waits.
    pub struct WaitingStatement {
        /// The statement; of equals, the lowest is sent first.
        pub id: JobId,
        /// The account; statements without one share as one account.
        pub account: Option<AccountName>,
        /// The account's weight: its limit in thousandths of an operation per second.
        pub weight: u64,
        /// What the statement needs to be sent.
        pub class: StatementClass,
        /// The priority: 0 is sent first.
        pub priority: u8,
        /// When the statement must be answered; within an account the earliest is sent first. None
        /// to send by arrival only.
        pub deadline: Option<Instant>,
        /// When the statement counts as aged, so that it also gets turns whatever its priority; none
        /// for never.
        pub ages_at: Option<Instant>,
        /// The earliest time at which the statement may be sent.
        pub send_from: Instant,
        /// Until when the statement waits for a leader that is expected soon.
        pub patience_end: Instant,
        /// The expected work at the server.
        pub work: Duration,
    }
}

impl WaitingStatement {
    /// Returns the expected work in microseconds, at least 1.
    pub(crate) fn micros(&self) -> u64 {
        u64::try_from(self.work.as_micros()).map_or(u64::MAX, |micros| micros.max(1))
    }
}
