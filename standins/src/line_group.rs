//! A stand-in for the backend servers of a service, which speak the platform's line protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::line_session::read_line;

/// How long a replaced primary still acts as primary before it follows the new one.
const OLD_PRIMARY_OVERLAP: Duration = Duration::from_secs(3);

/// Three servers of one service, one in each availability zone; the first one starts as primary.
///
/// Clones share the same servers.
#[derive(Clone, Debug)]
pub struct LineGroup {
    /// The state shared with the connections' tasks.
    shared: Arc<Mutex<Group>>,
}

/// The state of a group.
#[derive(Debug, Default)]
struct Group {
    /// The servers; their index names them.
    servers: Vec<Server>,
    /// The time from a replica's receipt of an item until its reads see it.
    apply_lag: Duration,
    /// The new work that servers got while they were leaving, in order.
    work_while_leaving: Vec<LeavingWork>,
    /// The names of the clients for which connections were opened.
    clients: BTreeSet<String>,
}

/// A single statement, or the first one of a transaction, that a leaving server got.
#[derive(Clone, Debug)]
pub struct LeavingWork {
    /// The index of the server.
    pub server: usize,
    /// The client's identifier of the statement.
    pub statement: String,
    /// When the server got it.
    pub at: Instant,
    /// The time since the server had said that it leaves.
    pub after: Duration,
}

/// The state of one server.
#[derive(Debug)]
struct Server {
    /// The server's identifier in the store.
    id: String,
    /// The listen address.
    address: SocketAddr,
    /// Whether the server acts as primary, perhaps because it has not noticed its replacement.
    is_primary: bool,
    /// Whether the server was killed.
    is_dead: bool,
    /// Since when the server has said that it leaves; none while it stays.
    leaving_since: Option<Instant>,
    /// The number of the server's run, which its entry in the store carries.
    run: u64,
    /// The term of the primary that the server follows or is.
    term: u64,
    /// The items written, as pairs of name and data in order; replicas receive them at once.
    log: Vec<(String, String)>,
    /// The number of items of the log that reads see.
    applied: usize,
    /// The tasks of the connections, open or closed.
    connections: Vec<AbortHandle>,
}

/// The state of one connection.
#[derive(Default)]
struct Connection {
    /// Whether a transaction is open.
    is_open: bool,
    /// Whether the open transaction has got a statement.
    has_statement: bool,
    /// The items that the open transaction has written, in order.
    writes: Vec<(String, String)>,
    /// The texts of the prepared statements, by name.
    prepared: BTreeMap<String, String>,
}

impl LineGroup {
    /// Starts three servers on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be listened on.
    pub async fn start(service: &'static str) -> std::io::Result<Self> {
        let group = Self {
            shared: Arc::default(),
        };
        for n in 0..3 {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let server = Server {
                id: format!("i-{n}"),
                address: listener.local_addr()?,
                is_primary: n == 0,
                is_dead: false,
                leaving_since: None,
                run: 1,
                term: 1,
                log: Vec::new(),
                applied: 0,
                connections: Vec::new(),
            };
            group.lock().servers.push(server);
            tokio::spawn(accept(group.clone(), n, service, listener));
        }
        Ok(group)
    }

