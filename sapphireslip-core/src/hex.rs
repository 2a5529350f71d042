//! Encodes bytes as lower-case hexadecimal digits, the form in which answers are recorded.

use std::fmt::Write;

/// Returns the bytes as lower-case hexadecimal digits.
pub(crate) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the bytes that hexadecimal digits encode; `None` if the text is not an even number of
/// hexadecimal digits.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
