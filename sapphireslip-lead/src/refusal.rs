//! Failures that this daemon answers itself: refusals with a retry time, and unknown outcomes.

use std::time::Duration;

use crate::job::{JobId, Work};
use crate::state::State;
use crate::{ErrorCode, Failure, Record, RecordKind, Reply};

/// Retry time while the primary is being replaced: about the length of a handover.
pub(crate) const RETRY_HANDOVER: Duration = Duration::from_millis(400);

/// Retry time when no server or connection was free: about the length of one transaction.
pub(crate) const RETRY_BUSY: Duration = Duration::from_millis(100);

/// Retry time when the daemon is stopping or does not know the configuration: another daemon can
/// serve the client at once.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::from_millis(10);

/// Returns a refusal that promises that nothing was run, with the cause and the retry time.
pub(crate) fn busy(cause: &str, retry_after: Duration) -> Failure {
    let text = format!("{cause}; retry after {} ms", retry_after.as_millis());
    Failure::new(ErrorCode::Busy, &text)
}

impl State {
    /// Refuses a statement that has not run and will not run.
    pub(crate) fn refuse(&mut self, id: JobId, cause: &str, retry_after: Duration) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let detail = format!(
            "{cause}; waited {} ms, sent {} times, retry after {} ms",
            self.now.since(job.arrived).as_millis(),
            job.send_count,
            retry_after.as_millis(),
        );
        let line = Record::new(RecordKind::RequestRefused, detail.into())
            .service(&job.service)
            .request(job.session, &job.query.id);
        self.log(line);
        self.fail(id, busy(cause, retry_after));
    }

    /// Answers a statement with [`ErrorCode::InDoubt`]: it is unknown whether it took effect.
    pub(crate) fn answer_unknown(&mut self, id: JobId, cause: &str) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let detail = format!(
            "{cause}; after {} ms",
            self.now.since(job.arrived).as_millis()
        );
        let line = Record::new(RecordKind::RequestUnknown, detail.into())
            .service(&job.service)
            .request(job.session, &job.query.id);
        self.log(line);
        self.fail(id, Failure::new(ErrorCode::InDoubt, cause));
    }

    /// Answers a statement with a failure of this daemon, and fails the statement's transaction.
    pub(crate) fn fail(&mut self, id: JobId, failure: Failure) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let session = job.session;
        if job.in_transaction {
            let is_commit = job.work == Work::Commit;
            self.fail_transaction(session, is_commit);
        }
        let status = self
            .sessions
            .get(&session)
            .map(crate::session::Session::status);
        let status = status.unwrap_or(sapphireslip_core::TransactionStatus::Idle);
        self.deliver(id, Reply::failed(failure, status));
    }
}
