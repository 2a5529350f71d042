//! A statement that needs a backend server, from its arrival to its answer.

use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, ServerId, ServiceName, SessionId, data, key};

use crate::{Freshness, Query, ServerRequest, Shape, TermPosition};

key! {
    /// A statement at work; unique within one run of a daemon.
    pub(crate) struct JobId(pub(crate) u64);

    /// What a statement does to the data.
    pub(crate) enum Work {
        /// It reads.
        Read,
        /// It writes; outside a transaction it takes effect at once.
        Write,
        /// It commits a transaction.
        Commit,
    }
}

data! {
    /// A statement at work.
    pub(crate) struct Job {
        pub(crate) session: SessionId,
        pub(crate) query: Query,
        /// What an `EXECUTE` runs.
        pub(crate) shape: Option<Shape>,
        pub(crate) work: Work,
        /// Whether it is part of a transaction.
        pub(crate) in_transaction: bool,
        /// Whether its transaction has to be begun at the server first.
        pub(crate) pending_begin: Option<Begin>,
        pub(crate) service: ServiceName,
        pub(crate) freshness: Freshness,
        /// Whether only the primary may run it.
        pub(crate) needs_leader: bool,
        /// The session's last write, which a read must see.
        pub(crate) last_write: Option<TermPosition>,
        pub(crate) priority: u8,
        pub(crate) arrived: Instant,
        /// When the route's time is over.
        pub(crate) deadline: Instant,
        /// The time within which the operation should be answered.
        pub(crate) target_latency: Duration,
        pub(crate) stage: Stage,
        /// The servers that have failed to run it.
        pub(crate) failed_servers: Vec<ServerId>,
        /// How often it was sent.
        pub(crate) send_count: u32,
        /// When it may be sent again.
        pub(crate) earliest_send: Instant,
    }

    /// How a transaction begins at the server.
    pub(crate) struct Begin {
        pub(crate) reads_only: bool,
    }

    /// Where a statement stands.
    pub(crate) enum Stage {
        /// It waits for a server or a connection.
        Queued,
        /// It was sent on these connections, the oldest first.
        Sent(Vec<Sending>),
    }

    /// One sending of a statement.
    pub(crate) struct Sending {
        pub(crate) connection: ConnectionId,
        pub(crate) server: ServerId,
        pub(crate) sent_at: Instant,
    }
}

impl Job {
    /// Returns the record that a replica's log must hold, given the floor of the service.
    pub(crate) fn floor(&self, service_floor: TermPosition) -> TermPosition {
        match self.freshness {
            Freshness::OwnWrites(_) => self
                .last_write
                .map_or(service_floor, |w| w.max(service_floor)),
            Freshness::Bounded(_) | Freshness::Primary => service_floor,
        }
    }

    /// Returns whether it may be sent to a second server while the first has not answered.
    pub(crate) const fn may_hedge(&self) -> bool {
        matches!(self.work, Work::Read) && !self.in_transaction
    }

    /// Returns the request for a backend server.
    pub(crate) fn request(
        &self,
        floor: Option<TermPosition>,
        shape_number: Option<u32>,
    ) -> ServerRequest {
        let id = sapphireslip_core::Text::clone(&self.query.id);
        match (&self.query.statement, shape_number) {
            (Some(crate::Statement::Execute { arguments, .. }), Some(shape_number)) => {
                ServerRequest::Execute {
                    id,
                    floor,
                    number: shape_number,
                    arguments: sapphireslip_core::Text::clone(arguments),
                }
            }
            _ => ServerRequest::Forward {
                id,
                floor,
                text: sapphireslip_core::Text::clone(&self.query.text),
            },
        }
    }
}
