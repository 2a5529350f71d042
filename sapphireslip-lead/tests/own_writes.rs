//! Reads of a session see its own writes to every service that it has written to.

mod support;

use rstest::rstest;
use sapphireslip_core::{ServerId, ServiceName, SessionId};
use sapphireslip_lead::{Catalog, Event, ServerRequest, ServiceSpec};
use support::{Daemon, ORDERS, catalog, server, service};

/// The services that a route may be moved to, besides [`service`].
const OTHERS: usize = 40;

/// How the session writes.
#[derive(Clone, Copy, Debug)]
enum Writing {
    /// A statement of its own.
    Alone,
    /// A transaction.
    Transaction,
}

/// Returns the name of another service.
fn other(n: usize) -> ServiceName {
    ServiceName::try_from(format!("ledger-{n}").as_str()).expect("a name")
}

/// Returns a configuration in which [`ORDERS`] leads to a service.
fn leading_to(version: u64, to: &ServiceName) -> Catalog {
    let mut catalog = catalog(version);
    catalog.routes.get_mut(ORDERS).expect("a route").service = to.clone();
    for n in 0..OTHERS {
        let spec = ServiceSpec {
            connections: 16,
            ..ServiceSpec::default()
        };
        catalog.services.insert(other(n), spec);
    }
    catalog
}

/// Returns a daemon in zone b, whose replicas don't receive what is written from now on, with a session.
fn with_services(is_forwarded: bool) -> (Daemon, SessionId) {
    let mut daemon = Daemon::ready_in("b");
    for n in 0..OTHERS {
        daemon.group.add_service(&other(n));
    }
    daemon.event(Event::Catalog(leading_to(2, &service())));
    daemon.advance(3_000);
    let session = match is_forwarded {
        true => daemon.open_forwarded(ORDERS),
        false => daemon.open(ORDERS),
    };
    (daemon, session)
}

/// Has a session write, and checks that this is acknowledged.
fn write(daemon: &mut Daemon, session: SessionId, writing: Writing) {
    let statements: &[&str] = match writing {
        Writing::Alone => &["WRITE x 1"],
        Writing::Transaction => &["BEGIN", "WRITE x 1", "COMMIT"],
    };
    for text in statements {
        let reply = daemon.run(session, &format!("w{}", daemon.sent.len()), text);
        assert_eq!(reply.failure(), None, "{text}");
    }
}

/// Moves the route to a service, in the next configuration.
fn move_route(daemon: &mut Daemon, to: &ServiceName) {
    let version = daemon.state.snapshot().configuration + 1;
    daemon.event(Event::Catalog(leading_to(version, to)));
    daemon.advance(100);
}

/// Has the replicas of [`service`] receive what its primary has.
fn replicate(daemon: &mut Daemon) {
    let log = daemon.group.get(&server("s-a")).log.clone();
    for replica in ["s-b", "s-c"] {
        let replica = daemon.group.get_mut(&server(replica));
        replica.log.clone_from(&log);
    }
}

/// Returns the named leader of [`service`].
fn leader(daemon: &Daemon) -> ServerId {
    daemon.store.leaders.leaders[&service()].0.leader.clone()
}

/// Has a session read, and returns the server that answered and the position that the read had to see; none
/// at the primary.
fn read(daemon: &mut Daemon, session: SessionId) -> (String, Option<u64>) {
    daemon.sent.clear();
    assert_eq!(daemon.run(session, "r", "READ x").failure(), None);
    let mut of_read = daemon
        .sent
        .iter()
        .filter_map(|(to, request)| match request {
            ServerRequest::Forward { floor, .. } => {
                Some((to.to_string(), floor.map(|floor| floor.position.0)))
            }
            _ => None,
        });
    of_read.next_back().expect("the read was sent")
}

/// Guards against a read that lacks the session's own write, since the session has written to another service
/// meanwhile (review/15).
#[rstest]
fn own_write_is_seen_after_one_to_another_service(
    #[values(Writing::Alone, Writing::Transaction)] first: Writing,
    #[values(Writing::Alone, Writing::Transaction)] second: Writing,
    #[values(false, true)] is_forwarded: bool,
) {
    let (mut daemon, session) = with_services(is_forwarded);
    write(&mut daemon, session, first);
    move_route(&mut daemon, &other(0));
    write(&mut daemon, session, second);
    move_route(&mut daemon, &service());
    // The replicas lack the write, and refuse a read that has to see it.
    assert_eq!(read(&mut daemon, session), ("s-a".to_owned(), None));

    replicate(&mut daemon);
    let (to, floor) = read(&mut daemon, session);
    assert!(to == "s-a" || floor == Some(2), "{floor:?} at {to}");
}

/// Guards against the same over a change of the leader: the write is in the log of the new one.
#[rstest]
fn own_write_is_seen_after_a_change_of_the_leader() {
    let (mut daemon, session) = with_services(false);
    write(&mut daemon, session, Writing::Alone);
    move_route(&mut daemon, &other(0));
    write(&mut daemon, session, Writing::Alone);
    replicate(&mut daemon);
    daemon.group.get_mut(&server("s-c")).log.pop();
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    while leader(&daemon) == server("s-a") {
        daemon.advance(10);
    }
    daemon.advance(1_000);
    move_route(&mut daemon, &service());
    for _ in 0..5 {
        let (to, floor) = read(&mut daemon, session);
        assert!(
            to == leader(&daemon).as_str() || floor >= Some(2),
            "{floor:?} at {to}"
        );
        daemon.advance(500);
    }
}

/// Guards against a write that is forgotten as its answer tells no position.
#[rstest]
fn own_write_without_a_position_is_read_at_the_primary() {
    let (mut daemon, session) = with_services(false);
    daemon.hides_positions = true;
    write(&mut daemon, session, Writing::Alone);
    daemon.hides_positions = false;
    replicate(&mut daemon);
    assert_eq!(read(&mut daemon, session), ("s-a".to_owned(), None));
    write(&mut daemon, session, Writing::Alone);
    replicate(&mut daemon);
    assert_eq!(read(&mut daemon, session), ("s-b".to_owned(), Some(3)));
}

/// Guards against a session whose state grows without end, and against a write that is forgotten for that.
#[rstest]
fn writes_to_many_services_are_seen() {
    let (mut daemon, session) = with_services(false);
    write(&mut daemon, session, Writing::Alone);
    for n in 0..OTHERS {
        move_route(&mut daemon, &other(n));
        write(&mut daemon, session, Writing::Alone);
    }
    replicate(&mut daemon);
    move_route(&mut daemon, &service());
    assert_eq!(read(&mut daemon, session), ("s-a".to_owned(), None));
}
