//! What can be wrong with a settings file.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use quick_error::quick_error;
use sapphireslip_core::{TomlFault, ValueFault};

quick_error! {
    /// One kind of fault in a settings file; the message says what to do.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SettingsFault {
        /// The bytes are no text.
        Utf8(offset: usize) {
            display("is not UTF-8 from byte {offset} on: save it as UTF-8")
        }
        /// The text is not TOML.
        Syntax(message: String) {
            display("is not TOML: {message}")
        }
        /// A key or value is wrong in itself.
        Value(err: ValueFault) {
            display("{err}")
            from()
        }
        /// The text is no address.
        InvalidAddress(text: String) {
            display("`{text}` is no address: give an IP number and a port, such as `10.0.0.1:5432`")
        }
        /// The port of the address is 0.
        PortZero(text: String) {
            display("`{text}` has port 0: give the port itself")
        }
        /// Peers can't call an address that stands for all of a VM's.
        UnspecifiedAddress(text: String) {
            display("`{text}` stands for every address: give the one that peers call")
        }
        /// The text is no log level.
        InvalidLogLevel(text: String) {
            display("`{text}` is no log level: use `error`, `warn`, `info`, `debug` or `trace`")
        }
        /// The text is no duration.
        InvalidDuration(text: String) {
            display("`{text}` is no duration: write a whole number and `ms`, `s` or `m`, such as `30s`")
        }
        /// The duration is out of range.
        DurationTooLong(max: Duration, text: String) {
            display("must be at most {max:?}, is `{text}`")
        }
        /// A VM or an address stands twice.
        Duplicate(text: String, first_line: usize) {
            display("`{text}` is already given in line {first_line}: keep one of them")
        }
    }
}

/// One fault, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The line in the file, from 1 on; none for a fault of the whole file.
    pub line: Option<usize>,
    /// The path of the key, such as `peer[0].address`; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub fault: SettingsFault,
}

/// All faults of one settings file, in the order of their lines; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        let path = match self.path.as_str() {
            "" => "settings",
            path => path,
        };
        write!(f, "{path}: {}", self.fault)
    }
}

impl Display for SettingsErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl From<TomlFault<SettingsFault>> for SettingsError {
    fn from(found: TomlFault<SettingsFault>) -> Self {
        Self {
            line: Some(found.line),
            path: found.path,
            fault: found.fault,
        }
    }
}

impl std::error::Error for SettingsError {}

impl std::error::Error for SettingsErrors {}
