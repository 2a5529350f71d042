//! A home's knowledge of one backend server: its last status and the records that it has held.

use std::collections::BTreeMap;

use crate::derives::data;
use crate::{
    CallId, FAILURES_UNTIL_DOWN, Instant, Position, SILENCE_UNTIL_DOWN, ServerRole, ServerStatus,
    Term, TermPosition, WATCH_RETRY,
};

/// The maximum number of terms for which a server's held position is remembered; the oldest are
/// dropped.
pub const HELD_TERMS_MAX: usize = 8;

data! {
    /// What a home knows of one backend server.
    #[derive(Default)]
    pub struct KnownServer {
        /// The newest known status; of a replica that may have restarted since, without what its
        /// reads see.
        pub(crate) status: Option<ServerStatus>,
        /// When a connection to the server was last lost or could not be opened.
        connection_failed: Option<Instant>,
        /// When the newest request that was answered was sent; the status is no older than that.
        pub(crate) answered_request_sent: Option<Instant>,
        /// When the server last answered a request.
        pub(crate) last_answer: Option<Instant>,
        /// When the server last accepted a connection, or answered a statement or a group request.
        pub(crate) last_alive: Option<Instant>,
        /// The number of failures since the server was last seen to be up.
        pub(crate) failures: u32,
        /// When the first of these failures was seen.
        pub(crate) failing_since: Option<Instant>,
        /// The call and send time of the plain poll that has not been answered yet.
        pub(crate) poll: Option<(CallId, Instant)>,
        /// Whether to poll again as soon as the pending plain poll is answered.
        pub(crate) is_poll_queued: bool,
        /// The call of the long poll that has not been answered yet, and the record that it waits
        /// for.
        pub(crate) watch: Option<(CallId, TermPosition)>,
        /// When the last long poll was sent; cleared once the server holds the requested record.
        pub(crate) watch_sent: Option<Instant>,
        /// When the last group request was sent; a long poll counts only once it is answered.
        pub(crate) last_asked: Option<Instant>,
        /// The term of the last request to follow its primary, and when that request was sent.
        pub(crate) follow_sent: Option<(Term, Instant)>,
        /// When the end of the server's log was last seen to change.
        pub(crate) log_changed: Option<Instant>,
        /// For each recent term, the highest position that the server is known to have held in that
        /// term.
        held_by_term: BTreeMap<Term, Position>,
    }
}

impl KnownServer {
    /// Stores the status in an answer to a request that was sent at `asked`.
    pub(crate) fn store_status(&mut self, status: &ServerStatus, asked: Instant, now: Instant) {
        if status.fenced <= status.held.term {
            self.note_held(status.held);
        }
        if self.is_newer(status, asked) {
            if self.status.as_ref().map(|known| known.held) != Some(status.held) {
                self.log_changed = Some(now);
            }
            self.status = Some(status.clone());
            if self.connection_failed.is_some_and(|at| asked < at) {
                self.forget_applied();
            }
        }
        self.answered_request_sent = self.answered_request_sent.max(Some(asked));
        self.last_answer = Some(now);
        self.note_alive(now);
    }

    /// Returns whether a status is newer than the known one; answers may arrive out of order.
    fn is_newer(&self, status: &ServerStatus, asked: Instant) -> bool {
        let Some(known) = &self.status else {
            return true;
        };
        if status.fenced != known.fenced {
            return status.fenced > known.fenced;
        }
        if self.last_answer.is_some_and(|at| asked >= at) {
            return true;
        }
        let rank = |status: &ServerStatus| {
            let leads = status.role == ServerRole::Primary;
            (leads, status.held, status.applied)
        };
        rank(status) >= rank(known)
    }

    /// Records that the server held a record before it was fenced at a later term.
    ///
    /// A record that the server copied after such a fence must not be passed in, as a later primary
    /// may discard it.
    pub(crate) fn note_held(&mut self, record: TermPosition) {
        let held = self
            .held_by_term
            .entry(record.term)
            .or_insert(record.position);
        *held = record.position.max(*held);
        while self.held_by_term.len() > HELD_TERMS_MAX {
            self.held_by_term.pop_first();
        }
    }

    /// Returns whether the server is known to have held a record in the record's own term.
    pub(crate) fn has_held(&self, record: TermPosition) -> bool {
        self.held_by_term
            .get(&record.term)
            .is_some_and(|held| *held >= record.position)
    }

    /// Records that the server is up, and clears its failures.
    pub(crate) fn note_alive(&mut self, now: Instant) {
        self.last_alive = Some(now);
        self.failures = 0;
        self.failing_since = None;
    }

    /// Counts the loss of a connection, or a failure to open one, as a failure of the server.
    ///
    /// The server may have restarted. A replica's log is durable, but what its reads see is rebuilt
    /// and may be behind its last status, so that counts only once it is reported again.
    pub(crate) fn note_connection_failed(&mut self, now: Instant) {
        self.note_failed(now);
        self.connection_failed = Some(now);
        self.forget_applied();
    }

    /// Forgets what a replica's reads see. A primary's reads always see its whole log.
    fn forget_applied(&mut self) {
        if let Some(status) = &mut self.status
            && status.role == ServerRole::Replica
        {
            status.applied = Position::default();
        }
    }

    /// Counts a failure of the server.
    pub(crate) fn note_failed(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether the server counts as down: it failed [`FAILURES_UNTIL_DOWN`] times, or was
    /// not heard from within [`SILENCE_UNTIL_DOWN`] of a failure.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.failures >= FAILURES_UNTIL_DOWN || self.down_at().is_some_and(|at| at <= now)
    }

    /// Returns when the server will count as down unless it is heard from.
    pub(crate) fn down_at(&self) -> Option<Instant> {
        self.failing_since.map(|since| since + SILENCE_UNTIL_DOWN)
    }

    /// Returns whether a long poll for a record should be sent now.
    pub(crate) fn needs_watch(&self, record: TermPosition, now: Instant) -> bool {
        let leads = self.leads() >= Some(record.term);
        let waits = self.watch.is_some() || self.watch_at().is_some_and(|at| at > now);
        !leads && !waits && !self.has_held(record)
    }

    /// Returns when the next long poll may be sent, if the last one did not bring the record.
    pub(crate) fn watch_at(&self) -> Option<Instant> {
        let idle = self.watch.is_none();
        self.watch_sent.filter(|_| idle).map(|at| at + WATCH_RETRY)
    }

    /// Handles the end of the long poll that was sent at `asked`.
    pub(crate) fn finish_watch(&mut self, asked: Instant, answered: bool) {
        let Some((_, record)) = self.watch.take() else {
            return;
        };
        if answered {
            self.last_asked = self.last_asked.max(Some(asked));
        }
        if self.has_held(record) {
            self.watch_sent = None;
        }
    }

    /// Returns the term that the server leads, once it has written that term's first record.
    pub(crate) fn leads(&self) -> Option<Term> {
        self.status.as_ref().and_then(led_term)
    }

    /// Returns the highest term at which the server is known to be fenced.
    pub(crate) fn fenced(&self) -> Term {
        self.status.as_ref().map_or(Term(0), |status| status.fenced)
    }
}

/// Returns the term that the server of a status leads, once it has written that term's first
/// record.
pub(crate) fn led_term(status: &ServerStatus) -> Option<Term> {
    let leads = status.role == ServerRole::Primary
        && status.held.term == status.fenced
        && status.fenced > Term(0);
    leads.then_some(status.fenced)
}
