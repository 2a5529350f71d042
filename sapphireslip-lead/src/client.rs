//! What callers do: sessions open and close, statements come.

use sapphireslip_core::{SessionId, Text, TransactionStatus};

use crate::job::{Begin, Job, JobId, Stage, Work};
use crate::own_statement::Step;
use crate::refusal::{RETRY_ELSEWHERE, busy};
use crate::session::{STATEMENTS_AHEAD_MAX, Session};
use crate::state::State;
use crate::waiting_session::WaitingSession;
use crate::{
    ClientEvent, Effect, ErrorCode, Failure, Freshness, Query, Record, RecordKind, Reply, Route,
};

impl State {
    pub(crate) fn on_client(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Opened {
                session,
                database,
                passed_on,
            } => self.open_session(session, database, passed_on),
            ClientEvent::Query { session, query } => self.on_query(session, query),
            ClientEvent::RelayFailed {
                session,
                is_refused,
            } => self.on_relay_failed(session, is_refused),
            ClientEvent::RelayLost { session } => self.close_relay(session),
            ClientEvent::RelayAsked { session, request } => {
                self.on_relay_asked(session, request);
            }
            ClientEvent::RelayAnswered { session, status } => {
                self.on_relay_answered(session, status);
            }
            ClientEvent::Closed { session } => self.on_closed(session),
        }
    }

    fn open_session(&mut self, session: SessionId, database: Text, passed_on: Option<u64>) {
        match passed_on {
            None if self.can_place_sessions() => self.place_session(session, database),
            None => self.waiting_sessions.push(WaitingSession {
                session,
                database,
                arrived: self.now,
            }),
            Some(theirs) => {
                let version = self.catalog.as_ref().map(|catalog| catalog.version);
                if version < Some(theirs) || !self.may_take_sessions() {
                    let failure = busy("another daemon should serve this session", RETRY_ELSEWHERE);
                    self.refuse_session(session, failure);
                } else if self.route_to(&database).is_some() {
                    self.serve_session(session, database, true);
                } else {
                    self.refuse_database(session, &database);
                }
            }
        }
    }

    /// Passes a session of a caller on to its home, or serves it here.
    pub(crate) fn place_session(&mut self, session: SessionId, database: Text) {
        let Some(service) = self.route_to(&database).map(|route| route.service.clone()) else {
            return self.refuse_database(session, &database);
        };
        match self.other_home(&service) {
            Some(home) => self.pass_on(session, database, home, 0),
            None => self.serve_session(session, database, false),
        }
    }

    /// Returns the present route of a database.
    pub(crate) fn route_to(&self, database: &Text) -> Option<&Route> {
        self.catalog.as_ref()?.routes.get(database)
    }

    fn refuse_database(&mut self, session: SessionId, database: &Text) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let text = format!("no route leads to database `{database}` in configuration {version}");
        self.refuse_session(session, Failure::new(ErrorCode::NoDatabase, &text));
    }

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

    /// Serves a session on this daemon.
    pub(crate) fn serve_session(&mut self, id: SessionId, database: Text, is_passed_on: bool) {
        let session = Session::new(database, self.now, is_passed_on);
        self.sessions.insert(id, session);
        self.effects.push(Effect::Welcome { session: id });
        self.renew_permission();
    }

    fn on_query(&mut self, id: SessionId, query: Query) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.running.is_none() {
            return self.start(id, query);
        }
        if session.ahead.len() < STATEMENTS_AHEAD_MAX {
            session.ahead.push_back(query);
            return;
        }
        let text = format!("more than {STATEMENTS_AHEAD_MAX} statements were sent ahead");
        let failure = Some(Failure::new(ErrorCode::Malformed, &text));
        self.effects.push(Effect::CloseSession {
            session: id,
            failure,
        });
        self.on_closed(id);
    }

    /// Starts a statement of a session that has none at work.
    pub(crate) fn start(&mut self, id: SessionId, query: Query) {
        match self.step(id, query.statement.as_ref()) {
            Step::Done => self.answer_done(id),
            Step::Failed(failure) => self.answer_failure(id, &query, failure),
            Step::Run(work, shape) => self.submit(id, query, work, shape),
        }
    }

    /// Returns the present route of a session's database.
    pub(crate) fn route_of(&self, id: SessionId) -> Option<Route> {
        let session = self.sessions.get(&id)?;
        self.route_to(&session.database).cloned()
    }

    /// Takes a statement that needs a backend server.
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
        let begins = transaction
            .filter(|transaction| transaction.connection.is_none())
            .map(|transaction| Begin {
                reads_only: transaction.reads_only,
            });
        let job = Job {
            session: id,
            shape,
            work,
            in_transaction: transaction.is_some(),
            begins,
            needs_leader: !reads_only || route.freshness == Freshness::Primary,
            written: session.written_to(&route.service),
            priority: route.priority,
            arrived: self.now,
            deadline: self.now + route.timeout,
            target: route.target,
            stage: Stage::Queued,
            tried: Vec::new(),
            sends: 0,
            not_before: self.now,
            service: route.service,
            freshness: route.freshness,
            query,
        };
        if let Some(shape) = &job.shape {
            self.shapes.add(shape);
        }
        self.next_job += 1;
        let number = JobId(self.next_job);
        self.jobs.insert(number, job);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.running = Some(number);
            if let (Some(transaction), Work::Write) = (session.transaction.as_mut(), work) {
                transaction.has_written = true;
            }
        }
        self.enqueue(number);
    }

    /// Fails a statement that no backend server has seen.
    fn answer_failure(&mut self, id: SessionId, query: &Query, failure: Failure) {
        let detail = format!("{:?}, after 0 ms: {}", failure.code, failure.text);
        let line = Record::new(RecordKind::RequestAnswered, detail.into());
        self.log(line.request(id, &query.id));
        let session = self.sessions.get(&id);
        let status = session.map_or(TransactionStatus::Idle, Session::status);
        self.answer(id, Reply::failed(failure, status));
    }

    fn answer_done(&mut self, id: SessionId) {
        let status = self
            .sessions
            .get(&id)
            .map_or(TransactionStatus::Idle, Session::status);
        self.answer(id, Reply::done(status));
    }

    /// Answers a session, and starts what it sent ahead.
    pub(crate) fn answer(&mut self, id: SessionId, reply: Reply) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.heard = self.now;
        if let Some(transaction) = session.transaction.as_mut() {
            transaction.rested = self.now;
        }
        self.effects.push(Effect::Answer { session: id, reply });
        if let Some(query) = session.ahead.pop_front() {
            self.start(id, query);
        }
    }

    /// Forgets a session whose caller is gone.
    fn on_closed(&mut self, id: SessionId) {
        self.relays.remove(id);
        self.waiting_sessions
            .retain(|opening| opening.session != id);
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
        self.sessions.remove(&id);
        if let Some(service) = service {
            self.run_lane(&service);
        }
    }
}
