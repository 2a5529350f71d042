//! The order in which the daemons of this zone are considered as the home of each service.
//!
//! Only a daemon that is a home renews a permission and reads the lists of the store often. The
//! cost of control therefore grows with the daemons that are homes, so the homes of a zone share
//! its strongest VMs, as few as can bear them. The order is needed with every event but changes
//! only with the daemons and the services, so it is cached.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sapphireslip_core::placement::rendezvous_weight;
use sapphireslip_core::{ServiceName, VmId, ZoneName, data};

use crate::PermissionTable;
use crate::state::{Identity, State};

/// The least number of VMs of a zone that are preferred as homes, so that the loss of one moves
/// only a part of the sessions.
const PREFERRED_VMS_MIN: usize = 3;

/// The share of a processor core, in thousandths, that is set aside for each home.
const HOME_MILLICORES: u32 = 60;

/// The most lots that a VM draws for a service, whatever its row says.
const LOTS_MAX: u32 = 64;

data! {
    /// The orders for all services of the configuration.
    #[derive(Default)]
    pub(crate) struct HomeRanks {
        /// The daemons for which the orders were computed, in the order of the permission table.
        basis: Vec<Basis>,
        /// The order for each service.
        by_service: BTreeMap<ServiceName, HomeRank>,
    }

    /// What the orders depend on of one row of the permission table.
    struct Basis {
        /// The VM of the daemon.
        vm: VmId,
        /// The VM's share of a processor core, in thousandths.
        millicores: u32,
        /// Whether the daemon counts as alive.
        is_alive: bool,
    }

    /// The order of the daemons of this zone for one service.
    pub(crate) struct HomeRank {
        /// The indexes of the zone's other daemons in the permission table, best rank first.
        pub(crate) others: Vec<usize>,
        /// The number of other daemons that rank before this one.
        pub(crate) before_own: usize,
    }
}

/// The daemons of this zone, from which the homes of all services are chosen.
pub(crate) struct ZoneDaemons<'a> {
    /// This daemon.
    own: Candidate<'a>,
    /// The other daemons, each with its index in the permission table.
    others: Vec<(Candidate<'a>, usize)>,
}

/// A daemon that may be a home.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    vm: &'a VmId,
    millicores: u32,
    is_preferred: bool,
}

impl<'a> ZoneDaemons<'a> {
    /// Returns the daemons of the zone of `local`, with those marked that are preferred as homes of
    /// `services` services.
    pub(crate) fn new(local: &'a Identity, table: &'a PermissionTable, services: usize) -> Self {
        let rows = table.permissions.iter().enumerate();
        let rows = rows
            .map(|(place, (record, _))| (record, place))
            .filter(|(record, _)| record.zone == local.zone && record.vm != local.vm);
        let mut alive = vec![(&local.vm, local.millicores)];
        alive.extend(
            rows.clone()
                .filter(|(record, _)| table.now < record.alive)
                .map(|(record, _)| (&record.vm, record.millicores)),
        );
        let preferred = preferred(alive, services);
        let candidate = |vm: &'a VmId, millicores| Candidate {
            vm,
            millicores,
            is_preferred: preferred.contains(vm),
        };
        Self {
            own: candidate(&local.vm, local.millicores),
            others: rows
                .map(|(record, place)| (candidate(&record.vm, record.millicores), place))
                .collect(),
        }
    }
}

/// Returns the daemons of another zone with a permission, as indexes in the permission table, the best
/// home of a service first.
pub(crate) fn rank_in_zone(
    zone: &ZoneName,
    service: &ServiceName,
    table: &PermissionTable,
    services: usize,
) -> Vec<usize> {
    let rows = table.permissions.iter().enumerate();
    let alive = rows.filter(|(_, (r, _))| r.zone == *zone && table.now < r.alive);
    let vms = alive.clone().map(|(_, (r, _))| (&r.vm, r.millicores));
    let preferred = preferred(vms.collect(), services);
    let permitted = alive.filter(|(_, (record, _))| table.now < record.until);
    let mut ranked: Vec<_> = permitted
        .map(|(place, (record, _))| {
            let candidate = Candidate {
                vm: &record.vm,
                millicores: record.millicores,
                is_preferred: preferred.contains(&record.vm),
            };
            (candidate.rank(service), place)
        })
        .collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, place)| place).collect()
}

/// Returns the strongest of the VMs: at least [`PREFERRED_VMS_MIN`], and as many as together have
/// [`HOME_MILLICORES`] for each service.
fn preferred(mut vms: Vec<(&VmId, u32)>, services: usize) -> BTreeSet<&VmId> {
    vms.sort_unstable_by_key(|(vm, millicores)| {
        (Reverse(*millicores), rendezvous_weight("", vm.as_str()))
    });
    let needed = u64::from(HOME_MILLICORES) * u64::try_from(services).unwrap_or(u64::MAX);
    let mut preferred = BTreeSet::new();
    let mut sum = 0_u64;
    for (vm, millicores) in vms {
        if preferred.len() >= PREFERRED_VMS_MIN && sum >= needed {
            break;
        }
        preferred.insert(vm);
        sum += u64::from(millicores);
    }
    preferred
}

impl<'a> Candidate<'a> {
    /// Returns the sort key for a service; the highest one is the best.
    ///
    /// This is weighted rendezvous hashing: a VM draws one lot for each home that it can bear, and
    /// its best one counts.
    fn rank(&self, service: &ServiceName) -> (bool, u64, &'a VmId) {
        let lots = (self.millicores / HOME_MILLICORES).clamp(1, LOTS_MAX);
        let weight = (1..lots)
            .map(|lot| rendezvous_weight(service.as_str(), &format!("{}#{lot}", self.vm)))
            .fold(
                rendezvous_weight(service.as_str(), self.vm.as_str()),
                u64::max,
            );
        (self.is_preferred, weight, self.vm)
    }
}

impl HomeRank {
    /// Computes the order for a service. Preferred daemons come first; the order changes little
    /// when daemons come and go.
    pub(crate) fn new(service: &ServiceName, daemons: &ZoneDaemons<'_>) -> Self {
        let own = daemons.own.rank(service);
        let mut others: Vec<_> = daemons
            .others
            .iter()
            .map(|(candidate, place)| (candidate.rank(service), *place))
            .collect();
        others.sort_unstable_by(|one, other| other.cmp(one));
        Self {
            before_own: others.partition_point(|(rank, _)| *rank > own),
            others: others.into_iter().map(|(_, place)| place).collect(),
        }
    }
}

impl HomeRanks {
    /// Returns the cached order for a service; none if the configuration did not have it.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<&HomeRank> {
        self.by_service.get(service)
    }
}

impl State {
    /// Computes the orders anew if the daemons or services have changed.
    pub(crate) fn rank_homes(&mut self) {
        let (Some(table), Some(catalog)) = (&self.permissions, &self.catalog) else {
            return;
        };
        let basis: Vec<Basis> = table
            .permissions
            .iter()
            .map(|(record, _)| Basis {
                vm: record.vm.clone(),
                millicores: record.millicores,
                is_alive: table.now < record.alive,
            })
            .collect();
        let has_services = self
            .home_ranks
            .by_service
            .keys()
            .eq(catalog.services.keys());
        if has_services && basis == self.home_ranks.basis {
            return;
        }
        let daemons = ZoneDaemons::new(&self.local, table, catalog.services.len());
        let rank = |service: &ServiceName| (service.clone(), HomeRank::new(service, &daemons));
        self.home_ranks = HomeRanks {
            basis,
            by_service: catalog.services.keys().map(rank).collect(),
        };
    }
}
