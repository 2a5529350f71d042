//! Split of a database's connection limit over its homes.

use crate::{DatabaseSpec, ZoneName};

/// Returns how many connections the home in `zone` may open to each server.
///
/// The limit in the document is split evenly over the zones; the remainder goes to the first zones,
/// one connection each. Each zone gets at least one, so the sum over all zones stays within the
/// limit unless there are more zones than connections.
///
/// ```
/// use sapphireslip_core::{DatabaseName, DatabaseSpec, ZoneName, connection_share};
/// use std::time::Duration;
/// let zones = ["a", "b", "c"].map(|zone| ZoneName::try_from(zone).unwrap());
/// let spec = DatabaseSpec {
///     name: DatabaseName::try_from("stock")?,
///     servers: Vec::new(),
///     zones: zones.to_vec(),
///     connections: 16,
///     max_staleness: Duration::ZERO,
///     deadline: Duration::from_secs(5),
/// };
/// assert_eq!(zones.map(|zone| connection_share(&spec, &zone)), [6, 5, 5]);
/// # Ok::<(), sapphireslip_core::NameError>(())
/// ```
#[must_use]
pub fn connection_share(spec: &DatabaseSpec, zone: &ZoneName) -> u32 {
    let zones = u32::try_from(spec.zones.len().max(1)).unwrap_or(u32::MAX);
    let even = spec.connections / zones;
    let left_over = spec.connections % zones;
    let place = spec.zones.iter().position(|z| z == zone);
    let gets_extra = place.is_some_and(|place| (place as u64) < u64::from(left_over));
    (even + u32::from(gets_extra)).max(1)
}
