//! What a command prints: text for people, or JSON.

use serde::Serialize;

/// The result of a command, in both forms.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// The text for people.
    pub text: String,
    /// The same as JSON.
    pub json: String,
}

impl Output {
    /// Returns an output with its text and the value that is printed as JSON.
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
