//! The output of a subcommand, as text and as JSON.

use serde::Serialize;

/// The output of a subcommand in both formats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// The human-readable text.
    pub text: String,
    /// The same result as pretty-printed JSON.
    pub json: String,
}

impl Output {
    /// Creates an output from its text and the value that is serialized as JSON.
    ///
    /// ```
    /// use sapphireslip::Output;
    /// let output = Output::new("3 sessions".to_owned(), &3);
    /// assert_eq!(output.json, "3");
    /// ```
    #[must_use]
    pub fn new(text: String, value: &impl Serialize) -> Self {
        let json = serde_json::to_string_pretty(value).unwrap_or_else(|err| format!("\"{err}\""));
        Self { text, json }
    }
}
