//! The latest entries of a daemon's timeline, kept in memory.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use sapphireslip_core::{Local, TimelineEntry};
use serde::{Deserialize, Serialize};

use crate::ntp_to_unix;

/// The most entries that a ring keeps.
pub const TIMELINE_ENTRIES_MAX: usize = 8_192;

/// The most entries of one page.
pub const TIMELINE_PAGE_ENTRIES: usize = 2_048;

/// A timeline entry with its time and its daemon, as `/timeline` and the log give it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineRecord {
    /// The number of the entry within its run of the daemon, counted from 1.
    pub number: u64,
    /// The hybrid logical time as a 64-bit NTP timestamp in decimal digits; a string, since many
    /// JSON parsers can't hold 64 bits in a number.
    pub time: String,
    /// The same time in microseconds since the Unix epoch.
    pub unix_micros: u64,
    /// The VM on which the daemon runs.
    pub vm: String,
    /// The availability zone of that VM.
    pub zone: String,
    /// The number of the daemon's run; it is higher after each restart.
    pub incarnation: u64,
    /// The kind of the event, by the name of its `TimelineKind`.
    pub kind: String,
    /// The request that the event concerns, as `ENTRY/INCARNATION/NUMBER`.
    pub request: Option<String>,
    /// The session that the event concerns.
    pub session: Option<u64>,
    /// The database that the event concerns.
    pub database: Option<String>,
    /// The backend server that the event concerns.
    pub server: Option<String>,
    /// The other VM that the event concerns.
    pub peer: Option<String>,
    /// The term that the event concerns.
    pub term: Option<u64>,
    /// Further details for human readers; may be empty.
    pub detail: String,
}

/// A page of consecutive entries, from a number on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelinePage {
    /// The number from which to request the next page.
    pub next: u64,
    /// The entries, oldest first.
    pub entries: Vec<TimelineRecord>,
}

/// A bounded buffer of the latest entries: a new entry replaces the oldest one once it is full.
#[derive(Debug, Default)]
pub struct TimelineRing {
    entries: Mutex<VecDeque<TimelineRecord>>,
}

impl TimelineRing {
    /// Adds an entry with its hybrid logical time, a 64-bit NTP timestamp, and returns its record.
    pub fn record(&self, local: &Local, time: u64, entry: &TimelineEntry) -> TimelineRecord {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let number = entries.back().map_or(1, |last| last.number + 1);
        let record = TimelineRecord::new(number, local, time, entry);
        if entries.len() == TIMELINE_ENTRIES_MAX {
            entries.pop_front();
        }
        entries.push_back(record.clone());
        record
    }

    /// Returns the entries from the number `since` on, at most [`TIMELINE_PAGE_ENTRIES`].
    ///
    /// ```
    /// let ring = sapphireslipd::TimelineRing::default();
    /// assert!(ring.page(0).entries.is_empty());
    /// ```
    #[must_use]
    pub fn page(&self, since: u64) -> TimelinePage {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let start = entries.partition_point(|entry| entry.number < since);
        let page = entries.iter().skip(start).take(TIMELINE_PAGE_ENTRIES);
        let entries: Vec<_> = page.cloned().collect();
        TimelinePage {
            next: entries.last().map_or(since, |last| last.number + 1),
            entries,
        }
    }
}

impl TimelineRecord {
    fn new(number: u64, local: &Local, time: u64, entry: &TimelineEntry) -> Self {
        let request = entry.request.as_ref();
        Self {
            number,
            time: time.to_string(),
            unix_micros: u64::try_from(ntp_to_unix(time).as_micros()).unwrap_or(u64::MAX),
            vm: local.vm.to_string(),
            zone: local.zone.to_string(),
            incarnation: local.incarnation.0,
            kind: format!("{:?}", entry.kind),
            request: request.map(|id| format!("{}/{}/{}", id.entry, id.incarnation.0, id.number.0)),
            session: entry.session.map(|session| session.0),
            database: entry.database.as_ref().map(ToString::to_string),
            server: entry.server.as_ref().map(ToString::to_string),
            peer: entry.peer.as_ref().map(ToString::to_string),
            term: entry.term.map(|term| term.0),
            detail: entry.detail.as_ref().to_owned(),
        }
    }
}
