//! Checks that log lines keep the targets and keys by which operators filter them: modules that were
//! renamed log under their former paths, and the line `started` has the key `callers`.
//!
//! `sapphireslipd::caller_messages` is not checked: its only line reports a message that can't be
//! encoded, and no input of this test leads to one.

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use standins::{Platform, PlatformSettings, accept_document, line_settings};
use tempfile::{NamedTempFile, TempDir};
use tokio::runtime::Runtime;

/// How long a test waits for the log lines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A document whose user has a malformed verifier, with which nobody can log in.
const DOCUMENT: &str = r#"service = "shop"
member = "acme"
generation = 1

[limits]
sessions = 10
queued = 10

[stop]
bound = "1s"

[[caller]]
name = "till"
verifier = "no verifier"

[[database]]
name = "stock"
connections = 4
max_staleness = "1s"
deadline = "1s"

[[database.server]]
id = "stock-1"
zone = "a"
address = "127.0.0.1:1"
"#;

/// A startup message of PostgreSQL's protocol, version 3.0, for user `till` and database `stock`.
const STARTUP: &[u8] = b"\0\0\0\x22\0\x03\0\0user\0till\0database\0stock\0\0";

/// A startup message that states a length of 4 bytes, which is too short for its version.
const MALFORMED_STARTUP: &[u8] = b"\0\0\0\x04\0\x03\0\0";

/// A running daemon process, which is killed when dropped.
struct Daemon {
    child: Child,
    /// The file that receives the daemon's log.
    log: NamedTempFile,
    /// The directory of the settings file.
    _folder: TempDir,
}

impl Daemon {
    /// Starts a daemon with the settings; the log is written to the standard output or the standard
    /// error stream, depending on the kind of daemon.
    fn start(settings: &str) -> Self {
        let folder = TempDir::new().expect("a folder");
        let path = folder.path().join("settings.toml");
        std::fs::write(&path, settings).expect("written");
        let log = NamedTempFile::new().expect("a log");
        let output = || {
            let file = OpenOptions::new().append(true).open(log.path());
            file.expect("a log")
        };
        let child = Command::new(env!("CARGO_BIN_EXE_sapphireslipd"))
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output())
            .stderr(output())
            .spawn()
            .expect("a process");
        Self {
            child,
            log,
            _folder: folder,
        }
    }

    /// Returns whether a line has been logged with the target and a message that starts so.
    fn has_logged(&self, target: &str, message: &str) -> bool {
        let log = std::fs::read_to_string(self.log.path()).expect("the log");
        let mut lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.any(|line: Value| {
            let text = line["message"].as_str().unwrap_or_default();
            line["target"] == target && text.starts_with(message)
        })
    }

    /// Sends bytes on new connections until every given pair of a target and the beginning of a
    /// message has been logged.
    fn wait_logged(&self, clients: SocketAddr, bytes: &[u8], lines: &[(&str, &str)]) {
        let start = Instant::now();
        while !lines
            .iter()
            .all(|(target, message)| self.has_logged(target, message))
        {
            if start.elapsed() > WAIT_TIMEOUT {
                let log = std::fs::read_to_string(self.log.path()).expect("the log");
                panic!("not all of {lines:?} are logged:\n{log}");
            }
            // Fails until the daemon listens.
            let _refused = send(clients, bytes);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Checks that the line `started` has been logged and states the clients' address as `callers`.
    fn check_started_keys(&self, clients: SocketAddr) {
        let log = std::fs::read_to_string(self.log.path()).expect("the log");
        let started = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .find(|line: &Value| line["message"] == "started")
            .expect("a line `started`");
        assert_eq!(started["callers"], clients.to_string(), "{started}");
        assert_eq!(started.get("clients"), None, "{started}");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails only if the process has exited already.
        let _exited = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Sends bytes on a new connection and waits until the daemon closes it.
fn send(to: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(bytes)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(())
}

/// Returns a loopback address of this test process, another one for each number.
fn own_ip(number: u8) -> Ipv4Addr {
    let [.., low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 83, low, number)
}

#[test]
fn client_modules_keep_their_targets() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = runtime.block_on(async {
        let platform = Platform::start(PlatformSettings::default()).await;
        let platform = platform.expect("starts");
        accept_document(platform.address(), DOCUMENT)
            .await
            .expect("accepted");
        platform
    });
    let ip = own_ip(1);
    let daemon = Daemon::start(&format!(
        "vm = \"vm-1\"\nzone = \"a\"\ncallers = \"{ip}:5432\"\npeers = \"{ip}:7000\"\n\
         admin = \"{ip}:9000\"\nplatform = \"{}\"\n[backend]\nuser = \"proxy\"\n",
        platform.address()
    ));
    let clients = SocketAddr::from((ip, 5432));
    let rejected = [
        ("sapphireslipd::run", "started"),
        ("sapphireslipd::caller_startup", "user `till` can't log in"),
        ("sapphireslipd::caller_session", "session "),
    ];
    daemon.wait_logged(clients, STARTUP, &rejected);
    let malformed = [("sapphireslipd::caller_edge", "connection to client `")];
    daemon.wait_logged(clients, MALFORMED_STARTUP, &malformed);
    daemon.check_started_keys(clients);
}

#[test]
fn client_module_of_a_store_led_daemon_keeps_its_target() {
    let ip = own_ip(2);
    let settings = line_settings("vm-1", ip, ([127, 0, 0, 1], 7).into());
    let daemon = Daemon::start(&format!("log_level = \"debug\"\n{settings}"));
    let malformed = [
        ("sapphireslipd::lead_run", "started"),
        (
            "sapphireslipd::lead_callers",
            "a client's connection ended: ",
        ),
    ];
    daemon.wait_logged((ip, 7000).into(), b"NONSENSE\r\n", &malformed);
    daemon.check_started_keys((ip, 5432).into());
}
