//! The graceful stop: callers go to other daemons, open transactions get half of the time.

use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, data};

use crate::refusal::{RETRY_ELSEWHERE, busy};
use crate::session::Session;
use crate::state::State;
use crate::{Effect, Record, RecordKind, StoreWrite};

/// How long new connections are still taken: the platform's balancer notices within two of its
/// checks, one a second.
const BALANCER_TIME: Duration = Duration::from_millis(2_500);

/// How long a session without work must have been quiet to be closed: a few round trips.
const CALLER_PAUSE: Duration = Duration::from_millis(150);

/// The time that is left for the last effects before the process would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

data! {
    /// A stop.
    pub(crate) struct Drain {
        began: Instant,
        grace: Duration,
        has_cut: bool,
        is_over: bool,
    }
}

impl State {
    /// Returns whether the daemon is stopping.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.drain.is_some()
    }

    /// Returns whether the stop is over and the process about to end.
    pub(crate) fn has_left(&self) -> bool {
        self.drain.as_ref().is_some_and(|drain| drain.is_over)
    }

    pub(crate) fn begin_drain(&mut self, grace: Duration) {
        if self.drain.is_some() {
            return;
        }
        let detail = format!(
            "{} sessions open, grace {} ms",
            self.sessions.len(),
            grace.as_millis()
        );
        self.log(Record::new(RecordKind::Drain, detail.into()));
        self.drain = Some(Drain {
            began: self.now,
            grace,
            has_cut: false,
            is_over: false,
        });
        self.close_idle_sessions();
    }

    /// Closes the sessions that have nothing at work and whose callers pause: one that has just
    /// been answered is about to send its next statement.
    fn close_idle_sessions(&mut self) {
        let is_resting =
            |session: &Session| session.is_idle() && self.now.since(session.heard) >= CALLER_PAUSE;
        let resting: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_resting(session))
            .map(|(id, _)| *id)
            .collect();
        for id in resting {
            self.close_when_idle(id);
        }
        for id in self.relays.resting(self.now, CALLER_PAUSE) {
            self.relays.mark_closing(id);
            self.effects.push(Effect::CloseWhenIdle { session: id });
        }
    }

    fn give_duty_back(&mut self) {
        if let Some(duty) = self.fencing_token() {
            self.coordinator.resigned_row = Some(duty);
            let write = StoreWrite::Duty {
                record: None,
                duty,
                ended: None,
            };
            self.effects.push(Effect::Write(write));
        }
    }

    /// Ends what is left as the grace runs out, and the process once nothing is.
    pub(crate) fn go_on_draining(&mut self) {
        let Some(drain) = self.drain.clone().filter(|drain| !drain.is_over) else {
            return;
        };
        let passed = self.now.since(drain.began);
        self.close_idle_sessions();
        let has_time = passed + EXIT_MARGIN < drain.grace;
        if passed * 2 >= drain.grace && !drain.has_cut {
            self.cut_resting_transactions();
        }
        let is_empty = self.sessions.is_empty() && self.relays.is_empty();
        let is_done = is_empty && passed >= BALANCER_TIME;
        if is_done || !has_time {
            self.leave();
        }
    }

    /// Ends a session that rests; a statement that its caller has just sent is answered first.
    pub(crate) fn close_when_idle(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_closing = true;
            self.effects.push(Effect::CloseWhenIdle { session: id });
        }
    }

    fn cut_resting_transactions(&mut self) {
        if let Some(drain) = self.drain.as_mut() {
            drain.has_cut = true;
        }
        for id in self.relays.resting_in_transaction() {
            self.close_relay(id);
        }
        let open: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in open {
            let rests =
                |session: &Session| session.running.is_none() && session.transaction.is_some();
            if self.sessions.get(&id).is_some_and(rests) {
                self.end_transaction(id);
                self.sessions.remove(&id);
                let failure = Some(busy("the daemon is stopping", RETRY_ELSEWHERE));
                self.effects.push(Effect::CloseSession {
                    session: id,
                    failure,
                });
            }
        }
    }

    fn leave(&mut self) {
        if let Some(drain) = self.drain.as_mut() {
            drain.is_over = true;
        }
        let detail = format!("leaves with {} sessions open", self.sessions.len());
        self.log(Record::new(RecordKind::Drain, detail.into()));
        self.give_duty_back();
        if let Some(permit) = self.permission.row_version {
            let write = StoreWrite::DropPermit {
                vm: self.local.vm.clone(),
                permit,
            };
            self.effects.push(Effect::Write(write));
        }
        self.effects.push(Effect::Exit);
    }
}
