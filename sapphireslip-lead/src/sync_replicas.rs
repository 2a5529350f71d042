//! The choice of a new leader where a service acknowledges a commit only once replicas have received it.
//!
//! With `n` replicas to be waited for, every acknowledged commit is in the logs of at least `n` replicas.
//! So the longest log among those that have answered has all of them as long as fewer than `n` replicas
//! have not answered. The primary that is replaced is no replica; a server that led an earlier term is one since,
//! whatever it reported then.

use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName};

use crate::handover::Handover;
use crate::state::State;
use crate::{Term, TermPosition};

/// How long the coordinator waits, after the loss of the primary, for servers that may be the only ones
/// with some acknowledged commits. The platform expects requests to be served again after 12 s.
const UNSEEN_WAIT_MAX: Duration = Duration::from_secs(9);

/// Whether a server has all acknowledged commits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Commits {
    /// It has them, or is the best that can be had.
    All,
    /// Servers that may have more have not answered yet.
    Unknown,
    /// Another server has more.
    Lacking,
}

impl State {
    /// Returns whether a service acknowledges commits only once a replica has received them.
    pub(crate) fn waits_for_replicas(&self, service: &ServiceName) -> bool {
        self.replicas_waited_for(service) > 0
    }

    /// Returns how many replicas receive a commit of a service before it is acknowledged.
    fn replicas_waited_for(&self, service: &ServiceName) -> usize {
        let services = self.catalog.as_ref().map(|catalog| &catalog.services);
        let spec = services.and_then(|services| services.get(service));
        spec.map_or(0, |spec| spec.sync_replicas)
    }

    /// Returns whether a server has all acknowledged commits of a service, by the answers to requests
    /// for the status that were sent at `asked` or later, and asks the servers that have not answered.
    ///
    /// The result is certain only once all daemons have left the old leader, as commits may be acknowledged
    /// until then.
    pub(crate) fn commits_of(
        &mut self,
        service: &ServiceName,
        handover: &Handover,
        server: &ServerId,
        asked: Instant,
    ) -> Commits {
        let needed = self.replicas_waited_for(service);
        if needed == 0 {
            return Commits::All;
        }
        let has_answered = |id: &ServerId| {
            let known = self.servers.get(id);
            known.and_then(|known| known.status_request_sent) >= Some(asked)
        };
        let known: Vec<ServerId> = self.servers.of(service).map(|(id, _)| id.clone()).collect();
        let (seen, unseen): (Vec<_>, Vec<_>) = known.into_iter().partition(has_answered);
        let longest = seen.iter().filter_map(|id| self.received(id)).max();
        let own = self.received(server).filter(|_| seen.contains(server));
        let replaced = self.replaced_term(service, handover);
        let is_replaced = |id: &ServerId| self.led_term(id) >= Some(replaced);
        let replicas_unseen = unseen.iter().filter(|id| !is_replaced(id)).count();
        for id in &unseen {
            self.probe(id);
        }
        if own.is_some() && own < longest {
            return Commits::Lacking;
        }
        let is_complete = own.is_some() && replicas_unseen < needed;
        match is_complete || self.has_waited_long(handover) {
            true => Commits::All,
            false => Commits::Unknown,
        }
    }

    /// Returns the least term of the primary that is replaced.
    fn replaced_term(&self, service: &ServiceName, handover: &Handover) -> Term {
        let row = self.leaders.table.leaders.get(service);
        let by_row = row.map(
            |(record, _)| match handover.old.as_ref() == Some(&record.leader) {
                true => Term(record.above.0.saturating_add(1)),
                false => record.above,
            },
        );
        by_row.unwrap_or_default().max(handover.above)
    }

    /// Returns whether the old leader, or any leader, has been missing for [`UNSEEN_WAIT_MAX`].
    fn has_waited_long(&self, handover: &Handover) -> bool {
        let old = handover.old.as_ref().and_then(|old| self.servers.get(old));
        let last_answer = old.and_then(|old| old.last_answer).unwrap_or_default();
        self.now.since(last_answer.max(handover.began)) >= UNSEEN_WAIT_MAX
    }

    /// Returns the last position that a server reported to have received.
    pub(crate) fn received(&self, id: &ServerId) -> Option<TermPosition> {
        let status = self.servers.get(id)?.status.as_ref()?;
        Some(status.received)
    }
}
