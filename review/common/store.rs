//! A stand-in for the platform's store and for its service that promotes members, over HTTP/1.1.
//!
//! Each daemon gets addresses of its own, so that the store can lose the answers of one daemon.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::json::{base64, Json};
use super::members::Group;
use super::record::Record;

/// The table, part and key of a row.
pub type Key = (String, String, String);

/// How the store treats a write.
pub enum Treatment {
    /// It is done and answered.
    Answer,
    /// It is done after this time, if its conditions still hold then, and is not answered.
    LoseAndDoLater(Duration),
}

/// Decides how a write of a daemon is treated; the arguments are the daemon's name and the body.
pub type Treat = Box<dyn FnMut(&str, &Json) -> Treatment + Send>;

#[derive(Default)]
struct Rows {
    version: u64,
    /// The value in Base64, none for a removed row, and the version of the last change.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    /// All changes in order.
    history: Vec<(Key, (Option<String>, u64))>,
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>, version: u64) {
        self.rows.insert(key.clone(), (value.clone(), version));
        self.history.push((key, (value, version)));
    }
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    treat: Mutex<Treat>,
    /// The daemon that the store turns away with 503.
    turned_away: Mutex<Option<String>>,
    /// How many writes of that daemon got 503.
    pub rejected_writes: AtomicUsize,
    /// When each daemon last asked for the list of members.
    pub list_reads: Mutex<BTreeMap<String, Instant>>,
    /// When each daemon last began to wait for a change of the configuration.
    pub watches: Mutex<BTreeMap<String, Instant>>,
    groups: Mutex<Vec<Arc<Group>>>,
    record: Record,
}

