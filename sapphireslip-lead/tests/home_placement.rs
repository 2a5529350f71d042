//! Which VMs of a zone become homes, and what the others cost the store.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{ServiceName, Text};
use sapphireslip_lead::{Catalog, Effect, Event, PermissionRecord, Route, ServiceSpec, StoreTime};
use support::{Daemon, PAYMENTS, catalog, presence};

/// The share of a core, in thousandths, of the zone's strongest VMs.
const STRONG: u32 = 500;

/// The share of a core, in thousandths, of its other VMs.
const WEAK: u32 = 120;

/// The calls to the store that a fleet of 295 VMs may make in a minute, 50 a second, for one VM.
const CALLS_A_MINUTE_MAX: usize = 10;

/// Returns the address of the daemon with a number.
fn address(n: usize) -> SocketAddr {
    let [.., high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 2, high, low], 7_000))
}

/// Adds the daemons with the given numbers to the zone.
fn add_daemons(daemon: &mut Daemon, numbers: std::ops::Range<usize>, millicores: u32) {
    for n in numbers {
        daemon.store.add_permission(PermissionRecord {
            millicores,
            peers: address(n),
            ..presence(&format!("vm-{n:03}-{millicores}"), "a")
        });
    }
}

/// Returns a configuration with that many services, each with a database of the same name.
fn many_services(count: usize) -> Catalog {
    let names: Vec<_> = (0..count).map(|n| format!("ledger-{n}")).collect();
    let name = |text: &String| ServiceName::try_from(text.as_str()).expect("a name");
    let one = catalog(2);
    let route = &one.routes[PAYMENTS];
    Catalog {
        routes: names
            .iter()
            .map(|text| {
                let service = name(text);
                let route = Route {
                    service,
                    ..route.clone()
                };
                (Text::from(text.as_str()), route)
            })
            .collect(),
        services: names
            .iter()
            .map(|text| {
                (
                    name(text),
                    ServiceSpec {
                        connections: 88,
                        ..ServiceSpec::default()
                    },
                )
            })
            .collect(),
        ..one
    }
}

/// Returns a daemon on a weak VM that knows three strong and fifty weak VMs of its zone.
fn in_a_zone_of_mixed_vms(services: usize) -> Daemon {
    in_a_zone_with_strong_vms(3, services)
}

/// Returns a daemon on a weak VM that knows that many strong and fifty weak VMs of its zone.
fn in_a_zone_with_strong_vms(strong: usize, services: usize) -> Daemon {
    let mut daemon = Daemon::with_millicores(WEAK);
    add_daemons(&mut daemon, 0..strong, STRONG);
    add_daemons(&mut daemon, strong..strong + 50, WEAK);
    daemon.event(Event::Catalog(many_services(services)));
    daemon.advance_coarsely(3_000);
    daemon
}

/// Opens a session on the database with a number, and returns the daemon to which it was forwarded;
/// none if it is served here.
fn home_of(daemon: &mut Daemon, n: usize) -> Option<SocketAddr> {
    daemon.effects.clear();
    daemon.open(&format!("ledger-{n}"));
    daemon.effects.iter().find_map(|effect| match effect {
        Effect::Relay { address, .. } => Some(*address),
        _ => None,
    })
}

/// Opens a session on each of the databases, and returns how many were forwarded to each daemon;
/// those served here are counted under none.
fn homes(daemon: &mut Daemon, services: usize) -> BTreeMap<Option<SocketAddr>, usize> {
    let mut homes = BTreeMap::new();
    for n in 0..services {
        *homes.entry(home_of(daemon, n)).or_default() += 1;
    }
    homes
}

/// The pattern: many small VMs beside few large ones. Each home renews a permission and reads the
/// store, so homes spread over all VMs made 500 calls a second where 295 VMs served 20 services.
#[rstest]
fn homes_share_the_strongest_vms() {
    let mut daemon = in_a_zone_of_mixed_vms(20);
    let homes = homes(&mut daemon, 20);
    let strong: Vec<_> = (0..3).map(|n| Some(address(n))).collect();
    assert!(homes.keys().all(|home| strong.contains(home)), "{homes:?}");
    for home in strong {
        let share = homes.get(&home).copied().unwrap_or_default();
        assert!((3..=11).contains(&share), "an uneven share: {homes:?}");
    }
}

