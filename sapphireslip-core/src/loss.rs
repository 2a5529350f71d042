//! Requests whose answer is lost: by a broken connection, a deadline or a cancellation.

use std::time::Duration;

use crate::derives::key;
use crate::job::{LossClass, Stage};
use crate::link::LinkState;
use crate::{
    ConnectionId, Cx, Home, KeyedNext, PURGE_INTERVAL, RefusalReason, RequestId, ServerId,
    StatementKind,
};

key! {
    /// Whether a lost request may be tried on another server, within the budget.
    pub(crate) enum Retry {
        /// If it can do no harm.
        Elsewhere,
        /// The request itself was given up.
        Never,
    }
}

/// The wait between two attempts to learn whether a keyed write ran.
pub const RESOLVE_RETRY: Duration = Duration::from_millis(50);

impl Home {
    /// Takes the loss of a connection.
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

    /// Works off a request that was at a server and whose connection is gone from the books.
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
                        "the connection was closed before the commit",
                    );
                }
                _ => self.resolve(cx, id),
            }
            return;
        }
        self.handle_unkeyed_loss(cx, id, server, retry, reason);
    }

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
        // A server that was no primary when asked may be one by now.
        let may_write = job.could_write || primary.is_none_or(|p| p.server == *server);
        let in_transaction = job.request.in_transaction;
        let class = job.loss_class(may_write, in_transaction);
        job.may_have_run |= class == LossClass::Doubtful;
        if class == LossClass::Unknown {
            self.refuse_unknown(cx, id, reason, "the answer was lost");
            return;
        }
        if in_transaction {
            let detail = "the connection was lost, and the transaction is rolled back";
            self.refuse(cx, id, RefusalReason::TransactionLost, detail);
            return;
        }
        if retry == Retry::Elsewhere && self.may_retry(id) {
            self.retry(id, server);
            return;
        }
        self.refuse(cx, id, reason, "the connection was lost");
    }

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

    fn retry(&mut self, id: &RequestId, failed: &ServerId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.replace_buffer(Vec::new());
            job.failed_on.push(failed.clone());
        }
        self.requeue(id);
    }

    /// Queues the claim of a request key, to learn whether its request ran.
    pub(crate) fn resolve(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let now = cx.now.instant;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if now >= job.deadline {
            let detail = "whether the request ran could not be learnt in time";
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

    /// Closes the connection of a running request and works the request off.
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

    /// Takes a caller's wish to end its request.
    pub(crate) fn cancel(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_resolving = job.keyed.as_ref().is_some_and(|keyed| keyed.is_resolving());
        if is_resolving || matches!(job.stage, Stage::Acknowledging { .. }) {
            return;
        }
        self.abandon(cx, id, RefusalReason::Deadline, "the caller cancelled it");
    }

    /// Looks at the requests whose time has come.
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
                let detail = "too little time is left to learn whether it ran";
                self.abandon(cx, id, RefusalReason::Deadline, detail);
            }
            Stage::Acknowledging { .. } => {}
        }
    }

    /// Gives a request whose deadline has passed its final answer.
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
        self.abandon(cx, id, reason, "the deadline has passed");
    }
}
