//! A daemon as a process of its own.

use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// How a daemon is started: the program and what comes before the settings file.
#[derive(Clone, Debug)]
pub struct DaemonProgram {
    /// The program.
    pub path: PathBuf,
    /// Its arguments before the settings file.
    pub arguments: Vec<String>,
}

/// A running daemon process; it is killed when this handle is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
}

impl DaemonProcess {
    /// Starts a daemon whose standard output and standard error go to the end of a file.
    ///
    /// # Errors
    ///
    /// The program can't be started or the log can't be opened.
    pub fn start(program: &DaemonProgram, settings: &PathBuf, log: &PathBuf) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process identifier.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The process is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// It can't be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns how the process ended; none while it runs.
    ///
    /// # Errors
    ///
    /// It can't be asked.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _gone = self.kill();
    }
}
