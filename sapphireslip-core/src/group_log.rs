//! Determines whether a server's log contains a record, from the term starts in its status.

use crate::derives::key;
use crate::{ServerStatus, TERM_STARTS_MAX, Term, TermPosition};

key! {
    /// Whether a log contains a record.
    pub enum Containment {
        /// The log contains the record.
        Contained,
        /// The log ends before the record's position and may still come to contain the record.
        Beyond,
        /// The log has a different record at that position, or it ends before that position with a
        /// record of a later term. It cannot come to contain the record unless it is truncated.
        Diverged,
        /// The record is older than all term starts that the status carries, so that the answer is
        /// unknown.
        Unknown,
    }
}

/// Returns whether the log that a status describes contains a record.
///
/// ```
/// use sapphireslip_core::{Containment, Position, ServerRole, ServerStatus, Term, TermPosition};
/// use sapphireslip_core::log_contains;
/// let at = |term, position| TermPosition { term: Term(term), position: Position(position) };
/// let status = ServerStatus {
///     role: ServerRole::Replica,
///     fenced: Term(3),
///     held: at(3, 12),
///     applied: Position(12),
///     term_starts: vec![at(1, 1), at(3, 10)],
/// };
/// assert_eq!(log_contains(&status, at(1, 9)), Containment::Contained);
/// assert_eq!(log_contains(&status, at(2, 5)), Containment::Diverged);
/// assert_eq!(log_contains(&status, at(3, 13)), Containment::Beyond);
/// ```
#[must_use]
pub fn log_contains(status: &ServerStatus, record: TermPosition) -> Containment {
    if record.position > status.held.position {
        return if record.term < status.held.term {
            Containment::Diverged
        } else {
            Containment::Beyond
        };
    }
    match term_at(status, record) {
        Some(term) if term == record.term => Containment::Contained,
        Some(_) => Containment::Diverged,
        None => Containment::Unknown,
    }
}

/// Returns the term that wrote the log's record at `record.position`. If that position is before
/// all term starts that the status carries, returns term 0 if these are all term starts of the log,
/// or `None` if older ones may have been left out.
fn term_at(status: &ServerStatus, record: TermPosition) -> Option<Term> {
    let started = status
        .term_starts
        .iter()
        .rev()
        .find(|start| start.position <= record.position);
    match started {
        Some(start) => Some(start.term),
        None if status.term_starts.len() < TERM_STARTS_MAX => Some(Term(0)),
        None => None,
    }
}
