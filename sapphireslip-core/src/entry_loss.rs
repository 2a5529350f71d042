//! Handles requests at their entry daemon whose home is lost or whose deadline has passed.

use std::time::Duration;

use crate::entry_refusal::{deadline_exceeded, lost_request_refusal, sends_exhausted};
use crate::session::{Running, Session};
use crate::{
    Cx, Entry, Fleet, PeerMessage, RESEND_DELAY_BASE, SENDS_MAX, SessionId, StatementKind,
    TransactionStatus, VmId, classify,
};

/// How late a deadline must be noticed for this daemon to have stalled; timers usually fire within
/// a few milliseconds.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// How long an overdue request waits after a stall, so that the events that arrived meanwhile are
/// handled first; enough for a busy scheduler to run them.
const STALL_GRACE: Duration = Duration::from_millis(20);

impl Entry {
    /// Handles the loss of a peer: marks the transactions that it holds as lost, and resends or
    /// refuses the requests that it runs.
    pub(crate) fn on_peer_lost(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        let is_waiting_there = |s: &Session| {
            let waits = |r: &Running| r.home.as_ref() == Some(vm) && r.next_send.is_none();
            s.running.as_ref().is_some_and(waits)
        };
        let ids = |is_affected: &dyn Fn(&Session) -> bool| -> Vec<SessionId> {
            self.sessions
                .values()
                .filter(|s| is_affected(s))
                .map(|s| s.id)
                .collect()
        };
        let running = ids(&is_waiting_there);
        let open = ids(&|s| s.transaction_home.as_ref() == Some(vm));
        for id in open {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.lose_transaction();
            }
        }
        for id in running {
            self.on_request_lost(cx, id);
        }
    }

    /// Resends or refuses a request whose home was lost or skipped a part of its answer.
    pub(crate) fn on_request_lost(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(running) = session.running.as_mut() else {
            return;
        };
        running.lost_home = running.home.clone();
        match lost_request_refusal(running) {
            Some(refusal) => {
                session.abandon_transaction();
                self.finish(cx, id, Some(refusal));
            }
            None => self.resend_later(cx, id),
        }
    }

    /// Schedules another send of a request after a delay that doubles with each send. Refuses the
    /// request if its sends are used up or its deadline would pass first.
    pub(crate) fn resend_later(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(running) = session.running.as_mut() else {
            return;
        };
        let wait = RESEND_DELAY_BASE * 2_u32.pow(running.sends.min(SENDS_MAX) - 1);
        let at = cx.now.instant + cx.random.jitter(wait);
        if running.sends >= SENDS_MAX || at >= running.deadline {
            let refusal = sends_exhausted(running);
            session.abandon_transaction();
            return self.finish(cx, id, Some(refusal));
        }
        let before = running.due();
        running.next_send = Some(at);
        running.next_part = 0;
        let running = running.clone();
        self.due.remove(before, id);
        self.schedule(cx, &running, id);
    }

    /// Refuses the requests whose deadline has passed and sends those again that are due for it.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>) {
        while let Some(id) = self.due.pop(cx.now.instant) {
            let Some(running) = self.sessions.get(&id).and_then(|s| s.running.as_ref()) else {
                continue;
            };
            let running = running.clone();
            if self.grants_grace(cx, &running, id) {
                continue;
            }
            if running.deadline <= cx.now.instant {
                self.on_cancel(cx, id);
                self.roll_back_transaction(cx, id);
                self.finish(cx, id, Some(deadline_exceeded(&running)));
                continue;
            }
            if running.next_send.is_some_and(|at| at <= cx.now.instant) {
                self.forward(cx, fleet, id);
                self.due.insert(running.deadline, id);
                cx.wake_at(running.deadline);
            }
        }
    }

    /// Lets an overdue request wait for [`STALL_GRACE`], once, if this daemon stalled past the
    /// deadline, and returns whether it does. The home gives up before the deadline, so its answer
    /// is then likely among the events that are still to be handled.
    fn grants_grace(&mut self, cx: &mut Cx<'_>, running: &Running, id: SessionId) -> bool {
        let now = cx.now.instant;
        if running.has_had_grace || now < running.deadline + STALL_THRESHOLD {
            return false;
        }
        if let Some(session) = self.sessions.get_mut(&id)
            && let Some(running) = session.running.as_mut()
        {
            running.has_had_grace = true;
        }
        self.due.insert(now + STALL_GRACE, id);
        cx.wake_at(now + STALL_GRACE);
        true
    }

    /// Tells the home to roll back the transaction of a request that is given up.
    fn roll_back_transaction(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let home = session.running.as_ref().and_then(|r| r.home.clone());
        if !session.abandon_transaction() {
            return;
        }
        let incarnation = cx.local.incarnation;
        if let Some(home) = home {
            cx.send(
                home,
                PeerMessage::SessionClosed {
                    incarnation,
                    session: id,
                },
            );
        }
    }

    /// Ends a lost transaction if the refused statement is a COMMIT.
    pub(crate) fn end_lost_transaction(&mut self, id: SessionId, text: &str) {
        let is_commit = classify(text).is_ok_and(|kind| kind == StatementKind::Commit);
        if let Some(session) = self.sessions.get_mut(&id)
            && is_commit
            && session.has_lost_transaction()
        {
            session.transaction = TransactionStatus::Idle;
        }
    }
}
