//! Waiting statements, and their way to a connection.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, ServerId, ServiceName, SessionId, Text};

use crate::choice::Candidates;
use crate::connection::{Answer, Awaited, Purpose};
use crate::job::{Job, JobId, Sending, Stage, Work};
use crate::leaders::LeaderView;
use crate::refusal::{RETRY_BUSY, RETRY_HANDOVER};
use crate::state::State;
use crate::{Effect, Record, RecordKind, ServerRequest, TermPosition};

/// How long one daemon's queue of a service may be: at 2 slots a server and 9 ms a statement this
/// many end within a second.
const LANE_MAX: usize = 200;

/// The share of a statement's time that it may wait for a primary that is being replaced.
const HANDOVER_SHARE: u32 = 2;

/// What became of an attempt to send a statement.
enum Placed {
    Sent,
    Waits,
    Refused(&'static str, Duration),
}

impl State {
    /// Puts a statement into its service's lane by priority and age, and sends what can be sent.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stage = Stage::Queued;
        let service = job.service.clone();
        let rank = (job.priority, id);
        let lane = self.lanes.entry(service.clone()).or_default();
        if lane.len() >= LANE_MAX {
            return self.refuse(id, "too many statements wait", RETRY_BUSY);
        }
        let rank_of = |other: &JobId| self.jobs.get(other).map(|job| (job.priority, *other));
        let place = lane.partition_point(|other| rank_of(other) <= Some(rank));
        lane.insert(place, id);
        self.run_lane(&service);
    }

