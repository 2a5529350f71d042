//! Daemon processes: start with the platform down, admin interface, check, and stop.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;
use tempfile::NamedTempFile;

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

/// A daemon's process, killed when dropped.
struct Daemon {
    child: Child,
    admin: SocketAddr,
    peers: SocketAddr,
    settings: NamedTempFile,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("address")
}

fn settings_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sapphireslipd"));
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

impl Daemon {
    fn start(vm: &str, platform: SocketAddr, peer: Option<&Self>) -> Self {
        let (callers, peers, admin) = (free_address(), free_address(), free_address());
        let mut text = format!(
            "vm = \"{vm}\"\nzone = \"a\"\ncallers = \"{callers}\"\npeers = \"{peers}\"\n\
             admin = \"{admin}\"\nplatform = \"{platform}\"\n[backend]\nuser = \"proxy\"\n"
        );
        if let Some(peer) = peer {
            text += &format!(
                "[[peer]]\nvm = \"vm-1\"\nzone = \"a\"\naddress = \"{}\"\n",
                peer.peers
            );
        }
        let settings = settings_file(&text);
        let child = command()
            .arg(settings.path())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        Self {
            child,
            admin,
            peers,
            settings,
        }
    }

    /// Returns the status code and the body; none if nothing answers.
    fn http(&self, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.admin).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let code = answer.get(9..12)?.parse().ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        Some((code, body.to_owned()))
    }

    fn wait_http(&self, path: &str, good: impl Fn(u16, &str) -> bool) -> Duration {
        let start = Instant::now();
        loop {
            let answer = self.http("GET", path);
            if answer
                .as_ref()
                .is_some_and(|(code, body)| good(*code, body))
            {
                return start.elapsed();
            }
            assert!(start.elapsed() < PATIENCE, "{path}: last answer {answer:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
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
    let daemon = Daemon::start("vm-1", free_address(), None);
    let took = daemon.wait_http("/ready", |code, body| {
        code == 503 && body == r#"{"ready":false,"reason":"configuration_unknown"}"#
    });
    assert!(took < Duration::from_secs(1), "took {took:?}");
}

#[rstest]
#[case::metrics("/metrics", "sapphireslip_failovers_total 0")]
#[case::status("/status", r#""vm":"vm-1""#)]
#[case::timeline("/timeline?since=0", r#""entries":["#)]
fn admin_shows(#[case] path: &str, #[case] expected: &str) {
    let daemon = Daemon::start("vm-1", free_address(), None);
    daemon.wait_http(path, |code, body| code == 200 && body.contains(expected));
}

#[test]
fn admin_other_method() {
    let daemon = Daemon::start("vm-1", free_address(), None);
    daemon.wait_http("/ready", |code, _| code == 503);
    assert_eq!(
        daemon.http("GET", "/drain").map(|(code, _)| code),
        Some(405)
    );
}

#[test]
fn seed_in_status() {
    let first = Daemon::start("vm-1", free_address(), None);
    let second = Daemon::start("vm-2", free_address(), Some(&first));
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
    let first = Daemon::start("vm-1", free_address(), None);
    first.wait_http("/ready", |code, _| code == 503);
    let text = std::fs::read_to_string(first.settings.path()).expect("text");
    let settings = settings_file(&text);
    let output = command().arg(settings.path()).output().expect("runs");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("listening for callers on"), "{text}");
}
