//! Which server a read goes to.

use std::time::Duration;

use crate::derives::data;
use crate::{ServerId, Visibility};

data! {
    /// What a choice needs to know of a server.
    pub struct Candidate {
        /// The server.
        pub server: ServerId,
        /// Whether it is the primary of the open term.
        pub is_primary: bool,
        /// Whether it stands in the home's own availability zone.
        pub is_in_own_zone: bool,
        /// Whether it is to get no new work, or has already failed this request.
        pub is_excluded: bool,
        /// Whether its reads see what the session has seen.
        pub visibility: Visibility,
        /// How old its data may be; none if nothing is known.
        pub staleness: Option<Duration>,
        /// Whether connections to it are open or being opened.
        pub is_reachable: bool,
        /// Whether a connection is free and the limit leaves room.
        pub is_free: bool,
        /// Statements in flight there.
        pub in_flight: u32,
        /// Whether its status has been asked for and not been answered yet.
        pub is_status_pending: bool,
    }

    /// Where a read may go.
    pub enum ReadRoute {
        /// To this replica, now.
        Replica(ServerId),
        /// No replica is fit or free; to this primary, now, once the wait for a replica is over.
        Primary(ServerId),
        /// A server is fit, but none is free.
        Busy,
        /// No server is fit.
        None,
        /// What the session has seen was on a branch that was lost.
        LostBranch,
    }
}

impl Candidate {
    /// Returns whether this is a replica that may serve the read.
    pub(crate) fn is_fit_replica(&self, max_staleness: Duration) -> bool {
        self.is_eligible_replica(max_staleness)
            && self.visibility == Visibility::Visible
            && self.staleness.is_some_and(|age| age <= max_staleness)
    }

    /// Returns whether this is a replica that may serve the read once it is fresh enough.
    pub(crate) const fn is_eligible_replica(&self, max_staleness: Duration) -> bool {
        !self.is_primary && !self.is_excluded && !max_staleness.is_zero()
    }

    /// Returns whether a replica may soon be fit and free: its status is on its way, or it only has
    /// no free connection.
    pub(crate) fn may_become_fit(&self, max_staleness: Duration) -> bool {
        let is_status_due = self.is_status_pending && self.is_eligible_replica(max_staleness);
        self.is_reachable && (is_status_due || self.is_fit_replica(max_staleness))
    }

    /// Returns whether this is the primary and may serve the read.
    pub(crate) fn is_fit_primary(&self) -> bool {
        self.is_primary && !self.is_excluded && self.visibility == Visibility::Visible
    }
}

/// Chooses the server of a read: replicas first, then the own zone, then the fewest in flight.
///
/// With a `max_staleness` of zero only the primary will do.
///
/// ```
/// use sapphireslip_core::{ReadRoute, route_read};
/// use std::time::Duration;
/// assert_eq!(route_read(&[], Duration::from_secs(1)), ReadRoute::None);
/// ```
#[must_use]
pub fn route_read(candidates: &[Candidate], max_staleness: Duration) -> ReadRoute {
    if candidates
        .iter()
        .any(|c| c.is_primary && c.visibility == Visibility::LostBranch)
    {
        return ReadRoute::LostBranch;
    }
    let replicas = || {
        candidates
            .iter()
            .filter(|c| c.is_fit_replica(max_staleness))
    };
    let replica = replicas()
        .filter(|c| c.is_free)
        .min_by_key(|c| (!c.is_in_own_zone, c.in_flight));
    if let Some(replica) = replica {
        return ReadRoute::Replica(replica.server.clone());
    }
    let primary = candidates.iter().find(|c| c.is_fit_primary());
    match primary {
        Some(primary) if primary.is_free => ReadRoute::Primary(primary.server.clone()),
        Some(_) => ReadRoute::Busy,
        None if replicas().next().is_some() => ReadRoute::Busy,
        None => ReadRoute::None,
    }
}
