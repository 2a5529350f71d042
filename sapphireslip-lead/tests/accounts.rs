//! Keys of client accounts: who may open a session, and what follows when a key is taken away.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::SessionId;
use sapphireslip_lead::{
    Catalog, CatalogWatch, Effect, ErrorCode, Event, Failure, KeyDigest, PermissionRecord,
    RecordKind, ServerRequest, ToldCatalog,
};
use support::{Daemon, PAYMENTS, at, catalog, catalog_with_keys, presence, server};

/// The key that the clients of these tests have.
const KEY: KeyDigest = KeyDigest([7; 16]);

/// Returns a configuration whose accounts have these keys.
fn catalog_with(version: u64, accounts: &[(&str, &[KeyDigest])]) -> Catalog {
    let named = accounts.iter();
    catalog_with_keys(
        version,
        named.map(|(name, keys)| (*name, None, keys.to_vec())),
    )
}

/// Returns a configuration with an account that has [`KEY`].
fn with_key(version: u64) -> Catalog {
    catalog_with(version, &[("mill", &[KEY])])
}

/// Returns a configuration with an account that has another key.
fn without_key(version: u64) -> Catalog {
    catalog_with(version, &[("mill", &[KeyDigest([8; 16])])])
}

/// Hands the daemon a configuration that it reads from the store.
fn read(daemon: &mut Daemon, catalog: Catalog) {
    daemon.event(Event::Catalog(catalog));
    let at = at(daemon.millis);
    let is_valid = true;
    daemon.event(Event::CatalogWatch(CatalogWatch::Answered { at, is_valid }));
}

/// Returns a ready daemon with a configuration of version 2, which is confirmed.
fn ready_with(catalog: Catalog) -> Daemon {
    let mut daemon = Daemon::ready();
    read(&mut daemon, catalog);
    daemon.effects.clear();
    daemon.sent.clear();
    daemon
}

/// Has the store turn the daemon away.
fn lose_store(daemon: &mut Daemon) {
    daemon.store_answers = false;
    daemon.event(Event::CatalogWatch(CatalogWatch::Failed));
}

/// Hands the daemon another daemon's answer to a request that was just sent.
fn tell(daemon: &mut Daemon, version: u64, age_ms: Option<u64>, newer: Option<Catalog>) {
    let told = ToldCatalog {
        version: Some(version),
        age: age_ms.map(Duration::from_millis),
        newer,
    };
    let sent = at(daemon.millis);
    daemon.event(Event::CatalogTold {
        told: Some(told),
        sent,
    });
}

/// Returns the failure with which a session was closed.
fn refusal(daemon: &Daemon, id: SessionId) -> Option<Failure> {
    let of_session = |effect: &Effect| match effect {
        Effect::CloseSession { session, failure } if *session == id => failure.clone(),
        _ => None,
    };
    daemon.effects.iter().find_map(of_session)
}

/// Returns the error code with which a new session with [`KEY`] is refused.
fn refusal_of_new_session(daemon: &mut Daemon) -> Option<ErrorCode> {
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    refusal(daemon, session).map(|failure| failure.code)
}

/// Returns how often other daemons were asked for a configuration.
fn requests(daemon: &Daemon) -> usize {
    let asks = daemon.effects.iter();
    asks.filter(|effect| matches!(effect, Effect::AskCatalog { .. }))
        .count()
}

#[rstest]
#[case::unknown_key(without_key(2), Some(KEY))]
#[case::no_key(with_key(2), None)]
#[case::key_of_two_accounts(catalog_with(2, &[("mill", &[KEY]), ("dock", &[KEY])]), Some(KEY))]
#[case::twice_in_the_second(catalog_with(2, &[("mill", &[KEY]), ("dock", &[KEY, KEY])]), Some(KEY))]
#[case::key_of_three_accounts(
    catalog_with(2, &[("mill", &[KEY]), ("dock", &[KEY]), ("yard", &[KEY])]), Some(KEY)
)]
fn session_without_account_is_refused_before_a_server_sees_it(
    #[case] catalog: Catalog,
    #[case] key: Option<KeyDigest>,
) {
    let mut daemon = ready_with(catalog);
    let session = daemon.open_as(PAYMENTS, key, None);
    let refused = refusal(&daemon, session).expect("the session is refused");
    assert_eq!(refused.code, ErrorCode::NoAccount);
    daemon.submit(session, "1", "READ x");
    assert_eq!(daemon.statements(), []);
}

#[rstest]
fn public_route_needs_no_key() {
    let mut public = without_key(2);
    for route in public.routes.values_mut() {
        route.is_public = true;
    }
    let mut daemon = ready_with(public);
    let session = daemon.open_as(PAYMENTS, None, None);
    assert_eq!(daemon.run(session, "1", "READ x").failure(), None);
}

