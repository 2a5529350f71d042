//! The summary of a daemon's state that `/status` returns as JSON.

use sapphireslip_core::{Home, State};
use serde::Serialize;

/// A summary of a daemon's state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The VM on which the daemon runs.
    pub vm: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The address at which the daemon accepts calls from peers.
    pub address: String,
    /// The number of this run of the daemon; it is higher after each restart.
    pub incarnation: u64,
    /// Whether the daemon is stopping.
    pub draining: bool,
    /// The platform's change count up to which all configuration changes are in force.
    pub changes: u64,
    /// The configuration documents in force.
    pub documents: Vec<DocumentStatus>,
    /// The databases whose home is this daemon.
    pub homes: Vec<HomeStatus>,
    /// The VMs that the daemon knows, including its own.
    pub vms: Vec<VmStatus>,
}

/// A configuration document in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DocumentStatus {
    /// The member that owns the document.
    pub member: String,
    /// The service that the document configures.
    pub service: String,
    /// The version of the document.
    pub generation: u64,
    /// The databases that the document declares.
    pub databases: Vec<String>,
}

/// A database whose home is the daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HomeStatus {
    /// The name of the database.
    pub database: String,
    /// The server that accepts writes, if it is known.
    pub primary: Option<String>,
    /// The term of the primary, if it is known.
    pub term: Option<u64>,
    /// The number of requests that wait for a connection.
    pub queued: usize,
    /// The number of connections to backend servers that are open or being opened.
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

/// A VM that the daemon knows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// The name of the VM.
    pub vm: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The address at which the VM's daemon accepts calls from peers.
    pub address: String,
    /// The number of the current run of the VM's daemon.
    pub incarnation: u64,
    /// The state of the VM as this daemon sees it, such as `Alive` or `Suspect`.
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
