//! Chooses the home of a database by rendezvous hashing over a zone's VMs.
//!
//! The home is the daemon in a zone that keeps the connections to the database's servers and runs
//! its requests. Each daemon computes it from the VMs that it knows, without any agreement between
//! daemons. When a VM leaves, only the databases whose home it was move.

use crate::{DatabaseSpec, Membership, VmId, ZoneName};

/// The initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the home of a database for an entry daemon in `zone`: the one in that zone if there is
/// one, otherwise one in another zone of the database; `None` if no zone of the database has a
/// usable VM.
///
/// ```
/// use sapphireslip_core::{Document, Incarnation, Local, Membership, VmId, ZoneName, placement};
/// let local = Local {
///     vm: VmId::try_from("vm-1")?,
///     zone: ZoneName::try_from("a")?,
///     address: "10.0.0.1:7000".parse()?,
///     incarnation: Incarnation(1),
/// };
/// let text = br#"
/// service = "stock"
/// member = "red-quetzal"
/// generation = 1
/// [limits]
/// sessions = 10
/// queued = 10
/// [stop]
/// bound = "5s"
/// [[database]]
/// name = "stock"
/// connections = 16
/// max_staleness = "5s"
/// deadline = "2s"
/// [[database.server]]
/// id = "stock-1"
/// zone = "a"
/// address = "10.0.0.9:5432"
/// "#;
/// let document = Document::try_from(text.as_slice())?;
/// let membership = Membership::new(&local, Vec::new());
/// let home = placement::home_for(&membership, &document.databases[0], &local.zone);
/// assert_eq!(home, Some(local.vm));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[must_use]
pub fn home_for(membership: &Membership, database: &DatabaseSpec, zone: &ZoneName) -> Option<VmId> {
    home_except(membership, database, zone, None)
}

/// Returns the home of a database like [`home_for`], but avoids the VM that was just `lost` if
/// another can be chosen: membership lists a lost VM as suspect, and thus usable, for a while.
pub(crate) fn home_avoiding(
    membership: &Membership,
    database: &DatabaseSpec,
    zone: &ZoneName,
    lost: Option<&VmId>,
) -> Option<VmId> {
    home_except(membership, database, zone, lost).or_else(|| home_for(membership, database, zone))
}

/// Returns the home of a database like [`home_for`], never the VM that was just `lost`.
fn home_except(
    membership: &Membership,
    database: &DatabaseSpec,
    zone: &ZoneName,
    lost: Option<&VmId>,
) -> Option<VmId> {
    let key = hash_name(database.name.as_str());
    if database.zones.contains(zone)
        && let Some(home) = choose_except(membership.usable(zone), key, lost)
    {
        return Some(home.clone());
    }
    let zone_key = mix(key ^ hash_name(zone.as_str()));
    database
        .zones
        .iter()
        .filter_map(|zone| Some((zone, choose_except(membership.usable(zone), key, lost)?)))
        .max_by_key(|(zone, _)| (mix(zone_key ^ hash_name(zone.as_str())), *zone))
        .map(|(_, home)| home.clone())
}

/// Returns the homes of a database, one for each of its zones that has a usable VM.
///
/// ```
/// use sapphireslip_core::{
///     DatabaseSpec, Incarnation, Local, Membership, VmId, ZoneName, placement,
/// };
/// use std::time::Duration;
/// let local = Local {
///     vm: VmId::try_from("vm-1")?,
///     zone: ZoneName::try_from("a")?,
///     address: "10.0.0.1:7000".parse()?,
///     incarnation: Incarnation(1),
/// };
/// let database = DatabaseSpec {
///     name: "stock".try_into()?,
///     servers: Vec::new(),
///     zones: vec![ZoneName::try_from("a")?, ZoneName::try_from("b")?],
///     connections: 16,
///     max_staleness: Duration::ZERO,
///     deadline: Duration::from_secs(2),
/// };
/// let membership = Membership::new(&local, Vec::new());
/// assert_eq!(placement::homes_of(&membership, &database), [local.vm]);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[must_use]
pub fn homes_of(membership: &Membership, database: &DatabaseSpec) -> Vec<VmId> {
    let key = hash_name(database.name.as_str());
    database
        .zones
        .iter()
        .filter_map(|zone| choose(membership.usable(zone), key))
        .cloned()
        .collect()
}

/// Returns whether this daemon is the home of a database in its own zone.
pub(crate) fn is_home(membership: &Membership, database: &DatabaseSpec) -> bool {
    let zone = membership.zone();
    database.zones.contains(zone)
        && choose(membership.usable(zone), hash_name(database.name.as_str()))
            == Some(membership.local())
}

/// A VM that may be chosen, with the hash of its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Candidate {
    /// The name of the VM.
    pub(crate) vm: VmId,
    /// The hash of the VM's name, by [`hash_name`].
    hash: u64,
}

impl Candidate {
    pub(crate) fn new(vm: VmId) -> Self {
        Self {
            hash: hash_name(vm.as_str()),
            vm,
        }
    }

    /// Returns the VM's rendezvous weight for a hashed key.
    pub(crate) const fn weight(&self, key: u64) -> u64 {
        mix(self.hash ^ mix(key))
    }
}

/// Returns the candidate with the highest weight for a hashed key.
fn choose(candidates: &[Candidate], key: u64) -> Option<&VmId> {
    choose_except(candidates, key, None)
}

/// Returns the candidate with the highest weight for a hashed key, except the VM that was just
/// `lost`.
fn choose_except<'a>(
    candidates: &'a [Candidate],
    key: u64,
    lost: Option<&VmId>,
) -> Option<&'a VmId> {
    let highest = candidates
        .iter()
        .filter(|candidate| Some(&candidate.vm) != lost)
        .max_by_key(|candidate| (candidate.weight(key), &candidate.vm))?;
    Some(&highest.vm)
}

/// Returns the weight of a candidate for a key in rendezvous hashing, which chooses the candidate
/// with the highest weight. The weight is the same in every build and on every VM.
///
/// ```
/// use sapphireslip_core::placement::rendezvous_weight;
/// assert_eq!(rendezvous_weight("stock", "vm-1"), rendezvous_weight("stock", "vm-1"));
/// assert_ne!(rendezvous_weight("stock", "vm-1"), rendezvous_weight("stock", "vm-2"));
/// ```
#[must_use]
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    mix(hash_name(candidate) ^ mix(hash_name(key)))
}

/// Returns the FNV-1a hash of a name, which is the same in every build and on every VM.
pub(crate) fn hash_name(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a hash with the finaliser of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
