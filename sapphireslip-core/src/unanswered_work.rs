//! Handling of servers that leave statements unanswered: they are polled early, and keyed writes on
//! them are abandoned once they are superseded.

use std::time::Duration;

use crate::link::{LinkState, Work};
use crate::{ConnectionId, Cx, Home, Instant, ServerId, Term};

/// How long a statement may go unanswered before its server is asked for its status.
pub const UNANSWERED_POLL_DELAY: Duration = Duration::from_millis(100);

impl Home {
    /// Polls the servers that have left a statement unanswered for a while, ahead of their next
    /// regular poll.
    pub(crate) fn poll_silent_servers(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        for server in self.pools.keys().cloned().collect::<Vec<_>>() {
            let is_due = self.unanswered_poll_at(&server).is_some_and(|at| at <= now);
            if is_due {
                self.group.probe_server(cx, &server);
            }
        }
    }

    /// Returns when the next server with an unanswered statement is to be polled.
    pub(crate) fn next_unanswered_poll(&self, now: Instant) -> Option<Instant> {
        self.pools
            .keys()
            .filter_map(|server| self.unanswered_poll_at(server))
            .filter(|at| now < *at)
            .min()
    }

    /// Returns when a server with an unanswered statement is to be polled. The time since its last
    /// answer doubles from poll to poll, so that a long statement causes few polls.
    fn unanswered_poll_at(&self, server: &ServerId) -> Option<Instant> {
        let last_progress = self.earliest_progress(server)?;
        let first = last_progress + UNANSWERED_POLL_DELAY;
        let again = self.group.last_asked(server).map(|asked| {
            let silence = asked.since(last_progress);
            asked + UNANSWERED_POLL_DELAY.max(silence)
        });
        Some(again.map_or(first, |again| first.max(again)))
    }

    /// Abandons the keyed writes outside a transaction that are at a superseded primary once a new
    /// primary is known. The new primary tells whether they ran, and the old one can no longer
    /// commit them.
    pub(crate) fn abandon_superseded_writes(&mut self, cx: &mut Cx<'_>) {
        let Some(primary) = self.group.primary() else {
            return;
        };
        if self.served_term == primary.term {
            return;
        }
        let is_first = self.served_term == Term(0);
        self.served_term = primary.term;
        if is_first {
            return;
        }
        for (connection, server) in self.superseded_keyed_writes(cx.now.instant, &primary.server) {
            self.give_up(cx, connection, &server);
        }
    }

    /// Returns the connections with keyed writes outside a transaction that other servers than the
    /// primary have left unanswered for at least [`UNANSWERED_POLL_DELAY`]. More recent writes are
    /// excluded: a superseded primary that still answers reports itself that it was superseded, and
    /// the request key then stays unclaimed.
    fn superseded_keyed_writes(
        &self,
        now: Instant,
        primary: &ServerId,
    ) -> Vec<(ConnectionId, ServerId)> {
        let is_silent = |work: &Work| now >= work.last_progress + UNANSWERED_POLL_DELAY;
        let is_keyed = |work: &Work| {
            let job = self.jobs.get(&work.request);
            job.is_some_and(|job| job.keyed.is_some() && !job.request.in_transaction)
        };
        self.working()
            .filter(|(_, server, work)| *server != primary && is_keyed(work) && is_silent(work))
            .map(|(connection, server, _)| (connection, server.clone()))
            .collect()
    }

    /// Returns the earliest time of last progress among the statements in progress at a server, if
    /// there are any.
    fn earliest_progress(&self, server: &ServerId) -> Option<Instant> {
        self.working()
            .filter(|(_, at, _)| *at == server)
            .map(|(_, _, work)| work.last_progress)
            .min()
    }

    /// Returns the connections with a statement in progress.
    fn working(&self) -> impl Iterator<Item = (ConnectionId, &ServerId, &Work)> {
        self.links
            .iter()
            .filter_map(|(connection, link)| match &link.state {
                LinkState::Working(work) => Some((*connection, &link.server, work)),
                _ => None,
            })
    }
}
