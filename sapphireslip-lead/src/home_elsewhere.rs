//! Homes in other zones, for sessions that no daemon of this zone can serve.
//!
//! The store may turn away a part of the daemons, among them the home of a service and those next in
//! rank. A daemon without the store can't renew its permission and may not know the leaders, so it
//! would accept sessions only to refuse their statements.

use std::collections::BTreeSet;

use sapphireslip_core::placement::rendezvous_weight;
use sapphireslip_core::{ServiceName, SessionId};

use crate::homes::{MOVE_IDLE_MIN, RemoteHome};
use crate::state::State;

impl State {
    /// Returns whether this daemon has its permission or can get it from the store.
    pub(crate) fn can_get_permission(&self) -> bool {
        self.permission.is_valid(self.now) || (!self.reads.is_store_away() && self.leaders.is_known)
    }

    /// Returns a home of a service in another zone that had a permission when the permissions were
    /// last read.
    ///
    /// The daemons of this zone spread over the other zones by their VM, and each keeps to one.
    pub(crate) fn home_elsewhere(&self, service: &ServiceName) -> Option<RemoteHome> {
        let table = self.permissions.as_ref()?;
        let rows = table.permissions.iter().map(|(record, _)| &record.zone);
        let zones: BTreeSet<_> = rows.filter(|zone| **zone != self.local.zone).collect();
        let homes = zones.into_iter().filter_map(|zone| {
            let ranked = self.daemons_of(zone, table).ranked(service);
            let mut records = ranked
                .into_iter()
                .filter_map(|place| Some(&table.permissions.get(place?)?.0));
            let record = records
                .find(|record| table.now < record.until && self.may_forward_to(record, service))?;
            let own = format!("{}/{service}", self.local.vm);
            Some((rendezvous_weight(&own, zone.as_str()), record))
        });
        let (_, record) = homes.max_by_key(|(weight, _)| *weight)?;
        Some(RemoteHome {
            vm: record.vm.clone(),
            address: record.peers,
            is_elsewhere: true,
        })
    }

    /// Returns an idle session that is forwarded to another zone although a daemon of this zone can
    /// serve it again, or that is not at the daemon of this zone that is first in rank and can serve it
    /// again.
    ///
    /// Left there, the sessions of a home that was lost for a moment keep another daemon at work with the
    /// servers for as long as they last.
    pub(crate) fn session_to_return(&self) -> Option<SessionId> {
        let table = self.permissions.as_ref()?;
        let has_permission = |home: &RemoteHome| {
            let mut permitted = table.permitted();
            permitted.any(|record| record.vm == home.vm)
        };
        let mut idle = self.relays.idle(self.now, MOVE_IDLE_MIN).into_iter();
        idle.find(|id| {
            let Some(service) = self.service_of_relay(*id) else {
                return false;
            };
            let home = self.other_home(&service);
            let vm = home.as_ref().map_or(&self.local.vm, |home| &home.vm);
            let is_better = match self.relays.place(*id) {
                Some((_, true)) => true,
                Some((at, false)) => at != vm && self.is_first_in_rank(&service, vm),
                None => false,
            };
            is_better
                && match &home {
                    Some(home) => has_permission(home),
                    None => self.permission.is_valid(self.now),
                }
        })
    }
}
