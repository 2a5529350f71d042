//! The daemons of a small deployment as processes of their own, and the clients in front of them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::members::Group;
use crate::store::{Gateway, Store};

/// The ports of a daemon, the same on all machines.
const FRONTEND: u16 = 8784;
const READY: u16 = 8785;
const INTERNAL: [u16; 2] = [7440, 7455];

/// The bounds of a small deployment (`rq-central`).
pub const DRAIN_MS: u64 = 7_000;
pub const SETTLE_MS: u64 = 4_000;
pub const CONFIG_APPLY_MS: u64 = 3_000;

/// The addresses of the machines of one run.
pub struct Net {
    first: u8,
    second: u8,
}

impl Net {
    /// Returns a part of the loopback network whose ports are free.
    pub fn free() -> Self {
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let mut seed = nanos.subsec_nanos() ^ std::process::id().rotate_left(16);
        loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = Net { first: 64 + (seed >> 24) as u8 % 128, second: (seed >> 16) as u8 };
            let is_free = |n| {
                let ports = [FRONTEND, READY, INTERNAL[0], INTERNAL[1]];
                ports.iter().all(|port| TcpListener::bind((net.ip(n), *port)).is_ok())
            };
            if (1..=8).all(is_free) {
                return net;
            }
        }
    }

    fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.first, self.second, n)
    }
}

/// A daemon of the project.
pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub frontend: SocketAddr,
    ready: SocketAddr,
    pub gateway: Gateway,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    /// Whether the platform gives the daemon new connections.
    in_rotation: Arc<Mutex<bool>>,
}

/// Fills in the template of the settings with the platform's values; a section without a value is
/// left out.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let value = |name: &str| values.iter().find(|(known, _)| *known == name).map(|(_, v)| v.clone());
    let mut text = template.to_owned();
    while let Some(from) = text.find("{{#") {
        let name_end = from + text[from..].find("}}").unwrap();
        let name = text[from + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let to = text.find(&close).unwrap();
        let inner = text[name_end + 2..to].to_owned();
        let kept = if value(&name).is_some() { inner } else { String::new() };
        text.replace_range(from..to + close.len(), &kept);
    }
    while let Some(from) = text.find("{{") {
        let to = from + text[from..].find("}}").unwrap();
        let filled = value(&text[from + 2..to]).unwrap_or_default();
        text.replace_range(from..to + 2, &filled);
    }
    text
}

impl Daemon {
    /// Writes the settings of a daemon and starts it with the command of the deploy file.
    pub fn start(net: &Net, n: u8, name: &str, zone: &str, store: &Store, group: &Group, temp: &Path) -> Arc<Self> {
        let ip = net.ip(n);
        let gateway = store.gateway(name, group);
        let template = std::fs::read_to_string("deploy/settings.toml.template").unwrap();
        let values = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen_addrs.frontend", format!("{ip}:{FRONTEND}")),
            ("listen_addrs.ready", format!("{ip}:{READY}")),
            ("internal_ports.0", INTERNAL[0].to_string()),
            ("internal_ports.1", INTERNAL[1].to_string()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.drain_ms", DRAIN_MS.to_string()),
            ("bounds.settle_window_ms", SETTLE_MS.to_string()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("platform.address", gateway.store.to_string()),
            ("cloud.address", gateway.cloud.to_string()),
        ];
        let settings = temp.join(format!("{name}.yaml"));
        std::fs::write(&settings, render(&template, &values)).unwrap();
        let daemon = Arc::new(Daemon {
            name: name.to_owned(),
            zone: zone.to_owned(),
            frontend: SocketAddr::from((ip, FRONTEND)),
            ready: SocketAddr::from((ip, READY)),
            gateway,
            settings,
            log: temp.join(format!("{name}.log")),
            process: Mutex::new(None),
            in_rotation: Arc::new(Mutex::new(false)),
        });
        daemon.run();
        let checked = daemon.clone();
        std::thread::spawn(move || checked.check_readiness());
        daemon
    }

    /// Starts the process.
    pub fn run(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let process = Command::new("target/release/sapphireslipd")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        *self.process.lock().unwrap() = Some(process);
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            process.kill().ok();
            process.wait().ok();
        }
    }

    pub fn pid(&self) -> u32 {
        self.process.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Asks for the readiness once per second, as the platform does; two misses take the daemon out.
    fn check_readiness(&self) {
        let mut misses = 0;
        loop {
            let is_ready = self.is_ready();
            misses = if is_ready { 0 } else { misses + 1 };
            let mut in_rotation = self.in_rotation.lock().unwrap();
            *in_rotation = is_ready || (*in_rotation && misses < 2);
            drop(in_rotation);
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
        stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
    }

    pub fn in_rotation(&self) -> bool {
        *self.in_rotation.lock().unwrap()
    }
}

/// Returns the daemon for a new connection of a client in a zone: one of its zone that is in
/// rotation or, if there is none, one of another zone.
pub fn choose(daemons: &[Arc<Daemon>], zone: &str, n: usize) -> Arc<Daemon> {
    let near: Vec<_> = daemons.iter().filter(|d| d.zone == zone).collect();
    let ready: Vec<_> = near.iter().filter(|d| d.in_rotation()).collect();
    if ready.len() * 2 >= near.len() && !ready.is_empty() {
        return Arc::clone(ready[n % ready.len()]);
    }
    if !ready.is_empty() {
        return Arc::clone(near[n % near.len()]);
    }
    let other: Vec<_> = daemons.iter().filter(|d| d.in_rotation()).collect();
    match other.is_empty() {
        true => Arc::clone(near[n % near.len()]),
        false => Arc::clone(other[n % other.len()]),
    }
}

/// The answer to a statement.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The last `COMPLETE` or `ERROR` line; empty if the connection ended before.
    pub end: String,
    pub state: String,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        self.end.starts_with("COMPLETE") && !self.state.is_empty()
    }
}

/// A client's session.
pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Session {
    /// Opens a session; the error is the daemon's answer, or empty if there was none within 2 s.
    pub fn open(daemon: &Daemon, database: &str) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&daemon.frontend, Duration::from_millis(500));
        let stream = stream.map_err(|err| err.to_string())?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok();
        let mut writer = stream.try_clone().map_err(|err| err.to_string())?;
        let mut reader = BufReader::new(stream);
        writer.write_all(format!("START {database} u3f1\r\n").as_bytes()).map_err(|err| err.to_string())?;
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(n) if n > 0 && line.starts_with("READY") => Ok(Self { reader, writer }),
            _ => Err(line.trim_end().to_owned()),
        }
    }

    /// Runs a statement; the answer has no state if it did not come to its end.
    pub fn ask(&mut self, id: &str, text: &str) -> Answer {
        let mut answer = Answer::default();
        if self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
            return answer;
        }
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return answer;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return answer;
                }
                _ => answer.end = line.to_owned(),
            }
        }
    }
}

/// What the run has seen, in lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    pub started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line at the present time, and shows it.
    pub fn say(&self, line: &str) {
        println!("{:9.3} {line}", self.started.elapsed().as_secs_f64());
        self.add(Instant::now(), line);
    }

    /// Adds a line at a time.
    pub fn add(&self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.started);
        self.lines.lock().unwrap().push((at, line.to_owned()));
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64())).collect();
        std::fs::write(path, text).unwrap();
    }
}
