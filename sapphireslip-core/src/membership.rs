//! Which VMs take part, learnt by probing peers of the same zone and from the platform's list.

use std::net::SocketAddr;

use crate::derives::data;
use crate::{Cx, Local, PeerMessage, VmId, VmRecord};

data! {
    /// What this daemon knows of all VMs.
    pub struct Membership {
        records: Vec<VmRecord>,
        version: u64,
    }
}

impl Membership {
    /// Returns what a daemon knows at its start: itself and the peers of its settings.
    #[must_use]
    pub fn new(_local: &Local, seeds: Vec<VmRecord>) -> Self {
        Self {
            records: seeds,
            version: 0,
        }
    }

    /// Returns all records, this daemon's own included.
    pub fn records(&self) -> impl Iterator<Item = &VmRecord> {
        self.records.iter()
    }

    /// Returns the record of a VM.
    #[must_use]
    pub fn record(&self, vm: &VmId) -> Option<&VmRecord> {
        self.records.iter().find(|record| record.vm == *vm)
    }

    /// Returns where a VM's daemon takes calls from peers.
    #[must_use]
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.record(vm).map(|record| record.address)
    }

    /// Returns a number that rises with each change that may move a home.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn on_peer(&mut self, _cx: &mut Cx<'_>, _from: &VmId, _message: PeerMessage) {}

    pub(crate) fn on_vms(&mut self, _cx: &mut Cx<'_>, _records: Option<Vec<VmRecord>>) {}

    pub(crate) fn on_peer_lost(&mut self, _cx: &mut Cx<'_>, _vm: &VmId) {}

    pub(crate) fn on_tick(&mut self, _cx: &mut Cx<'_>) {}

    /// Announces that this daemon is leaving.
    pub(crate) fn leave(&mut self, _cx: &mut Cx<'_>) {}
}
