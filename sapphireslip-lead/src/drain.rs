//! Graceful stop: closes sessions as they become idle. After half of the grace period open transactions
//! end, and the next statement of each session that is left is refused.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, data};

use crate::refusal::{RETRY_ELSEWHERE, busy};
use crate::session::Session;
use crate::state::State;
use crate::{Effect, Record, RecordKind, StoreWrite};

/// How long the daemon at least still accepts new connections, within its grace period: the
/// platform's load balancer notices the stop within two of its checks, which run once per second.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_500);

/// How long a session must have been idle before it is closed: a few round trips, so that a client
/// that has just been answered can send its next statement.
pub(crate) const CLIENT_PAUSE: Duration = Duration::from_millis(150);

/// Time reserved for the last effects before the process is killed at the end of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The cause that clients are told.
pub(crate) const STOPPING: &str = "the daemon is stopping";

data! {
    /// A graceful stop in progress.
    pub(crate) struct Drain {
        /// When the process was asked to stop.
        started: Instant,
        /// The time from `started` until the process is killed.
        grace: Duration,
        /// The sessions whose next statement is refused.
        refused: BTreeSet<SessionId>,
        /// Whether the daemon has asked for the process to exit.
        is_finished: bool,
    }
}

impl State {
    /// Returns whether the daemon was asked to stop.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.drain.is_some()
    }

    /// Returns whether the stop is complete and the process is about to exit.
    pub(crate) fn is_drain_finished(&self) -> bool {
        self.drain.as_ref().is_some_and(|drain| drain.is_finished)
    }

    /// Starts the stop; `grace` is the time until the process is killed. Later calls have no
    /// effect.
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
            started: self.now,
            grace,
            refused: BTreeSet::new(),
            is_finished: false,
        });
        self.close_idle_sessions(CLIENT_PAUSE);
    }

    /// Closes the sessions, served here or forwarded, that have been idle for `pause`.
    fn close_idle_sessions(&mut self, pause: Duration) {
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_idle_for(self.now, pause))
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.close_when_idle(id);
        }
        for id in self.relays.idle(self.now, pause) {
            self.relays.mark_closing(id);
            self.effects.push(Effect::CloseWhenIdle { session: id });
        }
    }

    /// Gives up the coordinator's role in the store if this daemon holds it.
    fn release_coordinator_role(&mut self) {
        if let Some(coordinator_version) = self.fencing_token() {
            self.coordinator.resigned_row = Some(coordinator_version);
            let write = StoreWrite::SetCoordinator {
                record: None,
                coordinator_version,
                ended: None,
            };
            self.effects.push(Effect::Write(write));
        }
    }

    /// Returns whether the daemon takes no more statements: half of the grace period is over, the rest
    /// of which is for those that run.
    pub(crate) fn is_past_last_statement(&self) -> bool {
        self.drain
            .as_ref()
            .is_some_and(|drain| self.now.since(drain.started) * 2 >= drain.grace)
    }

    /// Advances the stop: closes idle sessions, and after half of the grace period idle transactions
    /// too, and has the next statement of each session that is left refused. Exits once no session is
    /// left and the load balancer has noticed, or [`EXIT_MARGIN`] before the end of the grace period.
    pub(crate) fn continue_drain(&mut self) {
        let Some(drain) = self.drain.as_ref().filter(|drain| !drain.is_finished) else {
            return;
        };
        let passed = self.now.since(drain.started);
        let has_time = passed + EXIT_MARGIN < drain.grace;
        self.close_idle_sessions(CLIENT_PAUSE);
        if self.is_past_last_statement() {
            self.close_idle_transactions(CLIENT_PAUSE);
            self.refuse_next_statements();
        }
        let is_empty = self.sessions.is_empty() && self.relays.is_empty();
        let is_done = is_empty && passed >= BALANCER_DETECTION_TIME;
        if is_done || !has_time {
            self.finish_drain();
        }
    }

    /// Has the next statement of each open session refused.
    ///
    /// A client that sends its next statement at once after each answer is never found idle, and the
    /// exit would cut off a statement that runs.
    fn refuse_next_statements(&mut self) {
        let Some(drain) = self.drain.as_mut() else {
            return;
        };
        let open = self.sessions.keys().chain(self.relays.open());
        let fresh: Vec<SessionId> = open
            .filter(|id| !drain.refused.contains(id))
            .copied()
            .collect();
        if fresh.is_empty() {
            return;
        }
        drain.refused.extend(&fresh);
        let detail = format!("the next statement of {} sessions is refused", fresh.len());
        self.log(Record::new(RecordKind::Drain, detail.into()));
        for session in fresh {
            let failure = busy(STOPPING, RETRY_ELSEWHERE);
            self.effects.push(Effect::RefuseNext { session, failure });
        }
    }

    /// Closes an idle session; a statement that its client has just sent is answered first.
    pub(crate) fn close_when_idle(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_closing = true;
            self.effects.push(Effect::CloseWhenIdle { session: id });
        }
    }

    /// Closes the sessions with an open transaction that have had no running statement for `pause`.
    fn close_idle_transactions(&mut self, pause: Duration) {
        for id in self.relays.idle_in_transaction(self.now, pause) {
            self.close_relay(id);
        }
        let is_idle_in_transaction = |session: &Session| {
            session.running.is_none()
                && session.transaction.is_some()
                && self.now.since(session.last_answer) >= pause
        };
        let sessions = self.sessions.iter();
        let idle: Vec<SessionId> = sessions
            .filter(|(_, session)| is_idle_in_transaction(session))
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.end_transaction(id);
            self.remove_session(id);
            let failure = Some(busy(STOPPING, RETRY_ELSEWHERE));
            self.effects.push(Effect::CloseSession {
                session: id,
                failure,
            });
        }
    }

    /// Gives up the coordinator's role and the permission, and asks for the process to exit.
    fn finish_drain(&mut self) {
        if let Some(drain) = self.drain.as_mut() {
            drain.is_finished = true;
        }
        let detail = format!("exiting with {} sessions open", self.sessions.len());
        self.log(Record::new(RecordKind::Drain, detail.into()));
        self.release_coordinator_role();
        self.rate_limits.give_up(self.now);
        self.rate_shares.end();
        if let Some(permission_version) = self.permission.stored_version {
            let write = StoreWrite::DropPermission {
                vm: self.local.vm.clone(),
                permission_version,
            };
            self.effects.push(Effect::Write(write));
        }
        self.effects.push(Effect::Exit);
    }
}
