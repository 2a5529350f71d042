//! A service document as TOML, before its values are checked.

use toml::Spanned;
use toml::de::DeTable;

use crate::{DocumentError, DocumentErrors, DocumentFault, line_of};

/// The longest text of a document in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;

/// The most syntax faults that are reported of one text.
const SYNTAX_FAULTS_MAX: usize = 100;

/// A document that is TOML; every value keeps its place in the text.
#[derive(Debug)]
pub struct RawDocument<'a> {
    pub(crate) text: &'a str,
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
