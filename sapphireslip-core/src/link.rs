//! A home's connection to a backend server and what it is used for.

use crate::derives::data;
use crate::{ConnectionId, Instant, RequestId, ServerId, SessionKey, WorkId};

data! {
    /// The last identifiers that were assigned; each is unique within one run of a daemon.
    #[derive(Default)]
    pub(crate) struct HomeIds {
        /// The number of the last connection.
        connections: u64,
        /// The number of the last piece of work.
        works: u64,
    }

    /// A connection to a backend server.
    pub(crate) struct Link {
        /// The server that the connection leads to.
        pub(crate) server: ServerId,
        /// What the connection is currently used for.
        pub(crate) state: LinkState,
    }

    /// The use of a connection; it has only one at a time.
    pub(crate) enum LinkState {
        /// The connection is being opened.
        Opening,
        /// The connection is idle in the pool.
        Idle,
        /// A statement is in progress on the connection.
        Working(Work),
        /// The connection is used to delete old request keys.
        Purging(WorkId),
        /// The connection belongs to the open transaction of a session, which is between two
        /// statements.
        Pinned(SessionKey),
    }

    /// A statement that was sent to a server and has not been answered completely.
    pub(crate) struct Work {
        /// The identifier that the server's answers refer to.
        pub(crate) id: WorkId,
        /// The request that the statement belongs to.
        pub(crate) request: RequestId,
        /// When the statement was sent.
        pub(crate) sent: Instant,
        /// When the last part of the answer arrived; when the statement was sent, if none has.
        pub(crate) last_progress: Instant,
        /// The answer so far, if the home itself issued the statement.
        pub(crate) payload: Vec<u8>,
        /// Whether the home itself issued the statement, rather than the client.
        pub(crate) is_own_step: bool,
    }
}

impl HomeIds {
    /// Assigns the identifier of a new connection.
    pub(crate) const fn connection(&mut self) -> ConnectionId {
        self.connections += 1;
        ConnectionId(self.connections)
    }

    /// Assigns the identifier of a new piece of work.
    pub(crate) const fn work(&mut self) -> WorkId {
        self.works += 1;
        WorkId(self.works)
    }
}
