//! The choice of the server that takes over from a primary.

use std::time::Duration;

use sapphireslip_core::{ServerId, ServiceName};

use crate::handover::{Handover, Reason};
use crate::server::KnownServer;
use crate::state::State;
use crate::sync_replicas::Commits;
use crate::{Record, RecordKind, Role, Term};

/// How long the coordinator waits for the status of the servers that could take over.
pub(crate) const STATUS_WAIT_MAX: Duration = Duration::from_millis(250);

/// How long a lost primary that had more of the log than the best replica may take to come back:
/// a promotion without it would lose acknowledged writes.
const RETURN_WAIT_MAX: Duration = Duration::from_millis(2_000);

/// The most records that a new leader may lack of a primary that still answers. These few usually
/// arrive while writes go on, but may not arrive after the last write.
pub(crate) const LAG_MAX_RECORDS: u64 = 20;

/// How long a replica that lacks more records is waited for, while the primary continues to serve.
const LAG_WAIT_MAX: Duration = Duration::from_millis(3_500);

impl State {
    /// Chooses the new leader and has it named, or drops the handover if it is unnecessary.
    ///
    /// Of the servers that stay, the one with the longest log is chosen, then of those that leave. Where the
    /// service waits for replicas, the longest log comes first. A primary of a term that may have been left
    /// is the last choice, and has to be promoted like a replica.
    pub(crate) fn choose(&mut self, service: &ServiceName, handover: &Handover) {
        if handover.is_unnecessary(self) {
            self.log(
                Record::new(RecordKind::Promotion, "the primary is kept".into()).service(service),
            );
            self.coordinator.handovers.remove(service);
            return;
        }
        let others: Vec<ServerId> = self
            .servers
            .of(service)
            .filter(|(id, server)| {
                Some(*id) != handover.old.as_ref() && !server.is_unreachable(self.now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let has_answered = |state: &Self, id: &ServerId| {
            let asked = state
                .servers
                .get(id)
                .and_then(|server| server.status_request_sent);
            asked >= Some(handover.since)
        };
        for id in &others {
            let status = self
                .servers
                .get(id)
                .and_then(|server| server.status_request_sent);
            if status.is_none_or(|asked| self.now.since(asked) >= STATUS_WAIT_MAX) {
                self.probe(id);
            }
        }
        let unanswered: Vec<_> = others
            .iter()
            .filter(|id| !has_answered(self, id))
            .cloned()
            .collect();
        for id in &unanswered {
            self.probe(id);
        }
        let waited = self.now.since(handover.since);
        if !unanswered.is_empty() && waited < STATUS_WAIT_MAX {
            return;
        }
        let waits_for_replicas = self.waits_for_replicas(service);
        let rank = |id: &&ServerId| {
            let server = self.servers.get(id);
            let received = self.received(id);
            let is_staying = server.is_some_and(KnownServer::is_staying);
            // A log that lacks acknowledged commits is worse than a server that leaves.
            let log_first = received.filter(|_| waits_for_replicas);
            let leads_earlier = self.leads_earlier_term(service, id);
            (log_first, !leads_earlier, is_staying, received)
        };
        let may_adopt = self.may_adopt(service);
        // The platform changes nothing for the present primary, so that one is only chosen once no
        // request to promote another server is open. A superseded one is promoted like any replica.
        let reached = self.leaders.reached(service);
        let may_lead = |led: Option<Term>| may_adopt || led.is_none_or(|led| led < reached);
        let is_fit = |id: &&ServerId| has_answered(self, id) && may_lead(self.led_term(id));
        let Some(best) = others.iter().filter(is_fit).max_by_key(rank) else {
            return;
        };
        let best = best.clone();
        let above = match self.led_term(&best) {
            Some(term) if !self.leads_earlier_term(service, &best) => {
                Term(term.0.saturating_sub(1))
            }
            _ => self.required_term(service).max(handover.above),
        };
        if handover.reason == Reason::Lost
            && self.would_lose_records(handover, &best)
            && waited < RETURN_WAIT_MAX
        {
            return;
        }
        let is_alone = unanswered.is_empty() && others.len() == self.servers.of(service).count();
        if self.leaders.is_deposed(service, &best) && !is_alone && waited < RETURN_WAIT_MAX {
            return;
        }
        if self.is_too_short(service, handover, &best) {
            return;
        }
        // Commits of the best server would be rolled back if another one were promoted afterwards. That one
        // leads if it is back before.
        let requests = &self.coordinator.promotion_requests;
        if requests.may_promote_other(self.now, service, &best) {
            return;
        }
        self.name_chosen(service, best, above);
    }

    /// Returns the term that a server reports to lead; none if it reported to be a replica.
    pub(crate) fn led_term(&self, id: &ServerId) -> Option<Term> {
        let status = self.servers.get(id)?.status.as_ref()?;
        (status.role == Role::Primary).then_some(status.term)
    }

    /// Returns whether a server that is already a primary may be named. The platform changes
    /// nothing for it, so no earlier request to promote another server may still be able to take
    /// effect.
    fn may_adopt(&self, service: &ServiceName) -> bool {
        Some(self.now) >= self.promotions_settled(service)
    }

    /// Returns whether the old leader has answered since the current step began and is not failing.
    pub(crate) fn is_back(&self, handover: &Handover) -> bool {
        let old = handover.old.as_ref().and_then(|old| self.servers.get(old));
        old.is_some_and(|server| !server.is_failing() && server.last_answer > Some(handover.since))
    }

    /// Returns whether the old leader is known to have had records that `new` lacks.
    fn would_lose_records(&self, handover: &Handover, new: &ServerId) -> bool {
        let old = handover.old.as_ref().and_then(|old| self.servers.get(old));
        old.and_then(|server| server.position) > self.received(new)
    }

    /// Returns whether the log of `new` is too short for a handover to it now: a longer one may be had,
    /// or an old leader that still answers has more.
    fn is_too_short(&mut self, service: &ServiceName, handover: &Handover, new: &ServerId) -> bool {
        let waits_for_replicas = self.waits_for_replicas(service);
        if self.is_old_reachable(handover) {
            let records_max = if waits_for_replicas {
                0
            } else {
                LAG_MAX_RECORDS
            };
            let is_waited_for = waits_for_replicas || self.now.since(handover.since) < LAG_WAIT_MAX;
            return is_waited_for && self.lags_too_far(handover, new, records_max);
        }
        self.commits_of(service, handover, new, handover.since) != Commits::All
    }

    /// Returns whether there is an old leader that still answers.
    fn is_old_reachable(&self, handover: &Handover) -> bool {
        let old = handover.old.as_ref().and_then(|old| self.servers.get(old));
        old.is_some_and(|old| !old.is_unreachable(self.now))
    }

    /// Returns whether `new` lacks more than `records_max` records of the old leader.
    fn lags_too_far(&self, handover: &Handover, new: &ServerId, records_max: u64) -> bool {
        let old = handover.old.as_ref().and_then(|old| self.servers.get(old));
        let Some(last) = old.and_then(|old| old.position) else {
            return false;
        };
        let received = self.received(new).unwrap_or_default();
        let least = last.position.0.saturating_sub(records_max);
        received.term < last.term || received.position.0 < least
    }
}
