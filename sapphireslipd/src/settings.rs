//! The settings file of a daemon that is configured by service documents.
//!
//! ```toml
//! vm = "vm-1"
//! zone = "a"
//! callers = "10.0.0.1:5432"    # where clients connect
//! peers = "10.0.0.1:7000"      # where other daemons connect
//! peers_advertised = "10.0.0.1:7000"  # where they reach it, if that differs; optional
//! admin = "10.0.0.1:9000"      # status, metrics, readiness and the timeline
//! platform = "10.0.9.1:443"
//! log_level = "info"           # optional
//! drain_bound = "30s"          # how long a drain waits for open transactions; optional
//!
//! [backend]
//! user = "sapphireslip"
//! password = "secret"          # optional
//!
//! [[peer]]                     # another daemon to contact while the platform is down
//! vm = "vm-2"
//! zone = "a"
//! address = "10.0.0.2:7000"
//! ```

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use sapphireslip_core::{
    Incarnation, Located, Text, TomlTable, ValueFault, VmId, VmRecord, VmState, ZoneName,
};

use crate::raw_settings::{Faults, address, duration, name, optional_address};
use crate::{RawSettings, SettingsErrors, SettingsFault};

/// The drain bound if the settings give none.
pub const DRAIN_BOUND_DEFAULT: Duration = Duration::from_secs(30);

/// The maximum drain bound.
pub const DRAIN_BOUND_MAX: Duration = Duration::from_secs(60 * 60);

/// The checked settings of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The VM on which the daemon runs.
    pub vm: VmId,
    /// The availability zone of that VM.
    pub zone: ZoneName,
    /// The address on which the daemon listens for clients.
    pub clients: SocketAddr,
    /// The address on which the daemon listens for peers.
    pub peers: SocketAddr,
    /// The address that the daemon announces to peers to connect to.
    pub peers_advertised: SocketAddr,
    /// The address on which the daemon serves the admin interface.
    pub admin: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// How long open transactions may continue after the start of a drain.
    pub drain_bound: Duration,
    /// The credentials for backend servers.
    pub backend: BackendLogin,
    /// The peers that the daemon knows from its start.
    pub seeds: Vec<Seed>,
}

/// The credentials with which a daemon logs in at backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendLogin {
    /// The user name for all backend servers.
    pub user: Text,
    /// The password; `None` if no server asks for one.
    pub password: Option<Text>,
}

/// A peer given in the settings, to be contacted while the platform is unavailable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The VM on which the peer runs.
    pub vm: VmId,
    /// The availability zone of that VM.
    pub zone: ZoneName,
    /// The address on which the peer listens for other daemons.
    pub address: SocketAddr,
}

impl From<Seed> for VmRecord {
    fn from(seed: Seed) -> Self {
        Self {
            vm: seed.vm,
            zone: seed.zone,
            address: seed.address,
            incarnation: Incarnation(0),
            state: VmState::Alive,
        }
    }
}

impl TryFrom<&[u8]> for Settings {
    type Error = SettingsErrors;

    fn try_from(bytes: &[u8]) -> Result<Self, SettingsErrors> {
        Self::try_from(RawSettings::try_from(bytes)?)
    }
}

impl TryFrom<RawSettings<'_>> for Settings {
    type Error = SettingsErrors;

    fn try_from(raw: RawSettings<'_>) -> Result<Self, SettingsErrors> {
        raw.check(check)
    }
}

/// Reads and checks the whole file. Reads all values before it returns for a missing one, so that
/// all faults are found at once.
fn check(mut root: TomlTable<'_>, faults: &mut Faults<'_>) -> Option<Settings> {
    let vm = name::<VmId>(&mut root, faults, "vm");
    let zone = name(&mut root, faults, "zone");
    let clients = address(&mut root, faults, "callers");
    let peers = address(&mut root, faults, "peers");
    let advertised = optional_address(&mut root, faults, "peers_advertised");
    let admin = address(&mut root, faults, "admin");
    let platform = address(&mut root, faults, "platform");
    let log_level = log_level(&mut root, faults);
    let drain_bound = duration(
        &mut root,
        faults,
        "drain_bound",
        Duration::ZERO..=DRAIN_BOUND_MAX,
    );
    let backend = backend(&mut root, faults);
    let seeds = seeds(&mut root, faults, vm.as_ref());
    check_listeners(
        &root,
        faults,
        [
            ("callers", clients.as_ref()),
            ("peers", peers.as_ref()),
            ("admin", admin.as_ref()),
        ],
    );
    let (key, peer_address) = match &advertised {
        Some(advertised) => ("peers_advertised", Some(advertised)),
        None => ("peers", peers.as_ref()),
    };
    if let Some(peer_address) = peer_address.filter(|address| address.value.ip().is_unspecified()) {
        let fault = SettingsFault::UnspecifiedAddress(peer_address.value.to_string());
        faults.add(peer_address.offset, &root.path_of(key), fault);
    }
    root.finish(faults);
    Some(Settings {
        vm: vm?.value,
        zone: zone?.value,
        clients: clients?.value,
        peers_advertised: advertised.or_else(|| peers.clone())?.value,
        peers: peers?.value,
        admin: admin?.value,
        platform: platform?.value,
        log_level: log_level.unwrap_or(LevelFilter::Info),
        drain_bound: drain_bound.unwrap_or(DRAIN_BOUND_DEFAULT),
        backend: backend?,
        seeds,
    })
}

