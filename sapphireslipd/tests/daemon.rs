//! Tests of the daemon as a process: start while the platform is down, readiness, admin interface,
//! `--check` and stop.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use standins::{Platform, PlatformSettings, accept_document};
use tempfile::NamedTempFile;
use tokio::runtime::Runtime;

/// How long a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The ports of each daemon, below the range from which the system takes ports for outgoing
/// connections.
const CLIENT_PORT: u16 = 5433;
const PEER_PORT: u16 = 7100;
const ADMIN_PORT: u16 = 9100;
const SILENT_PORT: u16 = 9;

/// A configuration document of a service whose only server does not answer.
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
verifier = "SCRAM-SHA-256$4096:c2FsdA==$a2V5:a2V5"

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

/// Starts a platform on the runtime and has it accept [`DOCUMENT`].
fn platform_with_document(runtime: &Runtime) -> Platform {
    runtime.block_on(async {
        let platform = Platform::start(PlatformSettings::default())
            .await
            .expect("starts");
        accept_document(platform.address(), DOCUMENT)
            .await
            .expect("accepted");
        platform
    })
}

/// A running daemon process, which is killed when dropped.
struct Daemon {
    child: Child,
    /// The address of the admin interface.
    admin: SocketAddr,
    /// The address that accepts connections of peers.
    peers: SocketAddr,
    settings: NamedTempFile,
    /// The file that receives the daemon's log.
    log: NamedTempFile,
}

/// Returns a loopback IP address that no other daemon of these tests has.
///
/// A free port of a shared address would not do: another test may take the port before the daemon
/// listens on it, and a test that tries to connect to it may get the same port for its own end and
/// connect to itself.
fn own_ip() -> Ipv4Addr {
    static DAEMONS: AtomicU8 = AtomicU8::new(1);
    let number = DAEMONS.fetch_add(1, Ordering::Relaxed);
    let [.., third, fourth] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, third, fourth, number)
}

/// Returns an address where nothing listens.
fn silent_address() -> SocketAddr {
    SocketAddr::from((own_ip(), SILENT_PORT))
}

/// Writes a settings file.
fn settings_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

/// Returns a command that runs the daemon's program.
fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sapphireslipd"));
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

impl Daemon {
    /// Starts a daemon on a VM, with another daemon as its configured peer if one is given.
    fn start(vm: &str, platform: SocketAddr, peer: Option<&Self>) -> Self {
        let ip = own_ip();
        let address = |port| SocketAddr::from((ip, port));
        let (clients, peers) = (address(CLIENT_PORT), address(PEER_PORT));
        let admin = address(ADMIN_PORT);
        let mut text = format!(
            "vm = \"{vm}\"\nzone = \"a\"\ncallers = \"{clients}\"\npeers = \"{peers}\"\n\
             admin = \"{admin}\"\nplatform = \"{platform}\"\nlog_level = \"debug\"\n\
             [backend]\nuser = \"proxy\"\n"
        );
        if let Some(peer) = peer {
            text += &format!(
                "[[peer]]\nvm = \"vm-1\"\nzone = \"a\"\naddress = \"{}\"\n",
                peer.peers
            );
        }
        let settings = settings_file(&text);
        let log = NamedTempFile::new().expect("a log");
        let child = command()
            .arg(settings.path())
            .stderr(log.reopen().expect("a log"))
            .spawn()
            .expect("starts");
        Self {
            child,
            admin,
            peers,
            settings,
            log,
        }
    }

