//! The waiting statements of one service, in the order in which they are to be sent: shared fairly
//! among accounts, and by priority and remaining time within each account.
//!
//! Accounts share by start-time fair queueing. Each account has a start tag, which grows by the
//! expected work of each statement that is sent, divided by the account's weight; an account with a
//! low tag has had less than its share. The virtual time is the highest start tag that was served.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphireslip_core::{AccountName, Instant, data};

use crate::account_flow::{AGED, Flow, Place, Queued, RankedAccounts, VIRTUAL_SCALE};
use crate::{JobId, StatementClass, WaitingStatement};

/// How far an account with urgent statements may run ahead of the one that has had the least: the
/// work of a second at its limit, with 25 ms per operation. A shorter lead would let polls of many
/// accounts, one each, pass before an urgent statement; a longer one would show in the shares.
const LEAD_MAX: u64 = 25 * VIRTUAL_SCALE;

/// How far behind the virtual time an account may start that had nothing waiting: the work that it
/// may catch up with after a pause. Without it, an account within its share whose statements come in
/// bursts loses 4% of them beside one that sends 7.5 times its usual load.
const CREDIT_MAX: u64 = LEAD_MAX;

/// Of this many statements in a row, one is taken from the aged ones, whatever their priority.
const AGED_SPACING: u32 = 4;

data! {
    /// The waiting statements of one service.
    #[derive(Default)]
    pub struct FairQueue {
        /// The statements.
        statements: BTreeMap<JobId, Queued>,
        /// The accounts that have statements waiting, or have had more than their share.
        flows: BTreeMap<Option<AccountName>, Flow>,
        /// For each level and class, the accounts that have statements there and are not held, the
        /// one that has had the least first.
        order: BTreeMap<Place, RankedAccounts>,
        /// The accounts by their waiting work in virtual time.
        backlogs: RankedAccounts,
        /// The statements that may not be sent yet, by when they may.
        paused: BTreeSet<(Instant, JobId)>,
        /// The statements that have not aged yet, by when they will.
        aging: BTreeSet<(Instant, JobId)>,
        /// The work of the aged statements in microseconds, by whether it needs the leader, and by
        /// level.
        aged_work: BTreeMap<(bool, u16), u64>,
        /// The statements that need the leader, by the end of their patience.
        patience: BTreeSet<(Instant, JobId)>,
        /// The classes of which no statement can be sent in this run of the queue.
        held_classes: BTreeSet<StatementClass>,
        /// The classes and accounts of which no statement can be sent in this run of the queue.
        held_flows: BTreeSet<(StatementClass, Option<AccountName>)>,
        /// The virtual time: the highest start tag that was served since the queue was last empty.
        virtual_time: u64,
        /// The statements that were sent since the last aged one.
        sent_since_aged: u32,
        /// The accounts and places that were looked at one by one.
        scanned: u64,
    }

}

impl FairQueue {
    /// Returns how many statements wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Returns whether no statement waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the waiting statements in the order of their arrival.
    pub fn by_arrival(&self) -> impl Iterator<Item = JobId> {
        self.statements.keys().copied()
    }

    /// Returns how many accounts and classes were looked at one by one so far, which is what the cost
    /// of a statement consists of apart from searches in trees.
    #[must_use]
    pub const fn scanned(&self) -> u64 {
        self.scanned
    }

    /// Adds a statement.
    ///
    /// An account that had none waiting starts a bounded credit before the present virtual time, or
    /// later if it has had more since the queue was last empty.
    pub fn push(&mut self, now: Instant, statement: WaitingStatement) {
        let id = statement.id;
        self.remove(id);
        self.prepare_flow(&statement);
        let level = u16::from(statement.priority) + 1;
        if let Some(ages_at) = statement.ages_at {
            self.aging.insert((ages_at, id));
        }
        if statement.class == StatementClass::Leader {
            self.patience.insert((statement.patience_end, id));
        }
        self.paused.insert((statement.send_from, id));
        let queued = Queued {
            statement,
            level,
            is_aged: false,
            is_paused: true,
        };
        self.add_work(&queued, true);
        self.statements.insert(id, queued);
        self.wake(now);
    }

