//! `check`: validates a settings file or a service document offline.

use std::path::PathBuf;

use sapphireslip_core::Document;
use sapphireslipd::Settings;
use serde::Serialize;

use crate::read_document::read_document;
use crate::{Error, Output};

/// The arguments of `check`.
#[derive(Clone, Debug)]
pub struct CheckArguments {
    /// The path of the settings file or service document.
    pub file: PathBuf,
}

/// A valid file, as printed in JSON.
#[derive(Clone, Debug, Serialize)]
struct Checked {
    /// The kind of file: `settings` or `service document`.
    kind: &'static str,
    /// The name of the VM or of the service.
    name: String,
}

/// Validates a file and returns its kind and name.
///
/// # Errors
///
/// [`Error::Read`] if the file can't be read, [`Error::Faults`] with the key and line of each fault
/// if it is not valid.
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

/// Returns whether a file is a settings file: those have the key `vm`, service documents have the
/// key `service`.
fn is_settings(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let table: Result<toml::Table, _> = text.parse();
    table.is_ok_and(|table| table.contains_key("vm") && !table.contains_key("service"))
}
