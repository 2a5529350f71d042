//! Starts, signals and kills a daemon process.

use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// The command that starts a daemon.
#[derive(Clone, Debug)]
pub struct DaemonProgram {
    /// The path of the executable.
    pub path: PathBuf,
    /// The arguments that come before the path of the settings file.
    pub arguments: Vec<String>,
}

/// A daemon process; dropping this handle kills it.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The process, running or not.
    child: Child,
}

impl DaemonProcess {
    /// Starts a daemon and appends its standard output and standard error to a log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started or the log can't be opened.
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

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process no longer exists.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns the exit status of the process; `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the status of the process can't be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _gone = self.kill();
    }
}
