//! SCRAM-SHA-256 password verifiers in PostgreSQL's storage format.

use std::hash::{BuildHasher, Hasher, RandomState};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pgwire::api::auth::sasl::scram::{SCRAM_ITERATIONS, ScramSecret, gen_salted_password};
use quick_error::quick_error;

quick_error! {
    /// The reason why a text is not a verifier.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum VerifierError {
        /// The text is malformed; the message leaves it out, because a verifier is a secret.
        Malformed {
            display("a password verifier is malformed: write it as `SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY`")
        }
    }
}

/// The verifier of a password, which checks that a client knows the password without containing it.
#[derive(Debug)]
pub(crate) struct Verifier(pub(crate) ScramSecret);

impl TryFrom<&str> for Verifier {
    type Error = VerifierError;

    fn try_from(text: &str) -> Result<Self, VerifierError> {
        Self::parse(text).ok_or(VerifierError::Malformed)
    }
}

impl Verifier {
    /// Parses a verifier; returns `None` if it is malformed.
    fn parse(text: &str) -> Option<Self> {
        let (salted, keys) = text.strip_prefix("SCRAM-SHA-256$")?.split_once('$')?;
        let (iterations, salt) = salted.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        Some(Self(ScramSecret::Verifier {
            salt: STANDARD.decode(salt).ok()?,
            iterations: iterations.parse().ok()?,
            stored_key: STANDARD.decode(stored_key).ok()?,
            server_key: STANDARD.decode(server_key).ok()?,
        }))
    }
}

/// Returns a random number; its randomness is the operating system's, by way of the hasher's keys.
pub(crate) fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Returns a verifier of a password, with a new random salt.
///
/// ```
/// use sapphireslipd::make_verifier;
/// let verifier = make_verifier("secret");
/// assert!(verifier.starts_with("SCRAM-SHA-256$4096:"));
/// assert_ne!(verifier, make_verifier("secret"));
/// ```
#[must_use]
pub fn make_verifier(password: &str) -> String {
    let salt = [random_u64().to_be_bytes(), random_u64().to_be_bytes()].concat();
    let salted = gen_salted_password(password, &salt, SCRAM_ITERATIONS);
    let secret = ScramSecret::verifier_from_salted_password(salt.clone(), salted, SCRAM_ITERATIONS);
    let ScramSecret::Verifier {
        stored_key,
        server_key,
        ..
    } = secret
    else {
        return String::new();
    };
    format!(
        "SCRAM-SHA-256${SCRAM_ITERATIONS}:{}${}:{}",
        STANDARD.encode(salt),
        STANDARD.encode(stored_key),
        STANDARD.encode(server_key)
    )
}
