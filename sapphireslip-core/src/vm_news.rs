//! Which VMs' records are still to be told to peers, along with probes.

use std::collections::BTreeMap;

use crate::VmId;
use crate::derives::data;

/// How many records of others go along with one probe or acknowledgement.
pub const NEWS_PER_MESSAGE: usize = 8;

/// How many times a daemon passes on one piece of news.
pub const NEWS_SENDS: u8 = 12;

data! {
    /// News and how many sends of each are left; bounded by the count of members.
    #[derive(Default)]
    pub(crate) struct VmNews {
        left: BTreeMap<VmId, u8>,
    }
}

impl VmNews {
    /// Notes that a VM's record has changed.
    pub(crate) fn add(&mut self, vm: VmId) {
        self.left.insert(vm, NEWS_SENDS);
    }

    /// Drops a VM that is forgotten.
    pub(crate) fn remove(&mut self, vm: &VmId) {
        self.left.remove(vm);
    }

    /// Takes the news that has been sent least, for one message.
    pub(crate) fn take(&mut self) -> Vec<VmId> {
        let mut vms: Vec<_> = self
            .left
            .iter()
            .map(|(vm, left)| (*left, vm.clone()))
            .collect();
        vms.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        vms.truncate(NEWS_PER_MESSAGE);
        for (left, vm) in &vms {
            if *left <= 1 {
                self.left.remove(vm);
            } else {
                self.left.insert(vm.clone(), left - 1);
            }
        }
        vms.into_iter().map(|(_, vm)| vm).collect()
    }
}
