//! The coordinator's lending of shares of accounts' limits, and of single tokens.
//!
//! The sum of the shares that may be in use, including the coordinator's own rest, is at most the
//! whole limit at any time. `docs/design/10-rate-limits.md` derives the bound on operations from it.

use std::collections::{BTreeMap, BTreeSet};

use sapphireslip_core::{AccountName, Incarnation, Instant, VmId, data};

use crate::rate_bucket::{Bucket, WHOLE_SHARE};
use crate::{
    AccountAsk, AccountLoan, Accounts, PermissionTable, RateBounds, RateLimit, SHARE_LEASE,
    ShareAnswer, ShareRequest, StoreTime,
};

/// The most of a limit that is lent, in millionths. The rest stays with the coordinator for tokens. A
/// new coordinator may use it at once, as its predecessor can't have lent it.
const LENT_MAX: u32 = 800_000;

/// The limit or demand per borrower, in thousandths of an operation per second, at which half of this
/// part is lent. A bucket that yields less than a token in some seconds is mostly full when none asks and
/// empty when one does, so that small accounts are served better by tokens.
const HALF_LENT_RATE: u64 = 1_500;

/// The part of a limit, as a divisor, that is divided equally among borrowers while demand exceeds
/// the limit, so that none is left without a share while the coordinator is lost.
const EQUAL_PART_DIVISOR: u64 = 10;

/// A share is kept as it is if the change would be less than this divisor of it: until the borrower
/// has confirmed a change, the larger share counts.
const CHANGE_DIVISOR: u32 = 16;

/// The least demand that each borrower counts with, in thousandths of an operation per second: a
/// second without an operation says little about the next one.
const EQUAL_PART_MIN: u64 = 500;

/// A demand of at least this, in thousandths of an operation per second, that is followed by none counts
/// as ended: the clients may have moved to other daemons.
const CEASED_MIN: u64 = 500;

/// The weight of the earlier demand in the average with a newer one, which has the weight 1.
const SMOOTHING: u64 = 3;

data! {
    /// The shares and tokens that this daemon lends as the coordinator.
    pub struct RateShares {
        bounds: RateBounds,
        /// The term of lending; none while this daemon is not the coordinator.
        term: Option<LendingTerm>,
        accounts: BTreeMap<AccountName, Lending>,
    }

    /// The time since this daemon became the coordinator.
    struct LendingTerm {
        begun: Instant,
        /// Whether every lease of an earlier coordinator is known or has ended.
        is_known: bool,
        /// The runs that may hold leases of an earlier coordinator and have not reported yet; none
        /// until the rows are read.
        unreported: Option<Vec<(VmId, Incarnation)>>,
        borrowers: BTreeMap<VmId, Borrower>,
    }

    /// What is known of a daemon that asked for shares.
    struct Borrower {
        incarnation: Incarnation,
        sequence: u64,
        /// Whether it has listed all its shares since the term began.
        has_reported: bool,
    }

    /// What is lent of one account's limit.
    struct Lending {
        /// The rest of the limit, from which tokens are issued.
        rest: Bucket,
        leases: BTreeMap<VmId, Lease>,
    }

    /// A share that a daemon may use.
    struct Lease {
        /// The share that the daemon used when it last asked.
        in_use: u32,
        /// The share that it was answered.
        answered: u32,
        demand_millis: u64,
        end: Instant,
    }
}

impl Lease {
    /// Returns the largest share that the daemon may be using.
    fn counted(&self) -> u32 {
        self.in_use.max(self.answered)
    }
}

impl Lending {
    /// Returns the sum of the shares that may be in use.
    fn lent(&self) -> u32 {
        let shares = self.leases.values().map(Lease::counted);
        shares.fold(0, u32::saturating_add)
    }

    /// Sets the rest to what is not lent, or while `is_known` is false to what is never lent.
    fn set_rest(&mut self, now: Instant, limit: RateLimit, is_known: bool) {
        let rest = match is_known {
            true => WHOLE_SHARE.saturating_sub(self.lent()),
            false => WHOLE_SHARE - LENT_MAX,
        };
        self.rest.set(now, limit, rest);
    }

    /// Returns the share that the borrower `vm` should have by the demand of all borrowers.
    fn target(&self, vm: &VmId, limit: RateLimit) -> u32 {
        let rate = u128::from(limit.per_second);
        let count = self.leases.len().max(1) as u128;
        let demands = self.leases.values().map(|lease| lease.demand_millis);
        let demand: u128 = demands.map(u128::from).sum();
        let own = self.leases.get(vm).map_or(0, |lease| lease.demand_millis);
        if rate == 0 {
            return 0;
        }
        let per_borrower = rate.max(demand) / count;
        let square = |n: u128| n.saturating_mul(n);
        let (above, half) = (square(per_borrower), square(u128::from(HALF_LENT_RATE)));
        let lent = u128::from(LENT_MAX).saturating_mul(above) / above.saturating_add(half);
        // The equal part brings the sum of the targets up to what is lent while demand is lower.
        let lent_rate = rate * lent / u128::from(WHOLE_SHARE);
        let unasked = lent_rate.saturating_sub(demand) / count;
        let equal = unasked
            .max(rate / u128::from(EQUAL_PART_DIVISOR) / count)
            .max(u128::from(EQUAL_PART_MIN));
        let total = demand + equal * count;
        let target = lent * (u128::from(own) + equal) / total.max(1);
        u32::try_from(target).unwrap_or(WHOLE_SHARE)
    }
}

