//! Handling of the servers' answers to the work that a home has sent them.

use bytes::Bytes;

use crate::job::Stage;
use crate::link::{HomeIds, LinkState, Work};
use crate::{
    ConnectionId, Cx, Home, KeyedNext, Outcome, RefusalReason, RequestId, ServerId, SqlState,
    StatementKind, TransactionStatus, Verdict, WorkEnd, WorkId,
};

impl Home {
    /// Handles a part of an answer; one that doesn't belong to the connection's present work is
    /// dropped.
    pub(crate) fn on_answered(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        connection: ConnectionId,
        work: WorkId,
        payload: &Bytes,
        end: Option<&WorkEnd>,
    ) {
        let Some(link) = self.links.get_mut(&connection) else {
            return;
        };
        let LinkState::Working(current) = &mut link.state else {
            if let Some(end) = end {
                self.on_purge_end(cx, connection, work, end);
            }
            return;
        };
        if current.id != work {
            return;
        }
        current.last_progress = cx.now.instant;
        let id = current.request.clone();
        if current.is_own_step {
            current.payload.extend_from_slice(payload);
        } else if !self.on_request_payload(cx, &id, payload) {
            self.abandon(
                cx,
                &id,
                RefusalReason::Unsupported,
                "the answer exceeds the size limit of a keyed write",
            );
            return;
        }
        if let Some(end) = end {
            self.on_work_end(cx, ids, connection, end);
        }
    }

