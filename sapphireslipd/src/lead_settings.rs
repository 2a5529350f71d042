//! The settings of a daemon that takes the leaders of its services from the store.
//!
//! ```toml
//! vm = "vm-1"
//! zone = "a"
//! callers = "10.0.0.1:5432"     # accepts connections of clients
//! readiness = "10.0.0.1:9000"   # tells the platform whether clients should connect
//! peers = "10.0.0.1:7000"       # accepts connections of other daemons
//! metrics = "10.0.0.1:9001"     # serves the metrics
//! log_level = "info"            # optional
//! drain_bound = "6s"            # longest time of a graceful stop; optional
//! server_drain_bound = "7s"     # a server that leaves gets no new work after it; optional
//! settle_time = "4s"            # after a fault the platform's bounds hold again; optional
//! processor_share = "0.25"      # the cores that the VM has for this daemon; optional
//! rate_window = "5s"            # accounts keep their limits in any span of this length; optional.
//!                               # Clients need a key where any of these three is given
//! rate_overshoot = "0.1"        # by this part they may exceed them; optional
//! rate_slack = "20"             # and by so many operations; optional
//!
//! [store]                       # its presence selects this kind of settings
//! address = "10.0.9.1:443"
//!
//! [promotion]
//! address = "10.0.9.2:443"
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use sapphireslip_core::{Located, TomlTable, ValueFault, VmId, ZoneName};
use sapphireslip_lead::RateBounds;

use crate::raw_settings::{Faults, address, duration, name};
use crate::settings::log_level;
use crate::{RawSettings, SettingsErrors, SettingsFault};

/// The longest time of a graceful stop if the settings give none.
pub const LEAD_DRAIN_BOUND_DEFAULT: Duration = Duration::from_secs(6);

/// The highest `drain_bound` and `server_drain_bound` that the settings may give.
const LEAD_DRAIN_BOUND_MAX: Duration = Duration::from_secs(60 * 60);

/// The lowest `server_drain_bound` that the settings may give: daemons read the list of servers a few
/// times within it.
const SERVER_DRAIN_BOUND_MIN: Duration = Duration::from_secs(1);

/// How long after it has said that it leaves a server may get new work if the settings do not say.
pub const SERVER_DRAIN_BOUND_DEFAULT: Duration = Duration::from_secs(7);

/// How long after a fault the platform's bounds hold again if the settings do not say.
pub const SETTLE_TIME_DEFAULT: Duration = Duration::from_secs(4);

/// The lowest `settle_time` that the settings may give: a daemon watches the store for less.
const SETTLE_TIME_MIN: Duration = Duration::from_secs(1);

/// The highest `settle_time` that the settings may give.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(20);

/// The lowest `rate_window` that the settings may give: daemons exchange shares once per second.
const RATE_WINDOW_MIN: Duration = Duration::from_secs(1);

/// The highest `rate_window` that the settings may give.
const RATE_WINDOW_MAX: Duration = Duration::from_secs(60 * 60);

/// The highest `rate_overshoot` that the settings may give.
const RATE_OVERSHOOT_MAX: u32 = 10;

/// The highest `rate_slack` that the settings may give.
const RATE_SLACK_MAX: u32 = 1_000_000;

/// The share of a processor core, in thousandths, that a VM has if the settings do not say.
pub const MILLICORES_DEFAULT: u32 = 250;

/// The settings of a daemon, checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadSettings {
    /// The VM on which the daemon runs.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The address that accepts connections of clients.
    pub clients: SocketAddr,
    /// The address at which the platform asks whether clients should connect.
    pub readiness: SocketAddr,
    /// The address that accepts connections of other daemons: forwarded sessions and requests for a
    /// grant.
    pub peers: SocketAddr,
    /// The address that serves the metrics.
    pub metrics: SocketAddr,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// The longest time from the request to stop until the process ends.
    pub drain_bound: Duration,
    /// How long after a server has said that it leaves it may get new work.
    pub server_drain_bound: Duration,
    /// How long after a fault around a daemon the platform's bounds hold for it again.
    pub settle_time: Duration,
    /// The VM's share of a processor core, in thousandths: the stronger of a zone's VMs become homes.
    pub millicores: u32,
    /// How far the operations of an account may exceed its limit.
    pub rates: RateBounds,
    /// Whether the deployment has accounts, so that clients need a key also if the configuration names
    /// none: the settings say how accounts keep their limits.
    pub requires_accounts: bool,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the platform's service that promotes servers.
    pub promotion: SocketAddr,
}

