//! A stand-in for the members of one service: a primary and its replicas, which speak the wire
//! protocol, replicate commits and are promoted by the platform.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::store::Store;

/// How long after its promotion a member leads.
const PROMOTE: Duration = Duration::from_millis(300);

/// How long an old primary that reaches the new one continues.
const OLD_PRIMARY: Duration = Duration::from_millis(1_000);

/// How long after a commit replicas have received it, and applied it.
const RECEIVED_AFTER: Duration = Duration::from_millis(2);
const APPLIED_AFTER: Duration = Duration::from_millis(20);

/// The slots of a member, and the statements that may wait for one.
const SLOTS: usize = 2;
const QUEUE: usize = 16;

/// How long a statement occupies a slot.
const WORK: Duration = Duration::from_millis(3);

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const CONNECTIONS_MAX: usize = 16;

/// A commit in a log. Its number is its place in the log, from 1.
#[derive(Clone, Debug)]
pub struct Commit {
    pub id: String,
    pub item: String,
    pub data: String,
    pub member: usize,
    pub term: u64,
    pub number: u64,
    pub at: Instant,
}

/// A statement that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub text: String,
    pub member: usize,
    /// Whether the member acted as primary, its term, and the end of the log that it saw.
    pub is_primary: bool,
    pub term: u64,
    pub number: u64,
    pub at: Instant,
    pub outcome: String,
}

/// A call for a promotion.
#[derive(Clone, Debug)]
pub struct Order {
    pub daemon: String,
    pub holder: String,
    pub token: u64,
    pub id: String,
    pub at: Instant,
}

/// A promotion that took effect.
#[derive(Clone, Debug)]
pub struct Effect {
    pub member: usize,
    pub term: u64,
    pub at: Instant,
}

struct Member {
    id: String,
    zone: String,
    address: SocketAddr,
    is_primary: bool,
    term: u64,
    log: Vec<Arc<Commit>>,
    /// The received and the applied part of the log; a primary has both in full.
    applied: usize,
    is_draining: bool,
    is_gone: bool,
    /// Whether the member has crashed; its port is closed until it is back.
    is_down: bool,
    /// Whether the member, as a replica, receives nothing.
    is_deaf: bool,
    /// Whether the member is silent: it receives and answers nothing, and its connections stay open.
    is_dark: bool,
    /// The connections, to break them in a crash.
    streams: Vec<TcpStream>,
    sequence: u64,
    connections: usize,
    running: usize,
    waiting: usize,
}

struct Inner {
    members: Vec<Member>,
    runs: Vec<Run>,
    commits: Vec<Arc<Commit>>,
    orders: Vec<Order>,
    effects: Vec<Effect>,
    signatures: u64,
    /// Whether a commit is acknowledged once one replica has received it (`sync_replicas` 1).
    is_sync: bool,
    /// How long the platform takes to carry out the calls for a promotion that come in now.
    promotion_delay: Duration,
}

/// The members of a service; clones share them.
#[derive(Clone)]
pub struct Group {
    pub service: String,
    inner: Arc<(Mutex<Inner>, Condvar)>,
    store: Store,
}

/// The state of one connection.
#[derive(Default)]
struct Connection {
    transaction: Option<Transaction>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

struct Transaction {
    reads_only: bool,
    term: u64,
    has_failed: bool,
    writes: Vec<(String, String, String)>,
}

impl Group {
    /// Starts one member in each of the zones; that in `primary` leads.
    pub fn start(service: &str, zones: &[&str], primary: usize, store: &Store) -> Self {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (n, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            members.push(Member {
                id: format!("i-{n}{n}{n}"),
                zone: (*zone).to_owned(),
                address: listener.local_addr().unwrap(),
                is_primary: n == primary,
                term: 1,
                log: Vec::new(),
                applied: 0,
                is_draining: false,
                is_gone: false,
                is_down: false,
                is_deaf: false,
                is_dark: false,
                streams: Vec::new(),
                sequence: 0,
                connections: 0,
                running: 0,
                waiting: 0,
            });
            listeners.push(listener);
        }
        let inner = Inner {
            members,
            runs: Vec::new(),
            commits: Vec::new(),
            orders: Vec::new(),
            effects: Vec::new(),
            signatures: 0,
            is_sync: false,
            promotion_delay: Duration::ZERO,
        };
        let group = Group {
            service: service.to_owned(),
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
            store: store.clone(),
        };
        for (n, listener) in listeners.into_iter().enumerate() {
            let accepting = group.clone();
            std::thread::spawn(move || accepting.accept(n, listener));
            let beating = group.clone();
            std::thread::spawn(move || loop {
                let pause = if beating.beat(n) { HEARTBEAT } else { Duration::from_millis(100) };
                std::thread::sleep(pause);
            });
        }
        let replicating = group.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(1));
            replicating.replicate();
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().unwrap()
    }