    /// Handles a part of the answer to a request's own messages; returns false if the answer of a
    /// keyed write exceeds the limit.
    fn on_request_payload(&mut self, cx: &mut Cx<'_>, id: &RequestId, payload: &Bytes) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        match &mut job.keyed {
            Some(keyed) => keyed.on_payload(payload),
            None => {
                job.on_payload(cx, payload);
                true
            }
        }
    }

    /// Handles the end of the work on a connection.
    fn on_work_end(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        connection: ConnectionId,
        end: &WorkEnd,
    ) {
        let Some((server, work)) = self.take_work(connection) else {
            return;
        };
        self.record_work_end(cx, &server, &work, end);
        let Some(job) = self.jobs.get_mut(&work.request) else {
            self.close(cx, connection);
            return;
        };
        match job.keyed.as_mut() {
            Some(keyed) => {
                let next = keyed.on_end(end, &work.payload);
                self.perform_keyed_step(cx, ids, &work.request, connection, end, next);
            }
            None => self.on_request_end(cx, &work.request, connection, end),
        }
    }

    /// Takes the finished work off its connection. The connection is marked idle but isn't in the
    /// pool until the work's end has been handled.
    fn take_work(&mut self, connection: ConnectionId) -> Option<(ServerId, Work)> {
        let link = self.links.get_mut(&connection)?;
        match std::mem::replace(&mut link.state, LinkState::Idle) {
            LinkState::Working(work) => Some((link.server.clone(), work)),
            state => {
                link.state = state;
                None
            }
        }
    }

    /// Updates the server's limit, the retry budget and the group from the end of a piece of work.
    fn record_work_end(&mut self, cx: &mut Cx<'_>, server: &ServerId, work: &Work, end: &WorkEnd) {
        let latency = cx.now.instant.since(work.sent);
        if let Some(pool) = self.pools.get_mut(server) {
            let in_flight = pool.in_flight();
            pool.limit.on_answer(latency, in_flight);
        }
        self.budget.on_success();
        self.group.note_alive(cx, server);
        if let Some(record) = end.committed {
            self.group.note_written(server, record, work.sent);
            self.group.watch(cx, record);
        }
    }

    /// Performs the next step of a keyed write.
    fn perform_keyed_step(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        id: &RequestId,
        connection: ConnectionId,
        end: &WorkEnd,
        next: KeyedNext,
    ) {
        match next {
            KeyedNext::Sql(sql) => self.send_step(cx, ids, id, connection, sql),
            KeyedNext::Request => self.send_request(cx, ids, id, connection),
            KeyedNext::Acknowledge { record, verdict } => {
                self.release_or_pin(cx, id, connection, end.transaction);
                self.acknowledge(id, record, verdict);
            }
            KeyedNext::Answer => {
                self.release_or_pin(cx, id, connection, end.transaction);
                self.end_with_keyed_answer(cx, id);
            }
            KeyedNext::Refuse(reason) => {
                self.release_or_close(cx, id, connection, end.transaction);
                self.refuse(cx, id, reason, "the server rolled the keyed write back");
            }
            KeyedNext::Resolve => {
                self.release_or_close(cx, id, connection, end.transaction);
                self.resolve(cx, id);
            }
        }
    }

    /// Handles the end of a request without a key.
    fn on_request_end(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        connection: ConnectionId,
        end: &WorkEnd,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_proved_unrun = end.committed.is_none() && !job.has_answered();
        let is_outside = !job.request.in_transaction;
        match end.sqlstate {
            Some(SqlState::READ_ONLY) if is_proved_unrun && is_outside => {
                self.release_or_close(cx, id, connection, end.transaction);
                self.requeue_for_primary(cx, id);
            }
            Some(SqlState::SUPERSEDED) if end.committed.is_none() => {
                self.release_or_close(cx, id, connection, end.transaction);
                self.refuse(
                    cx,
                    id,
                    RefusalReason::NoPrimary,
                    "the primary has been superseded by another server",
                );
            }
            _ => {
                self.release_or_pin(cx, id, connection, end.transaction);
                match end.committed {
                    Some(record) => self.acknowledge(id, record, Verdict::Done),
                    None => self.end(cx, id, Outcome::Done, None),
                }
            }
        }
    }

    /// Queues a statement for the primary after a server refused it as read-only, which proves that
    /// it didn't run there. If the primary itself refused it, there is no primary that takes
    /// writes, and the statement is refused. So is a statement of which an earlier copy may have
    /// run, as it might write twice.
    fn requeue_for_primary(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let may_move = job.request.kind == StatementKind::Read && !job.needs_primary;
        if !may_move || job.may_have_run {
            let detail = "the server accepts only reads";
            self.refuse(cx, id, RefusalReason::NoPrimary, detail);
            return;
        }
        job.replace_buffer(Vec::new());
        job.needs_primary = true;
        self.requeue(id);
    }

    /// Puts a request back at the front of the queue.
    pub(crate) fn requeue(&mut self, id: &RequestId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.stage = Stage::Queued;
        let service = job.request.service.clone();
        let needs_primary = job.needs_primary;
        self.queue.push_front(id.clone(), &service);
        self.queue_pace(needs_primary).join();
    }

    /// Releases a connection to its pool, or pins it to the session of request `id` if it is inside
    /// a transaction.
    fn release_or_pin(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        match status {
            TransactionStatus::Idle => {
                self.unpin(id, connection);
                self.release(cx, connection);
            }
            TransactionStatus::Open | TransactionStatus::Failed => {
                self.pin(cx, id, connection, status);
            }
        }
    }

    /// Releases a connection to its pool, or closes it if it is inside a transaction; the session's
    /// transaction ends either way.
    fn release_or_close(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        self.unpin(id, connection);
        match status {
            TransactionStatus::Idle => self.release(cx, connection),
            TransactionStatus::Open | TransactionStatus::Failed => self.close(cx, connection),
        }
    }

    /// Ends a keyed write with the server's answer that it has collected.
    fn end_with_keyed_answer(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        if let Some(job) = self.jobs.get_mut(id) {
            let answer = job.keyed.as_ref().map(|keyed| keyed.answer().to_vec());
            job.replace_buffer(answer.unwrap_or_default());
        }
        self.end(cx, id, Outcome::Done, None);
    }
}
