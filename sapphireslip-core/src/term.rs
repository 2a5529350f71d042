//! Terms and log positions of a database group.

use std::fmt::{self, Display, Formatter};

use quick_error::quick_error;

use crate::derives::key;

key! {
    /// The number of a primary's term of office in a database group; a higher term supersedes a
    /// lower one.
    #[derive(Default)]
    pub struct Term(pub u64);

    /// The number of a record in the log of a database group.
    #[derive(Default)]
    pub struct Position(pub u64);

    /// A record of the log, identified by the term that wrote it and its position.
    ///
    /// Records are ordered by term first, as the choice of a new primary requires.
    #[derive(Default)]
    pub struct TermPosition {
        /// The term of the primary that wrote the record.
        pub term: Term,
        /// The record's position in the log.
        pub position: Position,
    }
}

quick_error! {
    /// The reason why a text is not a term and a position.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum TermPositionError {
        /// The text does not have the form `TERM/POSITION`.
        Malformed(text: String) {
            display("`{text}` is not a log position; use the form `TERM/POSITION`, such as `3/1042`")
        }
    }
}

impl Display for TermPosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term.0, self.position.0)
    }
}

impl TryFrom<&str> for TermPosition {
    type Error = TermPositionError;

    fn try_from(text: &str) -> Result<Self, TermPositionError> {
        let malformed = || TermPositionError::Malformed(text.to_owned());
        let (term, position) = text.split_once('/').ok_or_else(malformed)?;
        let term = term.parse().ok().ok_or_else(malformed)?;
        let position = position.parse().ok().ok_or_else(malformed)?;
        Ok(Self {
            term: Term(term),
            position: Position(position),
        })
    }
}
