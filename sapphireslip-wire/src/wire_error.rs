//! Why a message from outside is refused.

use quick_error::quick_error;
use sapphireslip_core::{NameError, RequestKeyError};

quick_error! {
    /// A field of a message that is missing or out of its range; `path` names it from the message
    /// on, with dots.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum WireError {
        /// A field that must be there is absent.
        Missing(path: String) {
            display("field `{path}` is missing")
        }
        /// A name breaks the rules of names.
        Name(path: String, err: NameError) {
            display("field `{path}`: {err}")
            source(err)
        }
        /// A request key has another form.
        Key(path: String, err: RequestKeyError) {
            display("field `{path}`: {err}")
            source(err)
        }
        /// An address is no IP number with a port.
        Address(path: String, text: String) {
            display("field `{path}`: `{text}` is no IP number with a port")
        }
        /// An enumeration has a value that this version does not know.
        Enum(path: String, value: i32) {
            display("field `{path}`: {value} is not a known value")
        }
        /// A row of the table service can't be decoded.
        Row(path: String) {
            display("row `{path}` can't be decoded")
        }
    }
}

impl WireError {
    /// Returns the same error with its path seen from the message around it.
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
