//! Conclusions that a home draws from the statuses of its servers: primary, held records,
//! visibility and staleness.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{
    GroupFailure, Holding, RETRY_NO_MAJORITY, RETRY_QUIET, ServerRole, TermPosition, Visibility,
    choose_primary,
};
use support::single_home::{SingleHome, at, id, status};

const PRIMARY: ServerRole = ServerRole::Primary;
const REPLICA: ServerRole = ServerRole::Replica;

/// Returns a home whose group has term 3 open on a log with terms 1 and 2; `sc` still holds a
/// record of a discarded branch.
fn home_with_open_term() -> SingleHome {
    let starts = [at(1, 1), at(2, 5), at(3, 8)];
    let mut home = SingleHome::new();
    home.answer("sa", status(PRIMARY, 3, at(3, 10), &starts));
    home.answer("sb", status(REPLICA, 3, at(3, 9), &starts));
    home.answer("sc", status(REPLICA, 2, at(2, 9), &starts[..2]));
    home
}

#[rstest]
#[case::in_term(at(3, 9), Holding::Majority)]
#[case::not_yet(at(3, 10), Holding::Pending)]
#[case::earlier_term(at(2, 7), Holding::Majority)]
#[case::lost_branch(at(2, 8), Holding::Superseded)]
#[case::other_term_at_its_place(at(2, 4), Holding::Superseded)]
fn holding_record(#[case] record: TermPosition, #[case] expected: Holding) {
    assert_eq!(home_with_open_term().group.holding(record), expected);
}

/// A replica that follows the primary of term 4, but does not hold that term's first record yet,
/// copies a record of term 2. The record must not count as held: the currently unreachable primary
/// of term 3 may still win and discard it.
#[test]
fn holding_copied_after_later_fence() {
    let mut home = SingleHome::new();
    home.answer("sa", status(PRIMARY, 2, at(2, 6), &[at(2, 5)]));
    home.answer("sc", status(REPLICA, 4, at(2, 6), &[at(2, 5)]));
    assert_eq!(home.group.holding(at(2, 6)), Holding::Superseded);
}

#[rstest]
#[case::applied("sb", at(3, 9), Visibility::Visible)]
#[case::not_applied("sb", at(3, 10), Visibility::Behind)]
#[case::earlier_term("sb", at(2, 7), Visibility::Visible)]
#[case::past_fork("sc", at(2, 9), Visibility::LostBranch)]
#[case::before_fork("sc", at(2, 7), Visibility::Visible)]
#[case::later_term("sc", at(3, 8), Visibility::Behind)]
fn visibility_of_record(
    #[case] server: &str,
    #[case] record: TermPosition,
    #[case] expected: Visibility,
) {
    assert_eq!(
        home_with_open_term().group.visibility(&id(server), record),
        expected
    );
}

#[test]
fn primary_needs_majority_of_start() {
    let mut home = SingleHome::new();
    home.answer("sa", status(PRIMARY, 3, at(3, 8), &[at(3, 8)]));
    home.answer("sc", status(REPLICA, 3, at(2, 7), &[at(2, 5)]));
    assert_eq!(home.group.primary(), None);
    home.answer("sb", status(REPLICA, 3, at(3, 8), &[at(3, 8)]));
    let primary = home.group.primary().expect("an open primary");
    assert_eq!(primary.server, id("sa"));
}

#[test]
fn primary_fenced_above() {
    let mut home = home_with_open_term();
    home.now += Duration::from_secs(2);
    home.tick();
    home.answer("sc", status(REPLICA, 4, at(2, 9), &[at(2, 5)]));
    assert_eq!(home.group.primary(), None);
}

/// Once all three servers have answered, a record held by fewer than a majority of them was not
/// acknowledged.
#[test]
fn confirmed_since_probe() {
    let mut home = home_with_open_term();
    home.now += Duration::from_millis(500);
    let since = home.instant();
    home.probe();
    let starts = [at(1, 1), at(2, 5), at(3, 8)];
    home.answer("sa", status(PRIMARY, 3, at(3, 12), &starts));
    assert_eq!(home.group.confirmed_since(since), None);
    home.answer("sb", status(REPLICA, 3, at(3, 11), &starts));
    assert_eq!(home.group.confirmed_since(since), Some(at(3, 12)));
    home.answer("sc", status(REPLICA, 3, at(3, 9), &starts));
    assert_eq!(home.group.confirmed_since(since), Some(at(3, 11)));
}

/// The answer to a poll sent before the probe does not count for the probe.
#[test]
fn confirmed_since_earlier_poll() {
    let mut home = SingleHome::new();
    home.now += Duration::from_millis(10);
    let since = home.instant();
    home.probe();
    for server in ["sa", "sb", "sc"] {
        home.answer(server, status(REPLICA, 3, at(3, 8), &[at(3, 8)]));
    }
    assert_eq!(home.group.confirmed_since(since), None);
    for server in ["sa", "sb", "sc"] {
        home.answer(server, status(REPLICA, 3, at(3, 9), &[at(3, 8)]));
    }
    assert_eq!(home.group.confirmed_since(since), Some(at(3, 9)));
}

