//! How limits of accounts act on statements, and the exchange of shares with the coordinator.

use std::time::Duration;

use sapphireslip_core::{AccountName, Instant, SessionId};

use crate::job::{Job, JobId};
use crate::state::State;
use crate::{
    Admission, CoordinatorRecord, Effect, RateBounds, RateLimit, RateLimits, RateShares, Record,
    RecordKind, RowVersion, SHARE_LEASE, ShareAnswer, ShareRequest,
};

/// How long the coordinator waits for the read that confirms its role before it reads again.
const CONFIRM_EVERY: Duration = Duration::from_secs(1);

/// What a queued statement has to do about its token.
pub(crate) enum TokenState {
    /// The statement needs none, or finds one.
    Present,
    /// The statement should wait for one.
    Expected,
    /// The limit of the account is reached.
    Refused,
}

impl State {
    /// Returns the state with other bounds on how far accounts may exceed their limits.
    #[must_use]
    pub fn with_rate_bounds(mut self, bounds: RateBounds) -> Self {
        let (vm, incarnation) = (self.local.vm.clone(), self.local.incarnation);
        self.rate_limits = RateLimits::new(bounds.clone(), vm, incarnation);
        self.rate_shares = RateShares::new(bounds);
        self
    }

    /// Returns the limit of an account in the present configuration.
    fn limit_of(&self, account: &AccountName) -> Option<RateLimit> {
        let accounts = &self.catalog.as_ref()?.accounts;
        accounts.get(account).and_then(|account| account.limit)
    }

    /// Asks for a share of the limit of a new session's account.
    pub(crate) fn note_session_account(&mut self, session: SessionId) {
        if let Some(account) = self.account_of(session)
            && let Some(limit) = self.limit_of(&account)
        {
            self.rate_limits.open(self.now, &account, limit);
        }
    }

