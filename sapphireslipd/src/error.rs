//! Why a daemon can't run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::SettingsErrors;

quick_error! {
    /// Why a daemon can't start or go on.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file can't be read.
        Read(path: PathBuf, err: io::Error) {
            display("reading settings `{}`: {err}", path.display())
            source(err)
        }
        /// The settings file has faults.
        Settings(path: PathBuf, errors: SettingsErrors) {
            display("checking settings `{}`:\n{errors}", path.display())
            source(errors)
        }
        /// An address can't be listened on.
        Listen(what: &'static str, address: SocketAddr, err: io::Error) {
            display("listening for {what} on `{address}`: {err}")
            source(err)
        }
        /// The runtime can't be started.
        Runtime(err: io::Error) {
            display("starting the runtime: {err}")
            source(err)
        }
        /// The steady clock can't be read.
        Clock(err: io::Error) {
            display("reading the steady clock: {err}")
            source(err)
        }
        /// Signals can't be taken.
        Signals(err: io::Error) {
            display("taking signals: {err}")
            source(err)
        }
        /// The thread that writes the log can't be started.
        LogThread(err: io::Error) {
            display("starting the thread that writes the log: {err}")
            source(err)
        }
        /// The logger can't be set.
        Logger(err: log::SetLoggerError) {
            display("setting the logger: {err}")
            source(err)
        }
    }
}

impl Error {
    /// Returns the process's exit code: 2 for faults of the settings, 1 for all else.
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
