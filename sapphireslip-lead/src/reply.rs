//! What backend servers answer, and what callers are told.

use sapphireslip_core::{Text, TransactionStatus, data};

use crate::TermPosition;

data! {
    /// The whole answer to one request at a backend server, or to one statement of a caller.
    pub struct Reply {
        /// The rows, as the server sent them.
        pub rows: Vec<Text>,
        /// How the request ended.
        pub end: ReplyEnd,
        /// Whether the connection is in a transaction.
        pub transaction: TransactionStatus,
        /// The last record of the answering server's log, if it has one.
        pub position: Option<TermPosition>,
    }

    /// How a request ended.
    pub enum ReplyEnd {
        /// It ran.
        Complete {
            /// The server's proof that it ran the statement; none for answers of this daemon.
            signature: Option<Text>,
        },
        /// It failed.
        Failed(Failure),
    }

    /// Why a request failed.
    pub struct Failure {
        /// The kind of failure.
        pub code: ErrorCode,
        /// Details for people.
        pub text: Text,
    }

    /// The kinds of failure.
    ///
    /// Those marked as a promise tell the caller that nothing of its attempt is kept.
    pub enum ErrorCode {
        /// Too much work at the moment (a promise).
        Busy,
        /// The transaction was rolled back (a promise).
        Aborted,
        /// The server's log has not come as far as was asked (a promise).
        Lagging,
        /// The server does not lead (a promise).
        ReadOnly,
        /// The server is another one than was expected (a promise).
        Misrouted,
        /// The server has no connection left (a promise).
        ConnectionLimit,
        /// Whether the statement took effect is unknown.
        InDoubt,
        /// The statement ran out of time; it may have run.
        Timeout,
        /// The statement ran and failed.
        Failed,
        /// The name is not prepared; nothing was run.
        NoStatement,
        /// No route leads to the database.
        NoDatabase,
        /// The message is out of form or out of turn.
        Malformed,
        /// A kind that this version does not know.
        Other(Text),
    }
}

impl Reply {
    /// Returns this daemon's own answer to a statement that needs no backend server.
    #[must_use]
    pub const fn done(transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            end: ReplyEnd::Complete { signature: None },
            transaction,
            position: None,
        }
    }

    /// Returns a failure.
    #[must_use]
    pub const fn failed(failure: Failure, transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            end: ReplyEnd::Failed(failure),
            transaction,
            position: None,
        }
    }

    /// Returns the failure, if the request failed.
    #[must_use]
    pub const fn failure(&self) -> Option<&Failure> {
        match &self.end {
            ReplyEnd::Failed(failure) => Some(failure),
            ReplyEnd::Complete { .. } => None,
        }
    }
}

impl Failure {
    /// Returns a failure with details for people.
    ///
    /// ```
    /// use sapphireslip_lead::{ErrorCode, Failure};
    /// assert_eq!(&*Failure::new(ErrorCode::Busy, "later").text, "later");
    /// ```
    #[must_use]
    pub fn new(code: ErrorCode, text: &str) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }
}

impl ErrorCode {
    /// Returns whether a backend server that answers so has not run the request, and will not.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::NoStatement
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misrouted
                | Self::ConnectionLimit
        )
    }
}
