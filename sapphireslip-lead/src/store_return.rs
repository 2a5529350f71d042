//! What a daemon does when the store has come back from an older copy of its rows.
//!
//! Such a return takes back acknowledged rows. Daemons that have not seen the new era rely on permissions
//! that the store no longer shows, until those end. `docs/design/14-store-era.md` has the proof.

use std::time::Duration;

use sapphireslip_core::{Instant, data};

use crate::coordinator::LEADERS_PER_WRITE_MAX;
use crate::permission::PERMISSION_LENGTH;
use crate::state::State;
use crate::unreadable_rows::UNREADABLE_PERMISSION_MAX;
use crate::{
    Confirmation, Effect, LeaderTable, NamedLeader, Record, RecordKind, RowVersion, StoreEra,
    StoreTime, StoreWrite,
};

/// Upper bound on how long a permission lasts after its row was written, other than the coordinator's: its
/// length, plus the duration of the last renewal, which is at most 2.5 s.
const EARLIER_PERMISSION_MAX: Duration =
    PERMISSION_LENGTH.saturating_add(Duration::from_millis(3_000));

/// How long after a return the role is not claimed from another daemon by a row of the copy: a coordinator
/// that is in touch with the store has renewed its row by then.
const CLAIM_GRACE: Duration = PERMISSION_LENGTH;

data! {
    /// The newest era that the store has shown, and how long it has lasted.
    #[derive(Default)]
    pub(crate) struct EraView {
        /// The newest era in an answer of the store.
        current: StoreEra,
        /// How long that era had lasted at least by `at`. An age, since the era may have begun before this
        /// daemon was started.
        age: Duration,
        /// The time at which the era had that age.
        at: Instant,
        /// The number of the role's row if this daemon was the coordinator when it saw the era begin.
        coordinated: Option<u64>,
        /// When this daemon had become the coordinator before that.
        coordinator_since: Instant,
        /// Whether the copy has shown that this daemon is still the coordinator.
        is_continuous: bool,
        /// The number of returns that this daemon has seen.
        returns: u64,
    }
}

impl EraView {
    /// Returns the newest era that the store has shown.
    pub(crate) const fn current(&self) -> StoreEra {
        self.current
    }

    /// Returns the number of returns that this daemon has seen.
    pub(crate) const fn returns(&self) -> u64 {
        self.returns
    }

    /// Returns how long the era has lasted at least; the longest time for the first era.
    fn age(&self, now: Instant) -> Duration {
        match self.current == StoreEra::FIRST {
            true => Duration::MAX,
            false => self.age.saturating_add(now.since(self.at)),
        }
    }

    /// Returns whether every permission of an earlier era has ended.
    pub(crate) fn are_earlier_permissions_over(&self, now: Instant) -> bool {
        self.age(now) >= UNREADABLE_PERMISSION_MAX
    }

    /// Returns whether this daemon, as the coordinator, must not have a server promoted yet: a daemon that
    /// has not seen the era may still work with another one.
    ///
    /// Only an earlier coordinator has a permission of the coordinator's length. There was none if this
    /// daemon already was the coordinator and remained it.
    pub(crate) fn holds_promotions(&self, now: Instant) -> bool {
        if self.are_earlier_permissions_over(now) {
            return false;
        }
        let are_others_over = self.age(now) >= EARLIER_PERMISSION_MAX
            && now.since(self.coordinator_since) >= UNREADABLE_PERMISSION_MAX;
        !(self.is_continuous && are_others_over)
    }

    /// Returns whether the rows of the copy may show that another daemon's role has ended.
    pub(crate) fn may_claim(&self, now: Instant) -> bool {
        self.age(now) >= CLAIM_GRACE || self.coordinated.is_some()
    }

    /// Returns whether this daemon has remained the coordinator through the last return, or all that an
    /// earlier coordinator has lent for up to `lease` has been given back since.
    pub(crate) fn are_earlier_loans_over(&self, now: Instant, lease: Duration) -> bool {
        self.is_continuous || self.age(now) >= UNREADABLE_PERMISSION_MAX.saturating_add(lease)
    }

    /// Returns whether this daemon has remained the coordinator through the last return.
    pub(crate) const fn has_kept_role(&self) -> bool {
        self.is_continuous
    }

    /// Records that the era has lasted for `age` at least.
    fn learn_age(&mut self, now: Instant, age: Duration) {
        if age > self.age(now) {
            (self.age, self.at) = (age, now);
        }
    }

    /// Records the row of the role in a copy; none if this daemon isn't the coordinator by it.
    fn note_role(&mut self, role: Option<RowVersion>) {
        let number = role.map(RowVersion::number);
        self.is_continuous = number.is_some() && number == self.coordinated;
    }
}

impl State {
    /// Records that the store answers in an era; earlier ones change nothing.
    ///
    /// The rows that were read in the era before, and conditions on them, are void. The permission stays
    /// until it ends: whoever promotes a server waits for that.
    pub(crate) fn on_store_era(&mut self, era: StoreEra) {
        let before = self.store_era.current;
        if era <= before {
            return;
        }
        let token = self.fencing_token();
        self.store_era = EraView {
            current: era,
            age: Duration::ZERO,
            at: self.now,
            coordinated: token.map(RowVersion::number),
            coordinator_since: self.coordinator.taken,
            is_continuous: false,
            returns: self.store_era.returns + 1,
        };
        self.permission.on_store_era(self.now, era);
        self.leaders.copy = None;
        self.coordinator.forget_steps();
        self.servers.note_return(self.now);
        let detail = format!(
            "the store is in era {}, after {}: rows and conditions from before are void; generation {}, {}",
            era.0,
            before.0,
            self.leaders.table.generation.number(),
            match token {
                Some(token) => format!("the coordinator with token {}", token.0),
                None => "not the coordinator".to_owned(),
            }
        );
        self.log(Record::new(RecordKind::StoreEraChanged, detail.into()));
        if self.needs_leaders() {
            self.effects.push(Effect::ReadLeaders);
            self.read_permissions_unless_read_within(Duration::ZERO);
        }
    }

