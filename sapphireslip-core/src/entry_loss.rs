//! What an entry daemon does with requests whose home is lost, or whose time is up.

use std::time::Duration;

use crate::entry_refusal::{deadline_exceeded, lost_request_refusal, sends_exhausted};
use crate::session::{Running, Session};
use crate::{
    Cx, Entry, Fleet, PeerMessage, RESEND_DELAY_BASE, SENDS_MAX, SessionId, StatementKind,
    TransactionStatus, VmId, classify,
};

/// How late a deadline must be noticed for this daemon to have stood still: timers fire within some
/// milliseconds.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// How long the events that came meanwhile then have: some turns of a busy scheduler.
const STALL_GRACE: Duration = Duration::from_millis(20);

impl Entry {
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

    /// Decides what becomes of a request whose home was lost or skipped a part of its answer.
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

    /// Sends a request again after a wait that doubles, if its sends and its time are not used up.
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

    /// Waits a moment longer, once, if this daemon stood still past a deadline: the answer of the
    /// home, which gives up sooner, is then among the events that wait.
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

    /// Has the home roll back the transaction of a request that is given up.
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

    /// Lets a refused COMMIT end a transaction that was lost.
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
