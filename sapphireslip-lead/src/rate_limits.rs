//! A daemon's own shares of accounts' limits: which operations may run, and what it asks the
//! coordinator for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphireslip_core::{AccountName, Incarnation, Instant, VmId, data};

use crate::rate_use::AccountUse;
use crate::{AccountAsk, Accounts, RateBounds, RateLimit, SHARE_LEASE, ShareAnswer, ShareRequest};

/// How often a daemon lists all its accounts to the coordinator.
const EXCHANGE_EVERY: Duration = Duration::from_secs(1);

/// The least time between two requests.
const EXCHANGE_EVERY_MIN: Duration = Duration::from_millis(20);

/// How long an answer may take: several round trips between zones, and the pause of a coordinator
/// that waits for its part of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// How often accounts are checked for a change of demand that the coordinator should know at once.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// How long an operation may wait for a token.
pub(crate) const TOKEN_WAIT_MAX: Duration = Duration::from_millis(200);

/// How far ahead an operation may wait for the daemon's own bucket. Without it, arrivals at random
/// would find a small bucket empty or full too often to use the limit.
const BUCKET_WAIT_MAX: Duration = Duration::from_millis(100);

/// How long no token is expected after the coordinator gave fewer than were wanted.
const EMPTY_PAUSE: Duration = Duration::from_millis(60);

data! {
    /// The answer to an operation that has arrived.
    pub enum Admission {
        /// A token is there.
        Now,
        /// A token is expected within 200 ms.
        Wait,
        /// The limit is reached.
        Refuse {
            /// When the client may come back, spread over what the limit allows.
            retry_after: Duration,
        },
    }

    /// A daemon's own shares of accounts' limits.
    pub struct RateLimits {
        bounds: RateBounds,
        vm: VmId,
        incarnation: Incarnation,
        accounts: BTreeMap<AccountName, AccountUse>,
        /// Whether the configuration limits any account.
        has_limits: bool,
        /// Whether the store confirmed a row of this daemon which says that it may hold shares.
        may_hold: bool,
        /// The coordinator that was last asked.
        coordinator: Option<(VmId, Incarnation)>,
        /// The number of the last request.
        sequence: u64,
        /// When the request was sent that has not been answered.
        unanswered_since: Option<Instant>,
        /// Whether the coordinator did not answer the last request.
        is_silent: bool,
        last_request: Option<Instant>,
        last_complete: Option<Instant>,
        next_check: Instant,
        /// The accounts that the next request must name at once.
        urgent: BTreeSet<AccountName>,
        /// The accounts with operations that wait for a token.
        short: BTreeSet<AccountName>,
        /// The accounts whose operations began or ceased to be refused, to log each change.
        changes: Vec<(AccountName, bool)>,
        /// The number of operations that were refused.
        refused: u64,
    }
}

