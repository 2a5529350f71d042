//! Queues of waiting statements, and sending them on connections to backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::{ConnectionId, ServerId, ServiceName, SessionId, Text};

use crate::choice::Candidates;
use crate::connection::{AnswerTo, Awaited, Purpose};
use crate::connection_choice::{ConnectionChoice, avoid_replacement};
use crate::job::{Job, JobId, Sending, Stage};
use crate::leaders::LeaderView;
use crate::rate_exchange::TokenState;
use crate::refusal::RETRY_HANDOVER;
use crate::state::State;
use crate::{Effect, FairQueue, Record, RecordKind, ServerRequest, TermPosition};

/// A statement waits for a primary that is being replaced for its timeout divided by this.
pub(crate) const HANDOVER_WAIT_DIVISOR: u32 = 2;

/// The outcome of an attempt to send a queued statement.
enum Dispatched {
    /// The statement was sent, or no longer exists.
    Sent,
    /// The statement has to stay in the queue.
    Waiting(Obstacle),
    /// The statement can't be served: the cause, and the time after which the client may retry.
    Refused(&'static str, Duration),
    /// The statement found no token of its account's limit.
    Limited,
}

/// What stops a statement from being sent, and others with it.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Obstacle {
    /// No server may be used at present, whatever its load; stops the statement's class.
    NoServer,
    /// Each server that may run the statement has enough outstanding statements or may get no new
    /// work; stops the statement's class.
    Saturated,
    /// No connection is free; stops the statements of the account in the class.
    NoConnection,
    /// No token of the account's limit is there yet; stops the same statements.
    NoToken,
}