    /// Records a table of leaders from a copy that no coordinator has confirmed: it shows who the
    /// coordinator is, and the versions for conditions. The leaders stay those that this daemon knew.
    pub(crate) fn on_copied_leaders(&mut self, table: LeaderTable) {
        let is_earlier = |known: &LeaderTable| {
            known.era == table.era
                && (table.generation < known.generation
                    || table.role_version() < known.role_version())
        };
        if self.leaders.copy.as_ref().is_some_and(is_earlier) {
            return;
        }
        if self.leaders.copy.is_none() {
            let detail = format!(
                "the leaders of era {} are those of a copy, generation {}; those of generation {} stay until a coordinator confirms them",
                table.era.0,
                table.generation.number(),
                self.leaders.table.generation.number()
            );
            self.log(Record::new(RecordKind::StoreEraChanged, detail.into()));
        }
        self.leaders
            .table
            .coordinator
            .clone_from(&table.coordinator);
        self.leaders
            .table
            .unreadable_role
            .clone_from(&table.unreadable_role);
        self.leaders.copy = Some(table);
        self.note_unreadable_role();
        let role = self.own_role();
        self.store_era.note_role(role);
        self.renew_permission();
        self.coordinate();
    }

    /// Returns whether the leaders in a table may be those of an older copy of the store. None are once a
    /// table of the same era has been taken: a read of the copy that arrives late is an earlier table.
    ///
    /// Once every permission of an earlier era has ended, no daemon works with a leader that the copy does
    /// not name unless the servers show it.
    pub(crate) fn is_unconfirmed(&self, table: &LeaderTable) -> bool {
        table.era != self.leaders.table.era
            && table.era_age.is_none()
            && !self.store_era.are_earlier_permissions_over(self.now)
    }

    /// Records how long the era of a confirmed table has lasted.
    pub(crate) fn learn_era(&mut self, table: &LeaderTable) {
        if let Some(age) = table.era_age {
            self.store_era.learn_age(self.now, age);
        }
    }

    /// Takes the leaders of a copy that no coordinator has confirmed once that is safe.
    pub(crate) fn accept_copied_leaders(&mut self) {
        if self.store_era.are_earlier_permissions_over(self.now)
            && let Some(copy) = self.leaders.copy.take()
        {
            self.on_leaders(copy);
        }
    }

    /// Returns what is written with the leaders in the present era; none in the first.
    pub(crate) fn confirmation(&self) -> Option<Confirmation> {
        let era = self.store_era.current;
        if era == StoreEra::FIRST {
            return None;
        }
        let latest = self.permission.clock.latest(self.now)?;
        let age = self.store_era.age(self.now);
        let began = StoreTime(latest.0.saturating_sub(age));
        Some(Confirmation { era, began })
    }

    /// Writes, as the coordinator, the leaders that a copy lacks, unless that was done in this era; returns
    /// whether it still has to be done.
    ///
    /// While this daemon has had its permission without a break, no other leader has been promoted without
    /// its acknowledgement, so that those that it knows are right.
    pub(crate) fn confirm_leaders(&mut self, coordinator_version: RowVersion) -> bool {
        let is_current = coordinator_version.era() == self.store_era.current;
        let stored = self.leaders.copy.as_ref().unwrap_or(&self.leaders.table);
        let is_confirmed = stored.era_age.is_some() || stored.era == StoreEra::FIRST;
        if self.leaders.copy.is_none() && is_confirmed {
            return !is_current;
        }
        let Some(confirmation) = self.confirmation().filter(|_| is_current) else {
            return true;
        };
        if !self.store_era.has_kept_role() && self.awaits_all_first_statuses() {
            return true;
        }
        if !self.coordinator.begin_write(self.now) {
            return true;
        }
        let stored = self.leaders.copy.as_ref().unwrap_or(&self.leaders.table);
        let leaders = self.leaders.table.leaders.iter();
        let known = leaders.map(|(service, (record, _))| NamedLeader {
            service: service.clone(),
            record: self.row_to_confirm(service, record),
            version: stored.leader_version(service),
        });
        let mut lacking: Vec<NamedLeader> = known
            .filter(|named| {
                let copied = stored.leaders.get(&named.service);
                copied.is_none_or(|(copied, _)| *copied != named.record)
            })
            .collect();
        let is_last = lacking.len() <= LEADERS_PER_WRITE_MAX;
        lacking.truncate(LEADERS_PER_WRITE_MAX);
        let generation = stored.generation;
        let detail = format!(
            "confirms the leaders in era {}; {} rows differ from the copy",
            confirmation.era.0,
            lacking.len()
        );
        self.log(Record::new(RecordKind::StoreEraChanged, detail.into()));
        self.effects.push(Effect::Write(StoreWrite::NameLeaders {
            leaders: lacking,
            coordinator_version,
            generation,
            confirmation: is_last.then_some(confirmation),
        }));
        true
    }
}