    /// Accepts connections to a member. While it is down, its port is closed.
    fn accept(&self, n: usize, listener: TcpListener) {
        let address = listener.local_addr().unwrap();
        let mut listener = Some(listener);
        loop {
            let is_down = self.lock().members[n].is_down;
            match &listener {
                Some(_) if is_down => listener = None,
                None if !is_down => listener = TcpListener::bind(address).ok(),
                Some(open) => {
                    open.set_nonblocking(true).ok();
                    if let Ok((stream, _)) = open.accept() {
                        stream.set_nonblocking(false).ok();
                        let group = self.clone();
                        std::thread::spawn(move || group.serve(n, stream));
                        continue;
                    }
                }
                None => {}
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Has a member crash: its connections break, and its port is closed.
    pub fn crash(&self, n: usize) {
        let mut inner = self.lock();
        inner.members[n].is_down = true;
        for stream in inner.members[n].streams.drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// Starts a crashed member again with its log, as a replica if another member leads.
    pub fn start_again(&self, n: usize) {
        let mut inner = self.lock();
        let leader = inner.members.iter().enumerate().filter(|(other, m)| *other != n && m.is_primary && !m.is_gone);
        let leader = leader.max_by_key(|(_, m)| m.term).map(|(other, _)| other);
        if let Some(leader) = leader.filter(|leader| inner.members[*leader].term >= inner.members[n].term) {
            let (term, log) = (inner.members[leader].term, inner.members[leader].log.clone());
            let member = &mut inner.members[n];
            let same = member.log.iter().zip(&log).take_while(|(own, other)| own.id == other.id).count();
            member.is_primary = false;
            member.term = term;
            member.log.truncate(same);
            member.applied = member.applied.min(same);
        }
        inner.members[n].is_down = false;
        drop(inner);
        self.beat(n);
    }

    /// Has commits wait until one replica has received them.
    pub fn set_sync(&self) {
        self.lock().is_sync = true;
    }

    /// Has a replica receive nothing, or receive again.
    pub fn set_deaf(&self, n: usize, is_deaf: bool) {
        self.lock().members[n].is_deaf = is_deaf;
    }

    /// Has a member go silent, or answer again.
    pub fn set_dark(&self, n: usize, is_dark: bool) {
        self.lock().members[n].is_dark = is_dark;
    }

    /// Waits while a member is silent.
    fn wait_while_dark(&self, n: usize) {
        while self.lock().members[n].is_dark {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a replica has received a member's commit, if that is asked for; returns false if the
    /// member has crashed or lost the lead meanwhile.
    fn wait_for_replica(&self, n: usize, term: u64, number: usize) -> bool {
        loop {
            let inner = self.lock();
            let member = &inner.members[n];
            if member.is_down || member.term != term || !member.is_primary {
                return false;
            }
            let mut replicas = inner.members.iter().enumerate().filter(|(other, _)| *other != n);
            let is_received =
                replicas.any(|(_, m)| !m.is_primary && m.term == term && m.log.len() >= number);
            if !inner.is_sync || is_received {
                return true;
            }
            drop(inner);
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sets how long the platform takes from now on to carry out a call for a promotion.
    pub fn set_promotion_delay(&self, delay: Duration) {
        self.lock().promotion_delay = delay;
    }

    /// Writes a member's row; returns whether that was done or is over.
    fn beat(&self, n: usize) -> bool {
        let mut inner = self.lock();
        let member = &mut inner.members[n];
        if member.is_gone || member.is_down || member.is_dark {
            return true;
        }
        member.sequence += 1;
        let role = if member.is_primary { "primary" } else { "replica" };
        let state = if member.is_draining { "draining" } else { "ready" };
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{SLOTS},\"state\":\"{state}\",\"warmup_left_ms\":0,\"db_role\":\"{role}\",\"sequence\":{}}}",
            self.service, member.address, member.zone, member.sequence
        );
        let id = member.id.clone();
        drop(inner);
        self.store.put("servers", &id, &row)
    }

    /// Has a member say that it leaves, and returns when the store had accepted that.
    pub fn drain(&self, n: usize) -> Instant {
        self.lock().members[n].is_draining = true;
        while !self.beat(n) {
            std::thread::sleep(Duration::from_millis(20));
        }
        Instant::now()
    }

    /// Ends a member that leaves.
    pub fn leave(&self, n: usize) {
        let mut inner = self.lock();
        inner.members[n].is_gone = true;
        let id = inner.members[n].id.clone();
        drop(inner);
        self.store.remove("servers", &id);
    }

    /// Returns the member that acts as primary in the highest term, and that term.
    pub fn primary(&self) -> (usize, u64) {
        let inner = self.lock();
        let leading = inner.members.iter().enumerate().filter(|(_, m)| m.is_primary);
        leading.map(|(n, m)| (m.term, n)).max().map(|(term, n)| (n, term)).unwrap_or_default()
    }

    pub fn id(&self, n: usize) -> String {
        self.lock().members[n].id.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn commits(&self) -> Vec<Arc<Commit>> {
        self.lock().commits.clone()
    }

    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
    }

    /// Returns the log of the present primary.
    pub fn log(&self) -> Vec<Arc<Commit>> {
        let (n, _) = self.primary();
        self.lock().members[n].log.clone()
    }

    /// Takes a call for a promotion; returns the status of the answer.
    pub fn ask_promote(&self, daemon: &str, holder: &str, token: u64, id: &str) -> u16 {
        let mut inner = self.lock();
        inner.orders.push(Order {
            daemon: daemon.to_owned(),
            holder: holder.to_owned(),
            token,
            id: id.to_owned(),
            at: Instant::now(),
        });
        let delay = inner.promotion_delay;
        drop(inner);
        std::thread::sleep(delay);
        let inner = self.lock();
        let Some(n) = inner.members.iter().position(|m| m.id == id && !m.is_gone && !m.is_down) else {
            return 409;
        };
        let top = inner.members.iter().map(|m| m.term).max().unwrap_or(0);
        if inner.members[n].is_primary && inner.members[n].term == top {
            return 200;
        }
        drop(inner);
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE);
            group.promote(n);
        });
        200
    }

    /// Makes a member the primary of the next term, with what it has received.
    fn promote(&self, n: usize) {
        let mut inner = self.lock();
        let term = inner.members.iter().map(|m| m.term).max().unwrap_or(0) + 1;
        if inner.members[n].is_primary || inner.members[n].is_gone || inner.members[n].is_down {
            return;
        }
        inner.members[n].is_primary = true;
        inner.members[n].term = term;
        inner.members[n].applied = inner.members[n].log.len();
        let log = inner.members[n].log.clone();
        for (other, member) in inner.members.iter_mut().enumerate() {
            if other != n && !member.is_primary && !member.is_down {
                member.term = term;
                member.log.truncate(log.len());
                member.applied = member.applied.min(log.len());
            }
        }
        inner.effects.push(Effect { member: n, term, at: Instant::now() });
        drop(inner);
        self.beat(n);
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(OLD_PRIMARY);
            group.follow(n, term);
        });
    }

    /// Makes the primaries of earlier terms replicas of a primary.
    fn follow(&self, leader: usize, term: u64) {
        let mut inner = self.lock();
        let log = inner.members[leader].log.clone();
        let mut changed = Vec::new();
        for (n, member) in inner.members.iter_mut().enumerate() {
            if n != leader && member.is_primary && member.term < term {
                member.is_primary = false;
                member.term = term;
                member.applied = log.len();
                member.log.clone_from(&log);
                changed.push(n);
            }
        }
        drop(inner);
        for n in changed {
            self.beat(n);
        }
    }

    /// Moves commits from primaries to the replicas of their term.
    fn replicate(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        for n in 0..inner.members.len() {
            let (is_primary, term) = (inner.members[n].is_primary, inner.members[n].term);
            let leader = inner.members.iter().position(|m| m.is_primary && !m.is_gone && m.term == term);
            let Some(leader) = leader.filter(|leader| {
                let is_cut = |n: usize| inner.members[n].is_down || inner.members[n].is_dark;
                !is_primary && !is_cut(n) && !is_cut(*leader) && !inner.members[n].is_deaf
            }) else {
                continue;
            };
            let (mut log, applied) = (std::mem::take(&mut inner.members[n].log), inner.members[n].applied);
            let from = &inner.members[leader].log;
            let end = |start: usize, time: Duration| {
                let later = from.iter().skip(start);
                start + later.take_while(|c| now.saturating_duration_since(c.at) >= time).count()
            };
            let received = end(log.len(), RECEIVED_AFTER);
            log.extend_from_slice(&from[log.len().min(from.len())..received.min(from.len())]);
            let applied = end(applied, APPLIED_AFTER).max(applied).min(log.len());
            inner.members[n].log = log;
            inner.members[n].applied = applied;
        }
    }

    fn serve(&self, n: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        if self.lock().members[n].is_gone {
            return;
        }
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        if let Ok(stream) = stream.try_clone() {
            self.lock().members[n].streams.push(stream);
        }
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        let own = self.id(n);
        let is_meant = match fields.as_slice() {
            ["START", service, _] => *service == self.service,
            ["START", service, _, id] => *service == self.service && *id == own,
            _ => false,
        };
        if !is_meant {
            writer.write_all(b"ERROR MISROUTED another member\r\n").ok();
            return;
        }
        {
            let mut inner = self.lock();
            if inner.members[n].connections >= CONNECTIONS_MAX {
                drop(inner);
                writer.write_all(b"ERROR CONNLIMIT full\r\n").ok();
                return;
            }
            inner.members[n].connections += 1;
        }
        self.wait_while_dark(n);
        self.serve_open(n, &mut reader, &mut writer);
        self.lock().members[n].connections -= 1;
    }

    fn serve_open(&self, n: usize, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) {
        std::thread::sleep(Duration::from_millis(12));
        let mut connection = Connection::default();
        let greeting = format!("READY I {}\r\n", self.position(n));
        if writer.write_all(greeting.as_bytes()).is_err() {
            return;
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 || self.is_out(n) {
                return;
            }
            self.wait_while_dark(n);
            let line = line.trim_end_matches(['\r', '\n']);
            let Some(rest) = line.strip_prefix("QUERY ") else {
                return;
            };
            let Some((id, text)) = rest.split_once(' ') else {
                return;
            };
            let answer = self.run(n, &mut connection, id, text);
            let state = match &connection.transaction {
                None => "I",
                Some(transaction) if transaction.has_failed => "E",
                Some(_) => "T",
            };
            let answer = format!("{answer}READY {state} {}\r\n", self.position(n));
            self.wait_while_dark(n);
            if self.is_out(n) {
                return;
            }
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns whether a member has ended or crashed.
    fn is_out(&self, n: usize) -> bool {
        let inner = self.lock();
        inner.members[n].is_gone || inner.members[n].is_down
    }

    /// Returns the end of the log that a member's reads see.
    fn position(&self, n: usize) -> String {
        let inner = self.lock();
        format!("{}.{}", inner.members[n].term, inner.members[n].applied)
    }

    /// Waits for a slot; returns false if too many statements wait for one.
    fn take_slot(&self, n: usize) -> bool {
        let mut inner = self.lock();
        if inner.members[n].waiting >= QUEUE {
            return false;
        }
        inner.members[n].waiting += 1;
        while inner.members[n].running >= SLOTS {
            inner = self.inner.1.wait_timeout(inner, Duration::from_millis(20)).unwrap().0;
        }
        inner.members[n].waiting -= 1;
        inner.members[n].running += 1;
        true
    }

    fn free_slot(&self, n: usize) {
        self.lock().members[n].running -= 1;
        self.inner.1.notify_all();
    }

    fn run(&self, n: usize, connection: &mut Connection, id: &str, text: &str) -> String {
        const DONE: &str = "COMPLETE -\r\n";
        let (floor, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (floor, text) = rest.split_once(' ').unwrap_or((rest, ""));
                (Some(floor), text)
            }
            None => (None, text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "STATUS" => return self.status(n),
            "ROLLBACK" => {
                connection.transaction = None;
                return DONE.to_owned();
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                connection.values.insert(name.to_owned(), value.to_owned());
                return DONE.to_owned();
            }
            "RESET" => {
                connection.values.clear();
                connection.prepared.clear();
                return DONE.to_owned();
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                connection.prepared.insert(name.to_owned(), shape.to_owned());
                return DONE.to_owned();
            }
            _ => {}
        }
        if connection.transaction.as_ref().is_some_and(|t| t.has_failed) {
            return "ERROR MALFORMED the transaction has failed\r\n".to_owned();
        }
        if !self.take_slot(n) {
            return "ERROR BUSY\r\n".to_owned();
        }
        if verb != "BEGIN" {
            std::thread::sleep(WORK);
        }
        let answer = self.run_in_slot(n, connection, id, floor, (verb, rest));
        let (term, number) = {
            let inner = self.lock();
            let commit = inner.commits.iter().rev().find(|c| c.id == id && c.member == n);
            commit.map_or((0, 0), |c| (c.term, c.number as usize))
        };
        let is_kept = number == 0 || self.wait_for_replica(n, term, number);
        self.free_slot(n);
        if !is_kept {
            return "ERROR INDOUBT\r\n".to_owned();
        }
        let mut inner = self.lock();
        let member = &inner.members[n];
        let run = Run {
            id: id.to_owned(),
            text: text.to_owned(),
            member: n,
            is_primary: member.is_primary,
            term: member.term,
            number: member.applied as u64,
            at: Instant::now(),
            outcome: answer.lines().last().unwrap_or("").to_owned(),
        };
        inner.runs.push(run);
        answer
    }

    fn run_in_slot(
        &self,
        n: usize,
        connection: &mut Connection,
        id: &str,
        floor: Option<&str>,
        (verb, rest): (&str, &str),
    ) -> String {
        let mut inner = self.lock();
        let member = &inner.members[n];
        if let Some(floor) = floor {
            let (term, number) = floor.split_once('.').unwrap_or((floor, "0"));
            let floor: (u64, usize) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if (member.term, member.applied) < floor {
                return "ERROR LAGGING\r\n".to_owned();
            }
        }
        let own = member.id.clone();
        let (is_primary, term) = (member.is_primary, member.term);
        let is_lost = |transaction: &Transaction| {
            !transaction.reads_only && (!is_primary || transaction.term != term)
        };
        let read_only = format!("ERROR READONLY {own}\r\n");
        match verb {
            "BEGIN" => {
                let reads_only = rest == "READ";
                if !reads_only && !is_primary {
                    return read_only;
                }
                connection.transaction =
                    Some(Transaction { reads_only, term, has_failed: false, writes: Vec::new() });
                "COMPLETE -\r\n".to_owned()
            }
            "COMMIT" => {
                let Some(transaction) = connection.transaction.take() else {
                    return "ERROR MALFORMED no transaction\r\n".to_owned();
                };
                if is_lost(&transaction) && !transaction.writes.is_empty() {
                    connection.transaction = Some(Transaction { has_failed: true, ..transaction });
                    return read_only;
                }
                for (id, item, data) in transaction.writes {
                    inner.commit(n, &id, &item, &data);
                }
                inner.sign(n)
            }
            "READ" | "WRITE" | "EXECUTE" => {
                let (is_write, item, data) = match verb {
                    "EXECUTE" => {
                        let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                        let Some(shape) = connection.prepared.get(name) else {
                            return format!("ERROR NOSTMT {name}\r\n");
                        };
                        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                        (shape.starts_with("WRITE"), item, data)
                    }
                    _ => {
                        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                        (verb == "WRITE", item, data)
                    }
                };
                if let Some(transaction) = connection.transaction.as_mut() {
                    if is_lost(transaction) || (is_write && transaction.reads_only) {
                        transaction.has_failed = true;
                        return read_only;
                    }
                    if is_write {
                        transaction.writes.push((id.to_owned(), item.to_owned(), data.to_owned()));
                        return inner.sign(n);
                    }
                } else if is_write {
                    if !is_primary {
                        return read_only;
                    }
                    inner.commit(n, id, item, data);
                    return inner.sign(n);
                }
                let member = &inner.members[n];
                let seen = member.log[..member.applied].iter().rev();
                let found = seen.clone().find(|c| c.item == item).map(|c| c.data.clone());
                let row = format!("ROW {}\r\n", found.unwrap_or_default());
                row + &inner.sign(n)
            }
            _ => "ERROR MALFORMED\r\n".to_owned(),
        }
    }

    fn status(&self, n: usize) -> String {
        let inner = self.lock();
        let member = &inner.members[n];
        let role = if member.is_primary { "primary" } else { "replica" };
        format!(
            "ROW {role} {} {}.{} 0 0 {} {}\r\nCOMPLETE -\r\n",
            member.term,
            member.term,
            member.log.len(),
            member.running,
            member.connections
        )
    }
}

impl Inner {
    /// Appends a commit to a primary's log.
    fn commit(&mut self, n: usize, id: &str, item: &str, data: &str) {
        let member = &mut self.members[n];
        let commit = Commit {
            id: id.to_owned(),
            item: item.to_owned(),
            data: data.to_owned(),
            member: n,
            term: member.term,
            number: member.log.len() as u64 + 1,
            at: Instant::now(),
        };
        let commit = Arc::new(commit);
        member.log.push(Arc::clone(&commit));
        member.applied = member.log.len();
        self.commits.push(commit);
    }

    /// Returns the line that proves that a member ran a statement.
    fn sign(&mut self, n: usize) -> String {
        self.signatures += 1;
        format!("COMPLETE {n}.{:x}\r\n", self.signatures)
    }
}
