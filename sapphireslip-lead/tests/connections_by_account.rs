//! Each client account has connections of its own, and a server accepts few connections.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::{fixture, rstest};
use sapphireslip_core::{AccountName, ConnectionId, Random, SessionId};
use sapphireslip_lead::{
    Account, Accounts, Catalog, Event, KeyDigest, RecordKind, ServerRequest, ServiceSpec,
};
use support::{BALANCES, Daemon, PAYMENTS, catalog, server, service};

/// A database whose statements go to the primary and wait behind those of [`PAYMENTS`].
const POLLS: &str = "polls";

/// The connections that one server accepts: this daemon's share is 3, and it has at most twice as
/// many.
const CONNECTIONS: usize = 4;

/// The most connections of this daemon to one server.
const CONNECTIONS_MAX: usize = 6;

fn key(account: u8) -> KeyDigest {
    KeyDigest([account; 16])
}

fn name(account: u8) -> AccountName {
    AccountName::try_from(format!("account-{account}").as_str()).expect("a valid name")
}

/// Returns a configuration with these accounts.
fn accounts(version: u64, numbers: impl IntoIterator<Item = u8>) -> Catalog {
    let mut accounts = Accounts::default();
    for number in numbers {
        let account = Account {
            name: name(number),
            limit: None,
        };
        accounts.add(account, [key(number)]);
    }
    let mut catalog = catalog(version);
    let mut polls = catalog.routes[PAYMENTS].clone();
    polls.priority = 2;
    polls.target_latency = Duration::from_millis(600);
    polls.timeout = Duration::from_millis(2_000);
    catalog.routes.insert(POLLS.into(), polls);
    let spec = ServiceSpec {
        connections: CONNECTIONS,
    };
    catalog.services = BTreeMap::from([(service(), spec)]);
    Catalog {
        accounts,
        ..catalog
    }
}

/// Returns a ready daemon whose configuration names 60 accounts.
#[fixture]
fn daemon() -> Daemon {
    let mut daemon = Daemon::ready();
    daemon.event(Event::Catalog(accounts(2, 1..=60)));
    daemon.opened.clear();
    daemon
}

/// Returns the account of a connection that was opened.
fn account_of(daemon: &Daemon, connection: ConnectionId) -> Option<AccountName> {
    let opened = daemon.opened.iter().find(|(id, ..)| *id == connection);
    opened.and_then(|(.., account)| account.clone())
}

/// Returns the accounts whose connections the daemon has closed, and forgets them.
fn closed(daemon: &mut Daemon) -> Vec<Option<AccountName>> {
    let closed = std::mem::take(&mut daemon.disconnected);
    closed.iter().map(|id| account_of(daemon, *id)).collect()
}

/// Opens a session of an account, and runs a statement in it.
fn run_as(daemon: &mut Daemon, account: u8) -> SessionId {
    let session = daemon.open_with_key(PAYMENTS, key(account));
    let reply = daemon.run(session, &format!("{account}/first"), "READ x");
    assert_eq!(reply.failure(), None);
    session
}

/// Fills the daemon's connections to the primary with those of the accounts from 1 on, 20 ms apart.
fn fill(daemon: &mut Daemon) {
    for account in 1..=CONNECTIONS_MAX {
        run_as(daemon, u8::try_from(account).expect("few accounts"));
        daemon.advance(20);
    }
    assert_eq!(daemon.connections_to(&server("s-a")), CONNECTIONS_MAX);
    daemon.disconnected.clear();
    daemon.records.clear();
}

/// Asserts that each statement was sent on a connection of its account, by the number before the
/// slash of its identifier.
fn assert_on_own_connections(daemon: &Daemon) {
    assert!(!daemon.sent_on.is_empty());
    for (connection, request) in &daemon.sent_on {
        let ServerRequest::Forward { id, .. } = request else {
            panic!("unexpected request {request:?}");
        };
        let (account, _) = id.split_once('/').expect("an account and a number");
        let account = name(account.parse().expect("a number"));
        assert_eq!(account_of(daemon, *connection), Some(account), "{id}");
    }
}

