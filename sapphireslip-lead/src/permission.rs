//! This daemon's permission to rely on the leaders that it knows.
//!
//! A permission is a kind of lease: a row in the store with an end, written only if no leader has
//! changed since the daemon last read them. After naming another leader, the coordinator waits
//! until every permission has been written anew or has ended. Then no daemon works with the old
//! leader any more.

use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, data};

use crate::grant::COORDINATOR_PERMISSION_LENGTH;
use crate::server::KnownServer;
use crate::state::State;
use crate::votes::Votes;
use crate::{
    Effect, PermissionRecord, PermissionTable, Record, RecordKind, RowVersion, StoreClock,
    StoreEra, StoreTime, StoreWrite, WriteOutcome,
};

/// How long a permission lasts: longer than the store's usual outages, during which it can't be
/// renewed. The replacement of a primary waits this long for daemons that have died.
pub const PERMISSION_LENGTH: Duration = Duration::from_millis(2_000);

/// How often a permission is renewed: it outlasts one or two lost answers.
const RENEWAL_EVERY: Duration = Duration::from_millis(700);

/// How often a daemon that works with no server renews its row in a small fleet, to show that it
/// is alive.
const IDLE_RENEWAL_EVERY: Duration = Duration::from_secs(6);

/// The longest interval at which a daemon that works with no server renews its row, in a fleet of
/// any size.
const IDLE_RENEWAL_EVERY_MAX: Duration = Duration::from_secs(30);

/// How many renewals of an idle daemon may fail until it no longer counts as alive.
const IDLE_RENEWALS_ALIVE: u32 = 2;

/// How long a daemon counts as alive after its row was written, beyond `IDLE_RENEWALS_ALIVE`
/// intervals.
///
/// Daemons that lose power together must still agree on the homes when they are back. A daemon that
/// died is noticed earlier by the daemons that forward sessions to it.
const ALIVE_MARGIN: Duration = Duration::from_secs(2);

/// Sets how long the daemons of a restarting fleet delay the first regular renewal of their rows:
/// at random between a quarter and three quarters of this time, or of the rest of the earlier row's
/// alive time if that is shorter. The store writes the rows of one part one after the other, and
/// rows with a permission, which are not delayed, go first.
const RESTART_SPREAD: Duration = Duration::from_secs(3);

/// The age up to which a leader's last answer is reported as reached.
const REACHED_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The time after which an unanswered renewal is sent again.
const RENEWAL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest pause of an idle daemon after a renewal that got no answer, well within the time for which
/// its earlier row shows it as alive.
const IDLE_RENEWAL_RETRY_MAX: Duration = Duration::from_secs(4);

/// The least time between a renewal and a following one that only reports a change of the
/// unreachable leaders.
const REPORT_EVERY_MIN: Duration = Duration::from_millis(150);

/// How long open transactions and writes may continue at a primary that is being replaced, before
/// they are ended and the change is acknowledged. Most end by themselves within this time.
const OLD_LEADER_WORK_MAX: Duration = Duration::from_millis(400);

data! {
    /// This daemon's time-limited right to rely on the leaders that it knows.
    #[derive(Default)]
    pub(crate) struct Permission {
        /// The version of this daemon's row, 0 if it has none; none until the permissions are read.
        pub(crate) stored_version: Option<RowVersion>,
        /// Whether the store held a row of an earlier run on this VM when the permissions were
        /// first read.
        pub(crate) had_earlier_row: bool,
        /// The end of the permission in the last row that the store confirmed, by the store's
        /// clock.
        row_end: Option<StoreTime>,
        /// The earliest end among the rows that were sent since, unconfirmed, and that the store
        /// may hold. It may be before `row_end`.
        unconfirmed_end: Option<StoreTime>,
        /// The end of the coordinator's last grant.
        grant_end: Option<Instant>,
        /// Whether a renewal is under way.
        is_renewal_pending: bool,
        /// Whether the last renewal ended without an answer, so that it may have been done.
        is_outcome_unknown: bool,
        /// How many renewals in a row got no answer.
        unanswered_renewals: u32,
        /// When the next regular renewal is due.
        next_renewal: Instant,
        /// The earliest time for another renewal while the permission is missing.
        next_retry: Instant,
        /// When the last renewal was sent.
        last_renewal_sent: Instant,
        /// How long the last answered renewal took. The next row's end is later by this time, since
        /// a slow store writes it later.
        last_renewal_duration: Duration,
        /// The newest generation of the leaders that a confirmed renewal was based on.
        acknowledged_generation: RowVersion,
        /// The unreachable leaders that the last renewal reported.
        reported_unreachable: Vec<ServerId>,
        /// Since when the daemon has needed the permission without having it; none if it has it or
        /// does not need it.
        lacking_since: Option<Instant>,
        /// The bounds of the store's clock.
        pub(crate) clock: StoreClock,
        /// Whether the permission was valid when it was last checked, to log each change.
        was_valid: bool,
    }
}

