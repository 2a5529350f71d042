//! The pool of connections to backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, ServerId, data};

use crate::connection::{Connection, Purpose};
use crate::session::Session;

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

    /// Adds a connection that is being opened.
    pub(crate) fn open(&mut self, server: &ServerId, now: Instant) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections
            .insert(id, Connection::opening(id, server.clone(), now));
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

    /// Returns the free connection to a server that needs the fewest requests to take over a
    /// session's state. Of equals it returns the one that answered last, as it is the least likely
    /// to be dead.
    ///
    /// `shape_number` is the number of the prepared statement that is to run.
    pub(crate) fn free(
        &self,
        server: &ServerId,
        session: &Session,
        shape_number: Option<u32>,
    ) -> Option<ConnectionId> {
        let rank = |c: &&Connection| {
            (
                c.setup_count(session, shape_number),
                std::cmp::Reverse(c.last_heard),
            )
        };
        self.connections_to(server)
            .filter(|connection| connection.is_free())
            .min_by_key(rank)
            .map(|connection| connection.id)
    }

    /// Returns any free connection to a server.
    pub(crate) fn any_free(&self, server: &ServerId) -> Option<ConnectionId> {
        self.connections_to(server)
            .find(|connection| connection.is_free())
            .map(|connection| connection.id)
    }

    /// Returns the free connections to a server and when each last answered, the longest idle
    /// first.
    pub(crate) fn idle(&self, server: &ServerId) -> Vec<(ConnectionId, Instant)> {
        let free = self
            .connections_to(server)
            .filter(|connection| connection.is_free());
        let mut idle: Vec<_> = free
            .map(|connection| (connection.id, connection.last_heard))
            .collect();
        idle.sort_by_key(|(_, last_heard)| *last_heard);
        idle
    }

    /// Returns the servers to which connections are open or being opened.
    pub(crate) fn servers(&self) -> Vec<ServerId> {
        self.by_server.keys().cloned().collect()
    }

    /// Marks a connection as free.
    pub(crate) fn release(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.purpose = Purpose::Free;
        }
    }
}
