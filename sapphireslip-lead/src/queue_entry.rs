//! How statements enter the queue of their service: with which rank, how many may wait, and which
//! are refused as they can't be sent in time.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::{AccountName, ServiceName};

use crate::choice::FAILURES_BEFORE_LEAVING_LEADER;
use crate::dispatch::HANDOVER_WAIT_DIVISOR;
use crate::job::{Job, JobId};
use crate::leaders::LeaderView;
use crate::refusal::RETRY_BUSY;
use crate::state::State;
use crate::{
    DeadlineAdmission, FairQueue, QueueLoad, StatementClass, WaitingStatement, decide_admission,
};

/// Limit on the statements that wait for one service at one daemon where the configuration names no
/// accounts. With 2 slots per server and 9 ms per statement, this many complete within a second.
const QUEUE_LENGTH_MAX: usize = 200;

/// The same limit where the configuration names accounts: the statements of one account must not
/// keep those of all others out. Admission by deadline usually refuses before.
const ACCOUNTS_QUEUE_LENGTH_MAX: usize = 2_000;

/// The weight of an account without a limit, and of statements without an account: that of a limit of
/// 13 operations per second, as thousandths.
const DEFAULT_WEIGHT: u64 = 13_000;

/// The share of a route's target latency, in percent, after which a waiting statement gets turns
/// whatever its priority, where the configuration names accounts. Statements are refused after 45%
/// of it in the queue, which bounds the wait of polls, and have to be sent before.
const AGED_PERCENT: u32 = 25;

impl State {
    /// Puts a statement into its service's queue; returns whether it is there.
    ///
    /// Where the configuration names accounts, a statement that can't be sent in time is refused.
    /// If too many wait, the statement is refused or, where the configuration names accounts, the
    /// last statement of the account that is most over its share.
    pub(crate) fn enter_queue(&mut self, id: JobId, service: &ServiceName) -> bool {
        let names_accounts = self.has_accounts();
        let Some(statement) = self.waiting_statement(id) else {
            return false;
        };
        let waiting = self.queues.get(service).map_or(0, FairQueue::len);
        if !names_accounts && waiting >= QUEUE_LENGTH_MAX {
            self.refuse(id, "too many statements wait", RETRY_BUSY);
            return false;
        }
        if names_accounts && let Some(retry_after) = self.judge(id, &statement) {
            self.refuse(id, "the service is overloaded", retry_after);
            return false;
        }
        let queue = self.queues.entry(service.clone()).or_default();
        queue.push(self.now, statement);
        if queue.len() <= ACCOUNTS_QUEUE_LENGTH_MAX {
            return true;
        }
        let last = queue.most_over_share().unwrap_or(id);
        queue.remove(last);
        self.refuse(
            last,
            "the account is over its share of a full queue",
            RETRY_BUSY,
        );
        last != id
    }

    /// Returns a statement with its rank among those that wait.
    fn waiting_statement(&self, id: JobId) -> Option<WaitingStatement> {
        let job = self.jobs.get(&id)?;
        let has_accounts = self.has_accounts();
        let patience = job.deadline.since(job.arrived) / HANDOVER_WAIT_DIVISOR;
        let aged_after = job.target_latency * AGED_PERCENT / 100;
        Some(WaitingStatement {
            id,
            account: job.account.clone(),
            weight: self.weight(job.account.as_ref()),
            class: self.class_of(job),
            priority: job.priority,
            deadline: has_accounts.then_some(job.deadline),
            ages_at: has_accounts.then_some(job.arrived + aged_after),
            send_from: job.earliest_send,
            patience_end: job.arrived + patience,
            work: self.expected_work(job),
        })
    }

    /// Returns the work that a statement is expected to be.
    fn expected_work(&self, job: &Job) -> Duration {
        let session = self.sessions.get(&job.session);
        session.map_or(Duration::ZERO, |session| {
            self.completion_rates
                .usual_work(&session.database, job.work)
        })
    }

