//! Keys that a configuration takes from one account and gives to another: nothing goes on for the account
//! that has lost the key.

mod support;

use rstest::rstest;
use sapphireslip_core::{AccountName, SessionId, TransactionStatus};
use sapphireslip_lead::{Catalog, ErrorCode, Event, KeyDigest, RateLimit, ServerRequest};
use support::{Daemon, PAYMENTS, catalog_with_keys, code, server};

/// The key that the clients of these tests have.
const KEY: KeyDigest = KeyDigest([7; 16]);

fn account(name: &str) -> AccountName {
    AccountName::try_from(name).expect("a valid name")
}

/// Returns a configuration with the accounts `mill` and `dock`, in which [`KEY`] belongs to `holder`; `dock`
/// has this limit.
fn held_by_limited(version: u64, holder: &str, limit: Option<RateLimit>) -> Catalog {
    let account = |name, own, limit| {
        let moved = (name == holder).then_some(KEY);
        let keys = [KeyDigest([own; 16])].into_iter().chain(moved);
        (name, limit, keys.collect())
    };
    let accounts = [account("mill", 1, None), account("dock", 2, limit)];
    catalog_with_keys(version, accounts)
}

/// Returns a configuration with the accounts `mill` and `dock`, in which [`KEY`] belongs to `holder`.
fn held_by(version: u64, holder: &str) -> Catalog {
    held_by_limited(version, holder, None)
}

/// Returns a ready daemon at which [`KEY`] belongs to `mill`, with a session of that key, which another daemon
/// has forwarded if `is_forwarded`.
fn with_session(is_forwarded: bool) -> (Daemon, SessionId) {
    let mut daemon = Daemon::ready();
    daemon.event(Event::Catalog(held_by(2, "mill")));
    let session = daemon.open_as(PAYMENTS, Some(KEY), is_forwarded.then_some(2));
    (daemon, session)
}

/// Gives [`KEY`] to `dock`.
fn move_key(daemon: &mut Daemon) {
    daemon.event(Event::Catalog(held_by(3, "dock")));
}

/// Returns the accounts of the connections on which a statement was sent, the oldest first.
fn accounts_of(daemon: &Daemon, statement: &str) -> Vec<Option<AccountName>> {
    let is_statement = |request: &ServerRequest| match request {
        ServerRequest::Forward { id, .. } => **id == *statement,
        _ => false,
    };
    let sent = daemon.sent_on.iter();
    let on = sent.filter(|(_, request)| is_statement(request));
    let account = |connection| {
        let mut opened = daemon.opened.iter();
        opened.find(|(id, ..)| id == connection)?.2.clone()
    };
    on.map(|(connection, _)| account(connection)).collect()
}

/// Returns how many transactions were rolled back.
fn rollbacks(daemon: &Daemon) -> usize {
    let is_rollback = |(_, request): &&(_, _)| *request == ServerRequest::Rollback;
    daemon.sent.iter().filter(is_rollback).count()
}

/// Guards against a transaction that goes on, up to its `COMMIT`, for the account that has lost the key
/// (review 3, `moved-key`).
#[rstest]
#[case::idle(false, false, false)]
#[case::idle_forwarded(true, false, false)]
#[case::statement_runs(false, true, false)]
#[case::statement_runs_forwarded(true, true, false)]
#[case::route_is_removed_too(false, false, true)]
fn transaction_ends_when_its_key_moves(
    #[case] is_forwarded: bool,
    #[case] runs: bool,
    #[case] loses_route: bool,
) {
    let (mut daemon, session) = with_session(is_forwarded);
    daemon.run(session, "1", "BEGIN");
    assert_eq!(daemon.run(session, "2", "WRITE x 1").failure(), None);
    daemon.withholds_answers = runs;
    if runs {
        daemon.submit(session, "3", "READ x");
    }
    let mut moved = held_by(3, "dock");
    if loses_route {
        moved.routes.clear();
    }
    daemon.event(Event::Catalog(moved));
    if runs {
        assert_eq!(
            rollbacks(&daemon),
            0,
            "the running statement is answered first"
        );
        daemon.answer_all();
        let answer = daemon.answers.pop().expect("an answer").1;
        assert_eq!(answer.failure(), None);
    }
    assert_eq!(rollbacks(&daemon), 1);
    assert_eq!(daemon.closed, []);
    let refused = daemon.run(session, "4", "COMMIT");
    assert_eq!(code(&refused), Some(ErrorCode::Aborted));
    assert_eq!(refused.transaction, TransactionStatus::Idle);
    assert_eq!(accounts_of(&daemon, "4"), []);
    if !loses_route {
        assert_eq!(daemon.run(session, "5", "WRITE x 2").failure(), None);
        assert_eq!(accounts_of(&daemon, "5"), [Some(account("dock"))]);
    }
}

/// Guards against a `COMMIT` that is called off though its server runs it.
#[rstest]
fn running_commit_is_answered_as_it_ended() {
    let (mut daemon, session) = with_session(false);
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.withholds_answers = true;
    daemon.submit(session, "3", "COMMIT");
    move_key(&mut daemon);
    daemon.answer_all();
    let answer = daemon.answers.pop().expect("an answer").1;
    assert_eq!(answer.failure(), None);
    assert_eq!(rollbacks(&daemon), 0);
}

