//! Groups the entries of a timeline by request.

use std::collections::BTreeMap;

use crate::TimelineLine;

/// What an entry is about; the page colours and filters entries by topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TimelineTopic {
    /// The course of a request.
    Request,
    /// The refusal of a request.
    Refusal,
    /// Primaries, their replacement and network paths; also all kinds that have no other topic.
    Primary,
    /// Service documents.
    Document,
    /// VMs that join or leave, and drains of daemons.
    Vm,
    /// Sessions of clients.
    Session,
}

impl TimelineTopic {
    /// All topics, in the order of the page.
    pub(crate) const ALL: [Self; 6] = [
        Self::Request,
        Self::Refusal,
        Self::Primary,
        Self::Document,
        Self::Vm,
        Self::Session,
    ];

    /// Returns the topic of an entry.
    pub(crate) fn of(line: &TimelineLine) -> Self {
        match line.kind.as_str() {
            "RequestRefused" => Self::Refusal,
            kind if kind.starts_with("Request") => Self::Request,
            kind if kind.starts_with("Session") => Self::Session,
            kind if kind.starts_with("Document") => Self::Document,
            kind if kind.starts_with("Vm") || kind.starts_with("Drain") => Self::Vm,
            _ => Self::Primary,
        }
    }

    /// Returns the CSS class of the topic.
    pub(crate) const fn class(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Refusal => "refusal",
            Self::Primary => "primary",
            Self::Document => "document",
            Self::Vm => "vm",
            Self::Session => "session",
        }
    }

    /// Returns the name of the topic that the page shows.
    pub(crate) const fn title(self) -> &'static str {
        match self {
            Self::Request => "requests",
            Self::Refusal => "refusals",
            Self::Primary => "primaries and paths",
            Self::Document => "documents",
            Self::Vm => "VMs and drains",
            Self::Session => "sessions",
        }
    }
}

/// All entries of one request, or a single entry that concerns no request.
#[derive(Debug)]
pub(crate) struct TimelineGroup<'a> {
    /// The entries in causal order; never empty.
    pub(crate) lines: Vec<&'a TimelineLine>,
}

impl TimelineGroup<'_> {
    /// Returns the time of the first entry in microseconds since the Unix epoch.
    pub(crate) fn start(&self) -> u64 {
        self.lines.first().map_or(0, |line| line.unix_micros)
    }

    /// Returns the time of the last entry in microseconds since the Unix epoch.
    pub(crate) fn end(&self) -> u64 {
        let times = self.lines.iter().map(|line| line.unix_micros);
        times.max().unwrap_or(0)
    }

    /// Returns the topic: a refusal if any entry is a refusal, otherwise the topic of the first
    /// entry.
    pub(crate) fn topic(&self) -> TimelineTopic {
        let mut topics = self.lines.iter().map(|line| TimelineTopic::of(line));
        let first = topics.next().unwrap_or(TimelineTopic::Primary);
        match topics.any(|topic| topic == TimelineTopic::Refusal) {
            true => TimelineTopic::Refusal,
            false => first,
        }
    }
}

/// Groups entries by request; the groups are ordered by their first entries.
pub(crate) fn groups(lines: &[TimelineLine]) -> Vec<TimelineGroup<'_>> {
    let mut indexes = BTreeMap::new();
    let mut groups: Vec<TimelineGroup<'_>> = Vec::new();
    for line in lines {
        let index = match &line.request {
            Some(request) => *indexes.entry(request.as_str()).or_insert(groups.len()),
            None => groups.len(),
        };
        match groups.get_mut(index) {
            Some(group) => group.lines.push(line),
            None => groups.push(TimelineGroup { lines: vec![line] }),
        }
    }
    groups
}