struct Request {
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Store {
    pub fn new(record: Record) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            treat: Mutex::new(Box::new(|_, _| Treatment::Answer)),
            turned_away: Mutex::default(),
            rejected_writes: AtomicUsize::new(0),
            list_reads: Mutex::default(),
            watches: Mutex::default(),
            groups: Mutex::default(),
            record,
        })
    }

    pub fn add_group(&self, group: Arc<Group>) {
        self.groups.lock().unwrap().push(group);
    }

    pub fn set_treatment(&self, treat: Treat) {
        *self.treat.lock().unwrap() = treat;
    }

    /// Answers all calls of a daemon with 503 from now on, also open watches, or of none.
    pub fn turn_away(&self, daemon: Option<&str>) {
        *self.turned_away.lock().unwrap() = daemon.map(str::to_owned);
        self.record.line(&format!("store: turns away {daemon:?}"));
        self.changed.notify_all();
    }

    fn is_turned_away(&self, daemon: &str) -> bool {
        self.turned_away.lock().unwrap().as_deref() == Some(daemon)
    }

    /// Writes a row of the operator or of a member.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.set(key, Some(base64(value.as_bytes())), version);
        drop(rows);
        self.changed.notify_all();
    }

    /// Returns the value of a row in Base64.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let rows = self.rows.lock().unwrap();
        rows.rows.get(&key).and_then(|(value, _)| value.clone())
    }

    /// Serves one daemon; returns the address of the store and of the promotion service for it.
    pub fn serve(self: &Arc<Self>, daemon: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (store, daemon) = (Arc::clone(self), daemon.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, daemon) = (Arc::clone(&store), daemon.clone());
                std::thread::spawn(move || {
                    let _ = store.connection(&daemon, stream);
                });
            }
        });
        Ok(address)
    }

    fn connection(self: &Arc<Self>, daemon: &str, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            match self.answer(daemon, &request) {
                Some((status, body)) => {
                    let head = format!(
                        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    writer.write_all((head + &body).as_bytes())?;
                }
                None => {
                    // A connection on which an answer is lost delivers nothing further.
                    let mut rest = Vec::new();
                    reader.read_to_end(&mut rest)?;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Answers a request; returns none if its answer is lost.
    fn answer(self: &Arc<Self>, daemon: &str, request: &Request) -> Option<(u16, String)> {
        let is_store_call = request.path.starts_with("/-/");
        if is_store_call && self.is_turned_away(daemon) {
            if request.path == "/-/rows-tx" {
                self.rejected_writes.fetch_add(1, Ordering::Relaxed);
            }
            return Some((503, "{}".to_owned()));
        }
        match request.path.as_str() {
            "/-/rows-get" => Some((200, self.rows_get(daemon, request))),
            "/-/rows-feed" => Some(match self.rows_feed(daemon, request) {
                Some(body) => (200, body),
                None => (503, "{}".to_owned()),
            }),
            "/-/rows-tx" => {
                let body = Json::parse(&request.body);
                let treatment = (self.treat.lock().unwrap())(daemon, &body);
                match treatment {
                    Treatment::Answer => {
                        std::thread::sleep(Duration::from_millis(4));
                        Some(self.rows_tx(daemon, &body))
                    }
                    Treatment::LoseAndDoLater(delay) => {
                        self.record.line(&format!(
                            "store: the answer to a write of {daemon} is lost; it is done {} ms later if its conditions still hold",
                            delay.as_millis()
                        ));
                        let (store, daemon) = (Arc::clone(self), daemon.to_owned());
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            let (status, _) = store.rows_tx(&daemon, &body);
                            store.record.line(&format!("store: the late write of {daemon} got status {status}"));
                        });
                        None
                    }
                }
            }
            "/promote" => Some((self.promote(daemon, request), "{}".to_owned())),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis() + 1_000
        )
    }

    fn rows_get(&self, daemon: &str, request: &Request) -> String {
        std::thread::sleep(Duration::from_millis(2));
        let wanted = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (wanted("table"), wanted("part"), wanted("from"));
        if table == "servers" {
            self.list_reads.lock().unwrap().insert(daemon.to_owned(), Instant::now());
        }
        let rows = self.rows.lock().unwrap();
        let matching = rows.rows.iter().filter(|((t, p, k), (value, _))| {
            *t == table && *p == part && *k >= from && value.is_some()
        });
        let found: Vec<String> = matching.map(|(key, row)| row_text(key, row)).collect();
        self.page(&found, rows.version)
    }

    /// Waits for a change; returns none if the daemon is turned away meanwhile.
    fn rows_feed(&self, daemon: &str, request: &Request) -> Option<String> {
        let number = |name: &str| {
            let text = request.query.get(name);
            text.and_then(|text| text.parse::<u64>().ok()).unwrap_or_default()
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let table = request.query.get("table").cloned().unwrap_or_default();
        if table == "op" {
            self.watches.lock().unwrap().insert(daemon.to_owned(), Instant::now());
        }
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows.history.iter().filter(|((t, _, _), (_, version))| *t == table && *version > after);
            let found: Vec<String> = changed.map(|(key, row)| row_text(key, row)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if self.is_turned_away(daemon) {
                return None;
            }
            if !found.is_empty() || left.is_zero() {
                return Some(self.page(&found, rows.version));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Carries out a transaction if all rows that it expects have the expected versions.
    fn rows_tx(&self, daemon: &str, body: &Json) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        let expected: Vec<(Key, u64)> = body
            .get("expected_revision")
            .list()
            .iter()
            .map(|entry| (entry_key(entry), entry.get("row_version").number()))
            .collect();
        let present = |key: &Key| match rows.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        if expected.iter().any(|(key, version)| present(key) != *version) {
            let found = expected.iter().filter_map(|(key, _)| {
                let row = rows.rows.get(key)?;
                row.0.is_some().then(|| row_text(key, row))
            });
            let found: Vec<String> = found.collect();
            return (412, self.page(&found, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.get("puts").list() {
            let key = entry_key(put);
            if key.2 != daemon {
                let value = super::json::decode_base64(put.get("value").text());
                let value = String::from_utf8_lossy(&value).into_owned();
                self.record.line(&format!("store: {daemon} writes `{}` = {value}, version {version}", key.2));
            }
            let value = put.get("value").text().to_owned();
            rows.set(key, Some(value), version);
        }
        for removed in body.get("remove").list() {
            rows.set(entry_key(removed), None, version);
        }
        drop(rows);
        self.changed.notify_all();
        (200, self.page(&[], version))
    }

    fn promote(self: &Arc<Self>, daemon: &str, request: &Request) -> u16 {
        let body = Json::parse(&request.body);
        let id = body.get("id").text();
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        self.record.line(&format!(
            "platform: {daemon} asks to promote {id}, Duty-Holder {}, Fence-Token {}",
            header("duty-holder"),
            header("fence-token")
        ));
        let groups = self.groups.lock().unwrap();
        match groups.iter().any(|group| group.promote(id)) {
            true => 200,
            false => 409,
        }
    }
}

fn entry_key(entry: &Json) -> Key {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_text((table, part, key): &Key, (value, version): &(Option<String>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{rest},\"row_version\":{version}}}")
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or("/").to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first == b'%' && tail.len() >= 2 {
            let hex = std::str::from_utf8(&tail[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
