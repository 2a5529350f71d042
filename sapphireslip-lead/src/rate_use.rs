//! What a daemon has of one account's limit, and what its clients ask for.

use std::collections::VecDeque;
use std::time::Duration;

use sapphireslip_core::{AccountName, Instant, data};

use crate::rate_bucket::{Bucket, WHOLE_SHARE};
use crate::rate_demand::Demand;
use crate::rate_limits::TOKEN_WAIT_MAX;
use crate::{AccountAsk, AccountLoan, RateLimit};

/// The tokens that a borrower's bucket holds beyond its share of the burst.
const BORROWER_SPARE: u64 = 1;

/// How long an account without a session or an operation counts as used.
const USED_TIME: Duration = Duration::from_secs(10);

/// How long an account must go without a refusal until its limit no longer counts as reached.
const LIMITED_TIME: Duration = Duration::from_secs(5);

/// The longest retry delay of a refusal.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// The shortest retry delay of a refusal.
const RETRY_MIN: Duration = Duration::from_millis(5);

/// The share, in millionths, by which refusals of a daemon with less are spread.
const RETRY_SHARE_MIN: u32 = 50_000;

/// How far ahead tokens are wanted for demand beyond the share.
const WANTED_AHEAD: Duration = Duration::from_millis(100);

/// A share that shrinks by less than this, in thousandths of an operation per second, is returned with
/// the next complete request only.
const RETURN_MIN: u64 = 200;

/// A change of demand by less than this, in thousandths of an operation per second, is told with the
/// next complete request only.
const CHANGE_MIN: u64 = 2_000;

data! {
    /// What a daemon has of one account's limit.
    pub(crate) struct AccountUse {
        bucket: Bucket,
        /// When the share ends.
        lease_end: Instant,
        /// Tokens that the coordinator issued, with the end of their time, the oldest first.
        issued: VecDeque<(Instant, u64)>,
        /// The operations that were admitted and have no token yet.
        pub(crate) pending: u64,
        demand: Demand,
        /// The demand in the last request.
        told_demand: u64,
        /// The tokens wanted in the last request.
        pub(crate) wanted: u64,
        /// Until when no token is expected from the coordinator.
        pub(crate) empty_until: Instant,
        last_used: Instant,
        /// The time at which the last refused client was told to come back.
        next_return: Instant,
        /// When an operation was last refused; none if the limit does not count as reached.
        limited_at: Option<Instant>,
    }
}

impl AccountUse {
    /// Returns an account of which the daemon has no share.
    pub(crate) fn new(now: Instant, limit: RateLimit) -> Self {
        Self {
            bucket: Bucket::new(now, limit, BORROWER_SPARE),
            lease_end: Instant::default(),
            issued: VecDeque::new(),
            pending: 0,
            demand: Demand::default(),
            told_demand: 0,
            wanted: 0,
            empty_until: Instant::default(),
            last_used: now,
            next_return: now,
            limited_at: None,
        }
    }

    /// Applies the limit of the present configuration.
    pub(crate) fn set_limit(&mut self, now: Instant, limit: RateLimit) {
        self.end_if_due(now);
        if self.bucket.limit() != limit {
            let share = self.bucket.share();
            self.bucket.set(now, limit, share);
        }
    }

    /// Gives up the share and all tokens.
    pub(crate) fn give_up(&mut self, now: Instant) {
        let limit = self.bucket.limit();
        self.bucket.set(now, limit, 0);
        self.issued.clear();
    }

    /// Returns whether the daemon has a share.
    pub(crate) fn has_share(&self, now: Instant) -> bool {
        self.share(now) > 0
    }

    /// Returns the share that the daemon may use, in millionths of the limit.
    pub(crate) fn share(&self, now: Instant) -> u32 {
        match now < self.lease_end {
            true => self.bucket.share(),
            false => 0,
        }
    }

    /// Records that a client uses the account.
    pub(crate) const fn touch(&mut self, now: Instant) {
        self.last_used = now;
    }

    /// Counts an operation that a client asks for.
    pub(crate) fn count(&mut self, now: Instant) {
        self.touch(now);
        self.demand.count(now);
    }

    /// Returns the number of tokens.
    pub(crate) fn tokens(&mut self, now: Instant) -> u64 {
        self.end_if_due(now);
        let issued = self.issued.iter().map(|(_, count)| count);
        self.bucket.tokens(now) + issued.sum::<u64>()
    }

    /// Returns whether there are more tokens than pending operations.
    pub(crate) fn has_spare_token(&mut self, now: Instant) -> bool {
        self.tokens(now) > self.pending
    }

    /// Returns the number of pending operations for which there is no token.
    pub(crate) fn missing(&mut self, now: Instant) -> u64 {
        self.pending.saturating_sub(self.tokens(now))
    }

