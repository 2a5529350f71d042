//! Manages the sessions of clients at this daemon and forwards their requests to homes.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use crate::client_admission::admit;
use crate::derives::data;
use crate::due_sessions::DueSessions;
use crate::entry_refusal::{
    closed_at_stop_bound, draining, statement_out_of_order, stop_bound_exceeded,
};
use crate::session::{Running, Session, statement_kind};
use crate::sessions::Sessions;
use crate::{
    Answer, AnswerEnd, ClientEffect, ClientEvent, Cx, Fleet, Outcome, PeerMessage, Refusal,
    RefusalReason, Request, RequestId, RequestKey, RequestNumber, SessionId, TermPosition, Text,
    TimelineEntry, TimelineKind, TransactionStatus, UserName, VmId, placement,
};

/// The maximum number of sessions at one daemon.
pub const DAEMON_SESSIONS_MAX: usize = 16_384;

/// The maximum number of sends of one request, including the first.
pub const SENDS_MAX: u32 = 6;

/// The mean delay before the second send of a request; it doubles with each further send.
pub const RESEND_DELAY_BASE: Duration = Duration::from_millis(10);

/// How long a client is told to wait before it tries again when no home was found or the daemon is
/// not ready yet.
pub const NO_HOME_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long a client is told to wait before it tries again when the daemon or the service has
/// reached its limit of sessions.
pub const QUOTA_RETRY_AFTER: Duration = Duration::from_secs(1);

data! {
    /// The state of the sessions at this daemon and of their requests.
    #[derive(Default)]
    pub struct Entry {
        /// The open sessions, including those whose password has not been proved yet.
        pub(crate) sessions: Sessions,
        /// The session of each running request.
        running: BTreeMap<RequestNumber, SessionId>,
        /// The sessions whose running request must be resent or given up at some instant.
        pub(crate) due: DueSessions,
        /// The number of requests received since the daemon started; the latest has this number.
        requests: u64,
        /// Whether a graceful stop has begun, during which no new sessions are accepted.
        is_draining: bool,
    }
}

