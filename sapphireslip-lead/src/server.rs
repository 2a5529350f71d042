//! One backend server as this daemon knows it: what it registered, and how it answers.

use std::time::Duration;

use sapphireslip_core::{Instant, data};

use crate::{ServerRecord, ServerStatus, TermPosition};

/// How long a server may leave everything unanswered before it counts as unreachable: several
/// times the longest work on the sites, on two slots with a full queue.
const UNANSWERED_MAX: Duration = Duration::from_millis(800);

/// How long a server may refuse connections before it counts as unreachable: longer than a quick
/// restart of its listener.
const REFUSED_MAX: Duration = Duration::from_millis(150);

/// The first pause before another attempt to connect; doubles up to the longest.
const CONNECT_PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest pause before another attempt to connect: a returned server is seen within it.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(800);

/// How long no connection is opened to a server that has none left: about as long as a transaction.
const LIMIT_PAUSE: Duration = Duration::from_millis(300);

/// How long reads avoid a server whose log had not come far enough: some replication delays.
const LAGGING_PAUSE: Duration = Duration::from_millis(60);

/// The latency that a server is given before it has answered, in microseconds.
const INITIAL_LATENCY_MICROS: u64 = 8_000;

/// The share of a new latency in the running mean: 1 / this.
const LATENCY_WINDOW: u64 = 8;

data! {
    /// A backend server.
    pub(crate) struct KnownServer {
        pub(crate) record: ServerRecord,
        /// Since when it has been missing from the list; it is kept for a moment after an outage.
        pub(crate) missing_since: Option<Instant>,
        /// Since when it has been about to leave.
        pub(crate) draining_since: Option<Instant>,
        pub(crate) status: Option<ServerStatus>,
        /// When the status was asked for.
        pub(crate) status_asked: Option<Instant>,
        /// When the status was last asked for, answered or not.
        pub(crate) last_probe: Option<Instant>,
        pub(crate) last_answer: Option<Instant>,
        pub(crate) position: Option<TermPosition>,
        failing_since: Option<Instant>,
        refused_in_a_row: u32,
        connect_pause: Duration,
        next_connect: Instant,
        at_limit_until: Instant,
        lagging_until: Instant,
        latency_micros: u64,
    }
}

impl KnownServer {
    pub(crate) const fn new(record: ServerRecord) -> Self {
        Self {
            record,
            missing_since: None,
            draining_since: None,
            status: None,
            status_asked: None,
            last_probe: None,
            last_answer: None,
            position: None,
            failing_since: None,
            refused_in_a_row: 0,
            connect_pause: CONNECT_PAUSE_MIN,
            next_connect: Instant {
                since_start: Duration::ZERO,
            },
            at_limit_until: Instant {
                since_start: Duration::ZERO,
            },
            lagging_until: Instant {
                since_start: Duration::ZERO,
            },
            latency_micros: INITIAL_LATENCY_MICROS,
        }
    }

    /// Notes any answer; returns whether the server was unreachable before.
    pub(crate) fn note_answer(&mut self, now: Instant) -> bool {
        let was_unreachable = self.is_unreachable(now);
        self.last_answer = Some(now);
        self.failing_since = None;
        self.refused_in_a_row = 0;
        self.connect_pause = CONNECT_PAUSE_MIN;
        was_unreachable
    }

    /// Notes that a statement took `latency` from its sending to its answer.
    pub(crate) fn note_latency(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX / LATENCY_WINDOW);
        self.latency_micros =
            (self.latency_micros * (LATENCY_WINDOW - 1) + micros) / LATENCY_WINDOW;
    }

    /// Notes that a connection broke, or that something has long been unanswered.
    pub(crate) fn note_failure(&mut self, since: Instant) {
        if self.failing_since.is_none_or(|failing| since < failing) {
            self.failing_since = Some(since);
        }
    }

    /// Notes that a connection could not be opened.
    pub(crate) fn note_connect_failure(&mut self, now: Instant, is_refused: bool) {
        self.note_failure(now);
        self.refused_in_a_row = if is_refused {
            self.refused_in_a_row + 1
        } else {
            0
        };
        self.next_connect = now + self.connect_pause;
        self.connect_pause = (self.connect_pause * 2).min(CONNECT_PAUSE_MAX);
    }

    /// Notes that the server has no connection left.
    pub(crate) fn note_connection_limit(&mut self, now: Instant) {
        self.at_limit_until = now + LIMIT_PAUSE;
        self.next_connect = self.at_limit_until;
    }

    /// Notes that the server's log had not come far enough.
    pub(crate) fn note_lagging(&mut self, now: Instant) {
        self.lagging_until = now + LAGGING_PAUSE;
    }

    pub(crate) fn is_lagging(&self, now: Instant) -> bool {
        now < self.lagging_until
    }

    pub(crate) fn is_at_connection_limit(&self, now: Instant) -> bool {
        now < self.at_limit_until
    }

    pub(crate) fn may_connect(&self, now: Instant) -> bool {
        self.next_connect <= now
    }

    /// Returns whether it has failed for so long that it must be down, or cut off from here.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        let Some(failing) = self.failing_since else {
            return false;
        };
        let failed_for = now.since(failing);
        failed_for >= UNANSWERED_MAX || (self.refused_in_a_row >= 2 && failed_for >= REFUSED_MAX)
    }

    /// Returns whether something has failed since its last answer.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether new work may go there as far as the list says.
    pub(crate) const fn is_staying(&self) -> bool {
        self.draining_since.is_none() && self.missing_since.is_none()
    }

    pub(crate) const fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_micros)
    }
}