impl State {
    /// Queues a statement and sends the statements of its service that can be sent. Refuses the
    /// statement, or another one in its place, if too many wait.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stage = Stage::Queued;
        let service = job.service.clone();
        if !self.enter_queue(id, &service) {
            return;
        }
        self.run_queue(&service);
    }

    /// Sends the waiting statements of all services that can be sent.
    pub(crate) fn run_all_queues(&mut self) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.run_queue(&service);
        }
    }

    /// Sends the waiting statements of a service that can be sent, and refuses those that can't be
    /// served.
    ///
    /// Once a statement can't be sent, those that the same obstacle stops are not tried, so that the
    /// cost of a run does not grow with the statements that have to wait.
    pub(crate) fn run_queue(&mut self, service: &ServiceName) {
        let now = self.now;
        let mut refused = Vec::new();
        let mut limited = Vec::new();
        let mut backlogged = BTreeSet::new();
        while let Some(id) = self.queue_of(service).and_then(|queue| queue.next(now)) {
            let outcome = self.dispatch(id);
            let Some(queue) = self.queue_of(service) else {
                break;
            };
            match outcome {
                Dispatched::Sent => queue.serve(id),
                Dispatched::Waiting(obstacle) => {
                    let Some((class, account)) = queue.class_of(id) else {
                        break;
                    };
                    if matches!(obstacle, Obstacle::Saturated | Obstacle::NoConnection) {
                        backlogged.insert(class);
                    }
                    match obstacle {
                        Obstacle::NoServer | Obstacle::Saturated => queue.hold_class(class),
                        Obstacle::NoConnection | Obstacle::NoToken => {
                            queue.hold(class, &account);
                        }
                    }
                }
                Dispatched::Refused(cause, retry_after) => {
                    queue.remove(id);
                    refused.push((id, cause, retry_after));
                }
                Dispatched::Limited => {
                    queue.remove(id);
                    limited.push(id);
                }
            }
        }
        refused.extend(self.take_impatient(service));
        if let Some(queue) = self.queue_of(service) {
            queue.end_run();
        }
        self.note_backlog(service, &backlogged);
        // A refusal starts the next statement that its client has pipelined, which needs the whole
        // queue to find its place.
        for (id, cause, retry_after) in refused {
            self.refuse(id, cause, retry_after);
        }
        for id in limited {
            self.refuse_waiting(id);
        }
    }

    /// Returns the queue of a service; none if it has had no statement yet.
    fn queue_of(&mut self, service: &ServiceName) -> Option<&mut FairQueue> {
        self.queues.get_mut(service)
    }

    /// Takes the statements from a queue that have waited for a pending leader for long enough, and
    /// returns them with their refusals.
    fn take_impatient(&mut self, service: &ServiceName) -> Vec<(JobId, &'static str, Duration)> {
        let now = self.now;
        let mut refused = Vec::new();
        if !matches!(self.leader_view(service), LeaderView::Pending(_)) {
            return refused;
        }
        let impatient = self.queue_of(service).map(|queue| queue.impatient(now));
        for id in impatient.unwrap_or_default() {
            if let Dispatched::Refused(cause, retry_after) = self.dispatch(id) {
                if let Some(queue) = self.queue_of(service) {
                    queue.remove(id);
                }
                refused.push((id, cause, retry_after));
            }
        }
        refused
    }

    /// Tries to send one waiting statement.
    fn dispatch(&mut self, id: JobId) -> Dispatched {
        match self.token_state(id) {
            TokenState::Present => {}
            TokenState::Expected => return Dispatched::Waiting(Obstacle::NoToken),
            TokenState::Refused => return Dispatched::Limited,
        }
        let Some(job) = self.jobs.get(&id) else {
            return Dispatched::Sent;
        };
        if let Some(connection) = self.bound_connection(job) {
            if !self.has_run(job.session) && !self.may_get_new_work_on(connection) {
                return Dispatched::Refused("the server is leaving", RETRY_HANDOVER);
            }
            self.send(id, connection, None);
            return Dispatched::Sent;
        }
        if job.needs_leader {
            self.dispatch_to_leader(id)
        } else {
            self.dispatch_to_any(id)
        }
    }

    /// Returns the connection that the statement's transaction is bound to.
    pub(crate) fn bound_connection(&self, job: &Job) -> Option<ConnectionId> {
        let session = self.sessions.get(&job.session)?;
        session
            .transaction
            .as_ref()
            .filter(|_| job.in_transaction)?
            .connection
    }

    /// Tries to send a statement that only the leader may run.
    fn dispatch_to_leader(&mut self, id: JobId) -> Dispatched {
        let Some(job) = self.jobs.get(&id) else {
            return Dispatched::Sent;
        };
        match self.leader_view(&job.service) {
            LeaderView::Confirmed(server) => {
                let choice = self.connection_for(job, &server);
                if let ConnectionChoice::Use(connection) = choice {
                    self.send(id, connection, None);
                    return Dispatched::Sent;
                }
                let account = job.account.clone();
                let obstacle = self.obstacle_at([&server]);
                self.prepare_connection(&server, account, &choice);
                Dispatched::Waiting(obstacle)
            }
            LeaderView::Pending(_) => {
                let patience = job.deadline.since(job.arrived) / HANDOVER_WAIT_DIVISOR;
                if self.now.since(job.arrived) < patience {
                    Dispatched::Waiting(Obstacle::NoServer)
                } else {
                    Dispatched::Refused("the primary is being replaced", RETRY_HANDOVER)
                }
            }
            LeaderView::Unavailable(cause) => Dispatched::Refused(cause, RETRY_HANDOVER),
        }
    }

    /// Tries to send a read to the best server that may serve it and has a free connection.
    fn dispatch_to_any(&mut self, id: JobId) -> Dispatched {
        let Some(job) = self.jobs.get(&id) else {
            return Dispatched::Sent;
        };
        let candidates = self.candidates(job);
        let Candidates { servers, floor } = candidates;
        if servers.is_empty() {
            return match self.leader_view(&job.service) {
                LeaderView::Pending(_) | LeaderView::Confirmed(_) => {
                    Dispatched::Waiting(Obstacle::NoServer)
                }
                LeaderView::Unavailable(_) => {
                    Dispatched::Refused("no server is fresh enough", RETRY_HANDOVER)
                }
            };
        }
        let mut choices = Vec::new();
        for candidate in servers {
            let choice = self.connection_for(job, &candidate.server);
            if let ConnectionChoice::Use(connection) = choice {
                self.send(id, connection, floor.filter(|_| !candidate.is_leader));
                return Dispatched::Sent;
            }
            choices.push((candidate, choice));
        }
        let account = job.account.clone();
        let obstacle = self.obstacle_at(choices.iter().map(|(candidate, _)| &candidate.server));
        avoid_replacement(&mut choices);
        for (candidate, choice) in choices {
            if self.prepare_connection(&candidate.server, account.clone(), &choice) {
                break;
            }
        }
        Dispatched::Waiting(obstacle)
    }

    /// Returns what stops a statement that could be sent to none of these servers.
    fn obstacle_at<'a>(&self, servers: impl IntoIterator<Item = &'a ServerId>) -> Obstacle {
        let takes_none =
            |server: &ServerId| self.statements_left(server) == 0 || !self.may_get_new_work(server);
        match servers.into_iter().all(takes_none) {
            true => Obstacle::Saturated,
            false => Obstacle::NoConnection,
        }
    }

    /// Sends a statement on a free connection of its account to a server.
    ///
    /// Returns false if no connection is free, or if the server has enough outstanding statements
    /// or may get no new work.
    pub(crate) fn send_to(
        &mut self,
        id: JobId,
        server: &ServerId,
        floor: Option<TermPosition>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let ConnectionChoice::Use(connection) = self.connection_for(job, server) else {
            return false;
        };
        self.send(id, connection, floor);
        true
    }

    /// Sends a statement on a connection.
    ///
    /// For the first statement of a transaction only the `BEGIN` is sent; the statement follows
    /// once the server has answered it.
    fn send(&mut self, id: JobId, connection: ConnectionId, floor: Option<TermPosition>) {
        self.take_token(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let session = job.session;
        if let Some(begin) = &job.pending_begin {
            let request = ServerRequest::Begin {
                reads_only: begin.reads_only,
                floor: floor.filter(|_| begin.reads_only),
            };
            self.bind(session, connection);
            self.record_sending(id, connection);
            return self.request(connection, request, AnswerTo::Begin(id));
        }
        self.record_sending(id, connection);
        if let Some(connection) = self.pool.get_mut(connection)
            && connection.purpose == Purpose::Free
        {
            connection.purpose = Purpose::Busy;
        }
        self.send_statement(id, connection, floor);
    }

    /// Sends a statement, preceded by the requests that bring the connection to its session's
    /// state.
    ///
    /// `floor` is the least log position that the server must have.
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
        let statement = job.request(floor);
        let Some(at) = self.pool.get_mut(connection) else {
            return;
        };
        at.note_statement(self.now);
        let mut requests = at.setup_for(session, job.shape.as_ref());
        let awaited = |answer_to| Awaited {
            answer_to,
            sent: self.now,
        };
        at.awaited
            .extend(requests.iter().map(|_| awaited(AnswerTo::Setup)));
        at.awaited.push_back(awaited(AnswerTo::Statement(id)));
        requests.push(statement);
        let floor = floor.map_or_else(|| "none".to_owned(), |floor| floor.to_string());
        let last_staying = self.servers.get(&at.server).and_then(|s| s.last_staying);
        let detail = format!(
            "{:?}, floor {floor}, waited {} ms, sending {}, server stayed {} ms ago",
            job.work,
            self.now.since(job.arrived).as_millis(),
            job.send_count,
            self.now.since(last_staying.unwrap_or_default()).as_millis(),
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

    /// Sends one of this daemon's own requests, such as `BEGIN`; `answer_to` classifies the answer.
    pub(crate) fn request(
        &mut self,
        connection: ConnectionId,
        request: ServerRequest,
        answer_to: AnswerTo,
    ) {
        if let Some(at) = self.pool.get_mut(connection) {
            at.awaited.push_back(Awaited {
                answer_to,
                sent: self.now,
            });
            self.effects.push(Effect::Send {
                connection,
                requests: vec![request],
            });
        }
    }

    /// Records in the job that it is being sent on a connection.
    fn record_sending(&mut self, id: JobId, connection: ConnectionId) {
        let Some(server) = self.pool.get(connection).map(|at| at.server.clone()) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.send_count += 1;
        let sending = Sending {
            connection,
            server,
            sent_at: self.now,
            term: self.leaders.term(&job.service),
        };
        match &mut job.stage {
            Stage::Sent(sendings) => sendings.push(sending),
            Stage::Queued => job.stage = Stage::Sent(vec![sending]),
        }
    }

    /// Binds a connection and a session's transaction to each other.
    fn bind(&mut self, session: SessionId, connection: ConnectionId) {
        if let Some(at) = self.pool.get_mut(connection) {
            at.purpose = Purpose::Transaction(session);
        }
        let session = self.sessions.get_mut(&session);
        if let Some(transaction) = session.and_then(|s| s.transaction.as_mut()) {
            transaction.connection = Some(connection);
            transaction.term = self.leaders.term(&transaction.route.service);
        }
    }

    /// Ends a job, logs its outcome and sends the answer to the client.
    pub(crate) fn deliver(&mut self, id: JobId, reply: crate::Reply) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.withdraw_token(&job);
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.remove(id);
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

    /// Drops a job whose client is gone. A statement that was sent still runs at its server; its
    /// answer is discarded.
    pub(crate) fn abandon(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            self.withdraw_token(&job);
            if let Some(queue) = self.queues.get_mut(&job.service) {
                queue.remove(id);
            }
        }
    }
}
