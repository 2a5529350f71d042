//! The pool of connections to backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{AccountName, ConnectionId, Instant, ServerId, data};

use crate::TermPosition;
use crate::connection::{Connection, Purpose};
use crate::connection_choice::{Held, Usage};

/// A request that is unanswered for longer has most likely lost its answer, and no longer counts as
/// occupying a slot of its server.
const ANSWER_EXPECTED_WITHIN: Duration = Duration::from_millis(250);

data! {
    /// The connections to backend servers that are open or being opened.
    #[derive(Default)]
    pub(crate) struct Pool {
        /// All connections.
        connections: BTreeMap<ConnectionId, Connection>,
        /// The connections of each server, the oldest first; a server without any has no entry.
        by_server: BTreeMap<ServerId, Vec<ConnectionId>>,
        /// The number of the last connection that was opened; numbers are never reused.
        last_id: u64,
        /// The number of connections that were closed to make room for another account.
        replacements: u64,
    }

    /// What an account has at a server.
    pub(crate) enum AccountUse {
        /// No connection.
        None,
        /// Connections that are all in use or being opened.
        InUse,
        /// A free connection.
        Free,
    }

    /// The numbers of connections by their use, and how many were opened and replaced so far.
    #[derive(Default)]
    pub struct ConnectionCounts {
        /// The connections that are being opened.
        pub opening: usize,
        /// The idle connections.
        pub free: usize,
        /// The connections that run a single statement or a request of the daemon.
        pub busy: usize,
        /// The connections with an open transaction.
        pub in_transaction: usize,
        /// The connections whose opening has begun since the start of the daemon.
        pub openings: u64,
        /// The connections that were closed since then to make room for another account.
        pub replacements: u64,
    }
}

impl Pool {
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Returns all connections.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Connection> {
        self.connections.values()
    }

    /// Returns the connections to a server.
    pub(crate) fn connections_to(&self, server: &ServerId) -> impl Iterator<Item = &Connection> {
        let ids = self.by_server.get(server).into_iter().flatten();
        ids.filter_map(|id| self.connections.get(id))
    }

    /// Returns how many connections to a server are open or being opened.
    pub(crate) fn count(&self, server: &ServerId) -> usize {
        self.by_server.get(server).map_or(0, Vec::len)
    }

    /// Returns how many connections to a server are still being opened.
    pub(crate) fn opening(&self, server: &ServerId) -> usize {
        self.connections_to(server)
            .filter(|connection| !connection.is_open)
            .count()
    }

    /// Returns how many connections to a server have outstanding requests, the oldest of which was
    /// sent less than [`ANSWER_EXPECTED_WITHIN`] ago.
    pub(crate) fn outstanding(&self, server: &ServerId, now: Instant) -> usize {
        let is_outstanding = |connection: &&Connection| {
            let awaited = connection.awaited.front();
            awaited.is_some_and(|awaited| now.since(awaited.sent) < ANSWER_EXPECTED_WITHIN)
        };
        self.connections_to(server).filter(is_outstanding).count()
    }

    /// Adds a connection that is being opened for an account, to a server that last reported `position`.
    pub(crate) fn open(
        &mut self,
        server: &ServerId,
        account: Option<AccountName>,
        position: Option<TermPosition>,
        now: Instant,
    ) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection::opening(id, server.clone(), account, position, now);
        self.connections.insert(id, connection);
        self.by_server.entry(server.clone()).or_default().push(id);
        id
    }

    /// Removes a connection and returns it.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(ids) = self.by_server.get_mut(&connection.server) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_server.remove(&connection.server);
            }
        }
        Some(connection)
    }

    /// Returns how many connections to a server are being opened for an account.
    pub(crate) fn opening_for(&self, server: &ServerId, account: Option<&AccountName>) -> usize {
        self.connections_to(server)
            .filter(|connection| !connection.is_open && connection.account() == account)
            .count()
    }

    /// Returns the connections to a server as a waiting statement of an account sees them.
    ///
    /// `setup_count` counts the requests that bring a connection to the state of the session;
    /// `latency` is the usual time of a statement at the server.
    pub(crate) fn held(
        &self,
        server: &ServerId,
        account: Option<&AccountName>,
        setup_count: impl Fn(&Connection) -> usize,
        latency: Duration,
        now: Instant,
    ) -> Vec<Held> {
        let held = |connection: &Connection| {
            let is_own = connection.account() == account;
            Held {
                id: connection.id,
                is_own,
                usage: connection.usage(latency, now),
                was_used: connection.was_used(now),
                last_used: connection.last_used,
                last_heard: connection.last_heard,
                setup_count: if is_own { setup_count(connection) } else { 0 },
            }
        };
        self.connections_to(server).map(held).collect()
    }

    /// Returns what an account has at a server.
    pub(crate) fn account_use(&self, server: &ServerId, account: &AccountName) -> AccountUse {
        let mut own = self
            .connections_to(server)
            .filter(|connection| connection.account() == Some(account))
            .peekable();
        if own.peek().is_none() {
            AccountUse::None
        } else if own.any(Connection::is_free) {
            AccountUse::Free
        } else {
            AccountUse::InUse
        }
    }

    /// Returns the free connections whose account `is_chosen`.
    pub(crate) fn free_with(&self, is_chosen: impl Fn(&AccountName) -> bool) -> Vec<ConnectionId> {
        let is_chosen = |connection: &&Connection| {
            connection.is_free() && connection.account().is_some_and(&is_chosen)
        };
        self.all().filter(is_chosen).map(|c| c.id).collect()
    }

    /// Returns any free connection to a server: the oldest one that serves no account or, if there
    /// is none, the least recently used one.
    pub(crate) fn any_free(&self, server: &ServerId) -> Option<ConnectionId> {
        self.connections_to(server)
            .filter(|connection| connection.is_free())
            .min_by_key(|connection| connection.account().map(|_| connection.last_used))
            .map(|connection| connection.id)
    }

    /// Returns the free connections to a server and since when each is idle, the longest idle
    /// first.
    pub(crate) fn idle(&self, server: &ServerId) -> Vec<(ConnectionId, Instant)> {
        let free = self
            .connections_to(server)
            .filter(|connection| connection.is_free());
        let mut idle: Vec<_> = free
            .map(|connection| (connection.id, connection.idle_since()))
            .collect();
        idle.sort_by_key(|(_, since)| *since);
        idle
    }

    /// Returns the servers to which connections are open or being opened.
    pub(crate) fn servers(&self) -> Vec<ServerId> {
        self.by_server.keys().cloned().collect()
    }

    /// Counts a connection that was closed to make room for another account.
    pub(crate) const fn count_replacement(&mut self) {
        self.replacements += 1;
    }

    /// Returns the numbers of connections by their use, and of those opened and replaced.
    pub(crate) fn counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts {
            openings: self.last_id,
            replacements: self.replacements,
            ..ConnectionCounts::default()
        };
        for connection in self.connections.values() {
            let count = match connection.usage(Duration::ZERO, connection.last_heard) {
                Usage::Opening => &mut counts.opening,
                Usage::Free => &mut counts.free,
                Usage::Busy(_) => &mut counts.busy,
                Usage::Transaction => &mut counts.in_transaction,
            };
            *count += 1;
        }
        counts
    }

    /// Marks a connection as free.
    pub(crate) fn release(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.purpose = Purpose::Free;
        }
    }
}
