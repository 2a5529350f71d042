//! Fakes for tests of the reducer: a store, a group of backend servers, and daemons around them.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test file uses only some of the fakes"
)]

mod accounts;
mod closing;
mod daemon;
mod daemon_steps;
mod fleet;
mod fleet_history;
mod fleet_plan;
mod fleet_store;
mod fleet_transactions;
mod group;
mod load;
mod prepared;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, Text, VmId, ZoneName};
use sapphireslip_lead::{
    Accounts, Catalog, ErrorCode, Freshness, Query, Reply, Route, ServiceSpec, Shape, Statement,
};

pub use self::accounts::*;
pub use self::closing::*;
pub use self::daemon::*;
pub use self::fleet::*;
pub use self::fleet_plan::*;
pub use self::group::*;
pub use self::load::*;
pub use self::prepared::*;
pub use self::store::*;

/// The time after which servers that are listed as draining must get no new work.
pub const SERVER_DRAIN_BOUND: Duration = Duration::from_secs(7);

/// The share of a processor core, in thousandths, of the VMs of daemons.
pub const VM_MILLICORES: u32 = 250;

/// A database whose reads go to the primary.
pub const PAYMENTS: &str = "payments";

/// A database whose reads may be 1.5 s stale.
pub const BALANCES: &str = "balances";

/// A database whose reads may be 1.5 s stale but see all writes of their own session.
pub const ORDERS: &str = "orders";

/// Returns the time that many milliseconds after the start of the daemon.
pub fn at(millis: u64) -> Instant {
    Instant {
        since_start: Duration::from_millis(millis),
    }
}

/// Returns a VM's name.
pub fn vm(name: &str) -> VmId {
    VmId::try_from(name).expect("a valid name")
}

/// Returns an availability zone's name.
pub fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

/// Returns a server's name.
pub fn server(name: &str) -> ServerId {
    ServerId::try_from(name).expect("a valid name")
}

/// Returns the name of the service that all databases of [`catalog`] belong to.
pub fn service() -> ServiceName {
    ServiceName::try_from("stock").expect("a valid name")
}

/// Returns a configuration with the databases [`PAYMENTS`], [`BALANCES`] and [`ORDERS`].
pub fn catalog(version: u64) -> Catalog {
    let route = |freshness| Route {
        service: service(),
        freshness,
        timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(100),
        priority: 1,
        is_public: false,
    };
    let age = Duration::from_millis(1_500);
    Catalog {
        version,
        routes: BTreeMap::from([
            (PAYMENTS.into(), route(Freshness::Primary)),
            (BALANCES.into(), route(Freshness::Bounded(age))),
            (ORDERS.into(), route(Freshness::OwnWrites(age))),
        ]),
        services: BTreeMap::from([(
            service(),
            ServiceSpec {
                connections: 16,
                ..ServiceSpec::default()
            },
        )]),
        transaction_idle: Duration::from_secs(3),
        accounts: Accounts::default(),
    }
}

/// Returns the error code of an answer; none if the statement completed.
pub fn code(reply: &Reply) -> Option<ErrorCode> {
    reply.failure().map(|failure| failure.code.clone())
}

/// Parses a statement of the tests' small language: a verb, then a name, then a value.
///
/// `BEGIN READ` begins a read-only transaction. Panics on an unknown verb.
pub fn query(id: &str, text: &str) -> Query {
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
    let statement = match verb {
        "BEGIN" => Statement::Begin {
            reads_only: rest == "READ",
        },
        "COMMIT" => Statement::Commit,
        "ROLLBACK" => Statement::Rollback,
        "READ" => Statement::Read,
        "WRITE" => Statement::Write,
        "SET" => Statement::Set {
            name: name.into(),
            value: value.into(),
        },
        "PREPARE" => Statement::Prepare {
            name: name.into(),
            shape: Shape {
                writes: value.starts_with("WRITE"),
                text: value.into(),
            },
        },
        "DEALLOCATE" => Statement::Deallocate { name: name.into() },
        "EXECUTE" => Statement::Execute {
            name: name.into(),
            arguments: value.into(),
        },
        other => panic!("unknown verb `{other}` in a test statement"),
    };
    Query {
        id: id.into(),
        text: Text::from(text),
        statement: Some(statement),
    }
}
