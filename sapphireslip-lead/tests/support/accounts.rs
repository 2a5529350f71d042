use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{AccountName, ConnectionId, SessionId};
use sapphireslip_lead::{
    Account, Accounts, Catalog, Event, KeyDigest, RateLimit, ServerRequest, ServiceSpec,
};

use super::{Daemon, PAYMENTS, catalog, service};

/// A database whose statements go to the primary and wait behind those of [`PAYMENTS`].
pub const POLLS: &str = "polls";

/// The connections that one server accepts: this daemon's share is 12, and it uses half of it.
pub const CONNECTIONS: usize = 14;

/// The most connections of this daemon to one server.
pub const CONNECTIONS_MAX: usize = 6;

/// Returns the key of an account.
pub fn account_key(account: u8) -> KeyDigest {
    KeyDigest([account; 16])
}

/// Returns the name of an account.
pub fn account_name(account: u8) -> AccountName {
    AccountName::try_from(format!("account-{account}").as_str()).expect("a valid name")
}

/// Returns a configuration whose accounts have these limits and keys.
pub fn catalog_with_keys<'a>(
    version: u64,
    named: impl IntoIterator<Item = (&'a str, Option<RateLimit>, Vec<KeyDigest>)>,
) -> Catalog {
    let mut accounts = Accounts::default();
    for (name, limit, keys) in named {
        let name = AccountName::try_from(name).expect("a valid name");
        accounts.add(Account { name, limit }, keys);
    }
    Catalog {
        accounts,
        ..catalog(version)
    }
}

/// Returns a configuration with these accounts.
pub fn catalog_with_accounts(version: u64, numbers: impl IntoIterator<Item = u8>) -> Catalog {
    let mut accounts = Accounts::default();
    for number in numbers {
        let account = Account {
            name: account_name(number),
            limit: None,
        };
        accounts.add(account, [account_key(number)]);
    }
    let mut catalog = catalog(version);
    let mut polls = catalog.routes[PAYMENTS].clone();
    polls.priority = 2;
    polls.target_latency = Duration::from_millis(600);
    polls.timeout = Duration::from_millis(2_000);
    catalog.routes.insert(POLLS.into(), polls);
    let spec = ServiceSpec {
        connections: CONNECTIONS,
        ..ServiceSpec::default()
    };
    catalog.services = BTreeMap::from([(service(), spec)]);
    Catalog {
        accounts,
        ..catalog
    }
}

/// Returns a ready daemon in a zone, whose configuration names 60 accounts.
pub fn daemon_with_accounts(zone: &str) -> Daemon {
    let mut daemon = Daemon::ready_in(zone);
    daemon.event(Event::Catalog(catalog_with_accounts(2, 1..=60)));
    daemon.opened.clear();
    daemon
}

/// Returns the account of a connection that was opened.
pub fn account_of(daemon: &Daemon, connection: ConnectionId) -> Option<AccountName> {
    let opened = daemon.opened.iter().find(|(id, ..)| *id == connection);
    opened.and_then(|(.., account)| account.clone())
}

/// Opens a session of an account, and runs a statement in it.
pub fn run_as(daemon: &mut Daemon, account: u8) -> SessionId {
    let session = daemon.open_with_key(PAYMENTS, account_key(account));
    let reply = daemon.run(session, &format!("{account}/first"), "READ x");
    assert_eq!(reply.failure(), None);
    session
}

/// Asserts that each statement was sent on a connection of its account, by the number before the
/// slash of its identifier.
pub fn assert_on_own_connections(daemon: &Daemon) {
    assert!(!daemon.sent_on.is_empty());
    for (connection, request) in &daemon.sent_on {
        let ServerRequest::Forward { id, .. } = request else {
            panic!("unexpected request {request:?}");
        };
        let (account, _) = id.split_once('/').expect("an account and a number");
        let account = account_name(account.parse().expect("a number"));
        assert_eq!(account_of(daemon, *connection), Some(account), "{id}");
    }
}
