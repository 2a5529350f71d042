//! Errors that keep a daemon from starting or make it exit.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::SettingsErrors;

quick_error! {
    /// The reason why a daemon can't start or continue.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file can't be read.
        Read(path: PathBuf, err: io::Error) {
            display("reading settings `{}`: {err}", path.display())
            source(err)
        }
        /// The settings file is invalid.
        Settings(path: PathBuf, errors: SettingsErrors) {
            display("checking settings `{}`:\n{errors}", path.display())
            source(errors)
        }
        /// A listening socket can't be opened.
        Listen(what: &'static str, address: SocketAddr, err: io::Error) {
            display("listening for {what} on `{address}`: {err}")
            source(err)
        }
        /// The asynchronous runtime can't be started.
        Runtime(err: io::Error) {
            display("starting the runtime: {err}")
            source(err)
        }
        /// The boot-time clock can't be read.
        Clock(err: io::Error) {
            display("reading the boot-time clock: {err}")
            source(err)
        }
        /// The signal handlers can't be installed.
        Signals(err: io::Error) {
            display("installing the signal handlers: {err}")
            source(err)
        }
        /// The thread that writes the log can't be started.
        LogThread(err: io::Error) {
            display("starting the thread that writes the log: {err}")
            source(err)
        }
        /// The global logger is set already.
        Logger(err: log::SetLoggerError) {
            display("installing the logger: {err}")
            source(err)
        }
    }
}

impl Error {
    /// Returns the exit code of the process: 2 if the settings can't be read or are invalid, 1
    /// otherwise.
    ///
    /// ```
    /// use sapphireslipd::{Error, SettingsErrors};
    /// let err = Error::Settings("a.toml".into(), SettingsErrors(vec![]));
    /// assert_eq!(err.exit_code(), 2);
    /// ```
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Read(..) | Self::Settings(..) => 2,
            _ => 1,
        }
    }
}
