//! What callers ask, classified.

use sapphireslip_core::{Text, data};

data! {
    /// A statement of a caller.
    pub struct Query {
        /// The caller's identifier of the statement; travels with it to the backend server.
        pub id: Text,
        /// The text as the caller sent it.
        pub text: Text,
        /// What the text asks for; none if it is no statement.
        pub statement: Option<Statement>,
    }

    /// What a statement asks for.
    pub enum Statement {
        /// Begins a transaction.
        Begin {
            /// Whether the caller declares that it will not write.
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
        /// Sets a value of the session.
        Set {
            /// The value's name.
            name: Text,
            /// The value.
            value: Text,
        },
        /// Prepares a statement under a name of the session.
        Prepare {
            /// The session's name for it.
            name: Text,
            /// What is prepared.
            shape: Shape,
        },
        /// Runs a prepared statement.
        Execute {
            /// The session's name for it.
            name: Text,
            /// The rest of the text.
            arguments: Text,
        },
        /// Forgets a prepared statement.
        Deallocate {
            /// The session's name for it.
            name: Text,
        },
    }
}

/// What is prepared, without the name that a session gives it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Shape {
    /// Whether it writes.
    pub writes: bool,
    /// The text of the shape.
    pub text: Text,
}
