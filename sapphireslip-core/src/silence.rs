//! Connections that went silent while their server answers on others.

use std::time::Duration;

use crate::link::{LinkState, Work};
use crate::loss::Retry;
use crate::{
    ConnectionId, Cx, Home, Instant, RefusalReason, RequestId, ServerId, StatementKind,
    TimelineEntry, TimelineKind,
};

/// The least time without an answer after which a connection may count as silent.
pub const SILENCE_MIN: Duration = Duration::from_millis(500);

/// The part of the time from the send to the deadline without an answer after which a connection
/// may count as silent, as one in so many.
const SILENCE_SHARE: u32 = 2;

/// How many silent connections of a path it takes to give up a write that has no key: one alone
/// may just be slow, and giving it up could not be made good.
const SILENT_WITNESSES: usize = 2;

impl Home {
    /// Finds paths on which nothing is heard although the server answers elsewhere, closes their
    /// idle connections and works off what is in flight.
    pub(crate) fn close_silent_paths(&mut self, cx: &mut Cx<'_>) {
        for server in self.pools.keys().cloned().collect::<Vec<_>>() {
            let silent = self.silent_connections(cx.now.instant, &server);
            let given_up: Vec<_> = silent
                .iter()
                .filter(|c| silent.len() >= SILENT_WITNESSES || !self.is_unkeyed_write(**c))
                .copied()
                .collect();
            if given_up.is_empty() {
                continue;
            }
            self.record_silence(cx, &server);
            self.close_unused(cx, &server);
            for connection in given_up {
                self.give_up(cx, connection, &server);
            }
        }
    }

    /// Returns when the next connection may count as silent.
    pub(crate) fn next_silence_check(&self, now: Instant) -> Option<Instant> {
        self.links
            .values()
            .filter_map(|link| match &link.state {
                LinkState::Working(work) => Some(self.silent_at(work)),
                _ => None,
            })
            .filter(|at| now < *at)
            .min()
    }

    fn silent_connections(&self, now: Instant, server: &ServerId) -> Vec<ConnectionId> {
        let Some(reply) = self.last_group_replies.get(server) else {
            return Vec::new();
        };
        self.links
            .iter()
            .filter(|(_, link)| link.server == *server)
            .filter_map(|(connection, link)| match &link.state {
                LinkState::Working(work) => Some((connection, work)),
                _ => None,
            })
            .filter(|(_, work)| now >= self.silent_at(work) && *reply > work.heard)
            .map(|(connection, _)| *connection)
            .collect()
    }

    fn silent_at(&self, work: &Work) -> Instant {
        let deadline = self.jobs.get(&work.request).map(|job| job.deadline);
        let left = deadline.unwrap_or(work.sent).since(work.sent);
        work.heard + SILENCE_MIN.max(left / SILENCE_SHARE)
    }

    fn request_on(&self, connection: ConnectionId) -> Option<&RequestId> {
        match &self.links.get(&connection)?.state {
            LinkState::Working(work) => Some(&work.request),
            _ => None,
        }
    }

    fn is_unkeyed_write(&self, connection: ConnectionId) -> bool {
        let id = self.request_on(connection);
        let Some(job) = id.and_then(|id| self.jobs.get(id)) else {
            return false;
        };
        let kind = job.request.kind;
        job.keyed.is_none() && matches!(kind, StatementKind::Write | StatementKind::Commit)
    }

    /// Closes a connection on which nothing is heard and works off its request.
    pub(crate) fn give_up(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, server: &ServerId) {
        let Some(id) = self.request_on(connection).cloned() else {
            return;
        };
        self.unpin(&id, connection);
        self.close(cx, connection);
        self.handle_loss(cx, &id, server, Retry::Elsewhere, RefusalReason::AnswerLost);
    }

    fn record_silence(&self, cx: &mut Cx<'_>, server: &ServerId) {
        let entry = TimelineEntry::of(TimelineKind::PathSilent).database(&self.spec.name);
        let detail = "no answer on open connections while the server answers on others";
        cx.record(entry.server(server).detail(detail));
    }
}