/// Guards against a statement that the server counts for another account, as the server knows a
/// statement's account only by its connection.
#[rstest]
fn statement_of_an_account_runs_only_on_its_connections(mut daemon: Daemon) {
    let sessions: Vec<_> = (1..=6)
        .map(|account| {
            let database = [PAYMENTS, BALANCES, POLLS][usize::from(account) % 3];
            (account, daemon.open_with_key(database, key(account)))
        })
        .collect();
    let texts = [
        "READ x", "BEGIN", "READ x", "SET v 1", "READ x", "ROLLBACK", "READ x", "BEGIN", "READ x",
        "COMMIT", "SET v 2", "READ x",
    ];
    for (n, text) in texts.iter().enumerate() {
        for (account, session) in &sessions {
            daemon.submit(*session, &format!("{account}/{n}"), text);
        }
        daemon.advance(70);
    }
    daemon.advance(500);
    assert_on_own_connections(&daemon);
    assert_eq!(daemon.answers.len(), texts.len() * sessions.len());
    for (session, reply) in &daemon.answers {
        assert_eq!(reply.failure(), None, "{session:?}");
    }
}

/// Guards against statements that wait or are refused while connections of others are idle.
#[rstest]
fn least_recently_used_idle_connection_makes_room(mut daemon: Daemon) {
    fill(&mut daemon);
    run_as(&mut daemon, 1);
    run_as(&mut daemon, 7);
    run_as(&mut daemon, 8);
    assert_eq!(closed(&mut daemon), [Some(name(2)), Some(name(3))]);
    assert_eq!(daemon.connections_to(&server("s-a")), CONNECTIONS_MAX);
    let replaced = daemon
        .records
        .iter()
        .filter(|record| record.kind == RecordKind::ConnectionReplaced);
    let details: Vec<_> = replaced.map(|record| record.detail.to_string()).collect();
    assert_eq!(
        details[0],
        "connection of `account-2`, unused for 100 ms, makes room for `account-7`"
    );
    assert_eq!(details.len(), 2);
    assert_on_own_connections(&daemon);
}

/// Guards against a transaction that is broken off for another account.
#[rstest]
fn connection_in_a_transaction_is_not_replaced(mut daemon: Daemon) {
    let sessions: Vec<_> = (1..=6)
        .map(|account| daemon.open_with_key(PAYMENTS, key(account)))
        .collect();
    for (n, session) in (1..).zip(&sessions) {
        daemon.run(*session, &format!("{n}/begin"), "BEGIN");
        daemon.run(*session, &format!("{n}/read"), "READ x");
    }
    daemon.disconnected.clear();
    let waiting = daemon.open_with_key(POLLS, key(7));
    daemon.submit(waiting, "7/read", "READ x");
    daemon.advance(100);
    assert!(closed(&mut daemon).is_empty());
    assert!(daemon.answers.is_empty());
    daemon.run(sessions[3], "4/commit", "COMMIT");
    daemon.advance(10);
    assert_eq!(closed(&mut daemon), [Some(name(4))]);
    assert_on_own_connections(&daemon);
}

/// Guards against accounts that get no connection because others hold them all, and against a
/// server that is kept busy by openings.
#[rstest]
fn three_accounts_per_connection_are_all_served(mut daemon: Daemon) {
    let count = 3 * CONNECTIONS_MAX;
    let sessions: Vec<_> = (1..=count)
        .map(|n| {
            let n = u8::try_from(n).expect("few accounts");
            (n, daemon.open_with_key(POLLS, key(n)))
        })
        .collect();
    daemon.opened.clear();
    daemon.withholds_connects = true;
    // Each account sends a statement each 1.5 s, for 9 s.
    for round in 0..6 {
        for slot in 0..75 {
            if let Some((account, session)) = sessions.get(slot / 4)
                && slot % 4 == 0
            {
                daemon.submit(*session, &format!("{account}/{round}"), "READ x");
            }
            daemon.advance(20);
            assert!(daemon.opening().len() <= 2, "{:?}", daemon.opening());
            daemon.finish_opening();
        }
    }
    assert_eq!(daemon.answers.len(), 6 * count);
    for (session, reply) in &daemon.answers {
        assert_eq!(reply.failure(), None, "{session:?}");
    }
    assert_on_own_connections(&daemon);
}