/// Returns the demand to reckon with, in thousandths of an operation per second, after `told`
/// followed `known`.
///
/// A difference that a steady stream of random arrivals shows as well is averaged over complete
/// requests. A share that follows it back and forth is counted at its larger value for most of the
/// time, so that a part of the limit is used by nobody.
fn smoothed(known: u64, told: u64, is_complete: bool) -> u64 {
    let deviation = known.max(told).saturating_mul(1_000).isqrt();
    let has_ceased = told == 0 && known >= CEASED_MIN;
    if has_ceased || known.abs_diff(told) > 2 * deviation + 1_000 {
        told
    } else if is_complete {
        (known * SMOOTHING + told) / (SMOOTHING + 1)
    } else {
        known
    }
}

impl RateShares {
    /// Returns the state of a daemon that is not the coordinator.
    #[must_use]
    pub const fn new(bounds: RateBounds) -> Self {
        Self {
            bounds,
            term: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Begins a term without knowledge of the leases that an earlier coordinator gave. No earlier
    /// coordinator may give any after `now`.
    pub fn begin(&mut self, now: Instant, accounts: &Accounts) {
        self.accounts.clear();
        self.term = Some(LendingTerm {
            begun: now,
            is_known: false,
            unreported: None,
            borrowers: BTreeMap::new(),
        });
        self.on_limits(now, accounts);
    }

    /// Ends the term.
    pub fn end(&mut self) {
        self.term = None;
        self.accounts.clear();
    }

    /// Returns the part of an account's limit from which this daemon issues tokens, in millionths.
    #[must_use]
    pub fn rest(&self, account: &AccountName) -> u32 {
        let lending = self.accounts.get(account);
        lending.map_or(0, |lending| lending.rest.share())
    }

    /// Returns whether this daemon answers requests.
    #[must_use]
    pub const fn is_lending(&self) -> bool {
        self.term.is_some()
    }

    /// Returns whether every lease of an earlier coordinator is known or has ended, so that more
    /// may be lent.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.term.as_ref().is_some_and(|term| term.is_known)
    }

    /// Learns from rows that were read at or after `sent` which daemons may hold leases. Rows that
    /// were read before the term began are ignored: they may lack a daemon that got a lease since. So are
    /// those with an unreadable one, whose daemon may hold a lease.
    pub fn on_rows(&mut self, now: Instant, sent: Instant, table: &PermissionTable) {
        let Some(term) = self.term.as_mut().filter(|term| term.begun <= sent) else {
            return;
        };
        if !table.unreadable.is_empty() {
            return;
        }
        let may_hold = |record: &&crate::PermissionRecord| {
            record.holds_shares && table.now < StoreTime(record.until.0 + SHARE_LEASE)
        };
        let rows = table.permissions.iter().map(|(record, _)| record);
        let holders = rows.filter(may_hold);
        let runs = holders.map(|record| (record.vm.clone(), record.incarnation));
        term.unreported = Some(runs.collect());
        self.check_known(now);
    }

    /// Applies the limits of a configuration.
    pub fn on_limits(&mut self, now: Instant, accounts: &Accounts) {
        let Some(term) = &self.term else {
            return;
        };
        let is_known = term.is_known;
        self.accounts.retain(|name, lending| {
            lending.leases.retain(|_, lease| now < lease.end);
            let is_limited = accounts.get(name).is_some_and(|a| a.limit.is_some());
            is_limited || lending.lent() > 0
        });
        for account in accounts.all() {
            if let Some(limit) = account.limit {
                let lending = entry(&mut self.accounts, now, &account.name, limit, &self.bounds);
                lending.set_rest(now, limit, is_known);
            }
        }
    }

    /// Lets time pass: everything may be lent once an earlier coordinator's leases have ended.
    pub fn check_known(&mut self, now: Instant) {
        let Some(term) = self.term.as_mut().filter(|term| !term.is_known) else {
            return;
        };
        let has_reported = |(vm, incarnation): &(VmId, Incarnation)| {
            let borrower = term.borrowers.get(vm);
            borrower.is_some_and(|b| b.has_reported && b.incarnation >= *incarnation)
        };
        let all_reported = term
            .unreported
            .as_ref()
            .is_some_and(|runs| runs.iter().all(has_reported));
        if all_reported || now.since(term.begun) >= SHARE_LEASE {
            term.is_known = true;
            for lending in self.accounts.values_mut() {
                let limit = lending.rest.limit();
                lending.set_rest(now, limit, true);
            }
        }
    }

    /// Answers a daemon's request; returns none if this daemon does not lend, or if the request is
    /// older than one that was answered.
    pub fn on_request(
        &mut self,
        now: Instant,
        accounts: &Accounts,
        request: &ShareRequest,
    ) -> Option<ShareAnswer> {
        let is_new_run = self.note_borrower(request)?;
        if is_new_run {
            self.end_leases(now, &request.vm, &BTreeSet::new());
        } else if request.is_complete {
            let listed = request.accounts.iter().map(|ask| &ask.account).collect();
            self.end_leases(now, &request.vm, &listed);
        }
        self.check_known(now);
        let is_known = self.is_complete();
        let mut loans = Vec::with_capacity(request.accounts.len());
        for ask in &request.accounts {
            let limit = accounts.get(&ask.account).and_then(|account| account.limit);
            let limit_or_none = limit.unwrap_or(RateLimit {
                per_second: 0,
                burst: 0,
            });
            let bounds = &self.bounds;
            let lending = entry(&mut self.accounts, now, &ask.account, limit_or_none, bounds);
            let may_change = is_known && limit.is_some();
            loans.push(lend(
                lending,
                now,
                request,
                ask,
                limit_or_none,
                may_change,
                bounds,
            ));
        }
        Some(ShareAnswer {
            sequence: request.sequence,
            lease: SHARE_LEASE,
            accounts: loans,
        })
    }

    /// Records a request's sender. Returns whether an earlier run on its VM was known before; none
    /// if the request is to be ignored.
    fn note_borrower(&mut self, request: &ShareRequest) -> Option<bool> {
        let term = self.term.as_mut()?;
        let known = term.borrowers.get(&request.vm);
        let is_old = known.is_some_and(|known| {
            (request.incarnation, request.sequence) <= (known.incarnation, known.sequence)
        });
        if is_old {
            return None;
        }
        let same_run = known.filter(|known| known.incarnation == request.incarnation);
        let has_reported = request.is_complete || same_run.is_some_and(|run| run.has_reported);
        let is_new_run = known.is_some() && same_run.is_none();
        let borrower = Borrower {
            incarnation: request.incarnation,
            sequence: request.sequence,
            has_reported,
        };
        term.borrowers.insert(request.vm.clone(), borrower);
        Some(is_new_run)
    }

    /// Ends the leases of a daemon on all accounts but those in `kept`.
    fn end_leases(&mut self, now: Instant, vm: &VmId, kept: &BTreeSet<&AccountName>) {
        let is_known = self.is_complete();
        for (name, lending) in &mut self.accounts {
            if !kept.contains(name) && lending.leases.remove(vm).is_some() {
                let limit = lending.rest.limit();
                lending.set_rest(now, limit, is_known);
            }
        }
    }
}

/// Returns the lending of an account; it begins with an empty bucket.
fn entry<'a>(
    accounts: &'a mut BTreeMap<AccountName, Lending>,
    now: Instant,
    name: &AccountName,
    limit: RateLimit,
    bounds: &RateBounds,
) -> &'a mut Lending {
    accounts.entry(name.clone()).or_insert_with(|| Lending {
        rest: Bucket::new(now, limit, bounds.coordinator_spare()),
        leases: BTreeMap::new(),
    })
}

