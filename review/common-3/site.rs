//! Stand-ins for a small deployment, in the standard library alone: the platform's store with the operator's
//! configuration, groups of members, clients, and the daemons as separate processes.
//!
//! `site SCENARIO FOLDER` plays a scenario, writes `record.txt` in the folder, and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

type Failure = Box<dyn std::error::Error>;

fn started() -> Instant {
    static AT: OnceLock<Instant> = OnceLock::new();
    *AT.get_or_init(Instant::now)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, in order.
static RECORD: Mutex<String> = Mutex::new(String::new());

fn note(line: &str) {
    let at = started().elapsed().as_millis();
    let mut record = RECORD.lock().unwrap();
    let _ = writeln!(record, "{at:>7} ms  {line}");
}

// ---------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }
    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }
    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip_space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(b, at)? else {
                            return None;
                        };
                        skip_space(b, at);
                        (*b.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.push((key, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *b.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(text).ok()?));
                    }
                    b'\\' => {
                        let escaped = *b.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                text.extend(c.to_string().bytes());
                                *at += 4;
                            }
                            other => text.push(other),
                        }
                    }
                    other => {
                        text.push(other);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while *at < b.len() && !matches!(b[*at], b',' | b'}' | b']') && !b[*at].is_ascii_whitespace() {
                *at += 1;
            }
            match std::str::from_utf8(&b[from..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                number => Some(Json::Number(number.parse().ok()?)),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for k in 0..4 {
            if k <= chunk.len() {
                text.push(BASE64[(n >> (18 - 6 * k) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------- store

type Key = (String, String, String);

/// The rows of the store, and what of them a copy holds.
#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
    changes: Vec<(Key, Option<String>, u64)>,
    returns: u64,
    copy: Option<(BTreeMap<Key, (String, u64)>, u64)>,
    is_down: bool,
    /// The promotions in order: service, server, token.
    promotions: Vec<(String, String, u64)>,
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    members: Members,
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
    }
}

fn row_text(key: &Key, value: &str, version: u64, tombstone: bool) -> String {
    format!(
        "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"value\":\"{value}\",\"row_version\":{version},\"tombstone\":{tombstone}}}",
        key.0, key.1, key.2
    )
}

impl Store {
    fn start(members: Members) -> Result<Self, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            rows: Arc::default(),
            members,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().unwrap()
    }

    /// Writes a row without a part, as the operator and the members do.
    fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.lock();
        rows.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.change(key, value.map(|value| base64(value.as_bytes())));
        drop(rows);
        self.rows.1.notify_all();
    }

    fn configure(&self, config: &str) {
        self.put("op", "config", Some(config));
        note(&format!("operator: the store acknowledges the configuration {config}"));
    }

    /// Makes a copy of the rows, to come back from.
    fn keep_copy(&self) {
        let mut rows = self.lock();
        rows.copy = Some((rows.rows.clone(), rows.version));
        note("platform: the store makes a copy");
    }

    /// Has the store answer 503 for a while.
    fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.rows.1.notify_all();
        note(&format!("platform: the store is {}", if is_down { "away" } else { "back" }));
    }

    /// Has the store come back from the copy.
    fn return_from_copy(&self) {
        let mut rows = self.lock();
        let (copied, version) = rows.copy.clone().unwrap_or_default();
        (rows.rows, rows.version) = (copied, version);
        rows.changes.retain(|(_, _, at)| *at <= version);
        rows.returns += 1;
        note(&format!("platform: the store comes back from the copy, in era {}", rows.returns + 1));
        drop(rows);
        self.rows.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Result<(), Failure> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            let mut length = 0;
            let mut token = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header)?;
                let header = header.trim_end().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse()?;
                }
                if let Some(value) = header.strip_prefix("fence-token:") {
                    token = value.trim().parse()?;
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let (status, answer) = match path {
                _ if self.lock().is_down => (503, String::new()),
                "/-/rows-get" => self.rows_get(&query),
                "/-/rows-feed" => self.rows_feed(&query),
                "/-/rows-tx" => self.rows_tx(&body),
                "/promote" => self.promote(&body, token),
                _ => (404, String::new()),
            };
            let era = self.lock().returns + 1;
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all(&[head.as_bytes(), answer.as_bytes()].concat())?;
        }
    }

    fn answer(&self, rows: &Rows, list: &[String], has_more: bool) -> String {
        let now = started().elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"row_version\":{},\"now_ms\":{now}}}",
            list.join(","),
            rows.version
        )
    }

    fn rows_get(&self, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let (table, part) = (text("table"), text("part"));
        let rows = self.lock();
        let list: Vec<String> = rows
            .rows
            .iter()
            .filter(|(key, _)| key.0 == table && key.1 == part)
            .map(|(key, (value, version))| row_text(key, value, *version, false))
            .collect();
        (200, self.answer(&rows, &list, false))
    }

    fn rows_feed(&self, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").copied().unwrap_or_default();
        let (after, until) = (number("after"), Instant::now() + ms(number("wait_ms")));
        let mut rows = self.lock();
        loop {
            if rows.is_down {
                return (503, String::new());
            }
            if after > rows.version {
                return (410, String::new());
            }
            let list: Vec<String> = rows
                .changes
                .iter()
                .filter(|(key, _, version)| key.0 == table && *version > after)
                .map(|(key, value, version)| {
                    row_text(key, value.as_deref().unwrap_or_default(), *version, value.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !list.is_empty() || left.is_zero() {
                return (200, self.answer(&rows, &list, false));
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, String::new());
        };
        thread::sleep(ms(4));
        let key = |entry: &Json| -> Key {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.lock();
        if rows.is_down {
            return (503, String::new());
        }
        let expected = call.get("expected_revision").list();
        let holds = expected.iter().all(|entry| {
            let present = rows.rows.get(&key(entry)).map_or(0, |(_, version)| *version);
            present == entry.get("row_version").number()
        });
        if !holds {
            let list: Vec<String> = expected
                .iter()
                .filter_map(|entry| {
                    let key = key(entry);
                    let (value, version) = rows.rows.get(&key)?;
                    Some(row_text(&key, value, *version, false))
                })
                .collect();
            return (412, self.answer(&rows, &list, false));
        }
        rows.version += 1;
        for entry in call.get("puts").list() {
            rows.change(key(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in call.get("remove").list() {
            rows.change(key(entry), None);
        }
        self.rows.1.notify_all();
        (200, self.answer(&rows, &[], false))
    }

    fn promote(&self, body: &[u8], token: u64) -> (u16, String) {
        let call = Json::parse(body).unwrap_or(Json::Null);
        let (service, id) = (call.get("service").text(), call.get("id").text());
        note(&format!("platform: promote {id} in {service}, token {token}"));
        self.lock().promotions.push((service.to_owned(), id.to_owned(), token));
        match self.members.promote(self, service, id) {
            true => (200, "{}".to_owned()),
            false => (409, "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------------------------------------- members

/// How long a promotion takes.
const PROMOTE_TIME: u64 = 300;

#[derive(Clone, Debug)]
struct Commit {
    item: String,
    data: String,
    /// When reads at this member see it.
    applied: Instant,
}

#[derive(Debug)]
struct Member {
    id: String,
    service: String,
    zone: &'static str,
    address: SocketAddr,
    is_primary: bool,
    is_draining: bool,
    term: u64,
    log: Vec<Commit>,
    /// How often it has started; its entry tells it as the time of the start.
    starts: u64,
    /// Until when it is dark: it runs on, but nothing gets to it or from it.
    dark_until: Option<Instant>,
    /// Since when it, as a primary that has been succeeded, has reached the new one.
    reaches_since: Option<Instant>,
    /// The present connections.
    streams: Vec<TcpStream>,
}

impl Clone for Member {
    fn clone(&self) -> Self {
        Self {
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            log: self.log.clone(),
            streams: Vec::new(),
            ..*self
        }
    }
}

/// One statement as a member ran it.
#[derive(Clone, Debug)]
struct Run {
    at: Instant,
    member: String,
    service: String,
    /// The client or account that the connection was opened for.
    client: String,
    id: String,
    text: String,
    /// The number of commits that the log held for reads as it ran.
    position: usize,
    /// The member's term, and the highest one of the service.
    term: u64,
    newest_term: u64,
}

#[derive(Default)]
struct Group {
    members: Vec<Member>,
    /// How long after its receipt a commit is applied at a replica.
    lag: Duration,
    runs: Vec<Run>,
    /// When the first promotion took effect.
    promoted: Option<Instant>,
}

impl Group {
    /// Returns the highest term that any member of a service has.
    fn newest_term(&self, service: &str) -> u64 {
        let members = self.members.iter().filter(|m| m.service == service);
        members.map(|m| m.term).max().unwrap_or(0)
    }

    /// Has the members that reach the newest primary of each service receive its log. A primary that has been
    /// succeeded follows it a second after it can reach it.
    fn replicate(&mut self) {
        let now = Instant::now();
        let leaders: Vec<Member> = self
            .members
            .iter()
            .filter(|m| m.is_primary && !m.is_dark() && m.term == self.newest_term(&m.service))
            .cloned()
            .collect();
        for member in &mut self.members {
            let of_service = |leader: &&Member| leader.service == member.service && leader.id != member.id;
            let leader = leaders.iter().find(of_service).filter(|_| !member.is_dark());
            let Some(leader) = leader else {
                member.reaches_since = None;
                continue;
            };
            if member.is_primary {
                let since = *member.reaches_since.get_or_insert(now);
                if now < since + ms(1_000) {
                    continue;
                }
                note(&format!("members: {} follows {}, which leads term {}", member.id, leader.id, leader.term));
            }
            if member.term < leader.term || member.log.len() < leader.log.len() {
                member.is_primary = false;
                member.term = leader.term;
                member.log = leader.log.clone();
            }
        }
    }
}

#[derive(Clone, Default)]
struct Members(Arc<Mutex<Group>>);

#[derive(Default)]
struct Session {
    client: String,
    is_open: bool,
    reads_only: bool,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, String>,
}

impl Member {
    fn is_dark(&self) -> bool {
        self.dark_until.is_some_and(|until| Instant::now() < until)
    }
    fn applied(&self) -> usize {
        let now = Instant::now();
        let seen = self.log.iter().take_while(|commit| commit.applied <= now);
        seen.count()
    }
    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":2,\"state\":\"{}\",\"warmup_left_ms\":0,\"db_role\":\"{}\",\"sequence\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            if self.is_draining { "draining" } else { "ready" },
            if self.is_primary { "primary" } else { "replica" },
            1_700_000_000_000 + self.starts,
        )
    }
}

impl Members {
    fn lock(&self) -> MutexGuard<'_, Group> {
        self.0.lock().unwrap()
    }

    /// Has members receive what they lack, as soon as they reach their primary.
    fn keep_replicating(&self) {
        let members = self.clone();
        thread::spawn(move || {
            loop {
                members.lock().replicate();
                thread::sleep(ms(20));
            }
        });
    }

    /// Starts a member of a service in each zone; the first one is the primary.
    fn add_service(&self, service: &str, zones: &[&'static str]) -> Result<(), Failure> {
        for (n, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let id = format!("i-{service}-{n}");
            self.lock().members.push(Member {
                id: id.clone(),
                service: service.to_owned(),
                zone,
                address: listener.local_addr()?,
                is_primary: n == 0,
                is_draining: false,
                term: 1,
                log: Vec::new(),
                starts: 1,
                dark_until: None,
                reaches_since: None,
                streams: Vec::new(),
            });
            let members = self.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (members, id) = (members.clone(), id.clone());
                    thread::spawn(move || {
                        let _ = members.serve(&id, stream);
                    });
                }
            });
        }
        Ok(())
    }

    fn register(&self, store: &Store) {
        let members = self.lock().members.clone();
        for member in members {
            store.put("servers", &member.id, Some(&member.entry()));
        }
    }

    fn find<'a>(group: &'a mut Group, id: &str) -> &'a mut Member {
        group.members.iter_mut().find(|m| m.id == id).unwrap()
    }

    fn promote(&self, store: &Store, service: &str, id: &str) -> bool {
        let mut group = self.lock();
        if !group.members.iter().any(|m| m.id == id && m.service == service) {
            return false;
        }
        if Self::find(&mut group, id).is_primary {
            return true;
        }
        drop(group);
        let (members, store, service, id) =
            (self.clone(), store.clone(), service.to_owned(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(ms(PROMOTE_TIME));
            let mut group = members.lock();
            group.promoted.get_or_insert_with(Instant::now);
            let term = group.newest_term(&service) + 1;
            let new = Self::find(&mut group, &id);
            (new.is_primary, new.term) = (true, term);
            note(&format!("members: {id} leads term {term} with {} commits", new.log.len()));
            group.replicate();
            drop(group);
            members.register(&store);
        });
        true
    }

    fn serve(&self, me: &str, stream: TcpStream) -> Result<(), Failure> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut lines = BufReader::new(stream).split(b'\n');
        let mut next = || -> Option<String> {
            let line = lines.next()?.ok()?;
            Some(String::from_utf8_lossy(&line).trim_end_matches('\r').to_owned())
        };
        let start = next().unwrap_or_default();
        self.wait_while_dark(me);
        let service = Self::find(&mut self.lock(), me).service.clone();
        let words: Vec<&str> = start.split(' ').collect();
        let mut session = Session::default();
        match words[..] {
            ["START", to, client, id] if to == service && id == me => session.client = client.to_owned(),
            _ => return Ok(writer.write_all(b"ERROR MISROUTED another member\r\n")?),
        }
        Self::find(&mut self.lock(), me).streams.push(writer.try_clone()?);
        thread::sleep(ms(12));
        writer.write_all(format!("READY I {}\r\n", self.position(me)).as_bytes())?;
        while let Some(line) = next() {
            let fields: Vec<&str> = line.splitn(3, ' ').collect();
            let ["QUERY", id, text] = fields[..] else {
                return Ok(());
            };
            self.wait_while_dark(me);
            let answer = self.answer(me, &mut session, id, text);
            self.wait_while_dark(me);
            let state = if session.is_open { "T" } else { "I" };
            let answer = format!("{answer}READY {state} {}\r\n", self.position(me));
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn wait_while_dark(&self, me: &str) {
        while Self::find(&mut self.lock(), me).is_dark() {
            thread::sleep(ms(5));
        }
    }

    /// Has a member go dark for a time.
    fn darken(&self, id: &str, time: Duration) {
        Self::find(&mut self.lock(), id).dark_until = Some(Instant::now() + time);
        note(&format!("member {id} is dark for {} ms", time.as_millis()));
    }

    fn position(&self, me: &str) -> String {
        let mut group = self.lock();
        let member = Self::find(&mut group, me);
        format!("{}.{}", member.term, member.applied())
    }

    fn answer(&self, me: &str, session: &mut Session, id: &str, text: &str) -> String {
        let done = || "COMPLETE -\r\n".to_owned();
        let (floor, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("0.0", text),
        };
        if id != "-" {
            thread::sleep(ms(3));
        }
        let mut group = self.lock();
        let lag = group.lag;
        let member = Self::find(&mut group, me).clone();
        let (term, number) = floor.split_once('.').unwrap_or(("0", "0"));
        let floor = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        if (member.term, member.applied()) < floor {
            return "ERROR LAGGING\r\n".to_owned();
        }
        let (mut verb, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let shape;
        if verb == "EXECUTE" {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(prepared) = session.prepared.get(name) else {
                return format!("ERROR NOSTMT {name}\r\n");
            };
            shape = prepared.split(' ').next().unwrap_or_default().to_owned();
            (verb, rest) = (&shape, arguments);
        }
        if id != "-" {
            let run = Run {
                at: Instant::now(),
                member: me.to_owned(),
                service: member.service.clone(),
                client: session.client.clone(),
                id: id.to_owned(),
                text: text.to_owned(),
                position: member.applied(),
                term: member.term,
                newest_term: group.newest_term(&member.service),
            };
            note(&format!(
                "member {me} of {} ({}): runs {id} `{text}` on a connection of `{}`, log at {}.{}",
                run.service,
                if member.is_primary { "primary" } else { "replica" },
                run.client,
                member.term,
                run.position
            ));
            group.runs.push(run);
        }
        match verb {
            "STATUS" => format!(
                "ROW {} {} {}.{} 0 0 0 1\r\nCOMPLETE -\r\n",
                if member.is_primary { "primary" } else { "replica" },
                member.term,
                member.term,
                member.log.len()
            ),
            "BEGIN" if rest != "READ" && !member.is_primary => "ERROR READONLY\r\n".to_owned(),
            "BEGIN" => {
                session.is_open = true;
                session.reads_only = rest == "READ";
                done()
            }
            "ROLLBACK" => {
                session.is_open = false;
                session.writes.clear();
                done()
            }
            "RESET" => {
                session.prepared.clear();
                done()
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                session.prepared.insert(name.to_owned(), shape.to_owned());
                done()
            }
            "READ" => {
                let seen = &member.log[..member.applied()];
                let found = seen.iter().rev().find(|commit| commit.item == rest);
                let row = found.map(|c| format!("ROW {}\r\n", c.data)).unwrap_or_default();
                format!("{row}COMPLETE s-{me}-{id}\r\n")
            }
            "WRITE" | "COMMIT" => {
                if !member.is_primary && !(verb == "COMMIT" && session.writes.is_empty()) {
                    session.is_open = false;
                    session.writes.clear();
                    return "ERROR READONLY\r\n".to_owned();
                }
                if verb == "WRITE" {
                    let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                    session.writes.push((item.to_owned(), data.to_owned()));
                }
                if verb == "COMMIT" || !session.is_open {
                    session.is_open = false;
                    let now = Instant::now();
                    for (item, data) in std::mem::take(&mut session.writes) {
                        for other in group.members.iter_mut() {
                            let receives = other.id == me || !other.is_dark();
                            if other.service == member.service && other.term == member.term && receives {
                                let late = if other.is_primary { Duration::ZERO } else { lag };
                                other.log.push(Commit {
                                    item: item.clone(),
                                    data: data.clone(),
                                    applied: now + late,
                                });
                            }
                        }
                    }
                }
                format!("COMPLETE s-{me}-{id}\r\n")
            }
            _ => done(),
        }
    }

    /// Has a member crash and start again at once under its id, with nothing of what it had.
    fn start_again(&self, store: &Store, id: &str) {
        let mut group = self.lock();
        let member = Self::find(&mut group, id);
        for stream in member.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        (member.is_primary, member.term, member.starts) = (false, 0, member.starts + 1);
        member.log.clear();
        note(&format!("member {id} crashes and starts again under its id, with an empty log, as a replica"));
        let entry = member.entry();
        drop(group);
        store.put("servers", id, Some(&entry));
    }

    /// Has a member say in its entry that it leaves.
    fn say_draining(&self, store: &Store, id: &str) {
        let mut group = self.lock();
        let member = Self::find(&mut group, id);
        member.is_draining = true;
        let entry = member.entry();
        drop(group);
        store.put("servers", id, Some(&entry));
        note(&format!("member {id}: the store acknowledges that it is draining"));
    }

    /// Returns how a statement ran, if it did.
    fn run_of(&self, id: &str) -> Option<Run> {
        self.lock().runs.iter().rev().find(|run| run.id == id).cloned()
    }
}

// ---------------------------------------------------------------------------------------------- daemons

/// The daemons of the deployment; they end with it.
#[derive(Default)]
struct Daemons(Vec<Daemon>);

struct Daemon {
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address with a free port of the loopback address of daemon `n`. No other process takes the port before
/// the daemon does: connections come from 127.0.0.1.
fn free_address(n: usize) -> Result<SocketAddr, Failure> {
    let pid = std::process::id();
    let ip = format!("127.{}.{}.{}:0", 65 + pid % 60, 1 + pid / 60 % 250, n + 1);
    Ok(TcpListener::bind(ip)?.local_addr()?)
}

fn run_daemon(settings: &PathBuf, log: &PathBuf) -> Result<Child, Failure> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    // The command of the deploy file, with another place for the settings.
    let child = Command::new("target/release/sapphireslipd")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(child)
}

impl Daemons {
    fn add(&mut self, folder: &PathBuf, name: &str, zone: &str, store: SocketAddr, has_accounts: bool) -> Result<(), Failure> {
        let n = self.0.len();
        let (callers, readiness) = (free_address(n)?, free_address(n)?);
        let (peers, metrics) = (free_address(n)?, free_address(n)?);
        // As `deploy/settings.toml.template` renders it for a small deployment.
        let rates = match has_accounts {
            true => "rate_window = \"5s\"\nrate_overshoot = \"0.1\"\nrate_slack = \"20\"\n",
            false => "",
        };
        let text = format!(
            "vm = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\nlog_level = \"info\"\ndrain_bound = \"6s\"\n\
             server_drain_bound = \"7000ms\"\nsettle_time = \"4000ms\"\nprocessor_share = \"0.25\"\n{rates}\n\
             [store]\naddress = \"{store}\"\n\n[promotion]\naddress = \"{store}\"\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text)?;
        let child = run_daemon(&settings, &log)?;
        note(&format!("daemon {name} in zone {zone} is started, for clients at {callers}"));
        self.0.push(Daemon { name: name.to_owned(), callers, readiness, child });
        Ok(())
    }

    fn wait_ready(&self) -> Result<(), Failure> {
        for daemon in &self.0 {
            let until = Instant::now() + ms(20_000);
            while !is_ready(daemon.readiness) {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", daemon.name).into());
                }
                thread::sleep(ms(50));
            }
        }
        note("all daemons are ready");
        Ok(())
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> Result<bool, Failure> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(ms(1_000)))?;
        stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}

// ---------------------------------------------------------------------------------------------- clients

/// A client's session.
struct Client {
    name: String,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    statements: usize,
}

#[derive(Debug)]
struct Answer {
    id: String,
    rows: Vec<String>,
    end: String,
}

impl Answer {
    fn is_success(&self) -> bool {
        self.end.starts_with("COMPLETE")
    }
}

impl Client {
    fn open(name: &str, to: SocketAddr, start: &str) -> Result<Self, Failure> {
        let writer = TcpStream::connect(to)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(ms(5_000)))?;
        let reader = BufReader::new(writer.try_clone()?);
        let mut client = Self { name: name.to_owned(), writer, reader, statements: 0 };
        client.writer.write_all(format!("START {start}\r\n").as_bytes())?;
        let line = client.line()?;
        note(&format!("client {name}: START {start} -> {line}"));
        if !line.starts_with("READY") {
            return Err(format!("the session was refused: {line}").into());
        }
        Ok(client)
    }

    fn line(&mut self) -> Result<String, Failure> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err("the connection was closed".into());
        }
        Ok(line.trim_end().to_owned())
    }

    fn query(&mut self, text: &str) -> Result<Answer, Failure> {
        self.statements += 1;
        let id = format!("{}-{}", self.name, self.statements);
        note(&format!("client {}: sends {id} `{text}`", self.name));
        self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let (mut rows, mut end) = (Vec::new(), String::new());
        loop {
            let line = self.line()?;
            match line.split_once(' ') {
                Some(("ROW", data)) => rows.push(data.to_owned()),
                Some(("READY", state)) => {
                    note(&format!("client {}: {id} is answered {rows:?} {end}, READY {state}", self.name));
                    return Ok(Answer { id, rows, end });
                }
                _ => end = line,
            }
        }
    }
}

/// Writes through new sessions until one write is acknowledged, so that the deployment serves.
fn wait_for_service(to: SocketAddr, start: &str) -> Result<(), Failure> {
    let until = Instant::now() + ms(20_000);
    for n in 1.. {
        let attempt = || -> Result<bool, Failure> {
            let mut client = Client::open(&format!("first{n}"), to, start)?;
            Ok(client.query("WRITE first 0")?.is_success())
        };
        if attempt().unwrap_or(false) {
            return Ok(());
        }
        if Instant::now() > until {
            return Err("no write was served".into());
        }
        thread::sleep(ms(200));
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------- scenarios

/// A deployment: a store, services with a member in each zone, and a daemon in each zone.
struct Site {
    store: Store,
    members: Members,
    daemons: Daemons,
    folder: PathBuf,
}

const ZONES: [&str; 3] = ["a", "b", "c"];

impl Site {
    fn start(services: &[&str], config: &str) -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let members = Members::default();
        members.lock().lag = ms(20);
        for service in services {
            members.add_service(service, &ZONES)?;
        }
        members.keep_replicating();
        let store = Store::start(members.clone())?;
        members.register(&store);
        store.configure(config);
        let mut daemons = Daemons::default();
        for zone in ZONES {
            daemons.add(&folder, &format!("vm-{zone}"), zone, store.address, config.contains("tenants"))?;
        }
        let site = Self { store, members, daemons, folder };
        site.daemons.wait_ready()?;
        Ok(site)
    }

    fn callers(&self, n: usize) -> SocketAddr {
        self.daemons.0[n].callers
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.0.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

include!("scenarios.rs");

fn main() {
    started();
    let args: Vec<String> = std::env::args().collect();
    let (scenario, folder) = (args[1].as_str(), args[2].as_str());
    let outcome = play(scenario);
    let code = match &outcome {
        Ok(breaks) if breaks.is_empty() => {
            note("verdict: the rule held");
            0
        }
        Ok(breaks) => {
            for line in breaks {
                note(&format!("BROKEN: {line}"));
                println!("{line}");
            }
            1
        }
        Err(err) => {
            note(&format!("the case could not run: {err}"));
            println!("the case could not run: {err}");
            2
        }
    };
    let record = RECORD.lock().unwrap().clone();
    let _ = std::fs::write(PathBuf::from(folder).join("record.txt"), record);
    std::process::exit(code);
}
