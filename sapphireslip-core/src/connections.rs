//! Opening and closing of a home's connections to its backend servers.

use crate::link::{HomeIds, Link, LinkState};
use crate::{
    BackendEffect, ConnectFailure, ConnectionId, Cx, Fleet, Home, RefusalReason, ServerId,
    ServerSpec,
};

impl Home {
    /// Opens connections for the queued requests and one spare, and closes those that have been
    /// idle for too long. Servers that get no new work keep only the connections in use, and so do
    /// all servers once the home is closing and no request is queued.
    pub(crate) fn maintain_connections(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        ids: &mut HomeIds,
    ) {
        let waiting = self.queue.len();
        self.close_removed_servers(cx);
        for spec in self.spec.servers.clone() {
            let is_leaving = fleet.configuration.is_leaving(&spec);
            if is_leaving || (self.is_closing && waiting == 0) {
                self.close_unused(cx, &spec.id);
                continue;
            }
            self.open_missing(cx, ids, &spec, waiting);
            self.close_expired(cx, &spec.id);
        }
    }

    /// Starts to open the connections that a server's pool lacks for `waiting` requests.
    fn open_missing(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        spec: &ServerSpec,
        waiting: usize,
    ) {
        let Some(pool) = self.pools.get_mut(&spec.id) else {
            return;
        };
        for _ in 0..pool.connections_to_open(cx.now.instant, waiting) {
            let connection = ids.connection();
            pool.on_opening(connection);
            self.links.insert(
                connection,
                Link {
                    server: spec.id.clone(),
                    state: LinkState::Opening,
                },
            );
            cx.backend(BackendEffect::Connect {
                connection,
                server: spec.id.clone(),
                address: spec.address,
                database: self.spec.name.clone(),
            });
        }
    }

    /// Closes the connections to a server that have been idle for too long.
    fn close_expired(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(pool) = self.pools.get_mut(server) else {
            return;
        };
        for connection in pool.expire(cx.now.instant) {
            self.links.remove(&connection);
            cx.backend(BackendEffect::Close { connection });
        }
    }

    /// Closes the connections to a server that are idle or being opened.
    pub(crate) fn close_unused(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(pool) = self.pools.get_mut(server) else {
            return;
        };
        for connection in pool.drain_unused() {
            self.links.remove(&connection);
            cx.backend(BackendEffect::Close { connection });
        }
    }

    /// Closes a connection, whatever it is used for.
    pub(crate) fn close(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        self.forget(connection);
        cx.backend(BackendEffect::Close { connection });
    }

    /// Removes a connection from the home's state and returns what it was used for; none if the
    /// home doesn't have it.
    pub(crate) fn forget(&mut self, connection: ConnectionId) -> Option<Link> {
        let link = self.links.remove(&connection)?;
        if let Some(pool) = self.pools.get_mut(&link.server) {
            pool.remove(connection);
        }
        Some(link)
    }

    /// Returns a connection to its pool after its server has reported that it is outside a
    /// transaction, or closes it if the pool doesn't take it.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        let Some(link) = self.links.get_mut(&connection) else {
            return;
        };
        link.state = LinkState::Idle;
        let pool = self.pools.get_mut(&link.server);
        if !pool.is_some_and(|pool| pool.give_back(connection, cx.now.instant)) {
            self.close(cx, connection);
        }
    }

    /// Handles a connection that has been opened.
    pub(crate) fn on_connected(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        let Some(link) = self.links.get_mut(&connection) else {
            return;
        };
        link.state = LinkState::Idle;
        let server = link.server.clone();
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.on_opened(connection, cx.now.instant);
        }
        self.group.note_alive(cx, &server);
    }

    /// Handles a connection that could not be opened: the pool backs off. A server that refuses or
    /// doesn't answer counts as failed, but not one that has too many connections.
    pub(crate) fn on_connect_failed(
        &mut self,
        cx: &mut Cx<'_>,
        connection: ConnectionId,
        failure: ConnectFailure,
    ) {
        let Some(link) = self.links.remove(&connection) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&link.server) {
            pool.on_open_failed(connection, cx.now.instant, cx.random);
        }
        match failure {
            ConnectFailure::TooMany => {}
            ConnectFailure::Refused | ConnectFailure::Timeout => {
                self.group.note_failed(cx, &link.server);
            }
        }
    }

    /// Marks the home as closing and closes its unused connections.
    pub(crate) fn begin_close(&mut self, cx: &mut Cx<'_>) {
        self.is_closing = true;
        let servers: Vec<_> = self.pools.keys().cloned().collect();
        for server in servers {
            self.close_unused(cx, &server);
        }
    }

    /// Refuses all queued requests, since no document names the database any more.
    pub(crate) fn refuse_queued(&mut self, cx: &mut Cx<'_>) {
        let queued: Vec<_> = self.queue.ids().cloned().collect();
        for id in queued {
            let detail = "no document in force names the database any more";
            self.refuse(cx, &id, RefusalReason::UnknownDatabase, detail);
        }
    }
}
