//! The coordinator names the leaders of many services in few writes.

mod support;

use rstest::rstest;
use sapphireslip_core::ServiceName;
use sapphireslip_lead::{Event, ServiceSpec};
use support::{Daemon, catalog};

/// Adds services that have a primary each and no named leader in the store.
fn add_services(daemon: &mut Daemon, count: usize) {
    let mut catalog = catalog(2);
    for n in 0..count {
        let name = ServiceName::try_from(format!("ledger-{n}").as_str()).expect("a name");
        daemon.group.add_service(&name);
        catalog.services.insert(
            name,
            ServiceSpec {
                connections: 16,
                ..ServiceSpec::default()
            },
        );
    }
    daemon.event(Event::Catalog(catalog));
}

/// Guards against a slow start of a fleet with many databases: every write of leaders makes all
/// daemons renew their permissions, and clients connect seconds after the start.
#[rstest]
fn fleet_start_names_the_leaders_of_many_services_in_few_writes() {
    let mut daemon = Daemon::ready();
    let before = daemon.store.leader_writes;
    add_services(&mut daemon, 100);
    daemon.advance(2_000);
    assert_eq!(daemon.store.leaders.leaders.len(), 101);
    let writes = daemon.store.leader_writes - before;
    assert!(writes <= 3, "{writes} writes named the leaders");
}
