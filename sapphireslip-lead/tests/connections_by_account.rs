//! Each client account has connections of its own, and a server accepts few connections.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use rstest::{fixture, rstest};
use sapphireslip_core::{AccountName, Random};
use sapphireslip_lead::{Event, RecordKind, ServerRequest, ServiceSpec};
use support::{
    BALANCES, CONNECTIONS, CONNECTIONS_MAX, Daemon, PAYMENTS, POLLS, account_key, account_name,
    account_of, assert_on_own_connections, catalog_with_accounts, daemon_with_accounts, run_as,
    server, service,
};

/// Returns a ready daemon whose configuration names 60 accounts.
#[fixture]
fn daemon() -> Daemon {
    daemon_with_accounts("a")
}

/// Returns the accounts whose connections the daemon has closed, and forgets them.
fn closed(daemon: &mut Daemon) -> Vec<Option<AccountName>> {
    let closed = std::mem::take(&mut daemon.disconnected);
    closed.iter().map(|id| account_of(daemon, *id)).collect()
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

/// Guards against a statement that the server counts for another account, as the server knows a
/// statement's account only by its connection.
#[rstest]
fn statement_of_an_account_runs_only_on_its_connections(mut daemon: Daemon) {
    let sessions: Vec<_> = (1..=6)
        .map(|account| {
            let database = [PAYMENTS, BALANCES, POLLS][usize::from(account) % 3];
            (
                account,
                daemon.open_with_key(database, account_key(account)),
            )
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
    assert_eq!(
        closed(&mut daemon),
        [Some(account_name(2)), Some(account_name(3))]
    );
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
        .map(|account| daemon.open_with_key(PAYMENTS, account_key(account)))
        .collect();
    for (n, session) in (1..).zip(&sessions) {
        daemon.run(*session, &format!("{n}/begin"), "BEGIN");
        daemon.run(*session, &format!("{n}/read"), "READ x");
    }
    daemon.disconnected.clear();
    let waiting = daemon.open_with_key(POLLS, account_key(7));
    daemon.submit(waiting, "7/read", "READ x");
    daemon.advance(100);
    assert!(closed(&mut daemon).is_empty());
    assert!(daemon.answers.is_empty());
    daemon.run(sessions[3], "4/commit", "COMMIT");
    daemon.advance(10);
    assert_eq!(closed(&mut daemon), [Some(account_name(4))]);
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
            (n, daemon.open_with_key(POLLS, account_key(n)))
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
        .map(|n| (n, daemon.open_with_key(POLLS, account_key(n))))
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
            let session = daemon.open_with_key(database, account_key(account));
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
    let expected = [11, 21, 22, 12, 13, 14].map(|n| Some(account_name(n)));
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
    let session = daemon.open_with_key(PAYMENTS, account_key(3));
    let reply = daemon.run(session, "3/1", "READ x");
    assert_eq!(reply.failure(), None);
    // The connection from before the configuration, which serves no account, is the oldest.
    assert_eq!(closed(&mut daemon), [None]);
    run_as(&mut daemon, 4);
    assert_eq!(closed(&mut daemon), [Some(account_name(1))]);
}

/// Guards against connections that stay open for an account that is gone or has another name.
#[rstest]
fn idle_connections_of_a_removed_account_are_closed(mut daemon: Daemon) {
    for account in 1..=3 {
        run_as(&mut daemon, account);
    }
    daemon.disconnected.clear();
    daemon.event(Event::Catalog(catalog_with_accounts(3, [1, 3])));
    assert_eq!(closed(&mut daemon), [Some(account_name(2))]);
}

/// Guards against a connection that stays open because it was in use when its account was removed.
#[rstest]
fn connection_of_a_removed_account_is_closed_after_its_statement(mut daemon: Daemon) {
    run_as(&mut daemon, 1);
    let session = run_as(&mut daemon, 2);
    daemon.withholds_answers = true;
    daemon.submit(session, "2/2", "READ x");
    daemon.disconnected.clear();
    daemon.event(Event::Catalog(catalog_with_accounts(3, [1])));
    assert!(closed(&mut daemon).is_empty());
    daemon.answer_all();
    daemon.advance(10);
    assert_eq!(closed(&mut daemon), [Some(account_name(2))]);
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
    let second = daemon.open_with_key(PAYMENTS, account_key(1));
    daemon.withholds_answers = true;
    daemon.submit(first, "1/a", "READ x");
    daemon.submit(second, "1/b", "READ x");
    daemon.advance(millis);
    daemon.answer_all();
    assert_eq!(daemon.answers.len(), 2);
    assert_eq!(daemon.opened.len(), expected);
}

/// Guards against a statement that waits for a tick though the rollback that it waited for is
/// answered.
#[rstest]
fn connection_that_was_rolled_back_is_used_at_once(mut daemon: Daemon) {
    let sessions: Vec<_> = (1..=6)
        .map(|account| daemon.open_with_key(PAYMENTS, account_key(account)))
        .collect();
    for (n, session) in (1..).zip(&sessions) {
        daemon.run(*session, &format!("{n}/begin"), "BEGIN");
        daemon.run(*session, &format!("{n}/read"), "READ x");
    }
    let waiting = daemon.open_with_key(PAYMENTS, account_key(7));
    daemon.submit(waiting, "7/1", "READ x");
    daemon.submit(sessions[0], "1/rollback", "ROLLBACK");
    let answered: BTreeSet<_> = daemon.answers.iter().map(|(session, _)| *session).collect();
    assert_eq!(answered, BTreeSet::from([sessions[0], waiting]));
    assert_on_own_connections(&daemon);
}

/// Guards against an urgent statement that waits for the pace because less urgent ones have used it
/// up.
#[rstest]
fn urgent_statement_gets_a_connection_though_the_pace_is_used_up(mut daemon: Daemon) {
    fill(&mut daemon);
    for account in 11..=16 {
        let session = daemon.open_with_key(POLLS, account_key(account));
        daemon.submit(session, &format!("{account}/1"), "READ x");
    }
    assert_eq!(daemon.answers.len(), 2, "the other polls wait for the pace");
    run_as(&mut daemon, 21);
    assert_eq!(daemon.answers.len(), 2);
}

/// Guards against statements that are refused by the pace when many accounts send at once.
#[rstest]
fn twelve_accounts_that_send_at_once_are_served(mut daemon: Daemon) {
    fill(&mut daemon);
    for account in 11..=22 {
        let session = daemon.open_with_key(POLLS, account_key(account));
        daemon.submit(session, &format!("{account}/1"), "READ x");
    }
    daemon.advance(130);
    assert_eq!(daemon.answers.len(), 12);
    for (session, reply) in &daemon.answers {
        assert_eq!(reply.failure(), None, "{session:?}");
    }
}

/// Guards against a connection without an account, which the statement that waits can't use.
#[rstest]
fn first_connection_to_a_server_serves_the_statement_that_waits(mut daemon: Daemon) {
    daemon.group.get_mut(&server("s-a")).is_isolated = true;
    daemon.break_connections(&server("s-a"));
    let session = daemon.open_with_key(POLLS, account_key(5));
    daemon.submit(session, "5/1", "READ x");
    daemon.opened.clear();
    daemon.group.get_mut(&server("s-a")).is_isolated = false;
    daemon.advance(100);
    let accounts: Vec<_> = daemon.opened.iter().map(|(.., a)| a.clone()).collect();
    assert_eq!(accounts, [Some(account_name(5))]);
    assert_eq!(daemon.answers.len(), 1);
}

/// Guards against a request for the status with each opening, where every account has some.
#[rstest]
fn opening_for_an_account_is_not_followed_by_a_status_request(mut daemon: Daemon) {
    daemon.sent.clear();
    fill(&mut daemon);
    let is_probe = |(_, request): &&(_, ServerRequest)| *request == ServerRequest::Status;
    let probes = daemon.sent.iter().filter(is_probe).count();
    assert!(probes <= 1, "{probes} in 120 ms");
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
    let mut catalog = catalog_with_accounts(3, 1..=60);
    catalog.services = BTreeMap::from([(
        service(),
        ServiceSpec {
            connections: 16,
            ..ServiceSpec::default()
        },
    )]);
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
    let session = daemon.open_with_key(PAYMENTS, account_key(1));
    daemon.run(session, "1/begin", "BEGIN");
    daemon.run(session, "1/read", "READ x");
    run_as(&mut daemon, 7);
    daemon.withholds_answers = true;
    let session = daemon.open_with_key(PAYMENTS, account_key(7));
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

/// Guards against a fleet that restarts and finds no connection: the servers count those of the lost
/// daemons for seconds.
#[rstest]
fn restart_of_all_finds_as_many_connections_as_the_lost_daemons_had(mut daemon: Daemon) {
    for account in 1..=20 {
        run_as(&mut daemon, account);
        daemon.advance(100);
    }
    let left = CONNECTIONS - daemon.connections_to(&server("s-a"));
    assert!(left >= CONNECTIONS_MAX, "{left}");
}