impl Permission {
    /// Returns whether the daemon may rely on the leaders that it knows.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Returns how long the permission still lasts: until the last grant ends or, if that is later,
    /// until the earliest end of any row that the store may hold.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        let by_row = self.row_remaining(now, Duration::ZERO);
        let by_grant = self.grant_end.map_or(Duration::ZERO, |end| end.since(now));
        by_row.max(by_grant)
    }

    /// Returns whether no other daemon can see this daemon's permission as ended in the store, grants
    /// left aside.
    pub(crate) fn is_row_valid(&self, now: Instant) -> bool {
        !self.row_remaining(now, Duration::ZERO).is_zero()
    }

    /// Returns the time until `extra` has passed since the earliest end of any row that the store may
    /// hold; zero if there is none.
    pub(crate) fn row_remaining(&self, now: Instant, extra: Duration) -> Duration {
        let until = self
            .row_end
            .map(|until| self.unconfirmed_end.map_or(until, |end| end.min(until)));
        let left = until.zip(self.clock.latest(now));
        left.map_or(Duration::ZERO, |(end, now)| {
            (end.0 + extra).saturating_sub(now.0)
        })
    }

    /// Has the row written anew in a new era of the store.
    ///
    /// The row has the same number there unless the store has lost it. Only this VM's daemons write it, so
    /// the number can't have been given to another write of the row.
    pub(crate) fn on_store_era(&mut self, now: Instant, era: StoreEra) {
        let stored = self.stored_version;
        self.stored_version = stored.map(|version| RowVersion::in_era(era, version.number()));
        self.next_renewal = now;
    }

    /// Has the permission renewed at the next opportunity.
    pub(crate) const fn make_renewal_due(&mut self, now: Instant) {
        self.next_renewal = now;
    }

    /// Returns whether the last renewal is under way or ended without an answer.
    pub(crate) const fn is_unanswered(&self) -> bool {
        self.is_renewal_pending || self.is_outcome_unknown
    }

    /// Returns whether the last renewal that ended got no answer.
    pub(crate) const fn is_outcome_unknown(&self) -> bool {
        self.is_outcome_unknown
    }

    /// Extends the permission by a grant that lasts until `until`.
    pub(crate) fn extend(&mut self, until: Instant) {
        self.grant_end = self.grant_end.max(Some(until));
    }

    /// Returns how long the daemon has needed the permission without having it; zero if it has it.
    pub(crate) fn lacked_for(&self, now: Instant) -> Duration {
        self.lacking_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}

