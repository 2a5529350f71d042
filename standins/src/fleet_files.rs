//! Writes the settings files of a fleet's daemons and the documents of its databases.

use std::fmt::Write;

use crate::FleetPlan;
use crate::fleet::SERVERS_PER_GROUP;
use crate::fleet_addresses::FleetAddresses;

/// The number of peers that each daemon's settings name.
const SEED_PEERS: usize = 3;

/// Returns the text of a daemon's settings file.
pub(crate) fn daemon_settings(
    plan: &FleetPlan,
    addresses: FleetAddresses,
    number: usize,
) -> String {
    let mut text = format!(
        "vm = \"vm-{number}\"\nzone = \"{}\"\ncallers = \"{}\"\npeers = \"{}\"\n\
         peers_advertised = \"{}\"\nadmin = \"{}\"\nplatform = \"{}\"\nlog_level = \"{}\"\n\
         drain_bound = \"{}ms\"\n\n[backend]\nuser = \"sapphireslip\"\n",
        zone_of(plan, number),
        addresses.clients(number),
        addresses.peers(number),
        addresses.link(number),
        addresses.admin(number),
        addresses.platform(),
        plan.log_level,
        plan.drain_bound.as_millis(),
    );
    let daemons = plan.zones.len() * plan.daemons_per_zone;
    for seed in (1..daemons)
        .take(SEED_PEERS)
        .map(|step| (number + step) % daemons)
    {
        let _fits = write!(
            text,
            "\n[[peer]]\nvm = \"vm-{seed}\"\nzone = \"{}\"\naddress = \"{}\"\n",
            zone_of(plan, seed),
            addresses.link(seed),
        );
    }
    text
}

/// Returns the availability zone of a daemon, by its index.
fn zone_of(plan: &FleetPlan, number: usize) -> &str {
    &plan.zones[number / plan.daemons_per_zone]
}

/// Returns the text of a database's document at a generation.
pub(crate) fn document(
    plan: &FleetPlan,
    addresses: FleetAddresses,
    database: usize,
    generation: u64,
) -> String {
    let name = &plan.databases[database];
    let mut text = format!(
        "service = \"{name}-service\"\nmember = \"member-{database}\"\n\
         generation = {generation}\n\n[limits]\nsessions = 500\nqueued = 500\n\n\
         [stop]\nbound = \"5s\"\n\n[[caller]]\nname = \"{}\"\nverifier = '{}'\n\n\
         [[database]]\nname = \"{name}\"\nconnections = {}\nmax_staleness = \"{}ms\"\n\
         deadline = \"{}ms\"\n",
        plan.user,
        plan.verifier,
        plan.connections,
        plan.max_staleness.as_millis(),
        plan.deadline.as_millis(),
    );
    for server in 0..SERVERS_PER_GROUP {
        let zone = &plan.zones[server % plan.zones.len()];
        let address = addresses.server(database, server);
        let _fits = write!(
            text,
            "\n[[database.server]]\nid = \"{name}-{server}\"\nzone = \"{zone}\"\n\
             address = \"{address}\"\n"
        );
    }
    text
}
