//! A fake of the metadata store.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Incarnation, ServiceName, VmId};
use sapphireslip_lead::{
    Confirmation, LeaderTable, NamedLeader, PermissionRecord, PermissionTable, RowVersion,
    StoreEra, StoreTime, StoreWrite, UnreadableRow, WriteOutcome,
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
        era: StoreEra::FIRST,
    }
}

/// Returns the row of a daemon whose permission ends at `millis` on the daemons' clocks.
pub fn presence_until(
    name: &str,
    zone_name: &str,
    millis: u64,
    store: &FakeStore,
) -> PermissionRecord {
    PermissionRecord {
        until: store.now(millis),
        ..presence(name, zone_name)
    }
}

/// A store that carries out a write only if its conditions hold. It keeps the versions as its own
/// numbers, and adds its era to those that it tells.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// The version of the last write; 0 before the first.
    version: u64,
    /// How often the store has come back from a copy.
    era: StoreEra,
    /// What the last coordinator that named leaders wrote of the era.
    confirmation: Option<Confirmation>,
    /// How long the store had been there, in milliseconds, when the daemons' clocks began.
    earlier_millis: u64,
    /// Whether the store keeps copies of itself.
    keeps_copies: bool,
    /// The store as it was after each write in this era, with the time in milliseconds.
    copies: Vec<(u64, Self)>,
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
        StoreTime(at(millis + 70_000 + self.earlier_millis).since_start)
    }

    /// Returns the store as daemons see it whose clocks begin at `millis` on those of the daemons so far.
    pub fn for_later_daemons(&self, millis: u64) -> Self {
        let mut store = self.clone();
        store.earlier_millis += millis;
        store
    }

    /// Returns the store's era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns an empty store that keeps copies of itself, to come back from.
    pub fn with_copies() -> Self {
        Self {
            keeps_copies: true,
            ..Self::default()
        }
    }

    /// Has the store come back, at `millis`, from the copy that was made `age` milliseconds before.
    pub fn return_from_copy(&mut self, millis: u64, age: u64) {
        let era = StoreEra(self.era.0 + 1);
        let mut copies = std::mem::take(&mut self.copies);
        copies.retain(|(at, _)| at + age <= millis);
        let copy = copies.pop().map(|(_, copy)| copy).unwrap_or_default();
        let leader_writes = self.leader_writes;
        *self = Self {
            era,
            copies: Vec::new(),
            keeps_copies: true,
            earlier_millis: self.earlier_millis,
            leader_writes,
            ..copy
        };
        self.keep_copy(millis);
    }

    /// Keeps a copy of the store as it is at `millis`.
    fn keep_copy(&mut self, millis: u64) {
        if !self.keeps_copies {
            return;
        }
        let copies = std::mem::take(&mut self.copies);
        let copy = self.clone();
        self.copies = copies;
        self.copies.push((millis, copy));
    }

    /// Returns the version that a daemon is told for one of the store's numbers.
    fn told(&self, number: RowVersion) -> RowVersion {
        RowVersion::in_era(self.era, number.0)
    }

    /// Returns the leaders and the coordinator as a read at `millis` would.
    pub fn leaders_at(&self, millis: u64) -> LeaderTable {
        let mut table = self.leaders.clone();
        let confirmation = self.confirmation.as_ref();
        let confirmation = confirmation.filter(|confirmation| confirmation.era == self.era);
        table.era = self.era;
        table.era_age = confirmation
            .map(|confirmation| self.now(millis).0.saturating_sub(confirmation.began.0));
        let leaders = table.leaders.values_mut().map(|(_, version)| version);
        let coordinator = table.coordinator.iter_mut().map(|(_, version)| version);
        let unreadable = table.unreadable.values_mut();
        let unreadable = unreadable.chain(table.unreadable_role.iter_mut());
        let versions = leaders
            .chain(coordinator)
            .chain(unreadable.map(|row| &mut row.version))
            .chain([&mut table.generation]);
        for version in versions {
            *version = self.told(*version);
        }
        table
    }

    /// Returns all permission rows as a read at `millis` would.
    pub fn permissions(&self, millis: u64) -> PermissionTable {
        let rows = self.permissions.values().cloned();
        let unreadable = self.unreadable.iter().cloned();
        PermissionTable {
            permissions: rows
                .map(|(record, version)| (record, self.told(version)))
                .collect(),
            unreadable: unreadable
                .map(|row| UnreadableRow {
                    version: self.told(row.version),
                    ..row
                })
                .collect(),
            version: self.told(RowVersion(self.version)),
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
        if write.is_void_in(self.era) {
            // The daemon does not send it.
            return WriteOutcome::Unknown;
        }
        self.write_late(millis, write)
    }

    /// Carries out a write that was sent earlier, perhaps in an earlier era, if its conditions hold by the
    /// store's own numbers.
    pub fn write_late(&mut self, millis: u64, write: &StoreWrite) -> WriteOutcome {
        let now = self.now(millis);
        if !self.holds(write) {
            let permission_version = match write {
                StoreWrite::RenewPermission { record, .. } => {
                    Some(self.told(self.permission_version(&record.vm)))
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
            StoreWrite::NameLeaders {
                leaders,
                confirmation,
                ..
            } => {
                self.leader_writes += 1;
                self.confirmation.clone_from(confirmation);
                for leader in leaders {
                    let row = (leader.record.clone(), version);
                    self.leaders.leaders.insert(leader.service.clone(), row);
                    self.leaders.unreadable.remove(&leader.service);
                }
                self.leaders.generation = version;
            }
        }
        self.keep_copy(millis);
        let version = self.told(version);
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
        let is = |present: RowVersion, expected: RowVersion| present.0 == expected.number();
        match write {
            StoreWrite::RenewPermission {
                record,
                permission_version,
                generation,
                coordinator_version,
            } => {
                is(self.permission_version(&record.vm), *permission_version)
                    && coordinator_version.is_none_or(|version| is(present_version, version))
                    && generation.is_none_or(|generation| is(self.leaders.generation, generation))
            }
            StoreWrite::DropPermission {
                vm,
                permission_version,
            } => is(self.permission_version(vm), *permission_version),
            StoreWrite::SetCoordinator {
                coordinator_version,
                ended,
                ..
            } => {
                let has_ended =
                    |(vm, version): &(VmId, RowVersion)| is(self.permission_version(vm), *version);
                is(present_version, *coordinator_version) && ended.as_ref().is_none_or(has_ended)
            }
            StoreWrite::NameLeaders {
                leaders,
                coordinator_version,
                generation,
                ..
            } => {
                let is_present = |leader: &NamedLeader| {
                    let present = self.leaders.leaders.get(&leader.service);
                    let unreadable = self.leaders.unreadable.get(&leader.service);
                    let version = present.map(|(_, version)| *version);
                    let version = version.or(unreadable.map(|row| row.version));
                    is(version.unwrap_or_default(), leader.version)
                };
                leaders.iter().all(is_present)
                    && is(present_version, *coordinator_version)
                    && is(self.leaders.generation, *generation)
            }
        }
    }
}
