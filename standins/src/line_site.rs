//! The surroundings of a daemon that speaks the line protocol: a store, backend servers and a
//! settings file.

use std::net::{Ipv4Addr, SocketAddr};

use crate::{LineGroup, LineStore, line_configuration};

/// Starts the backend servers of one service, and a store that holds their entries and the
/// configuration with the route from a database to the service.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let (_group, store) = standins::start_line_site("fees", "ledger").await?;
/// assert!(store.address().ip().is_loopback());
/// # Ok(())
/// # }
/// ```
///
/// # Errors
///
/// Returns an error if no port can be listened on.
pub async fn start_line_site(
    database: &'static str,
    service: &'static str,
) -> std::io::Result<(LineGroup, LineStore)> {
    let group = LineGroup::start(service).await?;
    let store = LineStore::start(group.clone()).await?;
    let configuration = line_configuration(1, database, service);
    store.put("op", "config", configuration.as_bytes());
    for (id, entry) in group.entries(service) {
        store.put("servers", &id, entry.as_bytes());
    }
    Ok((group, store))
}

/// Returns the text of the settings file of a daemon that has the loopback address `ip` to itself;
/// the store and the promotion service are at `platform`.
///
/// ```
/// let settings = standins::line_settings("vm-1", [127, 0, 0, 9].into(), ([127, 0, 0, 1], 7).into());
/// assert!(settings.contains("callers = \"127.0.0.9:5432\""));
/// ```
#[must_use]
pub fn line_settings(vm: &str, ip: Ipv4Addr, platform: SocketAddr) -> String {
    format!(
        "vm = \"{vm}\"\nzone = \"a\"\ncallers = \"{ip}:5432\"\npeers = \"{ip}:7000\"\n\
         readiness = \"{ip}:9000\"\nmetrics = \"{ip}:9001\"\ndrain_bound = \"6s\"\n\
         [store]\naddress = \"{platform}\"\n[promotion]\naddress = \"{platform}\"\n"
    )
}