    /// Sends a request to the admin interface and returns the status code and the body; none if
    /// nothing answers.
    fn http(&self, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.admin).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let code = answer.get(9..12)?.parse().ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        Some((code, body.to_owned()))
    }

    /// Requests a page until the answer is as expected, and returns how long that took.
    fn wait_http(&self, path: &str, is_expected: impl Fn(u16, &str) -> bool) -> Duration {
        let start = Instant::now();
        loop {
            let answer = self.http("GET", path);
            if answer
                .as_ref()
                .is_some_and(|(code, body)| is_expected(*code, body))
            {
                return start.elapsed();
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "{path}: last answer {answer:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Daemon {
    /// Waits until the process has exited.
    fn wait_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("status") {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process has not exited");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("signalled");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _reaped = self.child.wait();
    }
}

#[test]
fn start_platform_down() {
    let daemon = Daemon::start("vm-1", silent_address(), None);
    let took = daemon.wait_http("/ready", |code, body| {
        code == 503 && body == r#"{"ready":false,"reason":"configuration_unknown"}"#
    });
    assert!(took < Duration::from_secs(1), "took {took:?}");
}

#[test]
fn ready_when_platform_comes_back() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = platform_with_document(&runtime);
    platform.set_down(true);
    let daemon = Daemon::start("vm-1", platform.address(), None);
    daemon.wait_http("/ready", |code, _| code == 503);
    platform.set_down(false);
    daemon.wait_http("/ready", |code, body| {
        code == 200 && body == r#"{"ready":true,"reason":"ready"}"#
    });
    daemon.wait_http("/status", |_, body| {
        body.contains(r#""member":"acme","service":"shop","generation":1,"databases":["stock"]"#)
    });
    daemon.wait_http("/timeline", |_, body| body.contains("DocumentInForce"));
}

#[test]
fn ready_from_peer_while_platform_down() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = platform_with_document(&runtime);
    let first = Daemon::start("vm-1", platform.address(), None);
    first.wait_http("/ready", |code, _| code == 200);
    platform.set_down(true);
    let second = Daemon::start("vm-2", platform.address(), Some(&first));
    second.wait_http("/ready", |code, _| code == 200);
    first.wait_http("/status", |_, body| body.contains(r#""vm":"vm-2""#));
}

#[test]
fn log_json_lines() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = platform_with_document(&runtime);
    let mut daemon = Daemon::start("vm-1", platform.address(), None);
    daemon.wait_http("/ready", |code, _| code == 200);
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.wait_exit().code(), Some(0));
    let log = std::fs::read_to_string(daemon.log.path()).expect("a log");
    let lines = log.lines().map(serde_json::from_str::<serde_json::Value>);
    let lines: Vec<_> = lines.collect::<Result<_, _>>().expect("JSON lines");
    let first = &lines[0];
    assert!(first["time"].is_f64());
    assert_eq!(first["level"], "INFO");
    assert_eq!(first["vm"], "vm-1");
    assert_eq!(first["message"], "started");
    assert_eq!(first["admin"], daemon.admin.to_string());
    let is_entry = |line: &&serde_json::Value| line["target"] == "timeline";
    let entries: Vec<_> = lines.iter().filter(is_entry).collect();
    let kinds: Vec<_> = entries
        .iter()
        .map(|line| line["message"].as_str())
        .collect();
    assert!(kinds.contains(&Some("DocumentInForce")), "{kinds:?}");
    assert!(kinds.contains(&Some("DrainFinished")), "{kinds:?}");
    let entry = entries[0]["entry"].as_str().expect("an entry");
    let entry: serde_json::Value = serde_json::from_str(entry).expect("JSON");
    assert_eq!(entry["vm"], "vm-1");
}

#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
fn drain_by_signal(#[case] signal: Signal) {
    let mut daemon = Daemon::start("vm-1", silent_address(), None);
    daemon.wait_http("/ready", |code, _| code == 503);
    daemon.signal(signal);
    assert_eq!(daemon.wait_exit().code(), Some(0));
}

#[test]
fn drain_by_admin() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = platform_with_document(&runtime);
    let mut daemon = Daemon::start("vm-1", platform.address(), None);
    daemon.wait_http("/ready", |code, _| code == 200);
    assert_eq!(
        daemon.http("POST", "/drain").map(|(code, _)| code),
        Some(202)
    );
    daemon.wait_http("/ready", |code, body| {
        code == 503 && body.contains("draining")
    });
    assert_eq!(daemon.wait_exit().code(), Some(0));
}

#[test]
fn drain_of_frozen_and_thawed_process() {
    let mut daemon = Daemon::start("vm-1", silent_address(), None);
    daemon.wait_http("/ready", |code, _| code == 503);
    daemon.signal(Signal::STOP);
    daemon.signal(Signal::TERM);
    daemon.signal(Signal::CONT);
    assert_eq!(daemon.wait_exit().code(), Some(0));
}

#[rstest]
#[case::metrics("/metrics", "sapphireslip_failovers_total 0")]
#[case::status("/status", r#""vm":"vm-1""#)]
#[case::timeline("/timeline?since=0", r#""entries":["#)]
fn admin_shows(#[case] path: &str, #[case] expected: &str) {
    let daemon = Daemon::start("vm-1", silent_address(), None);
    daemon.wait_http(path, |code, body| code == 200 && body.contains(expected));
}

#[test]
fn admin_other_method() {
    let daemon = Daemon::start("vm-1", silent_address(), None);
    daemon.wait_http("/ready", |code, _| code == 503);
    assert_eq!(
        daemon.http("GET", "/drain").map(|(code, _)| code),
        Some(405)
    );
}

#[test]
fn seed_peer_is_shown_in_status() {
    let first = Daemon::start("vm-1", silent_address(), None);
    let second = Daemon::start("vm-2", silent_address(), Some(&first));
    second.wait_http("/status", |_, body| body.contains(r#""vm":"vm-1""#));
}

#[test]
fn check_good_file() {
    let settings = settings_file(
        "vm = \"vm-1\"\nzone = \"a\"\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\n\
         admin = \"127.0.0.1:3\"\nplatform = \"127.0.0.1:4\"\n[backend]\nuser = \"proxy\"\n",
    );
    let output = command()
        .arg("--check")
        .arg(settings.path())
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}

#[test]
fn check_bad_file() {
    let settings = settings_file("vm = 1\n");
    let output = command()
        .arg("--check")
        .arg(settings.path())
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        text.contains("line 1: vm: must be a string, is of type integer"),
        "{text}"
    );
    assert!(text.contains("line 1: platform: is missing"), "{text}");
}

#[test]
fn run_missing_file() {
    let output = command().arg("/nonexistent.toml").output().expect("runs");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn run_no_argument() {
    let output = command().output().expect("runs");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn run_address_in_use() {
    let first = Daemon::start("vm-1", silent_address(), None);
    first.wait_http("/ready", |code, _| code == 503);
    let text = std::fs::read_to_string(first.settings.path()).expect("text");
    let settings = settings_file(&text);
    let output = command().arg(settings.path()).output().expect("runs");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("listening for callers on"), "{text}");
}
