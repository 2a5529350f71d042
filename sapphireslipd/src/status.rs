//! What `/status` shows.

use sapphireslip_core::{Home, State};
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
    /// The databases of which it is the home.
    pub homes: Vec<HomeStatus>,
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

/// One database of which the daemon is the home.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HomeStatus {
    /// The database.
    pub database: String,
    /// The primary, if one is known.
    pub primary: Option<String>,
    /// The primary's term.
    pub term: Option<u64>,
    /// Requests that wait for a connection.
    pub queued: usize,
    /// Open connections to backend servers.
    pub connections: usize,
}

impl From<&Home> for HomeStatus {
    fn from(home: &Home) -> Self {
        let primary = home.group().primary();
        Self {
            database: home.database().to_string(),
            primary: primary.as_ref().map(|primary| primary.server.to_string()),
            term: primary.map(|primary| primary.term.0),
            queued: home.queued(),
            connections: home.connections(),
        }
    }
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
            homes: state.homes.homes().map(HomeStatus::from).collect(),
            vms: vms.collect(),
        }
    }
}
