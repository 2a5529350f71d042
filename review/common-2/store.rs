//! A stand-in for the platform: its metadata store and its promotion service, over HTTP/1.1.
//!
//! Each daemon reaches it through a gateway of its own, which can turn the daemon away or lose
//! what passes, so that the store can serve some machines and not others.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::json::{Json, base64, quote};
use crate::members::Group;

/// The table, part and key of a row.
pub type Key = (String, String, String);

/// What a gateway does with the calls of its daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// Calls reach the store.
    Open,
    /// Every call is answered with 503.
    Busy,
    /// Nothing passes in either direction, and nothing is reset until the gateway opens again.
    Cut,
}

/// The contents of the store.
#[derive(Clone, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    changes: Vec<(Key, Option<String>, u64)>,
}

struct Inner {
    now: Rows,
    /// Copies of the contents, each with when it was made, the oldest first.
    copies: VecDeque<(Instant, Rows)>,
    /// Whether the store is away for everyone.
    is_away: bool,
    era: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    started: Instant,
}

/// One daemon's way to the store and to the promotion service.
pub struct Gateway {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    gate: Arc<Mutex<Gate>>,
    /// The number of calls that reached the store.
    calls: Arc<Mutex<u64>>,
}

impl Gateway {
    pub fn set(&self, gate: Gate) {
        *self.gate.lock().unwrap() = gate;
    }

    pub fn calls(&self) -> u64 {
        *self.calls.lock().unwrap()
    }
}

impl Store {
    pub fn new() -> Self {
        let inner = Inner { now: Rows::default(), copies: VecDeque::new(), is_away: false, era: 1 };
        let store = Store { inner: Arc::new((Mutex::new(inner), Condvar::new())), started: Instant::now() };
        let copying = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(250));
            let mut inner = copying.lock();
            if !inner.is_away {
                let copy = (Instant::now(), inner.now.clone());
                inner.copies.push_back(copy);
                while inner.copies.len() > 60 {
                    inner.copies.pop_front();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().unwrap()
    }

    fn now_ms(&self) -> u64 {
        5_000_000 + self.started.elapsed().as_millis() as u64
    }

    /// Writes a row as the operator or a member; returns false if the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        let mut inner = self.lock();
        if inner.is_away {
            return false;
        }
        inner.now.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        inner.now.change(key, Some(base64(value.as_bytes())));
        self.inner.1.notify_all();
        true
    }

