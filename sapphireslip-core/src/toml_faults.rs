//! Collects the faults found in one TOML text.

use quick_error::quick_error;

use crate::NameError;

quick_error! {
    /// A fault in a key or value that any TOML text can have.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ValueFault {
        /// The key is not known in its table; `known` lists the keys that are.
        UnknownKey(known: String) {
            display("is not a known key: use {known}")
        }
        /// A required key is missing.
        Missing(expected: &'static str) {
            display("is missing: give {expected}")
        }
        /// The value has another type than expected.
        Type(expected: &'static str, found: &'static str) {
            display("must be {expected}, is of type {found}")
        }
        /// The text is not a valid name.
        Name(err: NameError) {
            display("{err}")
        }
        /// The text is empty.
        EmptyText {
            display("is empty: give a value")
        }
    }
}

/// One fault with the line and key where it was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TomlFault<F> {
    /// The line of the text, from 1 on.
    pub line: usize,
    /// The path of the key, such as `peer[0].address`.
    pub path: String,
    /// The fault that was found.
    pub fault: F,
}

/// The faults found so far in one text, in the order in which they were found.
#[derive(Debug)]
pub struct TomlFaults<'a, F> {
    /// The text that the faults are in.
    text: &'a str,
    /// The faults, in the order in which they were found.
    found: Vec<TomlFault<F>>,
}

impl<'a, F> TomlFaults<'a, F> {
    /// Returns a collection without faults for `text`.
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

    /// Returns the line, from 1 on, that holds the byte at `offset`.
    #[must_use]
    pub fn line(&self, offset: usize) -> usize {
        line_of(self.text, offset)
    }

    /// Adds a fault in the key `path` at the byte `offset` of the text.
    pub fn add(&mut self, offset: usize, path: &str, fault: impl Into<F>) {
        self.found.push(TomlFault {
            line: self.line(offset),
            path: path.to_owned(),
            fault: fault.into(),
        });
    }

    /// Returns the faults ordered by line.
    #[must_use]
    pub fn into_sorted(mut self) -> Vec<TomlFault<F>> {
        self.found.sort_by_key(|error| error.line);
        self.found
    }
}

/// Returns the line, from 1 on, of `text` that holds the byte at `offset`.
///
/// ```
/// assert_eq!(sapphireslip_core::line_of("a\nb", 2), 2);
/// ```
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}
