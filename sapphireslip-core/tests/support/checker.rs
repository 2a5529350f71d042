//! Checks invariants against the servers' true logs, independently of what the homes believe.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{
    CONFIRMED_WINDOW, Group, Holding, Instant, ServerId, Term, TermPosition, Visibility,
};

use super::fake_server::FakeServer;

/// A write that was acknowledged to the client.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    /// The record of the write.
    pub record: TermPosition,
    /// The highest term whose primary held the record when it was acknowledged.
    pub term: Term,
    /// The simulated time of the acknowledgement.
    pub at: Duration,
}

/// The history that the invariants are checked against.
#[derive(Debug, Default)]
pub struct Checker {
    /// All acknowledged writes in the order of their acknowledgement.
    pub acknowledged: Vec<Acknowledged>,
    /// The server that was primary of each term.
    led: BTreeMap<Term, ServerId>,
}

impl Checker {
    /// Adds an acknowledged record to the history.
    pub fn acknowledge(&mut self, record: TermPosition, servers: &[FakeServer], at: Duration) {
        let holders = servers.iter().filter(|server| server.contains(record));
        let term = holders.filter_map(FakeServer::leads).max();
        let term = term.unwrap_or_default().max(record.term);
        self.acknowledged.push(Acknowledged { record, term, at });
    }

    /// Checks that each term has at most one primary and that no acknowledged record is lost.
    ///
    /// A delayed order may make a server primary of a term that was already superseded. That server
    /// need not hold the records acknowledged in a higher term, but its term must never open for
    /// writes.
    pub fn check_servers(&mut self, servers: &[FakeServer]) {
        for server in servers {
            let Some(term) = server.leads() else {
                continue;
            };
            let first = self.led.entry(term).or_insert_with(|| server.id.clone());
            assert_eq!(*first, server.id, "two primaries in term {}", term.0);
            let open = is_open(servers, term);
            for acknowledged in &self.acknowledged {
                let Acknowledged { record, .. } = acknowledged;
                let later = acknowledged.term <= term || open && record.term <= term;
                assert!(
                    !later || server.contains(*record),
                    "acknowledged {record} is not in the log of {}, primary of term {}",
                    server.id,
                    term.0,
                );
            }
        }
    }

    /// Checks a home's answers about visibility and staleness against the true logs.
    pub fn check_home(&self, group: &Group, servers: &[FakeServer], now: Duration) {
        for server in servers {
            self.check_visibility(group, server);
            self.check_staleness(group, server, now);
        }
    }

    /// Checks the visibility of the four records that were acknowledged last.
    fn check_visibility(&self, group: &Group, server: &FakeServer) {
        for Acknowledged { record, .. } in self.acknowledged.iter().rev().take(4) {
            let visibility = group.visibility(&server.id, *record);
            assert_ne!(
                visibility,
                Visibility::LostBranch,
                "acknowledged {record} counts as lost"
            );
            let holds = visibility == Visibility::Visible;
            assert!(
                !holds || server.contains(*record),
                "{record} counts as visible but is not in the log of {}",
                server.id
            );
        }
    }

    /// Checks that a server holds every record that was acknowledged before the reported staleness.
    fn check_staleness(&self, group: &Group, server: &FakeServer, now: Duration) {
        let instant = Instant { since_start: now };
        let Some(age) = group.staleness(&server.id, instant) else {
            return;
        };
        let leads = group.primary().is_some_and(|p| p.server == server.id);
        let age = if leads { CONFIRMED_WINDOW } else { age };
        for Acknowledged { record, at, .. } in &self.acknowledged {
            assert!(
                *at + age >= now || server.contains(*record),
                "{} lacks {record}, which was acknowledged more than {age:?} ago",
                server.id,
            );
        }
    }

    /// Checks that the record confirmed by a probe is at or past all records acknowledged before
    /// the probe was sent.
    pub fn check_confirmed(&self, confirmed: TermPosition, since: Duration) {
        for Acknowledged { record, at, .. } in &self.acknowledged {
            assert!(
                *at >= since || *record <= confirmed,
                "the confirmed {confirmed} is behind the acknowledged {record}"
            );
        }
    }
}

/// Returns whether a majority of the servers holds a record of a term.
fn is_open(servers: &[FakeServer], term: Term) -> bool {
    let holders = servers.iter().filter(|server| server.log.contains(&term));
    holders.count() > servers.len() / 2
}

/// Returns whether a home considers a record held by a majority and may acknowledge it.
pub fn is_majority(group: &Group, record: TermPosition) -> bool {
    group.holding(record) == Holding::Majority
}