    /// Returns the retry time if a new statement can't be sent in time behind the work ahead of it.
    ///
    /// Statements of a transaction that has begun at a server are never refused here, nor those that
    /// were sent before. While no server may be used, as while a primary is being replaced, waiting
    /// is not due to load and [`State::run_queue`] decides.
    fn judge(&mut self, id: JobId, statement: &WaitingStatement) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        let is_leader_usable = matches!(self.leader_view(&job.service), LeaderView::Confirmed(_));
        if statement.class == StatementClass::Bound
            || job.send_count > 0
            || self.has_run(job.session)
            || !is_leader_usable
        {
            return None;
        }
        let deadline = job.deadline.since(self.now);
        let wait_max = self.queue_end(job).since(self.now);
        let needs_leader = job.needs_leader;
        let queue = self.queues.get_mut(&job.service)?;
        let rate = self.completion_rates.of(&job.service, needs_leader);
        let load = QueueLoad {
            ahead: queue.ahead_of(
                &statement.account,
                statement.weight,
                statement.priority,
                needs_leader,
            ),
            ahead_of_aged: queue.ahead_of_aged(needs_leader),
            ages_after: statement.ages_at.unwrap_or(job.deadline).since(self.now),
            waiting: queue.len(),
            rate: rate.per_second(self.now),
            returning: rate.returning(self.now),
        };
        let jitter = self.random.below(1_000);
        match decide_admission(&load, statement.work, deadline, wait_max, jitter) {
            DeadlineAdmission::Admit => None,
            DeadlineAdmission::Refuse { retry_after } => {
                rate.note_refused(self.now, statement.work);
                Some(retry_after)
            }
        }
    }

    /// Records whether statements that need the leader, and others, wait for a slot or a connection;
    /// `backlogged` names the classes of which some do.
    pub(crate) fn note_backlog(
        &mut self,
        service: &ServiceName,
        backlogged: &BTreeSet<StatementClass>,
    ) {
        if !self.has_accounts() {
            return;
        }
        for needs_leader in [true, false] {
            let mut classes = backlogged.iter();
            let waits = classes.any(|class| (*class == StatementClass::Leader) == needs_leader);
            let rate = self.completion_rates.of(service, needs_leader);
            rate.note_backlog(self.now, waits);
        }
    }

    /// Records that a server has run a statement, which took `latency` from its sending.
    ///
    /// Later statements of a transaction don't wait in the queue, so that they don't count for its
    /// rate.
    pub(crate) fn note_completion(&mut self, id: JobId, latency: Duration) {
        if !self.has_accounts() {
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let work = self.expected_work(job);
        if !job.in_transaction || !self.has_run(job.session) {
            let rate = self.completion_rates.of(&job.service, job.needs_leader);
            rate.note_completed(self.now, work);
        }
        if let Some(session) = self.sessions.get(&job.session) {
            self.completion_rates
                .note_work(&session.database, job.work, latency);
        }
    }

    /// Returns the weight of an account among those that wait.
    fn weight(&self, account: Option<&AccountName>) -> u64 {
        let accounts = self.catalog.as_ref().map(|catalog| &catalog.accounts);
        let known = accounts.zip(account).and_then(|(all, name)| all.get(name));
        known
            .and_then(|account| account.limit)
            .map_or(DEFAULT_WEIGHT, |limit| limit.per_second)
    }

    /// Returns what a statement needs to be sent.
    fn class_of(&self, job: &Job) -> StatementClass {
        if self.bound_connection(job).is_some() {
            StatementClass::Bound
        } else if job.needs_leader {
            StatementClass::Leader
        } else {
            StatementClass::Any {
                max_staleness: job.freshness.max_staleness().unwrap_or_default(),
                is_retried: job.failed_servers.len() >= FAILURES_BEFORE_LEAVING_LEADER,
            }
        }
    }
}
