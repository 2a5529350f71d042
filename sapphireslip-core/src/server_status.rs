//! The group requests that a backend server accepts and the status that it reports.

use crate::derives::{data, key};
use crate::{Position, Term, TermPosition};

/// The maximum number of term starts in a status; only those of the newest terms are reported.
pub const TERM_STARTS_MAX: usize = 8;

key! {
    /// The role of a backend server in its group.
    pub enum ServerRole {
        /// The server accepts writes, unless another server superseded it without its knowledge.
        Primary,
        /// The server follows a primary and serves reads.
        Replica,
    }
}

data! {
    /// A backend server's report of its own state.
    pub struct ServerStatus {
        /// The server's role.
        pub role: ServerRole,
        /// The highest term at which the server was fenced; it refuses requests of lower terms.
        pub fenced: Term,
        /// The last record in the server's log. The record is durable there, so it survives the
        /// loss of the primary, but it may not be applied yet.
        pub held: TermPosition,
        /// The last record that the server's reads see, in the log that the other fields describe.
        /// Reads go on seeing it until the server drops it to follow the primary of a later term,
        /// or restarts.
        pub applied: Position,
        /// The first record of each of the newest terms in the log, oldest first, at most
        /// [`TERM_STARTS_MAX`].
        pub term_starts: Vec<TermPosition>,
    }

    /// A request from a daemon to a backend server about its group.
    pub enum GroupRequest {
        /// Report the status; if `wait_for` is given, only once the server holds that record or the
        /// call times out.
        Status {
            /// The record to wait for, if any.
            wait_for: Option<TermPosition>,
        },
        /// Refuse requests of lower terms from now on. The server refuses the fence itself unless
        /// the term is above all terms that it was fenced at.
        Fence {
            /// The new term.
            term: Term,
        },
        /// Become primary. The server refuses unless it is fenced at exactly this term.
        Promote {
            /// The term to lead.
            term: Term,
        },
        /// Follow the primary of a term and discard the records that the primary never wrote. The
        /// server refuses if it is fenced at a higher term. Several daemons may send the request;
        /// a server that follows this primary already keeps the records that it has received.
        Follow {
            /// The primary's term.
            term: Term,
            /// The server to follow.
            primary: crate::ServerId,
        },
    }

    /// The reason why a group request failed.
    pub enum GroupFailure {
        /// The server refused the request; its status shows why.
        Refused(ServerStatus),
        /// The server did not answer within the call's timeout, or could not be connected to.
        NoAnswer,
    }
}