/// Guards against a deployment that lets everybody in once the configuration names no account any more,
/// with an empty list or without one (review/14).
#[rstest]
#[case::holder_of_the_last_key(Some(KEY))]
#[case::unknown_key(Some(KeyDigest([9; 16])))]
#[case::no_key(None)]
fn removal_of_the_last_account_lets_nobody_in(#[case] key: Option<KeyDigest>) {
    let mut daemon = ready_with(with_key(2));
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    let idle = daemon.open_as(PAYMENTS, Some(KEY), None);
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    read(&mut daemon, catalog_with(3, &[]));
    assert!(daemon.closed.contains(&idle));
    daemon.statements();
    daemon.submit(session, "3", "COMMIT");
    for version in [4, 5] {
        let refused = daemon.open_as(PAYMENTS, key, None);
        let code = refusal(&daemon, refused).map(|failure| failure.code);
        assert_eq!(code, Some(ErrorCode::NoAccount));
        daemon.submit(refused, "4", "READ x");
        read(&mut daemon, catalog_with(version, &[]));
    }
    assert_eq!(daemon.statements(), []);
}

/// Guards against a door that stays shut: routes that are public, and accounts that are added again.
#[rstest]
fn removal_of_the_last_account_leaves_public_routes_open() {
    let mut daemon = ready_with(with_key(2));
    let mut public = catalog_with(3, &[]);
    for route in public.routes.values_mut() {
        route.is_public = true;
    }
    read(&mut daemon, public);
    let session = daemon.open_as(PAYMENTS, None, None);
    assert_eq!(daemon.run(session, "1", "READ x").failure(), None);
    read(&mut daemon, with_key(4));
    assert_eq!(refusal_of_new_session(&mut daemon), None);
}

/// Guards against a daemon that has just started and admits everybody as the configuration lacks its accounts,
/// and against a deployment without accounts that serves nobody.
#[rstest]
#[case::accounts_by_the_settings(true)]
#[case::deployment_without_accounts(false)]
fn first_configuration_without_accounts(#[case] requires_accounts: bool) {
    let mut daemon = Daemon::new("a");
    if requires_accounts {
        daemon.change_state(sapphireslip_lead::State::with_required_accounts);
    }
    read(&mut daemon, catalog(1));
    daemon.advance(2_000);
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    match requires_accounts {
        true => {
            let code = refusal(&daemon, session).map(|failure| failure.code);
            assert_eq!(code, Some(ErrorCode::NoAccount));
        }
        false => assert_eq!(daemon.run(session, "1", "READ x").failure(), None),
    }
}

/// Guards against sessions that keep their rights after their key was taken away.
#[rstest]
fn revoked_idle_session_is_closed() {
    let mut daemon = ready_with(with_key(2));
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    read(&mut daemon, without_key(3));
    assert_eq!(daemon.closed, [session]);
}

#[rstest]
fn revoked_session_idle_in_a_transaction_is_rolled_back_and_closed() {
    let mut daemon = ready_with(with_key(2));
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.sent.clear();
    read(&mut daemon, without_key(3));
    assert_eq!(daemon.closed, [session]);
    let rolled_back = |(_, request): &(_, ServerRequest)| *request == ServerRequest::Rollback;
    assert!(daemon.sent.iter().any(rolled_back));
}

/// Guards against a refusal that is not true: a statement that runs at a server is answered as it
/// ended, and only those that wait are refused.
#[rstest]
fn revoked_statements_that_wait_are_refused_and_running_ones_completed() {
    let mut daemon = ready_with(with_key(2));
    daemon.withholds_answers = true;
    let mut sessions = Vec::new();
    for n in 0..40 {
        let session = daemon.open_as(PAYMENTS, Some(KEY), None);
        daemon.submit(session, &format!("s{n}"), "WRITE x 1");
        sessions.push(session);
    }
    let running = daemon.statements().len();
    assert!(0 < running && running < 40, "{running} statements run");
    read(&mut daemon, without_key(3));
    let refused = daemon.answers.len();
    assert_eq!(refused, 40 - running);
    for (_, reply) in &daemon.answers {
        let code = reply.failure().map(|failure| &failure.code);
        assert_eq!(code, Some(&ErrorCode::NoAccount));
    }
    daemon.answer_all();
    assert_eq!(daemon.statements(), [], "nothing else is sent");
    let completed = daemon.answers.split_off(refused);
    assert_eq!(completed.len(), running);
    assert!(completed.iter().all(|(_, reply)| reply.failure().is_none()));
    daemon.closed.sort_unstable();
    assert_eq!(daemon.closed, sessions);
}

