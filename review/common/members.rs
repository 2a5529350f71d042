//! Stand-ins for the members of one service, which speak the platform's line protocol.
//!
//! A line ends with CR LF. A commit is sent to the replicas at once, and they apply it at once.
//! A promote takes effect after the set time. The replaced primary goes on until `DEMOTE`, or until
//! a second after that, as it can reach the new one.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

use super::record::Record;
use super::store::Store;

/// How long a replaced primary goes on that can reach the new one.
const OLD_PRIMARY_TIME: Duration = Duration::from_secs(1);

/// How long a new connection takes a slot.
const OPENING: Duration = Duration::from_millis(12);

pub struct GroupSettings {
    pub service: &'static str,
    pub slots: usize,
    pub connections: usize,
    /// How long a read, write or commit takes a slot.
    pub work: Duration,
    pub promote: Duration,
    /// `sync_replicas` of the service: how many replicas must have received a commit before it is
    /// acknowledged.
    pub sync_replicas: usize,
}

/// One statement of a client that a member has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: f64,
    pub member: String,
    pub connection: u64,
    pub id: String,
    /// The text as it came, without `AFTER` and its position.
    pub text: String,
    /// For an `EXECUTE`, what was prepared on the connection under the name.
    pub shape: Option<String>,
    /// The data that a `COMMIT` or a single write added to the log.
    pub committed: Vec<(String, String)>,
    pub rows: Vec<String>,
    /// The signature of a success, or the error.
    pub outcome: String,
    /// Whether another member's promote of a higher term had taken effect when this was committed.
    pub is_superseded: bool,
}

pub struct Group {
    pub settings: GroupSettings,
    state: Mutex<State>,
    free: Condvar,
    store: OnceLock<Arc<Store>>,
    record: Record,
}

struct State {
    members: Vec<Member>,
    runs: Vec<Run>,
    signatures: u64,
    connections: u64,
    /// When each promote took effect, and of which member.
    promotes: Vec<(f64, String)>,
    asked: Vec<f64>,
}

struct Member {
    id: String,
    address: SocketAddr,
    zone: String,
    is_primary: bool,
    is_draining: bool,
    term: u64,
    log: Vec<(String, String)>,
    sequence: u64,
    busy: usize,
    waiting: VecDeque<u64>,
    open: usize,
    /// Whether the member receives nothing from the primary.
    is_deaf: bool,
    /// Whether the member is down: it accepts no connection.
    is_down: bool,
    streams: Vec<TcpStream>,
}

