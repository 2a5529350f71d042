//! How statements enter the queue of their service: with which rank, and how many may wait.

use std::time::Duration;

use sapphireslip_core::{AccountName, ServiceName};

use crate::choice::FAILURES_BEFORE_LEAVING_LEADER;
use crate::dispatch::HANDOVER_WAIT_DIVISOR;
use crate::job::{Job, JobId};
use crate::refusal::RETRY_BUSY;
use crate::state::State;
use crate::{StatementClass, WaitingStatement};

/// Limit on the statements that wait for one service at one daemon where the configuration names no
/// accounts. With 2 slots per server and 9 ms per statement, this many complete within a second.
const QUEUE_LENGTH_MAX: usize = 200;

/// The same limit where the configuration names accounts: the statements of one account must not
/// keep those of all others out. Admission by deadline usually refuses before.
const ACCOUNTS_QUEUE_LENGTH_MAX: usize = 2_000;

/// The weight of an account without a limit, and of statements without an account: the average limit
/// of the accounts, in thousandths of an operation per second.
const DEFAULT_WEIGHT: u64 = 13_000;

/// The share of a route's target latency, in percent, after which a waiting statement goes among the
/// most urgent ones, where the configuration names accounts. Statements are refused after 45% of it
/// in the queue, and have to be sent before.
const AGED_PERCENT: u32 = 25;

impl State {
    /// Returns whether the configuration names accounts, which share the queues.
    pub(crate) fn names_accounts(&self) -> bool {
        let catalog = self.catalog.as_ref();
        catalog.is_some_and(|catalog| !catalog.accounts.is_empty())
    }

    /// Puts a statement into its service's queue; returns whether it is there.
    ///
    /// If too many wait, the statement is refused or, where the configuration names accounts, the
    /// last statement of the account that is most over its share.
    pub(crate) fn enter_queue(&mut self, id: JobId, service: &ServiceName) -> bool {
        let names_accounts = self.names_accounts();
        let Some(statement) = self.waiting_statement(id) else {
            return false;
        };
        let queue = self.queues.entry(service.clone()).or_default();
        if !names_accounts && queue.len() >= QUEUE_LENGTH_MAX {
            self.refuse(id, "too many statements wait", RETRY_BUSY);
            return false;
        }
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
        let has_accounts = self.names_accounts();
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
            work: Duration::from_millis(8),
        })
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
