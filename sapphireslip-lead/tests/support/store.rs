//! A fake of the metadata store.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Incarnation, ServiceName, VmId};
use sapphireslip_lead::{
    LeaderTable, NamedLeader, PermissionRecord, PermissionTable, RowVersion, StoreTime, StoreWrite,
    UnreadableRow, WriteOutcome,
};

use super::{VM_MILLICORES, at, vm, zone};

/// Returns the row of a daemon that counts as alive for 600 s and has no permission.
pub fn presence(name: &str, zone_name: &str) -> PermissionRecord {
    PermissionRecord {
        vm: vm(name),
        incarnation: Incarnation(1),
        zone: zone(zone_name),
        millicores: VM_MILLICORES,
        peers: "10.1.0.9:7000".parse().expect("an address"),
        alive: StoreTime(Duration::from_secs(600)),
        until: StoreTime::default(),
        unreachable: Vec::new(),
        reached: Vec::new(),
        holds_shares: false,
    }
}

/// A store that carries out a write only if its conditions hold.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// The version of the last write; 0 before the first.
    version: u64,
    /// The leaders and the coordinator.
    pub leaders: LeaderTable,
    /// The number of writes that have named leaders.
    pub leader_writes: usize,
    /// The permission rows of all daemons, each with its version.
    permissions: BTreeMap<VmId, (PermissionRecord, RowVersion)>,
    /// The permission rows that another writer has overwritten with something else.
    unreadable: Vec<UnreadableRow>,
}

impl FakeStore {
    /// Returns the store's clock at `millis` on the daemons' clocks.
    pub fn now(&self, millis: u64) -> StoreTime {
        // The zero of the store's clock differs from that of the daemons' clocks.
        StoreTime(at(millis + 70_000).since_start)
    }

    /// Returns all permission rows as a read at `millis` would.
    pub fn permissions(&self, millis: u64) -> PermissionTable {
        PermissionTable {
            permissions: self.permissions.values().cloned().collect(),
            unreadable: self.unreadable.clone(),
            version: RowVersion(self.version),
            now: self.now(millis),
        }
    }

    /// Writes a daemon's permission row, replacing any earlier one.
    pub fn add_permission(&mut self, record: PermissionRecord) {
        self.version += 1;
        let version = RowVersion(self.version);
        self.permissions
            .insert(record.vm.clone(), (record, version));
    }

    /// Returns what another writer's row looks like.
    fn spoiled(&mut self, key: &str) -> UnreadableRow {
        self.version += 1;
        UnreadableRow {
            key: key.into(),
            version: RowVersion(self.version),
            fault: "cannot parse it".into(),
        }
    }

    /// Has another writer overwrite the row of a service's leader.
    pub fn spoil_leader(&mut self, service: &ServiceName) {
        let row = self.spoiled(service.as_str());
        self.leaders.leaders.remove(service);
        self.leaders.unreadable.insert(service.clone(), row);
    }

    /// Has another writer overwrite the row of the coordinator's role.
    pub fn spoil_role(&mut self) {
        let row = self.spoiled("the coordinator");
        self.leaders.coordinator = None;
        self.leaders.unreadable_role = Some(row);
    }

    /// Has another writer overwrite a VM's permission row with something that can't be read.
    pub fn spoil_permission(&mut self, vm: &VmId) {
        let row = self.spoiled(vm.as_str());
        self.permissions.remove(vm);
        self.unreadable.retain(|row| *row.key != *vm.as_str());
        self.unreadable.push(row);
    }

    /// Returns the version of a VM's permission row; 0 if there is none.
    fn permission_version(&self, vm: &VmId) -> RowVersion {
        let unreadable = self.unreadable.iter().find(|row| *row.key == *vm.as_str());
        let unreadable = unreadable.map_or(RowVersion(0), |row| row.version);
        self.permissions
            .get(vm)
            .map_or(unreadable, |(_, version)| *version)
    }

    /// Carries out a write at `millis` if its conditions hold, and returns its outcome.
    pub fn write(&mut self, millis: u64, write: &StoreWrite) -> WriteOutcome {
        let now = self.now(millis);
        if !self.holds(write) {
            let permission_version = match write {
                StoreWrite::RenewPermission { record, .. } => {
                    Some(self.permission_version(&record.vm))
                }
                _ => None,
            };
            return WriteOutcome::Conflict {
                permission_version,
                now,
            };
        }
        self.version += 1;
        let version = RowVersion(self.version);
        match write {
            StoreWrite::RenewPermission { record, .. } => {
                let row = (record.clone(), version);
                self.unreadable
                    .retain(|row| *row.key != *record.vm.as_str());
                self.permissions.insert(record.vm.clone(), row);
            }
            StoreWrite::DropPermission { vm, .. } => {
                self.permissions.remove(vm);
            }
            StoreWrite::SetCoordinator { record, .. } => {
                self.leaders.coordinator = record.clone().map(|record| (record, version));
                self.leaders.unreadable_role = None;
            }
            StoreWrite::NameLeaders { leaders, .. } => {
                self.leader_writes += 1;
                for leader in leaders {
                    let row = (leader.record.clone(), version);
                    self.leaders.leaders.insert(leader.service.clone(), row);
                    self.leaders.unreadable.remove(&leader.service);
                }
                self.leaders.generation = version;
            }
        }
        WriteOutcome::Done { version, now }
    }

    /// Returns whether all conditions of a write hold.
    fn holds(&self, write: &StoreWrite) -> bool {
        let present_version = self
            .leaders
            .coordinator
            .as_ref()
            .map(|(_, version)| *version);
        let unreadable = self.leaders.unreadable_role.as_ref();
        let present_version = present_version.or(unreadable.map(|row| row.version));
        let present_version = present_version.unwrap_or_default();
        match write {
            StoreWrite::RenewPermission {
                record,
                permission_version,
                generation,
                coordinator_version,
            } => {
                self.permission_version(&record.vm) == *permission_version
                    && coordinator_version.is_none_or(|version| present_version == version)
                    && generation.is_none_or(|generation| self.leaders.generation == generation)
            }
            StoreWrite::DropPermission {
                vm,
                permission_version,
            } => self.permission_version(vm) == *permission_version,
            StoreWrite::SetCoordinator {
                coordinator_version,
                ended,
                ..
            } => {
                let has_ended =
                    |(vm, version): &(VmId, RowVersion)| self.permission_version(vm) == *version;
                present_version == *coordinator_version && ended.as_ref().is_none_or(has_ended)
            }
            StoreWrite::NameLeaders {
                leaders,
                coordinator_version,
                generation,
            } => {
                let is_present = |leader: &NamedLeader| {
                    let present = self.leaders.leaders.get(&leader.service);
                    let unreadable = self.leaders.unreadable.get(&leader.service);
                    let version = present.map(|(_, version)| *version);
                    let version = version.or(unreadable.map(|row| row.version));
                    version.unwrap_or_default() == leader.version
                };
                leaders.iter().all(is_present)
                    && present_version == *coordinator_version
                    && self.leaders.generation == *generation
            }
        }
    }
}