    /// Decides whether a new statement may be queued, by the limit of its account; refuses it
    /// otherwise. A statement of a transaction that has begun at a server is always queued.
    pub(crate) fn admit_by_limit(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.in_transaction && job.pending_begin.is_none() {
            return true;
        }
        let Some(account) = job.account.clone() else {
            return true;
        };
        let Some(limit) = self.limit_of(&account) else {
            return true;
        };
        match self.rate_limits.admit(self.now, &account, limit) {
            Admission::Now | Admission::Wait => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.needs_token = true;
                }
                self.exchange_shares();
                true
            }
            Admission::Refuse { retry_after } => {
                self.refuse_by_limit(id, retry_after);
                false
            }
        }
    }

    /// Refuses a statement because the limit of its account is reached.
    pub(crate) fn refuse_by_limit(&mut self, id: JobId, retry_after: Duration) {
        let account = self.jobs.get(&id).and_then(|job| job.account.as_ref());
        if let Some(account) = account {
            let cause = format!("the limit of account `{account}` is reached");
            self.refuse(id, &cause, retry_after);
        }
    }

    /// Refuses a queued statement that has waited for a token.
    pub(crate) fn refuse_waiting(&mut self, id: JobId) {
        let account = self.jobs.get(&id).and_then(|job| job.account.clone());
        if let Some(account) = account {
            let retry_after = self.rate_limits.refuse(self.now, &account);
            self.refuse_by_limit(id, retry_after);
        }
    }

    /// Returns whether a queued statement has the token that it needs.
    pub(crate) fn token_state(&mut self, id: JobId) -> TokenState {
        let Some(job) = self.jobs.get(&id).filter(|job| job.needs_token) else {
            return TokenState::Present;
        };
        let Some(account) = &job.account else {
            return TokenState::Present;
        };
        let Some(limit) = self.limit_of(account) else {
            return TokenState::Present;
        };
        let waited = self.now.since(job.arrived);
        if self.rate_limits.has_token(self.now, account, limit) {
            TokenState::Present
        } else if self.rate_limits.should_wait(self.now, account, waited) {
            TokenState::Expected
        } else {
            TokenState::Refused
        }
    }

    /// Returns whether this daemon, as the coordinator, waits for rows and reports that tell which
    /// shares an earlier coordinator has lent.
    pub(crate) fn awaits_share_reports(&self) -> bool {
        self.rate_limits.has_limits()
            && self.rate_shares.is_lending()
            && !self.rate_shares.is_complete()
    }

    /// Takes the token of a statement that is sent for the first time.
    pub(crate) fn take_token(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.needs_token) else {
            return;
        };
        job.needs_token = false;
        let Some(account) = job.account.clone() else {
            return;
        };
        match self.limit_of(&account) {
            Some(limit) => {
                self.rate_limits.take(self.now, &account, limit);
            }
            None => self.rate_limits.withdraw(&account),
        }
    }

    /// Forgets that a statement which has ended needed a token, if it did not take one.
    pub(crate) fn withdraw_token(&mut self, job: &Job) {
        if let Some(account) = job.account.as_ref().filter(|_| job.needs_token) {
            self.rate_limits.withdraw(account);
        }
    }

    /// Applies the limits of the present configuration. The first limits are followed by a row which
    /// says that this daemon may hold shares.
    pub(crate) fn apply_limits(&mut self) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        let had_limits = self.rate_limits.has_limits();
        self.rate_limits.on_limits(self.now, &catalog.accounts);
        self.rate_shares.on_limits(self.now, &catalog.accounts);
        if self.rate_limits.has_limits() && !had_limits {
            self.permission.make_renewal_due(self.now);
        }
    }

    /// Ends the lending of shares as soon as this daemon is not the coordinator by a valid row, and
    /// reads the leaders to confirm the role before it begins.
    ///
    /// A coordinator that was frozen may have been succeeded, and may renew its permission before it
    /// learns of that. So the role counts only by a read that was sent while the row was valid, and
    /// only as long as the row stays valid.
    pub(crate) fn watch_lending(&mut self) {
        if !self.rate_limits.has_limits() {
            return;
        }
        if !self.is_lender() {
            self.rate_shares.end();
            self.lender_since = None;
            return;
        }
        let (since, asked) = self.lender_since.unwrap_or((self.now, Instant::default()));
        let is_due = self.lender_since.is_none() || self.now.since(asked) >= CONFIRM_EVERY;
        if !self.rate_shares.is_lending() && is_due {
            self.lender_since = Some((since, self.now));
            self.effects.push(Effect::ReadLeaders);
        }
    }

    /// Returns whether this daemon is the coordinator as far as it knows, and no other daemon can
    /// have taken the role since its row became valid.
    fn is_lender(&self) -> bool {
        self.is_coordinator()
            && self.permission.is_row_valid(self.now)
            && self.store_era.are_earlier_loans_over(self.now, SHARE_LEASE)
    }

    /// Begins to lend shares if a read of the leaders, sent at `sent`, has confirmed that this daemon
    /// is the coordinator.
    pub(crate) fn on_coordinator_read(
        &mut self,
        coordinator: Option<&(CoordinatorRecord, RowVersion)>,
        sent: Instant,
    ) {
        let is_recent = self.lender_since.is_some_and(|(since, _)| since <= sent);
        let Some(catalog) = &self.catalog else {
            return;
        };
        let is_same = self.leaders.table.coordinator.as_ref() == coordinator;
        if is_recent && is_same && self.is_lender() && !self.rate_shares.is_lending() {
            self.rate_shares.begin(self.now, &catalog.accounts);
        }
    }

    /// Does what is due about shares as time passes.
    pub(crate) fn keep_shares(&mut self) {
        self.rate_shares.check_known(self.now);
        self.exchange_shares();
        for (account, is_limited) in self.rate_limits.changes() {
            let what = match is_limited {
                true => "reached",
                false => "no longer reached",
            };
            let detail = format!("the limit of account `{account}` is {what}");
            self.log(Record::new(RecordKind::AccountLimited, detail.into()));
        }
    }

    /// Sends the coordinator a request for shares if one is due.
    fn exchange_shares(&mut self) {
        let Some((coordinator, _)) = &self.leaders.table.coordinator else {
            return;
        };
        self.rate_limits
            .follow(&coordinator.holder, coordinator.incarnation);
        let is_own = coordinator.holder == self.local.vm;
        let table = self.permissions.as_ref();
        let rows = table.into_iter().flat_map(|table| &table.permissions);
        let mut addresses = rows
            .filter(|(record, _)| record.vm == coordinator.holder)
            .map(|(record, _)| record.peers);
        let address = addresses.next();
        let Some(request) = self.rate_limits.request(self.now) else {
            return;
        };
        if is_own {
            if let Some(answer) = self.lend(&request) {
                self.on_shares_answered(&answer);
            }
        } else if let Some(address) = address {
            self.effects
                .push(Effect::RequestShares { address, request });
        }
    }

    /// Answers a daemon that asks for shares, if this daemon is the coordinator.
    pub(crate) fn on_shares_requested(&mut self, session: SessionId, request: &ShareRequest) {
        if let Some(answer) = self.lend(request) {
            self.effects.push(Effect::AnswerShares { session, answer });
        }
    }

    /// Returns the coordinator's answer to a request for shares.
    fn lend(&mut self, request: &ShareRequest) -> Option<ShareAnswer> {
        let accounts = &self.catalog.as_ref()?.accounts;
        self.rate_shares.on_request(self.now, accounts, request)
    }

    /// Accepts shares and tokens, and sends the statements that waited for them.
    pub(crate) fn on_shares_answered(&mut self, answer: &ShareAnswer) {
        // The next coordinator reads from this daemon's row until when it may hold shares.
        let by_row = self.permission.row_remaining(self.now, SHARE_LEASE);
        self.rate_limits
            .on_answer(self.now, answer, self.now + by_row);
        self.run_all_queues();
    }
}
