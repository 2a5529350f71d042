//! The waiting statements of one account in the queue of a service, and the account's place among
//! the others.

use std::collections::{BTreeMap, BTreeSet};

use sapphireslip_core::{AccountName, Instant, data};

use crate::{JobId, StatementClass, WaitingStatement};

/// Virtual time per microsecond of work at weight 1. With weights in thousandths of an operation per
/// second, a millisecond of work of an account with 100 operations per second still counts 10,000.
pub(crate) const VIRTUAL_SCALE: u64 = 1 << 20;

/// The level of the second place of aged statements.
pub(crate) const AGED: u16 = 0;

/// A level and a class: the statements in it are sent in one order per account.
pub(crate) type Place = (u16, StatementClass);

/// Accounts by a virtual time.
pub(crate) type RankedAccounts = BTreeSet<(u64, Option<AccountName>)>;

/// The statements of one account in one place, in the order in which they are sent.
pub(crate) type RankedStatements = BTreeSet<(Option<Instant>, JobId)>;

data! {
    /// A statement and its place.
    pub(crate) struct Queued {
        /// The statement as it was given.
        pub(crate) statement: WaitingStatement,
        /// The level: 1 more than the priority.
        pub(crate) level: u16,
        /// Whether the statement has aged, so that it has a second place at level [`AGED`].
        pub(crate) is_aged: bool,
        /// Whether the statement may not be sent yet, so that it has no place in `Flow::queues`.
        pub(crate) is_paused: bool,
    }

    /// The waiting statements of an account.
    #[derive(Default)]
    pub(crate) struct Flow {
        /// The start tag of the next statement.
        pub(crate) start: u64,
        /// The weight, at least 1.
        pub(crate) weight: u64,
        /// The statements that may be sent, by level and class.
        pub(crate) queues: BTreeMap<Place, RankedStatements>,
        /// The waiting work in microseconds, by whether it needs the leader, and by level.
        pub(crate) work: BTreeMap<(bool, u16), u64>,
        /// The whole waiting work in microseconds, with that of bound statements.
        pub(crate) total_work: u64,
    }
}

impl Queued {
    /// Returns the levels of the statement's places, and its rank in each.
    pub(crate) fn places(&self) -> impl Iterator<Item = (u16, Option<Instant>)> {
        let aged = self.is_aged.then_some((AGED, self.statement.ages_at));
        std::iter::once((self.level, self.statement.deadline)).chain(aged)
    }
}

impl Flow {
    /// Returns the virtual time of some work.
    pub(crate) fn virtual_time_of(&self, micros: u64) -> u64 {
        micros.saturating_mul(VIRTUAL_SCALE) / self.weight.max(1)
    }

    /// Returns the work done in a span of virtual time.
    pub(crate) fn work_in(&self, virtual_time: u64) -> u64 {
        let work = u128::from(virtual_time) * u128::from(self.weight) / u128::from(VIRTUAL_SCALE);
        u64::try_from(work).unwrap_or(u64::MAX)
    }

    /// Returns the waiting work of the levels that `includes` names.
    pub(crate) fn work_of(&self, needs_leader: bool, includes: impl Fn(u16) -> bool) -> u64 {
        let of_group = self
            .work
            .range((needs_leader, 0)..=(needs_leader, u16::MAX));
        of_group
            .filter(|((_, level), _)| includes(*level))
            .map(|(_, micros)| *micros)
            .sum()
    }

    /// Adds a statement in its places.
    pub(crate) fn insert(&mut self, queued: &Queued) {
        let statement = &queued.statement;
        for (level, rank) in queued.places() {
            let queue = self.queues.entry((level, statement.class)).or_default();
            queue.insert((rank, statement.id));
        }
    }

    /// Removes a statement from its places.
    pub(crate) fn remove(&mut self, queued: &Queued) {
        let statement = &queued.statement;
        for (level, rank) in queued.places() {
            let place = (level, statement.class);
            if let Some(queue) = self.queues.get_mut(&place) {
                queue.remove(&(rank, statement.id));
                if queue.is_empty() {
                    self.queues.remove(&place);
                }
            }
        }
    }

    /// Returns the last statement that is not bound to a connection.
    pub(crate) fn last(&self) -> Option<JobId> {
        let is_open = |(level, class): &Place| *level != AGED && *class != StatementClass::Bound;
        let open = self.queues.iter().filter(|(place, _)| is_open(place));
        let last = open.filter_map(|((level, _), queue)| Some((*level, *queue.last()?)));
        last.max().map(|(_, (_, id))| id)
    }
}
