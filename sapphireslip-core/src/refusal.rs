//! The refusals that the proxy gives to clients in place of a backend server's answer.

use std::time::Duration;

use crate::derives::{data, key};

key! {
    /// Whether a refused request may have had an effect.
    pub enum Certainty {
        /// The request was not run and never will be.
        NotRun,
        /// The request may have been run.
        Unknown,
    }

    /// The reason why a request or session was refused.
    pub enum RefusalReason {
        /// No document in force declares the database.
        UnknownDatabase,
        /// The user name or the password is wrong.
        BadCredentials,
        /// The queue of the database, or the service's share of it, is full.
        QueueFull,
        /// The deadline can't be met or has passed.
        Deadline,
        /// No majority of the server group answers, so that no write could be acknowledged.
        NoMajority,
        /// The server group has no known primary that takes the request: a change of primary is under
        /// way, or the known primary is to get no new work.
        NoPrimary,
        /// No server can serve the read with data as fresh as it requires.
        NoFreshServer,
        /// A keyed write could not be begun: its connection was closed, or the server failed a step of
        /// the home, before the client's request was sent.
        NoConnection,
        /// No home of the database can be reached.
        NoHome,
        /// The daemon or the service is being stopped.
        Draining,
        /// The service or the daemon has reached its limit of sessions.
        Quota,
        /// The request key is outside its lifetime, a request with this key was already refused, or
        /// the key exists already and was given again inside a transaction.
        KeyRefused,
        /// The session token names a record that no longer exists in the log of the database.
        LostBranch,
        /// The transaction was rolled back, for example because its connection or home was lost or it
        /// was idle for too long.
        TransactionLost,
        /// The answer was lost; [`Refusal::ran`] tells whether the request may have run.
        AnswerLost,
        /// The statement is malformed, out of order or not supported through the proxy.
        Unsupported,
    }
}

data! {
    /// A final refusal of a request or session.
    pub struct Refusal {
        /// The reason of the refusal.
        pub reason: RefusalReason,
        /// Whether the request may have been run.
        pub ran: Certainty,
        /// The time after which a new attempt may succeed; `None` if waiting does not help.
        pub retry_after: Option<Duration>,
        /// The cause and the step or peer at which it arose, for people; begins in lower case.
        pub detail: crate::Text,
    }
}

impl RefusalReason {
    /// Returns whether the cause may pass, so that the same request may succeed later. A home that
    /// refuses a request as not run for such a cause tells the client when to try again.
    ///
    /// ```
    /// use sapphireslip_core::RefusalReason;
    /// assert!(RefusalReason::NoPrimary.is_transient());
    /// assert!(!RefusalReason::KeyRefused.is_transient());
    /// ```
    #[must_use]
    pub const fn is_transient(self) -> bool {
        !matches!(
            self,
            Self::UnknownDatabase
                | Self::BadCredentials
                | Self::KeyRefused
                | Self::LostBranch
                | Self::Unsupported
        )
    }
}

impl Refusal {
    /// Returns a refusal of a request that was not run.
    ///
    /// ```
    /// use sapphireslip_core::{Refusal, RefusalReason};
    /// let refusal = Refusal::not_run(RefusalReason::QueueFull, None, "queue of `stock` is full");
    /// assert_eq!(refusal.sqlstate(), "53400");
    /// ```
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>, detail: &str) -> Self {
        Self {
            reason,
            ran: Certainty::NotRun,
            retry_after,
            detail: detail.into(),
        }
    }

    /// Returns a refusal of a request that may have been run.
    ///
    /// ```
    /// use sapphireslip_core::{Refusal, RefusalReason};
    /// let refusal = Refusal::unknown(RefusalReason::AnswerLost, "answer of `stock-a` was lost");
    /// assert_eq!(refusal.sqlstate(), "08007");
    /// ```
    #[must_use]
    pub fn unknown(reason: RefusalReason, detail: &str) -> Self {
        Self {
            reason,
            ran: Certainty::Unknown,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Returns the SQLSTATE that clients receive with the refusal.
    ///
    /// ```
    /// use sapphireslip_core::{Refusal, RefusalReason};
    /// let refusal = Refusal::not_run(RefusalReason::BadCredentials, None, "wrong password");
    /// assert_eq!(refusal.sqlstate(), "28P01");
    /// ```
    #[must_use]
    pub fn sqlstate(&self) -> &'static str {
        if self.ran == Certainty::Unknown {
            return "08007";
        }
        match self.reason {
            RefusalReason::UnknownDatabase => "3D000",
            RefusalReason::BadCredentials => "28P01",
            RefusalReason::QueueFull | RefusalReason::Quota => "53400",
            RefusalReason::Deadline => "57014",
            RefusalReason::NoMajority | RefusalReason::NoPrimary | RefusalReason::NoFreshServer => {
                "57P03"
            }
            RefusalReason::NoConnection | RefusalReason::NoHome => "08001",
            RefusalReason::Draining => "57P01",
            RefusalReason::KeyRefused => "23505",
            RefusalReason::LostBranch => "22023",
            RefusalReason::TransactionLost | RefusalReason::AnswerLost => "40001",
            RefusalReason::Unsupported => "0A000",
        }
    }
}
