//! One entry of a time line, as daemons give it.

use serde::{Deserialize, Serialize};

/// Entries from a number on.
#[derive(Clone, Debug, Deserialize)]
pub struct TimelinePage {
    /// The number to ask from next.
    pub next: u64,
    /// The entries.
    pub entries: Vec<TimelineLine>,
}

/// An entry with its time and process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineLine {
    /// Its number within this run of the daemon.
    pub number: u64,
    /// The hybrid logical time as a 64-bit NTP time, in decimal digits.
    pub time: String,
    /// The same time in microseconds since the Unix epoch.
    pub unix_micros: u64,
    /// The VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// The run of the daemon.
    pub incarnation: u64,
    /// What happened.
    pub kind: String,
    /// The request.
    pub request: Option<String>,
    /// The session.
    pub session: Option<u64>,
    /// The database.
    pub database: Option<String>,
    /// The backend server.
    pub server: Option<String>,
    /// The peer VM.
    pub peer: Option<String>,
    /// The term.
    pub term: Option<u64>,
    /// More for people.
    pub detail: String,
}

/// The place of an entry among those of all processes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TimelineOrder {
    time: u64,
    vm: String,
    number: u64,
}

impl TimelineLine {
    /// Returns the entry's place: by hybrid logical time, then by process and number.
    #[must_use]
    pub fn order(&self) -> TimelineOrder {
        TimelineOrder {
            time: self.time.parse().unwrap_or(0),
            vm: self.vm.clone(),
            number: self.number,
        }
    }

    /// Returns whether the entry's request, database, server, VM or kind has a text.
    #[must_use]
    pub fn names(&self, text: &str) -> bool {
        let fields = [&self.request, &self.database, &self.server, &self.peer];
        let mut named = fields.into_iter().flatten().chain([&self.vm, &self.kind]);
        named.any(|field| field.contains(text))
    }

    /// Returns what the entry is about, in one line.
    #[must_use]
    pub fn subject(&self) -> String {
        let rest = self.subject_without_request();
        match &self.request {
            Some(request) if rest.is_empty() => format!("request {request}"),
            Some(request) => format!("request {request}  {rest}"),
            None => rest,
        }
    }

    /// Returns what the entry is about besides its request, in one line.
    pub(crate) fn subject_without_request(&self) -> String {
        let named = [
            ("session", self.session.map(|session| session.to_string())),
            ("database", self.database.clone()),
            ("server", self.server.clone()),
            ("peer", self.peer.clone()),
            ("term", self.term.map(|term| term.to_string())),
        ];
        let present = named
            .into_iter()
            .filter_map(|(name, value)| Some(format!("{name} {}", value?)));
        let mut parts: Vec<String> = present.collect();
        if !self.detail.is_empty() {
            parts.push(self.detail.clone());
        }
        parts.join("  ")
    }
}
