//! `verifier`: creates the password verifier of a user for a service document.

use std::io::BufRead;

use sapphireslipd::make_verifier;
use serde::Serialize;

use crate::{Error, Output};

/// A verifier, as printed in JSON.
#[derive(Clone, Debug, Serialize)]
struct Verifier {
    /// The SCRAM-SHA-256 verifier, in the form that a service document takes.
    verifier: String,
}

/// Creates the verifier of the password in the first line of an input, with a new salt.
///
/// # Errors
///
/// [`Error::Password`] if the input can't be read, [`Error::NoPassword`] if its first line is
/// empty.
///
/// ```
/// let output = sapphireslip::verifier(b"a secret\n".as_slice())?;
/// assert!(output.text.starts_with("SCRAM-SHA-256$4096:"));
/// # Ok::<(), sapphireslip::Error>(())
/// ```
pub fn verifier(mut input: impl BufRead) -> Result<Output, Error> {
    let mut line = String::new();
    input.read_line(&mut line).map_err(Error::Password)?;
    let password = line.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err(Error::NoPassword);
    }
    let made = Verifier {
        verifier: make_verifier(password),
    };
    Ok(Output::new(made.verifier.clone(), &made))
}