#[derive(Default)]
struct Session {
    number: u64,
    /// Whether a transaction is open, and whether it only reads.
    transaction: Option<bool>,
    failed: bool,
    writes: Vec<(String, String)>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

impl Group {
    /// Starts one member in each zone; the first is the primary.
    pub fn start(
        settings: GroupSettings,
        zones: &[&str],
        store: &Arc<Store>,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (n, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            members.push(Member {
                id: format!("i-{}{n}", settings.service),
                address: listener.local_addr()?,
                zone: (*zone).to_owned(),
                is_primary: n == 0,
                is_draining: false,
                term: 1,
                log: Vec::new(),
                sequence: 0,
                busy: 0,
                waiting: VecDeque::new(),
                open: 0,
                is_deaf: false,
                is_down: false,
                streams: Vec::new(),
            });
            listeners.push(listener);
        }
        let state = State {
            members,
            runs: Vec::new(),
            signatures: 0,
            connections: 0,
            promotes: Vec::new(),
            asked: Vec::new(),
        };
        let group = Arc::new(Self {
            settings,
            state: Mutex::new(state),
            free: Condvar::new(),
            store: OnceLock::new(),
            record: record.clone(),
        });
        let _ = group.store.set(Arc::clone(store));
        store.add_group(Arc::clone(&group));
        for (n, listener) in listeners.into_iter().enumerate() {
            let accepting = Arc::clone(&group);
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&accepting);
                    std::thread::spawn(move || group.serve(n, stream));
                }
            });
            let beating = Arc::clone(&group);
            beating.register(n);
            std::thread::spawn(move || loop {
                std::thread::sleep(Duration::from_millis(1_200));
                if !beating.state.lock().unwrap().members[n].is_down {
                    beating.register(n);
                }
            });
        }
        Ok(group)
    }

    /// Writes a member's entry into the store.
    fn register(&self, n: usize) {
        let entry = {
            let mut state = self.state.lock().unwrap();
            let member = &mut state.members[n];
            member.sequence += 1;
            let text = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\"state\":\"{}\",\"warmup_left_ms\":0,\"db_role\":\"{}\",\"sequence\":{},\"born\":1764800000000}}",
                self.settings.service,
                member.address,
                member.zone,
                self.settings.slots,
                if member.is_draining { "draining" } else { "ready" },
                if member.is_primary { "primary" } else { "replica" },
                member.sequence,
            );
            (member.id.clone(), text)
        };
        if let Some(store) = self.store.get() {
            store.put("servers", &entry.0, &entry.1);
        }
    }

    /// Has a member report that it is draining; it goes on serving.
    pub fn drain(&self, n: usize) {
        {
            let mut state = self.state.lock().unwrap();
            state.members[n].is_draining = true;
            self.record.line(&format!("member {}: reports draining", state.members[n].id));
        }
        self.register(n);
    }

    /// Has a replica receive nothing from now on.
    pub fn deafen(&self, n: usize) {
        let mut state = self.state.lock().unwrap();
        state.members[n].is_deaf = true;
        self.record.line(&format!("member {}: receives nothing from now on", state.members[n].id));
    }

    /// Ends a member's process: its connections break, and new ones are refused.
    pub fn crash(&self, n: usize) {
        let mut state = self.state.lock().unwrap();
        state.members[n].is_down = true;
        self.record.line(&format!("member {}: crashes", state.members[n].id));
        for stream in state.members[n].streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Carries out `POST /promote`; returns false if the group has no such member.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(n) = state.members.iter().position(|member| member.id == id && !member.is_down) else {
            return false;
        };
        let newest = state.members.iter().map(|member| member.term).max();
        if state.members[n].is_primary && Some(state.members[n].term) == newest {
            return true;
        }
        let now = self.record.now();
        state.asked.push(now);
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(group.settings.promote);
            let changed = group.take_lead(n);
            for member in changed {
                group.register(member);
            }
        });
        true
    }

    fn take_lead(self: &Arc<Self>, n: usize) -> Vec<usize> {
        let mut state = self.state.lock().unwrap();
        let newest = state.members.iter().map(|member| member.term).max().unwrap_or(0);
        if state.members[n].is_primary && state.members[n].term == newest {
            return Vec::new();
        }
        let log = state.members[n].log.clone();
        state.members[n].term = newest + 1;
        state.members[n].is_primary = true;
        let id = state.members[n].id.clone();
        let now = self.record.now();
        state.promotes.push((now, id.clone()));
        self.record.line(&format!("member {id}: leads term {} with {} commits; the promote has taken effect", newest + 1, log.len()));
        let mut changed = vec![n];
        let mut old = Vec::new();
        for (other, member) in state.members.iter_mut().enumerate() {
            if other == n {
                continue;
            }
            if member.is_primary {
                old.push(other);
            } else if !member.is_down {
                member.term = newest + 1;
                member.log.clone_from(&log);
                changed.push(other);
            }
        }
        for other in old {
            let group = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(OLD_PRIMARY_TIME);
                group.step_down(other);
                group.register(other);
            });
        }
        changed
    }

    /// Makes a replaced primary follow the newest one; commits that the newest lacks are rolled back.
    fn step_down(&self, n: usize) {
        let mut state = self.state.lock().unwrap();
        let leader = state.members.iter().filter(|member| member.is_primary);
        let Some((term, log)) = leader.max_by_key(|member| member.term).map(|m| (m.term, m.log.clone())) else {
            return;
        };
        let member = &mut state.members[n];
        if member.is_primary && member.term < term {
            let lost = member.log.iter().filter(|entry| !log.contains(entry)).count();
            self.record.line(&format!("member {}: becomes a replica, {lost} commits are rolled back", member.id));
            member.is_primary = false;
            member.term = term;
            member.log = log;
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns when each promote took effect, in milliseconds of the record.
    pub fn promotes(&self) -> Vec<f64> {
        self.state.lock().unwrap().promotes.iter().map(|(at, _)| *at).collect()
    }

    /// Returns when each promote was asked for, in milliseconds of the record.
    pub fn asked(&self) -> Vec<f64> {
        self.state.lock().unwrap().asked.clone()
    }

    /// Returns the log of the present primary.
    pub fn log(&self) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let leader = state.members.iter().filter(|member| member.is_primary);
        leader.max_by_key(|member| member.term).map(|m| m.log.clone()).unwrap_or_default()
    }

    fn serve(self: Arc<Self>, n: usize, stream: TcpStream) {
        let number = {
            let mut state = self.state.lock().unwrap();
            if state.members[n].is_down {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                state.members[n].streams.push(clone);
            }
            state.connections += 1;
            state.members[n].open += 1;
            state.connections
        };
        let _ = self.connection(n, number, stream);
        self.state.lock().unwrap().members[n].open -= 1;
    }

    fn connection(&self, n: usize, number: u64, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut lines = Lines::new(stream.try_clone()?);
        let Some(start) = lines.next()? else {
            return Ok(());
        };
        let fields: Vec<&str> = start.split(' ').collect();
        let (id, open) = {
            let state = self.state.lock().unwrap();
            (state.members[n].id.clone(), state.members[n].open)
        };
        let is_right = fields.len() >= 3
            && fields[0] == "START"
            && fields[1] == self.settings.service
            && fields.get(3).is_none_or(|expected| *expected == id);
        if !is_right {
            return stream.write_all(b"ERROR MISROUTED another member\r\n");
        }
        if open > self.settings.connections {
            return stream.write_all(b"ERROR CONNLIMIT too many connections\r\n");
        }
        self.occupy(n, number, OPENING);
        stream.write_all(format!("READY I {}\r\n", self.position(n)).as_bytes())?;
        let mut session = Session { number, ..Session::default() };
        while let Some(line) = lines.next()? {
            let answer = self.answer(n, &mut session, &line);
            let state = match (session.transaction, session.failed) {
                (None, _) => "I",
                (Some(_), false) => "T",
                (Some(_), true) => "E",
            };
            let ready = format!("{answer}READY {state} {}\r\n", self.position(n));
            stream.write_all(ready.as_bytes())?;
        }
        Ok(())
    }

    /// Takes a slot of a member for a time; those that wait get one in order.
    fn occupy(&self, n: usize, number: u64, time: Duration) {
        let mut state = self.state.lock().unwrap();
        state.members[n].waiting.push_back(number);
        loop {
            let member = &state.members[n];
            if member.busy < self.settings.slots && member.waiting.front() == Some(&number) {
                break;
            }
            state = self.free.wait(state).unwrap();
        }
        state.members[n].waiting.pop_front();
        state.members[n].busy += 1;
        drop(state);
        self.free.notify_all();
        std::thread::sleep(time);
        self.state.lock().unwrap().members[n].busy -= 1;
        self.free.notify_all();
    }

    fn position(&self, n: usize) -> String {
        let state = self.state.lock().unwrap();
        format!("{}.{}", state.members[n].term, state.members[n].log.len())
    }

    /// Returns the lines that answer a line, without the final `READY`.
    fn answer(&self, n: usize, session: &mut Session, line: &str) -> String {
        let done = "COMPLETE -\r\n".to_owned();
        let mut fields = line.splitn(3, ' ');
        let (Some("QUERY"), Some(id), Some(text)) = (fields.next(), fields.next(), fields.next()) else {
            return "ERROR MALFORMED line\r\n".to_owned();
        };
        let (floor, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("0.0", text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if session.failed && verb != "ROLLBACK" && verb != "COMMIT" {
            return "ERROR MALFORMED the transaction has failed\r\n".to_owned();
        }
        match verb {
            "STATUS" => return self.status(n),
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                session.values.insert(name.to_owned(), value.to_owned());
                return done;
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                return done;
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                session.prepared.insert(name.to_owned(), shape.to_owned());
                return done;
            }
            "DEALLOCATE" => {
                session.prepared.remove(rest);
                return done;
            }
            "ROLLBACK" => {
                session.transaction = None;
                session.failed = false;
                session.writes.clear();
                return done;
            }
            "BEGIN" => {
                let reads_only = rest == "READ";
                if !self.has(n, floor) {
                    return "ERROR LAGGING\r\n".to_owned();
                }
                if !reads_only && !self.leads(n) {
                    return format!("ERROR READONLY {}\r\n", self.state.lock().unwrap().members[n].id);
                }
                session.transaction = Some(reads_only);
                return done;
            }
            _ => {}
        }
        let (work, shape, arguments) = match verb {
            "READ" | "WRITE" | "COMMIT" => (verb.to_owned(), None, rest.to_owned()),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some(shape) = session.prepared.get(name) else {
                    return format!("ERROR NOSTMT {name}\r\n");
                };
                let kind = shape.split(' ').next().unwrap_or("READ");
                (kind.to_owned(), Some(shape.clone()), arguments.to_owned())
            }
            _ => return "ERROR MALFORMED statement\r\n".to_owned(),
        };
        self.occupy(n, session.number, self.settings.work);
        let is_superseded = {
            let state = self.state.lock().unwrap();
            state.members.iter().any(|member| member.term > state.members[n].term)
        };
        let run = self.run(n, session, floor, &work, &arguments);
        let mut state = self.state.lock().unwrap();
        let (rows, committed, outcome) = match run {
            Ok((rows, committed)) => {
                state.signatures += 1;
                (rows, committed, format!("{}.{:x}.{n}", state.members[n].term, 0x1f3_0000 + state.signatures))
            }
            Err(code) => (Vec::new(), Vec::new(), format!("ERROR {code}")),
        };
        let member = state.members[n].id.clone();
        let run = Run {
            at_ms: self.record.now(),
            member,
            connection: session.number,
            id: id.to_owned(),
            text: text.to_owned(),
            shape,
            committed,
            rows,
            outcome,
            is_superseded,
        };
        state.runs.push(run.clone());
        drop(state);
        let shape = run.shape.as_ref().map_or_else(String::new, |shape| format!(" (prepared as `{shape}`)"));
        self.record.line(&format!(
            "member {}: ran {} `{}`{shape} on connection {}: {}",
            run.member, run.id, run.text, run.connection, run.outcome
        ));
        if run.outcome.starts_with("ERROR") {
            return format!("{}\r\n", run.outcome);
        }
        let rows: String = run.rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
        format!("{rows}COMPLETE {}\r\n", run.outcome)
    }

    /// Runs a read, write or commit; returns the rows and what was committed.
    #[allow(clippy::type_complexity)]
    fn run(
        &self,
        n: usize,
        session: &mut Session,
        floor: &str,
        work: &str,
        arguments: &str,
    ) -> Result<(Vec<String>, Vec<(String, String)>), String> {
        if !self.has(n, floor) {
            return Err("LAGGING".to_owned());
        }
        let has_lost_lead = session.transaction == Some(false) && !self.leads(n);
        if has_lost_lead && !(work == "COMMIT" && session.writes.is_empty()) {
            session.failed = true;
            return Err("READONLY the lead is lost".to_owned());
        }
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        match work {
            "READ" => {
                let state = self.state.lock().unwrap();
                let own = session.writes.iter().rev().chain(state.members[n].log.iter().rev());
                let found = own.into_iter().find(|(name, _)| name == item);
                Ok((found.map(|(_, data)| data.clone()).into_iter().collect(), Vec::new()))
            }
            "WRITE" if session.transaction.is_some() => {
                session.writes.push((item.to_owned(), data.to_owned()));
                Ok((Vec::new(), Vec::new()))
            }
            "WRITE" => self.commit(n, vec![(item.to_owned(), data.to_owned())]),
            _ => {
                if session.transaction.is_none() || session.failed {
                    session.transaction = None;
                    session.failed = false;
                    return Err("MALFORMED no transaction is open".to_owned());
                }
                session.transaction = None;
                let writes = std::mem::take(&mut session.writes);
                match writes.is_empty() {
                    true => Ok((Vec::new(), Vec::new())),
                    false => self.commit(n, writes),
                }
            }
        }
    }

    #[allow(clippy::type_complexity)]
    fn commit(
        &self,
        n: usize,
        writes: Vec<(String, String)>,
    ) -> Result<(Vec<String>, Vec<(String, String)>), String> {
        let mut state = self.state.lock().unwrap();
        if !state.members[n].is_primary {
            return Err(format!("READONLY {}", state.members[n].id));
        }
        let term = state.members[n].term;
        let mut received = 0;
        for (other, member) in state.members.iter_mut().enumerate() {
            if other == n || (member.term == term && !member.is_deaf && !member.is_down) {
                member.log.extend(writes.iter().cloned());
                received += usize::from(other != n);
            }
        }
        match received < self.settings.sync_replicas {
            true => Err("TIMEOUT no replica has received the commit".to_owned()),
            false => Ok((Vec::new(), writes)),
        }
    }

    fn leads(&self, n: usize) -> bool {
        self.state.lock().unwrap().members[n].is_primary
    }

    /// Returns whether a member's log has a position, written as `TERM.NUMBER`.
    fn has(&self, n: usize, floor: &str) -> bool {
        let (term, number) = floor.split_once('.').unwrap_or((floor, "0"));
        let parse = |text: &str| text.parse::<u64>().unwrap_or(u64::MAX);
        let state = self.state.lock().unwrap();
        let member = &state.members[n];
        (parse(term), parse(number)) <= (member.term, member.log.len() as u64)
    }

    fn status(&self, n: usize) -> String {
        let state = self.state.lock().unwrap();
        let member = &state.members[n];
        let role = if member.is_primary { "primary" } else { "replica" };
        let position = format!("{}.{}", member.term, member.log.len());
        format!(
            "ROW {role} {} {position} {} 0 {} {}\r\nCOMPLETE -\r\n",
            member.term, member.term, member.busy, member.open
        )
    }
}

/// Splits what a connection delivers into lines, which end with CR LF.
pub struct Lines {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, bytes: Vec::new() }
    }

    /// Returns the next line without its end; none at the end of the connection.
    pub fn next(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
                self.bytes.drain(..end + 2);
                return Ok(Some(line));
            }
            let mut buf = [0; 4096];
            let count = self.stream.read(&mut buf)?;
            if count == 0 {
                return Ok(None);
            }
            self.bytes.extend_from_slice(&buf[..count]);
        }
    }
}

/// Waits until a condition holds; returns false if it does not within the limit.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}