/// Reads the optional log level; adds a fault if it is unknown.
pub(crate) fn log_level(root: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Option<LevelFilter> {
    let Located { value, offset } = root.optional_text(faults, "log_level")?;
    match value {
        "error" => Some(LevelFilter::Error),
        "warn" => Some(LevelFilter::Warn),
        "info" => Some(LevelFilter::Info),
        "debug" => Some(LevelFilter::Debug),
        "trace" => Some(LevelFilter::Trace),
        other => {
            let fault = SettingsFault::InvalidLogLevel(other.to_owned());
            faults.add(offset, &root.path_of("log_level"), fault);
            None
        }
    }
}

/// Reads the credentials for backend servers; adds a fault if the user name is missing.
fn backend(root: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Option<BackendLogin> {
    let Some(mut section) = root.optional_table(faults, "backend") else {
        let fault = ValueFault::Missing("the user name for backend servers");
        faults.add(0, "backend.user", fault);
        return None;
    };
    let user = section.text(faults, "user", "the user name for backend servers");
    let password = section.optional_text(faults, "password");
    section.finish(faults);
    Some(BackendLogin {
        user: user?.value.into(),
        password: password.map(|password| password.value.into()),
    })
}

/// Reads the peers; adds a fault for each VM or address that is given twice.
fn seeds(
    root: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    own_vm: Option<&Located<VmId>>,
) -> Vec<Seed> {
    let mut unique = UniqueValues::default();
    if let Some(own_vm) = own_vm {
        unique.check(faults, &own_vm.value, own_vm.offset, String::new());
    }
    let mut seeds = Vec::new();
    for mut section in root.tables(faults, "peer") {
        let vm = name::<VmId>(&mut section, faults, "vm");
        let zone = name(&mut section, faults, "zone");
        let address = address(&mut section, faults, "address");
        if let Some(vm) = &vm {
            unique.check(faults, &vm.value, vm.offset, section.path_of("vm"));
        }
        if let Some(address) = &address {
            let path = section.path_of("address");
            unique.check(faults, &address.value, address.offset, path);
        }
        section.finish(faults);
        if let (Some(vm), Some(zone), Some(address)) = (vm, zone, address) {
            seeds.push(Seed {
                vm: vm.value,
                zone: zone.value,
                address: address.value,
            });
        }
    }
    seeds
}

/// Adds a fault for each listening address that is given twice.
fn check_listeners(
    root: &TomlTable<'_>,
    faults: &mut Faults<'_>,
    listeners: [(&str, Option<&Located<SocketAddr>>); 3],
) {
    let mut unique = UniqueValues::default();
    for (key, address) in listeners {
        if let Some(address) = address {
            unique.check(faults, &address.value, address.offset, root.path_of(key));
        }
    }
}

/// The values seen so far that must be unique, as text, with the line of their first occurrence.
#[derive(Default)]
struct UniqueValues {
    /// The line of the first occurrence by value.
    lines: BTreeMap<String, usize>,
}

impl UniqueValues {
    /// Adds a fault if the value was seen before on another line.
    fn check(
        &mut self,
        faults: &mut Faults<'_>,
        value: &impl Display,
        offset: usize,
        path: String,
    ) {
        let line = faults.line(offset);
        let first = *self.lines.entry(value.to_string()).or_insert(line);
        if first != line {
            let fault = SettingsFault::Duplicate(value.to_string(), first);
            faults.add(offset, &path, fault);
        }
    }
}
