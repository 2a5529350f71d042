//! Checks what clients were told against the log of the last primary.

use std::collections::BTreeMap;

/// An operation of a client on its item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// One write, or two writes of a transaction that take effect together.
    Write {
        /// The number of the first value.
        first: u64,
        /// The number of the last value.
        last: u64,
    },
    /// A read that must see the value with this number or a later one.
    Read {
        /// The least number that the read may return; 0 if it may find no value.
        at_least: u64,
    },
}

/// The outcome of an operation, as the client was told it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The operation was done; for a read, the value that it returned, if there was one.
    Done(Option<String>),
    /// The operation has not run and never will.
    Refused,
    /// The operation may have run, or may still run later.
    Unknown,
}

/// An operation of a client with its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The name of the item, which no other client writes.
    pub item: String,
    /// The operation.
    pub operation: Operation,
    /// The outcome of the operation.
    pub outcome: Outcome,
}

/// The result of a soak run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// The number of operations that were done.
    pub done: usize,
    /// The number of operations that were refused.
    pub refused: usize,
    /// The number of operations with an unknown outcome.
    pub unknown: usize,
    /// A description of each broken guarantee.
    pub violations: Vec<String>,
}

/// Checks operations against the log of the last primary, given as pairs of item and value.
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

/// Checks that a write is stored exactly once if it was done, never if it was refused, and that a
/// transaction is stored as a whole.
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
        verdict.violations.push(format!(
            "TWICE: the values from `{name}` on are stored {counts:?} times"
        ));
    } else if is_partial {
        verdict.violations.push(format!(
            "PARTIAL: only a part of the transaction of `{name}` is stored"
        ));
    }
    match attempt.outcome {
        Outcome::Done(_) if counts.contains(&0) => {
            verdict.violations.push(format!(
                "LOST: `{name}` was acknowledged, but is not stored"
            ));
        }
        Outcome::Refused if counts.iter().any(|count| *count > 0) => {
            verdict.violations.push(format!(
                "REFUSED: `{name}` is stored, though it was refused"
            ));
        }
        _ => {}
    }
}

/// Checks that a read returned a value of its own item that is not too old.
fn check_read(attempt: &Attempt, at_least: u64, verdict: &mut Verdict) {
    let Outcome::Done(row) = &attempt.outcome else {
        return;
    };
    let item = &attempt.item;
    let Some(row) = row else {
        if at_least > 0 {
            verdict.violations.push(format!(
                "STALE: a read of `{item}` found no value, but must see {at_least}"
            ));
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
                "STALE: a read of `{item}` returned `{row}`, but must see {at_least}"
            ));
        }
        Some(_) => {}
    }
}
