//! The faults of one document, as they are found.

use crate::raw_document::line_of;
use crate::{DocumentError, DocumentFault};

/// The text of a document with the faults found so far.
pub(crate) struct Faults<'a> {
    text: &'a str,
    found: Vec<DocumentError>,
}

impl<'a> Faults<'a> {
    pub(crate) const fn new(text: &'a str) -> Self {
        Self {
            text,
            found: Vec::new(),
        }
    }

    pub(crate) fn line(&self, offset: usize) -> usize {
        line_of(self.text, offset)
    }

    pub(crate) fn add(&mut self, offset: usize, path: &str, fault: DocumentFault) {
        self.found.push(DocumentError {
            line: Some(self.line(offset)),
            path: path.to_owned(),
            fault,
        });
    }

    /// Returns the faults in the order of their lines.
    pub(crate) fn into_sorted(mut self) -> Vec<DocumentError> {
        self.found.sort_by_key(|error| error.line);
        self.found
    }
}
