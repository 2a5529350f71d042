//! Counts of the zones whose daemons can and can't reach each leader.

use std::collections::BTreeMap;

use sapphireslip_core::{ServerId, VmId, ZoneName, data};

use crate::PermissionTable;

data! {
    /// The reports on all leaders, counted once for each table of permissions that is read.
    #[derive(Default)]
    pub(crate) struct Votes {
        /// The reports on each leader that any daemon mentions, by the zone of the daemon.
        by_leader: BTreeMap<ServerId, BTreeMap<ZoneName, Reports>>,
    }

    /// The reports of the daemons of one zone on one leader.
    #[derive(Default)]
    struct Reports {
        /// The number of daemons that report the leader as unreachable.
        unreachable: usize,
        /// The number of daemons that report a recent answer of the leader.
        reached: usize,
    }
}

impl Votes {
    /// Counts the reports of all daemons whose permission is valid, except those of `own`.
    pub(crate) fn count(table: &PermissionTable, own: &VmId) -> Self {
        let mut votes = Self::default();
        for record in table.permitted().filter(|record| record.vm != *own) {
            let all = record.unreachable.iter().map(|leader| (leader, false));
            let all = all.chain(record.reached.iter().map(|leader| (leader, true)));
            for (leader, is_reached) in all {
                let zones = votes.by_leader.entry(leader.clone()).or_default();
                let reports = zones.entry(record.zone.clone()).or_default();
                reports.add(is_reached);
            }
        }
        votes
    }

    /// Returns whether a leader can't be reached from more zones than it can be, with the report of this
    /// daemon in the zone `own`. A zone counts by the majority of its daemons.
    ///
    /// Counted by daemon, the 27 of a zone that was cut off outvoted the homes of all other zones, and
    /// leaders that two zones worked with were replaced.
    pub(crate) fn is_lost(&self, leader: &ServerId, own: &ZoneName, is_reached: bool) -> bool {
        let mut zones = self.by_leader.get(leader).cloned().unwrap_or_default();
        zones.entry(own.clone()).or_default().add(is_reached);
        let unreachable = zones
            .values()
            .filter(|zone| zone.unreachable > zone.reached);
        let reached = zones
            .values()
            .filter(|zone| zone.reached > zone.unreachable);
        unreachable.count() > reached.count()
    }
}

impl Reports {
    /// Counts the report of one daemon.
    const fn add(&mut self, is_reached: bool) {
        if is_reached {
            self.reached += 1;
        } else {
            self.unreachable += 1;
        }
    }
}
