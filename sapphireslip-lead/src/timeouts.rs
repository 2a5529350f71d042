//! Timeouts: statements that run out of time, slow reads that are sent a second time, connections
//! that go silent, and transactions that are idle for too long.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, ServerId};

use crate::connection::{AnswerTo, Connection};
use crate::job::{Job, JobId, Sending, Stage, Work};
use crate::leaders::LeaderView;
use crate::rate_exchange::TokenState;
use crate::refusal::RETRY_BUSY;
use crate::state::State;
use crate::{ErrorCode, Failure, Record, RecordKind};

/// How long an answer may be awaited before its server counts as failing.
const ANSWER_LATE_AFTER: Duration = Duration::from_millis(400);

/// How long an answer may be awaited before the connection is given up: longer than the timeout of
/// any route.
const ANSWER_MAX: Duration = Duration::from_millis(3_000);

/// How long an answer may be awaited before the connection is given up, if the server answers on
/// other connections and the answer is not to a write or a commit.
const SILENT_CONNECTION_MAX: Duration = Duration::from_millis(500);

/// The share of an operation's target time, in percent, that one of its statements may wait in the
/// queue. Under overload, statements wait this long, and must still be answered in time.
const QUEUE_PERCENT: u32 = 45;

/// The multiple of a server's usual latency after which a read is hedged, that is, sent a second
/// time without waiting for the first answer.
const HEDGE_LATENCIES: u32 = 5;

/// The least time after which a read is hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(60);

/// The longest time after which a slow read is hedged.
const HEDGE_DELAY_MAX: Duration = Duration::from_millis(250);

/// The limit on hedged reads: another read is hedged only while no more than one in this many
/// statements is hedged already.
const HEDGE_SHARE: usize = 4;

/// The number of unused connections to a server that are kept. A daemon that dies leaves its
/// connections open at the servers for seconds, where they count against those of its successor.
const UNUSED_CONNECTIONS_KEPT: usize = 1;

/// How long a connection beyond `UNUSED_CONNECTIONS_KEPT` may stay unused.
const SPARE_CONNECTION_IDLE_MAX: Duration = Duration::from_millis(1_500);

/// How long a connection may stay unused that is within half of the daemon's share, where accounts
/// have connections of their own. Small accounts send an operation every few seconds, and opening a
/// connection for each would cost about as much of the server as the operation. The other half of
/// the share is left to the successor of a daemon that dies.
const ACCOUNT_CONNECTION_IDLE_MAX: Duration = Duration::from_secs(10);

impl State {
    /// Ends the statements, connections and transactions that have run out of time.
    pub(crate) fn apply_timeouts(&mut self) {
        let due: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in due {
            self.expire_job(id);
        }
        self.check_connections();
        self.abort_idle_transactions();
    }

    /// Refuses a statement that waited too long and may have waited for a token, unless a token that
    /// has come meanwhile lets it be sent now.
    fn expire_limited(&mut self, id: JobId) {
        let is_limited = !matches!(self.token_state(id), TokenState::Present);
        let service = self.jobs.get(&id).map(|job| job.service.clone());
        if let Some(service) = service.filter(|_| !is_limited) {
            self.run_queue(&service);
        }
        let is_queued = |job: &Job| job.stage == Stage::Queued;
        match self.jobs.get(&id).is_some_and(is_queued) {
            true if is_limited => self.refuse_waiting(id),
            true => self.refuse(id, "no server or connection was free", RETRY_BUSY),
            false => {}
        }
    }

