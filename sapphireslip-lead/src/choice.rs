//! Which server a read goes to, and how many connections a server may have from here.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::{ServerId, data};

use crate::job::{Job, Stage};
use crate::leaders::LeaderView;
use crate::state::State;
use crate::{Role, TermPosition};

/// How much younger than the route allows a replica's floor is taken: the caller's first byte was
/// on its way before the daemon saw it, and clocks are read in between.
const FLOOR_MARGIN: Duration = Duration::from_millis(50);

/// What a server in another availability zone counts as slower: the round trip, and the price of
/// bytes between zones, which outweighs a few milliseconds.
const ZONE_PENALTY: Duration = Duration::from_millis(6);

/// What the primary counts as slower for reads that a replica can serve: its slots are the only
/// ones for writes.
const LEADER_PENALTY: Duration = Duration::from_millis(3);

/// The share of a server's connections that daemons split among them; the rest takes up those
/// that a killed daemon leaves behind.
const SHARED_PERCENT: usize = 90;

/// How many times its share a daemon may use while the server has connections left.
const SHARE_OVERDRAFT: usize = 2;

/// The most statements outstanding at a server from one daemon, in its slots: with three homes its
/// queue then stays short, and what waits does so here, where the order of priority holds.
const OUTSTANDING_PER_SLOT: usize = 2;

/// The fewest connections to one server that a daemon may use.
const CONNECTIONS_MIN: usize = 2;

data! {
    /// The servers that may run a read, the best one first.
    pub(crate) struct Candidates {
        pub(crate) servers: Vec<Candidate>,
        /// The record that a replica's log must hold.
        pub(crate) floor: Option<TermPosition>,
    }

    /// A server that may run a read.
    pub(crate) struct Candidate {
        pub(crate) server: ServerId,
        pub(crate) is_leader: bool,
    }
}

impl State {
    /// Returns the servers that may run a statement that does not need the primary.
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
        let mut ranked = Vec::new();
        for (id, server) in self.servers.of(&job.service) {
            let is_leader = leader.as_ref() == Some(id);
            let is_fit = if is_leader {
                server.is_staying() || job.tried.len() > 1
            } else {
                floor.is_some() && server.is_staying()
            };
            if !is_fit || server.is_unreachable(self.now) || is_at_work(job, id) {
                continue;
            }
            // Asking a replica that has just lagged is in vain: the primary is worth waiting for.
            let is_lagging = server.is_lagging(self.now) && !is_leader;
            if is_lagging && leader.is_some() {
                continue;
            }
            let rank = (
                job.tried.contains(id),
                server.is_failing(),
                is_lagging,
                self.cost(id, is_leader),
            );
            ranked.push((
                rank,
                Candidate {
                    server: id.clone(),
                    is_leader,
                },
            ));
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        Candidates {
            servers: ranked.into_iter().map(|(_, candidate)| candidate).collect(),
            floor,
        }
    }

    /// Returns about how long a statement takes at a server, given what is outstanding there.
    fn cost(&self, id: &ServerId, is_leader: bool) -> Duration {
        let Some(server) = self.servers.get(id) else {
            return Duration::MAX;
        };
        let outstanding = u32::try_from(self.pool.at_work(id, self.now)).unwrap_or(u32::MAX);
        let mut cost = server
            .latency()
            .saturating_mul(outstanding.saturating_add(1));
        if server.record.zone != self.local.zone {
            cost += ZONE_PENALTY;
        }
        if is_leader || server.record.role == Role::Primary {
            cost += LEADER_PENALTY;
        }
        cost
    }

    /// Returns how many zones have a live daemon, each with a home of every service.
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

    /// Returns this daemon's share of a server's connections: its zone's, if it is the home there.
    pub(crate) fn connections_share(&self, server: &ServerId) -> usize {
        let service = self
            .servers
            .get(server)
            .map(|server| &server.record.service);
        let Some((service, catalog)) = service.zip(self.catalog.as_ref()) else {
            return 1;
        };
        let all = catalog
            .services
            .get(service)
            .map_or(CONNECTIONS_MIN, |spec| spec.connections);
        if self.is_home(service) {
            (all * SHARED_PERCENT / 100 / self.live_zones()).max(1)
        } else {
            1
        }
    }

    /// Returns whether a server has enough to do from this daemon.
    pub(crate) fn is_loaded(&self, server: &ServerId) -> bool {
        let slots = self
            .servers
            .get(server)
            .map_or(1, |known| known.record.slots.max(1));
        self.pool.at_work(server, self.now) >= slots * OUTSTANDING_PER_SLOT
    }

    /// Returns how many connections to a server this daemon may have at the moment.
    pub(crate) fn connections_max(&self, server: &ServerId) -> usize {
        let share = self.connections_share(server);
        let is_at_connection_limit = self
            .servers
            .get(server)
            .is_some_and(|known| known.is_at_connection_limit(self.now));
        if is_at_connection_limit {
            share
        } else {
            (share * SHARE_OVERDRAFT).max(CONNECTIONS_MIN)
        }
    }
}

/// Returns whether a statement is at work at a server already.
fn is_at_work(job: &Job, server: &ServerId) -> bool {
    match &job.stage {
        Stage::Queued => false,
        Stage::Sent(sendings) => sendings.iter().any(|sending| sending.server == *server),
    }
}
