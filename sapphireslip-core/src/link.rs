//! One connection to a backend server and what it is used for.

use crate::derives::data;
use crate::{ConnectionId, Instant, RequestId, ServerId, SessionKey, WorkId};

data! {
    /// The numbers that are unique within one run of a daemon.
    #[derive(Default)]
    pub(crate) struct HomeIds {
        connections: u64,
        works: u64,
    }

    /// A connection.
    pub(crate) struct Link {
        pub(crate) server: ServerId,
        pub(crate) state: LinkState,
    }

    /// What a connection is used for; only one thing at a time.
    pub(crate) enum LinkState {
        /// Is being opened.
        Opening,
        /// Lies in the pool.
        Idle,
        /// Has work.
        Working(Work),
        /// Deletes old request keys.
        Purging(WorkId),
        /// Belongs to the open transaction of a session, which is between two statements.
        Pinned(SessionKey),
    }

    /// Work in flight.
    pub(crate) struct Work {
        pub(crate) id: WorkId,
        pub(crate) request: RequestId,
        pub(crate) sent: Instant,
        /// When the last part of the answer came, or when it was sent.
        pub(crate) heard: Instant,
        /// The answer to a step of the home's own.
        pub(crate) payload: Vec<u8>,
        pub(crate) is_own_step: bool,
    }
}

impl HomeIds {
    pub(crate) const fn connection(&mut self) -> ConnectionId {
        self.connections += 1;
        ConnectionId(self.connections)
    }

    pub(crate) const fn work(&mut self) -> WorkId {
        self.works += 1;
        WorkId(self.works)
    }
}