impl TryFrom<&[u8]> for LeadSettings {
    type Error = SettingsErrors;

    fn try_from(bytes: &[u8]) -> Result<Self, SettingsErrors> {
        RawSettings::try_from(bytes)?.check(check)
    }
}

/// Returns whether a settings file is for a daemon of this kind, which it is if it has a `store`
/// table.
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

/// Reads every value before it returns none for a missing one, so that all faults are reported at
/// once.
fn check(mut root: TomlTable<'_>, faults: &mut Faults<'_>) -> Option<LeadSettings> {
    let vm = name::<VmId>(&mut root, faults, "vm");
    let zone = name::<ZoneName>(&mut root, faults, "zone");
    let clients = address(&mut root, faults, "callers");
    let readiness = address(&mut root, faults, "readiness");
    let peers = address(&mut root, faults, "peers");
    let metrics = address(&mut root, faults, "metrics");
    let level = log_level(&mut root, faults);
    let drain_bound = duration(
        &mut root,
        faults,
        "drain_bound",
        Duration::ZERO..=LEAD_DRAIN_BOUND_MAX,
    );
    let server_drain_bound = duration(
        &mut root,
        faults,
        "server_drain_bound",
        SERVER_DRAIN_BOUND_MIN..=LEAD_DRAIN_BOUND_MAX,
    );
    let settle_time = duration(
        &mut root,
        faults,
        "settle_time",
        SETTLE_TIME_MIN..=SETTLE_TIME_MAX,
    );
    let millicores = processor_share(&mut root, faults);
    let rates = rate_bounds(&mut root, faults);
    let requires_accounts = rates.is_some();
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
        server_drain_bound: server_drain_bound.unwrap_or(SERVER_DRAIN_BOUND_DEFAULT),
        settle_time: settle_time.unwrap_or(SETTLE_TIME_DEFAULT),
        millicores: millicores.unwrap_or(MILLICORES_DEFAULT),
        rates: rates.unwrap_or_default(),
        requires_accounts,
        store: store?.value,
        promotion: promotion?.value,
    })
}

/// Reads the optional share of a processor and returns it in thousandths of a core, rounded up.
fn processor_share(root: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Option<u32> {
    let Located { value, offset } = root.optional_text(faults, "processor_share")?;
    let millicores = value.parse::<f64>().ok().map(|cores| cores * 1_000.0);
    match millicores.filter(|millicores| (f64::MIN_POSITIVE..1e6).contains(millicores)) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is positive and below a million"
        )]
        Some(millicores) => Some(millicores.ceil() as u32),
        None => {
            let fault = SettingsFault::InvalidProcessorShare(value.to_owned());
            faults.add(offset, &root.path_of("processor_share"), fault);
            None
        }
    }
}

/// Reads the optional bounds on how far accounts may exceed their limits; none if no bound is given.
fn rate_bounds(root: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Option<RateBounds> {
    let default = RateBounds::default();
    let range = RATE_WINDOW_MIN..=RATE_WINDOW_MAX;
    let window = duration(root, faults, "rate_window", range);
    let overshoot = number(root, faults, "rate_overshoot", RATE_OVERSHOOT_MAX);
    let slack = number(root, faults, "rate_slack", RATE_SLACK_MAX);
    let has_bounds = window.is_some() || overshoot.is_some() || slack.is_some();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "both numbers are between 0 and a million"
    )]
    let bounds = RateBounds {
        window: window.unwrap_or(default.window),
        overshoot_millis: overshoot.map_or(default.overshoot_millis, |n| (n * 1_000.0) as u32),
        slack: slack.map_or(default.slack, |n| n as u64),
    };
    has_bounds.then_some(bounds)
}

/// Reads an optional number from 0 to `max`.
fn number(
    root: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
    max: u32,
) -> Option<f64> {
    let Located { value, offset } = root.optional_text(faults, key)?;
    let number = value.parse::<f64>().ok();
    let number = number.filter(|number| (0.0..=f64::from(max)).contains(number));
    if number.is_none() {
        let fault = SettingsFault::InvalidNumber(max, value.to_owned());
        faults.add(offset, &root.path_of(key), fault);
    }
    number
}

/// Reads the address of one of the platform's services from the table `key`.
fn service(
    root: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
) -> Option<Located<SocketAddr>> {
    let Some(mut section) = root.optional_table(faults, key) else {
        let fault = ValueFault::Missing("an IP address and a port, such as `10.0.0.1:443`");
        faults.add(0, &format!("{key}.address"), fault);
        return None;
    };
    let address = address(&mut section, faults, "address");
    section.finish(faults);
    address
}
