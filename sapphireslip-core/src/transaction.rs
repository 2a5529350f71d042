//! Open transactions of sessions, each pinned to a connection of its own.

use std::time::Duration;

use crate::job::Transaction;
use crate::link::{HomeIds, Link, LinkState};
use crate::loss::Retry;
use crate::{
    ConnectionId, Cx, Home, Incarnation, Instant, RefusalReason, RequestId, SessionId, SessionKey,
    StatementKind, TransactionStatus, VmId,
};

/// How long a transaction may be idle between two statements before it is rolled back.
pub const TRANSACTION_IDLE_MAX: Duration = Duration::from_secs(5);

impl Home {
    /// Sends a statement on the connection of its session's transaction, or refuses it if there is
    /// no transaction or another statement is still running.
    pub(crate) fn continue_transaction(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        id: &RequestId,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(transaction) = self.transactions.get(&job.session_key()) else {
            self.refuse_without_transaction(cx, id);
            return;
        };
        let connection = transaction.connection;
        let state = self.links.get(&connection).map(|link| &link.state);
        if !matches!(state, Some(LinkState::Pinned(_))) {
            let detail = "another statement of the transaction is still running";
            self.refuse(cx, id, RefusalReason::Unsupported, detail);
            return;
        }
        self.start_on(cx, ids, id, connection);
    }

    /// Refuses a statement whose transaction is not open here. A keyed commit that was sent before
    /// may have run at another home, so its key is claimed to learn that.
    fn refuse_without_transaction(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_commit = job.request.kind == StatementKind::Commit;
        if job.request.resent && is_commit && job.keyed.is_some() {
            self.resolve(cx, id);
            return;
        }
        let detail = "the session has no open transaction at this home";
        self.refuse(cx, id, RefusalReason::TransactionLost, detail);
    }

    /// Pins a connection to the session of a request; a connection pinned to it before is closed.
    pub(crate) fn pin(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        let Some(job) = self.jobs.get(id) else {
            self.close(cx, connection);
            return;
        };
        let session = job.session_key();
        if let Some(link) = self.links.get_mut(&connection) {
            link.state = LinkState::Pinned(session.clone());
        }
        let transaction = Transaction {
            connection,
            status,
            last_statement_ended: cx.now.instant,
        };
        let earlier = self.transactions.insert(session, transaction);
        if let Some(earlier) = earlier.filter(|earlier| earlier.connection != connection) {
            self.close(cx, earlier.connection);
        }
    }

    /// Unpins a connection from the session of a request; returns whether it was pinned to it.
    pub(crate) fn unpin(&mut self, id: &RequestId, connection: ConnectionId) -> bool {
        let Some(session) = self.jobs.get(id).map(|job| job.session_key()) else {
            return false;
        };
        let transaction = self.transactions.get(&session);
        let is_pinned = transaction.is_some_and(|t| t.connection == connection);
        if is_pinned {
            self.transactions.remove(&session);
        }
        is_pinned
    }

    /// Rolls back a session's transaction, if it has one, by closing its connection; a statement
    /// that runs on it is ended.
    pub(crate) fn close_transaction(&mut self, cx: &mut Cx<'_>, session: &SessionKey) {
        let Some(transaction) = self.transactions.remove(session) else {
            return;
        };
        let connection = transaction.connection;
        let link = self.links.get(&connection).cloned();
        self.close(cx, connection);
        let Some(Link { server, state }) = link else {
            return;
        };
        if let LinkState::Working(work) = state {
            let reason = RefusalReason::TransactionLost;
            self.handle_loss(cx, &work.request, &server, Retry::Never, reason);
        }
    }

    /// Cleans up after a session that its client closed.
    pub(crate) fn on_session_closed(
        &mut self,
        cx: &mut Cx<'_>,
        entry: &VmId,
        incarnation: Incarnation,
        session: SessionId,
    ) {
        let key = SessionKey {
            entry: entry.clone(),
            incarnation,
            session,
        };
        self.close_sessions(cx, |k| *k == key);
    }

    /// Cleans up after all sessions of an entry daemon that is lost.
    pub(crate) fn on_entry_lost(&mut self, cx: &mut Cx<'_>, entry: &VmId) {
        self.close_sessions(cx, |k| k.entry == *entry);
    }

    /// Cancels the queued requests and rolls back the transactions of the sessions for which
    /// `is_gone` returns true; a commit that is running is left to finish.
    fn close_sessions(&mut self, cx: &mut Cx<'_>, is_gone: impl Fn(&SessionKey) -> bool) {
        let queued: Vec<_> = self
            .queue
            .ids()
            .filter(|id| self.jobs.get(id).is_some_and(|j| is_gone(&j.session_key())))
            .cloned()
            .collect();
        for id in queued {
            self.cancel(cx, &id);
        }
        let open: Vec<_> = self
            .transactions
            .iter()
            .filter(|(key, transaction)| {
                is_gone(key) && !self.is_committing(transaction.connection)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for session in open {
            self.close_transaction(cx, &session);
        }
    }

    /// Returns whether a connection is running a commit.
    fn is_committing(&self, connection: ConnectionId) -> bool {
        let Some(LinkState::Working(work)) = self.links.get(&connection).map(|link| &link.state)
        else {
            return false;
        };
        let job = self.jobs.get(&work.request);
        job.is_some_and(|job| job.request.kind == StatementKind::Commit)
    }

    /// Rolls back the transactions that have been idle for [`TRANSACTION_IDLE_MAX`].
    pub(crate) fn close_idle_transactions(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        let idle: Vec<_> = self
            .transactions
            .iter()
            .filter(|(_, t)| self.is_between_statements(t))
            .filter(|(_, t)| now.since(t.last_statement_ended) >= TRANSACTION_IDLE_MAX)
            .map(|(session, _)| session.clone())
            .collect();
        for session in idle {
            self.close_transaction(cx, &session);
        }
    }

    /// Returns when the next idle transaction is to be rolled back.
    pub(crate) fn next_transaction_check(&self) -> Option<Instant> {
        self.transactions
            .values()
            .filter(|transaction| self.is_between_statements(transaction))
            .map(|transaction| transaction.last_statement_ended + TRANSACTION_IDLE_MAX)
            .min()
    }

    /// Returns whether a transaction has no statement running.
    fn is_between_statements(&self, transaction: &Transaction) -> bool {
        let link = self.links.get(&transaction.connection);
        matches!(link.map(|l| &l.state), Some(LinkState::Pinned(_)))
    }
}
