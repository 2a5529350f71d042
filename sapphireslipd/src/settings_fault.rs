//! Faults of a settings file and their messages.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use quick_error::quick_error;
use sapphireslip_core::{TomlFault, ValueFault};

quick_error! {
    /// A fault in a settings file; its message says how to correct it.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SettingsFault {
        /// The file is not UTF-8; holds the offset in bytes of the first invalid byte.
        Utf8(offset: usize) {
            display("is not UTF-8 from byte {offset} on: save it as UTF-8")
        }
        /// The text is not TOML.
        Syntax(message: String) {
            display("is not TOML: {message}")
        }
        /// A key is unknown or missing, or a value has the wrong type or form.
        Value(err: ValueFault) {
            display("{err}")
            from()
        }
        /// A text is not an IP address with a port.
        InvalidAddress(text: String) {
            display("`{text}` is not an address: give an IP address and a port, such as `10.0.0.1:5432`")
        }
        /// The port of an address is 0.
        PortZero(text: String) {
            display("`{text}` has port 0: give the port number")
        }
        /// An address that peers connect to is the unspecified one, such as `0.0.0.0`.
        UnspecifiedAddress(text: String) {
            display("`{text}` is not a specific address: give the one that peers connect to")
        }
        /// A text is not a log level.
        InvalidLogLevel(text: String) {
            display("`{text}` is not a log level: use `error`, `warn`, `info`, `debug` or `trace`")
        }
        /// A text is not a duration.
        InvalidDuration(text: String) {
            display("`{text}` is not a duration: write a whole number and `ms`, `s` or `m`, such as `30s`")
        }
        /// A duration is above its maximum.
        DurationTooLong(max: Duration, text: String) {
            display("must be at most {max:?}, is `{text}`")
        }
        /// A duration is below its minimum.
        DurationTooShort(min: Duration, text: String) {
            display("must be at least {min:?}, is `{text}`")
        }
        /// A text is not a share of a processor.
        InvalidProcessorShare(text: String) {
            display("`{text}` is no share of a processor: write a number of cores above 0, such as `0.25`")
        }
        /// A text is not a number in the permitted range.
        InvalidNumber(max: u32, text: String) {
            display("`{text}` is no number from 0 to {max}")
        }
        /// A VM or an address that must be unique occurs more than once.
        Duplicate(text: String, first_line: usize) {
            display("`{text}` is already given in line {first_line}: keep one of them")
        }
    }
}

/// A fault of a settings file, with the line and key where it was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The line in the file, from 1 on; `None` for a fault of the whole file.
    pub line: Option<usize>,
    /// The path of the key, such as `peer[0].address`; empty for a fault of the whole file.
    pub path: String,
    /// The fault itself.
    pub fault: SettingsFault,
}

/// All faults of a settings file in the order of their lines; at least one.
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