impl Entry {
    /// Returns the number of open sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether no session is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sessions.is_empty()
    }

    pub(crate) fn on_client(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, event: ClientEvent) {
        match event {
            ClientEvent::Connecting {
                session,
                user,
                database,
            } => {
                self.on_connecting(cx, fleet, session, &user, &database);
            }
            ClientEvent::Opened {
                session,
                user,
                token,
                ..
            } => {
                self.on_opened(cx, session, user, token);
            }
            ClientEvent::TokenGiven { session, token } => {
                if let Some(session) = self.sessions.get_mut(&session) {
                    session.raise_freshness(token);
                }
            }
            ClientEvent::Statement {
                session,
                text,
                key,
                payload,
            } => {
                self.on_statement(cx, fleet, session, &text, key, payload);
            }
            ClientEvent::Cancel { session } => self.on_cancel(cx, session),
            ClientEvent::Closed { session } => self.on_closed(cx, session),
        }
    }

    fn on_connecting(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        id: SessionId,
        user: &Text,
        database: &Text,
    ) {
        let admitted = if self.is_draining {
            Err(draining())
        } else {
            admit(&self.sessions, fleet, id, user, database)
        };
        match admitted {
            Ok(admitted) => {
                self.sessions.insert(admitted.session);
                cx.client(ClientEffect::Authenticate {
                    session: id,
                    verifier: admitted.verifier,
                });
            }
            Err(refusal) => cx.client(ClientEffect::Close {
                session: id,
                refusal,
            }),
        }
    }

    fn on_opened(
        &mut self,
        cx: &mut Cx<'_>,
        id: SessionId,
        user: UserName,
        token: Option<TermPosition>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.user = Some(user);
        if let Some(token) = token {
            session.raise_freshness(token);
        }
        let database = session.database.clone();
        cx.record(
            TimelineEntry::of(TimelineKind::SessionOpened)
                .session(id)
                .database(&database),
        );
        if self.is_draining {
            self.close(cx, id, draining());
        }
    }

    fn on_statement(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        id: SessionId,
        text: &str,
        key: Option<RequestKey>,
        payload: Bytes,
    ) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        if session.running.is_some() || session.user.is_none() {
            return self.close(cx, id, statement_out_of_order());
        }
        let kind = match statement_kind(session, text, key.as_ref()) {
            Ok(kind) => kind,
            Err(refusal) => {
                self.end_lost_transaction(id, text);
                return self.refuse(cx, id, refusal);
            }
        };
        let Some(spec) = fleet.configuration.database(&session.database) else {
            let detail = format!("database `{}` is no longer declared", session.database);
            let refusal = Refusal::not_run(RefusalReason::UnknownDatabase, None, &detail);
            return self.refuse(cx, id, refusal);
        };
        self.requests += 1;
        let running = Running {
            number: RequestNumber(self.requests),
            kind,
            in_transaction: session.transaction_home.is_some(),
            key,
            payload,
            deadline: cx.now.instant + spec.deadline,
            has_had_grace: false,
            home: None,
            lost_home: None,
            sends: 0,
            next_send: None,
            next_part: 0,
            has_answered: false,
            may_have_run: false,
        };
        let request = request_id(cx, running.number);
        cx.record(
            TimelineEntry::of(TimelineKind::RequestReceived)
                .request(&request)
                .session(id),
        );
        self.schedule(cx, &running, id);
        self.running.insert(running.number, id);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.running = Some(running);
        }
        self.forward(cx, fleet, id);
    }

    /// Schedules the next resend or the deadline of a session's running request.
    pub(crate) fn schedule(&mut self, cx: &mut Cx<'_>, running: &Running, id: SessionId) {
        self.due.insert(running.due(), id);
        cx.wake_at(running.due());
    }

    /// Sends a session's running request to its home, or refuses it if there is none.
    pub(crate) fn forward(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(home) = home_of(cx, fleet, session) else {
            let detail = format!("no daemon can be home of database `{}`", session.database);
            let refusal =
                Refusal::not_run(RefusalReason::NoHome, Some(NO_HOME_RETRY_AFTER), &detail);
            return self.finish(cx, id, Some(refusal));
        };
        let Some(running) = session.running.as_mut() else {
            return;
        };
        let request = Request {
            id: request_id(cx, running.number),
            session: id,
            service: session.service.clone(),
            database: session.database.clone(),
            kind: running.kind,
            in_transaction: running.in_transaction,
            freshness: session.freshness.clone(),
            key: running.key.clone(),
            resent: running.may_have_run,
            time_left: running.time_for_home(cx.now.instant),
            payload: Bytes::clone(&running.payload),
        };
        running.home = Some(home.clone());
        running.sends += 1;
        running.next_send = None;
        running.may_have_run = true;
        cx.record(
            TimelineEntry::of(TimelineKind::RequestForwarded)
                .request(&request.id)
                .session(id)
                .database(&request.database)
                .peer(&home),
        );
        cx.send(home, PeerMessage::Request(request));
    }

    /// Passes a part of an answer on to its client. Parts of earlier runs of this daemon, of homes
    /// that were given up, and parts that came before, are dropped. A gap between parts is handled
    /// like the loss of the home.
    pub(crate) fn on_answer(&mut self, cx: &mut Cx<'_>, from: &VmId, answer: Answer) {
        if answer.id.incarnation != cx.local.incarnation || answer.id.entry != cx.local.vm {
            return;
        }
        let Some(id) = self.running.get(&answer.id.number).copied() else {
            return;
        };
        let Some(running) = self.sessions.get_mut(&id).and_then(|s| s.running.as_mut()) else {
            return;
        };
        let is_given_up = running.home.as_ref() != Some(from) || running.next_send.is_some();
        if is_given_up || answer.part < running.next_part {
            return;
        }
        if answer.part > running.next_part {
            return self.on_request_lost(cx, id);
        }
        running.next_part += 1;
        if !answer.payload.is_empty() {
            running.has_answered = true;
            cx.client(ClientEffect::Answer {
                session: id,
                payload: answer.payload,
            });
        }
        if let Some(end) = answer.end {
            self.on_end(cx, id, end);
        }
    }

    fn on_end(&mut self, cx: &mut Cx<'_>, id: SessionId, end: AnswerEnd) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(running) = session.running.as_mut() else {
            return;
        };
        if should_try_another_home(running, &end) {
            // This send has not run, but earlier ones may have.
            running.may_have_run = running.sends > 1;
            return self.resend_later(cx, id);
        }
        if breaks_transaction(running, &end) {
            session.lose_transaction();
        } else {
            session.transaction = end.transaction;
            session.transaction_home = match end.transaction {
                TransactionStatus::Idle => None,
                TransactionStatus::Open | TransactionStatus::Failed => running.home.clone(),
            };
        }
        if let Some(seen) = end.seen {
            session.raise_freshness(seen);
        }
        let refusal = match end.outcome {
            Outcome::Done => None,
            Outcome::Refused(refusal) => Some(refusal),
        };
        self.finish(cx, id, refusal);
    }

    /// Ends a session's running request and reports the result to its client.
    pub(crate) fn finish(&mut self, cx: &mut Cx<'_>, id: SessionId, refusal: Option<Refusal>) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(running) = session.running.take() else {
            return;
        };
        self.due.remove(running.due(), id);
        self.running.remove(&running.number);
        let request = request_id(cx, running.number);
        let kind = match refusal {
            Some(_) => TimelineKind::RequestRefused,
            None => TimelineKind::RequestFinished,
        };
        let detail = refusal.as_ref().map_or("", |refusal| &refusal.detail);
        cx.record(
            TimelineEntry::of(kind)
                .request(&request)
                .session(id)
                .detail(detail),
        );
        self.report_end(cx, id, refusal);
    }

    /// Refuses a statement that was never sent to a home.
    fn refuse(&mut self, cx: &mut Cx<'_>, id: SessionId, refusal: Refusal) {
        cx.record(
            TimelineEntry::of(TimelineKind::RequestRefused)
                .session(id)
                .detail(&refusal.detail),
        );
        self.report_end(cx, id, Some(refusal));
    }

    /// Reports the end of a statement to its client; while draining, also closes the session unless
    /// it is in a transaction.
    fn report_end(&mut self, cx: &mut Cx<'_>, id: SessionId, refusal: Option<Refusal>) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let transaction = session.transaction;
        let token = session.token();
        cx.client(ClientEffect::Finish {
            session: id,
            refusal,
            transaction,
            token,
        });
        if self.is_draining && transaction == TransactionStatus::Idle {
            self.close(cx, id, draining());
        }
    }

    /// Closes a session and tells its client the reason.
    fn close(&mut self, cx: &mut Cx<'_>, id: SessionId, refusal: Refusal) {
        cx.client(ClientEffect::Close {
            session: id,
            refusal,
        });
        self.on_closed(cx, id);
    }

    /// Removes a closed session and tells the home that runs its request or holds its transaction.
    fn on_closed(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        let running_home = session
            .running
            .as_ref()
            .and_then(|running| running.home.clone());
        if let Some(running) = &session.running {
            self.due.remove(running.due(), id);
            self.running.remove(&running.number);
        }
        if let Some(home) = running_home.or(session.transaction_home) {
            let incarnation = cx.local.incarnation;
            cx.send(
                home,
                PeerMessage::SessionClosed {
                    incarnation,
                    session: id,
                },
            );
        }
        cx.record(
            TimelineEntry::of(TimelineKind::SessionClosed)
                .session(id)
                .database(&session.database),
        );
    }

    /// Asks the home of a session's running request to cancel it.
    pub(crate) fn on_cancel(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        let Some(running) = self.sessions.get(&id).and_then(|s| s.running.as_ref()) else {
            return;
        };
        if let Some(home) = running.home.clone() {
            let request = request_id(cx, running.number);
            cx.send(home, PeerMessage::Cancel(request));
        }
    }

    /// Begins a graceful stop: closes idle sessions and lets the others finish their transactions.
    pub(crate) fn begin_drain(&mut self, cx: &mut Cx<'_>) {
        self.is_draining = true;
        let is_done =
            |s: &&Session| s.running.is_none() && s.transaction == TransactionStatus::Idle;
        let done: Vec<SessionId> = self
            .sessions
            .values()
            .filter(is_done)
            .map(|s| s.id)
            .collect();
        for id in done {
            self.close(cx, id, draining());
        }
    }

    /// Closes all remaining sessions once the time limit of a graceful stop has passed, and tells
    /// each client the reason.
    pub(crate) fn close_all(&mut self, cx: &mut Cx<'_>) {
        let left: Vec<SessionId> = self.sessions.values().map(|s| s.id).collect();
        for id in left {
            let running = self.sessions.get(&id).and_then(|s| s.running.as_ref());
            if let Some(refusal) = running.map(stop_bound_exceeded) {
                self.finish(cx, id, Some(refusal));
            }
            if self.sessions.get(&id).is_some() {
                self.close(cx, id, closed_at_stop_bound());
            }
        }
    }
}

