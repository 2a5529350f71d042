//! The servers that reads of client accounts are sent to.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use support::{BALANCES, CONNECTIONS_MAX, account_key, daemon_with_accounts, server};

/// Guards against accounts that need a connection to each replica for their reads. Zone d has no
/// server.
#[rstest]
fn reads_of_an_account_keep_to_one_replica() {
    let mut daemon = daemon_with_accounts("d");
    let mut accounts_by_server: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for account in 1..=40 {
        let session = daemon.open_with_key(BALANCES, account_key(account));
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

/// Guards against reads that go to other zones, whose traffic costs, because of an account's
/// preference.
#[rstest]
#[case::of_the_primary_while_it_has_room("a", 5, "s-a")]
#[case::of_a_replica("b", 20, "s-b")]
#[case::of_the_other_replica("c", 20, "s-c")]
fn reads_of_an_account_stay_in_the_zone(
    #[case] zone: &str,
    #[case] accounts: u8,
    #[case] expected: &str,
) {
    let mut daemon = daemon_with_accounts(zone);
    for account in 1..=accounts {
        let session = daemon.open_with_key(BALANCES, account_key(account));
        daemon.run(session, &format!("{account}/1"), "READ x");
        daemon.advance(60);
    }
    let servers: BTreeSet<_> = daemon.opened.iter().map(|(_, to, _)| to.as_str()).collect();
    assert_eq!(servers, BTreeSet::from([expected]));
}

/// Guards against a connection that is closed for another account while another replica has room.
#[rstest]
fn room_at_another_replica_is_preferred_to_a_replacement() {
    let mut daemon = daemon_with_accounts("d");
    let count = 2 * CONNECTIONS_MAX - 2;
    for account in 1..=u8::try_from(count).expect("few accounts") {
        let session = daemon.open_with_key(BALANCES, account_key(account));
        let reply = daemon.run(session, &format!("{account}/1"), "READ x");
        assert_eq!(reply.failure(), None);
    }
    assert_eq!(daemon.state.snapshot().connection_counts.replacements, 0);
    let opened = [server("s-b"), server("s-c")].map(|id| daemon.connections_to(&id));
    assert_eq!(opened, [CONNECTIONS_MAX; 2]);
}

/// Guards against a read that goes to a slow server only because its account has a free connection
/// there.
#[rstest]
fn read_leaves_a_slow_replica_where_its_account_has_a_connection() {
    let mut daemon = daemon_with_accounts("d");
    let session = daemon.open_with_key(BALANCES, account_key(1));
    for n in 0..2 {
        daemon.withholds_answers = true;
        daemon.submit(session, &format!("1/{n}"), "READ x");
        daemon.advance(250);
        daemon.answer_all();
    }
    let slow: BTreeSet<_> = daemon.statements().into_iter().map(|(to, _)| to).collect();
    assert_eq!(slow.len(), 1, "{slow:?}");
    daemon.run(session, "1/last", "READ x");
    let [(last, _)] = &daemon.statements()[..] else {
        panic!("one statement is sent");
    };
    assert!(!slow.contains(last), "{last}");
}

/// Guards against a preferred replica that gets more statements than it can run while others are
/// idle.
#[rstest]
fn reads_leave_a_busy_replica() {
    let mut daemon = daemon_with_accounts("a");
    daemon.withholds_answers = true;
    for n in 0..12 {
        let session = daemon.open_with_key(BALANCES, account_key(1));
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
