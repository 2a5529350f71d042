//! The order of waiting statements among accounts and kinds of request under load.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::{FairQueue, JobId, StatementClass, WaitingStatement};
use support::{Outcome, PAYMENT, POLL, READ, Source, account, at, serve, waiting};

/// The slots of the fake server, each of which does 1,000 ms of work per second.
const SLOTS: usize = 6;

/// Returns the sources of 12 accounts of uneven weight, which together ask for 0.8 of the capacity.
///
/// Each sends the three kinds in their usual mix. Account 0 asks for 0.2 of the whole.
fn usual_load() -> Vec<Source> {
    let total = 4_800;
    let mut sources = Vec::new();
    for number in 0..12 {
        let percent = match number {
            0 | 1 => 20,
            2..=5 => 9,
            _ => 4,
        };
        for (kind, part) in [(PAYMENT, 5), (POLL, 35), (READ, 60)] {
            sources.push(Source {
                account: account(number),
                weight: percent * 1_000,
                kind,
                load: total * percent * part / 10_000,
            });
        }
    }
    sources
}

/// Returns the share of its statements that each account had served.
fn shares(outcomes: &[Outcome]) -> Vec<f64> {
    let account = |of: &[Outcome]| {
        let asked: usize = of.iter().map(|outcome| outcome.asked).sum();
        let lost: usize = of.iter().map(Outcome::lost).sum();
        1.0 - lost as f64 / asked as f64
    };
    outcomes.chunks(3).map(account).collect()
}

/// Guards against an account that takes the capacity of all others by sending more.
#[rstest]
#[case::large(0)]
#[case::small(11)]
fn one_account_at_7_5_times_its_usual_load(#[case] greedy: usize) {
    let usual = usual_load();
    let mut raised = usual.clone();
    for source in &mut raised[greedy * 3..greedy * 3 + 3] {
        source.load = source.load * 15 / 2;
    }
    let before = shares(&serve(&usual, SLOTS, &[1])[0]);
    let after = shares(&serve(&raised, SLOTS, &[1])[0]);
    for number in (0..12).filter(|number| *number != greedy) {
        let lost = before[number] - after[number];
        assert!(lost <= 0.02, "account {number} lost {lost}: {after:?}");
    }
    if greedy == 0 {
        assert!(after[greedy] < 0.7, "the load fits: {after:?}");
    }
}

/// Guards against urgent statements that wait behind a poll of every other account.
#[rstest]
fn payments_wait_briefly_beside_polls_at_3_times_the_capacity() {
    let mut sources = Vec::new();
    for number in 0..40 {
        for (kind, load) in [(PAYMENT, 20), (POLL, 430)] {
            let weight = 10_000;
            let account = account(number);
            sources.push(Source {
                account,
                weight,
                kind,
                load,
            });
        }
    }
    let served = serve(&sources, SLOTS, &[1]).remove(0);
    for payments in served.iter().step_by(2) {
        assert!(payments.share() >= 0.95, "{payments:?}");
    }
}

/// Guards against polls that are never sent while urgent statements alone exceed the capacity. They
/// age after a quarter of their target latency and must be sent before 45% of it.
#[rstest]
fn polls_wait_for_a_bounded_time_beside_payments_at_1_5_times_the_capacity() {
    let mut sources = Vec::new();
    for number in 0..20 {
        let (kind, load) = match number % 2 {
            0 => (PAYMENT, 900),
            _ => (POLL, 120),
        };
        let weight = 10_000;
        let account = account(number);
        sources.push(Source {
            account,
            weight,
            kind,
            load,
        });
    }
    let served = serve(&sources, SLOTS, &[1]).remove(0);
    for polls in served.iter().skip(1).step_by(2) {
        assert!(polls.share() >= 0.98, "{polls:?}");
        assert!(polls.wait_max <= POLL.target * 45 / 100, "{polls:?}");
    }
}

