//! Events of connections to backend servers: answers, failures to connect and lost connections, and
//! what follows for the statements on them.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, SessionId, TransactionStatus};

use crate::connection::{AnswerTo, Awaited, Connection, Purpose};
use crate::job::{Job, JobId, Sending, Stage, Work};
use crate::refusal::RETRY_BUSY;
use crate::state::State;
use crate::{
    ConnectFailure, Effect, ErrorCode, Failure, Record, RecordKind, Reply, ServerEvent,
    ServerStatus, TermPosition,
};

/// Limit on how many times a statement is sent.
const SENDS_MAX: u32 = 4;

/// The pause before a statement is sent again to a server that was too busy for it.
pub(crate) const BUSY_PAUSE: Duration = Duration::from_millis(10);

/// A statement is not sent again once its timeout divided by this has passed.
const RESEND_TIME_DIVISOR: u32 = 2;

impl State {
    /// Handles one event of a server connection.
    pub(crate) fn on_server(&mut self, event: ServerEvent) {
        match event {
            ServerEvent::Connected {
                connection,
                position,
            } => self.on_connected(connection, position),
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
            ServerEvent::Lost { connection } => self.on_lost(connection, "the connection broke"),
        }
    }

    /// Puts a new connection into use; closes it if it has been given up meanwhile.
    fn on_connected(&mut self, id: ConnectionId, position: Option<TermPosition>) {
        let Some(connection) = self.pool.get_mut(id) else {
            return self.effects.push(Effect::Disconnect { connection: id });
        };
        connection.is_open = true;
        connection.last_heard = self.now;
        connection.last_used = self.now;
        let serves_account = connection.account().is_some();
        let (server, before) = (connection.server.clone(), connection.position_before);
        self.note_answer(&server);
        self.note_opening_position(&server, before, position);
        // A connection of an account was opened for a statement that waits.
        if !serves_account || self.is_probe_due(&server) {
            self.probe(&server);
        }
        if let Some(service) = self.servers.get(&server).map(|s| s.record.service.clone()) {
            self.run_queue(&service);
        }
    }

