//! How the fake daemon's sessions end: once they are idle, or with the refusal of a statement.

use std::collections::{BTreeMap, BTreeSet};

use sapphireslip_core::{SessionId, TransactionStatus};
use sapphireslip_lead::{Failure, Reply};

/// The sessions that are to be closed, and the statements that they wait for.
#[derive(Debug, Default)]
pub struct Closing {
    /// The number of unanswered statements of each session.
    unanswered: BTreeMap<SessionId, usize>,
    /// The sessions that are to be closed once their statements are answered.
    when_idle: BTreeSet<SessionId>,
    /// The sessions whose next statement is to be refused, with the failure.
    refused_next: BTreeMap<SessionId, Failure>,
    /// Those of them that have ended their transaction since.
    ended_transaction: BTreeSet<SessionId>,
}

impl Closing {
    /// Counts a statement of a session, or returns its refusal, after which the session is closed.
    pub fn refusal(&mut self, session: SessionId, text: &str) -> Option<Reply> {
        if let Some(failure) = self.refused_next.get(&session)
            && !self.is_unanswered(session)
        {
            let ends = ["COMMIT", "ROLLBACK"].contains(&text);
            if !ends || !self.ended_transaction.insert(session) {
                return Some(Reply::failed(failure.clone(), TransactionStatus::Idle));
            }
        }
        *self.unanswered.entry(session).or_default() += 1;
        None
    }

    /// Counts an answer; returns whether the session is to be closed now.
    pub fn note_answer(&mut self, session: SessionId) -> bool {
        if let Some(unanswered) = self.unanswered.get_mut(&session) {
            *unanswered = unanswered.saturating_sub(1);
        }
        self.is_due(session)
    }

    /// Has a session closed once its statements are answered; returns whether that is now.
    pub fn close_when_idle(&mut self, session: SessionId) -> bool {
        self.when_idle.insert(session);
        self.is_due(session)
    }

    /// Has the next statement of a session refused, unless that ends a transaction.
    pub fn refuse_next(&mut self, session: SessionId, failure: Failure) {
        self.refused_next.insert(session, failure);
    }

    fn is_unanswered(&self, session: SessionId) -> bool {
        self.unanswered.get(&session).is_some_and(|n| *n > 0)
    }

    fn is_due(&mut self, session: SessionId) -> bool {
        !self.is_unanswered(session) && self.when_idle.remove(&session)
    }
}
