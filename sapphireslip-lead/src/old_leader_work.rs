//! The end of work at leaders that have been replaced.

use std::time::Duration;

use sapphireslip_core::SessionId;

use crate::connection::{Connection, Purpose};
use crate::state::State;

impl State {
    /// Ends the transactions and writes at replaced leaders whose replacement this daemon learned of
    /// at least `grace` ago; returns whether none is left.
    pub(crate) fn stop_work_at_old_leaders(&mut self, grace: Duration) -> bool {
        let mut has_stopped = true;
        for session in self.sessions_at_old_leaders() {
            let service = self
                .sessions
                .get(&session)
                .and_then(|s| s.transaction.as_ref());
            let changed = service.and_then(|t| self.leaders.changed_at(&t.route.service));
            if changed.is_some_and(|at| self.now.since(at) < grace) {
                has_stopped = false;
            } else {
                self.abort_transaction(session, "the primary is being replaced");
            }
        }
        let writes: Vec<_> = self.writes_at_old_leaders();
        for (job, at) in writes {
            if self.now.since(at) < grace {
                has_stopped = false;
            } else {
                self.answer_unknown(job, "the primary was replaced before it answered");
            }
        }
        has_stopped
    }

    /// Returns the sessions with an open transaction that may write at a replaced leader.
    fn sessions_at_old_leaders(&self) -> Vec<SessionId> {
        let of_transaction = |connection: &Connection| {
            let Purpose::Transaction(session) = connection.purpose else {
                return None;
            };
            let transaction = self.sessions.get(&session)?.transaction.as_ref()?;
            let (service, term) = (&transaction.route.service, transaction.term);
            let is_old = self.leaders.has_replaced(service, &connection.server, term);
            (!transaction.reads_only && is_old).then_some(session)
        };
        self.pool.all().filter_map(of_transaction).collect()
    }
}
