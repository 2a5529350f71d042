//! Chooses the relays of a zone: the daemons that read from the platform on behalf of the others.
//!
//! Each daemon computes the relays from its own view of the zone. Views may differ: a daemon that
//! wrongly takes itself for a relay only reads more from the platform than is needed.

use crate::{Membership, VmId, ZoneName};

/// The number of relays in a zone.
pub const RELAYS_PER_ZONE: usize = 2;

/// The rendezvous hashing key by which the VMs of a zone are ranked for the relay role.
const RELAY_KEY: u64 = 0x7265_6c61_7973_0001;

impl Membership {
    /// Returns the relays of a zone, the highest ranked first; fewer than [`RELAYS_PER_ZONE`] if
    /// the zone has fewer usable VMs.
    ///
    /// ```
    /// # use sapphireslip_core::{Incarnation, Local, Membership, VmId, ZoneName};
    /// let local = Local {
    ///     vm: VmId::try_from("vm-1")?,
    ///     zone: ZoneName::try_from("a")?,
    ///     address: "10.0.0.1:7000".parse()?,
    ///     incarnation: Incarnation(1),
    /// };
    /// let membership = Membership::new(&local, Vec::new());
    /// assert_eq!(membership.relays(&local.zone), [local.vm]);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn relays(&self, zone: &ZoneName) -> Vec<VmId> {
        let mut ranked: Vec<_> = self.usable(zone).iter().collect();
        ranked.sort_by_key(|candidate| std::cmp::Reverse(candidate.weight(RELAY_KEY)));
        let first = ranked.into_iter().take(RELAYS_PER_ZONE);
        first.map(|candidate| candidate.vm.clone()).collect()
    }

    /// Returns the relays of all zones but this daemon's own.
    pub(crate) fn foreign_relays(&self) -> Vec<VmId> {
        let foreign = self.zones().filter(|zone| *zone != self.zone());
        foreign.flat_map(|zone| self.relays(zone)).collect()
    }
}
