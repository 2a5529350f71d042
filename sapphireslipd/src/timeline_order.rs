//! What merging the time lines of several processes needs of an entry.

use crate::TimelineRecord;

/// The place of an entry among those of all processes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TimelineOrder {
    time: u64,
    vm: String,
    number: u64,
}

impl TimelineRecord {
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
    pub fn mentions(&self, text: &str) -> bool {
        let fields = [&self.request, &self.database, &self.server, &self.peer];
        let mut texts = fields.into_iter().flatten().chain([&self.vm, &self.kind]);
        texts.any(|field| field.contains(text))
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
