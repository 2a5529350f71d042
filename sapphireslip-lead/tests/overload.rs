//! Admission by deadline under loads above the capacity.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::{
    Account, CompletionRate, DeadlineAdmission, ErrorCode, Event, KeyDigest, QueueLoad, RateLimit,
    Reply, ServerRequest, decide_admission,
};
use support::{
    BALANCES, Daemon, ORDERS, Outcome, PAYMENT, POLL, READ, Source, account, at, catalog, serve,
};

/// The slots of the fake server, each of which does 1,000 ms of work per second.
const SLOTS: usize = 6;

/// Returns the sources of 20 equal accounts, which together ask for the capacity.
fn capacity_load() -> Vec<Source> {
    let mut sources = Vec::new();
    for number in 0..20 {
        for (kind, load) in [(PAYMENT, 15), (POLL, 105), (READ, 180)] {
            let account = account(number);
            sources.push(Source {
                account,
                weight: 10_000,
                kind,
                load,
            });
        }
    }
    sources
}

/// Guards against goodput that falls as the load grows: work that is done too late, or capacity that
/// is unused because too much is refused.
#[rstest]
fn goodput_at_1_2_and_3_times_the_capacity() {
    let sources = capacity_load();
    let outcomes = serve(&sources, SLOTS, &[1, 2, 3]);
    let answers = |of: &Vec<Outcome>| of.iter().map(|o| o.in_time).sum::<usize>();
    let answers: Vec<_> = outcomes.iter().map(answers).collect();
    let peak = answers.iter().max().expect("there are phases");
    assert!(answers[2] * 10 >= peak * 9, "{answers:?}");
    let work = |of: &Vec<Outcome>| {
        let works = of.iter().zip(&sources);
        works.map(|(o, s)| o.in_time as u64 * s.kind.work).sum()
    };
    let work: Vec<u64> = outcomes.iter().map(work).collect();
    let peak = work.iter().max().expect("there are phases");
    assert!(work[2] * 10 >= peak * 9, "{work:?}");
}

/// Guards against a queue in which everything is late.
#[rstest]
fn late_answers_at_3_times_the_capacity() {
    let outcome = serve(&capacity_load(), SLOTS, &[1, 3]).remove(1);
    let late: usize = outcome.iter().map(|o| o.late).sum();
    let in_time: usize = outcome.iter().map(|o| o.in_time).sum();
    assert!(late * 100 <= in_time, "{late} late, {in_time} in time");
}

/// Guards against urgent statements that are refused because aged polls count as ahead of them.
#[rstest]
fn payments_at_3_times_the_capacity() {
    let outcome = serve(&capacity_load(), SLOTS, &[1, 3]).remove(1);
    let payments: Vec<_> = outcome.iter().step_by(3).collect();
    let asked: usize = payments.iter().map(|o| o.asked).sum();
    let in_time: usize = payments.iter().map(|o| o.in_time).sum();
    assert!(in_time * 100 >= asked * 95, "{in_time} of {asked}");
}

/// Guards against statements that wait in vain: most of those that can't be served must be refused
/// when they come.
#[rstest]
fn statements_that_leave_the_queue_unserved_at_3_times_the_capacity() {
    let outcome = serve(&capacity_load(), SLOTS, &[1, 3]).remove(1);
    let refused: usize = outcome.iter().map(|o| o.refused).sum();
    let expired: usize = outcome.iter().map(|o| o.expired).sum();
    let share = (refused + expired) / 4;
    assert!(expired <= share, "{expired} expired, {refused} refused");
}

/// Guards against refused clients that all come back at the same time.
#[rstest]
fn retry_times_at_3_times_the_capacity() {
    let outcome = serve(&capacity_load(), SLOTS, &[1, 3]).remove(1);
    let mut retries: Vec<_> = outcome.into_iter().flat_map(|o| o.retries).collect();
    retries.sort_unstable();
    let last = retries.last().expect("some are refused");
    assert!(*last <= Duration::from_secs(5), "{last:?}");
    let quarter = retries.len() / 4;
    let (low, high) = (retries[quarter], retries[3 * quarter]);
    assert!(high >= low * 3 / 2, "between {low:?} and {high:?}");
}

/// Guards against refusals by a daemon that has measured nothing, or when only little waits.
#[rstest]
#[case::of_unknown_rate(1_000, None)]
#[case::of_a_short_queue(4, Some(1_000))]
fn backlog(#[case] waiting: usize, #[case] rate: Option<u64>) {
    let load = QueueLoad {
        ahead: Duration::from_secs(100),
        ahead_of_aged: Duration::from_secs(100),
        ages_after: Duration::ZERO,
        waiting,
        rate,
        returning: Duration::ZERO,
    };
    let millis = Duration::from_millis;
    let decision = decide_admission(&load, millis(20), millis(800), millis(100), 0);
    assert_eq!(decision, DeadlineAdmission::Admit);
}

/// Guards against a pause without answers, such as a primary that is being replaced, that looks like
/// a low rate.
#[rstest]
fn pause_of_1_s_does_not_lower_the_rate() {
    let mut rate = CompletionRate::default();
    rate.note_backlog(at(0), true);
    for n in 1..=100 {
        rate.note_completed(at(n * 10), Duration::from_millis(20));
    }
    rate.note_backlog(at(1_000), false);
    let before = rate.per_second(at(1_000));
    rate.note_backlog(at(2_000), true);
    assert_eq!(rate.per_second(at(2_000)), before);
}

