//! Admission of requests at the home of their database: checks, queueing and early refusals.

use std::time::Duration;

use crate::job::Job;
use crate::{
    Answer, AnswerEnd, Cx, Fleet, Home, KeyedScope, KeyedWrite, Outcome, PeerMessage, Refusal,
    RefusalReason, Request, StatementKind, TransactionStatus,
};

/// Time reserved before the client's deadline for delivering the final answer.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// One part in this many of a keyed write's time is reserved for learning whether it ran.
pub const RESOLVE_TIME_DIVISOR: u32 = 3;

/// A request is refused if its expected wait in the queue is at least its time left divided by
/// this. For a keyed write, the time reserved for learning whether it ran isn't counted as left.
const QUEUE_TIME_DIVISOR: u32 = 2;

/// For short deadlines, the reserve for the answer is at most the time left divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 10;

/// Refuses a request whose database no document in force names.
pub(crate) fn refuse_unknown_database(cx: &mut Cx<'_>, request: Request) {
    let detail = format!("no document in force names database `{}`", request.database);
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
    /// Admits a request: queues it, sends it on the connection of its session's transaction, or
    /// refuses it. Ignores a request that is already here.
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
        // The entry daemon has given up the transaction that may still be open here.
        self.close_transaction(cx, &session);
        self.enqueue(cx, fleet, &id);
    }

    /// Checks the request key, if there is one, and prepares the keyed write; returns false if the
    /// request was refused.
    fn admit_key(&mut self, cx: &mut Cx<'_>, id: &crate::RequestId, time_left: Duration) -> bool {
        let now = cx.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(key) = job.request.key.clone() else {
            return true;
        };
        if !key.is_valid_at(now.unix) {
            let detail =
                format!("request key `{key}` has expired or is dated too far in the future");
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

    /// Refuses a write without a key whose earlier send may have run; returns false if it was
    /// refused.
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
            let detail = "an earlier send of this write may have run, and without a request key it \
                          can't be sent again";
            self.refuse_unknown(cx, id, RefusalReason::AnswerLost, detail);
            return false;
        }
        true
    }

    /// Queues a request, or refuses it if the queue is full or the expected wait is too long.
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
                "the expected wait in the queue of database `{}` is too long for the deadline",
                self.spec.name
            );
            self.refuse(cx, id, RefusalReason::Deadline, &detail);
            return;
        }
        if !self.queue.push(id.clone(), &service, share) {
            let detail = format!("the queue of database `{}` is full", self.spec.name);
            self.refuse(cx, id, RefusalReason::QueueFull, &detail);
            return;
        }
        self.queue_pace(needs_primary).join();
    }
}
