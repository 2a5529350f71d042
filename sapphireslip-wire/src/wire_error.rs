//! The error for a received message that is not valid.

use quick_error::quick_error;
use sapphireslip_core::{NameError, RequestKeyError};

quick_error! {
    /// A field or row that is missing or invalid. `path` leads to the field from the outermost
    /// message, with dots between the names, or is the key of the row.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum WireError {
        /// A required field or row is absent.
        Missing(path: String) {
            display("field `{path}` is missing")
        }
        /// A name breaks the rules for names.
        Name(path: String, err: NameError) {
            display("field `{path}`: {err}")
            source(err)
        }
        /// A request key is malformed.
        Key(path: String, err: RequestKeyError) {
            display("field `{path}`: {err}")
            source(err)
        }
        /// A text is not an IP address, or lacks the port that the field requires.
        Address(path: String, text: String) {
            display("field `{path}`: `{text}` is not a valid IP address, with a port where the field requires one")
        }
        /// An enumeration has a value that is unspecified, or that this version does not know.
        Enum(path: String, value: i32) {
            display("field `{path}`: {value} is not a known value")
        }
        /// The value or key of a row of the platform's table is malformed.
        Row(path: String) {
            display("row `{path}` is malformed")
        }
    }
}

impl WireError {
    /// Returns the error with its path extended by the field of the enclosing message.
    ///
    /// ```
    /// use sapphireslip_wire::WireError;
    /// let err = WireError::Missing("id".into()).within("answer");
    /// assert_eq!(err.to_string(), "field `answer.id` is missing");
    /// ```
    #[must_use]
    pub fn within(mut self, field: &str) -> Self {
        let (Self::Missing(path)
        | Self::Name(path, _)
        | Self::Key(path, _)
        | Self::Address(path, _)
        | Self::Enum(path, _)
        | Self::Row(path)) = &mut self;
        *path = format!("{field}.{path}");
        self
    }
}