    /// Removes a member's row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut inner = self.lock();
        inner.now.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        inner.now.change(key, None);
        self.inner.1.notify_all();
    }

    /// Returns the value of a row, in Base64, and its version.
    pub fn row(&self, table: &str, part: &str, key: &str) -> Option<(String, u64)> {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        self.lock().now.rows.get(&key).cloned()
    }

    /// Takes the store away for everyone.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.inner.1.notify_all();
    }

    /// Brings the store back, with the contents that it had when it went away.
    pub fn come_back(&self) {
        self.lock().is_away = false;
        self.inner.1.notify_all();
    }

    /// Brings the store back from its last copy from before `at`. What the operator and the members
    /// wrote (`op` and `servers`) is written again. Returns the versions before and after.
    pub fn come_back_from_copy(&self, at: Instant) -> (u64, u64) {
        let mut inner = self.lock();
        let before = inner.now.clone();
        let copy = inner.copies.iter().rev().find(|(made, _)| *made <= at);
        let copy = copy.map(|(_, rows)| rows.clone()).unwrap_or_default();
        inner.now = copy;
        inner.era += 1;
        inner.copies.clear();
        let again = before.rows.iter().filter(|(key, _)| key.0 == "op" || key.0 == "servers");
        let again: Vec<_> = again.map(|(key, (value, _))| (key.clone(), value.clone())).collect();
        for (key, value) in again {
            inner.now.version += 1;
            inner.now.change(key, Some(value));
        }
        inner.is_away = false;
        let versions = (before.version, inner.now.version);
        self.inner.1.notify_all();
        versions
    }

    /// Opens a daemon's gateway to the store and to the promotion service of the group.
    pub fn gateway(&self, daemon: &str, group: &Group) -> Gateway {
        let gate = Arc::new(Mutex::new(Gate::Open));
        let calls = Arc::new(Mutex::new(0));
        let store_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let cloud_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Gateway {
            store: store_listener.local_addr().unwrap(),
            cloud: cloud_listener.local_addr().unwrap(),
            gate: gate.clone(),
            calls: calls.clone(),
        };
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in store_listener.incoming().flatten() {
                let (store, gate, calls) = (store.clone(), gate.clone(), calls.clone());
                std::thread::spawn(move || serve_store(&store, &gate, &calls, stream));
            }
        });
        let (group, daemon) = (group.clone(), daemon.to_owned());
        std::thread::spawn(move || {
            for stream in cloud_listener.incoming().flatten() {
                let (group, daemon) = (group.clone(), daemon.clone());
                std::thread::spawn(move || serve_cloud(&group, &daemon, stream));
            }
        });
        gateway
    }

    /// Answers one call.
    fn answer(&self, call: &Call) -> (u16, String) {
        match call.path.as_str() {
            "/-/rows-get" => self.get(call),
            "/-/rows-feed" => self.feed(call),
            "/-/rows-tx" => self.transact(call),
            _ => (404, String::new()),
        }
    }

    fn body(&self, inner: &Inner, rows: &[String], has_more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            inner.now.version,
            self.now_ms()
        )
    }

    fn get(&self, call: &Call) -> (u16, String) {
        let inner = self.lock();
        if inner.is_away {
            return (503, String::new());
        }
        let (table, part) = (call.query("table"), call.query("part"));
        let from = call.query("from");
        let limit: usize = call.query("limit").parse().unwrap_or(500);
        let matching = inner.now.rows.iter().filter(|(key, _)| {
            key.0 == table && key.1 == part && key.2 >= from
        });
        let mut rows: Vec<String> = matching.take(limit + 1).map(|(k, (v, n))| row(k, v, *n, false)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (200, self.body(&inner, &rows, has_more))
    }

    fn feed(&self, call: &Call) -> (u16, String) {
        let table = call.query("table");
        let after: u64 = call.query("after").parse().unwrap_or(0);
        let wait: u64 = call.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.lock();
        loop {
            if inner.is_away {
                return (503, String::new());
            }
            if after > inner.now.version {
                return (410, String::new());
            }
            let changes = inner.now.changes.iter().filter(|(key, _, n)| *n > after && key.0 == table);
            let rows: Vec<String> = changes
                .map(|(key, value, n)| row(key, value.as_deref().unwrap_or(""), *n, value.is_none()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.body(&inner, &rows, false));
            }
            inner = self.inner.1.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Call) -> (u16, String) {
        let Some(body) = Json::parse(&call.body) else {
            return (400, String::new());
        };
        std::thread::sleep(Duration::from_millis(4));
        let mut inner = self.lock();
        if inner.is_away {
            return (503, String::new());
        }
        let key = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let expected = body.list("expected_revision");
        let holds = expected.iter().all(|entry| {
            let present = inner.now.rows.get(&key(entry)).map_or(0, |(_, n)| *n);
            entry.number("row_version") as u64 == present
        });
        if !holds {
            let found = expected.iter().filter_map(|entry| {
                let key = key(entry);
                inner.now.rows.get(&key).map(|(value, n)| row(&key, value, *n, false))
            });
            let found: Vec<String> = found.collect();
            return (412, self.body(&inner, &found, false));
        }
        inner.now.version += 1;
        for entry in body.list("puts") {
            inner.now.change(key(&entry), Some(entry.text("value")));
        }
        for entry in body.list("remove") {
            inner.now.change(key(&entry), None);
        }
        self.inner.1.notify_all();
        (200, self.body(&inner, &[], false))
    }
}

impl Rows {
    fn change(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.changes.push((key, value, self.version));
        if self.changes.len() > 2_000 {
            self.changes.drain(..500);
        }
    }
}

fn row(key: &Key, value: &str, version: u64, is_gone: bool) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"row_version\":{version},\"tombstone\":{is_gone}}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2),
        quote(value)
    )
}

/// One HTTP request.
struct Call {
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Call {
    fn query(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split(' ').nth(1)?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Call {
        path: path.to_owned(),
        query: pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn write_answer(stream: &mut TcpStream, status: u16, era: u64, body: &str) -> bool {
    let answer = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).is_ok()
}

fn serve_store(store: &Store, gate: &Mutex<Gate>, calls: &Mutex<u64>, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let is = |wanted: Gate| *gate.lock().unwrap() == wanted;
    // What was under way in a cut is lost, and its connection is reset when the cut ends.
    let hold = || {
        while is(Gate::Cut) {
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    while let Some(call) = read_call(&mut reader) {
        if is(Gate::Cut) {
            return hold();
        }
        let (status, body) = if is(Gate::Busy) {
            (503, String::new())
        } else {
            *calls.lock().unwrap() += 1;
            let answer = store.answer(&call);
            match *gate.lock().unwrap() {
                Gate::Open => answer,
                Gate::Busy => (503, String::new()),
                Gate::Cut => (0, String::new()),
            }
        };
        if status == 0 {
            return hold();
        }
        let era = store.lock().era;
        if !write_answer(&mut writer, status, era, &body) {
            return;
        }
    }
}

fn serve_cloud(group: &Group, daemon: &str, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader) {
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let header = |name: &str| call.headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("fence-token").parse().unwrap_or(0);
        let status = match call.path.as_str() {
            "/promote" => group.ask_promote(daemon, &header("duty-holder"), token, &body.text("id")),
            _ => 404,
        };
        if !write_answer(&mut writer, status, 1, "{}") {
            return;
        }
    }
}
