//! The refusals that an entry daemon gives by itself, without a home.

use std::time::Duration;

use crate::session::Running;
use crate::{NO_HOME_RETRY_AFTER, Refusal, RefusalReason, StatementKind};

/// Returns the refusal of a request whose home was lost; `None` if the request may be sent again.
pub(crate) fn lost_request_refusal(running: &Running) -> Option<Refusal> {
    if running.in_transaction {
        return Some(match running.kind {
            StatementKind::Commit => Refusal::unknown(
                RefusalReason::AnswerLost,
                "the home daemon was lost before it answered COMMIT",
            ),
            _ => Refusal::not_run(
                RefusalReason::TransactionLost,
                Some(NO_HOME_RETRY_AFTER),
                "the home daemon was lost; the transaction was rolled back",
            ),
        });
    }
    if running.has_answered {
        let detail = "the home daemon was lost in the middle of the answer";
        return Some(if running.kind.is_rolled_back_if_lost() {
            Refusal::not_run(RefusalReason::AnswerLost, Some(NO_HOME_RETRY_AFTER), detail)
        } else {
            Refusal::unknown(RefusalReason::AnswerLost, detail)
        });
    }
    if running.is_safe_to_repeat() || running.key.is_some() {
        return None;
    }
    Some(Refusal::unknown(
        RefusalReason::AnswerLost,
        "the home daemon was lost before it answered",
    ))
}

/// Returns the refusal of a request that no home answered within the allowed number of sends.
pub(crate) fn sends_exhausted(running: &Running) -> Refusal {
    let detail = format!("no home daemon answered in {} sends", running.sends);
    if running.kind.is_rolled_back_if_lost() || !running.may_have_run {
        return Refusal::not_run(RefusalReason::NoHome, Some(NO_HOME_RETRY_AFTER), &detail);
    }
    Refusal::unknown(RefusalReason::NoHome, &detail)
}

/// Returns the refusal of a request whose deadline has passed.
pub(crate) fn deadline_exceeded(running: &Running) -> Refusal {
    let detail = "no answer came within the deadline";
    if running.kind.is_rolled_back_if_lost() || !running.may_have_run {
        return Refusal::not_run(RefusalReason::Deadline, Some(NO_HOME_RETRY_AFTER), detail);
    }
    Refusal::unknown(RefusalReason::Deadline, detail)
}

/// Returns the refusal of sessions and requests at a daemon that is being stopped.
pub(crate) fn draining() -> Refusal {
    Refusal::not_run(
        RefusalReason::Draining,
        Some(Duration::ZERO),
        "this daemon is being stopped: connect again to reach another one",
    )
}

/// Returns the refusal of a request that still runs when the time limit of a graceful stop passes.
pub(crate) fn stop_bound_exceeded(running: &Running) -> Refusal {
    let detail = "the time limit of this daemon's stop passed before the answer came";
    let is_statement = running.in_transaction && running.kind != StatementKind::Commit;
    if is_statement {
        let reason = RefusalReason::TransactionLost;
        return Refusal::not_run(reason, Some(Duration::ZERO), detail);
    }
    if running.kind.is_rolled_back_if_lost() || !running.may_have_run {
        return Refusal::not_run(RefusalReason::Draining, Some(Duration::ZERO), detail);
    }
    Refusal::unknown(RefusalReason::AnswerLost, detail)
}

/// Returns the reason for closing a session that is left when the time limit of a graceful stop
/// passes.
pub(crate) fn closed_at_stop_bound() -> Refusal {
    Refusal::not_run(
        RefusalReason::Draining,
        Some(Duration::ZERO),
        "this daemon's stop reached its time limit: an open transaction is rolled back; connect again",
    )
}

/// Returns the refusal of a client that breaks the order of the protocol.
pub(crate) fn statement_out_of_order() -> Refusal {
    Refusal::not_run(
        RefusalReason::Unsupported,
        None,
        "a statement was sent before the previous one was answered",
    )
}
