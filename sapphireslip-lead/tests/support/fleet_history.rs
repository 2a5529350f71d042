//! What the clients and servers of a simulated fleet have seen, and the checks of it.

use std::collections::{BTreeMap, BTreeSet};

use sapphireslip_core::{ServerId, Text};
use sapphireslip_lead::{Role, RowVersion, Term};

use super::Fleet;

/// How long after a server has started again every daemon that reaches the store or the server knows of it:
/// two reads of the list.
const KNOWN_AS_EMPTY_MILLIS: u64 = 3_000;

/// What clients and servers have seen. All times are in milliseconds of simulated time.
#[derive(Debug, Default)]
pub(super) struct History {
    /// When each write was acknowledged.
    pub(super) acknowledged: BTreeMap<Text, u64>,
    /// In which term and when each write was committed.
    pub(super) committed: BTreeMap<Text, (Term, u64)>,
    /// When each statement was sent; for one within a transaction, when that began.
    pub(super) asked: BTreeMap<Text, u64>,
    /// The writes in the log that each read ran on.
    pub(super) read: Vec<(Text, BTreeSet<Text>)>,
    /// When each promotion took effect, and its term.
    pub(super) promoted: Vec<(u64, Term)>,
    /// The fencing tokens of the requests to promote, in the order of the requests.
    pub(super) tokens: Vec<RowVersion>,
    /// The commits that a promotion rolled back: the promoted server lacked them. They don't count for
    /// reads, also if a server that had them is promoted later.
    pub(super) rolled_back: BTreeSet<Text>,
    /// The statements of transactions but their commits.
    pub(super) inner: BTreeSet<Text>,
    /// The number of statements that were sent.
    pub(super) statements: u64,
    /// Since when each server has been listed as draining.
    pub(super) draining_since: BTreeMap<ServerId, u64>,
    /// When each server last started again with nothing of what it had.
    pub(super) emptied: BTreeMap<ServerId, u64>,
    /// The requests to promote a server that has nothing, though another one has a log.
    pub(super) promoted_empty: Vec<String>,
    /// When servers that are draining got statements, and for how long they had been draining.
    pub(super) work_while_draining: Vec<(u64, ServerId, u64)>,
}

impl Fleet {
    /// Returns a description of each guarantee that was broken: a statement of a transaction that is
    /// committed alone, a read that misses an acknowledged write, a write that was acknowledged although it
    /// was not committed or was committed under a superseded primary, or a request to promote a server that
    /// has lost its log.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.torn_transactions();
        violations.extend_from_slice(&self.history.promoted_empty);
        let last = self
            .group
            .servers
            .iter()
            .filter(|server| server.role == Role::Primary)
            .max_by_key(|server| server.term);
        let kept = last.into_iter().flat_map(|last| &last.log);
        let kept: BTreeSet<_> = kept.map(|(_, id)| Text::clone(id)).collect();
        for (id, log) in &self.history.read {
            let asked = self.history.asked[id];
            for (write, at) in &self.history.acknowledged {
                let counts = kept.contains(write) && !self.history.rolled_back.contains(write);
                if *at < asked && counts && !log.contains(write) {
                    violations.push(format!("read {id} at {asked} misses {write} of {at}"));
                }
            }
        }
        for write in self.history.acknowledged.keys() {
            let Some((term, at)) = self.history.committed.get(write) else {
                violations.push(format!("{write} was acknowledged but never committed"));
                continue;
            };
            let newer = self
                .history
                .promoted
                .iter()
                .find(|(when, new)| when <= at && new > term);
            if let Some((when, new)) = newer {
                let (term, new) = (term.0, new.0);
                violations.push(format!(
                    "{write} was committed in term {term} at {at}, after term {new} began at {when}"
                ));
            }
        }
        violations
    }

    /// Returns whether a request to promote carried a lower fencing token than one before it.
    pub fn has_lower_token(&self) -> bool {
        !self.history.tokens.is_sorted()
    }

    /// Records a request to promote a server that has started again long enough ago to be known as empty,
    /// while another one that can be reached has a log.
    pub(super) fn check_promotion(&mut self, chosen: &ServerId) {
        let since = self.history.emptied.get(chosen);
        let is_known = since.is_some_and(|since| self.millis - since >= KNOWN_AS_EMPTY_MILLIS);
        let others = self.group.servers.iter();
        let mut filled = others.filter(|server| !server.is_isolated && !server.log.is_empty());
        if is_known && self.group.get(chosen).log.is_empty() && filled.next().is_some() {
            let found = format!("{chosen} was to be promoted at {} with no log", self.millis);
            self.history.promoted_empty.push(found);
        }
    }

    /// Has a server be listed as draining from now on, or no longer.
    pub fn set_draining(&mut self, server: &ServerId, is_draining: bool) {
        let listed = self.group.get_mut(server);
        listed.is_draining = is_draining;
        listed.sequence += 1;
        let since = &mut self.history.draining_since;
        if is_draining {
            since.entry(server.clone()).or_insert(self.millis);
        } else {
            since.remove(server);
        }
    }

    /// Returns the first statement that a server got later than `bound` milliseconds after the
    /// store had listed it as draining: when, which server, and how long after the listing.
    pub fn first_late_work(&self, bound: u64) -> Option<(u64, ServerId, u64)> {
        let mut work = self.history.work_while_draining.iter();
        work.find(|(.., after)| *after > bound).cloned()
    }

    /// Returns the number of writes that one daemon acknowledged.
    pub fn acknowledged_by(&self, n: usize) -> usize {
        let own = format!("{n}-");
        let ids = self.history.acknowledged.keys();
        ids.filter(|id| id.starts_with(&own)).count()
    }

    /// Returns the number of writes that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.history.acknowledged.len()
    }
}
