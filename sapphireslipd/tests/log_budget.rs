//! Tests of the log budget: which lines are written when there are too many.

use std::time::{Duration, Instant};

use log::{Level, Metadata};
use rstest::rstest;
use sapphireslipd::{LINES_A_SECOND, LogBudget, STATEMENT_LINES_A_SECOND, STATEMENT_TARGET};

const DECISION_TARGET: &str = "sapphireslipd::decision";

/// Returns the metadata of a line.
fn line(target: &'static str, level: Level) -> Metadata<'static> {
    Metadata::builder().target(target).level(level).build()
}

/// Offers lines to the budget until it drops one, and returns how many it admitted.
fn written(budget: &mut LogBudget, line: &Metadata<'_>) -> u32 {
    (0..10_000)
        .take_while(|_| budget.admits(line, true))
        .count() as u32
}

/// A burst of statements while the daemon is cut off must not use up the lines for its decisions
/// and for failed statements.
#[rstest]
#[case::a_decision(DECISION_TARGET, Level::Info)]
#[case::a_failed_statement(STATEMENT_TARGET, Level::Warn)]
fn budget_reserves_lines_for_decisions_and_failures(
    #[case] target: &'static str,
    #[case] level: Level,
) {
    let mut budget = LogBudget::default();
    let statements = written(&mut budget, &line(STATEMENT_TARGET, Level::Info));
    assert_eq!(statements, STATEMENT_LINES_A_SECOND);
    let others = written(&mut budget, &line(target, level));
    assert_eq!(statements + others, LINES_A_SECOND);
}

#[test]
fn budget_counts_what_it_leaves_out() {
    let mut budget = LogBudget::default();
    let start = Instant::now();
    assert_eq!(budget.begin_second(start), 0);
    let statement = line(STATEMENT_TARGET, Level::Info);
    written(&mut budget, &statement);
    assert!(!budget.admits(&statement, true));
    assert_eq!(budget.begin_second(start + Duration::from_millis(999)), 0);
    assert_eq!(budget.begin_second(start + Duration::from_secs(1)), 2);
    assert!(budget.admits(&statement, true));
    assert!(!budget.admits(&statement, false));
}
