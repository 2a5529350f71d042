//! The faults of one TOML text, as they are found.

use quick_error::quick_error;

use crate::NameError;

quick_error! {
    /// What can be wrong with a value or key of any TOML text.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ValueFault {
        /// No such key exists here.
        UnknownKey(known: String) {
            display("is no known key: use {known}")
        }
        /// A required key is not there.
        Missing(expected: &'static str) {
            display("is missing: give {expected}")
        }
        /// The value has another type.
        Type(expected: &'static str, found: &'static str) {
            display("must be {expected}, is of type {found}")
        }
        /// The text is not a name.
        Name(err: NameError) {
            display("{err}")
        }
        /// The text is empty.
        EmptyText {
            display("is an empty text: give its value")
        }
    }
}

/// One fault with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TomlFault<F> {
    /// The line in the text, from 1 on.
    pub line: usize,
    /// The path of the key, such as `peer[0].address`.
    pub path: String,
    /// What is wrong.
    pub fault: F,
}

/// A text with the faults found in it so far.
#[derive(Debug)]
pub struct TomlFaults<'a, F> {
    text: &'a str,
    found: Vec<TomlFault<F>>,
}

impl<'a, F> TomlFaults<'a, F> {
    /// Returns the faults of a text, none at first.
    ///
    /// ```
    /// use sapphireslip_core::{TomlFaults, ValueFault};
    /// let mut faults = TomlFaults::<ValueFault>::new("vm = \"a\"\nzone = 7\n");
    /// faults.add(16, "zone", ValueFault::Type("a string", "integer"));
    /// assert_eq!(faults.into_sorted()[0].line, 2);
    /// ```
    #[must_use]
    pub const fn new(text: &'a str) -> Self {
        Self {
            text,
            found: Vec::new(),
        }
    }

    /// Returns the line of a byte of the text, from 1 on.
    #[must_use]
    pub fn line(&self, offset: usize) -> usize {
        line_of(self.text, offset)
    }

    /// Adds a fault at a byte of the text.
    pub fn add(&mut self, offset: usize, path: &str, fault: impl Into<F>) {
        self.found.push(TomlFault {
            line: self.line(offset),
            path: path.to_owned(),
            fault: fault.into(),
        });
    }

    /// Returns the faults in the order of their lines.
    #[must_use]
    pub fn into_sorted(mut self) -> Vec<TomlFault<F>> {
        self.found.sort_by_key(|error| error.line);
        self.found
    }
}

/// Returns the line of a byte of a text, from 1 on.
///
/// ```
/// assert_eq!(sapphireslip_core::line_of("a\nb", 2), 2);
/// ```
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}