    /// Records why a connection could not be opened, and renews the permission, which names the
    /// leaders that this daemon can't reach.
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
            ConnectFailure::Silent => server.note_connect_failure(connection.last_heard, false),
        }
        let service = server.record.service.clone();
        let detail = format!("opening it failed: {failure:?}");
        let line = Record::new(RecordKind::ConnectionClosed, detail.into())
            .service(&service)
            .server(&connection.server);
        self.log(line);
        self.renew_permission();
        self.run_queue(&service);
    }

    /// Records that a server answered, and logs it if the server was unreachable.
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

    /// Handles the answer to the oldest outstanding request of a connection.
    fn on_reply(&mut self, id: ConnectionId, reply: Reply, status: Option<ServerStatus>) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        connection.last_heard = self.now;
        let server = connection.server.clone();
        let Some(Awaited { answer_to, sent }) = connection.awaited.pop_front() else {
            return self.drop_connection(id, "the server sent an answer without a request");
        };
        self.note_answer(&server);
        self.note_position(&server, &reply, sent);
        match answer_to {
            AnswerTo::Setup => {
                if let Some(failure) = reply.failure() {
                    let cause = format!(
                        "the server failed to set up the session's state: {:?}",
                        failure.code
                    );
                    self.drop_connection(id, &cause);
                }
            }
            AnswerTo::Begin(job) => self.on_begun(id, job, reply),
            AnswerTo::Statement(job) => self.on_statement(id, job, reply, sent),
            AnswerTo::Rollback => {
                self.free_when_idle(id, reply.transaction);
                self.run_queue_of_account(id);
            }
            AnswerTo::Status => {
                if let Some(status) = status {
                    self.on_status(&server, status, sent);
                }
                self.free_when_idle(id, reply.transaction);
                self.run_queue_of_account(id);
            }
        }
    }

    /// Records the log position that comes with an answer.
    ///
    /// While the permission is valid, a position of the confirmed leader also becomes a sample for
    /// the floors of replicas: every write that was acknowledged before `sent` is at or before it.
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
        self.note_term(server, position.term);
        let is_confirmed_leader = self.leaders.named(&service) == Some(server)
            && self.leaders.term(&service) == Some(position.term);
        if is_confirmed_leader && self.permission.is_valid(self.now) {
            self.floors
                .entry(service)
                .or_default()
                .learn(sent, position);
        }
    }

    /// Handles the answer to a statement that was sent at `sent`.
    fn on_statement(&mut self, connection: ConnectionId, id: JobId, reply: Reply, sent: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return self.free_when_idle(connection, reply.transaction);
        };
        let latency = self.now.since(sent);
        if let Some(at) = self.pool.get(connection)
            && let Some(server) = self.servers.get_mut(&at.server)
            && reply.failure().is_none()
        {
            server.note_latency(latency);
        }
        let (session, in_transaction) = (job.session, job.in_transaction);
        if !reply
            .failure()
            .is_some_and(|failure| failure.code.is_not_run())
        {
            self.note_completion(id, latency);
        }
        if in_transaction {
            return self.on_transaction_statement(connection, id, reply);
        }
        self.free_when_idle(connection, reply.transaction);
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
        self.run_queue_of_connection(connection);
    }

    /// Answers a statement that ran.
    ///
    /// A write or commit at the primary is acknowledged only while the permission is valid and its
    /// service has reached no later term; else the primary may have been replaced, and the outcome
    /// counts as unknown.
    pub(crate) fn complete(&mut self, id: JobId, session: SessionId, reply: Reply) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.work != Work::Read {
            if job.needs_leader && !self.permission.is_valid(self.now) {
                return self.answer_unknown(id, "the permission ended before the answer came");
            }
            if job.needs_leader && self.ran_at_superseded(job, &reply) {
                return self
                    .answer_unknown(id, "the primary was superseded before the answer came");
            }
            // A transaction that only reads commits nothing at a replica.
            if job.needs_leader
                && let Some(session) = self.sessions.get_mut(&session)
            {
                session.own_writes.note(&job.service, reply.position);
            }
        }
        self.deliver(id, reply);
    }

    /// Returns whether a write was answered by a server that was the primary of a term that its service
    /// has left.
    ///
    /// A primary that has committed nothing yet reports a position of the term before.
    fn ran_at_superseded(&self, job: &Job, reply: &Reply) -> bool {
        let reached = self.leaders.reached(&job.service);
        let is_earlier = reply
            .position
            .is_some_and(|position| position.term < reached);
        let Stage::Sent(sendings) = &job.stage else {
            return is_earlier;
        };
        let leads = |sending: &Sending| self.leaders.leads(&job.service, &sending.server);
        is_earlier && !sendings.iter().any(leads)
    }

    /// Returns whether a statement outside a transaction may be sent again after a failure: if it
    /// did not run, or if it only reads and failed at the server. A statement that is not prepared
    /// is not sent again.
    fn may_resend(&self, id: JobId, failure: &Failure) -> bool {
        let is_read = self.jobs.get(&id).is_some_and(|job| job.work == Work::Read);
        let has_failed_at_server = matches!(failure.code, ErrorCode::Failed | ErrorCode::Aborted);
        (failure.code.is_not_run() && failure.code != ErrorCode::NoStatement)
            || (is_read && has_failed_at_server)
    }

    /// Returns whether a statement may be sent once more within its time and [`SENDS_MAX`].
    pub(crate) fn can_send_again(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            let time = job.deadline.since(job.arrived) / RESEND_TIME_DIVISOR;
            job.send_count < SENDS_MAX && self.now.since(job.arrived) < time
        })
    }

    /// Sends a statement that has not run, or a read that failed, once more if there is time.
    ///
    /// While another server still has the statement, its answer is awaited instead.
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
                    self.leaders.unconfirm(&id, now);
                    self.probe(&id);
                }
                _ => {}
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(server) = server {
            job.failed_servers.push(server);
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
        if self.can_send_again(id) {
            let cause = format!("{:?}", failure.code);
            self.requeue(id, &cause, pause);
        } else if failure.code.is_not_run() {
            let cause = format!("the servers answered {:?}", failure.code);
            self.refuse(id, &cause, RETRY_BUSY);
        } else {
            self.fail(id, failure.clone());
        }
    }

    /// Puts a statement back into its queue; it is not sent again before `pause` has passed.
    pub(crate) fn requeue(&mut self, id: JobId, cause: &str, pause: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.earliest_send = self.now + pause;
        let detail = format!("{cause}; sent {} times", job.send_count);
        let line = Record::new(RecordKind::RequestRetried, detail.into())
            .service(&job.service)
            .request(job.session, &job.query.id);
        self.log(line);
        if self.take_present_account(id) {
            self.enqueue(id);
        }
    }

    /// Sends the waiting statements of the service that a connection's server belongs to.
    pub(crate) fn run_queue_of_connection(&mut self, connection: ConnectionId) {
        let server = self
            .pool
            .get(connection)
            .and_then(|at| self.servers.get(&at.server));
        if let Some(service) = server.map(|server| server.record.service.clone()) {
            self.run_queue(&service);
        }
    }

    /// Sends the waiting statements after an answer to a request of this daemon, if the connection
    /// serves an account: it may be the only one that the account's statements can use.
    fn run_queue_of_account(&mut self, connection: ConnectionId) {
        let at = self.pool.get(connection);
        if at.is_some_and(|at| at.account().is_some()) {
            self.run_queue_of_connection(connection);
        }
    }

    /// Closes a faulty connection and fails or resends the statements on it.
    pub(crate) fn drop_connection(&mut self, id: ConnectionId, cause: &str) {
        self.effects.push(Effect::Disconnect { connection: id });
        self.on_lost(id, cause);
    }

    /// Removes a lost connection and fails or resends the statements whose answers were
    /// outstanding.
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
        for Awaited { answer_to, .. } in awaited {
            match answer_to {
                AnswerTo::Begin(job) => self.on_begin_lost(job, id),
                AnswerTo::Statement(job) => self.on_statement_lost(job, id, &server),
                AnswerTo::Setup | AnswerTo::Rollback | AnswerTo::Status => {}
            }
        }
        if let Purpose::Transaction(session) = purpose
            && self.is_bound(session, id)
        {
            self.abort_transaction(session, "the connection to the server broke");
        }
        if let Some(service) = service {
            self.probe(&server);
            self.run_queue(&service);
        }
    }

    /// Handles the loss of a connection on which a `BEGIN` was unanswered: nothing of the
    /// transaction has run, so that it can begin elsewhere.
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

    /// Handles the loss of a connection on which a statement was unanswered: a transaction is
    /// aborted, the outcome of a write is unknown, and a read is sent again.
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
            return self.answer_unknown(id, "the connection to the server broke");
        }
        job.failed_servers.push(server.clone());
        let failure = Failure::new(ErrorCode::Failed, "the connection to the server broke");
        self.resend_or_refuse(id, connection, &failure);
    }
}
