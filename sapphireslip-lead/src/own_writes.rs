//! What a session has written, for reads that must see it.

use sapphireslip_core::{ServiceName, data};

use crate::TermPosition;

/// Limit on the services whose positions one session keeps. A route that moves takes the session's later
/// statements to another service; usually a session works with one.
const SERVICES_MAX: usize = 16;

data! {
    /// The last acknowledged write of a session to each service.
    #[derive(Default)]
    pub(crate) struct OwnWrites {
        /// The services written to with the log positions, if known; the last one written to at the end.
        by_service: Vec<(ServiceName, Option<TermPosition>)>,
        /// Whether a service was dropped as there were too many.
        has_dropped: bool,
    }

    /// The last acknowledged write of a session to a service.
    pub(crate) enum OwnWrite {
        /// The session has not written to the service.
        None,
        /// The position of the write in the service's log.
        At(TermPosition),
        /// The session may have written, and the position is not known: only the primary is sure to have it.
        Unknown,
    }
}

impl OwnWrites {
    /// Records an acknowledged write to a service, and its log position if the server told it.
    ///
    /// Positions never go back, also if the write is acknowledged after a later one.
    pub(crate) fn note(&mut self, service: &ServiceName, position: Option<TermPosition>) {
        let known = self.by_service.iter().position(|(to, _)| to == service);
        let before = known.map(|n| self.by_service.remove(n).1);
        let position = match before {
            Some(before) => position.map(|position| before.unwrap_or(position).max(position)),
            None => position,
        };
        if self.by_service.len() >= SERVICES_MAX {
            self.by_service.remove(0);
            self.has_dropped = true;
        }
        self.by_service.push((service.clone(), position));
    }

    /// Returns the last acknowledged write to a service.
    pub(crate) fn last_to(&self, service: &ServiceName) -> OwnWrite {
        let written = self.by_service.iter().find(|(to, _)| to == service);
        match written {
            Some((_, Some(position))) => OwnWrite::At(*position),
            Some((_, None)) => OwnWrite::Unknown,
            None if self.has_dropped => OwnWrite::Unknown,
            None => OwnWrite::None,
        }
    }
}
