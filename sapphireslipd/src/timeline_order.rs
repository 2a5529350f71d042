//! The order and the one-line texts of timeline entries, for merging the timelines of several
//! daemons.

use crate::TimelineRecord;

/// The position of an entry among those of all daemons.
///
/// The order of the fields is the order of comparison.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TimelineOrder {
    /// The hybrid logical time as a 64-bit NTP timestamp.
    time: u64,
    vm: String,
    /// The number of the entry within its run of the daemon.
    number: u64,
}

impl TimelineRecord {
    /// Returns the entry's position: by hybrid logical time, then by VM, then by number.
    #[must_use]
    pub fn order(&self) -> TimelineOrder {
        TimelineOrder {
            time: self.time.parse().unwrap_or(0),
            vm: self.vm.clone(),
            number: self.number,
        }
    }

    /// Returns whether the entry's request, database, server, VMs or kind contain a text.
    #[must_use]
    pub fn mentions(&self, text: &str) -> bool {
        let fields = [&self.request, &self.database, &self.server, &self.peer];
        let mut texts = fields.into_iter().flatten().chain([&self.vm, &self.kind]);
        texts.any(|field| field.contains(text))
    }

    /// Returns the subject of the entry in one line: request, session, database, server, peer, term
    /// and detail, as far as the entry has them.
    #[must_use]
    pub fn subject(&self) -> String {
        let rest = self.subject_without_request();
        match &self.request {
            Some(request) if rest.is_empty() => format!("request {request}"),
            Some(request) => format!("request {request}  {rest}"),
            None => rest,
        }
    }

    /// Returns the subject of the entry without its request, in one line.
    pub fn subject_without_request(&self) -> String {
        let fields = [
            ("session", self.session.map(|session| session.to_string())),
            ("database", self.database.clone()),
            ("server", self.server.clone()),
            ("peer", self.peer.clone()),
            ("term", self.term.map(|term| term.to_string())),
        ];
        let present = fields
            .into_iter()
            .filter_map(|(name, value)| Some(format!("{name} {}", value?)));
        let mut parts: Vec<String> = present.collect();
        if !self.detail.is_empty() {
            parts.push(self.detail.clone());
        }
        parts.join("  ")
    }
}