fn request_id(cx: &Cx<'_>, number: RequestNumber) -> RequestId {
    RequestId {
        entry: cx.local.vm.clone(),
        incarnation: cx.local.incarnation,
        number,
    }
}

/// Returns the home that a session's request goes to: the one that holds its transaction, or the
/// one that placement chooses.
fn home_of(cx: &Cx<'_>, fleet: Fleet<'_>, session: &Session) -> Option<VmId> {
    if let Some(home) = &session.transaction_home {
        return Some(home.clone());
    }
    let spec = fleet.configuration.database(&session.database)?;
    let lost = session.running.as_ref().and_then(|r| r.lost_home.as_ref());
    placement::home_avoiding(fleet.membership, spec, &cx.local.zone, lost)
}

/// Returns whether an answer breaks a transaction: the client expects to be in one, but it was lost
/// or did not begin. A client that sends statements ahead of answers would otherwise run the rest
/// of them outside the transaction.
fn breaks_transaction(running: &Running, end: &AnswerEnd) -> bool {
    let is_refused = matches!(end.outcome, Outcome::Refused(_));
    is_refused && end.transaction == TransactionStatus::Idle && running.leaves_transaction_open()
}

/// Returns whether a request that one home refused is sent to another one: the home is being
/// stopped, the request was not run, it does not belong to an open transaction, and no part of an
/// answer has been passed on.
fn should_try_another_home(running: &Running, end: &AnswerEnd) -> bool {
    let Outcome::Refused(refusal) = &end.outcome else {
        return false;
    };
    let is_stopping =
        refusal.reason == RefusalReason::Draining && refusal.ran == crate::Certainty::NotRun;
    is_stopping && !running.in_transaction && !running.has_answered
}
