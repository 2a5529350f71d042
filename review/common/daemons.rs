//! The daemons, as processes with the command of the deploy file, and clients.

use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::members::{Lines, wait_until};
use super::record::Record;
use super::store::Store;
use std::sync::{Arc, Mutex};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A running daemon; it is killed when this is dropped.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
    pub log: PathBuf,
}

/// Returns a free port of a loopback address that this process has to itself: on 127.0.0.1 the port
/// could be taken by an outgoing connection before the daemon listens on it.
fn free_address() -> std::io::Result<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 78, high, low.clamp(1, 254));
    loop {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if GIVEN.lock().unwrap().insert(address) {
            return Ok(address);
        }
    }
}

/// Waits until all daemons are ready; fails with the log of one that is not.
pub fn wait_for_daemons(daemons: &[Daemon], record: &Record) -> std::io::Result<()> {
    if wait_until(Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready)) {
        return Ok(());
    }
    for daemon in daemons.iter().filter(|daemon| !daemon.is_ready()) {
        let log = fs::read_to_string(&daemon.log).unwrap_or_default();
        for line in log.lines().take(40) {
            record.line(&format!("{}: {line}", daemon.name));
        }
    }
    Err(std::io::Error::other("the daemons are not ready"))
}

impl Daemon {
    /// Starts a daemon with settings as `deploy/settings.toml.template` renders them.
    pub fn start(name: &str, zone: &str, store: &Arc<Store>, folder: &Path, record: &Record) -> std::io::Result<Self> {
        let platform = store.serve(name)?;
        let (callers, readiness) = (free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?, free_address()?);
        let text = format!(
            "vm = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\nlog_level = \"info\"\ndrain_bound = \"6s\"\n\
             server_drain_bound = \"7000ms\"\nsettle_time = \"4000ms\"\nprocessor_share = \"0.25\"\n\n\
             [store]\naddress = \"{platform}\"\n\n[promotion]\naddress = \"{platform}\"\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let out = fs::File::create(&log)?;
        let child = Command::new("target/release/sapphireslipd")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        record.line(&format!("daemon {name} in zone {zone} started, clients at {callers}"));
        Ok(Self { name: name.to_owned(), callers, readiness, child, log })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call on the id of a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let asked = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n")?;
            Ok(Lines::new(stream).next()?.unwrap_or_default())
        };
        asked().is_ok_and(|line| line.contains(" 200 "))
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer to a statement: the rows, and the line that ended it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    pub end: String,
    pub state: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.end.starts_with("COMPLETE")
    }
}

/// A session of a client.
pub struct Client {
    pub name: String,
    stream: TcpStream,
    lines: Lines,
    record: Record,
    next: u64,
}

impl Client {
    /// Opens a session; fails if the daemon refuses it.
    pub fn open(name: &str, to: SocketAddr, database: &str, record: &Record) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(format!("START {database} u3f1\r\n").as_bytes())?;
        let mut lines = Lines::new(stream.try_clone()?);
        let line = lines.next()?.unwrap_or_default();
        if !line.starts_with("READY") {
            return Err(std::io::Error::other(format!("START: {line}")));
        }
        Ok(Self { name: name.to_owned(), stream, lines, record: record.clone(), next: 0 })
    }

    /// Sends a statement and returns its id.
    pub fn send(&mut self, text: &str) -> std::io::Result<String> {
        self.next += 1;
        let id = format!("{}-{}", self.name, self.next);
        self.record.line(&format!("client {}: sends {id} {text}", self.name));
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        Ok(id)
    }

    /// Returns the next answer; fails if the connection ends before it is complete.
    pub fn answer(&mut self) -> std::io::Result<Answer> {
        let mut answer = Answer { rows: Vec::new(), end: String::new(), state: String::new() };
        loop {
            let line = match self.lines.next() {
                Ok(Some(line)) => line,
                Ok(None) => {
                    self.record.line(&format!("client {}: the connection has ended", self.name));
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                Err(err) => {
                    self.record.line(&format!("client {}: {err}", self.name));
                    return Err(err);
                }
            };
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match verb {
                "ROW" => answer.rows.push(rest.to_owned()),
                "READY" => {
                    answer.state = rest.to_owned();
                    self.record.line(&format!("client {}: gets {:?} {}, {rest}", self.name, answer.rows, answer.end));
                    return Ok(answer);
                }
                _ => answer.end = line,
            }
        }
    }

    /// Sends a statement and returns its id and its answer.
    pub fn ask(&mut self, text: &str) -> std::io::Result<(String, Answer)> {
        let id = self.send(text)?;
        Ok((id, self.answer()?))
    }
}
