//! Probes: requests for the status of servers.

use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, Text};

use crate::ServerRequest;
use crate::connection::{AnswerTo, Purpose};
use crate::state::State;

/// How old the newest floor sample and the last probe of a primary may be before it is probed: a
/// fraction of the staleness that any route allows, so that floors stay recent.
const PROBE_AFTER: Duration = Duration::from_millis(400);

/// How often a leader is probed that is not confirmed yet or is failing.
const PROBE_PENDING_EVERY: Duration = Duration::from_millis(40);

impl State {
    /// Probes the leaders that this daemon works with and that have not answered recently.
    pub(crate) fn probe_leaders(&mut self) {
        if self.is_leaving() && self.sessions.is_empty() {
            return;
        }
        let mut due = Vec::new();
        for (service, (record, _)) in &self.leaders.table.leaders {
            let Some(server) = self.servers.get(&record.leader) else {
                continue;
            };
            if !self.works_with(service) {
                continue;
            }
            let is_led = self.leaders.term(service).is_some();
            let (pause, heard) = if is_led && !server.is_failing() {
                let sampled = self.floors.get(service).and_then(crate::Floors::newest);
                (PROBE_AFTER, sampled.max(server.last_probe))
            } else {
                (PROBE_PENDING_EVERY, server.last_probe)
            };
            if heard.is_none_or(|heard: Instant| self.now.since(heard) >= pause) {
                due.push(record.leader.clone());
            }
        }
        for server in due {
            self.probe(&server);
        }
    }

    /// Returns whether this daemon works with the servers of a service: it has its permission or
    /// lacked it only briefly, and is the service's home, the coordinator or serves its sessions.
    pub(crate) fn works_with(&self, service: &ServiceName) -> bool {
        !self.lacks_permission_for_long()
            && (self.is_home(service) || self.is_coordinator() || self.serves(service))
    }

    /// Returns whether this daemon serves sessions of a service.
    fn serves(&self, service: &ServiceName) -> bool {
        let is_routed_there = |database: &Text| {
            self.route_to(database)
                .is_some_and(|route| route.service == *service)
        };
        self.sessions_by_database.keys().any(is_routed_there)
    }

    /// Asks a server for its status on a free connection, unless an earlier request for it is
    /// unanswered. If nothing can be sent, opens another connection if the server has none or is
    /// failing.
    pub(crate) fn probe(&mut self, server: &ServerId) {
        if self.pool.connections_to(server).any(Self::awaits_status) {
            self.connect_if_stuck(server);
            return;
        }
        let now = self.now;
        if let Some(id) = self.pool.any_free(server) {
            if let Some(connection) = self.pool.get_mut(id) {
                connection.purpose = Purpose::Busy;
            }
            if let Some(known) = self.servers.get_mut(server) {
                known.last_probe = Some(now);
            }
            self.request(id, ServerRequest::Status, AnswerTo::Status);
        } else {
            self.connect_if_stuck(server);
        }
    }

    /// Returns whether the server's status is needed soon: it is named to lead and has not
    /// confirmed it, or was not asked recently.
    pub(crate) fn is_probe_due(&self, server: &ServerId) -> bool {
        let Some(known) = self.servers.get(server) else {
            return false;
        };
        let service = &known.record.service;
        let is_pending =
            self.leaders.named(service) == Some(server) && self.leaders.term(service).is_none();
        let last = known.last_probe;
        is_pending || last.is_none_or(|last| self.now.since(last) >= PROBE_AFTER)
    }

    /// Opens another connection if the server is failing or has no connection, unless one is
    /// already being opened.
    fn connect_if_stuck(&mut self, server: &ServerId) {
        let is_failing = self
            .servers
            .get(server)
            .is_some_and(crate::server::KnownServer::is_failing);
        let is_empty = self.pool.count(server) == 0;
        if (is_failing || is_empty) && self.pool.opening(server) == 0 {
            self.connect_ahead(server);
        }
    }
}
