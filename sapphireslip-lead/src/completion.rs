//! What connections to backend servers bring: answers, losses, and what follows for statements.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, SessionId, TransactionStatus};

use crate::connection::{Answer, Awaited, Connection, Purpose};
use crate::job::{JobId, Stage, Work};
use crate::refusal::RETRY_BUSY;
use crate::state::State;
use crate::{
    ConnectFailure, Effect, ErrorCode, Failure, Record, RecordKind, Reply, ServerEvent,
    ServerStatus,
};

/// How often a statement is sent at the most.
const SENDS_MAX: u32 = 4;

/// The pause before a statement goes to the server that was too busy for it.
pub(crate) const BUSY_PAUSE: Duration = Duration::from_millis(10);

/// The share of a statement's time after which it is not sent again.
const RESEND_SHARE: u32 = 2;

impl State {
    pub(crate) fn on_server(&mut self, event: ServerEvent) {
        match event {
            ServerEvent::Connected { connection } => self.on_connected(connection),
            ServerEvent::ConnectFailed {
                connection,
                failure,
            } => {
                self.on_connect_failed(connection, &failure);
            }
            ServerEvent::Replied {
                connection,
                reply,
                status,
            } => {
                self.on_reply(connection, reply, status);
            }
            ServerEvent::Lost { connection } => self.on_lost(connection, "it broke"),
        }
    }

    fn on_connected(&mut self, id: ConnectionId) {
        let Some(connection) = self.pool.get_mut(id) else {
            return self.effects.push(Effect::Disconnect { connection: id });
        };
        connection.is_open = true;
        connection.heard = self.now;
        let server = connection.server.clone();
        self.note_answer(&server);
        self.probe(&server);
        if let Some(service) = self.servers.get(&server).map(|s| s.record.service.clone()) {
            self.run_lane(&service);
        }
    }

    fn on_connect_failed(&mut self, id: ConnectionId, failure: &ConnectFailure) {
        let Some(connection) = self.pool.remove(id) else {
            return;
        };
        let now = self.now;
        let Some(server) = self.servers.get_mut(&connection.server) else {
            return;
        };
        match failure {
            ConnectFailure::Limit => {
                server.note_answer(now);
                server.note_connection_limit(now);
            }
            ConnectFailure::Refused => server.note_connect_failure(now, true),
            ConnectFailure::Misrouted => server.note_connect_failure(now, true),
            ConnectFailure::Silent => server.note_connect_failure(connection.heard, false),
        }
        let service = server.record.service.clone();
        let detail = format!("opening it failed: {failure:?}");
        let line = Record::new(RecordKind::ConnectionClosed, detail.into())
            .service(&service)
            .server(&connection.server);
        self.log(line);
        self.renew_permission();
        self.run_lane(&service);
    }

    fn note_answer(&mut self, server: &sapphireslip_core::ServerId) {
        let now = self.now;
        let was_unreachable = self
            .servers
            .get_mut(server)
            .is_some_and(|known| known.note_answer(now));
        if was_unreachable {
            let line = Record::new(RecordKind::ServerReachable, "answers again".into());
            self.log(line.server(server));
        }
    }

