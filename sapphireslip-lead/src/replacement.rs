//! Whether a named leader has to be replaced, or another server already leads.

use std::time::Duration;

use sapphireslip_core::{ServerId, ServiceName};

use crate::coordinator::NO_PRIMARY_MAX;
use crate::handover::Reason;
use crate::state::State;
use crate::{Role, ServerStatus, Term};

/// How long a named leader may keep reporting that it does not lead before its promotion is
/// resumed.
const PROMOTION_START_MAX: Duration = Duration::from_millis(300);

impl State {
    /// Returns a server that is the primary of a term high enough for the named leader's row, and
    /// that term, if the named leader itself is a replica or the primary of an earlier term.
    ///
    /// An earlier request to promote that server has then taken effect late. While a request to promote
    /// the named leader may still take effect, it is not given up: the commits that the other server
    /// acknowledges meanwhile would be rolled back.
    pub(crate) fn newer_primary(
        &self,
        service: &ServiceName,
        leader: &ServerId,
    ) -> Option<(ServerId, Term)> {
        let (id, status) = self.later_primary(service, leader)?;
        let named = self.servers.get(leader)?;
        let is_settled = named.status_request_sent >= self.promotions_settled(service);
        is_settled.then_some((id, status.term))
    }

    /// Returns whether the named leader waits for [`Self::newer_primary`]: it takes itself for the primary
    /// of an earlier term and lacks what the newer one has committed, so that it must not be promoted.
    pub(crate) fn awaits_newer_primary(&self, service: &ServiceName, leader: &ServerId) -> bool {
        let later = self.later_primary(service, leader);
        let has_committed = later.is_some_and(|(id, status)| {
            let server = self.servers.get(&id);
            let is_reached = server.is_some_and(|server| !server.is_unreachable(self.now));
            is_reached && status.received.term == status.term
        });
        has_committed && self.leads_earlier_term(service, leader)
    }

    /// Returns another server than the named leader that is the primary of the latest term, and its status,
    /// if the named leader itself is a replica or the primary of an earlier term.
    fn later_primary(
        &self,
        service: &ServiceName,
        leader: &ServerId,
    ) -> Option<(ServerId, ServerStatus)> {
        if self.leaders.term(service).is_some() {
            return None;
        }
        let named = self.servers.get(leader)?.status.as_ref()?;
        let least = self.leaders.least_term(service);
        let primaries = self.servers.of(service).filter_map(|(id, server)| {
            let status = server.status.as_ref()?;
            (status.role == Role::Primary && status.term >= least).then_some((id, status))
        });
        let (id, status) = primaries.max_by_key(|(_, status)| status.term)?;
        let is_behind = named.role == Role::Replica || named.term < status.term;
        (id != leader && is_behind).then(|| (id.clone(), status.clone()))
    }

    /// Returns whether a named leader still reports that it does not lead after
    /// `PROMOTION_START_MAX`, or has reported nothing for `NO_PRIMARY_MAX`.
    pub(crate) fn is_left_unpromoted(&self, service: &ServiceName, leader: &ServerId) -> bool {
        let changed = self.leaders.changed_at(service).unwrap_or_default();
        let waited = self.now.since(changed);
        let server = self.servers.get(leader);
        let status = server.and_then(|server| server.status.as_ref());
        let asked = server.and_then(|server| server.status_request_sent);
        match status {
            // Only a status that was requested after the naming shows that the promotion stalled.
            Some(_) if asked > Some(changed) => waited >= PROMOTION_START_MAX,
            _ => waited >= NO_PRIMARY_MAX,
        }
    }

    /// Returns why a leader has to be replaced; none if it may stay.
    ///
    /// A draining leader stays as long as no other server can take over.
    pub(crate) fn reason_to_replace(
        &self,
        service: &ServiceName,
        leader: &ServerId,
    ) -> Option<Reason> {
        let Some(server) = self.servers.get(leader) else {
            return Some(Reason::Gone);
        };
        if server.missing_since.is_some() {
            return Some(Reason::Gone);
        }
        if server.draining_since.is_some() {
            // The primary serves on until another one may be promoted after a return of the store.
            let may_replace =
                self.has_replacement(service, leader) && !self.store_era.holds_promotions(self.now);
            return may_replace.then_some(Reason::Draining);
        }
        self.is_lost(leader).then_some(Reason::Lost)
    }

    /// Returns whether a service has another reachable server that stays.
    pub(crate) fn has_replacement(&self, service: &ServiceName, leader: &ServerId) -> bool {
        self.servers.of(service).any(|(id, server)| {
            id != leader && server.is_staying() && !server.is_unreachable(self.now)
        })
    }

    /// Returns whether a leader can't be reached from more zones than it can be, by the reports of all
    /// daemons and of this one.
    fn is_lost(&self, leader: &ServerId) -> bool {
        let server = self.servers.get(leader);
        let is_reached = server.is_some_and(|server| !server.is_unreachable(self.now));
        let zone = &self.local.zone;
        self.permissions.is_some() && self.votes.is_lost(leader, zone, is_reached)
    }
}