    /// Prepares the account of a new statement: its start tag if it had none waiting, and its
    /// weight.
    fn prepare_flow(&mut self, statement: &WaitingStatement) {
        let account = &statement.account;
        self.detach(account);
        let flow = self.flows.entry(account.clone()).or_default();
        if flow.total_work == 0 {
            flow.start = flow.start.max(self.virtual_time.saturating_sub(CREDIT_MAX));
        }
        let backlog = flow.virtual_time_of(flow.total_work);
        let was_waiting = self.backlogs.remove(&(backlog, account.clone()));
        flow.weight = statement.weight.max(1);
        if was_waiting {
            let backlog = flow.virtual_time_of(flow.total_work);
            self.backlogs.insert((backlog, account.clone()));
        }
        self.attach(account);
    }

    /// Returns the statement to send next of those that are not held; it stays in the queue.
    ///
    /// Of the accounts that are not ahead of the others by more than a bounded lead, the most urgent
    /// statements come first; among them those of the account that has had the least. Every fourth
    /// turn is that of the statements that have aged, the first of an account to age first.
    pub fn next(&mut self, now: Instant) -> Option<JobId> {
        self.wake(now);
        self.age(now);
        self.scanned += self.order.len() as u64;
        let mut least = u64::MAX;
        for (_, accounts) in self.open() {
            least = least.min(accounts.first().map_or(u64::MAX, |(start, _)| *start));
        }
        let lead_end = least.saturating_add(LEAD_MAX);
        let mut by_level: BTreeMap<u16, (u64, Option<Instant>, JobId)> = BTreeMap::new();
        for ((level, class), accounts) in self.open() {
            let Some((start, account)) = accounts.first().filter(|(s, _)| *s <= lead_end) else {
                continue;
            };
            let queue = self
                .flows
                .get(account)
                .and_then(|flow| flow.queues.get(&(*level, *class)));
            let Some((deadline, id)) = queue.and_then(BTreeSet::first) else {
                continue;
            };
            let candidate = (*start, *deadline, *id);
            let best = by_level.entry(*level).or_insert(candidate);
            *best = candidate.min(*best);
        }
        let aged = by_level.remove(&AGED);
        let urgent = by_level.into_values().next();
        let chosen = match self.is_turn_of_aged() {
            true => aged.or(urgent),
            false => urgent.or(aged),
        };
        chosen.map(|(_, _, id)| id)
    }

    /// Returns whether the next statement is taken from the aged ones.
    const fn is_turn_of_aged(&self) -> bool {
        self.sent_since_aged + 1 >= AGED_SPACING
    }

    /// Returns the classes that are not held, with their accounts.
    fn open(&self) -> impl Iterator<Item = (&Place, &RankedAccounts)> {
        let is_open = |(place, _): &(&Place, _)| !self.held_classes.contains(&place.1);
        self.order.iter().filter(is_open)
    }

    /// Removes a statement that was sent, and charges its account for the work.
    pub fn serve(&mut self, id: JobId) {
        let Some(queued) = self.statements.get(&id) else {
            return;
        };
        let micros = queued.statement.micros();
        let account = queued.statement.account.clone();
        self.sent_since_aged = match queued.is_aged && self.is_turn_of_aged() {
            true => 0,
            false => (self.sent_since_aged + 1).min(AGED_SPACING),
        };
        self.detach(&account);
        if let Some(flow) = self.flows.get_mut(&account) {
            self.virtual_time = self.virtual_time.max(flow.start);
            flow.start = flow.start.saturating_add(flow.virtual_time_of(micros));
        }
        self.attach(&account);
        self.remove(id);
    }

    /// Removes a statement that is not sent from here; returns whether it waited.
    pub fn remove(&mut self, id: JobId) -> bool {
        let Some(queued) = self.statements.remove(&id) else {
            return false;
        };
        let statement = &queued.statement;
        if let Some(ages_at) = statement.ages_at {
            self.aging.remove(&(ages_at, id));
        }
        self.patience.remove(&(statement.patience_end, id));
        if queued.is_aged {
            let place = (statement.class == StatementClass::Leader, queued.level);
            let aged = self.aged_work.entry(place).or_default();
            *aged = aged.saturating_sub(statement.micros());
        }
        if queued.is_paused {
            self.paused.remove(&(statement.send_from, id));
        } else {
            self.take_out(&queued);
        }
        self.add_work(&queued, false);
        if self.statements.is_empty() {
            // Whoever waited has been served, so nobody is ahead of another any more.
            self.flows.clear();
            self.order.clear();
            self.virtual_time = 0;
        }
        true
    }