    fn on_reply(&mut self, id: ConnectionId, reply: Reply, status: Option<ServerStatus>) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        connection.heard = self.now;
        let server = connection.server.clone();
        let Some(Awaited { what, sent }) = connection.awaited.pop_front() else {
            return self.lose(id, "an answer came that nothing had asked for");
        };
        self.note_answer(&server);
        self.note_position(&server, &reply, sent);
        match what {
            Answer::Setup => {
                if let Some(failure) = reply.failure() {
                    let cause = format!("the session's state was refused: {:?}", failure.code);
                    self.lose(id, &cause);
                }
            }
            Answer::Begin(job) => self.on_begun(id, job, reply),
            Answer::Statement(job) => self.on_statement(id, job, reply, sent),
            Answer::Rollback => self.free_after(id, reply.transaction),
            Answer::Status => {
                if let Some(status) = status {
                    self.on_status(&server, status, sent);
                }
                self.free_after(id, reply.transaction);
            }
        }
    }

    /// Learns from the position that comes with each answer.
    fn note_position(
        &mut self,
        server: &sapphireslip_core::ServerId,
        reply: &Reply,
        sent: Instant,
    ) {
        let Some(position) = reply.position else {
            return;
        };
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.position = Some(position);
        let service = known.record.service.clone();
        let leaders = self.leaders.named(&service) == Some(server)
            && self.leaders.term(&service) == Some(position.term);
        if leaders && self.permission.is_valid(self.now) {
            self.floors
                .entry(service)
                .or_default()
                .learn(sent, position);
        }
    }

    fn on_statement(&mut self, connection: ConnectionId, id: JobId, reply: Reply, sent: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return self.free_after(connection, reply.transaction);
        };
        let latency = self.now.since(sent);
        if let Some(at) = self.pool.get(connection)
            && let Some(server) = self.servers.get_mut(&at.server)
            && reply.failure().is_none()
        {
            server.note_latency(latency);
        }
        let (session, in_transaction) = (job.session, job.in_transaction);
        if in_transaction {
            return self.on_transaction_statement(connection, id, reply);
        }
        self.free_after(connection, reply.transaction);
        match reply.failure().cloned() {
            None => self.complete(id, session, reply),
            Some(failure) if self.may_resend(id, &failure) => {
                self.resend_or_refuse(id, connection, &failure);
            }
            Some(_) => self.deliver(
                id,
                Reply {
                    transaction: TransactionStatus::Idle,
                    ..reply
                },
            ),
        }
        self.run_lane_of(connection);
    }

    /// Acknowledges a statement that ran; a write only while the permission holds, as a primary
    /// may have been replaced otherwise.
    pub(crate) fn complete(&mut self, id: JobId, session: SessionId, reply: Reply) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.work != Work::Read {
            if job.needs_leader && !self.permission.is_valid(self.now) {
                return self.give_up_unknown(id, "the permission ended before the answer came");
            }
            let written = reply
                .position
                .map(|position| (job.service.clone(), position));
            if let Some(session) = self.sessions.get_mut(&session) {
                session.written = written.or(session.written.take());
            }
        }
        self.deliver(id, reply);
    }

    /// Returns whether a failure leaves a statement outside transactions free to be sent again.
    fn may_resend(&self, id: JobId, failure: &Failure) -> bool {
        let is_read = self.jobs.get(&id).is_some_and(|job| job.work == Work::Read);
        let ran_in_vain = matches!(failure.code, ErrorCode::Failed | ErrorCode::Aborted);
        (failure.code.is_not_run() && failure.code != ErrorCode::NoStatement)
            || (is_read && ran_in_vain)
    }

    /// Returns whether there is time, and a send left, for another attempt.
    pub(crate) fn has_time(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            let time = job.deadline.since(job.arrived) / RESEND_SHARE;
            job.sends < SENDS_MAX && self.now.since(job.arrived) < time
        })
    }

    /// Sends a statement that has not run, or read in vain, once more if there is time.
    pub(crate) fn resend_or_refuse(
        &mut self,
        id: JobId,
        connection: ConnectionId,
        failure: &Failure,
    ) {
        let server = self.pool.get(connection).map(|at| at.server.clone());
        let now = self.now;
        if let Some(known) = server
            .as_ref()
            .and_then(|server| self.servers.get_mut(server))
        {
            match failure.code {
                ErrorCode::Lagging => known.note_lagging(now),
                ErrorCode::ReadOnly => {
                    let id = known.record.id.clone();
                    self.leaders.unconfirm(&id);
                    self.probe(&id);
                }
                _ => {}
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(server) = server {
            job.tried.push(server);
        }
        if let Stage::Sent(sendings) = &mut job.stage {
            sendings.retain(|sending| sending.connection != connection);
            if !sendings.is_empty() {
                return;
            }
        }
        let pause = match failure.code {
            ErrorCode::Busy if job.needs_leader => BUSY_PAUSE,
            _ => Duration::ZERO,
        };
        if self.has_time(id) {
            let cause = format!("{:?}", failure.code);
            self.send_again(id, &cause, pause);
        } else if failure.code.is_not_run() {
            let cause = format!("the servers answered {:?}", failure.code);
            self.refuse(id, &cause, RETRY_BUSY);
        } else {
            self.fail(id, failure.clone());
        }
    }

    /// Puts a statement back into its lane.
    pub(crate) fn send_again(&mut self, id: JobId, cause: &str, pause: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.not_before = self.now + pause;
        let detail = format!("{cause}; sent {} times", job.sends);
        let line = Record::new(RecordKind::RequestRetried, detail.into())
            .service(&job.service)
            .request(job.session, &job.query.id);
        self.log(line);
        self.enqueue(id);
    }

    pub(crate) fn run_lane_of(&mut self, connection: ConnectionId) {
        let server = self
            .pool
            .get(connection)
            .and_then(|at| self.servers.get(&at.server));
        if let Some(service) = server.map(|server| server.record.service.clone()) {
            self.run_lane(&service);
        }
    }

    /// Closes a connection for a fault.
    pub(crate) fn lose(&mut self, id: ConnectionId, cause: &str) {
        self.effects.push(Effect::Disconnect { connection: id });
        self.on_lost(id, cause);
    }

    fn on_lost(&mut self, id: ConnectionId, cause: &str) {
        let Some(connection) = self.pool.remove(id) else {
            return;
        };
        let detail = format!("{cause}; {} answers were due", connection.awaited.len());
        let line = Record::new(RecordKind::ConnectionClosed, detail.into());
        self.log(line.server(&connection.server));
        let now = self.now;
        let known = self.servers.get_mut(&connection.server);
        let service = known.map(|server| {
            server.note_failure(now);
            server.record.service.clone()
        });
        let Connection {
            awaited,
            purpose,
            server,
            ..
        } = connection;
        for Awaited { what, .. } in awaited {
            match what {
                Answer::Begin(job) => self.on_begin_lost(job, id),
                Answer::Statement(job) => self.on_statement_lost(job, id, &server),
                Answer::Setup | Answer::Rollback | Answer::Status => {}
            }
        }
        if let Purpose::Transaction(session) = purpose
            && self.is_bound(session, id)
        {
            self.abort_transaction(session, "the connection to the server broke");
        }
        if let Some(service) = service {
            self.probe(&server);
            self.run_lane(&service);
        }
    }

    /// A begin whose connection broke: nothing of the transaction has run.
    fn on_begin_lost(&mut self, id: JobId, connection: ConnectionId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let session = job.session;
        if let Some(transaction) = self.transaction_mut(session) {
            transaction.connection = None;
        }
        let failure = Failure::new(ErrorCode::Busy, "the connection to the server broke");
        self.resend_or_refuse(id, connection, &failure);
    }

    fn on_statement_lost(
        &mut self,
        id: JobId,
        connection: ConnectionId,
        server: &sapphireslip_core::ServerId,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.in_transaction {
            let session = job.session;
            return self.abort_transaction(session, "the connection to the server broke");
        }
        if job.work != Work::Read {
            return self.give_up_unknown(id, "the connection to the server broke");
        }
        job.tried.push(server.clone());
        let failure = Failure::new(ErrorCode::Failed, "the connection to the server broke");
        self.resend_or_refuse(id, connection, &failure);
    }
}