/// The key of an account of [`daemon_with_accounts`].
const KEY: KeyDigest = KeyDigest([1; 16]);

/// The key of the other account.
const OTHER_KEY: KeyDigest = KeyDigest([2; 16]);

/// Returns a ready daemon whose configuration names two accounts and whose servers answer when told.
fn daemon_with_accounts() -> Daemon {
    let mut daemon = Daemon::ready();
    let mut catalog = catalog(2);
    // Far more than any of the loads, so that no statement waits for a token.
    let limit = RateLimit {
        per_second: 20_000_000,
        burst: 20_000_000,
    };
    for (number, key) in [KEY, OTHER_KEY].into_iter().enumerate() {
        let account = Account {
            name: account(number),
            limit: Some(limit),
        };
        catalog.accounts.add(account, [key]);
    }
    daemon.event(Event::Catalog(catalog));
    for key in [KEY, OTHER_KEY] {
        daemon.open_with_key(BALANCES, key);
    }
    daemon.advance(2_000);
    daemon.withholds_answers = true;
    daemon
}

/// Sends reads for a second, each on a session of its own: 3 for each that the servers answer.
/// Returns the identifiers of those that were refused for overload.
fn overload(daemon: &mut Daemon) -> BTreeSet<String> {
    let mut sessions = BTreeMap::new();
    for step in 0..100 {
        for n in 0..9 {
            let session = daemon.open_with_key(BALANCES, KEY);
            let id = format!("{step}-{n}");
            sessions.insert(session, id.clone());
            daemon.submit(session, &id, "READ x");
        }
        daemon.answer_oldest(3);
        daemon.advance(10);
    }
    let is_overload = |reply: &Reply| {
        let failure = reply.failure();
        failure.is_some_and(|f| f.code == ErrorCode::Busy && f.text.contains("overloaded"))
    };
    let refused = daemon
        .answers
        .iter()
        .filter(|(_, reply)| is_overload(reply));
    refused
        .filter_map(|(session, _)| sessions.get(session).cloned())
        .collect()
}

/// Guards against statements that run although their clients are told that they have not.
#[rstest]
fn refused_statements_at_3_times_the_capacity_never_run() {
    let mut daemon = daemon_with_accounts();
    let refused = overload(&mut daemon);
    assert!(
        refused.len() >= 300,
        "only {} of 900 refused",
        refused.len()
    );
    let sent = daemon.sent.iter().filter_map(|(_, request)| match request {
        ServerRequest::Forward { id, .. } => Some(id.to_string()),
        _ => None,
    });
    let ran: Vec<_> = sent.filter(|id| refused.contains(id)).collect();
    assert_eq!(ran, [""; 0]);
}

/// Guards against capacity that is unused because too much is refused: the servers get as many
/// statements as they answer.
#[rstest]
fn servers_are_kept_busy_at_3_times_the_capacity() {
    let mut daemon = daemon_with_accounts();
    overload(&mut daemon);
    let answered = daemon.answers.iter().filter(|(_, r)| r.failure().is_none());
    let answered = answered.count();
    assert!(answered >= 270, "{answered} of at most 300");
}

/// Guards against transactions that have done work and are refused their next statement.
#[rstest]
fn open_transaction_is_admitted_at_3_times_the_capacity() {
    let mut daemon = daemon_with_accounts();
    let session = daemon.open_with_key(ORDERS, KEY);
    daemon.withholds_answers = false;
    daemon.run(session, "begin", "BEGIN");
    daemon.run(session, "first", "WRITE x 1");
    daemon.withholds_answers = true;
    overload(&mut daemon);
    daemon.sent.clear();
    daemon.submit(session, "second", "WRITE y 1");
    let sent: Vec<_> = daemon.statements();
    let texts: Vec<_> = sent.iter().map(|(_, text)| text.as_str()).collect();
    assert_eq!(texts, ["WRITE y 1"]);
}

/// Deployments without accounts refuse for the length of the queue and the time in it only.
#[rstest]
fn nothing_is_refused_for_overload_without_accounts() {
    let mut daemon = Daemon::ready();
    daemon.withholds_answers = true;
    assert_eq!(overload(&mut daemon), BTreeSet::new());
}

/// Guards against an account that fills the queue and keeps out the statements of all others.
#[rstest]
fn burst_of_2_100_statements_of_one_account() {
    let mut daemon = daemon_with_accounts();
    for n in 0..2_100 {
        let session = daemon.open_with_key(BALANCES, KEY);
        daemon.submit(session, &n.to_string(), "READ x");
    }
    daemon.answers.clear();
    let session = daemon.open_with_key(BALANCES, OTHER_KEY);
    daemon.submit(session, "other", "READ x");
    let refused: Vec<_> = daemon.answers.iter().map(|(of, _)| *of).collect();
    assert_eq!(refused.len(), 1, "one makes room");
    assert_ne!(refused[0], session);
    let text = daemon.answers[0].1.failure().map(|f| f.text.to_string());
    assert!(text.is_some_and(|text| text.starts_with("the account is over its share")));
}