/// Guards against a transaction that begins for the account that has lost the key as its `BEGIN` was on the
/// way, or waited, when the key moved.
#[rstest]
#[case::unanswered(true)]
#[case::not_sent(false)]
fn transaction_that_has_not_begun_begins_for_the_new_account(#[case] is_sent: bool) {
    let (mut daemon, session) = with_session(false);
    daemon.run(session, "1", "WRITE x 1");
    daemon.run(session, "2", "BEGIN");
    if is_sent {
        daemon.group.get_mut(&server("s-a")).is_isolated = true;
        daemon.submit(session, "3", "WRITE x 2");
        daemon.group.get_mut(&server("s-a")).is_isolated = false;
    }
    move_key(&mut daemon);
    match is_sent {
        true => daemon.answer_all(),
        false => daemon.submit(session, "3", "WRITE x 2"),
    }
    let answer = daemon.answers.pop().expect("an answer").1;
    assert_eq!(answer.failure(), None);
    assert_eq!(accounts_of(&daemon, "3"), [Some(account("dock"))]);
    assert_eq!(daemon.run(session, "4", "COMMIT").failure(), None);
}

/// Guards against statements that wait for a connection while their key moves and then run for the account
/// that has lost it.
#[rstest]
#[case::sessions_of_its_clients(false)]
#[case::forwarded_sessions(true)]
fn waiting_statements_follow_their_key(#[case] is_forwarded: bool) {
    let (mut daemon, _) = with_session(false);
    daemon.withholds_answers = true;
    for n in 0..40 {
        let session = daemon.open_as(PAYMENTS, Some(KEY), is_forwarded.then_some(2));
        daemon.submit(session, &format!("s{n}"), "WRITE x 1");
    }
    let running = daemon.statements().len();
    assert!(0 < running && running < 40, "{running} statements run");
    move_key(&mut daemon);
    daemon.answer_all();
    assert_eq!(daemon.answers.len(), 40);
    let mut of_dock = 0;
    for n in 0..40 {
        let accounts = accounts_of(&daemon, &format!("s{n}"));
        of_dock += usize::from(accounts == [Some(account("dock"))]);
    }
    assert_eq!(of_dock, 40 - running);
}

/// Guards against operations of a key that has moved that no limit counts.
#[rstest]
fn waiting_statements_count_against_the_new_account() {
    let (mut daemon, _) = with_session(false);
    daemon.withholds_answers = true;
    for n in 0..40 {
        let session = daemon.open_as(PAYMENTS, Some(KEY), None);
        daemon.submit(session, &format!("s{n}"), "WRITE x 1");
    }
    let running = daemon.statements().len();
    let nothing = RateLimit {
        per_second: 0,
        burst: 0,
    };
    let moved = held_by_limited(3, "dock", Some(nothing));
    daemon.event(Event::Catalog(moved));
    daemon.answer_all();
    daemon.advance(2_000);
    let refused = daemon
        .answers
        .iter()
        .filter(|(_, reply)| reply.failure().is_some());
    assert_eq!(refused.count(), 40 - running);
    assert!(
        (0..40).all(|n| !accounts_of(&daemon, &format!("s{n}")).contains(&Some(account("dock"))))
    );
}

/// Guards against a statement that its server was too busy for and that is sent again for the account that
/// has lost the key.
#[rstest]
#[case::key_moved(Some("dock"))]
#[case::key_taken_away(None)]
fn statement_is_not_sent_again_for_the_old_account(#[case] holder: Option<&str>) {
    let (mut daemon, session) = with_session(false);
    daemon.withholds_answers = true;
    daemon.submit(session, "1", "WRITE x 1");
    daemon.event(Event::Catalog(held_by(3, holder.unwrap_or_default())));
    daemon.group.get_mut(&server("s-a")).is_busy = true;
    daemon.answer_oldest(1);
    daemon.group.get_mut(&server("s-a")).is_busy = false;
    daemon.answer_all();
    daemon.advance(100);
    let answer = daemon.answers.pop().expect("an answer").1;
    let mill = Some(account("mill"));
    match holder {
        Some(holder) => {
            assert_eq!(answer.failure(), None);
            assert_eq!(accounts_of(&daemon, "1"), [mill, Some(account(holder))]);
        }
        None => {
            assert_eq!(code(&answer), Some(ErrorCode::NoAccount));
            assert_eq!(accounts_of(&daemon, "1"), [mill]);
        }
    }
}

/// Guards against transactions that end by configurations that leave their key where it was.
#[rstest]
fn transaction_goes_on_while_its_key_stays() {
    let (mut daemon, session) = with_session(false);
    daemon.run(session, "1", "BEGIN");
    daemon.run(session, "2", "WRITE x 1");
    daemon.event(Event::Catalog(held_by(3, "mill")));
    let mut without_route = held_by(4, "mill");
    without_route.routes.clear();
    daemon.event(Event::Catalog(without_route));
    assert_eq!(daemon.run(session, "3", "COMMIT").failure(), None);
    assert_eq!(accounts_of(&daemon, "3"), [Some(account("mill"))]);
}
