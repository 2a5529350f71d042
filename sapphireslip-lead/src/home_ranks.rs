//! The order in which the daemons of this zone are considered as the home of each service.
//!
//! The order is needed with every event but changes only with the daemons and the services, so it
//! is cached.

use std::collections::BTreeMap;

use sapphireslip_core::placement::rendezvous_weight;
use sapphireslip_core::{ServiceName, VmId, data};

use crate::PermissionTable;
use crate::state::{Identity, State};

data! {
    /// The orders for all services of the configuration.
    #[derive(Default)]
    pub(crate) struct HomeRanks {
        /// The daemons for which the orders were computed, in the order of the permission table.
        vms: Vec<VmId>,
        /// The order for each service.
        by_service: BTreeMap<ServiceName, HomeRank>,
    }

    /// The order of the daemons of this zone for one service.
    pub(crate) struct HomeRank {
        /// The indexes of the zone's other daemons in the permission table, best rank first.
        pub(crate) others: Vec<usize>,
        /// The number of other daemons that rank before this one.
        pub(crate) before_own: usize,
    }
}

impl HomeRank {
    /// Computes the order for a service by rendezvous hashing, so that it changes little when
    /// daemons come and go.
    pub(crate) fn new(service: &ServiceName, local: &Identity, table: &PermissionTable) -> Self {
        let weight = |vm: &VmId| (rendezvous_weight(service.as_str(), vm.as_str()), vm.clone());
        let own = weight(&local.vm);
        let permissions = table.permissions.iter().enumerate();
        let mut others: Vec<((u64, VmId), usize)> = permissions
            .filter(|(_, (record, _))| record.zone == local.zone && record.vm != local.vm)
            .map(|(place, (record, _))| (weight(&record.vm), place))
            .collect();
        others.sort_unstable_by(|one, other| other.cmp(one));
        Self {
            before_own: others.partition_point(|(weight, _)| *weight > own),
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
        let vms = table.permissions.iter().map(|(record, _)| &record.vm);
        let has_services = self
            .home_ranks
            .by_service
            .keys()
            .eq(catalog.services.keys());
        if has_services && vms.clone().eq(&self.home_ranks.vms) {
            return;
        }
        let rank = |service: &ServiceName| HomeRank::new(service, &self.local, table);
        let services = catalog.services.keys();
        self.home_ranks = HomeRanks {
            vms: vms.cloned().collect(),
            by_service: services
                .map(|service| (service.clone(), rank(service)))
                .collect(),
        };
    }
}