/// The pattern: eight services in a zone of two large and many small VMs. A small VM was home of four of
/// them by the luck of the ranks, and answers that were ready waited for a second behind its processor.
#[rstest]
fn homes_leave_weak_vms_out_while_two_strong_ones_bear_them() {
    let mut daemon = in_a_zone_with_strong_vms(2, 8);
    let homes = homes(&mut daemon, 8);
    let expected = [(Some(address(0)), 4), (Some(address(1)), 4)];
    assert_eq!(homes, BTreeMap::from(expected));
}

/// The pattern: more services than half of the processors of equal VMs bear. No VM is home of more than
/// its share.
#[rstest]
#[case(3, 20)]
#[case(4, 14)]
fn homes_of_full_equal_vms_differ_by_one_at_most(#[case] strong: usize, #[case] services: usize) {
    let mut daemon = in_a_zone_with_strong_vms(strong, services);
    let homes = homes(&mut daemon, services);
    let most = homes.values().max().copied().unwrap_or_default();
    assert!(most <= services.div_ceil(3.min(strong)), "{homes:?}");
}

/// The pattern: few services on VMs with room, one of which is lost. Only the sessions of its own
/// services move; an even split would move others too, on each restart of a VM.
#[rstest]
fn lost_vm_moves_no_service_of_another_one() {
    let home = |strong| {
        let mut daemon = in_a_zone_with_strong_vms(strong, 3);
        let homes = (0..3).map(|n| home_of(&mut daemon, n));
        homes.collect::<Vec<_>>()
    };
    for (before, after) in home(3).into_iter().zip(home(2)) {
        assert!(
            after == before || before == Some(address(2)),
            "{before:?}, {after:?}"
        );
    }
}

/// The pattern: more services than the large VMs can bear; the strongest of the others take a part.
#[rstest]
fn homes_spread_to_weaker_vms_when_the_strong_ones_are_full() {
    let mut daemon = in_a_zone_of_mixed_vms(60);
    let homes = homes(&mut daemon, 60);
    let strong = |home: &&Option<SocketAddr>| (0..3).any(|n| **home == Some(address(n)));
    let weak = homes.keys().filter(|home| !strong(home)).count();
    assert!((5..=20).contains(&weak), "{homes:?}");
}

/// The pattern: the large VMs of a zone are lost together.
#[rstest]
fn homes_move_to_the_next_strongest_when_the_strong_vms_are_lost() {
    let mut daemon = in_a_zone_of_mixed_vms(20);
    let lost = daemon.store.now(daemon.millis);
    for n in 0..3 {
        daemon.store.add_permission(PermissionRecord {
            millicores: STRONG,
            peers: address(n),
            alive: StoreTime(lost.0 + Duration::from_secs(5)),
            ..presence(&format!("vm-{n:03}-{STRONG}"), "a")
        });
    }
    daemon.advance_coarsely(20_000);
    let homes = homes(&mut daemon, 20);
    let lost = |home: &Option<SocketAddr>| (0..3).any(|n| *home == Some(address(n)));
    assert!(!homes.keys().any(lost), "{homes:?}");
    assert!((5..=12).contains(&homes.len()), "{homes:?}");
}

/// The pattern: most of a large fleet only forwards sessions.
#[rstest]
fn idle_daemon_of_a_large_fleet_makes_few_calls() {
    let mut daemon = in_a_zone_of_mixed_vms(20);
    add_daemons(&mut daemon, 53..295, WEAK);
    daemon.advance_coarsely(40_000);
    for _ in 0..3 {
        let before = daemon.store_calls;
        for _ in 0..60 {
            daemon.advance_coarsely(1_000);
            let table = daemon.store.permissions(daemon.millis);
            let own = table
                .permissions
                .iter()
                .find(|(row, _)| row.vm == daemon.vm());
            let alive = own.map(|(row, _)| row.alive);
            assert!(alive > Some(table.now), "the daemon counts as alive");
        }
        let calls = daemon.store_calls - before;
        assert!(calls <= CALLS_A_MINUTE_MAX, "{calls} calls in a minute");
    }
}

/// A daemon that is lost is noticed where its sessions are forwarded; the next read of the
/// permissions must not be a long interval away.
#[rstest]
fn refused_session_has_the_permissions_read() {
    let mut daemon = in_a_zone_of_mixed_vms(1);
    add_daemons(&mut daemon, 53..295, WEAK);
    daemon.advance_coarsely(40_000);
    daemon.advance_coarsely(3_000);
    let session = daemon.open("ledger-0");
    let before = daemon.store_calls;
    daemon.event(Event::Client(sapphireslip_lead::ClientEvent::RelayFailed {
        session,
        is_refused: true,
    }));
    assert_eq!(daemon.store_calls, before + 1);
}
