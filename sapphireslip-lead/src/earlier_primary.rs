//! Servers that report to be the primary of a term that their service has left, or may have left.
//!
//! Such a server has been silent while another one was named, and takes itself for the primary until it
//! reaches its successor. It leads again only in a later term, for which the platform has to promote it.

use sapphireslip_core::{ServerId, ServiceName};

use crate::coordinator::NO_PRIMARY_MAX;
use crate::handover::{Handover, PROMOTE_RETRY_AFTER, Reason};
use crate::leader_choice::STATUS_WAIT_MAX;
use crate::server::KnownServer;
use crate::state::State;
use crate::{LeaderRecord, Term};

impl State {
    /// Returns whether a server reports to be the primary of a term that its service has left, or has
    /// left if the named leader was promoted while nobody heard it.
    pub(crate) fn leads_earlier_term(&self, service: &ServiceName, id: &ServerId) -> bool {
        let led = self.led_term(id);
        led.is_some_and(|led| led < self.leaders.least_term(service))
    }

    /// Returns the term that a newly promoted primary of a service has to exceed, by the row of its
    /// leader and the terms that servers have reported.
    pub(crate) fn required_term(&self, service: &ServiceName) -> Term {
        let row = self.leaders.table.leaders.get(service);
        let by_row = row.map(|(record, _)| record.above);
        self.leaders
            .reached(service)
            .max(by_row.unwrap_or_default())
    }

    /// Returns whether the named leader doesn't lead and its row lets it lead a term that the service has
    /// left: the row is that of an older copy of the store.
    pub(crate) fn is_row_outdated(&self, service: &ServiceName) -> bool {
        let row = self.leaders.table.leaders.get(service);
        let left = self.leaders.last_left_term(service);
        self.leaders.term(service).is_none() && row.is_some_and(|(record, _)| record.above < left)
    }

    /// Returns whether the named leader reports an earlier term in answer to a request that was sent after
    /// this daemon had learned of the later one.
    pub(crate) fn has_stayed_behind(&self, service: &ServiceName, leader: &ServerId) -> bool {
        self.has_reported_since(service, leader) && self.leads_earlier_term(service, leader)
    }

    /// Returns whether a server has answered a request for its status that was sent after the leader of its
    /// service last changed, or was superseded or deposed.
    pub(crate) fn has_reported_since(&self, service: &ServiceName, id: &ServerId) -> bool {
        let server = self.servers.get(id);
        let asked = server.and_then(|server| server.status_request_sent);
        asked > self.leaders.changed_at(service)
    }

    /// Asks the servers of a service for their status that have not reported it since the leader of the
    /// service last changed, or was superseded or deposed.
    pub(crate) fn ask_for_reports(&mut self, service: &ServiceName) {
        let servers = self.servers.of(service);
        let unasked = servers.filter(|(id, _)| !self.has_reported_since(service, id));
        let unasked: Vec<ServerId> = unasked.map(|(id, _)| id.clone()).collect();
        for id in unasked {
            self.probe(&id);
        }
    }

    /// Returns whether a server other than the leader may still report its log, of those that were asked
    /// since the leader of the service last changed.
    pub(crate) fn awaits_reports(&self, service: &ServiceName, leader: &ServerId) -> bool {
        let changed = self.leaders.changed_at(service).unwrap_or_default();
        let is_awaited = |(id, server): (&ServerId, &KnownServer)| {
            id != leader
                && !server.is_unreachable(self.now)
                && !self.has_reported_since(service, id)
        };
        self.now.since(changed) < NO_PRIMARY_MAX && self.servers.of(service).any(is_awaited)
    }

    /// Returns the row of a leader for a confirmation of the leaders after a return of the store: it lets
    /// no server lead a term that the service has left.
    pub(crate) fn row_to_confirm(&self, service: &ServiceName, row: &LeaderRecord) -> LeaderRecord {
        let mut row = row.clone();
        if self.is_row_outdated(service) {
            row.above = row.above.max(self.leaders.last_left_term(service));
        }
        row
    }

    /// Asks the servers of a service that have never reported their status, and returns whether one of
    /// them may still answer: a coordinator that has just begun knows no term but those of the rows.
    pub(crate) fn awaits_first_statuses(&mut self, service: &ServiceName) -> bool {
        let servers = self.servers.of(service);
        let unasked = servers
            .filter(|(_, server)| server.status.is_none() && !server.is_unreachable(self.now));
        let unasked: Vec<ServerId> = unasked.map(|(id, _)| id.clone()).collect();
        for id in &unasked {
            self.probe(id);
        }
        !unasked.is_empty() && self.now.since(self.coordinator.taken) < STATUS_WAIT_MAX
    }

    /// Does as [`Self::awaits_first_statuses`] for all services that have a leader.
    pub(crate) fn awaits_all_first_statuses(&mut self) -> bool {
        let services = self.leaders.table.leaders.keys().cloned();
        let services: Vec<ServiceName> = services.collect();
        let mut is_awaited = false;
        for service in services {
            is_awaited |= self.awaits_first_statuses(&service);
        }
        is_awaited
    }

    /// Ends the promotion of a server that remains the primary of an earlier term although the platform
    /// has accepted the request; returns whether it did.
    ///
    /// The platform changes nothing for the present primary. So if no later term is known, no other server
    /// was promoted since, and this one leads on. Else another server has to be chosen.
    pub(crate) fn end_promotion_without_effect(
        &mut self,
        service: &ServiceName,
        handover: &Handover,
        new: &ServerId,
    ) -> bool {
        let Some(led) = self.led_term(new) else {
            return false;
        };
        let server = self.servers.get(new);
        let asked = server.and_then(|server| server.status_request_sent);
        let settled = handover.accepted.map(|at| at + PROMOTE_RETRY_AFTER);
        let is_settled = settled.is_some() && asked >= settled;
        if !is_settled || !self.leads_earlier_term(service, new) {
            return false;
        }
        match led >= self.leaders.reached(service) {
            true => {
                let above = Term(led.0.saturating_sub(1));
                self.name_chosen(service, new.clone(), above);
            }
            false => self.begin_handover(service, None, Reason::NoPrimary),
        }
        true
    }
}
