use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Incarnation, VmId};
use sapphireslip_lead::{
    LeaderTable, NamedLead, PermissionRecord, PermissionTable, RowVersion, StoreTime, StoreWrite,
    WriteOutcome,
};

use super::{at, vm, zone};

/// Returns the row of a daemon that lives for long and has no permission.
pub fn presence(name: &str, zone_name: &str) -> PermissionRecord {
    PermissionRecord {
        vm: vm(name),
        incarnation: Incarnation(1),
        zone: zone(zone_name),
        peers: "10.1.0.9:7000".parse().expect("an address"),
        alive: StoreTime(Duration::from_secs(600)),
        until: StoreTime::default(),
        unreachable: Vec::new(),
        reached: Vec::new(),
    }
}

/// A store that does a write only if its conditions hold.
#[derive(Debug, Default)]
pub struct FakeStore {
    version: u64,
    pub leaders: LeaderTable,
    /// How many writes have named leaders.
    pub leader_writes: usize,
    permissions: BTreeMap<VmId, (PermissionRecord, RowVersion)>,
}

impl FakeStore {
    pub fn now(&self, millis: u64) -> StoreTime {
        // Another zero than the daemons' clocks have.
        StoreTime(at(millis + 70_000).since_start)
    }

    pub fn permissions(&self, millis: u64) -> PermissionTable {
        PermissionTable {
            permissions: self.permissions.values().cloned().collect(),
            version: RowVersion(self.version),
            now: self.now(millis),
        }
    }

    /// Writes the row of another daemon, over any earlier one.
    pub fn add_permit(&mut self, record: PermissionRecord) {
        self.version += 1;
        let version = RowVersion(self.version);
        self.permissions
            .insert(record.vm.clone(), (record, version));
    }

    fn permit_version(&self, vm: &VmId) -> RowVersion {
        self.permissions
            .get(vm)
            .map_or(RowVersion(0), |(_, version)| *version)
    }

    pub fn write(&mut self, millis: u64, write: &StoreWrite) -> WriteOutcome {
        let now = self.now(millis);
        if !self.holds(write) {
            let permit = match write {
                StoreWrite::Permit { record, .. } => Some(self.permit_version(&record.vm)),
                _ => None,
            };
            return WriteOutcome::Conflict { permit, now };
        }
        self.version += 1;
        let version = RowVersion(self.version);
        match write {
            StoreWrite::Permit { record, .. } => {
                let row = (record.clone(), version);
                self.permissions.insert(record.vm.clone(), row);
            }
            StoreWrite::DropPermit { vm, .. } => {
                self.permissions.remove(vm);
            }
            StoreWrite::Duty { record, .. } => {
                self.leaders.coordinator = record.clone().map(|record| (record, version));
            }
            StoreWrite::Leads { named, .. } => {
                self.leader_writes += 1;
                for lead in named {
                    let row = (lead.record.clone(), version);
                    self.leaders.leaders.insert(lead.service.clone(), row);
                }
                self.leaders.generation = version;
            }
        }
        WriteOutcome::Done { version, now }
    }

    fn holds(&self, write: &StoreWrite) -> bool {
        let duty_version = self
            .leaders
            .coordinator
            .as_ref()
            .map_or(RowVersion(0), |(_, version)| *version);
        match write {
            StoreWrite::Permit {
                record,
                permit,
                generation,
            } => {
                self.permit_version(&record.vm) == *permit
                    && generation.is_none_or(|generation| self.leaders.generation == generation)
            }
            StoreWrite::DropPermit { vm, permit } => self.permit_version(vm) == *permit,
            StoreWrite::Duty { duty, ended, .. } => {
                let has_ended =
                    |(vm, version): &(VmId, RowVersion)| self.permit_version(vm) == *version;
                duty_version == *duty && ended.as_ref().is_none_or(has_ended)
            }
            StoreWrite::Leads {
                named,
                duty,
                generation,
            } => {
                let is_present = |lead: &NamedLead| {
                    let present = self.leaders.leaders.get(&lead.service);
                    present.map_or(RowVersion(0), |(_, version)| *version) == lead.lead
                };
                named.iter().all(is_present)
                    && duty_version == *duty
                    && self.leaders.generation == *generation
            }
        }
    }
}