#[test]
fn retry_after_no_majority() {
    let mut home = home_with_open_term();
    assert_eq!(home.group.retry_after(), RETRY_QUIET);
    home.now += Duration::from_secs(4);
    home.tick();
    assert!(!home.group.has_majority(home.instant()));
    assert_eq!(home.group.retry_after(), RETRY_NO_MAJORITY);
}

#[test]
fn update_keeps_statuses() {
    let mut home = home_with_open_term();
    let mut spec = support::world::spec();
    spec.servers.pop();
    home.with(|group, cx| group.update(cx, spec));
    assert!(home.group.primary().is_some());
    assert_eq!(home.group.status(&id("sc")), None);
}

/// A healthy group polls each server about once per second.
#[test]
fn polling_quiet() {
    let mut home = home_with_open_term();
    let starts = [at(1, 1), at(2, 5), at(3, 8)];
    for server in ["sa", "sb", "sc"] {
        let role = if server == "sa" { PRIMARY } else { REPLICA };
        let answer = || status(role, 3, at(3, 10), &starts);
        if home.polls.contains_key(&id(server)) {
            home.answer(server, answer());
        }
    }
    home.sent.clear();
    for _ in 0..1000 {
        home.now += Duration::from_millis(10);
        home.tick();
        for server in ["sa", "sb", "sc"] {
            let role = if server == "sa" { PRIMARY } else { REPLICA };
            if home.polls.contains_key(&id(server)) {
                home.answer(server, status(role, 3, at(3, 10), &starts));
            }
        }
    }
    let sent = home.sent.len();
    assert!(
        (27..=36).contains(&sent),
        "{sent} requests in 10 s to 3 servers"
    );
}

#[test]
fn primary_despite_silent_replica() {
    let mut home = home_with_open_term();
    home.now += Duration::from_secs(1);
    home.tick();
    home.reply("sc", Err(GroupFailure::NoAnswer));
    assert!(home.group.primary().is_some());
}

/// A primary that only this home can reach does not reduce the staleness of the data.
#[test]
fn staleness_unconfirmed() {
    let starts = [at(1, 1), at(2, 5), at(3, 8)];
    let mut home = home_with_open_term();
    home.now += Duration::from_secs(2);
    home.tick();
    home.answer("sa", status(PRIMARY, 3, at(3, 9), &starts));
    assert_eq!(home.group.staleness(&id("sb"), home.instant()), None);
    home.answer("sb", status(REPLICA, 3, at(3, 9), &starts));
    let age = home.group.staleness(&id("sb"), home.instant());
    assert_eq!(age, Some(Duration::ZERO));
    home.now += Duration::from_secs(2);
    home.tick();
    home.answer("sa", status(PRIMARY, 3, at(3, 9), &starts));
    let age = home.group.staleness(&id("sb"), home.instant());
    assert_eq!(age, Some(Duration::from_secs(2)));
}

/// A home that has just started does not treat a server that is slow to answer as down.
#[test]
fn promotion_before_survey() {
    let mut home = SingleHome::new();
    home.answer("sb", status(REPLICA, 3, at(3, 8), &[at(3, 8)]));
    home.answer("sc", status(REPLICA, 3, at(3, 8), &[at(3, 8)]));
    for _ in 0..20 {
        home.now += Duration::from_millis(100);
        home.tick();
        for server in ["sb", "sc"] {
            if home.polls.contains_key(&id(server)) {
                home.answer(server, status(REPLICA, 3, at(3, 8), &[at(3, 8)]));
            }
        }
    }
    assert!(!home.has_fenced());
    home.reply("sa", Err(GroupFailure::NoAnswer));
    assert!(home.has_fenced());
}

#[rstest]
#[case::furthest([at(3, 4), at(2, 9), at(3, 5)], &[], "sc")]
#[case::equal([at(3, 5), at(3, 5), at(3, 5)], &[], "sa")]
#[case::leaving_equal([at(3, 5), at(3, 5), at(3, 4)], &["sa"], "sb")]
#[case::leaving_furthest([at(3, 5), at(3, 4), at(3, 3)], &["sa"], "sb")]
#[case::avoided_if_no_other_covers([at(3, 5), at(3, 3), at(3, 4)], &["sa", "sc"], "sa")]
fn choose_primary_among(
    #[case] held: [TermPosition; 3],
    #[case] avoided: &[&str],
    #[case] expected: &str,
) {
    let fenced = ["sa", "sb", "sc"]
        .iter()
        .zip(held)
        .map(|(name, held)| (id(name), status(REPLICA, 4, held, &[])))
        .collect();
    let avoided: Vec<_> = avoided.iter().map(|name| id(name)).collect();
    assert_eq!(choose_primary(&fenced, 2, &avoided), Some(id(expected)));
}
