//! One backend server as this daemon knows it: what it registered, and how it has answered.

use std::time::Duration;

use sapphireslip_core::{Instant, data, key};

use crate::{ServerRecord, ServerStatus, TermPosition};

/// How long a server may answer nothing before it counts as unreachable: several times the longest
/// time that a server with two slots and a full queue takes in the expected workloads.
const UNANSWERED_MAX: Duration = Duration::from_millis(800);

/// How long a server may refuse connections before it counts as unreachable: longer than a quick
/// restart of its listener takes.
const REFUSED_MAX: Duration = Duration::from_millis(150);

/// The pause after the first failed attempt to connect; it doubles with each further failure.
const CONNECT_PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest pause between two attempts to connect: a server that is back is noticed within it.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(800);

/// How long no connection is opened to a server at its connection limit: about as long as a
/// transaction takes.
const LIMIT_PAUSE: Duration = Duration::from_millis(300);

/// How long reads avoid a server whose log was behind their floor: a few replication delays.
const LAGGING_PAUSE: Duration = Duration::from_millis(60);

/// The latency that is assumed for a server before its first answer, in microseconds.
const INITIAL_LATENCY_MICROS: u64 = 8_000;

/// The window of the running mean of the latency: a new value has the weight 1 / `LATENCY_WINDOW`.
const LATENCY_WINDOW: u64 = 8;

/// The pace of connections that one daemon replaces, for a server with one slot: an opening takes
/// 12 ms of a slot, so that three homes use at most 36% of a server for accounts that take turns.
const REPLACEMENT_EVERY: Duration = Duration::from_millis(100);

key! {
    /// How much a statement needs a connection in place of another account's.
    pub(crate) enum ReplacementNeed {
        /// The statement can wait for the pace.
        Normal,
        /// The statement is of an urgent route.
        Urgent,
        /// The statement would be refused soon.
        Late,
    }
}

impl ReplacementNeed {
    /// Returns how much of the pace may be used ahead of time. What a less urgent statement may not
    /// use is left to more urgent ones.
    const fn time_ahead(self) -> Duration {
        match self {
            Self::Normal => REPLACEMENT_EVERY,
            Self::Urgent => Duration::from_millis(200),
            Self::Late => Duration::from_millis(1_000),
        }
    }
}

data! {
    /// A backend server and how it has answered this daemon.
    pub(crate) struct KnownServer {
        /// The server's latest row in the list.
        pub(crate) record: ServerRecord,
        /// When the last read of the list was sent, by this daemon or the coordinator, that showed
        /// that the server stays. It has not said before that time that it leaves. None if it has
        /// been draining ever since this daemon knows it.
        pub(crate) last_staying: Option<Instant>,
        /// When the last read of the list was sent that showed that the server stays, by a row that may
        /// be of an older copy of the store. None once the server has said otherwise.
        pub(crate) copied_staying: Option<Instant>,
        /// Since when the server has been missing from the list; none while it is listed or its row
        /// may have lapsed because of a store outage.
        pub(crate) missing_since: Option<Instant>,
        /// When the first list without the server was read; none while it is listed.
        pub(crate) absent_since: Option<Instant>,
        /// Since when the list has shown the server as draining; none if it is not draining.
        pub(crate) draining_since: Option<Instant>,
        /// The `sequence` of the last report in which the server said that it leaves; none if it has not.
        pub(crate) draining_sequence: Option<u64>,
        /// The status that the server last reported; none before its first report.
        pub(crate) status: Option<ServerStatus>,
        /// When the request that `status` answers was sent.
        pub(crate) status_request_sent: Option<Instant>,
        /// When the status was last asked for, whether or not it was answered.
        pub(crate) last_probe: Option<Instant>,
        /// When the server last answered anything.
        pub(crate) last_answer: Option<Instant>,
        /// The last log position that the server reported.
        pub(crate) position: Option<TermPosition>,
        /// How often the server has accepted a connection with a shorter log than it had reported before.
        pub(crate) shortened_logs: u64,
        /// Since when the server has been failing; none if nothing has failed since its last
        /// answer.
        failing_since: Option<Instant>,
        /// The number of connection attempts in a row that were refused, also by another server at
        /// the address.
        refused_in_a_row: u32,
        /// The pause after the next failed attempt to connect.
        connect_pause: Duration,
        /// The earliest time for the next attempt to connect.
        next_connect: Instant,
        /// Until when the pace of replaced connections is used up.
        replacements_until: Instant,
        /// Until when the server counts as being at its connection limit.
        at_limit_until: Instant,
        /// Until when reads avoid the server because its log was behind.
        lagging_until: Instant,
        /// The running mean of the latency of statements, in microseconds.
        latency_micros: u64,
    }
}

