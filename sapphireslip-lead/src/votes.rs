//! What the other daemons report of the leaders: who reaches them and who does not.

use std::collections::BTreeMap;

use sapphireslip_core::{ServerId, VmId, data};

use crate::PermissionTable;

data! {
    /// The reports on all leaders, counted once for each table of permissions.
    #[derive(Default)]
    pub(crate) struct Votes {
        by_leader: BTreeMap<ServerId, Vote>,
    }

    /// The reports on one leader.
    #[derive(Default)]
    pub(crate) struct Vote {
        /// How many daemons can't reach it.
        pub(crate) unreachable_from: usize,
        /// How many daemons have lately heard of it.
        pub(crate) reachable_from: usize,
    }
}

impl Votes {
    /// Counts what all daemons with a permission report, but for `own`.
    pub(crate) fn count(table: &PermissionTable, own: &VmId) -> Self {
        let mut votes = Self::default();
        let permissions = table.permissions.iter().map(|(record, _)| record);
        for record in permissions.filter(|record| record.vm != *own && table.now < record.until) {
            for leader in &record.unreachable {
                votes
                    .by_leader
                    .entry(leader.clone())
                    .or_default()
                    .unreachable_from += 1;
            }
            for leader in &record.reached {
                votes
                    .by_leader
                    .entry(leader.clone())
                    .or_default()
                    .reachable_from += 1;
            }
        }
        votes
    }

    pub(crate) fn on(&self, leader: &ServerId) -> Vote {
        self.by_leader.get(leader).cloned().unwrap_or_default()
    }
}