/// Guards against a server whose slots are taken up by openings, and against accounts that get
/// nothing, when three accounts per connection send far more than connections can change hands.
#[rstest]
fn overload_by_three_accounts_per_connection_keeps_the_pace_of_openings(mut daemon: Daemon) {
    let accounts = 1..=u8::try_from(3 * CONNECTIONS_MAX).expect("few accounts");
    let sessions: Vec<_> = accounts
        .map(|n| (n, daemon.open_with_key(POLLS, key(n))))
        .collect();
    daemon.opened.clear();
    daemon.withholds_connects = true;
    let mut random = Random::new(1);
    let mut served = BTreeMap::new();
    // About 150 statements each second, for 12 s.
    for round in 0..600 {
        for (account, session) in &sessions {
            if random.below(6) == 0 {
                daemon.submit(*session, &format!("{account}/{round}"), "READ x");
            }
        }
        daemon.advance(20);
        assert!(daemon.opening().len() <= 2, "{:?}", daemon.opening());
        daemon.finish_opening();
        for (session, reply) in std::mem::take(&mut daemon.answers) {
            if reply.failure().is_none() {
                *served.entry(session).or_insert(0) += 1;
            }
        }
    }
    assert_eq!(served.len(), sessions.len());
    assert!(served.values().all(|count| *count >= 10), "{served:?}");
    // The server has 2 slots: 20 replacements each second for 12 s, 20 in advance, and 6 connections
    // at first.
    let opened = daemon.opened.len();
    assert!((200..=266).contains(&opened), "{opened} openings in 12 s");
    assert_on_own_connections(&daemon);
}

/// Guards against a restarted fleet that opens all of its connections at once, and those of urgent
/// statements last.
#[rstest]
fn lost_connections_are_opened_again_for_urgent_statements_first(mut daemon: Daemon) {
    fill(&mut daemon);
    daemon.withholds_connects = true;
    daemon.break_connections(&server("s-a"));
    daemon.opened.clear();
    for (database, accounts) in [(POLLS, 11..=14), (PAYMENTS, 21..=22)] {
        for account in accounts {
            let session = daemon.open_with_key(database, key(account));
            daemon.submit(session, &format!("{account}/1"), "READ x");
        }
    }
    daemon.advance(10);
    assert_eq!(daemon.opening().len(), 2, "{:?}", daemon.opened);
    for _ in 0..6 {
        daemon.finish_opening();
        assert!(daemon.opening().len() <= 2);
        daemon.advance(10);
    }
    let order: Vec<_> = daemon.opened.iter().map(|(.., a)| a.clone()).collect();
    // The first poll began its opening before the others arrived.
    let expected = [11, 21, 22, 12, 13, 14].map(|n| Some(name(n)));
    assert_eq!(order, expected);
}

/// Guards against a pause of 300 ms in which statements wait while connections of others are idle.
#[rstest]
fn server_at_its_connection_limit_gets_a_connection_in_place_of_another(mut daemon: Daemon) {
    run_as(&mut daemon, 1);
    daemon.advance(20);
    run_as(&mut daemon, 2);
    daemon.advance(20);
    daemon.connections_max = Some(daemon.connections_to(&server("s-a")));
    daemon.disconnected.clear();
    let session = daemon.open_with_key(PAYMENTS, key(3));
    let reply = daemon.run(session, "3/1", "READ x");
    assert_eq!(reply.failure(), None);
    // The connection from before the configuration, which serves no account, is the oldest.
    assert_eq!(closed(&mut daemon), [None]);
    run_as(&mut daemon, 4);
    assert_eq!(closed(&mut daemon), [Some(name(1))]);
}

/// Guards against connections that stay open for an account that is gone or has another name.
#[rstest]
fn idle_connections_of_a_removed_account_are_closed(mut daemon: Daemon) {
    for account in 1..=3 {
        run_as(&mut daemon, account);
    }
    daemon.disconnected.clear();
    daemon.event(Event::Catalog(accounts(3, [1, 3])));
    assert_eq!(closed(&mut daemon), [Some(name(2))]);
}

/// Guards against a connection that stays open because it was in use when its account was removed.
#[rstest]
fn connection_of_a_removed_account_is_closed_after_its_statement(mut daemon: Daemon) {
    run_as(&mut daemon, 1);
    let session = run_as(&mut daemon, 2);
    daemon.withholds_answers = true;
    daemon.submit(session, "2/2", "READ x");
    daemon.disconnected.clear();
    daemon.event(Event::Catalog(accounts(3, [1])));
    assert!(closed(&mut daemon).is_empty());
    daemon.answer_all();
    daemon.advance(10);
    assert_eq!(closed(&mut daemon), [Some(name(2))]);
}

