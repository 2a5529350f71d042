//! What the other daemons report of the leaders: who reaches them and who does not.

use std::collections::BTreeMap;

use sapphireslip_core::{ServerId, VmId, data};

use crate::PermissionTable;

data! {
    /// The reports on all leaders, counted once for each table of permissions.
    #[derive(Default)]
    pub(crate) struct Votes {
        of: BTreeMap<ServerId, Vote>,
    }

    /// The reports on one leader.
    #[derive(Default)]
    pub(crate) struct Vote {
        /// How many daemons can't reach it.
        pub(crate) accusers: usize,
        /// How many daemons have lately heard of it.
        pub(crate) witnesses: usize,
    }
}

impl Votes {
    /// Counts what all daemons with a permission report, but for `own`.
    pub(crate) fn count(table: &PermissionTable, own: &VmId) -> Self {
        let mut votes = Self::default();
        let permissions = table.permissions.iter().map(|(record, _)| record);
        for record in permissions.filter(|record| record.vm != *own && table.now < record.until) {
            for leader in &record.unreachable {
                votes.of.entry(leader.clone()).or_default().accusers += 1;
            }
            for leader in &record.reached {
                votes.of.entry(leader.clone()).or_default().witnesses += 1;
            }
        }
        votes
    }

    pub(crate) fn on(&self, leader: &ServerId) -> Vote {
        self.of.get(leader).cloned().unwrap_or_default()
    }
}
