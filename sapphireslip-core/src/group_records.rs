//! Queries on single records of a group: whether a majority holds them, whether a server's reads
//! see them, and how old a server's data may be.

use std::time::Duration;

use crate::derives::key;
use crate::{Containment, Group, Instant, Primary, ServerId, Term, TermPosition, log_contains};

/// The time within which a majority must have confirmed the primary for its data to count as
/// current.
pub const CONFIRMED_WINDOW: Duration = Duration::from_millis(2500);

key! {
    /// Whether a majority of the group's servers holds a record.
    pub enum Holding {
        /// A majority holds the record, so every later primary holds it too.
        Majority,
        /// No majority is known to hold the record yet.
        Pending,
        /// A higher term has begun, and its log is not known to contain the record.
        Superseded,
    }

    /// Whether a server's reads see a record.
    pub enum Visibility {
        /// The server's reads see the record.
        Visible,
        /// The server's reads are not known to see the record yet.
        Behind,
        /// The record was on a branch of the log that was discarded after a change of primary.
        LostBranch,
    }
}

impl Group {
    /// Returns whether a majority holds a record: directly, or as a part of the log of a later open
    /// term.
    #[must_use]
    pub fn holding(&self, record: TermPosition) -> Holding {
        if self.is_held(record) {
            return Holding::Majority;
        }
        let later = self
            .open_log()
            .filter(|status| status.fenced > record.term)
            .map(|status| log_contains(status, record));
        match later {
            Some(Containment::Contained) => Holding::Majority,
            _ if self.highest_term() > record.term => Holding::Superseded,
            _ => Holding::Pending,
        }
    }

    /// Returns whether a server's reads see a record.
    ///
    /// A record that is older than all term starts that the servers still report counts as lost.
    #[must_use]
    pub fn visibility(&self, server: &ServerId, record: TermPosition) -> Visibility {
        if self.is_lost(record) {
            return Visibility::LostBranch;
        }
        let visible = self.status(server).is_some_and(|status| {
            status.applied >= record.position
                && log_contains(status, record) == Containment::Contained
        });
        if visible {
            Visibility::Visible
        } else {
            Visibility::Behind
        }
    }

    /// Returns whether a record of the primary's own term is known to be in its log; records of
    /// other terms pass. A session token past the end of the log refers to nothing that was
    /// written.
    pub(crate) fn is_plausible(&self, primary: &Primary, record: TermPosition) -> bool {
        record.term != primary.term
            || self
                .servers
                .get(&primary.server)
                .is_some_and(|server| server.has_held(record))
    }

    /// Returns whether the log of a later open term lacks a record, or no longer reports term
    /// starts that are old enough to tell.
    fn is_lost(&self, record: TermPosition) -> bool {
        let Some(status) = self.open_log().filter(|s| s.fenced > record.term) else {
            return false;
        };
        log_contains(status, record) != Containment::Contained
    }

    /// Returns the maximum age of a server's data, or `None` if no bound is known.
    #[must_use]
    pub fn staleness(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let primary = self.primary()?;
        let confirmed = self.confirmed_at(primary.term)?;
        if primary.server == *server {
            return (now.since(confirmed) <= CONFIRMED_WINDOW).then_some(Duration::ZERO);
        }
        self.samples
            .until(confirmed, primary.term)
            .find(|sample| self.visibility(server, sample.held) == Visibility::Visible)
            .map(|sample| now.since(sample.asked))
    }

    /// Returns the latest instant at which a majority is known not to have been fenced above a
    /// term.
    fn confirmed_at(&self, term: Term) -> Option<Instant> {
        let mut asked: Vec<_> = self
            .servers
            .values()
            .filter(|server| server.fenced() <= term)
            .filter_map(|server| server.answered_request_sent)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(self.majority() - 1).copied()
    }

    /// Returns the highest record that may have been acknowledged before `since`, according to the
    /// servers that answered requests sent at or after `since`: every write acknowledged before
    /// `since` is at or before it. Returns `None` while fewer than a majority have answered.
    ///
    /// If more than a majority have answered, the records held by too few of them are skipped, as
    /// they cannot have been acknowledged.
    #[must_use]
    pub fn confirmed_since(&self, since: Instant) -> Option<TermPosition> {
        let mut held: Vec<_> = self
            .servers
            .values()
            .filter(|server| server.answered_request_sent >= Some(since))
            .filter_map(|server| server.status.as_ref())
            .map(|status| status.held)
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let spare = (held.len() + self.majority()).checked_sub(self.servers.len())?;
        if held.len() < self.majority() {
            return None;
        }
        held.get(spare.checked_sub(1)?).copied()
    }
}
