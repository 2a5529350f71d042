//! Servers that leave work unanswered: asked for their status early, and given up once superseded.

use std::time::Duration;

use crate::link::{LinkState, Work};
use crate::{ConnectionId, Cx, Home, Instant, ServerId, Term};

/// How long work may go unanswered until its server is asked for its status.
pub const TRAFFIC_DOUBT: Duration = Duration::from_millis(100);

impl Home {
    /// Asks the servers that have left work unanswered for a while whether they are alive, ahead of
    /// the next poll.
    pub(crate) fn doubt_silent_servers(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        for server in self.pools.keys().cloned().collect::<Vec<_>>() {
            let is_due = self.doubt_at(&server).is_some_and(|at| at <= now);
            if is_due {
                self.group.probe_server(cx, &server);
            }
        }
    }

    /// Returns when the next server is to be asked since it leaves work unanswered.
    pub(crate) fn next_doubt(&self, now: Instant) -> Option<Instant> {
        self.pools
            .keys()
            .filter_map(|server| self.doubt_at(server))
            .filter(|at| now < *at)
            .min()
    }

    /// Returns when a server is to be asked next: each time after twice the silence of the time
    /// before, so that a long statement costs few questions.
    fn doubt_at(&self, server: &ServerId) -> Option<Instant> {
        let heard = self.oldest_work(server)?;
        let first = heard + TRAFFIC_DOUBT;
        let again = self.group.last_asked(server).map(|asked| {
            let silence = asked.since(heard);
            asked + TRAFFIC_DOUBT.max(silence)
        });
        Some(again.map_or(first, |again| first.max(again)))
    }

    /// Gives up the keyed writes that are at a superseded primary: the new one tells whether they
    /// ran, and the old one can't commit them any more.
    pub(crate) fn leave_superseded(&mut self, cx: &mut Cx<'_>) {
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
        for (connection, server) in self.unanswered_elsewhere(cx.now.instant, &primary.server) {
            self.give_up(cx, connection, &server);
        }
    }

    /// Work that was sent lately is left: a primary that answers says itself that it is superseded,
    /// which leaves the key free.
    fn unanswered_elsewhere(
        &self,
        now: Instant,
        primary: &ServerId,
    ) -> Vec<(ConnectionId, ServerId)> {
        let is_silent = |work: &Work| now >= work.heard + TRAFFIC_DOUBT;
        let is_keyed = |work: &Work| {
            let job = self.jobs.get(&work.request);
            job.is_some_and(|job| job.keyed.is_some() && !job.request.in_transaction)
        };
        self.working()
            .filter(|(_, server, work)| *server != primary && is_keyed(work) && is_silent(work))
            .map(|(connection, server, _)| (connection, server.clone()))
            .collect()
    }

    fn oldest_work(&self, server: &ServerId) -> Option<Instant> {
        self.working()
            .filter(|(_, at, _)| *at == server)
            .map(|(_, _, work)| work.heard)
            .min()
    }

    fn working(&self) -> impl Iterator<Item = (ConnectionId, &ServerId, &Work)> {
        self.links
            .iter()
            .filter_map(|(connection, link)| match &link.state {
                LinkState::Working(work) => Some((*connection, &link.server, work)),
                _ => None,
            })
    }
}
