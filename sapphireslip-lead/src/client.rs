//! Client events: opens, forwards, serves and closes sessions, and accepts their statements.

use sapphireslip_core::{ServiceName, SessionId, Text, TransactionStatus};

use crate::drain::STOPPING;
use crate::job::{Begin, Job, JobId, Stage, Work};
use crate::own_writes::OwnWrite;
use crate::refusal::{RETRY_ELSEWHERE, busy};
use crate::session::{Opening, PIPELINED_STATEMENTS_MAX, Session};
use crate::session_statement::StatementAction;
use crate::state::State;
use crate::waiting_session::WaitingSession;
use crate::{
    ClientEvent, Effect, ErrorCode, Failure, Freshness, Query, Record, RecordKind, Reply, Route,
};

impl State {
    /// Handles one event of a client connection.
    pub(crate) fn on_client(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Opened {
                session,
                database,
                key,
                forwarder_version,
            } => self.open_session(session, Opening { database, key }, forwarder_version),
            ClientEvent::Query { session, query } => self.on_query(session, query),
            ClientEvent::RelayFailed {
                session,
                is_refused,
            } => self.on_relay_failed(session, is_refused),
            ClientEvent::RelayLost { session } => self.close_relay(session),
            ClientEvent::RelayQuery {
                session,
                request,
                may_write,
            } => {
                self.on_relay_query(session, request, may_write);
            }
            ClientEvent::RelayAnswered { session, status } => {
                self.on_relay_answered(session, status);
            }
            ClientEvent::Closed { session } => self.on_closed(session),
        }
    }

    /// Serves, forwards or refuses a new session, or lets it wait until the daemon can place or take it.
    ///
    /// `forwarder_version` is the configuration version of the daemon that forwarded the session. A
    /// daemon with an older configuration refuses it, and so does one that may not take sessions or
    /// has no place for most of them, so that all daemons of a zone that is cut off learn of it.
    fn open_session(
        &mut self,
        session: SessionId,
        client: Opening,
        forwarder_version: Option<u64>,
    ) {
        if self.is_past_last_statement() {
            return self.refuse_session(session, busy(STOPPING, RETRY_ELSEWHERE));
        }
        match forwarder_version {
            None if self.can_place_sessions() => self.place_session(session, client, 0),
            Some(version) if !self.should_wait_for_start() => {
                self.take_forwarded_session(session, client, version);
            }
            forwarder_version => self.waiting_sessions.push(WaitingSession {
                session,
                client,
                forwarder_version,
                refusals: 0,
                from: self.now,
            }),
        }
    }

    /// Serves a session that a daemon with this version of the configuration forwarded, or refuses it.
    pub(crate) fn take_forwarded_session(
        &mut self,
        session: SessionId,
        client: Opening,
        forwarder_version: u64,
    ) {
        let version = self.catalog.as_ref().map(|catalog| catalog.version);
        let may_take = self.may_take_sessions() && !self.reach.is_cut_off();
        if version < Some(forwarder_version) || !may_take {
            let failure = busy("another daemon should serve this session", RETRY_ELSEWHERE);
            self.refuse_session(session, failure);
        } else if self.admit_session(session, &client).is_some() {
            self.serve_session(session, client, true);
        }
    }

    /// Forwards a client's session, which was refused `refusals` times, to the home of its service, or
    /// serves it on this daemon.
    pub(crate) fn place_session(&mut self, session: SessionId, client: Opening, refusals: u8) {
        let Some(service) = self.admit_session(session, &client) else {
            return;
        };
        let home = self.other_home(&service);
        let home = match home {
            None if !self.can_get_permission() => self.home_elsewhere(&service),
            home => home,
        };
        match home {
            Some(home) => self.forward_session(session, client, home, refusals),
            None => self.serve_session(session, client, false),
        }
    }

    /// Returns the service that a new session's database leads to.
    ///
    /// Refuses the session if no route leads to the database or if the client's key belongs to no
    /// account, for good or, if the configuration may be outdated, for a while.
    fn admit_session(&mut self, session: SessionId, client: &Opening) -> Option<ServiceName> {
        let Some(route) = self.route_to(&client.database).cloned() else {
            self.refuse_database(session, &client.database);
            return None;
        };
        if let Err(failure) = self.identify(client.key, &route) {
            self.refuse_session(session, self.refusal_of_unknown_key(failure));
            return None;
        }
        Some(route.service)
    }

    /// Returns the route of a database in the current configuration.
    pub(crate) fn route_to(&self, database: &Text) -> Option<&Route> {
        self.catalog.as_ref()?.routes.get(database)
    }

    /// Refuses a session whose database has no route.
    fn refuse_database(&mut self, session: SessionId, database: &Text) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let text = format!("no route leads to database `{database}` in configuration {version}");
        self.refuse_session(session, Failure::new(ErrorCode::NoDatabase, &text));
    }

    /// Logs the refusal of a session and closes its connection with `failure`.
    pub(crate) fn refuse_session(&mut self, session: SessionId, failure: Failure) {
        let line = Record::new(RecordKind::RequestRefused, Text::clone(&failure.text));
        self.log(Record {
            session: Some(session),
            ..line
        });
        self.effects.push(Effect::CloseSession {
            session,
            failure: Some(failure),
        });
    }

    /// Serves a session on this daemon and renews the permission if that is due.
    pub(crate) fn serve_session(&mut self, id: SessionId, client: Opening, is_forwarded: bool) {
        self.add_session(id, Session::new(client, self.now, is_forwarded));
        self.effects.push(Effect::Welcome {
            session: id,
            is_forwarded,
        });
        self.note_session_account(id);
        self.renew_permission();
    }

    /// Starts a statement, or queues it in its session while another one runs.
    ///
    /// A session that pipelines more than [`PIPELINED_STATEMENTS_MAX`] statements is closed.
    fn on_query(&mut self, id: SessionId, query: Query) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.running.is_none() {
            return self.start(id, query);
        }
        if session.pipelined.len() < PIPELINED_STATEMENTS_MAX {
            session.pipelined.push_back(query);
            return;
        }
        let text = format!(
            "more than {PIPELINED_STATEMENTS_MAX} statements were sent without waiting for answers"
        );
        let failure = Some(Failure::new(ErrorCode::Malformed, &text));
        self.effects.push(Effect::CloseSession {
            session: id,
            failure,
        });
        self.on_closed(id);
    }

    /// Starts a statement of a session that has none running.
    pub(crate) fn start(&mut self, id: SessionId, query: Query) {
        if let Err(failure) = self.identify_session(id) {
            self.end_transaction(id);
            self.answer_failure(id, &query, failure);
            return self.close_when_idle(id);
        }
        match self.apply_statement(id, query.statement.as_ref()) {
            StatementAction::Done => self.answer_done(id),
            StatementAction::Failed(failure) => self.answer_failure(id, &query, failure),
            StatementAction::Run(work, shape) => self.submit(id, query, work, shape),
        }
    }

    /// Returns the route of a session's database in the current configuration.
    pub(crate) fn route_of(&self, id: SessionId) -> Option<Route> {
        let session = self.sessions.get(&id)?;
        self.route_to(&session.database).cloned()
    }

    /// Creates and queues a job for a statement that needs a backend server.
    ///
    /// A transaction keeps the route that it began with.
    fn submit(&mut self, id: SessionId, query: Query, work: Work, shape: Option<crate::Shape>) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let transaction = session.transaction.as_ref();
        let route = match transaction {
            Some(transaction) => Some(transaction.route.clone()),
            None => self.route_of(id),
        };
        let Some(route) = route else {
            let failure = self.no_route(id);
            return self.answer_failure(id, &query, failure);
        };
        let reads_only = match transaction {
            Some(transaction) => transaction.reads_only,
            None => work == Work::Read,
        };
        let pending_begin = transaction
            .filter(|transaction| transaction.connection.is_none())
            .map(|transaction| Begin {
                reads_only: transaction.reads_only,
            });
        let own_write = session.own_writes.last_to(&route.service);
        let needs_leader = match route.freshness {
            Freshness::Primary => true,
            Freshness::OwnWrites(_) => !reads_only || own_write == OwnWrite::Unknown,
            Freshness::Bounded(_) => !reads_only,
        };
        let in_transaction = transaction.is_some();
        let job = Job {
            session: id,
            account: self.account_of(id),
            shape: shape.map(|shape| self.shapes.numbered(&shape)),
            work,
            in_transaction,
            pending_begin,
            needs_leader,
            own_write,
            priority: route.priority,
            arrived: self.now,
            deadline: self.now + route.timeout,
            target_latency: route.target_latency,
            stage: Stage::Queued,
            failed_servers: Vec::new(),
            send_count: 0,
            needs_token: false,
            earliest_send: self.now,
            service: route.service,
            freshness: route.freshness,
            query,
        };
        self.last_job += 1;
        let job_id = JobId(self.last_job);
        self.jobs.insert(job_id, job);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.running = Some(job_id);
            if let (Some(transaction), Work::Write) = (session.transaction.as_mut(), work) {
                transaction.has_sent_write = true;
            }
        }
        if self.admit_by_limit(job_id) {
            self.enqueue(job_id);
        }
    }

    /// Answers a statement that was not sent to any backend server with a failure.
    fn answer_failure(&mut self, id: SessionId, query: &Query, failure: Failure) {
        let detail = format!("{:?}, after 0 ms: {}", failure.code, failure.text);
        let line = Record::new(RecordKind::RequestAnswered, detail.into());
        self.log(line.request(id, &query.id));
        let session = self.sessions.get(&id);
        let status = session.map_or(TransactionStatus::Idle, Session::status);
        self.answer(id, Reply::failed(failure, status));
    }

    /// Answers a statement that completed without a backend server.
    fn answer_done(&mut self, id: SessionId) {
        let status = self
            .sessions
            .get(&id)
            .map_or(TransactionStatus::Idle, Session::status);
        self.answer(id, Reply::done(status));
    }

    /// Answers a session and starts its next pipelined statement.
    pub(crate) fn answer(&mut self, id: SessionId, reply: Reply) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.last_answer = self.now;
        if let Some(transaction) = session.transaction.as_mut() {
            transaction.idle_since = self.now;
        }
        self.effects.push(Effect::Answer { session: id, reply });
        self.end_transaction_of_earlier_account(id);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match session.pipelined.pop_front() {
            Some(query) => self.start(id, query),
            None => self.move_answered_session(id),
        }
    }

    /// Forgets a session whose client is gone, abandons its statement and ends its transaction.
    fn on_closed(&mut self, id: SessionId) {
        self.relays.remove(id);
        self.waiting_sessions
            .retain(|waiting| waiting.session != id);
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let running = session.running;
        let service = running
            .and_then(|job| self.jobs.get(&job))
            .map(|job| job.service.clone());
        if let Some(job) = running {
            self.abandon(job);
        }
        self.end_transaction(id);
        self.remove_session(id);
        if let Some(service) = service {
            self.run_queue(&service);
        }
    }
}
