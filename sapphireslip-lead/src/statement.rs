//! Clients' statements, classified by what they do.

use sapphireslip_core::{Text, data};

data! {
    /// A statement as it arrives from a client.
    pub struct Query {
        /// The client's identifier of the statement; sent on to the backend server.
        pub id: Text,
        /// The text as the client sent it.
        pub text: Text,
        /// The parsed statement; none if the text is not a known statement.
        pub statement: Option<Statement>,
    }

    /// A classified statement.
    pub enum Statement {
        /// Begins a transaction.
        Begin {
            /// Whether the client declares that the transaction will not write.
            reads_only: bool,
        },
        /// Commits the open transaction.
        Commit,
        /// Rolls the open transaction back.
        Rollback,
        /// Reads one item.
        Read,
        /// Writes one item.
        Write,
        /// Sets a session variable.
        Set {
            /// The variable's name.
            name: Text,
            /// The variable's new value.
            value: Text,
        },
        /// Prepares a statement under a name that is local to the session.
        Prepare {
            /// The session's name for the prepared statement.
            name: Text,
            /// The statement to prepare.
            shape: Shape,
        },
        /// Runs a prepared statement.
        Execute {
            /// The session's name for the prepared statement.
            name: Text,
            /// The text after the name, which is sent to the server unchanged.
            arguments: Text,
        },
        /// A statement that can't be read; it is refused.
        Unreadable {
            /// Why it can't be read, for the client.
            fault: Text,
        },
        /// Forgets a prepared statement.
        Deallocate {
            /// The session's name for the prepared statement.
            name: Text,
        },
    }
}

/// A prepared statement without the name that a session gives it; sessions that prepare the same
/// text share one shape.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Shape {
    /// Whether the statement writes.
    pub writes: bool,
    /// The statement's text.
    pub text: Text,
}