    pub(crate) fn run_all_lanes(&mut self) {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let services: Vec<_> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.run_lane(&service);
        }
    }

    /// Sends the waiting statements of a service that can be sent.
    pub(crate) fn run_lane(&mut self, service: &ServiceName) {
        let Some(lane) = self.lanes.get_mut(service) else {
            return;
        };
        let waiting = std::mem::take(lane);
        for id in waiting {
            match self.place(id) {
                Placed::Sent => {}
                Placed::Waits => self.lanes.entry(service.clone()).or_default().push(id),
                Placed::Refused(cause, retry_after) => self.refuse(id, cause, retry_after),
            }
        }
    }

    fn place(&mut self, id: JobId) -> Placed {
        let Some(job) = self.jobs.get(&id) else {
            return Placed::Sent;
        };
        if self.now < job.not_before {
            return Placed::Waits;
        }
        if let Some(connection) = self.bound_connection(job) {
            self.send(id, connection, None);
            return Placed::Sent;
        }
        if job.needs_leader {
            self.place_at_leader(id)
        } else {
            self.place_anywhere(id)
        }
    }

    /// Returns the connection of the statement's transaction.
    fn bound_connection(&self, job: &Job) -> Option<ConnectionId> {
        let session = self.sessions.get(&job.session)?;
        session
            .transaction
            .as_ref()
            .filter(|_| job.in_transaction)?
            .connection
    }

    fn place_at_leader(&mut self, id: JobId) -> Placed {
        let Some(job) = self.jobs.get(&id) else {
            return Placed::Sent;
        };
        match self.leader_view(&job.service) {
            LeaderView::Confirmed(server) => {
                if self.send_to(id, &server, None) {
                    Placed::Sent
                } else {
                    self.open_for(&server);
                    Placed::Waits
                }
            }
            LeaderView::Pending(_) => {
                let patience = job.deadline.since(job.arrived) / HANDOVER_SHARE;
                if self.now.since(job.arrived) < patience {
                    Placed::Waits
                } else {
                    Placed::Refused("the primary is being replaced", RETRY_HANDOVER)
                }
            }
            LeaderView::Unavailable(cause) => Placed::Refused(cause, RETRY_HANDOVER),
        }
    }

    fn place_anywhere(&mut self, id: JobId) -> Placed {
        let Some(job) = self.jobs.get(&id) else {
            return Placed::Sent;
        };
        let candidates = self.candidates(job);
        let Candidates { servers, floor } = candidates;
        if servers.is_empty() {
            return match self.leader_view(&job.service) {
                LeaderView::Pending(_) | LeaderView::Confirmed(_) => Placed::Waits,
                LeaderView::Unavailable(_) => {
                    Placed::Refused("no server is fresh enough", RETRY_HANDOVER)
                }
            };
        }
        for candidate in &servers {
            let floor = floor.filter(|_| !candidate.is_leader);
            if self.send_to(id, &candidate.server, floor) {
                return Placed::Sent;
            }
        }
        for candidate in &servers {
            if self.open_for(&candidate.server) {
                break;
            }
        }
        Placed::Waits
    }

    /// Sends a statement on a free connection to a server; returns false if none is free.
    pub(crate) fn send_to(
        &mut self,
        id: JobId,
        server: &ServerId,
        floor: Option<TermPosition>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let Some(session) = self.sessions.get(&job.session) else {
            return false;
        };
        if self.is_loaded(server) {
            return false;
        }
        let number = job.shape.as_ref().map(|shape| self.shapes.number(shape));
        let Some(connection) = self.pool.free(server, session, number) else {
            return false;
        };
        self.send(id, connection, floor);
        true
    }

    /// Sends a statement on a connection, after the begin of its transaction if it is the first.
    fn send(&mut self, id: JobId, connection: ConnectionId, floor: Option<TermPosition>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let session = job.session;
        if let Some(begin) = &job.begins {
            let request = ServerRequest::Begin {
                reads_only: begin.reads_only,
                floor: floor.filter(|_| begin.reads_only),
            };
            self.bind(session, connection);
            self.note_sending(id, connection);
            return self.request(connection, request, Answer::Begin(id));
        }
        self.note_sending(id, connection);
        if let Some(connection) = self.pool.get_mut(connection)
            && connection.purpose == Purpose::Free
        {
            connection.purpose = Purpose::Busy;
        }
        self.send_statement(id, connection, floor);
    }

    /// Sends a statement with what brings the connection to its session's state.
    pub(crate) fn send_statement(
        &mut self,
        id: JobId,
        connection: ConnectionId,
        floor: Option<TermPosition>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(session) = self.sessions.get(&job.session) else {
            return;
        };
        let number = job.shape.as_ref().map(|shape| self.shapes.number(shape));
        let statement = job.request(floor, number);
        let Some(at) = self.pool.get_mut(connection) else {
            return;
        };
        let shape = number.zip(job.shape.as_ref());
        let mut requests = match job.work {
            Work::Commit => Vec::new(),
            Work::Read | Work::Write => at.bring_to(session, shape),
        };
        let awaited = |what| Awaited {
            what,
            sent: self.now,
        };
        at.awaited
            .extend(requests.iter().map(|_| awaited(Answer::Setup)));
        at.awaited.push_back(awaited(Answer::Statement(id)));
        requests.push(statement);
        let floor = floor.map_or_else(|| "none".to_owned(), |floor| floor.to_string());
        let detail = format!(
            "{:?}, floor {floor}, waited {} ms, sending {}",
            job.work,
            self.now.since(job.arrived).as_millis(),
            job.sends,
        );
        let line = Record::new(RecordKind::RequestSent, detail.into())
            .service(&job.service)
            .server(&at.server)
            .request(job.session, &job.query.id);
        self.log(line);
        self.effects.push(Effect::Send {
            connection,
            requests,
        });
    }

    /// Sends one request of this daemon's own.
    pub(crate) fn request(
        &mut self,
        connection: ConnectionId,
        request: ServerRequest,
        what: Answer,
    ) {
        if let Some(at) = self.pool.get_mut(connection) {
            at.awaited.push_back(Awaited {
                what,
                sent: self.now,
            });
            self.effects.push(Effect::Send {
                connection,
                requests: vec![request],
            });
        }
    }

    fn note_sending(&mut self, id: JobId, connection: ConnectionId) {
        let Some(server) = self.pool.get(connection).map(|at| at.server.clone()) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.sends += 1;
        let sending = Sending {
            connection,
            server,
            at: self.now,
        };
        match &mut job.stage {
            Stage::Sent(sendings) => sendings.push(sending),
            Stage::Queued => job.stage = Stage::Sent(vec![sending]),
        }
    }

    /// Binds a connection to a session's transaction.
    fn bind(&mut self, session: SessionId, connection: ConnectionId) {
        if let Some(at) = self.pool.get_mut(connection) {
            at.purpose = Purpose::Transaction(session);
        }
        let session = self.sessions.get_mut(&session);
        if let Some(transaction) = session.and_then(|s| s.transaction.as_mut()) {
            transaction.connection = Some(connection);
        }
    }

    /// Opens another connection to a server if it may have one; returns whether one is on its way.
    pub(crate) fn open_for(&mut self, server: &ServerId) -> bool {
        if self.pool.opening(server) > 0 {
            return true;
        }
        if self.is_loaded(server) || self.pool.count(server) >= self.connections_max(server) {
            return false;
        }
        self.connect(server)
    }

    /// Opens a connection; returns false if the server has lately refused one, or this daemon has no
    /// use for it.
    pub(crate) fn connect(&mut self, server: &ServerId) -> bool {
        let Some(known) = self.servers.get(server) else {
            return false;
        };
        if !known.may_connect(self.now) || self.lacks_permission_for_long() {
            return false;
        }
        let (address, service) = (known.record.address, known.record.service.clone());
        let connection = self.pool.open(server, self.now);
        self.effects.push(Effect::Connect {
            connection,
            address,
            service,
            server: server.clone(),
        });
        true
    }

    /// Hands the answer of a statement to its caller.
    pub(crate) fn deliver(&mut self, id: JobId, reply: crate::Reply) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&job.service) {
            lane.retain(|other| *other != id);
        }
        if let Some(session) = self.sessions.get_mut(&job.session) {
            session.running = None;
        }
        let outcome = match reply.failure() {
            None => Text::from("complete"),
            Some(failure) => format!("{:?}", failure.code).into(),
        };
        let detail = format!(
            "{outcome}, after {} ms",
            self.now.since(job.arrived).as_millis()
        );
        let line = Record::new(RecordKind::RequestAnswered, detail.into())
            .service(&job.service)
            .elapsed(self.now.since(job.arrived))
            .request(job.session, &job.query.id);
        self.log(line);
        self.answer(job.session, reply);
    }

    /// Drops a statement whose caller is gone; what was sent goes on, and nobody hears of it.
    pub(crate) fn abandon(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id)
            && let Some(lane) = self.lanes.get_mut(&job.service)
        {
            lane.retain(|other| *other != id);
        }
    }
}
