//! Clients of a simulated fleet that run transactions, with pauses between their statements.

use sapphireslip_core::{SessionId, Text};
use sapphireslip_lead::Reply;

use super::Fleet;

/// The most transactions that are open at a time.
const OPEN_MAX: usize = 9;

/// From when on clients run transactions, in milliseconds: daemons that have just started let sessions
/// wait, and a real client sends nothing until its session is open.
const FIRST_MILLIS: u64 = 2_000;

/// A client's transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    /// The daemon that serves the client.
    daemon: usize,
    session: SessionId,
    /// When its first statement was sent, in milliseconds.
    began: u64,
    /// The statements that follow, the next one last.
    left: Vec<&'static str>,
    /// When the next one is sent, in milliseconds; none while an answer is awaited.
    next: Option<u64>,
    /// Whether the client sends the next statement without waiting for an answer.
    is_pipelined: bool,
}

impl Fleet {
    /// Begins and continues transactions.
    pub(super) fn continue_transactions(&mut self) {
        let is_more = self.transactions.len() < OPEN_MAX && self.millis >= FIRST_MILLIS;
        if is_more && self.random(20) == 0 {
            let daemon = usize::try_from(self.random(3)).expect("small");
            let session = self.open_session(daemon);
            let is_pipelined = self.random(4) == 0;
            self.transactions.push(Transaction {
                daemon,
                session,
                began: self.millis,
                left: vec![
                    "COMMIT",
                    "READ y",
                    "WRITE y 1",
                    "READ y",
                    "WRITE x 1",
                    "BEGIN",
                ],
                next: Some(self.millis),
                is_pipelined,
            });
        }
        let now = self.millis;
        let mut due = std::mem::take(&mut self.transactions);
        for transaction in &mut due {
            if transaction.next.is_some_and(|next| next <= now) {
                let text = transaction.left.pop().unwrap_or("ROLLBACK");
                let pause = 20 + self.random(400);
                transaction.next = transaction.is_pipelined.then_some(now + pause);
                let is_commit = text == "COMMIT";
                let id = self.send_on(transaction.daemon, transaction.session, text, is_commit);
                if !is_commit {
                    // What a transaction reads need not be newer than its first byte.
                    self.history
                        .asked
                        .insert(Text::clone(&id), transaction.began);
                    self.history.inner.insert(id);
                }
            }
        }
        due.retain(|transaction| transaction.next.is_none() || !transaction.left.is_empty());
        due.append(&mut self.transactions);
        self.transactions = due;
    }

    /// Lets a client see an answer: it goes on, or ends its session after a failure.
    pub(super) fn see_answer(&mut self, daemon: usize, session: SessionId, reply: &Reply) {
        let pause = 20 + self.random(400);
        let next = self.millis + pause;
        let has_failed = reply.failure().is_some();
        self.transactions.retain_mut(|transaction| {
            if (transaction.daemon, transaction.session) != (daemon, session) {
                return true;
            }
            transaction.next = Some(next);
            transaction.is_pipelined || !(has_failed || transaction.left.is_empty())
        });
    }

    /// Returns a description of each statement of a transaction that was committed on its own.
    pub(super) fn torn_transactions(&self) -> Vec<String> {
        let is_torn = |id: &&Text| self.history.committed.contains_key(*id);
        let torn = self.history.inner.iter().filter(is_torn);
        torn.map(|id| format!("{id} of a transaction was committed alone"))
            .collect()
    }
}
