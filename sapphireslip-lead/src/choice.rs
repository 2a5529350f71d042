//! Choice of the server for a read, and limits on the connections and load of each server.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::placement::rendezvous_weight;
use sapphireslip_core::{AccountName, ServerId, data};

use crate::connection_choice::OPENING_TIME;
use crate::job::{Job, Stage};
use crate::leaders::LeaderView;
use crate::pool::AccountUse;
use crate::server::KnownServer;
use crate::state::State;
use crate::{Role, TermPosition};

/// Safety margin by which a replica's floor is younger than the route's staleness bound requires:
/// the client sends a statement before the daemon sees it, and clocks are read in between.
const FLOOR_MARGIN: Duration = Duration::from_millis(50);

/// Cost added to servers in other availability zones: the longer round trip and the price of
/// traffic between zones, which outweighs a few milliseconds of latency.
const ZONE_PENALTY: Duration = Duration::from_millis(6);

/// Cost added to the primary for reads that a replica can serve, because only the primary's slots
/// can serve writes.
const LEADER_PENALTY: Duration = Duration::from_millis(3);

/// Cost added for a read of an account to all servers but the one replica that the account prefers,
/// so that an account needs few connections. The measured latencies of equally good servers differ
/// by several milliseconds by chance. A primary in the daemon's zone is left out: the daemon would
/// send all reads to other zones.
const PREFERENCE_PENALTY: Duration = Duration::from_millis(10);

/// How much more than the best server another one may cost to get a read of an account because it
/// has a free connection while the best has not.
const TOLERATED_COST: Duration = Duration::from_millis(20);

/// How much the tolerated cost grows with the time that the statement has waited.
const TOLERATED_COST_GROWTH: u32 = 2;

/// The share of a server's connections, in percent, that the daemons divide among themselves; the
/// rest makes up for connections that killed daemons leave behind.
const SHARED_CONNECTIONS_PERCENT: usize = 90;

/// Where accounts have connections of their own, a daemon uses its share divided by this. Accounts keep
/// connections that they seldom use, so that servers were full all the time; after the loss of all
/// daemons at once, their successors got no connection until the servers noticed, 3 s later. The rest is
/// as much as the lost daemons had.
const ACCOUNT_SHARE_DIVISOR: usize = 2;

/// A daemon may use this many times its share while the server has connections left.
const SHARE_OVERDRAFT_FACTOR: usize = 2;

/// Limit on one daemon's outstanding statements at a server, per slot of the server.
///
/// With three homes the server's own queue then stays short, and statements wait in the daemons'
/// queues, where priorities apply.
const OUTSTANDING_PER_SLOT: usize = 2;

/// Every daemon may use at least this many connections to a server that has connections left.
const CONNECTIONS_MIN: usize = 2;

/// How many times servers that stay must have failed a read before it goes to a leader that leaves.
pub(crate) const FAILURES_BEFORE_LEAVING_LEADER: usize = 2;

data! {
    /// The servers that may run a read.
    pub(crate) struct Candidates {
        /// The servers, the best one first.
        pub(crate) servers: Vec<Candidate>,
        /// The least log position that a replica must have to serve the read; none if it is not
        /// known, so that no replica is among the servers.
        pub(crate) floor: Option<TermPosition>,
    }

    /// A server that may run a read.
    pub(crate) struct Candidate {
        /// The server.
        pub(crate) server: ServerId,
        /// Whether the server leads the service, so that no floor applies.
        pub(crate) is_leader: bool,
        /// The estimated time that the statement takes there, with the penalties.
        pub(crate) cost: Duration,
    }
}