    /// Returns the servers' listen addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().servers.iter().map(|s| s.address).collect()
    }

    /// Returns the store entries by which the servers announce themselves, as pairs of server
    /// identifier and JSON text.
    #[must_use]
    pub fn entries(&self, service: &str) -> Vec<(String, String)> {
        self.entries_at(service, &self.addresses())
    }

    /// Returns the entries of [`entries`](Self::entries) with other addresses, such as those of
    /// relays in front of the servers.
    #[must_use]
    pub fn entries_at(&self, service: &str, addresses: &[SocketAddr]) -> Vec<(String, String)> {
        let group = self.lock();
        let entry = |((server, address), zone): ((&Server, &SocketAddr), &str)| {
            let role = if server.is_primary {
                "primary"
            } else {
                "replica"
            };
            let state = match server.leaving_since {
                Some(_) => "draining",
                None => "ready",
            };
            let entry = serde_json::json!({
                "service": service, "address": address, "zone": zone, "version": "v1",
                "capacity": 2, "state": state, "warmup_left_ms": 0, "db_role": role,
                "sequence": 1, "born": server.run,
            });
            (server.id.clone(), entry.to_string())
        };
        group
            .servers
            .iter()
            .zip(addresses)
            .zip(["a", "b", "c"])
            .map(entry)
            .collect()
    }

    /// Makes a server the primary of the next term; returns false if it is unknown or dead.
    ///
    /// Replicas follow the new primary at once, the old primary after [`OLD_PRIMARY_OVERLAP`].
    pub(crate) fn promote(&self, id: &str) -> bool {
        let mut group = self.lock();
        let next = group
            .servers
            .iter()
            .map(|s| s.term)
            .max()
            .unwrap_or_default()
            + 1;
        let Some(chosen) = group.servers.iter().position(|s| s.id == id && !s.is_dead) else {
            return false;
        };
        if !group.servers[chosen].is_primary {
            for (n, server) in group.servers.iter_mut().enumerate() {
                if n == chosen || !server.is_primary {
                    server.term = next;
                    server.applied = server.log.len();
                }
            }
            group.servers[chosen].is_primary = true;
            tokio::spawn(follow_later(self.clone(), chosen));
        }
        true
    }

    /// Sets the time from a replica's receipt of an item until its reads see it.
    pub fn set_apply_lag(&self, lag: Duration) {
        self.lock().apply_lag = lag;
    }

    /// Makes all servers of earlier terms follow a primary; items that the primary does not have
    /// are lost.
    fn follow(&self, leader: usize) {
        let mut group = self.lock();
        let (term, log) = (
            group.servers[leader].term,
            group.servers[leader].log.clone(),
        );
        for server in group.servers.iter_mut().filter(|s| s.term < term) {
            server.is_primary = false;
            server.term = term;
            server.applied = log.len();
            server.log.clone_from(&log);
        }
    }

    /// Kills the current primary: its connections break, and new ones are closed at once.
    pub fn kill_primary(&self) {
        let mut group = self.lock();
        if let Some(server) = newest_primary(&mut group) {
            server.is_dead = true;
            for connection in server.connections.drain(..) {
                connection.abort();
            }
        }
    }

    /// Has a server say in its entries from now on that it leaves.
    pub fn leave(&self, n: usize) {
        self.lock().servers[n]
            .leaving_since
            .get_or_insert_with(Instant::now);
    }

    /// Ends a server that leaves, and starts its next run with the same log.
    pub fn start_again(&self, n: usize) {
        let server = &mut self.lock().servers[n];
        server.leaving_since = None;
        server.run += 1;
        for connection in server.connections.drain(..) {
            connection.abort();
        }
    }

    /// Returns the names of the clients for which connections were opened.
    #[must_use]
    pub fn clients(&self) -> BTreeSet<String> {
        self.lock().clients.clone()
    }

    /// Returns the new work that servers got while they were leaving, in order.
    #[must_use]
    pub fn work_while_leaving(&self) -> Vec<LeavingWork> {
        self.lock().work_while_leaving.clone()
    }

    /// Records a statement if its server is leaving and it is no later one of a transaction.
    fn note_work(&self, n: usize, connection: &mut Connection, statement: &str) {
        let is_new = !connection.is_open || !connection.has_statement;
        connection.has_statement = connection.is_open;
        let mut group = self.lock();
        if let Some(since) = group.servers[n].leaving_since.filter(|_| is_new) {
            let at = Instant::now();
            let work = LeavingWork {
                server: n,
                statement: statement.to_owned(),
                at,
                after: at - since,
            };
            group.work_while_leaving.push(work);
        }
    }

    /// Returns the items in the current primary's log, as pairs of name and data in the order of
    /// the writes.
    #[must_use]
    pub fn written(&self) -> Vec<(String, String)> {
        let mut group = self.lock();
        newest_primary(&mut group)
            .map(|server| server.log.clone())
            .unwrap_or_default()
    }

    /// Locks the state, even if a thread panicked while it held the lock.
    fn lock(&self) -> std::sync::MutexGuard<'_, Group> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the current primary: of the servers that act as primary, the one of the highest term.
