//! The settings of a daemon whose groups are led by whom the store names.
//!
//! ```toml
//! vm = "vm-1"
//! zone = "a"
//! callers = "10.0.0.1:5432"     # where callers connect
//! readiness = "10.0.0.1:9000"   # where the platform asks whether they should
//! peers = "10.0.0.1:7000"       # where other daemons pass sessions on
//! metrics = "10.0.0.1:9001"     # where metrics are served
//! log_level = "info"            # may be left out
//! drain_bound = "6s"            # how long a stop may take; may be left out
//!
//! [store]                       # selects this kind of settings
//! address = "10.0.9.1:443"
//!
//! [promotion]
//! address = "10.0.9.2:443"
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use sapphireslip_core::{Located, TomlTable, ValueFault, VmId, ZoneName};

use crate::raw_settings::{Faults, address, duration, name};
use crate::settings::log_level;
use crate::{RawSettings, SettingsErrors};

/// The time a stop may take if none is given.
pub const LEAD_DRAIN_BOUND_DEFAULT: Duration = Duration::from_secs(6);

/// The longest time that a stop may take.
const LEAD_DRAIN_BOUND_MAX: Duration = Duration::from_secs(60 * 60);

/// The settings, checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadSettings {
    /// The VM on which the daemon runs.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub clients: SocketAddr,
    /// Where the platform asks whether callers should come.
    pub readiness: SocketAddr,
    /// Where other daemons pass sessions on.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// How long a stop may take.
    pub drain_bound: Duration,
    /// Where the store is.
    pub store: SocketAddr,
    /// Where promotions are asked for.
    pub promotion: SocketAddr,
}

impl TryFrom<&[u8]> for LeadSettings {
    type Error = SettingsErrors;

    fn try_from(bytes: &[u8]) -> Result<Self, SettingsErrors> {
        RawSettings::try_from(bytes)?.check(check)
    }
}

/// Returns whether a settings file is of this kind.
///
/// ```
/// assert!(sapphireslipd::is_lead_settings(b"[store]\naddress = \"10.0.0.1:443\""));
/// assert!(!sapphireslipd::is_lead_settings(b"vm = \"vm-1\""));
/// ```
#[must_use]
pub fn is_lead_settings(bytes: &[u8]) -> bool {
    let text = std::str::from_utf8(bytes).ok();
    let table = text.and_then(|text| text.parse::<toml::Table>().ok());
    table.is_some_and(|table| table.contains_key("store"))
}

/// Reads every value before any is missed, so that all faults are found at once.
fn check(mut root: TomlTable<'_>, faults: &mut Faults<'_>) -> Option<LeadSettings> {
    let vm = name::<VmId>(&mut root, faults, "vm");
    let zone = name::<ZoneName>(&mut root, faults, "zone");
    let clients = address(&mut root, faults, "callers");
    let readiness = address(&mut root, faults, "readiness");
    let peers = address(&mut root, faults, "peers");
    let metrics = address(&mut root, faults, "metrics");
    let level = log_level(&mut root, faults);
    let drain_bound = duration(&mut root, faults, "drain_bound", LEAD_DRAIN_BOUND_MAX);
    let store = service(&mut root, faults, "store");
    let promotion = service(&mut root, faults, "promotion");
    root.finish(faults);
    Some(LeadSettings {
        vm: vm?.value,
        zone: zone?.value,
        clients: clients?.value,
        readiness: readiness?.value,
        peers: peers?.value,
        metrics: metrics?.value,
        log_level: level.unwrap_or(LevelFilter::Info),
        drain_bound: drain_bound.unwrap_or(LEAD_DRAIN_BOUND_DEFAULT),
        store: store?.value,
        promotion: promotion?.value,
    })
}

/// Reads the table of a service of the platform.
fn service(
    root: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
) -> Option<Located<SocketAddr>> {
    let Some(mut section) = root.optional_table(faults, key) else {
        let fault = ValueFault::Missing("an IP number and a port, such as `10.0.0.1:443`");
        faults.add(0, &format!("{key}.address"), fault);
        return None;
    };
    let address = address(&mut section, faults, "address");
    section.finish(faults);
    address
}
