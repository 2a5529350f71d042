use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Incarnation, VmId};
use sapphireslip_lead::{
    LeadTable, NamedLead, PermitRecord, PermitTable, RowVersion, StoreTime, StoreWrite,
    WriteOutcome,
};

use super::{at, vm, zone};

/// Returns the row of a daemon that lives for long and has no permission.
pub fn presence(name: &str, zone_name: &str) -> PermitRecord {
    PermitRecord {
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
    pub leads: LeadTable,
    /// How many writes have named leaders.
    pub namings: usize,
    permits: BTreeMap<VmId, (PermitRecord, RowVersion)>,
}

impl FakeStore {
    pub fn now(&self, millis: u64) -> StoreTime {
        // Another zero than the daemons' clocks have.
        StoreTime(at(millis + 70_000).since_start)
    }

    pub fn permits(&self, millis: u64) -> PermitTable {
        PermitTable {
            permits: self.permits.values().cloned().collect(),
            version: RowVersion(self.version),
            now: self.now(millis),
        }
    }

    /// Writes the row of another daemon, over any earlier one.
    pub fn add_permit(&mut self, record: PermitRecord) {
        self.version += 1;
        let version = RowVersion(self.version);
        self.permits.insert(record.vm.clone(), (record, version));
    }

    fn permit_version(&self, vm: &VmId) -> RowVersion {
        self.permits
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
                self.permits.insert(record.vm.clone(), row);
            }
            StoreWrite::DropPermit { vm, .. } => {
                self.permits.remove(vm);
            }
            StoreWrite::Duty { record, .. } => {
                self.leads.duty = record.clone().map(|record| (record, version));
            }
            StoreWrite::Leads { named, .. } => {
                self.namings += 1;
                for lead in named {
                    let row = (lead.record.clone(), version);
                    self.leads.leads.insert(lead.service.clone(), row);
                }
                self.leads.generation = version;
            }
        }
        WriteOutcome::Done { version, now }
    }

    fn holds(&self, write: &StoreWrite) -> bool {
        let duty_version = self
            .leads
            .duty
            .as_ref()
            .map_or(RowVersion(0), |(_, version)| *version);
        match write {
            StoreWrite::Permit {
                record,
                permit,
                generation,
            } => {
                self.permit_version(&record.vm) == *permit
                    && generation.is_none_or(|generation| self.leads.generation == generation)
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
                    let present = self.leads.leads.get(&lead.service);
                    present.map_or(RowVersion(0), |(_, version)| *version) == lead.lead
                };
                named.iter().all(is_present)
                    && duty_version == *duty
                    && self.leads.generation == *generation
            }
        }
    }
}