fn newest_primary(group: &mut Group) -> Option<&mut Server> {
    let primaries = group.servers.iter_mut().filter(|server| server.is_primary);
    primaries.max_by_key(|server| server.term)
}

/// Makes the old primary follow the new one after [`OLD_PRIMARY_OVERLAP`].
async fn follow_later(group: LineGroup, leader: usize) {
    tokio::time::sleep(OLD_PRIMARY_OVERLAP).await;
    group.follow(leader);
}

/// Applies a replica's log up to a position after the lag.
async fn apply_later(group: LineGroup, n: usize, (term, position): (u64, usize), lag: Duration) {
    tokio::time::sleep(lag).await;
    group.apply(n, term, position);
}

/// Accepts connections to one server.
async fn accept(group: LineGroup, n: usize, service: &'static str, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if group.lock().servers[n].is_dead {
            continue;
        }
        let serving = tokio::spawn(serve(group.clone(), n, service, stream));
        group.lock().servers[n]
            .connections
            .push(serving.abort_handle());
    }
}

/// Serves one connection until the client closes it.
async fn serve(
    group: LineGroup,
    n: usize,
    service: &'static str,
    stream: TcpStream,
) -> std::io::Result<()> {
    let (read, mut write) = stream.into_split();
    let mut reader = BufReader::new(read);
    let start = read_line(&mut reader).await?.unwrap_or_default();
    let words: Vec<&str> = start.split(' ').collect();
    match words[..] {
        ["START", to, client, id] if to == service && id == group.lock().servers[n].id => {
            group.lock().clients.insert(client.to_owned());
        }
        _ => return write.write_all(b"ERROR MISROUTED another server\r\n").await,
    }
    let greeting = format!("READY I {}\r\n", group.position(n));
    write.write_all(greeting.as_bytes()).await?;
    let mut connection = Connection::default();
    while let Some(line) = read_line(&mut reader).await? {
        let answer = group.answer(n, &mut connection, &line);
        let state = if connection.is_open { "T" } else { "I" };
        let answer = format!("{answer}READY {state} {}\r\n", group.position(n));
        write.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

impl LineGroup {
    /// Returns the position that a server's reads see, written as `TERM.NUMBER`.
    fn position(&self, n: usize) -> String {
        let group = self.lock();
        let server = &group.servers[n];
        format!("{}.{}", server.term, server.applied)
    }

    /// Returns the lines that answer a line of the client, without the final `READY`.
    fn answer(&self, n: usize, connection: &mut Connection, line: &str) -> String {
        let done = "COMPLETE -\r\n".to_owned();
        let fields: Vec<&str> = line.splitn(3, ' ').collect();
        let ["QUERY", id, text] = fields.as_slice() else {
            return "ERROR MALFORMED line\r\n".to_owned();
        };
        if *id != "-" {
            self.note_work(n, connection, id);
        }
        let (floor, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("0.0", *text),
        };
        if !self.has(n, floor) {
            return "ERROR LAGGING\r\n".to_owned();
        }
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "STATUS" => self.status(n),
            "BEGIN" if rest != "READ" && !self.leads(n) => "ERROR READONLY\r\n".to_owned(),
            "BEGIN" => {
                connection.is_open = true;
                connection.has_statement = false;
                done
            }
            "ROLLBACK" => {
                connection.is_open = false;
                connection.writes.clear();
                done
            }
            "COMMIT" => {
                connection.is_open = false;
                let writes = std::mem::take(&mut connection.writes);
                self.commit(n, writes, id)
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                connection
                    .prepared
                    .insert(name.to_owned(), shape.to_owned());
                done
            }
            "EXECUTE" => self.execute(n, connection, id, rest),
            "READ" => self.read(n, rest),
            "WRITE" => self.write(n, connection, id, rest),
            _ => done,
        }
    }

    /// Returns whether a server has applied a position, written as `TERM.NUMBER`.
    fn has(&self, n: usize, floor: &str) -> bool {
        let number = |text: &str| text.parse::<usize>().unwrap_or(usize::MAX);
        let (term, position) = floor.split_once('.').unwrap_or((floor, ""));
        let group = self.lock();
        let server = &group.servers[n];
        let present = (
            usize::try_from(server.term).unwrap_or(usize::MAX),
            server.applied,
        );
        (number(term), number(position)) <= present
    }

    /// Answers `EXECUTE`: runs a prepared statement as a write or a read.
    fn execute(&self, n: usize, connection: &mut Connection, id: &str, rest: &str) -> String {
        let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
        match connection.prepared.get(name).cloned() {
            None => format!("ERROR NOSTMT {name}\r\n"),
            Some(shape) if shape.starts_with("WRITE") => self.write(n, connection, id, arguments),
            Some(_) => self.read(n, arguments),
        }
    }

    /// Returns whether a server acts as primary.
    fn leads(&self, n: usize) -> bool {
        self.lock().servers[n].is_primary
    }

    /// Answers `STATUS`: the server's role, term and position.
    fn status(&self, n: usize) -> String {
        let role = if self.leads(n) { "primary" } else { "replica" };
        let position = self.position(n);
        let term = self.lock().servers[n].term;
        format!("ROW {role} {term} {position} 0 0 0 1\r\nCOMPLETE -\r\n")
    }

    /// Answers `READ`: the latest applied data of an item, if there is any.
    fn read(&self, n: usize, item: &str) -> String {
        let group = self.lock();
        let server = &group.servers[n];
        let found = server.log[..server.applied]
            .iter()
            .rev()
            .find(|(name, _)| name == item);
        let row = found
            .map(|(_, data)| format!("ROW {data}\r\n"))
            .unwrap_or_default();
        format!("{row}COMPLETE read\r\n")
    }

    /// Answers `WRITE`: writes an item in the open transaction, or commits it at once if there is
    /// none.
    fn write(&self, n: usize, connection: &mut Connection, id: &str, rest: &str) -> String {
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        connection.writes.push((item.to_owned(), data.to_owned()));
        if connection.is_open {
            return "COMPLETE write\r\n".to_owned();
        }
        let writes = std::mem::take(&mut connection.writes);
        self.commit(n, writes, id)
    }

    /// Appends items to the logs of the primary and of the servers in its term.
    fn commit(&self, n: usize, writes: Vec<(String, String)>, id: &str) -> String {
        if !self.leads(n) {
            return "ERROR READONLY\r\n".to_owned();
        }
        let mut group = self.lock();
        let (term, lag) = (group.servers[n].term, group.apply_lag);
        for (other, server) in group.servers.iter_mut().enumerate() {
            if server.term != term {
                continue;
            }
            server.log.extend(writes.clone());
            if other == n || lag.is_zero() {
                server.applied = server.log.len();
            } else {
                let position = server.log.len();
                tokio::spawn(apply_later(self.clone(), other, (term, position), lag));
            }
        }
        format!("COMPLETE {id}\r\n")
    }

    /// Makes a server's reads see its log up to a position, unless its term has changed.
    fn apply(&self, n: usize, term: u64, position: usize) {
        let server = &mut self.lock().servers[n];
        if server.term == term {
            server.applied = server.applied.max(position);
        }
    }
}
