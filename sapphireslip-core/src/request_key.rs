//! Keys by which clients identify non-idempotent requests, so that each one runs at most once.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

/// The maximum length of a request key, in bytes.
pub const REQUEST_KEY_MAX_BYTES: usize = 96;

/// How long after its creation a request key is accepted.
pub const REQUEST_KEY_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// How far ahead of a daemon's wall clock the creation time of a key may be.
pub const REQUEST_KEY_MAX_AHEAD: Duration = Duration::from_secs(5 * 60);

/// A request key: its creation time in seconds since the Unix epoch, a dot, and a text that is
/// unique to the request. The client chooses it; a request with a known key is not run again.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// The whole text of the key.
    text: Arc<str>,
    /// The creation time, since the Unix epoch.
    created_at: Duration,
}

quick_error! {
    /// The reason why a text is not a request key.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum RequestKeyError {
        /// The text does not have the form of a request key.
        Malformed(text: String) {
            display("`{text}` is not a request key: write it as `UNIXSECONDS.UNIQUE` with a-z, A-Z, 0-9, `-` and `_`, at most {REQUEST_KEY_MAX_BYTES} bytes")
        }
    }
}

impl RequestKey {
    /// Returns the text of the key.
    ///
    /// ```
    /// use sapphireslip_core::RequestKey;
    /// let key = RequestKey::try_from("1764794258.repair-42")?;
    /// assert_eq!(key.as_str(), "1764794258.repair-42");
    /// # Ok::<(), sapphireslip_core::RequestKeyError>(())
    /// ```
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns whether the key is accepted at the wall-clock time `unix`, given since the Unix
    /// epoch.
    ///
    /// ```
    /// use sapphireslip_core::RequestKey;
    /// use std::time::Duration;
    /// let key = RequestKey::try_from("1000.repair-42")?;
    /// assert!(key.is_valid_at(Duration::from_secs(1000)));
    /// assert!(!key.is_valid_at(Duration::from_secs(1000 + 25 * 60 * 60)));
    /// # Ok::<(), sapphireslip_core::RequestKeyError>(())
    /// ```
    #[must_use]
    pub fn is_valid_at(&self, unix: Duration) -> bool {
        self.created_at <= unix.saturating_add(REQUEST_KEY_MAX_AHEAD)
            && unix <= self.created_at.saturating_add(REQUEST_KEY_LIFETIME)
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(text: &str) -> Result<Self, RequestKeyError> {
        let malformed =
            || RequestKeyError::Malformed(text.chars().take(REQUEST_KEY_MAX_BYTES).collect());
        if text.len() > REQUEST_KEY_MAX_BYTES {
            return Err(malformed());
        }
        let (created_at, unique) = text.split_once('.').ok_or_else(malformed)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if unique.is_empty() || !unique.chars().all(allowed) {
            return Err(malformed());
        }
        let created_at = created_at.parse().ok().ok_or_else(malformed)?;
        Ok(Self {
            text: Arc::from(text),
            created_at: Duration::from_secs(created_at),
        })
    }
}

impl Display for RequestKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