#[rstest]
fn revoked_forwarded_session_is_closed() {
    let mut daemon = ready_with(with_key(2));
    for n in 0..200 {
        daemon.store.add_permission(PermissionRecord {
            reached: vec![server("s-a")],
            ..presence(&format!("other-{n}"), "a")
        });
    }
    daemon.advance(2_500);
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    let is_relay = |effect: &Effect| matches!(effect, Effect::Relay { key: Some(KEY), .. });
    assert!(daemon.effects.iter().any(is_relay));
    read(&mut daemon, without_key(3));
    assert_eq!(daemon.closed, [session]);
}

/// Returns a daemon with an open session that knows daemons of its own and of another zone.
fn with_others() -> (Daemon, SessionId) {
    let mut daemon = among_others();
    read(&mut daemon, with_key(2));
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    daemon.effects.clear();
    (daemon, session)
}

/// Returns a daemon without accounts that knows daemons of its own and of another zone.
fn among_others() -> Daemon {
    let mut daemon = Daemon::ready();
    for name in ["b-1", "b-2", "b-3"] {
        daemon.store.add_permission(presence(name, "b"));
    }
    let dead = PermissionRecord {
        alive: daemon.store.now(0),
        ..presence("dead", "b")
    };
    daemon.store.add_permission(dead);
    daemon.advance(2_500);
    daemon.effects.clear();
    daemon
}

/// Guards against keys that stay valid at the daemons that the store turns away.
#[rstest]
fn key_taken_away_ends_sessions_of_a_daemon_without_the_store() {
    let (mut daemon, session) = with_others();
    lose_store(&mut daemon);
    daemon.advance(1_100);
    assert_eq!(requests(&daemon), 1, "another daemon is asked");
    tell(&mut daemon, 3, Some(40), Some(without_key(3)));
    assert_eq!(daemon.closed, [session]);
    let told = |record: &sapphireslip_lead::Record| {
        record.kind == RecordKind::CatalogTaken && record.detail.contains("another daemon")
    };
    assert!(daemon.records.iter().any(told));
}

/// Guards against a revoked key that is valid again because another daemon has not heard of it.
#[rstest]
fn stale_answer_does_not_bring_an_older_configuration_back() {
    let (mut daemon, _) = with_others();
    read(&mut daemon, without_key(3));
    lose_store(&mut daemon);
    daemon.advance(3_000);
    tell(&mut daemon, 2, Some(0), Some(with_key(2)));
    assert_eq!(daemon.state.snapshot().configuration, 3);
    let refused = refusal_of_new_session(&mut daemon);
    assert_eq!(refused, Some(ErrorCode::Busy), "it confirms nothing");
}

/// Guards against a client with a new key that gives up since a daemon does not know it yet.
#[rstest]
#[case::confirmed_just_now(0, Some(0), ErrorCode::NoAccount)]
#[case::confirmed_2_s_ago(2_000, None, ErrorCode::NoAccount)]
#[case::confirmed_longer_ago(2_200, None, ErrorCode::Busy)]
#[case::confirmed_by_another_daemon(5_000, Some(1_200), ErrorCode::NoAccount)]
#[case::confirmed_too_long_ago_by_another_daemon(5_000, Some(2_100), ErrorCode::Busy)]
fn key_just_added_is_told_from_a_wrong_one(
    #[case] waited_ms: u64,
    #[case] told_age_ms: Option<u64>,
    #[case] expected: ErrorCode,
) {
    let (mut daemon, _) = with_others();
    read(&mut daemon, without_key(3));
    lose_store(&mut daemon);
    daemon.advance(waited_ms);
    if told_age_ms.is_some() {
        tell(&mut daemon, 3, told_age_ms, None);
    }
    daemon.effects.clear();
    let session = daemon.open_as(PAYMENTS, Some(KEY), None);
    let refused = refusal(&daemon, session).expect("the session is refused");
    assert_eq!(refused.code, expected);
    let has_delay = refused.text.contains("retry after");
    assert_eq!(has_delay, expected == ErrorCode::Busy);
    tell(&mut daemon, 4, Some(10), Some(with_key(4)));
    assert_eq!(refusal_of_new_session(&mut daemon), None);
}

/// A watch that waits at a store that answers would have returned a newer configuration.
#[rstest]
fn unknown_key_is_refused_for_good_while_the_watch_waits() {
    let mut daemon = ready_with(without_key(2));
    daemon.advance(3_400);
    let refused = refusal_of_new_session(&mut daemon);
    assert_eq!(refused, Some(ErrorCode::NoAccount));
}

