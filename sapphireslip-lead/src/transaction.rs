//! Transactions at backend servers: begun with their first statement, bound to one connection, and
//! ended or rolled back.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, SessionId, TransactionStatus};

use crate::client_account::KEY_MOVED;
use crate::completion::BUSY_PAUSE;
use crate::connection::{AnswerTo, Purpose};
use crate::job::{JobId, Work};
use crate::session::Transaction;
use crate::state::State;
use crate::{ErrorCode, Failure, Record, RecordKind, Reply, ServerRequest};

impl State {
    /// Returns the open or failed transaction of a session.
    pub(crate) fn transaction_mut(&mut self, session: SessionId) -> Option<&mut Transaction> {
        self.sessions.get_mut(&session)?.transaction.as_mut()
    }

    /// Handles the answer to a `BEGIN`: sends the first statement of the transaction, or has it
    /// sent elsewhere if the `BEGIN` failed, the server may get no new work any more, or the client's key
    /// belongs to another account than that of the connection.
    pub(crate) fn on_begun(&mut self, connection: ConnectionId, id: JobId, reply: Reply) {
        let Some(job) = self.jobs.get(&id) else {
            return self.free_when_idle(connection, reply.transaction);
        };
        let session = job.session;
        let has_begun = reply.failure().is_none() && reply.transaction == TransactionStatus::Open;
        let is_of_account = self.serves_account_of(connection, session);
        if has_begun && is_of_account && self.may_get_new_work_on(connection) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.pending_begin = None;
            }
            return self.send_statement(id, connection, None);
        }
        if let Some(transaction) = self.transaction_mut(session) {
            transaction.connection = None;
        }
        self.free_when_idle(connection, reply.transaction);
        if !is_of_account {
            return self.requeue(id, KEY_MOVED, Duration::ZERO);
        }
        let failure = match reply.failure() {
            Some(failure) => failure.clone(),
            None if has_begun => Failure::new(ErrorCode::Busy, "the server is leaving"),
            None => Failure::new(
                ErrorCode::Aborted,
                "the server did not open the transaction",
            ),
        };
        self.resend_or_refuse(id, connection, &failure);
    }

    /// Handles the answer to a statement in a transaction.
    ///
    /// A statement that the server was too busy for is sent again while the transaction is open.
    pub(crate) fn on_transaction_statement(
        &mut self,
        connection: ConnectionId,
        id: JobId,
        reply: Reply,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (session, is_commit) = (job.session, job.work == Work::Commit);
        let is_busy = reply
            .failure()
            .is_some_and(|failure| failure.code == ErrorCode::Busy);
        if is_busy && reply.transaction == TransactionStatus::Open && self.can_send_again(id) {
            return self.requeue(id, "the server was busy", BUSY_PAUSE);
        }
        let status = reply.transaction;
        if let Some(transaction) = self.transaction_mut(session) {
            transaction.status = status;
            transaction.has_run = true;
        }
        if is_commit && reply.failure().is_none() {
            self.detach_transaction(session, connection, status);
            return self.complete(id, session, reply);
        }
        if status == TransactionStatus::Idle {
            // The server may have taken back variables that were set within the transaction.
            if let Some(at) = self.pool.get_mut(connection) {
                at.forget_variables();
            }
            self.detach_transaction(session, connection, status);
        }
        self.deliver(id, reply);
        self.run_queue_of_connection(connection);
    }

    /// Ends a session's transaction that has ended at its server, and frees the connection.
    ///
    /// If the transaction changed variables, those of the connection count as unknown from then on.
    pub(crate) fn detach_transaction(
        &mut self,
        session: SessionId,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        let session = self.sessions.get_mut(&session);
        let transaction = session.and_then(|session| session.transaction.take());
        if transaction.is_some_and(|transaction| transaction.has_changed_variables)
            && let Some(at) = self.pool.get_mut(connection)
        {
            at.forget_variables();
        }
        self.free_when_idle(connection, status);
    }

    /// Frees a connection unless an open transaction is bound to it or answers are outstanding.
    ///
    /// `status` is the server's transaction status after its last answer; a transaction that is
    /// still open there is rolled back first.
    pub(crate) fn free_when_idle(&mut self, id: ConnectionId, status: TransactionStatus) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        if let Purpose::Transaction(session) = connection.purpose
            && self.is_bound(session, id)
        {
            return;
        }
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        connection.purpose = Purpose::Busy;
        if !connection.awaited.is_empty() {
            return;
        }
        if status == TransactionStatus::Idle {
            self.pool.release(id);
        } else {
            connection.forget_variables();
            self.request(id, ServerRequest::Rollback, AnswerTo::Rollback);
        }
    }

    /// Returns whether a session's open transaction is bound to a connection.
    pub(crate) fn is_bound(&self, session: SessionId, connection: ConnectionId) -> bool {
        let session = self.sessions.get(&session);
        session
            .and_then(|s| s.transaction.as_ref())
            .is_some_and(|t| t.connection == Some(connection))
    }

    /// Ends a session's transaction and rolls it back at its server.
    pub(crate) fn end_transaction(&mut self, id: SessionId) {
        let session = self.sessions.get_mut(&id);
        let Some(transaction) = session.and_then(|session| session.transaction.take()) else {
            return;
        };
        self.roll_back(transaction.connection);
    }

    /// Fails a session's transaction and rolls it back at its server.
    ///
    /// The transaction stays failed until the client ends it, unless `is_over` says that its `COMMIT` was
    /// the statement that failed. A client may have sent further statements before it sees the answer,
    /// and these must not run outside their transaction.
    pub(crate) fn fail_transaction(&mut self, id: SessionId, is_over: bool) {
        if is_over {
            return self.end_transaction(id);
        }
        if let Some(transaction) = self.transaction_mut(id) {
            transaction.status = TransactionStatus::Failed;
            let connection = transaction.connection.take();
            self.roll_back(connection);
        }
    }

    /// Fails a session's transaction because its server can't continue it, and logs the cause.
    ///
    /// A running statement is answered with [`ErrorCode::Aborted`]; the outcome of a running
    /// `COMMIT` is unknown if the transaction has written. Without a running statement the
    /// transaction stays failed until the client ends it.
    pub(crate) fn abort_transaction(&mut self, id: SessionId, cause: &str) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let running = session.running;
        let line = Record::new(RecordKind::TransactionAborted, cause.into());
        self.log(Record {
            session: Some(id),
            ..line
        });
        if let Some(job) = running {
            let is_commit = self
                .jobs
                .get(&job)
                .is_some_and(|job| job.work == Work::Commit);
            if is_commit && self.has_sent_write(id) {
                return self.answer_unknown(job, cause);
            }
            return self.fail(job, Failure::new(ErrorCode::Aborted, cause));
        }
        self.fail_transaction(id, false);
    }

    /// Returns whether the client has sent a statement that writes in its session's transaction.
    pub(crate) fn has_sent_write(&self, id: SessionId) -> bool {
        let session = self.sessions.get(&id);
        session
            .and_then(|s| s.transaction.as_ref())
            .is_some_and(|t| t.has_sent_write)
    }

    /// Returns whether a statement of a session's transaction has run at its server.
    pub(crate) fn has_run(&self, id: SessionId) -> bool {
        let session = self.sessions.get(&id);
        let transaction = session.and_then(|session| session.transaction.as_ref());
        transaction.is_some_and(|transaction| transaction.has_run)
    }

    /// Rolls back the transaction on a connection; with answers outstanding, the rollback follows
    /// the last of them.
    pub(crate) fn roll_back(&mut self, connection: Option<ConnectionId>) {
        let Some(id) = connection else {
            return;
        };
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        connection.purpose = Purpose::Busy;
        connection.forget_variables();
        if connection.awaited.is_empty() {
            self.request(id, ServerRequest::Rollback, AnswerTo::Rollback);
        }
    }
}
