//! Requests for servers' status, and the numbers of prepared shapes.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, data};

use crate::connection::{Answer, Purpose};
use crate::session::Session;
use crate::state::State;
use crate::{ServerRequest, Shape};

/// How long a primary may go unheard of before it is asked: a fraction of the age that any route
/// allows, so that floors stay young.
const PROBE_IDLE: Duration = Duration::from_millis(400);

/// How often a server that is about to lead is asked.
const PROBE_OPENING: Duration = Duration::from_millis(40);

data! {
    /// The shapes that sessions have prepared, each with one number on all connections.
    #[derive(Default)]
    pub(crate) struct Shapes {
        numbers: BTreeMap<Shape, u32>,
        next: u32,
    }
}

/// The most shapes that keep their numbers.
const SHAPES_MAX: usize = 4_096;

impl Shapes {
    /// Returns the number of a shape, if it has one.
    pub(crate) fn number(&self, shape: &Shape) -> u32 {
        self.numbers.get(shape).copied().unwrap_or_default()
    }

    /// Gives a shape a number.
    ///
    /// Numbers are never given twice, so that forgetting all of them at the limit is safe.
    pub(crate) fn add(&mut self, shape: &Shape) {
        if self.numbers.contains_key(shape) {
            return;
        }
        if self.numbers.len() >= SHAPES_MAX {
            self.numbers.clear();
        }
        self.next += 1;
        self.numbers.insert(shape.clone(), self.next);
    }
}

impl State {
    /// Asks the leaders that have not been heard of lately.
    pub(crate) fn probe_all(&mut self) {
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
                (PROBE_IDLE, sampled.max(server.last_probe))
            } else {
                (PROBE_OPENING, server.last_probe)
            };
            if heard.is_none_or(|heard: Instant| self.now.since(heard) >= pause) {
                due.push(record.leader.clone());
            }
        }
        for server in due {
            self.probe(&server);
        }
    }

    /// Returns whether this daemon works with the servers of a service.
    pub(crate) fn works_with(&self, service: &ServiceName) -> bool {
        !self.is_out_of_work()
            && (self.is_home(service) || self.is_coordinator() || self.serves(service))
    }

    /// Returns whether sessions of a service are served here.
    fn serves(&self, service: &ServiceName) -> bool {
        let leads_there = |session: &Session| {
            self.route_to(&session.database)
                .is_some_and(|route| route.service == *service)
        };
        self.sessions.values().any(leads_there)
    }

    /// Asks a server for its status, on a new connection if no other is free to answer.
    pub(crate) fn probe(&mut self, server: &ServerId) {
        if self.pool.to(server).any(Self::awaits_status) {
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
            self.request(id, ServerRequest::Status, Answer::Status);
        } else {
            self.connect_if_stuck(server);
        }
    }

    /// Opens one connection more if nothing answers on the present ones.
    fn connect_if_stuck(&mut self, server: &ServerId) {
        let is_failing = self
            .servers
            .get(server)
            .is_some_and(crate::server::KnownServer::is_failing);
        let is_empty = self.pool.count(server) == 0;
        if (is_failing || is_empty) && self.pool.opening(server) == 0 {
            self.connect(server);
        }
    }
}