/// Guards against a session that a daemon with an older configuration refuses for good.
#[rstest]
fn session_of_a_forwarder_with_a_newer_configuration_is_refused_for_a_while() {
    let (mut daemon, _) = with_others();
    read(&mut daemon, without_key(3));
    let session = daemon.open_as(PAYMENTS, Some(KEY), Some(4));
    let refused = refusal(&daemon, session).expect("the session is refused");
    assert_eq!(refused.code, ErrorCode::Busy);
    lose_store(&mut daemon);
    daemon.advance(1_100);
    tell(&mut daemon, 4, Some(10), Some(with_key(4)));
    let session = daemon.open_as(PAYMENTS, Some(KEY), Some(4));
    assert_eq!(daemon.run(session, "1", "READ x").failure(), None);
}

/// Guards against load by requests: daemons that know no more are asked at most three times a
/// second, and one that does not answer is waited for.
#[rstest]
fn others_are_asked_at_a_bounded_rate() {
    let (mut daemon, _) = with_others();
    lose_store(&mut daemon);
    daemon.advance(1_050);
    assert_eq!(requests(&daemon), 1);
    for _ in 0..300 {
        daemon.advance(10);
        if requests(&daemon) > 0 {
            let sent = at(daemon.millis);
            daemon.event(Event::CatalogTold { told: None, sent });
        }
    }
    let asked = requests(&daemon);
    assert!((9..=12).contains(&asked), "{asked} requests within 3 s");
}

/// Guards against a zone that loses the store as a whole and asks only itself. Daemons that are no
/// longer alive are not asked.
#[rstest]
fn daemons_of_both_zones_are_asked_in_turn() {
    let (mut daemon, _) = with_others();
    for (n, name) in ["a-1", "a-2", "a-3"].into_iter().enumerate() {
        let peers = format!("10.2.0.{n}:7000").parse().expect("an address");
        daemon.store.add_permission(PermissionRecord {
            peers,
            ..presence(name, "a")
        });
    }
    daemon.advance(2_500);
    lose_store(&mut daemon);
    for _ in 0..6 {
        daemon.advance(1_050);
        let sent = at(daemon.millis);
        daemon.event(Event::CatalogTold { told: None, sent });
    }
    let asked = daemon.effects.iter().filter_map(|effect| match effect {
        Effect::AskCatalog { address, .. } => Some(address.to_string().starts_with("10.2.")),
        _ => None,
    });
    let asked: Vec<bool> = asked.take(6).collect();
    assert_eq!(asked.iter().filter(|is_own| **is_own).count(), 3);
}

#[rstest]
#[case::store_answers(Some(with_key(3)), true, 0)]
#[case::no_accounts(None, false, 0)]
#[case::accounts(Some(with_key(3)), false, 1)]
#[case::last_account_removed(Some(catalog(3)), false, 1)]
fn others_are_asked_only_without_the_store_and_with_accounts(
    #[case] catalog: Option<Catalog>,
    #[case] store_answers: bool,
    #[case] expected: usize,
) {
    let mut daemon = match catalog {
        Some(_) => with_others().0,
        None => among_others(),
    };
    read(&mut daemon, catalog.unwrap_or_else(|| support::catalog(3)));
    if !store_answers {
        lose_store(&mut daemon);
    }
    daemon.advance(1_500);
    assert_eq!(requests(&daemon), expected);
}

/// Guards against a daemon that restarts while the store has no valid configuration for it.
#[rstest]
fn daemon_without_configuration_learns_it_from_another() {
    let mut daemon = Daemon::new("a");
    daemon.store.add_permission(presence("b-1", "b"));
    daemon.advance(300);
    daemon.event(Event::CatalogWatch(CatalogWatch::Failed));
    daemon.advance(50);
    let is_asked = |effect: &Effect| matches!(effect, Effect::AskCatalog { version: None, .. });
    assert!(daemon.effects.iter().any(is_asked));
    tell(&mut daemon, 2, None, Some(with_key(2)));
    assert_eq!(daemon.state.snapshot().configuration, 2);
    assert_eq!(refusal_of_new_session(&mut daemon), None);
}

/// Guards against ages that become young again when daemons tell them to one another.
#[rstest]
#[case::older_version(Some(1), true)]
#[case::no_version(None, true)]
#[case::same_version(Some(2), false)]
fn told_age_includes_the_way_here(#[case] version: Option<u64>, #[case] is_newer: bool) {
    let (mut daemon, _) = with_others();
    lose_store(&mut daemon);
    daemon.advance(4_000);
    tell(&mut daemon, 2, Some(3_000), None);
    daemon.advance(500);
    daemon.effects.clear();
    let session = SessionId(900);
    daemon.event(Event::CatalogAsked { session, version });
    let told = ToldCatalog {
        version: Some(2),
        age: Some(Duration::from_millis(3_500)),
        newer: is_newer.then(|| with_key(2)),
    };
    assert!(
        daemon
            .effects
            .contains(&Effect::TellCatalog { session, told })
    );
}
