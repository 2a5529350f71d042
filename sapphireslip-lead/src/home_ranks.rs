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

/// The same number before a VM is preferred that has less than half of the share of the strongest.
const PREFERRED_STRONG_VMS_MIN: usize = 2;

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

/// The daemons of a zone, from which the homes of all services are chosen.
pub(crate) struct ZoneDaemons<'a> {
    candidates: Vec<Candidate<'a>>,
    /// The VM that is to be the home of each service.
    homes: BTreeMap<&'a ServiceName, &'a VmId>,
}

/// A daemon that may be a home.
struct Candidate<'a> {
    vm: &'a VmId,
    millicores: u32,
    /// The index in the permission table; none for this daemon.
    place: Option<usize>,
    is_preferred: bool,
}

impl<'a> ZoneDaemons<'a> {
    /// Returns the daemons of a zone, with this one if it is there, and chooses the homes of
    /// `services` among those that are alive.
    pub(crate) fn new(
        zone: &ZoneName,
        local: &'a Identity,
        table: &'a PermissionTable,
        services: impl IntoIterator<Item = &'a ServiceName>,
    ) -> Self {
        let rows = table.permissions.iter().enumerate();
        let rows = rows
            .map(|(place, (record, _))| (record, place))
            .filter(|(record, _)| record.zone == *zone && record.vm != local.vm);
        let own = (local.zone == *zone).then_some((&local.vm, local.millicores));
        let alive = rows
            .clone()
            .filter(|(record, _)| table.now < record.alive)
            .map(|(record, _)| (&record.vm, record.millicores));
        let services: Vec<_> = services.into_iter().collect();
        let preferred = preferred(own.into_iter().chain(alive).collect(), services.len());
        let others = rows.map(|(record, place)| (&record.vm, record.millicores, Some(place)));
        let own = own
            .into_iter()
            .map(|(vm, millicores)| (vm, millicores, None));
        let candidates = own.chain(others).map(|(vm, millicores, place)| Candidate {
            vm,
            millicores,
            place,
            is_preferred: preferred.contains(vm),
        });
        let mut daemons = Self {
            candidates: candidates.collect(),
            homes: BTreeMap::new(),
        };
        daemons.choose_homes(&services);
        daemons
    }

    /// Chooses the home of each service: the preferred VM of the best rank that is not yet the home
    /// of its share of the services, or of as many as take half of its processor if that is more.
    /// Ranks alone move the fewest sessions when VMs come and go, so they decide while there is room.
    ///
    /// By ranks alone, the weakest of three VMs became the home of half of eight services, and
    /// answers waited behind its processor and its link.
    fn choose_homes(&mut self, services: &[&'a ServiceName]) {
        let preferred: Vec<_> = self.candidates.iter().filter(|c| c.is_preferred).collect();
        let total: u64 = preferred.iter().map(|c| u64::from(c.millicores)).sum();
        let count = u64::try_from(services.len()).unwrap_or(u64::MAX);
        let share = |c: &Candidate<'_>| {
            let share = (count * u64::from(c.millicores)).div_ceil(total.max(1));
            share.max(u64::from(c.millicores / HOME_MILLICORES / 2))
        };
        let mut free: BTreeMap<_, _> = preferred.iter().map(|c| (c.vm, share(c))).collect();
        for service in services {
            let with_room = preferred
                .iter()
                .filter(|c| free.get(c.vm).is_some_and(|left| *left > 0));
            let best = with_room.max_by_key(|c| c.rank(service));
            if let Some(best) = best {
                self.homes.insert(service, best.vm);
                free.entry(best.vm).and_modify(|left| *left -= 1);
            }
        }
    }

    /// Returns the places of the daemons in the permission table, the best home of a service first.
    /// The place of this daemon is none.
    pub(crate) fn ranked(&self, service: &ServiceName) -> Vec<Option<usize>> {
        let home = self.homes.get(service);
        let key = |c: &Candidate<'a>| Reverse((home == Some(&c.vm), c.rank(service)));
        let mut ranked: Vec<_> = self.candidates.iter().map(|c| (key(c), c.place)).collect();
        ranked.sort_unstable_by_key(|(key, _)| *key);
        ranked.into_iter().map(|(_, place)| place).collect()
    }
}

/// Returns the strongest of the VMs: as many as together have [`HOME_MILLICORES`] for each service,
/// and at least [`PREFERRED_VMS_MIN`] of those that are about as strong as the strongest.
fn preferred(mut vms: Vec<(&VmId, u32)>, services: usize) -> BTreeSet<&VmId> {
    vms.sort_unstable_by_key(|(vm, millicores)| {
        (Reverse(*millicores), rendezvous_weight("", vm.as_str()))
    });
    let strong = vms.first().map_or(0, |(_, millicores)| millicores / 2);
    let needed = u64::from(HOME_MILLICORES) * u64::try_from(services).unwrap_or(u64::MAX);
    let mut preferred = BTreeSet::new();
    let mut sum = 0_u64;
    for (vm, millicores) in vms {
        let is_enough = match millicores >= strong {
            true => preferred.len() >= PREFERRED_VMS_MIN,
            false => preferred.len() >= PREFERRED_STRONG_VMS_MIN,
        };
        if is_enough && sum >= needed {
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
    /// Returns the order for a service. Preferred daemons come first; the order changes little
    /// when daemons come and go.
    pub(crate) fn new(service: &ServiceName, daemons: &ZoneDaemons<'_>) -> Self {
        let ranked = daemons.ranked(service);
        let before_own = ranked.iter().position(Option::is_none);
        Self {
            before_own: before_own.unwrap_or(ranked.len()),
            others: ranked.into_iter().flatten().collect(),
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
    /// Returns the daemons of a zone with the homes of the configuration's services.
    pub(crate) fn daemons_of<'a>(
        &'a self,
        zone: &ZoneName,
        table: &'a PermissionTable,
    ) -> ZoneDaemons<'a> {
        let services = self
            .catalog
            .iter()
            .flat_map(|catalog| catalog.services.keys());
        ZoneDaemons::new(zone, &self.local, table, services)
    }

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
        let daemons = self.daemons_of(&self.local.zone, table);
        let rank = |service: &ServiceName| (service.clone(), HomeRank::new(service, &daemons));
        self.home_ranks = HomeRanks {
            basis,
            by_service: catalog.services.keys().map(rank).collect(),
        };
    }
}
