//! What callers were told, judged against what the last primary holds.

use std::collections::BTreeMap;

/// What a caller tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Writes that take effect together, one or two, by their numbers.
    Write {
        /// The first value.
        first: u64,
        /// The last value.
        last: u64,
    },
    /// A read that has to see the value of this number, or a later one.
    Read {
        /// The least number that it may return.
        at_least: u64,
    },
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was done; a read returned this, or nothing.
    Done(Option<String>),
    /// It has not run and will not.
    Refused,
    /// Nothing is promised.
    Unknown,
}

/// One attempt of a caller on its own item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The item, which nobody else writes.
    pub item: String,
    /// What was tried.
    pub operation: Operation,
    /// What came of it.
    pub outcome: Outcome,
}

/// What a run showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Attempts that were done, refused and unknown.
    pub done: usize,
    /// Attempts that were refused.
    pub refused: usize,
    /// Attempts of which nothing is known.
    pub unknown: usize,
    /// The promises that were broken.
    pub violations: Vec<String>,
}

/// Judges the attempts against the log of the last primary.
///
/// ```
/// use soak::{Attempt, Operation, Outcome, check_attempts};
/// let write = |outcome| Attempt {
///     item: "a".into(),
///     operation: Operation::Write { first: 1, last: 1 },
///     outcome,
/// };
/// let held = [("a".to_owned(), "a-1".to_owned())];
/// assert!(check_attempts(&[write(Outcome::Done(None))], &held).violations.is_empty());
/// assert_eq!(check_attempts(&[write(Outcome::Refused)], &held).violations.len(), 1);
/// assert_eq!(check_attempts(&[write(Outcome::Done(None))], &[]).violations.len(), 1);
/// ```
#[must_use]
pub fn check_attempts(attempts: &[Attempt], log: &[(String, String)]) -> Verdict {
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, value) in log {
        *held.entry(value).or_default() += 1;
    }
    let mut verdict = Verdict::default();
    for attempt in attempts {
        match attempt.outcome {
            Outcome::Done(_) => verdict.done += 1,
            Outcome::Refused => verdict.refused += 1,
            Outcome::Unknown => verdict.unknown += 1,
        }
        match attempt.operation {
            Operation::Write { first, last } => {
                check_write(attempt, (first, last), &held, &mut verdict)
            }
            Operation::Read { at_least } => check_read(attempt, at_least, &mut verdict),
        }
    }
    verdict
}

fn check_write(
    attempt: &Attempt,
    (first, last): (u64, u64),
    held: &BTreeMap<&str, usize>,
    verdict: &mut Verdict,
) {
    let value = |n: u64| format!("{}-{n}", attempt.item);
    let counts: Vec<usize> = (first..=last)
        .map(|n| held.get(value(n).as_str()).copied().unwrap_or_default())
        .collect();
    let name = value(first);
    let is_partial = counts.iter().any(|count| *count != counts[0]);
    if counts.iter().any(|count| *count > 1) {
        verdict
            .violations
            .push(format!("TWICE: `{name}` is held {counts:?} times"));
    } else if is_partial {
        verdict
            .violations
            .push(format!("a part of the transaction of `{name}` is held"));
    }
    match attempt.outcome {
        Outcome::Done(_) if counts.contains(&0) => {
            verdict
                .violations
                .push(format!("LOST: `{name}` was acknowledged"));
        }
        Outcome::Refused if counts.iter().any(|count| *count > 0) => {
            verdict
                .violations
                .push(format!("REFUSED: `{name}` is held, though it was refused"));
        }
        _ => {}
    }
}

fn check_read(attempt: &Attempt, at_least: u64, verdict: &mut Verdict) {
    let Outcome::Done(row) = &attempt.outcome else {
        return;
    };
    let item = &attempt.item;
    let Some(row) = row else {
        if at_least > 0 {
            verdict
                .violations
                .push(format!("STALE: `{item}` has no value, {at_least} is due"));
        }
        return;
    };
    let number = row
        .strip_prefix(item.as_str())
        .and_then(|rest| rest.strip_prefix('-'));
    match number.and_then(|number| number.parse::<u64>().ok()) {
        None => verdict
            .violations
            .push(format!("MIXED: a read of `{item}` returned `{row}`")),
        Some(number) if number < at_least => {
            verdict.violations.push(format!(
                "STALE: a read of `{item}` returned `{row}`, {at_least} is due"
            ));
        }
        Some(_) => {}
    }
}
