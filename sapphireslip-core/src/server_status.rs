//! What a backend server reports of itself.

use crate::derives::{data, key};
use crate::{Position, Term, TermPosition};

/// The most term starts that a status carries, the newest ones.
pub const TERM_STARTS_MAX: usize = 8;

key! {
    /// The part that a backend server plays in its group.
    pub enum ServerRole {
        /// Takes writes, unless it has been superseded without knowing.
        Primary,
        /// Follows a primary and serves reads.
        Replica,
    }
}

data! {
    /// A backend server's report of its place in the group.
    pub struct ServerStatus {
        /// The part it plays.
        pub role: ServerRole,
        /// The highest term it was fenced at: it refuses anything of a lower one.
        pub fenced: Term,
        /// The last record in its log (`last_term` and `position`): held, so that it outlives the
        /// primary, but perhaps not applied.
        pub held: TermPosition,
        /// The last record that its reads see.
        pub applied: Position,
        /// The first record of each of the last terms in its log, oldest first, at most
        /// [`TERM_STARTS_MAX`].
        pub term_starts: Vec<TermPosition>,
    }

    /// What a daemon may ask of a backend server about its group.
    pub enum GroupRequest {
        /// Report the status; if `wait_for` is given, only once that record is held or the call's
        /// time is over.
        Status {
            /// The record to wait for.
            wait_for: Option<TermPosition>,
        },
        /// Refuse anything of a lower term from now on; refused if the term is not above all seen.
        Fence {
            /// The new term.
            term: Term,
        },
        /// Become primary; refused unless fenced at just this term.
        Promote {
            /// The term to lead.
            term: Term,
        },
        /// Follow the primary of a term, dropping what it never wrote; refused if fenced higher.
        Follow {
            /// The primary's term.
            term: Term,
            /// The primary.
            primary: crate::ServerId,
        },
    }

    /// Why a group request had no good answer.
    pub enum GroupFailure {
        /// The server answered that it will not; its status says why.
        Refused(ServerStatus),
        /// No answer within the time of the call, or no connection.
        NoAnswer,
    }
}