/// Lends a share of one account's limit, and tokens. The borrower keeps the share that it uses
/// unless `may_change`.
fn lend(
    lending: &mut Lending,
    now: Instant,
    request: &ShareRequest,
    ask: &AccountAsk,
    limit: RateLimit,
    may_change: bool,
    bounds: &RateBounds,
) -> AccountLoan {
    let vm = &request.vm;
    lending.leases.retain(|_, lease| now < lease.end);
    let lease = Lease {
        in_use: ask.share,
        answered: ask.share,
        demand_millis: match lending.leases.get(vm) {
            Some(known) => smoothed(known.demand_millis, ask.demand_millis, request.is_complete),
            None => ask.demand_millis,
        },
        end: now + SHARE_LEASE,
    };
    lending.leases.insert(vm.clone(), lease);
    let share = if may_change {
        let others = lending.lent().saturating_sub(ask.share);
        let others_count = lending.leases.iter();
        let others_count =
            others_count.filter(|(other, lease)| *other != vm && lease.counted() > 0);
        let may_borrow = (others_count.count() as u64) < bounds.borrowers_max();
        let target = lending.target(vm, limit);
        let is_close = target.abs_diff(ask.share) < ask.share / CHANGE_DIVISOR;
        match () {
            () if is_close => ask.share,
            () if ask.share > 0 || may_borrow => target.min(LENT_MAX.saturating_sub(others)),
            () => 0,
        }
    } else {
        ask.share
    };
    if let Some(lease) = lending.leases.get_mut(vm) {
        lease.answered = share;
    }
    lending.set_rest(now, limit, may_change);
    AccountLoan {
        account: ask.account.clone(),
        share,
        tokens: lending.rest.take(now, ask.wanted),
    }
}
