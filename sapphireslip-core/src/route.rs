//! Choice of the server for a read.

use std::time::Duration;

use crate::derives::data;
use crate::{ServerId, Visibility};

data! {
    /// A server that may be chosen for a request, with what the choice depends on.
    pub struct Candidate {
        /// The server.
        pub server: ServerId,
        /// Whether the server is the known primary.
        pub is_primary: bool,
        /// Whether the server is in the home's own availability zone.
        pub is_in_own_zone: bool,
        /// Whether the server is to get no new work, or the request has already been lost there.
        pub is_excluded: bool,
        /// Whether reads on the server see what the session has seen.
        pub visibility: Visibility,
        /// How old the server's data may be at most; none if nothing is known.
        pub staleness: Option<Duration>,
        /// Whether connections to the server are open or being opened.
        pub is_reachable: bool,
        /// Whether a connection is idle and the server's limit leaves room for more work.
        pub is_free: bool,
        /// How many connections to the server have work or a transaction.
        pub in_flight: u32,
        /// Whether a status request to the server has not been answered yet.
        pub is_status_pending: bool,
    }

    /// Where a read may be sent.
    pub enum ReadRoute {
        /// The read can be sent to this replica now.
        Replica(ServerId),
        /// No replica can serve the read now; it can be sent to this primary once the wait for a
        /// replica is over.
        Primary(ServerId),
        /// A server can serve the read, but none that can has a free connection.
        Busy,
        /// No server can serve the read.
        None,
        /// What the session has seen was on a branch of the log that was lost in a promotion.
        LostBranch,
    }
}

impl Candidate {
    /// Returns whether the server is a replica that can serve the read once it has a free
    /// connection.
    pub(crate) fn is_usable_replica(&self, max_staleness: Duration) -> bool {
        self.is_eligible_replica(max_staleness)
            && self.visibility == Visibility::Visible
            && self.staleness.is_some_and(|age| age <= max_staleness)
    }

    /// Returns whether the server is a replica that can serve the read once it is fresh enough.
    pub(crate) const fn is_eligible_replica(&self, max_staleness: Duration) -> bool {
        !self.is_primary && !self.is_excluded && !max_staleness.is_zero()
    }

    /// Returns whether the server is a replica that may soon be able to serve the read: its status
    /// is outstanding, or it only lacks a free connection.
    pub(crate) fn may_become_usable(&self, max_staleness: Duration) -> bool {
        let is_status_due = self.is_status_pending && self.is_eligible_replica(max_staleness);
        self.is_reachable && (is_status_due || self.is_usable_replica(max_staleness))
    }

    /// Returns whether the server is the primary and can serve the read once it has a free
    /// connection.
    pub(crate) fn is_usable_primary(&self) -> bool {
        self.is_primary && !self.is_excluded && self.visibility == Visibility::Visible
    }
}

/// Chooses the server for a read: a replica before the primary, then a server in the own zone, then
/// the one with the least work in flight.
///
/// With a `max_staleness` of zero only the primary can serve reads.
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
            .filter(|c| c.is_usable_replica(max_staleness))
    };
    let replica = replicas()
        .filter(|c| c.is_free)
        .min_by_key(|c| (!c.is_in_own_zone, c.in_flight));
    if let Some(replica) = replica {
        return ReadRoute::Replica(replica.server.clone());
    }
    let primary = candidates.iter().find(|c| c.is_usable_primary());
    match primary {
        Some(primary) if primary.is_free => ReadRoute::Primary(primary.server.clone()),
        Some(_) => ReadRoute::Busy,
        None if replicas().next().is_some() => ReadRoute::Busy,
        None => ReadRoute::None,
    }
}
