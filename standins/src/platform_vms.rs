//! The list of VMs and leaving backend servers, whose changes become visible with a lag.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use sapphireslip_wire::platform::{ListReply, Vm};

/// The VM list with its recent versions, so that it can be read as it was some time ago.
#[derive(Debug, Default)]
pub(crate) struct VmHistory {
    /// The VMs at present, by name.
    vms: BTreeMap<String, Vm>,
    /// The IP addresses of the backend servers that are about to leave at present.
    leaving_servers: BTreeSet<IpAddr>,
    /// The list after each recent change with the time of the change, oldest first.
    history: VecDeque<(Instant, ListReply)>,
}

impl VmHistory {
    /// Adds a VM or replaces its entry.
    pub(crate) fn set(&mut self, now: Instant, vm: Vm) {
        self.vms.insert(vm.vm.clone(), vm);
        self.record_change(now);
    }

    /// Removes a VM.
    pub(crate) fn remove(&mut self, now: Instant, vm: &str) {
        self.vms.remove(vm);
        self.record_change(now);
    }

    /// Replaces the set of backend servers that are about to leave.
    pub(crate) fn set_leaving_servers(&mut self, now: Instant, servers: BTreeSet<IpAddr>) {
        self.leaving_servers = servers;
        self.record_change(now);
    }

    /// Returns the list as it was `lag` ago, and drops older versions.
    pub(crate) fn list(&mut self, now: Instant, lag: Duration) -> ListReply {
        let seen = |at: Instant| now.saturating_duration_since(at) >= lag;
        while self.history.get(1).is_some_and(|(at, _)| seen(*at)) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((at, list)) if seen(*at) => list.clone(),
            _ => ListReply::default(),
        }
    }

    /// Adds the present list to the history.
    fn record_change(&mut self, now: Instant) {
        let list = ListReply {
            vms: self.vms.values().cloned().collect(),
            leaving_servers: self
                .leaving_servers
                .iter()
                .map(ToString::to_string)
                .collect(),
        };
        self.history.push_back((now, list));
    }
}
