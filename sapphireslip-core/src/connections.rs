//! Opening and closing the connections of a database at its home.

use crate::link::{HomeIds, Link, LinkState};
use crate::{
    BackendEffect, ConnectFailure, ConnectionId, Cx, Fleet, Home, RefusalReason, ServerId,
    ServerSpec,
};

impl Home {
    /// Opens connections for what waits and one spare, and closes what is idle for too long.
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

    fn close_expired(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(pool) = self.pools.get_mut(server) else {
            return;
        };
        for connection in pool.expire(cx.now.instant) {
            self.links.remove(&connection);
            cx.backend(BackendEffect::Close { connection });
        }
    }

    /// Closes the connections of a server that have no work.
    pub(crate) fn close_unused(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(pool) = self.pools.get_mut(server) else {
            return;
        };
        for connection in pool.drain_unused() {
            self.links.remove(&connection);
            cx.backend(BackendEffect::Close { connection });
        }
    }

    /// Closes a connection whatever it does.
    pub(crate) fn close(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        self.forget(connection);
        cx.backend(BackendEffect::Close { connection });
    }

    /// Takes a connection out of the books and returns what it was.
    pub(crate) fn forget(&mut self, connection: ConnectionId) -> Option<Link> {
        let link = self.links.remove(&connection)?;
        if let Some(pool) = self.pools.get_mut(&link.server) {
            pool.remove(connection);
        }
        Some(link)
    }

    /// Puts a connection back into its pool; its server has reported that it is idle.
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

    /// Backs off; only a server that refuses or is silent counts as failed, not a full one.
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

    /// Closes what is left once the home has moved away and nothing runs.
    pub(crate) fn begin_close(&mut self, cx: &mut Cx<'_>) {
        self.is_closing = true;
        let servers: Vec<_> = self.pools.keys().cloned().collect();
        for server in servers {
            self.close_unused(cx, &server);
        }
    }

    /// Refuses whatever is queued, for a database whose document is gone.
    pub(crate) fn refuse_queued(&mut self, cx: &mut Cx<'_>) {
        let queued: Vec<_> = self.queue.ids().cloned().collect();
        for id in queued {
            let detail = "the database is no longer in any document";
            self.refuse(cx, &id, RefusalReason::UnknownDatabase, detail);
        }
    }
}
