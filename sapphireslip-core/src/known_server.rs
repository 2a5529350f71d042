//! What a home knows of one backend server: its last status, and what it has ever been seen to hold.

use std::collections::BTreeMap;

use crate::derives::data;
use crate::{
    CallId, FAILURES_GONE, Instant, Position, SILENCE_GONE, ServerRole, ServerStatus, Term,
    TermPosition, WATCH_RETRY,
};

/// The most terms of which is remembered how far a server held them, the newest ones.
pub const EVIDENCE_TERMS_MAX: usize = 8;

data! {
    /// What is known of one backend server.
    #[derive(Default)]
    pub struct KnownServer {
        /// The newest status.
        pub(crate) status: Option<ServerStatus>,
        /// When the newest answered request was sent: the status is no older.
        pub(crate) asked: Option<Instant>,
        /// When the server last answered.
        pub(crate) heard: Option<Instant>,
        /// When live traffic or an answer last showed it alive.
        pub(crate) alive: Option<Instant>,
        /// Signs of failure since it was last seen alive, in a row.
        pub(crate) failures: u32,
        /// When the first of these came.
        pub(crate) failing_since: Option<Instant>,
        /// The outstanding plain poll and when it was sent.
        pub(crate) poll: Option<(CallId, Instant)>,
        /// Whether to poll again once that one is answered.
        pub(crate) poll_again: bool,
        /// The outstanding long poll and what it waits for.
        pub(crate) watch: Option<(CallId, TermPosition)>,
        /// When the last long poll was sent, unless it was answered as asked.
        pub(crate) watched: Option<Instant>,
        /// When the last request was sent that shows its status.
        pub(crate) last_asked: Option<Instant>,
        /// When it was last told to follow, and the term.
        pub(crate) followed: Option<(Term, Instant)>,
        /// When the end of its log was last seen to move.
        pub(crate) moved: Option<Instant>,
        evidence: BTreeMap<Term, Position>,
    }
}

impl KnownServer {
    /// Takes a status that was asked for at `asked`.
    pub(crate) fn absorb(&mut self, status: &ServerStatus, asked: Instant, now: Instant) {
        if status.fenced <= status.held.term {
            self.note_held(status.held);
        }
        if self.replaces(status, asked) {
            if self.status.as_ref().map(|known| known.held) != Some(status.held) {
                self.moved = Some(now);
            }
            self.status = Some(status.clone());
        }
        self.asked = self.asked.max(Some(asked));
        self.heard = Some(now);
        self.note_alive(now);
    }

    /// Returns whether a status is newer than the known one: answers may come out of order.
    fn replaces(&self, status: &ServerStatus, asked: Instant) -> bool {
        let Some(known) = &self.status else {
            return true;
        };
        if status.fenced != known.fenced {
            return status.fenced > known.fenced;
        }
        if self.heard.is_some_and(|heard| asked >= heard) {
            return true;
        }
        let rank = |status: &ServerStatus| {
            let leads = status.role == ServerRole::Primary;
            (leads, status.held, status.applied)
        };
        rank(status) >= rank(known)
    }

    /// Notes that the server held a record before it was fenced at any later term.
    ///
    /// Records that it copied after such a fence don't count: a later primary may drop them.
    pub(crate) fn note_held(&mut self, record: TermPosition) {
        let held = self.evidence.entry(record.term).or_insert(record.position);
        *held = record.position.max(*held);
        while self.evidence.len() > EVIDENCE_TERMS_MAX {
            self.evidence.pop_first();
        }
    }

    /// Returns whether the server was seen to hold a record in the record's own term.
    pub(crate) fn has_held(&self, record: TermPosition) -> bool {
        self.evidence
            .get(&record.term)
            .is_some_and(|held| *held >= record.position)
    }

    /// Notes a sign of life.
    pub(crate) fn note_alive(&mut self, now: Instant) {
        self.alive = Some(now);
        self.failures = 0;
        self.failing_since = None;
    }

    /// Notes a sign of failure.
    pub(crate) fn note_failed(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether the server counts as gone: it failed again, or stayed silent since.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        self.failures >= FAILURES_GONE || self.gone_at().is_some_and(|at| at <= now)
    }

    /// Returns when the server counts as gone if it stays silent.
    pub(crate) fn gone_at(&self) -> Option<Instant> {
        self.failing_since.map(|since| since + SILENCE_GONE)
    }

    /// Returns whether a long poll for a record is due.
    pub(crate) fn needs_watch(&self, record: TermPosition, now: Instant) -> bool {
        let leads = self.leads() >= Some(record.term);
        let waits = self.watch.is_some() || self.watch_at().is_some_and(|at| at > now);
        !leads && !waits && !self.has_held(record)
    }

    /// Returns when the next long poll may be sent, if one went unanswered.
    pub(crate) fn watch_at(&self) -> Option<Instant> {
        let idle = self.watch.is_none();
        self.watched.filter(|_| idle).map(|at| at + WATCH_RETRY)
    }

    /// Takes the end of the long poll.
    pub(crate) fn finish_watch(&mut self, asked: Instant, answered: bool) {
        let Some((_, record)) = self.watch.take() else {
            return;
        };
        if answered {
            self.last_asked = self.last_asked.max(Some(asked));
        }
        if self.has_held(record) {
            self.watched = None;
        }
    }

    /// Returns the term that the server leads, once it has written that term's start.
    pub(crate) fn leads(&self) -> Option<Term> {
        self.status.as_ref().and_then(led_term)
    }

    /// Returns the highest term that the server was fenced at, as far as is known.
    pub(crate) fn fenced(&self) -> Term {
        self.status.as_ref().map_or(Term(0), |status| status.fenced)
    }
}

/// Returns the term that a status's server leads, once it has written that term's start.
pub(crate) fn led_term(status: &ServerStatus) -> Option<Term> {
    let leads = status.role == ServerRole::Primary
        && status.held.term == status.fenced
        && status.fenced > Term(0);
    leads.then_some(status.fenced)
}
