//! One backend server as this daemon knows it: what it registered, and how it answers.

use std::time::Duration;

use sapphireslip_core::{Instant, data};

use crate::{ServerRecord, ServerStatus, TermPosition};

/// How long a server may leave everything unanswered before it counts as unreachable: several
/// times the longest work on the sites, on two slots with a full queue.
const SILENCE_MAX: Duration = Duration::from_millis(800);

/// How long a server may refuse connections before it counts as unreachable: longer than a quick
/// restart of its listener.
const REFUSAL_MAX: Duration = Duration::from_millis(150);

/// The first pause before another attempt to connect; doubles up to the longest.
const CONNECT_PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest pause before another attempt to connect: a returned server is seen within it.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(800);

/// How long no connection is opened to a server that has none left: about as long as a transaction.
const LIMIT_PAUSE: Duration = Duration::from_millis(300);

/// How long reads avoid a server whose log had not come far enough: some replication delays.
const LAGGING_PAUSE: Duration = Duration::from_millis(60);

/// The latency that a server is given before it has answered, in microseconds.
const LATENCY_START_MICROS: u64 = 8_000;

/// The share of a new latency in the running mean: 1 / this.
const LATENCY_WEIGHT: u64 = 8;

data! {
    /// A backend server.
    pub(crate) struct KnownServer {
        pub(crate) record: ServerRecord,
        /// Since when it has been missing from the list; it is kept for a moment after an outage.
        pub(crate) missing: Option<Instant>,
        /// Since when it has been about to leave.
        pub(crate) draining: Option<Instant>,
        pub(crate) status: Option<ServerStatus>,
        /// When the status was asked for.
        pub(crate) status_asked: Option<Instant>,
        /// When the status was last asked for, answered or not.
        pub(crate) probed: Option<Instant>,
        pub(crate) answered: Option<Instant>,
        pub(crate) position: Option<TermPosition>,
        failing: Option<Instant>,
        refusals: u32,
        connect_pause: Duration,
        connect_after: Instant,
        limited_until: Instant,
        lagging_until: Instant,
        latency_micros: u64,
    }
}

impl KnownServer {
    pub(crate) const fn new(record: ServerRecord) -> Self {
        Self {
            record,
            missing: None,
            draining: None,
            status: None,
            status_asked: None,
            probed: None,
            answered: None,
            position: None,
            failing: None,
            refusals: 0,
            connect_pause: CONNECT_PAUSE_MIN,
            connect_after: Instant {
                since_start: Duration::ZERO,
            },
            limited_until: Instant {
                since_start: Duration::ZERO,
            },
            lagging_until: Instant {
                since_start: Duration::ZERO,
            },
            latency_micros: LATENCY_START_MICROS,
        }
    }

    /// Notes any answer; returns whether the server was unreachable before.
    pub(crate) fn note_answer(&mut self, now: Instant) -> bool {
        let was_unreachable = self.is_unreachable(now);
        self.answered = Some(now);
        self.failing = None;
        self.refusals = 0;
        self.connect_pause = CONNECT_PAUSE_MIN;
        was_unreachable
    }

    /// Notes that a statement took `latency` from its sending to its answer.
    pub(crate) fn note_latency(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX / LATENCY_WEIGHT);
        self.latency_micros =
            (self.latency_micros * (LATENCY_WEIGHT - 1) + micros) / LATENCY_WEIGHT;
    }

    /// Notes that a connection broke, or that something has long been unanswered.
    pub(crate) fn note_failure(&mut self, since: Instant) {
        if self.failing.is_none_or(|failing| since < failing) {
            self.failing = Some(since);
        }
    }

    /// Notes that a connection could not be opened.
    pub(crate) fn note_connect_failure(&mut self, now: Instant, is_refused: bool) {
        self.note_failure(now);
        self.refusals = if is_refused { self.refusals + 1 } else { 0 };
        self.connect_after = now + self.connect_pause;
        self.connect_pause = (self.connect_pause * 2).min(CONNECT_PAUSE_MAX);
    }

    /// Notes that the server has no connection left.
    pub(crate) fn note_limit(&mut self, now: Instant) {
        self.limited_until = now + LIMIT_PAUSE;
        self.connect_after = self.limited_until;
    }

    /// Notes that the server's log had not come far enough.
    pub(crate) fn note_lagging(&mut self, now: Instant) {
        self.lagging_until = now + LAGGING_PAUSE;
    }

    pub(crate) fn is_lagging(&self, now: Instant) -> bool {
        now < self.lagging_until
    }

    pub(crate) fn is_limited(&self, now: Instant) -> bool {
        now < self.limited_until
    }

    pub(crate) fn may_connect(&self, now: Instant) -> bool {
        self.connect_after <= now
    }

    /// Returns whether it has failed for so long that it must be down, or cut off from here.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        let Some(failing) = self.failing else {
            return false;
        };
        let failed_for = now.since(failing);
        failed_for >= SILENCE_MAX || (self.refusals >= 2 && failed_for >= REFUSAL_MAX)
    }

    /// Returns whether something has failed since its last answer.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Returns whether new work may go there as far as the list says.
    pub(crate) const fn is_staying(&self) -> bool {
        self.draining.is_none() && self.missing.is_none()
    }

    pub(crate) const fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_micros)
    }
}
