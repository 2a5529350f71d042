//! How limits of accounts act on the statements of a daemon.

mod support;

use rstest::rstest;
use sapphireslip_core::{AccountName, Incarnation, SessionId};
use sapphireslip_lead::{
    Account, AccountAsk, Catalog, ClientEvent, Effect, ErrorCode, Event, KeyDigest, RateLimit,
    RecordKind, Reply, ShareRequest,
};
use support::{Daemon, PAYMENTS, at, catalog, vm};

const KEY: KeyDigest = KeyDigest([7; 16]);

/// Returns a configuration with one account that may run `per_second` operations.
fn limited(version: u64, per_second: u64) -> Catalog {
    let mut catalog = catalog(version);
    let account = Account {
        name: AccountName::try_from("mill").expect("a name"),
        limit: Some(RateLimit {
            per_second: per_second * 1_000,
            burst: 2_000,
        }),
    };
    catalog.accounts.add(account, [KEY]);
    catalog
}

/// Returns a daemon that is the coordinator, and a session of the account.
fn daemon(per_second: u64) -> (Daemon, SessionId) {
    let mut daemon = Daemon::ready();
    daemon.event(Event::Catalog(limited(2, per_second)));
    let session = open(&mut daemon, 500);
    daemon.advance(5_000);
    (daemon, session)
}

/// Opens a session of the account.
fn open(daemon: &mut Daemon, id: u64) -> SessionId {
    let session = SessionId(id);
    daemon.event(Event::Client(ClientEvent::Opened {
        session,
        database: PAYMENTS.into(),
        key: Some(KEY),
        forwarder_version: None,
    }));
    session
}

fn is_limited(reply: &Reply) -> bool {
    reply.failure().is_some_and(|failure| {
        failure.code == ErrorCode::Busy
            && failure
                .text
                .starts_with("the limit of account `mill` is reached; retry after ")
    })
}

/// Guards against a coordinator that lends itself nothing, and against operations beyond the limit.
#[rstest]
fn coordinator_serves_its_own_clients_up_to_the_limit() {
    let (mut daemon, _) = daemon(5);
    daemon.answers.clear();
    let sessions: Vec<SessionId> = (0..10).map(|n| open(&mut daemon, 600 + n)).collect();
    for n in 0..20 {
        for session in &sessions {
            daemon.submit(*session, &n.to_string(), "READ x");
        }
        daemon.advance(250);
    }
    let replies: Vec<Reply> = daemon.answers.drain(..).map(|(_, reply)| reply).collect();
    let is_served = |reply: &&Reply| reply.failure().is_none();
    let served = replies.iter().filter(is_served).count();
    let refused = replies.iter().filter(|reply| is_limited(reply)).count();
    let other = replies
        .iter()
        .find(|r| r.failure().is_some() && !is_limited(r));
    assert_eq!(other, None, "no other refusals");
    assert_eq!(replies.len(), 200);
    assert!((24..=42).contains(&served), "{served} served in 5 s of 5/s");
    let limited = daemon
        .records
        .iter()
        .filter(|r| r.kind == RecordKind::AccountLimited);
    assert_eq!(limited.count(), 1, "logged once");
    assert_eq!(daemon.state.snapshot().refused_by_limit, refused as u64);
    assert_eq!(daemon.state.snapshot().shares_held, 1);
}

/// Guards against a transaction that is refused or counted again after its first statement.
#[rstest]
fn transaction_takes_one_token() {
    let (mut daemon, session) = daemon(1);
    daemon.run(session, "b", "BEGIN");
    for n in 0..12 {
        let reply = daemon.run(session, &n.to_string(), "READ x");
        assert_eq!(reply.failure(), None, "statement {n}");
    }
    assert_eq!(daemon.run(session, "c", "COMMIT").failure(), None);
    assert_eq!(daemon.state.snapshot().refused_by_limit, 0);
}

/// Guards against shares for a daemon that asks one which is no coordinator, or not any more.
#[rstest]
fn only_a_coordinator_with_a_valid_row_lends() {
    let (mut daemon, _) = daemon(100);
    let request = |sequence| Event::ShareRequested {
        session: SessionId(900),
        request: ShareRequest {
            vm: vm("vm-9"),
            incarnation: Incarnation(1),
            sequence,
            is_complete: true,
            accounts: vec![AccountAsk {
                account: AccountName::try_from("mill").expect("a name"),
                share: 0,
                demand_millis: 50_000,
                wanted: 1,
            }],
        },
    };
    let answers = |daemon: &mut Daemon| {
        let answers = daemon.effects.drain(..);
        answers
            .filter(|effect| matches!(effect, Effect::AnswerShares { .. }))
            .count()
    };
    daemon.event(request(1));
    assert_eq!(answers(&mut daemon), 1);
    daemon.event(request(1));
    assert_eq!(answers(&mut daemon), 0, "a repeated request");
    // The process was frozen for longer than its row lasts.
    let now = at(daemon.millis + 7_000);
    let effects = daemon.state.reduce(now, request(2));
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::AnswerShares { .. }))
    );
}