    /// Refuses a statement that waited too long, times out one that ran too long, and hedges one
    /// that is slow.
    fn expire_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let is_late = job.deadline <= self.now;
        match &job.stage {
            Stage::Queued if self.now >= self.queue_end(job) => {
                if job.needs_token && job.account.is_some() {
                    return self.expire_limited(id);
                }
                self.refuse(id, "no server or connection was free", RETRY_BUSY);
            }
            Stage::Queued => {}
            Stage::Sent(_) if is_late => self.time_out(id),
            Stage::Sent(_) => self.hedge_slow_read(id),
        }
    }

    /// Returns until when a statement may wait in the queue: as long as its operation can still be
    /// answered in time, or for half of its own time while a leader is expected to be usable soon.
    pub(crate) fn queue_end(&self, job: &Job) -> Instant {
        let half = job.deadline.since(job.arrived) / 2;
        let is_pending = matches!(self.leader_view(&job.service), LeaderView::Pending(_));
        if is_pending {
            job.arrived + half
        } else {
            job.arrived + (job.target_latency * QUEUE_PERCENT / 100).min(half)
        }
    }

    /// Fails a statement whose deadline has passed. The server's answer is still awaited, and then
    /// dropped.
    fn time_out(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let session = job.session;
        let may_have_written = match job.work {
            Work::Read => false,
            Work::Write => !job.in_transaction,
            Work::Commit => self.has_sent_write(session),
        };
        if may_have_written {
            return self.answer_unknown(id, "no answer came in time");
        }
        let line = Record::new(RecordKind::RequestUnknown, "no answer came in time".into())
            .service(&job.service)
            .request(session, &job.query.id);
        self.log(line);
        self.fail(
            id,
            Failure::new(ErrorCode::Timeout, "no answer came in time"),
        );
    }

    /// Hedges a read that takes unusually long: sends it to another server as well or, if it needs
    /// the leader, again to the same server on another connection.
    fn hedge_slow_read(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Stage::Sent(sendings) = &job.stage else {
            return;
        };
        let [sending] = sendings.as_slice() else {
            return;
        };
        let usual = self
            .servers
            .get(&sending.server)
            .map(|server| server.latency());
        let hedge_delay = usual.unwrap_or(HEDGE_DELAY_MAX) * HEDGE_LATENCIES;
        let is_slow =
            self.now.since(sending.sent_at) >= hedge_delay.clamp(HEDGE_DELAY_MIN, HEDGE_DELAY_MAX);
        let is_of_account = self.account_of(job.session) == job.account;
        if !job.may_hedge()
            || !is_of_account
            || !is_slow
            || !self.can_send_again(id)
            || !self.may_hedge_more()
        {
            return;
        }
        let candidates = match job.needs_leader {
            true => vec![(sending.server.clone(), None)],
            false => {
                let found = self.candidates(job);
                let floor = found.floor;
                let of = |c: crate::choice::Candidate| (c.server, floor.filter(|_| !c.is_leader));
                found.servers.into_iter().map(of).collect()
            }
        };
        for (server, floor) in candidates {
            if self.send_to(id, &server, floor) {
                return;
            }
        }
    }

    /// Returns whether few enough statements are hedged already.
    fn may_hedge_more(&self) -> bool {
        let is_hedged = |job: &&Job| matches!(&job.stage, Stage::Sent(sent) if sent.len() > 1);
        let hedged = self.jobs.values().filter(is_hedged).count();
        hedged * HEDGE_SHARE <= self.jobs.len()
    }

    /// Closes silent connections, and probes servers whose answers are late.
    fn check_connections(&mut self) {
        let mut failing: Vec<(ServerId, Instant)> = Vec::new();
        let mut silent: Vec<ConnectionId> = Vec::new();
        for connection in self.pool.all() {
            let Some(sent) = connection.awaited.front().map(|awaited| awaited.sent) else {
                continue;
            };
            let waited = self.now.since(sent);
            let last_answer = self
                .servers
                .get(&connection.server)
                .and_then(|server| server.last_answer);
            let server_answers_elsewhere = last_answer
                .is_some_and(|last_answer| sent + SILENT_CONNECTION_MAX / 2 < last_answer);
            if waited >= ANSWER_MAX
                || (waited >= SILENT_CONNECTION_MAX
                    && server_answers_elsewhere
                    && !self.awaits_write(connection))
            {
                silent.push(connection.id);
            } else if waited >= ANSWER_LATE_AFTER && last_answer < Some(sent) {
                // A server that has answered anything since `sent` has only lost this answer.
                failing.push((connection.server.clone(), sent));
            }
        }
        for (server, since) in failing {
            if let Some(known) = self.servers.get_mut(&server) {
                known.note_failure(since);
            }
            self.probe(&server);
        }
        for connection in silent {
            self.drop_connection(connection, "the connection went silent");
        }
    }

    /// Returns whether the next answer on a connection is that of a client's write or commit: until
    /// the statement times out, a late answer is better than none.
    fn awaits_write(&self, connection: &Connection) -> bool {
        let Some(AnswerTo::Statement(id)) = connection.awaited.front().map(|a| &a.answer_to) else {
            return false;
        };
        self.jobs.get(id).is_some_and(|job| job.work != Work::Read)
    }

    /// Rolls back transactions that hold a server connection and whose clients have sent no
    /// statement for too long.
    fn abort_idle_transactions(&mut self) {
        let Some(idle) = self
            .catalog
            .as_ref()
            .map(|catalog| catalog.transaction_idle)
        else {
            return;
        };
        let is_over = |session: &crate::session::Session| {
            let transaction = session.transaction.as_ref();
            session.running.is_none()
                && transaction.is_some_and(|transaction| {
                    transaction.connection.is_some()
                        && self.now.since(transaction.idle_since) > idle
                })
        };
        let over: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, s)| is_over(s))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.abort_transaction(id, "the transaction rested too long");
        }
    }

    /// Returns the writes outside transactions that run at replaced leaders, each with the time at
    /// which the leader changed.
    pub(crate) fn writes_at_old_leaders(&self) -> Vec<(JobId, Instant)> {
        let mut writes = Vec::new();
        for (id, job) in &self.jobs {
            let Stage::Sent(sendings) = &job.stage else {
                continue;
            };
            let changed = self.leaders.changed_at(&job.service).unwrap_or_default();
            let is_old = |sending: &Sending| {
                let Sending { server, term, .. } = sending;
                self.leaders.has_replaced(&job.service, server, *term)
            };
            if job.work == Work::Write && !job.in_transaction && sendings.iter().any(is_old) {
                writes.push((*id, changed));
            }
        }
        writes
    }

    /// Closes surplus unused connections, and opens a first one to each server ahead of need: as a
    /// home to the servers of its services, as the coordinator to all servers.
    pub(crate) fn keep_connections(&mut self) {
        self.close_connections_of_removed_accounts();
        for server in self.pool.servers() {
            let is_known = self.servers.get(&server).is_some();
            let service = self.servers.get(&server).map(|known| &known.record.service);
            let is_used = service.is_some_and(|service| self.works_with(service));
            let kept_min = if is_used { UNUSED_CONNECTIONS_KEPT } else { 0 };
            let kept = if is_used && self.has_accounts() {
                self.connections_max(&server)
            } else {
                kept_min
            };
            let mut count = self.pool.count(&server);
            for (connection, idle_since) in self.pool.idle(&server) {
                let idle = self.now.since(idle_since);
                let is_spare = count > kept && (!is_known || idle >= SPARE_CONNECTION_IDLE_MAX);
                let is_long_unused = count > kept_min && idle >= ACCOUNT_CONNECTION_IDLE_MAX;
                if !is_spare && !is_long_unused {
                    break;
                }
                count -= 1;
                self.pool.remove(connection);
                self.effects.push(crate::Effect::Disconnect { connection });
            }
        }
        if self.is_leaving() || self.catalog.is_none() {
            return;
        }
        let unused: Vec<ServerId> = self
            .servers
            .known
            .iter()
            .filter(|(id, server)| {
                server.is_staying()
                    && self.pool.count(id) == 0
                    && (self.is_home(&server.record.service) || self.is_coordinator())
            })
            .map(|(id, _)| id.clone())
            .collect();
        for server in unused {
            self.connect_ahead(&server);
        }
    }

    /// Returns whether a request for the server's status is unanswered on a connection.
    pub(crate) fn awaits_status(connection: &Connection) -> bool {
        connection
            .awaited
            .iter()
            .any(|awaited| awaited.answer_to == AnswerTo::Status)
    }
}
