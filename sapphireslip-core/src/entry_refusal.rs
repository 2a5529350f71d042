//! The refusals that an entry daemon gives of its own.

use std::time::Duration;

use crate::session::Running;
use crate::{NO_HOME_RETRY_AFTER, Refusal, RefusalReason, StatementKind};

/// Returns the final answer to a request whose home was lost, or none if it may be sent again.
pub(crate) fn lost_request_refusal(running: &Running) -> Option<Refusal> {
    if running.in_transaction {
        return Some(match running.kind {
            StatementKind::Commit => Refusal::unknown(
                RefusalReason::AnswerLost,
                "the home was lost before it answered COMMIT",
            ),
            _ => Refusal::not_run(
                RefusalReason::TransactionLost,
                Some(NO_HOME_RETRY_AFTER),
                "the home was lost; the transaction was rolled back",
            ),
        });
    }
    if running.has_answered {
        let detail = "the home was lost in the middle of the answer";
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
        "the home was lost before it answered",
    ))
}

/// Returns the answer to a request that no home took in as many sends as are allowed.
pub(crate) fn sends_exhausted(running: &Running) -> Refusal {
    let detail = format!("no home answered in {} sends", running.sends);
    if running.kind.is_rolled_back_if_lost() || !running.may_have_run {
        return Refusal::not_run(RefusalReason::NoHome, Some(NO_HOME_RETRY_AFTER), &detail);
    }
    Refusal::unknown(RefusalReason::NoHome, &detail)
}

/// Returns the answer to a request whose deadline has passed.
pub(crate) fn deadline_exceeded(running: &Running) -> Refusal {
    let detail = "no answer came within the deadline";
    if running.kind.is_rolled_back_if_lost() || !running.may_have_run {
        return Refusal::not_run(RefusalReason::Deadline, Some(NO_HOME_RETRY_AFTER), detail);
    }
    Refusal::unknown(RefusalReason::Deadline, detail)
}

/// Returns the answer to sessions and requests of a daemon that is being stopped.
pub(crate) fn draining() -> Refusal {
    Refusal::not_run(
        RefusalReason::Draining,
        Some(Duration::ZERO),
        "this daemon is being stopped: connect again, another one answers",
    )
}

/// Returns the answer to a request that is cut at the bound of a stop.
pub(crate) fn stop_bound_exceeded(running: &Running) -> Refusal {
    let detail = "the stop's bound passed before the answer came";
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

/// Returns the last word to a session whose transaction is cut at the bound of a stop.
pub(crate) fn closed_at_stop_bound() -> Refusal {
    Refusal::not_run(
        RefusalReason::Draining,
        Some(Duration::ZERO),
        "this daemon has stopped at its bound: an open transaction is rolled back; connect again",
    )
}

/// Returns the answer to a caller that breaks the order of the protocol.
pub(crate) fn statement_out_of_order() -> Refusal {
    Refusal::not_run(
        RefusalReason::Unsupported,
        None,
        "a statement came before the one before it was answered",
    )
}
