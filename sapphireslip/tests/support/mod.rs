//! Running the command, and a platform stand-in to run it against.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use standins::{Platform, PlatformSettings};
use tempfile::TempDir;
use tokio::runtime::Runtime;

/// A service document without a fault.
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

/// Settings without a fault.
pub const SETTINGS: &str = r#"vm = "vm-1"
zone = "a"
callers = "10.0.0.1:5432"
peers = "10.0.0.1:7000"
admin = "10.0.0.1:9000"
platform = "10.0.9.1:443"

[backend]
user = "sapphireslip"
"#;

/// A command line that is being put together.
#[derive(Debug)]
pub struct Sapphireslip {
    args: Vec<String>,
    input: String,
    folder: TempDir,
}

/// What a run of the command came to.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Sapphireslip {
    /// Begins with the subcommand.
    pub fn new(subcommand: &str) -> Self {
        Self {
            args: vec![subcommand.to_owned()],
            input: String::new(),
            folder: TempDir::new().expect("a folder"),
        }
    }

    /// Adds an argument.
    pub fn arg(mut self, arg: impl ToString) -> Self {
        self.args.push(arg.to_string());
        self
    }

    /// Adds an argument with its value.
    pub fn value(self, name: &str, value: impl ToString) -> Self {
        self.arg(name).arg(value)
    }

    /// Asks for JSON.
    pub fn json(mut self) -> Self {
        self.args.insert(0, "--json".to_owned());
        self
    }

    /// Adds the name of a new file with this content.
    pub fn file(self, content: impl AsRef<[u8]>) -> Self {
        let path = self.folder.path().join("file.toml");
        std::fs::write(&path, content).expect("written");
        self.arg(path.display())
    }

    /// Sets the standard input.
    pub fn input(mut self, text: &str) -> Self {
        text.clone_into(&mut self.input);
        self
    }

    /// Runs the command to its end.
    pub fn run(self) -> Ran {
        let mut child = Command::new(program())
            .args(&self.args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        let mut stdin = child.stdin.take().expect("a standard input");
        // A command that reads no input may have closed it.
        let _unread = stdin.write_all(self.input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("ends");
        Ran {
            code: output.status.code().expect("an exit code"),
            stdout: String::from_utf8(output.stdout).expect("UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

impl Ran {
    /// Checks that the command succeeded.
    #[track_caller]
    pub fn succeeded(self) -> Self {
        assert_eq!(self.code, 0, "{}", self.stderr);
        self
    }

    /// Checks the exit code of a failure, and that nothing was printed as a result.
    #[track_caller]
    pub fn failed(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{}{}", self.stdout, self.stderr);
        assert_eq!(self.stdout, "");
        self
    }

    /// Returns the faults of a file, one a line, without the heading.
    pub fn faults(&self) -> Vec<&str> {
        self.stderr.lines().skip(1).collect()
    }

    /// Returns the output as JSON.
    #[track_caller]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).expect("valid JSON")
    }
}

/// Returns the path of the command.
pub fn program() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_sapphireslip")).to_owned()
}

/// A platform stand-in with the runtime in which it runs.
#[derive(Debug)]
pub struct RunningPlatform {
    pub platform: Platform,
    _runtime: Runtime,
}

impl RunningPlatform {
    pub fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let platform = runtime.block_on(Platform::start(PlatformSettings::default()));
        Self {
            platform: platform.expect("starts"),
            _runtime: runtime,
        }
    }

    /// Returns an `apply` of a text.
    pub fn apply(&self, text: impl AsRef<[u8]>) -> Sapphireslip {
        Sapphireslip::new("apply")
            .value("--platform", self.platform.address())
            .file(text)
    }
}