impl State {
    /// Renews the permission if that is due, if it is missing, or if there is a change to report.
    ///
    /// A change of the leaders is acknowledged only once no write, and no transaction that may
    /// write, is left at the old ones.
    pub(crate) fn renew_permission(&mut self) {
        self.note_permission_change();
        let needs = self.needs_permission();
        self.note_permission_lack(needs);
        let Some(row) = self
            .permission
            .stored_version
            .filter(|_| self.leaders.is_known || !needs)
        else {
            return;
        };
        if self.permission.is_renewal_pending || self.is_drain_finished() {
            return;
        }
        let generation = self.generation_to_acknowledge();
        if needs && generation.is_none() {
            return;
        }
        let unreachable = self.unreachable_leaders();
        let is_unacknowledged =
            self.permission.acknowledged_generation < self.leaders.table.generation;
        let is_news = unreachable != self.permission.reported_unreachable
            && self.now.since(self.permission.last_renewal_sent) >= REPORT_EVERY_MIN;
        let is_missing =
            needs && !self.permission.is_valid(self.now) && self.permission.next_retry <= self.now;
        let is_due = self.permission.next_renewal <= self.now;
        let is_unacknowledged = is_unacknowledged && (needs || self.permission.is_valid(self.now));
        if !(is_unacknowledged || is_news || is_missing || is_due) {
            return;
        }
        if is_unacknowledged && !self.stop_work_at_old_leaders(OLD_LEADER_WORK_MAX) {
            return;
        }
        let Some(latest) = self.permission.clock.latest(self.now) else {
            return;
        };
        self.permission.is_renewal_pending = true;
        self.permission.last_renewal_sent = self.now;
        self.permission.next_retry = self.now + RENEWAL_RETRY_AFTER;
        let idle_interval = match needs {
            true => IDLE_RENEWAL_EVERY,
            false => self.idle_interval(IDLE_RENEWAL_EVERY, IDLE_RENEWAL_EVERY_MAX),
        };
        self.permission.next_renewal = self.now + if needs { RENEWAL_EVERY } else { idle_interval };
        self.permission
            .reported_unreachable
            .clone_from(&unreachable);
        if !needs {
            // The new row counts as an acknowledgement of every change of a leader, so the daemon
            // must not rely on an earlier grant any more.
            self.permission.grant_end = None;
        }
        let length = match needs {
            true if self.is_coordinator() => COORDINATOR_PERMISSION_LENGTH,
            true => PERMISSION_LENGTH,
            false => Duration::ZERO,
        };
        let took = if needs {
            self.permission.last_renewal_duration
        } else {
            Duration::ZERO
        };
        let holds_shares = needs && self.rate_limits.has_limits();
        if !holds_shares {
            self.rate_limits.give_up(self.now);
        }
        let record = PermissionRecord {
            vm: self.local.vm.clone(),
            incarnation: self.local.incarnation,
            zone: self.local.zone.clone(),
            millicores: self.local.millicores,
            peers: self.local.peers,
            alive: StoreTime(latest.0 + idle_interval * IDLE_RENEWALS_ALIVE + ALIVE_MARGIN),
            until: StoreTime(latest.0 + length + took),
            unreachable,
            reached: self.reached_leaders(),
            holds_shares,
            era: self.store_era.current(),
        };
        let end = record.until;
        let earliest = self
            .permission
            .unconfirmed_end
            .map_or(end, |other| other.min(end));
        self.permission.unconfirmed_end = Some(earliest);
        self.effects
            .push(Effect::Write(StoreWrite::RenewPermission {
                record,
                permission_version: row,
                generation: generation.filter(|_| needs),
                coordinator_version: self.own_role(),
            }));
    }

    /// Returns the generation of the leaders in the store under which a permission may be written; none if
    /// there must be no permission.
    ///
    /// While the leaders are those of a copy, a permission may be extended but not regained: other leaders
    /// may have been promoted since it ended, and the copy may lack them.
    fn generation_to_acknowledge(&self) -> Option<RowVersion> {
        let is_valid = self.permission.is_valid(self.now);
        match &self.leaders.copy {
            Some(copy) => is_valid.then_some(copy.generation),
            None if self.leaders.table.era == self.store_era.current() => {
                Some(self.leaders.table.generation)
            }
            None => None,
        }
    }

    /// Records the outcome of a renewal that was sent at `sent`.
    pub(crate) fn on_permission_written(
        &mut self,
        record: &PermissionRecord,
        generation: Option<RowVersion>,
        sent: Instant,
        outcome: WriteOutcome,
    ) {
        self.permission.is_renewal_pending = false;
        self.permission.is_outcome_unknown = outcome == WriteOutcome::Unknown;
        if outcome == WriteOutcome::Unknown {
            let unanswered = &mut self.permission.unanswered_renewals;
            *unanswered = unanswered.saturating_add(1);
        } else {
            self.permission.unanswered_renewals = 0;
            self.permission.last_renewal_duration = self.now.since(sent);
        }
        match outcome {
            WriteOutcome::Done { version, now } => {
                self.permission.clock.learn(sent, now);
                self.permission.stored_version = Some(version);
                self.permission.acknowledged_generation = self
                    .permission
                    .acknowledged_generation
                    .max(generation.unwrap_or_default());
                self.permission.row_end = Some(record.until);
                self.permission.unconfirmed_end = None;
                if record.holds_shares {
                    self.rate_limits.allow();
                }
            }
            WriteOutcome::Conflict {
                permission_version,
                now,
            } => {
                self.permission.clock.learn(sent, now);
                // The watch of the leaders may hang on a connection that has gone silent.
                self.effects.push(Effect::ReadLeaders);
                if permission_version.is_some() {
                    self.permission.stored_version = permission_version;
                }
                self.permission.next_renewal = self.now + RENEWAL_RETRY_AFTER / 4;
            }
            WriteOutcome::Unknown => {
                self.permission.next_renewal = self.now + self.renewal_retry_pause();
            }
        }
        self.note_permission_change();
        self.run_all_queues();
    }