/// Without accounts the order is that of priorities and arrivals, whatever a statement needs.
#[rstest]
fn statements_without_accounts_are_sent_by_priority_and_arrival() {
    let mut queue = FairQueue::default();
    let any = StatementClass::Any {
        max_staleness: Duration::ZERO,
        is_retried: false,
    };
    for (id, priority, class) in [
        (5, 2, any),
        (3, 1, StatementClass::Leader),
        (4, 1, any),
        (1, 2, StatementClass::Leader),
        (2, 1, any),
        (6, 0, any),
    ] {
        queue.push(at(0), unranked(id, priority, class));
    }
    assert_eq!(drain(&mut queue), [6, 2, 3, 4, 1, 5]);
}

/// Returns a statement of no account.
fn unranked(id: u64, priority: u8, class: StatementClass) -> WaitingStatement {
    WaitingStatement {
        id: JobId(id),
        account: None,
        weight: 1,
        class,
        priority,
        deadline: None,
        ages_at: None,
        send_from: at(0),
        patience_end: at(400),
        work: Duration::from_millis(8),
    }
}

/// Sends all statements and returns them.
fn drain(queue: &mut FairQueue) -> Vec<u64> {
    let mut sent = Vec::new();
    while let Some(id) = queue.next(at(0)) {
        queue.serve(id);
        sent.push(id.0);
    }
    sent
}

/// Guards against statements that wait for one server and block those for another.
#[rstest]
fn held_statements_let_others_pass_until_the_run_ends() {
    let mut queue = FairQueue::default();
    let any = StatementClass::Any {
        max_staleness: Duration::ZERO,
        is_retried: false,
    };
    queue.push(at(0), unranked(1, 0, StatementClass::Leader));
    queue.push(at(0), unranked(2, 1, any));
    queue.push(at(0), unranked(3, 0, StatementClass::Leader));
    queue.hold_class(StatementClass::Leader);
    assert_eq!(drain(&mut queue), [2]);
    queue.end_run();
    queue.hold(StatementClass::Leader, &None);
    assert_eq!(drain(&mut queue), [0; 0]);
    queue.end_run();
    assert_eq!(drain(&mut queue), [1, 3]);
}

/// Guards against work per statement that grows with the queue. Searches in trees are logarithmic;
/// what is counted is everything that is looked at one by one.
#[rstest]
fn cost_of_a_statement_at_100_000_waiting() {
    let cost = |waiting_count: u64| {
        let mut queue = FairQueue::default();
        let source = |id: u64| Source {
            account: account(usize::try_from(id % 83).expect("a small number")),
            weight: 1_000 + id % 83 * 500,
            kind: [PAYMENT, READ, POLL][usize::try_from(id % 3).expect("a small number")],
            load: 0,
        };
        for id in 0..waiting_count {
            queue.push(at(0), waiting(id, &source(id), 0));
        }
        let before = queue.scanned();
        for id in waiting_count..waiting_count + 500 {
            let source = source(id);
            queue.push(at(0), waiting(id, &source, 0));
            let account = Some(source.account);
            queue.ahead_of(&account, source.weight, source.kind.priority, true);
            queue.remove(JobId(id - 400));
            let next = queue.next(at(0)).expect("statements wait");
            queue.serve(next);
        }
        queue.scanned() - before
    };
    let (few, many) = (cost(1_000), cost(100_000));
    assert!(many <= few * 3 / 2, "{few} at 1,000 and {many} at 100,000");
}

/// Guards against a full queue in which the statements of one account keep out those of all others.
#[rstest]
fn statement_to_refuse_is_of_the_account_that_is_most_over_its_share() {
    let source = |number| Source {
        account: account(number),
        weight: 10_000,
        kind: READ,
        load: 0,
    };
    let mut queue = FairQueue::default();
    for id in 0..10 {
        queue.push(at(id), waiting(id, &source(0), id));
    }
    queue.push(at(10), waiting(10, &source(1), 10));
    assert_eq!(queue.most_over_share(), Some(JobId(9)));
}
