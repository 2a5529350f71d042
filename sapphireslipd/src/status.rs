//! What `/status` shows.

use sapphireslip_core::State;
use serde::Serialize;

/// A summary of a daemon's state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it takes calls from peers.
    pub address: String,
    /// The run of the daemon.
    pub incarnation: u64,
    /// Whether it is being stopped.
    pub draining: bool,
    /// The count of configuration changes in force.
    pub changes: u64,
    /// The documents in force.
    pub documents: Vec<DocumentStatus>,
    /// The VMs that it knows.
    pub vms: Vec<VmStatus>,
}

/// One document in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DocumentStatus {
    /// The member that owns it.
    pub member: String,
    /// The service.
    pub service: String,
    /// Its version.
    pub generation: u64,
    /// The databases that it declares.
    pub databases: Vec<String>,
}

/// One VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its daemon takes calls from peers.
    pub address: String,
    /// The run of its daemon.
    pub incarnation: u64,
    /// Its state.
    pub state: String,
}

impl From<&State> for Status {
    fn from(state: &State) -> Self {
        let documents = state
            .configuration
            .documents()
            .map(|document| DocumentStatus {
                member: document.member.to_string(),
                service: document.service.to_string(),
                generation: document.generation.0,
                databases: document
                    .databases
                    .iter()
                    .map(|spec| spec.name.to_string())
                    .collect(),
            });
        let vms = state.membership.records().map(|record| VmStatus {
            vm: record.vm.to_string(),
            zone: record.zone.to_string(),
            address: record.address.to_string(),
            incarnation: record.incarnation.0,
            state: format!("{:?}", record.state),
        });
        Self {
            vm: state.local.vm.to_string(),
            zone: state.local.zone.to_string(),
            address: state.local.address.to_string(),
            incarnation: state.local.incarnation.0,
            draining: state.drain.is_draining(),
            changes: state.configuration.changes().0,
            documents: documents.collect(),
            vms: vms.collect(),
        }
    }
}
