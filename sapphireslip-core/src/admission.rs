//! Whether a request is let in at the home of its database.

use std::time::Duration;

use crate::job::Job;
use crate::{
    Answer, AnswerEnd, Cx, Fleet, Home, KeyedScope, KeyedWrite, Outcome, PeerMessage, Refusal,
    RefusalReason, Request, StatementKind, TransactionStatus,
};

/// Time that is kept back from the caller's deadline for the way of the final answer.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The part of a keyed write's time that is kept for learning whether it ran, as one in so many.
pub const RESOLVE_TIME_DIVISOR: u32 = 3;

/// The part of a request's time that it may be expected to spend in the queue, as one in so many.
const QUEUE_TIME_DIVISOR: u32 = 2;

/// The least part of the time that is kept back, as one in so many, for short deadlines.
const ANSWER_MARGIN_DIVISOR: u32 = 10;

/// Refuses a request for which there is no home here.
pub(crate) fn refuse_unknown_database(cx: &mut Cx<'_>, request: Request) {
    let detail = format!("database `{}` is in no document in force", request.database);
    let refusal = Refusal::not_run(RefusalReason::UnknownDatabase, None, &detail);
    let end = AnswerEnd {
        outcome: Outcome::Refused(refusal),
        transaction: TransactionStatus::Idle,
        seen: None,
    };
    let answer = Answer {
        id: request.id.clone(),
        part: 0,
        payload: bytes::Bytes::new(),
        end: Some(end),
    };
    cx.send(request.id.entry, PeerMessage::Answer(answer));
}

impl Home {
    /// Takes a request: queues it, sends it on its transaction's connection, or refuses it.
    pub(crate) fn accept(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        ids: &mut crate::link::HomeIds,
        request: Request,
    ) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let now = cx.now.instant;
        let margin = ANSWER_MARGIN.min(request.time_left / ANSWER_MARGIN_DIVISOR);
        let deadline = now + request.time_left.saturating_sub(margin);
        let id = request.id.clone();
        let time_left = request.time_left;
        self.jobs
            .insert(id.clone(), Job::new(request, now, deadline));
        self.add_timer(deadline, &id);
        if !self.admit_key(cx, &id, time_left) || !self.admit_resent(cx, &id) {
            return;
        }
        let job = &self.jobs[&id];
        if job.request.in_transaction {
            self.continue_transaction(cx, ids, &id);
            return;
        }
        let session = job.session_key();
        self.close_transaction(cx, &session);
        self.enqueue(cx, fleet, &id);
    }

    /// Checks the key, if there is one; returns false if the request was refused.
    fn admit_key(&mut self, cx: &mut Cx<'_>, id: &crate::RequestId, time_left: Duration) -> bool {
        let now = cx.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(key) = job.request.key.clone() else {
            return true;
        };
        if !key.is_alive(now.unix) {
            let detail = format!("request key `{key}` is not within its lifetime");
            self.refuse(cx, id, RefusalReason::KeyRefused, &detail);
            return false;
        }
        let kind = job.request.kind;
        let scope = match (job.request.in_transaction, kind) {
            (_, StatementKind::Begin | StatementKind::BeginReadOnly | StatementKind::Rollback) => {
                return true;
            }
            (true, StatementKind::Commit) => KeyedScope::Commit,
            (true, _) => KeyedScope::Statement,
            (false, _) => KeyedScope::OwnTransaction,
        };
        let is_statement = scope == KeyedScope::Statement;
        job.keyed = Some(KeyedWrite::new(key, scope));
        if is_statement {
            return true;
        }
        let resolve_at = now.instant + (time_left - time_left / RESOLVE_TIME_DIVISOR);
        job.resolve_at = Some(resolve_at);
        self.add_timer(resolve_at, id);
        true
    }

    /// Refuses to run a write again that has no key; returns false if it was refused.
    fn admit_resent(&mut self, cx: &mut Cx<'_>, id: &crate::RequestId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let may_have_run = job.request.resent && job.keyed.is_none();
        let is_write = matches!(
            job.request.kind,
            StatementKind::Write | StatementKind::Commit
        );
        if may_have_run && is_write {
            let detail = "an earlier send may have run, and the request has no key";
            self.refuse_unknown(cx, id, RefusalReason::AnswerLost, detail);
            return false;
        }
        true
    }

    fn enqueue(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, id: &crate::RequestId) {
        let share = fleet
            .configuration
            .document_of(&self.spec.name)
            .map_or(0, |document| document.limits.queued);
        let job = &self.jobs[id];
        let end = job.resolve_at.unwrap_or(job.deadline);
        let left = end.since(cx.now.instant);
        let service = job.request.service.clone();
        let needs_primary = job.needs_primary;
        if self.queue_pace(needs_primary).expected_wait() >= left / QUEUE_TIME_DIVISOR {
            let detail = format!(
                "the queue of `{}` is longer than the deadline",
                self.spec.name
            );
            self.refuse(cx, id, RefusalReason::Deadline, &detail);
            return;
        }
        if !self.queue.push(id.clone(), &service, share) {
            let detail = format!("the queue of `{}` is full", self.spec.name);
            self.refuse(cx, id, RefusalReason::QueueFull, &detail);
            return;
        }
        self.queue_pace(needs_primary).join();
    }
}