impl KnownServer {
    /// Returns a server that has not been asked anything yet.
    pub(crate) const fn new(record: ServerRecord) -> Self {
        Self {
            record,
            last_staying: None,
            copied_staying: None,
            missing_since: None,
            absent_since: None,
            draining_since: None,
            draining_sequence: None,
            status: None,
            status_request_sent: None,
            last_probe: None,
            last_answer: None,
            position: None,
            shortened_logs: 0,
            failing_since: None,
            refused_in_a_row: 0,
            connect_pause: CONNECT_PAUSE_MIN,
            next_connect: Instant {
                since_start: Duration::ZERO,
            },
            replacements_until: Instant {
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

    /// Records that the server has answered; returns whether it was unreachable before.
    pub(crate) fn note_answer(&mut self, now: Instant) -> bool {
        let was_unreachable = self.is_unreachable(now);
        self.last_answer = Some(now);
        self.failing_since = None;
        self.refused_in_a_row = 0;
        self.connect_pause = CONNECT_PAUSE_MIN;
        was_unreachable
    }

    /// Records that a list shows that the server stays, and when that list was asked for.
    pub(crate) fn note_staying(&mut self, asked: Option<Instant>) {
        self.last_staying = self.last_staying.max(asked);
    }

    /// Records that a statement took `latency` from its sending to its answer.
    pub(crate) fn note_latency(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX / LATENCY_WINDOW);
        self.latency_micros =
            (self.latency_micros * (LATENCY_WINDOW - 1) + micros) / LATENCY_WINDOW;
    }

    /// Records that the server has been failing since `since`, as a connection broke or an answer
    /// is late.
    pub(crate) fn note_failure(&mut self, since: Instant) {
        if self
            .failing_since
            .is_none_or(|failing_since| since < failing_since)
        {
            self.failing_since = Some(since);
        }
    }

    /// Records that a connection could not be opened.
    ///
    /// `is_refused` is true if the attempt was refused, also by another server at the address, and
    /// false if it got no answer. The failure and the pause until the next attempt count from
    /// `since`, which for an unanswered attempt is the time at which it began.
    pub(crate) fn note_connect_failure(&mut self, since: Instant, is_refused: bool) {
        self.note_failure(since);
        self.refused_in_a_row = if is_refused {
            self.refused_in_a_row + 1
        } else {
            0
        };
        self.next_connect = since + self.connect_pause;
        self.connect_pause = (self.connect_pause * 2).min(CONNECT_PAUSE_MAX);
    }

    /// Records that the server is at its connection limit.
    pub(crate) fn note_connection_limit(&mut self, now: Instant) {
        self.at_limit_until = now + LIMIT_PAUSE;
        self.next_connect = self.at_limit_until;
    }

    /// Records that the server's log was behind the floor of a read.
    pub(crate) fn note_lagging(&mut self, now: Instant) {
        self.lagging_until = now + LAGGING_PAUSE;
    }

    /// Returns whether reads should avoid the server because its log was behind recently.
    pub(crate) fn is_lagging(&self, now: Instant) -> bool {
        now < self.lagging_until
    }

    /// Returns whether the server was at its connection limit recently.
    pub(crate) fn is_at_connection_limit(&self, now: Instant) -> bool {
        now < self.at_limit_until
    }

    /// Returns whether the pause after the last failed attempt to connect is over.
    pub(crate) fn may_connect(&self, now: Instant) -> bool {
        self.next_connect <= now
    }

    /// Returns whether a connection may be opened in place of another one, which is also possible
    /// while the server is at its connection limit.
    pub(crate) fn may_replace_connection(&self, now: Instant, need: ReplacementNeed) -> bool {
        let is_paused_for_limit = self.next_connect == self.at_limit_until;
        let ahead = self.replacements_until.since(now);
        (self.may_connect(now) || is_paused_for_limit) && ahead < need.time_ahead()
    }

    /// Records that a connection is opened in place of another one.
    pub(crate) fn note_replacement(&mut self, now: Instant) {
        let slots = u32::try_from(self.record.slots.max(1)).unwrap_or(u32::MAX);
        let time = REPLACEMENT_EVERY / slots;
        self.replacements_until = self.replacements_until.max(now) + time;
    }

    /// Returns whether the server has failed for so long that it must be down or cut off from this
    /// daemon.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        let Some(failing_since) = self.failing_since else {
            return false;
        };
        let failed_for = now.since(failing_since);
        failed_for >= UNANSWERED_MAX || (self.refused_in_a_row >= 2 && failed_for >= REFUSED_MAX)
    }

    /// Returns whether something has failed since the server's last answer.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether the list allows new work for the server: it is listed and not draining.
    pub(crate) const fn is_staying(&self) -> bool {
        self.draining_since.is_none() && self.missing_since.is_none()
    }

    /// Returns the usual latency of a statement at this server.
    pub(crate) const fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_micros)
    }
}