    /// Takes a token for a pending operation; returns false if there is none.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.end_if_due(now);
        let is_taken = match self.issued.front_mut() {
            Some((_, count)) => {
                *count -= 1;
                if *count == 0 {
                    self.issued.pop_front();
                }
                true
            }
            None => self.bucket.take(now, 1) == 1,
        };
        self.pending = self.pending.saturating_sub(u64::from(is_taken));
        is_taken
    }

    /// Returns whether the bucket yields a token for one more operation within `wait`, after those
    /// that are pending.
    pub(crate) fn expects_token(&mut self, now: Instant, wait: Duration) -> bool {
        self.end_if_due(now);
        let issued: u64 = self.issued.iter().map(|(_, count)| count).sum();
        let needed = (self.pending + 1).saturating_sub(issued);
        let time = self.bucket.time_to_yield(now, needed);
        time.is_some_and(|time| time <= wait)
    }

    /// Returns whether the coordinator may have tokens for one more pending operation: what it gives
    /// within the time that an operation waits.
    pub(crate) fn may_ask_for_more(&mut self, now: Instant) -> bool {
        let per_second = u128::from(self.bucket.limit().per_second);
        let millis = per_second * TOKEN_WAIT_MAX.as_millis() / 1_000;
        let room = match now < self.empty_until {
            true => 1,
            false => 2 + millis / 1_000,
        };
        u128::from(self.missing(now)) < room
    }

    /// Returns whether the operations that wait should wait on for the coordinator: also when it was
    /// out of tokens a moment ago if there is only one, as it will be asked again shortly.
    pub(crate) fn is_worth_asking(&mut self, now: Instant) -> bool {
        self.empty_until <= now || self.missing(now) <= 1
    }

    /// Returns whether the bucket yields its next token within `wait`.
    pub(crate) fn bucket_yields_within(&mut self, now: Instant, wait: Duration) -> bool {
        self.end_if_due(now);
        let time = self.bucket.time_to_yield(now, 1);
        time.is_some_and(|time| time <= wait)
    }

    /// Returns when the client of a refused operation may come back: each one at the time of another
    /// token of this daemon's share.
    pub(crate) fn refuse(&mut self, now: Instant) -> Duration {
        let share = u128::from(self.bucket.share().max(RETRY_SHARE_MIN));
        let flow = u128::from(self.bucket.limit().per_second) * share;
        let nanos_per_token = 1_000 * u128::from(WHOLE_SHARE) * 1_000_000_000;
        let step = match flow {
            0 => RETRY_MAX,
            _ => Duration::from_nanos(u64::try_from(nanos_per_token / flow).unwrap_or(u64::MAX)),
        };
        let slot = self.next_return.max(now) + step;
        self.next_return = slot.min(now + RETRY_MAX);
        self.next_return.since(now).max(RETRY_MIN)
    }

    /// Records a refusal; returns true if the limit did not count as reached before.
    pub(crate) const fn note_limited(&mut self, now: Instant) -> bool {
        self.limited_at.replace(now).is_none()
    }

    /// Returns true, once, if the limit no longer counts as reached.
    pub(crate) fn note_unlimited(&mut self, now: Instant) -> bool {
        let is_over = |at: &mut Instant| now.since(*at) >= LIMITED_TIME;
        self.limited_at.take_if(is_over).is_some()
    }

    /// Returns whether the account counts as used.
    pub(crate) fn is_used(&self, now: Instant) -> bool {
        self.pending > 0 || self.limited_at.is_some() || now.since(self.last_used) < USED_TIME
    }

    /// Returns whether demand differs by more than half from what the coordinator was told.
    pub(crate) fn has_changed(&mut self, now: Instant) -> bool {
        let demand = self.demand.per_second_millis(now);
        if demand == 0 && self.told_demand > 0 && self.bucket.share() > 0 {
            return true;
        }
        let (low, high) = (demand.min(self.told_demand), demand.max(self.told_demand));
        high - low > CHANGE_MIN.max(high / 2)
    }

    /// Returns what to ask the coordinator for.
    pub(crate) fn ask(&mut self, now: Instant, account: AccountName) -> AccountAsk {
        self.end_if_due(now);
        self.told_demand = self.demand.per_second_millis(now);
        let share = self.bucket.share();
        let per_second = u128::from(self.bucket.limit().per_second);
        let share_rate = per_second * u128::from(share) / u128::from(WHOLE_SHARE);
        let excess = u128::from(self.told_demand).saturating_sub(share_rate);
        // Thousandths of an operation per second, times milliseconds.
        let ahead = excess * WANTED_AHEAD.as_millis() / 1_000_000;
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let has_tokens = !self.issued.is_empty();
        self.wanted = match self.missing(now) {
            0 if has_tokens => 0,
            missing => missing.max(ahead),
        };
        AccountAsk {
            account,
            share,
            demand_millis: self.told_demand,
            wanted: self.wanted,
        }
    }

    /// Accepts a share and tokens. Returns whether the share became much smaller, which the
    /// coordinator should know at once to lend the difference to others.
    pub(crate) fn on_loan(
        &mut self,
        now: Instant,
        loan: &AccountLoan,
        lease_end: Instant,
        tokens_end: Instant,
    ) -> bool {
        self.end_if_due(now);
        let before = self.bucket.share();
        let share = if now < lease_end { loan.share } else { 0 };
        let limit = self.bucket.limit();
        self.bucket.set(now, limit, share);
        self.lease_end = lease_end;
        if loan.tokens > 0 && now < tokens_end {
            self.issued.push_back((tokens_end, loan.tokens));
        }
        let lost =
            u64::from(before.saturating_sub(share)) * limit.per_second.min(u64::from(u32::MAX));
        share < before - before / 10 && lost >= RETURN_MIN * u64::from(WHOLE_SHARE)
    }

    /// Drops the share once its lease has ended, and the tokens whose time has ended.
    fn end_if_due(&mut self, now: Instant) {
        if self.lease_end <= now && self.bucket.share() > 0 {
            let limit = self.bucket.limit();
            self.bucket.set(now, limit, 0);
        }
        while self.issued.front().is_some_and(|(end, _)| *end <= now) {
            self.issued.pop_front();
        }
    }
}
