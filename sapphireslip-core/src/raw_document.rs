//! Parses a service document as TOML, before its values are checked.

use toml::Spanned;
use toml::de::DeTable;

use crate::{DocumentError, DocumentErrors, DocumentFault, line_of};

/// The maximum size of a document's text, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;

/// The maximum number of syntax faults reported for one text.
const SYNTAX_FAULTS_MAX: usize = 100;

/// A document that is valid TOML; every value keeps its position in the text.
#[derive(Debug)]
pub struct RawDocument<'a> {
    /// The text of the document.
    pub(crate) text: &'a str,
    /// The parsed top-level table, with the byte range of every value.
    pub(crate) table: Spanned<DeTable<'a>>,
}

impl<'a> TryFrom<&'a [u8]> for RawDocument<'a> {
    type Error = DocumentErrors;

    fn try_from(bytes: &'a [u8]) -> Result<Self, DocumentErrors> {
        if bytes.len() > DOCUMENT_MAX_BYTES {
            return Err(DocumentFault::TooLarge(bytes.len()).into());
        }
        let text =
            std::str::from_utf8(bytes).map_err(|err| DocumentFault::NotUtf8(err.valid_up_to()))?;
        let (table, faults) = DeTable::parse_recoverable(text);
        if !faults.is_empty() {
            return Err(syntax_errors(text, &faults));
        }
        if table.get_ref().is_empty() {
            return Err(DocumentFault::Empty.into());
        }
        Ok(Self { text, table })
    }
}

fn syntax_errors(text: &str, faults: &[toml::de::Error]) -> DocumentErrors {
    let error = |fault: &toml::de::Error| DocumentError {
        line: fault.span().map(|span| line_of(text, span.start)),
        path: String::new(),
        fault: DocumentFault::Syntax(fault.message().to_owned()),
    };
    DocumentErrors(faults.iter().take(SYNTAX_FAULTS_MAX).map(error).collect())
}