impl State {
    /// Returns the servers that may run a statement that does not need the primary.
    ///
    /// Servers that are leaving or may get no new work, are unreachable or already run the statement
    /// are left out; only a leader that is leaving may still run a statement that has failed more
    /// than once or that no other server can run. Replicas are left out while no floor is known, or
    /// if they lagged recently while there is a leader.
    ///
    /// Servers that have not failed the statement come before those that have; among equals,
    /// servers that have answered since their last failure come first, then replicas that have not
    /// lagged recently, then the cheapest. For a statement of an account, servers are left out that
    /// cost much more than the first one.
    pub(crate) fn candidates(&self, job: &Job) -> Candidates {
        let age = job.freshness.max_staleness().unwrap_or_default();
        let floors = self.floors.get(&job.service);
        let floor = floors
            .and_then(|floors| floors.floor(self.now, age.saturating_sub(FLOOR_MARGIN)))
            .map(|floor| job.floor(floor));
        let leader = match self.leader_view(&job.service) {
            LeaderView::Confirmed(server) => Some(server),
            LeaderView::Pending(_) | LeaderView::Unavailable(_) => None,
        };
        let preferred = self.preferred_replica(job, leader.as_ref());
        let mut ranked = Vec::new();
        let mut leaving_leader = None;
        for (id, server) in self.servers.of(&job.service) {
            let is_leader = leader.as_ref() == Some(id);
            let is_eligible = is_leader || (floor.is_some() && server.is_staying());
            if !is_eligible
                || !self.may_get_new_work(id)
                || server.is_unreachable(self.now)
                || is_sent_to(job, id)
            {
                continue;
            }
            if !server.is_staying() && job.failed_servers.len() < FAILURES_BEFORE_LEAVING_LEADER {
                leaving_leader = Some(Candidate {
                    server: id.clone(),
                    is_leader,
                    cost: Duration::ZERO,
                });
                continue;
            }
            // A replica that lagged a moment ago will most likely refuse again; wait for the
            // primary.
            let is_lagging = server.is_lagging(self.now) && !is_leader;
            if is_lagging && leader.is_some() {
                continue;
            }
            let cost = match &job.account {
                None => self.cost(id, is_leader),
                Some(account) => self.account_cost(id, is_leader, account, preferred),
            };
            let has_failed = job.failed_servers.contains(id);
            let rank = (has_failed, server.is_failing(), is_lagging, cost);
            ranked.push((
                rank,
                Candidate {
                    server: id.clone(),
                    is_leader,
                    cost,
                },
            ));
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let mut servers: Vec<_> = ranked.into_iter().map(|(_, candidate)| candidate).collect();
        if servers.is_empty() {
            servers.extend(leaving_leader);
        }
        if let (Some(_), Some(best)) = (&job.account, servers.first()) {
            let waited = self.now.since(job.arrived);
            let cost_max = best.cost + TOLERATED_COST + waited * TOLERATED_COST_GROWTH;
            servers.retain(|candidate| candidate.cost <= cost_max);
        }
        Candidates { servers, floor }
    }

    /// Returns the estimated time that a statement takes at a server, from its usual latency and
    /// outstanding statements, plus penalties for other zones and the primary.
    fn cost(&self, id: &ServerId, is_leader: bool) -> Duration {
        let Some(server) = self.servers.get(id) else {
            return Duration::MAX;
        };
        let outstanding = u32::try_from(self.pool.outstanding(id, self.now)).unwrap_or(u32::MAX);
        let latency = server
            .latency()
            .saturating_mul(outstanding.saturating_add(1));
        latency + self.penalty(server, is_leader)
    }

    /// Returns the penalty for another zone and for the primary.
    fn penalty(&self, server: &KnownServer, is_leader: bool) -> Duration {
        let mut penalty = Duration::ZERO;
        if server.record.zone != self.local.zone {
            penalty += ZONE_PENALTY;
        }
        if is_leader || server.record.role == Role::Primary {
            penalty += LEADER_PENALTY;
        }
        penalty
    }

    /// Returns the estimated time that a statement of an account takes at a server, as
    /// [`Self::cost`], with the time to obtain a connection of the account.
    ///
    /// Outstanding statements count by the slots of the server. Counted one after the other, they
    /// would move a second statement of the account to a server where it has no connection, though
    /// the first server has slots left.
    fn account_cost(
        &self,
        id: &ServerId,
        is_leader: bool,
        account: &AccountName,
        preferred: Option<&ServerId>,
    ) -> Duration {
        let Some(server) = self.servers.get(id) else {
            return Duration::MAX;
        };
        let outstanding = u32::try_from(self.pool.outstanding(id, self.now)).unwrap_or(u32::MAX);
        let slots = u32::try_from(server.record.slots.max(1)).unwrap_or(u32::MAX);
        let latency = server.latency();
        let mut cost = latency + latency.saturating_mul(outstanding) / slots;
        cost += match self.pool.account_use(id, account) {
            AccountUse::Free => Duration::ZERO,
            AccountUse::InUse => OPENING_TIME / 2,
            AccountUse::None => OPENING_TIME,
        };
        let is_near = server.record.zone == self.local.zone;
        if preferred != Some(id) && !(is_leader && is_near) {
            cost += PREFERENCE_PENALTY;
        }
        cost + self.penalty(server, is_leader)
    }

    /// Returns the replica that the reads of a job's account prefer; none without an account.
    ///
    /// It is one of the replicas in the daemon's own zone or, if there is none, of all replicas.
    /// Which of them depends on nothing but the names, so that it stays the same and the accounts
    /// are spread over the replicas.
    fn preferred_replica<'a>(
        &'a self,
        job: &'a Job,
        leader: Option<&ServerId>,
    ) -> Option<&'a ServerId> {
        let account = job.account.as_ref()?;
        let replicas = self
            .servers
            .of(&job.service)
            .filter(|(id, server)| Some(*id) != leader && server.is_staying());
        replicas
            .max_by_key(|(id, server)| {
                let is_near = server.record.zone == self.local.zone;
                (is_near, rendezvous_weight(account.as_str(), id.as_str()))
            })
            .map(|(id, _)| id)
    }

    /// Returns the number of zones with a live daemon, at least 1; each has a home of every
    /// service.
    fn live_zones(&self) -> usize {
        let Some(table) = &self.permissions else {
            return 1;
        };
        let live = table
            .permissions
            .iter()
            .filter(|(record, _)| table.now < record.alive);
        let zones: BTreeSet<_> = live.map(|(record, _)| &record.zone).collect();
        zones.len().max(1)
    }

    /// Returns this daemon's share of a server's connections: the share of its zone if the daemon
    /// is the home of the service there, or else 1. The share is also 1 while the server or the
    /// configuration is unknown.
    pub(crate) fn connections_share(&self, server: &ServerId) -> usize {
        let service = self
            .servers
            .get(server)
            .map(|server| &server.record.service);
        let Some((service, catalog)) = service.zip(self.catalog.as_ref()) else {
            return 1;
        };
        let total = catalog
            .services
            .get(service)
            .map_or(CONNECTIONS_MIN, |spec| spec.connections);
        if self.is_home(service) {
            (total.saturating_mul(SHARED_CONNECTIONS_PERCENT) / 100 / self.live_zones()).max(1)
        } else {
            1
        }
    }

    /// Returns how many statements this daemon may send to a server in addition to those that are
    /// outstanding there.
    pub(crate) fn statements_left(&self, server: &ServerId) -> usize {
        let slots = self
            .servers
            .get(server)
            .map_or(1, |known| known.record.slots.max(1));
        let max = slots.saturating_mul(OUTSTANDING_PER_SLOT);
        max.saturating_sub(self.pool.outstanding(server, self.now))
    }

    /// Returns how many connections to a server this daemon may have at present.
    ///
    /// That is only the daemon's share while the server has recently run out of connections, and a part of
    /// the share where accounts have connections of their own.
    pub(crate) fn connections_max(&self, server: &ServerId) -> usize {
        let share = self.connections_share(server);
        if self.has_accounts() {
            return (share / ACCOUNT_SHARE_DIVISOR).max(1);
        }
        let is_at_connection_limit = self
            .servers
            .get(server)
            .is_some_and(|known| known.is_at_connection_limit(self.now));
        if is_at_connection_limit {
            share
        } else {
            share
                .saturating_mul(SHARE_OVERDRAFT_FACTOR)
                .max(CONNECTIONS_MIN)
        }
    }
}

/// Returns whether a statement has been sent to a server and not answered yet.
fn is_sent_to(job: &Job, server: &ServerId) -> bool {
    match &job.stage {
        Stage::Queued => false,
        Stage::Sent(sendings) => sendings.iter().any(|sending| sending.server == *server),
    }
}
