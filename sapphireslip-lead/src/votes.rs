//! Counts of the other daemons that can and can't reach each leader.

use std::collections::BTreeMap;

use sapphireslip_core::{ServerId, VmId, data};

use crate::PermissionTable;

data! {
    /// The reports on all leaders, counted once for each table of permissions that is read.
    #[derive(Default)]
    pub(crate) struct Votes {
        /// The reports on each leader that any daemon mentions.
        by_leader: BTreeMap<ServerId, Vote>,
    }

    /// The reports on one leader.
    #[derive(Default)]
    pub(crate) struct Vote {
        /// The number of other daemons that report the leader as unreachable.
        pub(crate) unreachable_from: usize,
        /// The number of other daemons that report a recent answer of the leader.
        pub(crate) reachable_from: usize,
    }
}

impl Votes {
    /// Counts the reports of all daemons whose permission is valid, except those of `own`.
    pub(crate) fn count(table: &PermissionTable, own: &VmId) -> Self {
        let mut votes = Self::default();
        for record in table.permitted().filter(|record| record.vm != *own) {
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

    /// Returns the reports on a leader.
    pub(crate) fn on(&self, leader: &ServerId) -> Vote {
        self.by_leader.get(leader).cloned().unwrap_or_default()
    }
}
