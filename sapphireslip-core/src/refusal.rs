//! Final answers that the project gives in place of a backend server.

use std::time::Duration;

use crate::derives::{data, key};

key! {
    /// Whether a refused request may have had an effect.
    pub enum Certainty {
        /// It was not run and never will be.
        NotRun,
        /// It may have been run.
        Unknown,
    }

    /// Why a request was refused.
    pub enum RefusalReason {
        /// No such database, or the caller's service does not use it.
        UnknownDatabase,
        /// The user name or password is wrong.
        BadCredentials,
        /// The queue of the database or the service's share of it is full.
        QueueFull,
        /// The deadline can't be made or has passed.
        Deadline,
        /// No majority of the group answers, so that no write could be acknowledged.
        NoMajority,
        /// The group has no known primary; a change of primary is under way.
        NoPrimary,
        /// No replica or primary can serve the read as fresh as it must be.
        NoFreshServer,
        /// No connection to a backend server could be had.
        NoConnection,
        /// The home of the database can't be reached.
        NoHome,
        /// The daemon or the service is being stopped.
        Draining,
        /// The service is over its limit of sessions or statements.
        Quota,
        /// The request key has passed its lifetime or was claimed as refused.
        KeyRefused,
        /// The session token names a record that no longer exists.
        LostBranch,
        /// The connection was lost in the middle of a transaction, which was rolled back.
        TransactionLost,
        /// The answer was lost and whether the request ran could not be learnt.
        AnswerLost,
        /// The statement is not supported through the proxy, or malformed.
        Unsupported,
    }
}

data! {
    /// A refusal: typed, final, and with a time to come back where that helps.
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// Whether it may have had an effect.
        pub ran: Certainty,
        /// When to try again, if trying again can help.
        pub retry_after: Option<Duration>,
        /// The step at which it arose, and the peer, for people; lower case.
        pub detail: crate::Text,
    }
}

impl RefusalReason {
    /// Returns whether the same request may succeed later, so that it helps to say when.
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

    /// Returns the SQLSTATE under which callers see it.
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
