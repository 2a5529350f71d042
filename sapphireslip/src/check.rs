//! `check`: checks a settings file or a service document without a network.

use std::path::PathBuf;

use sapphireslip_core::Document;
use sapphireslipd::Settings;
use serde::Serialize;

use crate::read_document::read_document;
use crate::{Error, Output};

/// What `check` is asked.
#[derive(Clone, Debug)]
pub struct CheckArguments {
    /// The file.
    pub file: PathBuf,
}

/// A file that has no fault.
#[derive(Clone, Debug, Serialize)]
struct Checked {
    kind: &'static str,
    name: String,
}

/// Checks a file and says what it is.
///
/// # Errors
///
/// The file can't be read or has faults, each with its key and line.
pub fn check(arguments: &CheckArguments) -> Result<Output, Error> {
    let bytes = read_document(&arguments.file)?;
    let faults = |faults: String| Error::Faults(arguments.file.clone(), faults);
    let checked = if is_settings(&bytes) {
        let settings =
            Settings::try_from(bytes.as_slice()).map_err(|err| faults(err.to_string()))?;
        Checked {
            kind: "settings",
            name: settings.vm.to_string(),
        }
    } else {
        let document =
            Document::try_from(bytes.as_slice()).map_err(|err| faults(err.to_string()))?;
        Checked {
            kind: "service document",
            name: document.service.to_string(),
        }
    };
    let text = format!("ok: {} of `{}`", checked.kind, checked.name);
    Ok(Output::new(text, &checked))
}

/// Settings name the VM; a service document names the service.
fn is_settings(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let table: Result<toml::Table, _> = text.parse();
    table.is_ok_and(|table| table.contains_key("vm") && !table.contains_key("service"))
}
