//! The highest term that each service is known to have reached.
//!
//! A primary of an earlier term has been superseded, also while it still takes itself for the primary and
//! the server of the later term answers nobody.

use std::collections::BTreeMap;

use sapphireslip_core::{ServiceName, data};

use crate::Term;

data! {
    /// The highest term that any server of each service has reported.
    #[derive(Default)]
    pub(crate) struct ReachedTerms {
        by_service: BTreeMap<ServiceName, Term>,
    }
}

impl ReachedTerms {
    /// Returns the highest term that a service is known to have reached; 0 if none is known.
    pub(crate) fn of(&self, service: &ServiceName) -> Term {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    /// Records that a service has reached a term.
    pub(crate) fn note(&mut self, service: &ServiceName, term: Term) {
        let known = self.by_service.entry(service.clone()).or_default();
        *known = term.max(*known);
    }

    /// Forgets the services for which `is_kept` is false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| is_kept(service));
    }
}
