//! The VMs whose changed records are still to be sent to peers along with probes.

use std::collections::BTreeMap;

use crate::VmId;
use crate::derives::data;

/// The number of other VMs' records sent along with one probe or answer.
pub const NEWS_PER_MESSAGE: usize = 8;

/// The number of times that a daemon sends each changed record.
pub const SENDS_PER_NEWS: u8 = 12;

data! {
    /// The VMs with changed records, each with the number of sends left. There are at most as many
    /// entries as known VMs.
    #[derive(Default)]
    pub(crate) struct VmNews {
        /// The number of times that each VM's record is still to be sent.
        sends_left: BTreeMap<VmId, u8>,
    }
}

impl VmNews {
    /// Schedules a VM's changed record to be sent.
    pub(crate) fn add(&mut self, vm: VmId) {
        self.sends_left.insert(vm, SENDS_PER_NEWS);
    }

    /// Drops the news of a VM.
    pub(crate) fn remove(&mut self, vm: &VmId) {
        self.sends_left.remove(vm);
    }

    /// Returns the VMs whose records have been sent least often, for one message, and counts the
    /// send.
    pub(crate) fn take(&mut self) -> Vec<VmId> {
        let mut vms: Vec<_> = self
            .sends_left
            .iter()
            .map(|(vm, sends_left)| (*sends_left, vm.clone()))
            .collect();
        vms.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        vms.truncate(NEWS_PER_MESSAGE);
        for (sends_left, vm) in &vms {
            if *sends_left <= 1 {
                self.sends_left.remove(vm);
            } else {
                self.sends_left.insert(vm.clone(), sends_left - 1);
            }
        }
        vms.into_iter().map(|(_, vm)| vm).collect()
    }
}
