//! The requests that a home has sent to the servers of a group, and their timeouts.

use std::time::Duration;

use crate::derives::{data, key};
use crate::{Instant, ServerId, Term, TermPosition};

/// The time within which a server must answer a plain poll.
pub const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// The time within which a server must answer a long poll; it may delay the answer for most of it.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The time within which a server must answer a fence request.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The time within which a server must answer a promotion request.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time within which a server must answer a request to follow another one.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after its timeout a call is kept, so that a late reply can still be used.
pub const REPLY_GRACE: Duration = Duration::from_secs(5);

key! {
    /// The request that a call carries.
    pub enum CallKind {
        /// Report the status immediately.
        Poll,
        /// Report the status as soon as the server holds this record.
        Watch(TermPosition),
        /// Refuse all requests of terms below this one.
        Fence(Term),
        /// Become primary of this term.
        Promote(Term),
        /// Follow the primary of this term.
        Follow(Term),
    }
}

data! {
    /// A request to a server that has not been answered yet.
    pub struct GroupCall {
        /// The server that the request was sent to.
        pub server: ServerId,
        /// The time at which the request was sent.
        pub sent: Instant,
        /// The request.
        pub kind: CallKind,
    }
}

impl CallKind {
    /// Returns the time within which the server must answer.
    ///
    /// ```
    /// use sapphireslip_core::{CallKind, STATUS_TIMEOUT};
    /// assert_eq!(CallKind::Poll.timeout(), STATUS_TIMEOUT);
    /// ```
    #[must_use]
    pub const fn timeout(self) -> Duration {
        match self {
            Self::Poll => STATUS_TIMEOUT,
            Self::Watch(_) => WATCH_TIMEOUT,
            Self::Fence(_) => FENCE_TIMEOUT,
            Self::Promote(_) => PROMOTE_TIMEOUT,
            Self::Follow(_) => FOLLOW_TIMEOUT,
        }
    }
}
