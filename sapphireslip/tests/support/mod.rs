//! Runs the command, and a platform stand-in to run it against.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use standins::{Platform, PlatformSettings};
use tempfile::TempDir;
use tokio::runtime::Runtime;

/// A valid service document.
pub const DOCUMENT: &str = r#"service = "shop"
member = "acme"
generation = 1

[limits]
sessions = 10
queued = 10

[stop]
bound = "1s"

[[database]]
name = "stock"
connections = 4
max_staleness = "1s"
deadline = "1s"

[[database.server]]
id = "stock-1"
zone = "a"
address = "127.0.0.1:5432"
"#;

/// A valid settings file.
pub const SETTINGS: &str = r#"vm = "vm-1"
zone = "a"
callers = "10.0.0.1:5432"
peers = "10.0.0.1:7000"
admin = "10.0.0.1:9000"
platform = "10.0.9.1:443"

[backend]
user = "sapphireslip"
"#;

/// A builder of a command line.
#[derive(Debug)]
pub struct Sapphireslip {
    /// The arguments so far, the subcommand among them.
    args: Vec<String>,
    /// The standard input.
    input: String,
    /// The folder of the file that is given as an argument.
    folder: TempDir,
}

/// The result of a run of the command.
#[derive(Debug)]
pub struct CommandResult {
    /// The exit code.
    pub code: i32,
    /// The whole standard output.
    pub stdout: String,
    /// The whole standard error.
    pub stderr: String,
}

impl Sapphireslip {
    /// Starts a command line with a subcommand.
    pub fn new(subcommand: &str) -> Self {
        Self {
            args: vec![subcommand.to_owned()],
            input: String::new(),
            folder: TempDir::new().expect("a temporary folder can be created"),
        }
    }

    /// Adds an argument.
    pub fn arg(mut self, arg: impl ToString) -> Self {
        self.args.push(arg.to_string());
        self
    }

    /// Adds an option with its value.
    pub fn value(self, name: &str, value: impl ToString) -> Self {
        self.arg(name).arg(value)
    }

    /// Adds `--json`.
    pub fn json(mut self) -> Self {
        self.args.insert(0, "--json".to_owned());
        self
    }

    /// Writes a file with this content and adds its path as an argument.
    pub fn file(self, content: impl AsRef<[u8]>) -> Self {
        let path = self.folder.path().join("file.toml");
        std::fs::write(&path, content).expect("the file can be written");
        self.arg(path.display())
    }

    /// Sets the standard input; empty by default.
    pub fn input(mut self, text: &str) -> Self {
        text.clone_into(&mut self.input);
        self
    }

    /// Runs the command until it exits.
    pub fn run(self) -> CommandResult {
        let mut child = Command::new(program())
            .args(&self.args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the command starts");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        // A command that reads no input may already have closed it.
        let _unread = stdin.write_all(self.input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("the command exits");
        CommandResult {
            code: output.status.code().expect("no signal ended the command"),
            stdout: String::from_utf8(output.stdout).expect("standard output is UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("standard error is UTF-8"),
        }
    }
}

impl CommandResult {
    /// Checks that the exit code is 0.
    #[track_caller]
    pub fn succeeded(self) -> Self {
        assert_eq!(self.code, 0, "{}", self.stderr);
        self
    }

    /// Checks the exit code of a failure, and that standard output is empty.
    #[track_caller]
    pub fn failed(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{}{}", self.stdout, self.stderr);
        assert_eq!(self.stdout, "");
        self
    }

    /// Returns the faults of a file, one per line, without the heading.
    pub fn faults(&self) -> Vec<&str> {
        self.stderr.lines().skip(1).collect()
    }

    /// Parses standard output as JSON.
    #[track_caller]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).expect("valid JSON")
    }
}

/// Returns the path of the command's binary.
pub fn program() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_sapphireslip")).to_owned()
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct RunningPlatform {
    /// The stand-in.
    pub platform: Platform,
    /// The runtime on which the stand-in runs; dropping it stops the stand-in.
    _runtime: Runtime,
}

impl RunningPlatform {
    /// Starts a stand-in with the default settings.
    pub fn start() -> Self {
        let runtime = Runtime::new().expect("the runtime starts");
        let platform = runtime.block_on(Platform::start(PlatformSettings::default()));
        Self {
            platform: platform.expect("the platform stand-in starts"),
            _runtime: runtime,
        }
    }

    /// Returns an `apply` of a document with this text.
    pub fn apply(&self, text: impl AsRef<[u8]>) -> Sapphireslip {
        Sapphireslip::new("apply")
            .value("--platform", self.platform.address())
            .file(text)
    }
}
