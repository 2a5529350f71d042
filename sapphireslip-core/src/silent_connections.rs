//! Detection of connections that no longer deliver answers although their server still answers
//! group requests, which travel on another connection.

use std::time::Duration;

use crate::link::{LinkState, Work};
use crate::loss::Retry;
use crate::{
    ConnectionId, Cx, Home, Instant, RefusalReason, RequestId, ServerId, StatementKind,
    TimelineEntry, TimelineKind,
};

/// The minimum time without an answer after which a connection may count as silent.
pub const SILENCE_MIN: Duration = Duration::from_millis(500);

/// The divisor that turns the time from a statement's send to its deadline into the time without an
/// answer after which its connection may count as silent, if that is more than [`SILENCE_MIN`].
const SILENCE_DEADLINE_DIVISOR: u32 = 2;

/// The number of silent connections to a server that it takes to abandon a write without a request
/// key. A single one may just be slow, and a write abandoned by mistake could not be repaired.
const SILENT_CONNECTIONS_MIN: usize = 2;

impl Home {
    /// Finds servers that answer group requests but leave connections silent, and closes their
    /// unused and their silent connections. The requests on the silent ones are retried, resolved
    /// by their request key, or refused. A write without a request key stays if its connection is
    /// the only silent one.
    pub(crate) fn close_silent_connections(&mut self, cx: &mut Cx<'_>) {
        for server in self.pools.keys().cloned().collect::<Vec<_>>() {
            let silent = self.silent_connections(cx.now.instant, &server);
            let given_up: Vec<_> = silent
                .iter()
                .filter(|c| silent.len() >= SILENT_CONNECTIONS_MIN || !self.is_unkeyed_write(**c))
                .copied()
                .collect();
            if given_up.is_empty() {
                continue;
            }
            self.record_silent_connections(cx, &server);
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

    /// Returns the connections to a server that are silent although the server has answered a group
    /// request since their last progress.
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
            .filter(|(_, work)| now >= self.silent_at(work) && *reply > work.last_progress)
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// Returns when the connection of a statement may count as silent.
    fn silent_at(&self, work: &Work) -> Instant {
        let deadline = self.jobs.get(&work.request).map(|job| job.deadline);
        let left = deadline.unwrap_or(work.sent).since(work.sent);
        work.last_progress + SILENCE_MIN.max(left / SILENCE_DEADLINE_DIVISOR)
    }

    /// Returns the request that is in progress on a connection.
    fn request_on(&self, connection: ConnectionId) -> Option<&RequestId> {
        match &self.links.get(&connection)?.state {
            LinkState::Working(work) => Some(&work.request),
            _ => None,
        }
    }

    /// Returns whether a connection has a write or commit without a request key in progress.
    fn is_unkeyed_write(&self, connection: ConnectionId) -> bool {
        let id = self.request_on(connection);
        let Some(job) = id.and_then(|id| self.jobs.get(id)) else {
            return false;
        };
        let kind = job.request.kind;
        job.keyed.is_none() && matches!(kind, StatementKind::Write | StatementKind::Commit)
    }

    /// Closes a silent connection, and retries its request, resolves it by its request key, or
    /// refuses it.
    pub(crate) fn give_up(&mut self, cx: &mut Cx<'_>, connection: ConnectionId, server: &ServerId) {
        let Some(id) = self.request_on(connection).cloned() else {
            return;
        };
        self.unpin(&id, connection);
        self.close(cx, connection);
        self.handle_loss(cx, &id, server, Retry::Elsewhere, RefusalReason::AnswerLost);
    }

    /// Records in the timeline that connections to a server are silent.
    fn record_silent_connections(&self, cx: &mut Cx<'_>, server: &ServerId) {
        let entry = TimelineEntry::of(TimelineKind::PathSilent).database(&self.spec.name);
        let detail = "some connections deliver no answer while the server answers on others";
        cx.record(entry.server(server).detail(detail));
    }
}
