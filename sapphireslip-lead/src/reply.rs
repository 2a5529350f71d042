//! Answers of backend servers, and answers to clients.

use sapphireslip_core::{Text, TransactionStatus, data};

use crate::TermPosition;

data! {
    /// The complete answer to one request at a backend server, or to one statement of a client.
    pub struct Reply {
        /// The rows, as the server sent them.
        pub rows: Vec<Text>,
        /// Whether the request completed or failed.
        pub end: ReplyEnd,
        /// The transaction status of the connection after the request.
        pub transaction: TransactionStatus,
        /// The last position of the answering server's log; none if the answer carries no position.
        pub position: Option<TermPosition>,
    }

    /// How a request ended.
    pub enum ReplyEnd {
        /// The request completed.
        Complete {
            /// The server's proof that it ran the statement; none for answers of this daemon.
            signature: Option<Text>,
        },
        /// The request failed.
        Failed(Failure),
    }

    /// Why a request failed.
    pub struct Failure {
        /// The kind of failure.
        pub code: ErrorCode,
        /// A description for people.
        pub text: Text,
    }

    /// The kinds of failure.
    ///
    /// The kinds marked "no effect" guarantee the client that nothing of its attempt is kept.
    pub enum ErrorCode {
        /// The server or daemon is overloaded at the moment (no effect).
        Busy,
        /// The transaction was rolled back (no effect).
        Aborted,
        /// The server's log has not reached the requested position (no effect).
        Lagging,
        /// The server is not the primary (no effect).
        ReadOnly,
        /// Another server than the expected one answered (no effect).
        Misrouted,
        /// The server has reached its connection limit (no effect).
        ConnectionLimit,
        /// It is unknown whether the statement took effect.
        InDoubt,
        /// The statement was not answered in time; it may have run.
        Timeout,
        /// The statement ran and failed.
        Failed,
        /// The named statement is not prepared; nothing was run.
        NoStatement,
        /// No route leads to the database.
        NoDatabase,
        /// The client's key belongs to no account; nothing was run.
        NoAccount,
        /// The message is malformed or not allowed at this point.
        Malformed,
        /// A kind that this version does not know, with its code.
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

    /// Returns the answer to a statement that failed.
    #[must_use]
    pub const fn failed(failure: Failure, transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            end: ReplyEnd::Failed(failure),
            transaction,
            position: None,
        }
    }

    /// Returns the failure, or none if the request completed.
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
    /// Returns whether a backend server that answers with this code has not run the request and
    /// will not run it.
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