    /// Returns the pause after a renewal that got no answer. The row of an idle daemon only shows that it
    /// is alive, so that it tries less and less often.
    fn renewal_retry_pause(&self) -> Duration {
        if self.needs_permission() {
            return RENEWAL_RETRY_AFTER;
        }
        let doublings = self.permission.unanswered_renewals.saturating_sub(1);
        let factor = 2_u32.saturating_pow(doublings);
        RENEWAL_RETRY_AFTER
            .saturating_mul(factor)
            .min(IDLE_RENEWAL_RETRY_MAX)
    }

    /// Records the permissions of all daemons; `table` is none if the store did not answer.
    ///
    /// The first table tells whether an earlier run on this VM left a row.
    pub(crate) fn on_permissions(&mut self, table: Option<PermissionTable>, sent: Instant) {
        let Some(table) = table else {
            return;
        };
        // A table without a row has no era.
        if table.version.number() != 0 && table.version.era() < self.store_era.current() {
            return;
        }
        self.permission.clock.learn(sent, table.now);
        let own = table
            .permissions
            .iter()
            .find(|(record, _)| record.vm == self.local.vm);
        let unreadable = table.unreadable_row_of(&self.local.vm);
        let version = own.map(|(_, version)| *version).or(unreadable);
        let version = version.unwrap_or_default();
        if self.permission.stored_version.is_none() {
            self.permission.stored_version = Some(version);
            self.permission.had_earlier_row = own.is_some();
            if let Some((record, _)) = own {
                let alive = record.alive.0.saturating_sub(table.now.0);
                // While a row says that an earlier run may hold shares, the coordinator has to count them.
                self.permission.next_renewal = match record.holds_shares {
                    true => self.now,
                    false => self.now + self.random.jitter(alive.min(RESTART_SPREAD) / 2),
                };
            }
        }
        self.note_unreadable_rows("the permissions", &table.unreadable);
        self.note_unreadable_coordinator(&table);
        self.rate_shares.on_rows(self.now, sent, &table);
        self.votes = Votes::count(&table, &self.local.vm);
        self.reach.learn(&table, self.now);
        self.permissions = Some(table);
        self.rank_homes();
        self.open_waiting_sessions();
        self.renew_permission();
    }

    /// Logs whether the permission has begun or ended since the last call.
    pub(crate) fn note_permission_change(&mut self) {
        let is_valid = self.permission.is_valid(self.now);
        if is_valid != self.permission.was_valid {
            self.permission.was_valid = is_valid;
            let what = match (is_valid, self.permission.is_row_valid(self.now)) {
                (true, true) => "begins by its row",
                (true, false) => "begins by a grant",
                (false, _) => "has ended",
            };
            let detail = format!(
                "{what}; generation {}, acknowledged {}",
                self.leaders.table.generation.0, self.permission.acknowledged_generation.0
            );
            self.log(Record::new(RecordKind::PermissionChanged, detail.into()));
        }
    }

    /// Returns the leaders that can't be reached.
    fn unreachable_leaders(&self) -> Vec<ServerId> {
        self.leaders_matching(|server| server.is_unreachable(self.now))
    }

    /// Returns the reachable leaders that have answered within `REACHED_AGE_MAX`.
    fn reached_leaders(&self) -> Vec<ServerId> {
        self.leaders_matching(|server| {
            let answered = server.last_answer;
            !server.is_unreachable(self.now)
                && answered.is_some_and(|at| self.now.since(at) <= REACHED_AGE_MAX)
        })
    }

    /// Returns the listed leaders for which `matches` holds.
    fn leaders_matching(&self, matches: impl Fn(&KnownServer) -> bool) -> Vec<ServerId> {
        let leaders = self
            .leaders
            .table
            .leaders
            .values()
            .map(|(record, _)| &record.leader);
        leaders
            .filter(|leader| self.servers.get(leader).is_some_and(&matches))
            .cloned()
            .collect()
    }

    /// Records since when the daemon has needed the permission without having it.
    fn note_permission_lack(&mut self, needs: bool) {
        if !needs || self.permission.is_valid(self.now) {
            self.permission.lacking_since = None;
        } else {
            self.permission.lacking_since.get_or_insert(self.now);
        }
    }
}
