//! The outstanding requests of a home to the servers of a group.

use std::time::Duration;

use crate::derives::{data, key};
use crate::{Instant, ServerId, Term, TermPosition};

/// How long a server has to answer a plain poll.
pub const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a server may hold a long poll.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a server has to answer a fence.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a server has to answer a promotion.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a server has to answer an order to follow.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_secs(1);

/// How long past its timeout the reply to a call is still awaited.
pub const REPLY_GRACE: Duration = Duration::from_secs(5);

key! {
    /// What a call asks for.
    pub enum CallKind {
        /// The status at once.
        Poll,
        /// The status as soon as a record is held.
        Watch(TermPosition),
        /// To refuse anything below a term.
        Fence(Term),
        /// To lead a term.
        Promote(Term),
        /// To follow the primary of a term.
        Follow(Term),
    }
}

data! {
    /// One outstanding call.
    pub struct GroupCall {
        /// The server.
        pub server: ServerId,
        /// When it was sent.
        pub asked: Instant,
        /// What it asks for.
        pub kind: CallKind,
    }
}

impl CallKind {
    /// Returns how long the server has to answer.
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