/// Guards against an opening of 12 ms for a connection that is free within a few milliseconds, and
/// against a wait without end for one that is not.
#[rstest]
#[case::that_is_free_soon(10, 1)]
#[case::that_stays_in_use(30, 2)]
fn statement_waits_for_a_connection_of_its_account(
    mut daemon: Daemon,
    #[case] millis: u64,
    #[case] expected: usize,
) {
    let first = run_as(&mut daemon, 1);
    let second = daemon.open_with_key(PAYMENTS, key(1));
    daemon.withholds_answers = true;
    daemon.submit(first, "1/a", "READ x");
    daemon.submit(second, "1/b", "READ x");
    daemon.advance(millis);
    daemon.answer_all();
    assert_eq!(daemon.answers.len(), 2);
    assert_eq!(daemon.opened.len(), expected);
}

/// Guards against accounts that need a connection to each replica for their reads.
#[rstest]
fn reads_of_an_account_keep_to_one_replica(mut daemon: Daemon) {
    let mut accounts_by_server: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for account in 1..=40 {
        let session = daemon.open_with_key(BALANCES, key(account));
        for n in 0..10 {
            let reply = daemon.run(session, &format!("{account}/{n}"), "READ x");
            assert_eq!(reply.failure(), None);
            daemon.advance(10);
        }
    }
    for (_, server, account) in &daemon.opened {
        let accounts = accounts_by_server.entry(server.to_string()).or_default();
        accounts.insert(account.clone());
    }
    let counts: Vec<_> = accounts_by_server
        .iter()
        .map(|(server, accounts)| (server.as_str(), accounts.len()))
        .collect();
    let [("s-b", of_b), ("s-c", of_c)] = counts[..] else {
        panic!("reads went to other servers: {counts:?}");
    };
    assert_eq!(of_b + of_c, 40, "each account uses one replica: {counts:?}");
    assert!(of_b.min(of_c) >= 10, "{counts:?}");
}

/// Guards against a preferred replica that gets more statements than it can run while others are
/// idle.
#[rstest]
fn reads_leave_a_busy_replica(mut daemon: Daemon) {
    daemon.withholds_answers = true;
    for n in 0..12 {
        let session = daemon.open_with_key(BALANCES, key(1));
        daemon.submit(session, &format!("1/{n}"), "READ x");
        daemon.advance(20);
    }
    let servers: BTreeSet<_> = daemon
        .statements()
        .into_iter()
        .map(|(server, _)| server)
        .collect();
    assert!(servers.len() >= 2, "{servers:?}");
}

/// Guards against connections that are opened only to ask a server for its status.
#[rstest]
fn status_is_asked_for_on_a_connection_of_any_account(mut daemon: Daemon) {
    fill(&mut daemon);
    run_as(&mut daemon, 7);
    daemon.sent.clear();
    let opened = daemon.opened.len();
    daemon.advance(1_000);
    let is_probe = |(to, request): &&(_, ServerRequest)| {
        *to == server("s-a") && *request == ServerRequest::Status
    };
    assert!(daemon.sent.iter().filter(is_probe).count() >= 2);
    assert_eq!(daemon.opened.len(), opened);
}

/// Guards against small accounts that need a new connection for each of their operations.
#[rstest]
fn unused_connections_within_half_of_the_share_are_kept(mut daemon: Daemon) {
    let mut catalog = accounts(3, 1..=60);
    catalog.services = BTreeMap::from([(service(), ServiceSpec { connections: 16 })]);
    daemon.event(Event::Catalog(catalog));
    for account in 1..=10 {
        run_as(&mut daemon, account);
    }
    daemon.advance(3_000);
    assert_eq!(daemon.connections_to(&server("s-a")), 7, "of a share of 14");
    daemon.advance(8_000);
    assert_eq!(daemon.connections_to(&server("s-a")), 1);
}

#[rstest]
fn snapshot_counts_connections_by_use(mut daemon: Daemon) {
    let before = daemon.state.snapshot().connection_counts;
    assert_eq!((before.free, before.replacements), (3, 0));
    fill(&mut daemon);
    let session = daemon.open_with_key(PAYMENTS, key(1));
    daemon.run(session, "1/begin", "BEGIN");
    daemon.run(session, "1/read", "READ x");
    run_as(&mut daemon, 7);
    daemon.withholds_answers = true;
    let session = daemon.open_with_key(PAYMENTS, key(7));
    daemon.submit(session, "7/2", "READ x");
    let counts = daemon.state.snapshot().connection_counts;
    let by_use = (
        counts.opening,
        counts.free,
        counts.busy,
        counts.in_transaction,
    );
    // Two connections lead to the replicas.
    assert_eq!(by_use, (0, 6, 1, 1));
    assert_eq!(counts.openings - before.openings, 7);
    assert_eq!(counts.replacements, 2, "of no account, and of account 2");
}
