//! Numbers from the wire at the ends of their range: a single malformed row or answer must end no
//! daemon. Tests are built with checks for overflow, which end the process.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::SessionId;
use sapphireslip_lead::{
    CoordinatorRecord, Event, Freshness, LeaderRecord, LeaderTable, PermissionRecord, Position,
    RowVersion, ServiceSpec, StayingServers, StoreTime, Term, TermPosition,
};
use support::{BALANCES, Daemon, ORDERS, PAYMENTS, at, catalog, presence, server, service, vm};

/// The longest time that a row can give.
const LONGEST: Duration = Duration::from_millis(u64::MAX);

/// Lets the daemon serve for a while, and checks that it still answers.
fn serve(daemon: &mut Daemon) {
    daemon.withholds_answers = true;
    for database in [PAYMENTS, BALANCES, ORDERS, PAYMENTS, BALANCES, ORDERS] {
        let session = daemon.open(database);
        daemon.submit(session, "1", "READ x");
        daemon.submit(session, "2", "WRITE x 1");
    }
    daemon.advance(50);
    daemon.answer_all();
    daemon.advance(3_000);
    assert!(!daemon.answers.is_empty());
}

#[rstest]
fn configuration_with_the_highest_numbers() {
    let mut daemon = Daemon::ready();
    let mut catalog = catalog(u64::MAX);
    catalog.transaction_idle = LONGEST;
    for route in catalog.routes.values_mut() {
        route.timeout = LONGEST;
        route.target_latency = LONGEST;
        route.priority = u8::MAX;
        route.freshness = match route.freshness {
            Freshness::Primary => Freshness::Primary,
            Freshness::Bounded(_) => Freshness::Bounded(LONGEST),
            Freshness::OwnWrites(_) => Freshness::OwnWrites(LONGEST),
        };
    }
    let connections = usize::MAX;
    catalog.services.insert(
        service(),
        ServiceSpec {
            connections,
            ..ServiceSpec::default()
        },
    );
    daemon.event(Event::Catalog(catalog));
    serve(&mut daemon);
}

#[rstest]
fn servers_with_the_most_slots() {
    let mut daemon = Daemon::ready();
    let mut list = daemon.group.records();
    for record in &mut list {
        record.slots = usize::MAX;
        record.born = u64::MAX;
    }
    let sent = at(daemon.millis);
    daemon.withholds_lists = true;
    daemon.event(Event::Servers {
        list: Some(list),
        sent,
    });
    serve(&mut daemon);
}

#[rstest]
fn permissions_with_the_latest_times() {
    let mut daemon = Daemon::ready();
    for (n, zone) in ["a", "b"].into_iter().enumerate() {
        daemon.store.add_permission(PermissionRecord {
            millicores: u32::MAX,
            alive: StoreTime(LONGEST),
            until: StoreTime(LONGEST),
            ..presence(&format!("other-{n}"), zone)
        });
    }
    daemon.advance(5_000);
    assert!(daemon.state.is_ready());
}

#[rstest]
fn leader_above_the_highest_term() {
    let mut daemon = Daemon::ready();
    let record = LeaderRecord {
        leader: server("s-b"),
        above: Term(u64::MAX),
    };
    let coordinator = CoordinatorRecord {
        holder: vm("vm-9"),
        incarnation: sapphireslip_core::Incarnation(u64::MAX),
    };
    daemon.event(Event::Leaders(LeaderTable {
        generation: RowVersion(u64::MAX),
        leaders: [(service(), (record, RowVersion(u64::MAX)))].into(),
        coordinator: Some((coordinator, RowVersion(u64::MAX))),
        ..LeaderTable::default()
    }));
    daemon.advance(3_000);
}

#[rstest]
fn grant_of_the_longest_time() {
    let mut daemon = Daemon::ready();
    let staying = StayingServers {
        age: LONGEST,
        servers: vec![server("s-a")],
    };
    let (generation, sent) = (daemon.store.leaders.generation, at(daemon.millis));
    daemon.event(Event::Granted {
        generation,
        staying,
        length: LONGEST,
        sent,
    });
    daemon.event(Event::GrantAsked {
        session: SessionId(1),
        vm: vm("vm-2"),
        generation: RowVersion(u64::MAX),
        servers: vec![server("s-z")],
    });
    daemon.event(Event::Drain { grace: LONGEST });
    daemon.advance(1_000);
}

/// A primary that reports the end of the range as its position is replaced like any other.
#[rstest]
fn primary_at_the_last_position() {
    let mut daemon = Daemon::ready();
    daemon.reported_position = Some(TermPosition {
        term: Term(u64::MAX),
        position: Position(u64::MAX),
    });
    serve(&mut daemon);
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    daemon.advance(6_000);
}
