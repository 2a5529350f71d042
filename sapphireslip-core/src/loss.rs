//! Requests whose answer is lost to a broken connection, a deadline or a cancellation: retries,
//! refusals and the resolution of keyed writes.

use std::time::Duration;

use crate::derives::key;
use crate::job::{LossClass, Stage};
use crate::link::LinkState;
use crate::{
    ConnectionId, Cx, Home, KeyedNext, PURGE_INTERVAL, RefusalReason, RequestId, ServerId,
    StatementKind,
};

key! {
    /// Whether a lost request may be retried on another server, within the retry budget.
    pub(crate) enum Retry {
        /// The request may be retried if running it twice does no harm.
        Elsewhere,
        /// The request itself was abandoned and must not be retried.
        Never,
    }
}

/// The time between two attempts to learn whether a keyed write ran.
pub const RESOLVE_RETRY: Duration = Duration::from_millis(50);

impl Home {
    /// Handles the loss of a connection.
    pub(crate) fn on_connection_lost(&mut self, cx: &mut Cx<'_>, connection: ConnectionId) {
        let Some(link) = self.forget(connection) else {
            return;
        };
        self.group.note_failed(cx, &link.server);
        match link.state {
            LinkState::Opening | LinkState::Idle => {}
            LinkState::Purging(_) => self.end_purge(cx, PURGE_INTERVAL),
            LinkState::Pinned(session) => {
                self.transactions.remove(&session);
            }
            LinkState::Working(work) => {
                self.unpin(&work.request, connection);
                let retry = Retry::Elsewhere;
                self.handle_loss(
                    cx,
                    &work.request,
                    &link.server,
                    retry,
                    RefusalReason::AnswerLost,
                );
            }
        }
    }

    /// Retries, resolves or refuses a request that was at a server, once its connection has been
    /// removed.
    pub(crate) fn handle_loss(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        server: &ServerId,
        retry: Retry,
        reason: RefusalReason,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(keyed) = job.keyed.as_mut() {
            match keyed.on_lost() {
                KeyedNext::Refuse(reason) => {
                    self.refuse(
                        cx,
                        id,
                        reason,
                        "the connection to the server was closed before the commit",
                    );
                }
                _ => self.resolve(cx, id),
            }
            return;
        }
        self.handle_unkeyed_loss(cx, id, server, retry, reason);
    }

    /// Retries or refuses a lost request without a key.
    fn handle_unkeyed_loss(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        server: &ServerId,
        retry: Retry,
        reason: RefusalReason,
    ) {
        let primary = self.group.primary();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        // A server that was not the primary when the request was sent may have become it since.
        let may_write = job.could_write || primary.is_none_or(|p| p.server == *server);
        let in_transaction = job.request.in_transaction;
        let class = job.loss_class(may_write, in_transaction);
        job.may_have_run |= class == LossClass::Doubtful;
        if class == LossClass::Unknown {
            self.refuse_unknown(cx, id, reason, "the server's answer was lost");
            return;
        }
        if in_transaction {
            let detail = "the connection to the server was lost, which rolled the transaction back";
            self.refuse(cx, id, RefusalReason::TransactionLost, detail);
            return;
        }
        if retry == Retry::Elsewhere && self.may_retry(id) {
            self.retry(id, server);
            return;
        }
        self.refuse(cx, id, reason, "the connection to the server was lost");
    }

    /// Returns whether a lost request may be sent to another server, and takes a retry from the
    /// budget if so. A request that may have run and needs the primary is not retried.
    fn may_retry(&mut self, id: &RequestId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let may_move = matches!(
            job.request.kind,
            StatementKind::Read | StatementKind::BeginReadOnly | StatementKind::Begin
        );
        let was_moved = job.may_have_run && job.needs_primary;
        may_move && !was_moved && !job.has_answered() && self.budget.take()
    }

    /// Queues a request again after its loss at server `failed`, to which a read is not sent again.
    fn retry(&mut self, id: &RequestId, failed: &ServerId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.replace_buffer(Vec::new());
            job.failed_on.push(failed.clone());
        }
        self.requeue(id);
    }

    /// Queues a keyed write to claim its key as refused, which shows whether it ran.
    pub(crate) fn resolve(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let now = cx.now.instant;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if now >= job.deadline {
            let detail = "whether the keyed write ran could not be learnt before the deadline";
            self.refuse_unknown(cx, id, RefusalReason::AnswerLost, detail);
            return;
        }
        if let Some(keyed) = job.keyed.as_mut() {
            if keyed.is_claiming() {
                job.not_before = now + RESOLVE_RETRY;
            }
            keyed.resolve();
        }
        self.requeue(id);
    }

    /// Gives a request up: closes its connection if it is running, and refuses or resolves it.
    pub(crate) fn abandon(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        reason: RefusalReason,
        detail: &str,
    ) {
        let Some(Stage::Running(connection)) = self.jobs.get(id).map(|job| job.stage.clone())
        else {
            self.refuse(cx, id, reason, detail);
            return;
        };
        self.unpin(id, connection);
        let server = self.links.get(&connection).map(|link| link.server.clone());
        self.close(cx, connection);
        if let Some(server) = server {
            self.handle_loss(cx, id, &server, Retry::Never, reason);
        }
    }

    /// Cancels a request for its client. A request that has committed or that is being resolved
    /// goes on, since its outcome must be told.
    pub(crate) fn cancel(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_resolving = job.keyed.as_ref().is_some_and(|keyed| keyed.is_resolving());
        if is_resolving || matches!(job.stage, Stage::Acknowledging { .. }) {
            return;
        }
        self.abandon(
            cx,
            id,
            RefusalReason::Deadline,
            "the client cancelled the request",
        );
    }

    /// Handles all timers that are due.
    pub(crate) fn fire_timers(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        while let Some(timer) = self.timers.first()
            && timer.at <= now
        {
            let Some(timer) = self.timers.pop_first() else {
                return;
            };
            self.on_timer(cx, &timer.id);
        }
    }

    /// Ends a request whose deadline has passed, or abandons a keyed write in time to resolve it.
    fn on_timer(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let now = cx.now.instant;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if now >= job.deadline {
            self.expire(cx, id);
            return;
        }
        let is_due = job.resolve_at.is_some_and(|at| now >= at);
        let is_resolving = job.keyed.as_ref().is_some_and(|keyed| keyed.is_resolving());
        if !is_due || is_resolving {
            return;
        }
        match job.stage {
            Stage::Queued | Stage::Running(_) => {
                let detail = "the time left before the deadline is needed to learn whether the \
                              keyed write ran";
                self.abandon(cx, id, RefusalReason::Deadline, detail);
            }
            Stage::Acknowledging { .. } => {}
        }
    }

    /// Gives the final answer of a request whose deadline has passed.
    fn expire(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_resolving = job.keyed.as_ref().is_some_and(|keyed| keyed.is_resolving());
        let is_committed = matches!(job.stage, Stage::Acknowledging { .. });
        job.may_have_run |= is_resolving || is_committed;
        let reason = match job.may_have_run {
            true => RefusalReason::AnswerLost,
            false => RefusalReason::Deadline,
        };
        self.abandon(cx, id, reason, "the deadline of the request has passed");
    }
}