    /// Sends no more statements of a class before [`Self::end_run`].
    pub fn hold_class(&mut self, class: StatementClass) {
        self.held_classes.insert(class);
    }

    /// Sends no more statements of a class and an account before [`Self::end_run`].
    pub fn hold(&mut self, class: StatementClass, account: &Option<AccountName>) {
        self.detach(account);
        self.held_flows.insert((class, account.clone()));
        self.attach(account);
    }

    /// Ends a run of the queue: what was held may be sent again.
    pub fn end_run(&mut self) {
        self.held_classes.clear();
        for (_, account) in std::mem::take(&mut self.held_flows) {
            self.attach(&account);
        }
    }

    /// Returns the class and the account of a waiting statement.
    #[must_use]
    pub fn class_of(&self, id: JobId) -> Option<(StatementClass, Option<AccountName>)> {
        let statement = &self.statements.get(&id)?.statement;
        Some((statement.class, statement.account.clone()))
    }

    /// Returns the statements that need the leader and whose patience has ended, by priority and
    /// arrival.
    #[must_use]
    pub fn impatient(&self, now: Instant) -> Vec<JobId> {
        let ended = self.patience.iter().take_while(|(end, _)| *end <= now);
        let mut ended: Vec<_> = ended
            .filter_map(|(_, id)| Some((self.statements.get(id)?.statement.priority, *id)))
            .collect();
        ended.sort_unstable();
        ended.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the work that would be done before a new statement, of that which needs the leader
    /// as the statement does or doesn't.
    ///
    /// The work of other accounts counts as far as they get by their weights before the statement's
    /// turn. The cost grows with the number of accounts that wait, not with the statements.
    pub fn ahead_of(
        &mut self,
        account: &Option<AccountName>,
        weight: u64,
        priority: u8,
        needs_leader: bool,
    ) -> Duration {
        let level = u16::from(priority) + 1;
        let empty = Flow {
            start: self.virtual_time.saturating_sub(CREDIT_MAX),
            weight: weight.max(1),
            ..Flow::default()
        };
        let own = self.flows.get(account).unwrap_or(&empty);
        let own_work = own.work_of(needs_leader, |other| other <= level);
        let start = match own.total_work {
            0 => own.start.max(empty.start),
            _ => own.start,
        };
        let turn = start.saturating_add(own.virtual_time_of(own_work));
        let mut ahead = own_work;
        let mut scanned = 0;
        for (name, flow) in &self.flows {
            scanned += 1;
            if name == account || flow.total_work == 0 {
                continue;
            }
            let until = |end: u64| flow.work_in(end.saturating_sub(flow.start));
            let urgent = flow.work_of(needs_leader, |other| other < level);
            let equal = flow.work_of(needs_leader, |other| other == level);
            let later = flow.work_of(needs_leader, |other| other > level);
            ahead += urgent.min(until(turn.saturating_add(LEAD_MAX)))
                + equal.min(until(turn))
                + later.min(until(turn.saturating_sub(LEAD_MAX)));
        }
        self.scanned += scanned;
        // Aged statements with a lower priority take some of the turns.
        let aged = self.aged_work_of(needs_leader, level + 1);
        Duration::from_micros(ahead.saturating_add(aged.min(ahead / 2)))
    }

    /// Returns the work that is done before a statement that ages now is sent, at the latest, by
    /// the turns of the aged statements.
    #[must_use]
    pub fn ahead_of_aged(&self, needs_leader: bool) -> Duration {
        let aged = self.aged_work_of(needs_leader, 0);
        Duration::from_micros(aged.saturating_mul(u64::from(AGED_SPACING)))
    }

    /// Returns the work of the aged statements from a level on, in microseconds.
    fn aged_work_of(&self, needs_leader: bool, level: u16) -> u64 {
        let levels = (needs_leader, level)..=(needs_leader, u16::MAX);
        self.aged_work
            .range(levels)
            .map(|(_, micros)| *micros)
            .sum()
    }

    /// Returns the statement to refuse when too many wait: the last one of the account whose waiting
    /// work is the most for its weight. Bound statements are left out.
    #[must_use]
    pub fn most_over_share(&self) -> Option<JobId> {
        let accounts = self.backlogs.iter().rev();
        let flows = accounts.filter_map(|(_, account)| self.flows.get(account));
        flows.filter_map(Flow::last).next()
    }

    /// Gives places to the statements that may be sent from now on.
    fn wake(&mut self, now: Instant) {
        while let Some((time, id)) = self.paused.first().copied()
            && time <= now
        {
            self.paused.remove(&(time, id));
            if let Some(queued) = self.statements.get_mut(&id) {
                queued.is_paused = false;
                let queued = queued.clone();
                self.put_in(&queued);
            }
        }
    }

    /// Gives the statements that have aged their second places.
    fn age(&mut self, now: Instant) {
        while let Some((time, id)) = self.aging.first().copied()
            && time <= now
        {
            self.aging.remove(&(time, id));
            let Some(mut queued) = self.statements.get(&id).cloned() else {
                continue;
            };
            if !queued.is_paused {
                self.take_out(&queued);
            }
            queued.is_aged = true;
            let place = (
                queued.statement.class == StatementClass::Leader,
                queued.level,
            );
            *self.aged_work.entry(place).or_default() += queued.statement.micros();
            if !queued.is_paused {
                self.put_in(&queued);
            }
            self.statements.insert(id, queued);
        }
    }

    /// Gives a statement its place in its account's queue.
    fn put_in(&mut self, queued: &Queued) {
        let statement = &queued.statement;
        if let Some(flow) = self.flows.get_mut(&statement.account) {
            flow.insert(queued);
        }
        self.attach(&statement.account);
    }

    /// Takes a statement out of its account's queue.
    fn take_out(&mut self, queued: &Queued) {
        let statement = &queued.statement;
        self.detach(&statement.account);
        if let Some(flow) = self.flows.get_mut(&statement.account) {
            flow.remove(queued);
        }
        self.attach(&statement.account);
    }

    /// Adds a statement's work to that of its account, or subtracts it.
    fn add_work(&mut self, queued: &Queued, is_added: bool) {
        let statement = &queued.statement;
        let micros = statement.micros();
        let account = &statement.account;
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        let change = |work: &mut u64| {
            *work = match is_added {
                true => work.saturating_add(micros),
                false => work.saturating_sub(micros),
            }
        };
        self.backlogs
            .remove(&(flow.virtual_time_of(flow.total_work), account.clone()));
        change(&mut flow.total_work);
        if flow.total_work > 0 {
            let backlog = flow.virtual_time_of(flow.total_work);
            self.backlogs.insert((backlog, account.clone()));
        }
        if statement.class != StatementClass::Bound {
            let needs_leader = statement.class == StatementClass::Leader;
            change(flow.work.entry((needs_leader, queued.level)).or_default());
        }
    }

    /// Takes an account out of the order, before its tag, weight or queues change.
    fn detach(&mut self, account: &Option<AccountName>) {
        let Some(flow) = self.flows.get(account) else {
            return;
        };
        self.scanned += flow.queues.len() as u64;
        for key in flow.queues.keys() {
            if let Some(accounts) = self.order.get_mut(key) {
                accounts.remove(&(flow.start, account.clone()));
                if accounts.is_empty() {
                    self.order.remove(key);
                }
            }
        }
    }

    /// Puts an account into the order where it has statements and is not held.
    fn attach(&mut self, account: &Option<AccountName>) {
        let Some(flow) = self.flows.get(account) else {
            return;
        };
        for key in flow.queues.keys() {
            if !self.held_flows.contains(&(key.1, account.clone())) {
                let accounts = self.order.entry(*key).or_default();
                accounts.insert((flow.start, account.clone()));
            }
        }
    }
}
