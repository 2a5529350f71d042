//! Which daemon is the home of a database, by rendezvous hashing over a zone's VMs.

use crate::{DatabaseSpec, Membership, VmId, ZoneName};

/// Returns the home of a database for an entry daemon in `zone`: in that zone if the database has
/// one there, else in another of its zones.
#[must_use]
pub fn home_for(
    _membership: &Membership,
    _database: &DatabaseSpec,
    _zone: &ZoneName,
) -> Option<VmId> {
    None
}

/// Returns the homes of a database, one for each of its zones that has a live VM.
#[must_use]
pub fn homes_of(_membership: &Membership, _database: &DatabaseSpec) -> Vec<VmId> {
    Vec::new()
}