impl RateLimits {
    /// Returns the state of a daemon that has no share.
    #[must_use]
    pub fn new(bounds: RateBounds, vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            bounds,
            vm,
            incarnation,
            accounts: BTreeMap::new(),
            has_limits: false,
            may_hold: false,
            coordinator: None,
            sequence: 0,
            unanswered_since: None,
            is_silent: false,
            last_request: None,
            last_complete: None,
            next_check: Instant::default(),
            urgent: BTreeSet::new(),
            short: BTreeSet::new(),
            changes: Vec::new(),
            refused: 0,
        }
    }

    /// Returns whether the configuration limits any account.
    #[must_use]
    pub const fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Returns the number of operations that were refused.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of accounts of whose limit this daemon has a share.
    #[must_use]
    pub fn shares_held(&self, now: Instant) -> usize {
        let held = self.accounts.values();
        held.filter(|account| account.has_share(now)).count()
    }

    /// Returns the share of an account's limit that this daemon may use, in millionths.
    #[must_use]
    pub fn share(&self, now: Instant, account: &AccountName) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |account| account.share(now))
    }

    /// Applies the limits of a configuration. Accounts without a limit are forgotten.
    pub fn on_limits(&mut self, now: Instant, accounts: &Accounts) {
        self.has_limits = accounts.all().any(|account| account.limit.is_some());
        self.accounts.retain(|name, account| {
            let limit = accounts.get(name).and_then(|configured| configured.limit);
            if let Some(limit) = limit {
                account.set_limit(now, limit);
            }
            limit.is_some()
        });
    }

    /// Allows shares and tokens, after the store confirmed a row that says that this daemon may hold
    /// them.
    pub const fn allow(&mut self) {
        self.may_hold = true;
    }

    /// Gives up all shares and tokens, and accepts none, before a row is written that does not say
    /// that this daemon may hold them.
    pub fn give_up(&mut self, now: Instant) {
        self.may_hold = false;
        self.unanswered_since = None;
        self.accounts
            .values_mut()
            .for_each(|account| account.give_up(now));
    }

    /// Has the next request list all accounts if the coordinator is another than before.
    pub fn follow(&mut self, coordinator: &VmId, incarnation: Incarnation) {
        let is_same = |(vm, run): &(VmId, Incarnation)| vm == coordinator && *run == incarnation;
        if !self.coordinator.as_ref().is_some_and(is_same) {
            self.coordinator = Some((coordinator.clone(), incarnation));
            self.unanswered_since = None;
            self.is_silent = false;
            self.last_complete = None;
        }
    }

    /// Records that a client of an account has opened a session, so that its first operation finds
    /// a share.
    pub fn open(&mut self, now: Instant, account: &AccountName, limit: RateLimit) {
        if !self.accounts.contains_key(account) {
            self.urgent.insert(account.clone());
        }
        self.account(now, account, limit).touch(now);
    }

    /// Decides on an operation that has arrived. Unless it is refused, it must be followed by
    /// [`Self::take`], once that succeeds, or by [`Self::withdraw`].
    pub fn admit(&mut self, now: Instant, name: &AccountName, limit: RateLimit) -> Admission {
        let may_ask = !self.is_silent;
        let account = self.account(now, name, limit);
        account.count(now);
        let has_token = account.has_spare_token(now);
        let may_come = has_token
            || account.expects_token(now, BUCKET_WAIT_MAX)
            || (may_ask && account.may_ask_for_more(now));
        if !may_come {
            let retry_after = self.refuse(now, name);
            return Admission::Refuse { retry_after };
        }
        account.pending += 1;
        if has_token {
            return Admission::Now;
        }
        self.short.insert(name.clone());
        Admission::Wait
    }

    /// Returns whether an operation that was admitted finds a token.
    pub fn has_token(&mut self, now: Instant, name: &AccountName, limit: RateLimit) -> bool {
        self.account(now, name, limit).tokens(now) > 0
    }

    /// Takes the token of an operation that was admitted; returns false if there is none.
    pub fn take(&mut self, now: Instant, name: &AccountName, limit: RateLimit) -> bool {
        self.account(now, name, limit).take(now)
    }

    /// Forgets an operation that was admitted and ended without a token.
    pub fn withdraw(&mut self, name: &AccountName) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.pending = account.pending.saturating_sub(1);
        }
    }

    /// Returns whether an operation that has waited for `waited` without a token should wait on.
    pub fn should_wait(&mut self, now: Instant, name: &AccountName, waited: Duration) -> bool {
        let may_ask = !self.is_silent;
        let Some(account) = self.accounts.get_mut(name) else {
            return false;
        };
        let expects = account.bucket_yields_within(now, BUCKET_WAIT_MAX);
        waited < TOKEN_WAIT_MAX && (expects || (may_ask && account.is_worth_asking(now)))
    }

    /// Records that an operation is refused, and returns when its client may come back.
    pub fn refuse(&mut self, now: Instant, name: &AccountName) -> Duration {
        let Some(account) = self.accounts.get_mut(name) else {
            return Duration::ZERO;
        };
        self.refused = self.refused.saturating_add(1);
        if account.note_limited(now) {
            self.changes.push((name.clone(), true));
        }
        account.refuse(now)
    }

    /// Returns the accounts whose operations began or ceased to be refused since the last call.
    pub fn changes(&mut self) -> Vec<(AccountName, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the next request to the coordinator if one is due: a complete one every second, and
    /// one with the accounts that changed or want tokens in between.
    pub fn request(&mut self, now: Instant) -> Option<ShareRequest> {
        if !self.may_hold || !self.has_limits {
            return None;
        }
        if let Some(sent) = self.unanswered_since {
            if now.since(sent) < ANSWER_TIMEOUT {
                return None;
            }
            self.unanswered_since = None;
            self.is_silent = true;
        }
        let pause = match self.is_silent {
            true => ANSWER_TIMEOUT,
            false => EXCHANGE_EVERY_MIN,
        };
        if self.last_request.is_some_and(|at| now.since(at) < pause) {
            return None;
        }
        self.check_accounts(now);
        let is_complete = self.is_silent
            || self
                .last_complete
                .is_none_or(|at| now.since(at) >= EXCHANGE_EVERY);
        let names = self.names_to_ask(now, is_complete);
        if names.is_empty() && !is_complete {
            return None;
        }
        let asks = names.into_iter().filter_map(|name| {
            let account = self.accounts.get_mut(&name)?;
            Some(account.ask(now, name))
        });
        let accounts: Vec<AccountAsk> = asks.collect();
        if is_complete {
            self.last_complete = Some(now);
        }
        self.last_request = Some(now);
        self.unanswered_since = Some(now);
        self.sequence += 1;
        Some(ShareRequest {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            is_complete,
            accounts,
        })
    }

    /// Accepts the answer to the last request. Shares last until `lease_end` at the latest, by this
    /// daemon's row.
    pub fn on_answer(&mut self, now: Instant, answer: &ShareAnswer, lease_end: Instant) {
        let Some(sent) = self.unanswered_since else {
            return;
        };
        if !self.may_hold || answer.sequence != self.sequence {
            return;
        }
        self.unanswered_since = None;
        self.is_silent = false;
        let lease_end = lease_end.min(sent + answer.lease.min(SHARE_LEASE));
        let tokens_end = sent + self.bounds.token_time();
        for loan in &answer.accounts {
            let Some(account) = self.accounts.get_mut(&loan.account) else {
                continue;
            };
            if account.on_loan(now, loan, lease_end, tokens_end) {
                self.urgent.insert(loan.account.clone());
            }
            if loan.tokens < account.wanted {
                account.empty_until = now + EMPTY_PAUSE;
            }
        }
    }

    /// Returns the accounts that the next request names.
    fn names_to_ask(&mut self, now: Instant, is_complete: bool) -> Vec<AccountName> {
        let accounts = &mut self.accounts;
        self.short.retain(|name| {
            accounts
                .get(name)
                .is_some_and(|account| account.pending > 0)
        });
        let mut names = std::mem::take(&mut self.urgent);
        if is_complete {
            return accounts.keys().cloned().collect();
        }
        names.retain(|name| accounts.contains_key(name));
        for name in &self.short {
            if let Some(account) = accounts.get_mut(name)
                && account.empty_until <= now
                && account.missing(now) > 0
            {
                names.insert(name.clone());
            }
        }
        names.into_iter().collect()
    }

    /// Forgets accounts that are no longer used, and marks those whose demand has changed much.
    fn check_accounts(&mut self, now: Instant) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_EVERY;
        let (urgent, changes) = (&mut self.urgent, &mut self.changes);
        self.accounts.retain(|name, account| {
            if account.note_unlimited(now) {
                changes.push((name.clone(), false));
            }
            if account.has_changed(now) {
                urgent.insert(name.clone());
            }
            account.is_used(now)
        });
    }

    /// Returns the use of an account, by its present limit.
    fn account(&mut self, now: Instant, name: &AccountName, limit: RateLimit) -> &mut AccountUse {
        let account = self.accounts.entry(name.clone());
        let account = account.or_insert_with(|| AccountUse::new(now, limit));
        account.set_limit(now, limit);
        account
    }
}
