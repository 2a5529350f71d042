//! What a home knows of single records of a group: who holds them, whose reads see them, how old
//! a server's data may be.

use std::time::Duration;

use crate::derives::key;
use crate::{Containment, Group, Instant, Primary, ServerId, Term, TermPosition, log_contains};

/// Within what time a majority must have confirmed the primary for its data to count as current.
pub const CONFIRMED_WINDOW: Duration = Duration::from_millis(2500);

key! {
    /// Whether a record has reached a majority of the group's servers in its own term.
    pub enum Holding {
        /// A majority holds it: it outlives any primary.
        Majority,
        /// Not yet, as far as is known.
        Pending,
        /// A higher term has begun; whether the record is part of it must be learnt.
        Superseded,
    }

    /// Whether a server's reads see a record.
    pub enum Visibility {
        /// They do.
        Visible,
        /// Not yet, as far as is known.
        Behind,
        /// The record was on a branch that was lost.
        LostBranch,
    }
}

impl Group {
    /// Returns whether a majority holds a record.
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
    /// A record older than all term starts that the servers still report counts as lost.
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

    /// Returns whether a primary was seen to hold a record, as far as the record is of its term: a
    /// token past the end of its log names nothing that was written.
    pub(crate) fn is_shown(&self, primary: &Primary, record: TermPosition) -> bool {
        record.term != primary.term
            || self
                .servers
                .get(&primary.server)
                .is_some_and(|server| server.has_held(record))
    }

    fn is_lost(&self, record: TermPosition) -> bool {
        let Some(status) = self.open_log().filter(|s| s.fenced > record.term) else {
            return false;
        };
        log_contains(status, record) != Containment::Contained
    }

    /// Returns how old a server's data may be at the most; none if nothing is known.
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

    /// Returns an instant at which a majority was not fenced above a term.
    fn confirmed_at(&self, term: Term) -> Option<Instant> {
        let mut asked: Vec<_> = self
            .servers
            .values()
            .filter(|server| server.fenced() <= term)
            .filter_map(|server| server.asked)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(self.majority() - 1).copied()
    }

    /// Returns the highest record that was confirmed by a majority asked after `since`: every write
    /// acknowledged before `since` is at or before it.
    ///
    /// With more than a majority asked, a record held by too few of these was not acknowledged.
    #[must_use]
    pub fn confirmed_since(&self, since: Instant) -> Option<TermPosition> {
        let mut held: Vec<_> = self
            .servers
            .values()
            .filter(|server| server.asked >= Some(since))
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
