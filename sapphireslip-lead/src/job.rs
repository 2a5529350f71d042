//! A statement that needs a backend server, from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use sapphireslip_core::{
    AccountName, ConnectionId, Instant, ServerId, ServiceName, SessionId, data, key,
};

use crate::own_writes::OwnWrite;
use crate::{Freshness, NumberedShape, Query, ServerRequest, Term, TermPosition};

key! {
    /// Identifies a job; unique within one run of a daemon, and in order of arrival.
    pub struct JobId(pub u64);

    /// What a statement does to the data.
    pub(crate) enum Work {
        /// Reads without writing.
        Read,
        /// Writes; outside a transaction the write takes effect at once.
        Write,
        /// Commits a transaction.
        Commit,
    }
}

data! {
    /// A statement that a backend server has to run and that has not been answered yet.
    pub(crate) struct Job {
        /// The session that sent the statement.
        pub(crate) session: SessionId,
        /// The session's client account; none if it has none.
        pub(crate) account: Option<AccountName>,
        /// The statement.
        pub(crate) query: Query,
        /// The prepared statement that an `EXECUTE` runs.
        pub(crate) shape: Option<Arc<NumberedShape>>,
        /// What the statement does to the data.
        pub(crate) work: Work,
        /// Whether the statement is part of a transaction.
        pub(crate) in_transaction: bool,
        /// The `BEGIN` that has to run at the server before the statement; none if the transaction
        /// has begun there, or if there is no transaction.
        pub(crate) pending_begin: Option<Begin>,
        /// The service whose group runs the statement.
        pub(crate) service: ServiceName,
        /// The route's requirement on the freshness of reads.
        pub(crate) freshness: Freshness,
        /// Whether only the primary may run the statement.
        pub(crate) needs_leader: bool,
        /// The session's last write to the service, which a read on a route with
        /// [`Freshness::OwnWrites`] must see.
        pub(crate) own_write: OwnWrite,
        /// The route's rank among waiting statements: 0 is sent first.
        pub(crate) priority: u8,
        /// When the statement arrived; for a pipelined one, when the previous one was answered.
        pub(crate) arrived: Instant,
        /// When the route's timeout ends.
        pub(crate) deadline: Instant,
        /// The time within which the client's whole operation should be answered.
        pub(crate) target_latency: Duration,
        /// Whether the statement is queued or sent.
        pub(crate) stage: Stage,
        /// The servers that have failed to run the statement, once per failure.
        pub(crate) failed_servers: Vec<ServerId>,
        /// How many times the statement, or the `BEGIN` before it, was sent to a server.
        pub(crate) send_count: u32,
        /// Whether the statement begins an operation of a limited account and has not taken the
        /// operation's token.
        pub(crate) needs_token: bool,
        /// The earliest time at which the statement may be sent.
        pub(crate) earliest_send: Instant,
    }

    /// A `BEGIN` that no server has completed yet.
    pub(crate) struct Begin {
        /// Whether the client declared the transaction read-only.
        pub(crate) reads_only: bool,
    }

    /// The progress of a job.
    pub(crate) enum Stage {
        /// The statement waits for a server or a connection.
        Queued,
        /// The statement was sent on these connections and not answered, the oldest first.
        Sent(Vec<Sending>),
    }

    /// One attempt to run a statement on a connection.
    pub(crate) struct Sending {
        /// The connection on which the statement was sent.
        pub(crate) connection: ConnectionId,
        /// The server at the other end of the connection.
        pub(crate) server: ServerId,
        /// When the statement was sent.
        pub(crate) sent_at: Instant,
        /// The term of the service's confirmed leader when the statement was sent; none if there was
        /// no confirmed leader.
        pub(crate) term: Option<Term>,
    }
}

impl Job {
    /// Returns the job's floor: the least log position that a replica must have to serve the read.
    ///
    /// `service_floor` is the position that the route's staleness bound requires.
    pub(crate) fn floor(&self, service_floor: TermPosition) -> TermPosition {
        match (&self.freshness, &self.own_write) {
            (Freshness::OwnWrites(_), OwnWrite::At(write)) => service_floor.max(*write),
            _ => service_floor,
        }
    }

    /// Returns whether the statement may be hedged: sent to a second server while the first has not
    /// answered. Only reads outside transactions may.
    pub(crate) const fn may_hedge(&self) -> bool {
        matches!(self.work, Work::Read) && !self.in_transaction
    }

    /// Returns the request that runs the statement at a backend server; a statement without a shape is
    /// sent as text.
    pub(crate) fn request(&self, floor: Option<TermPosition>) -> ServerRequest {
        let id = sapphireslip_core::Text::clone(&self.query.id);
        match (&self.query.statement, &self.shape) {
            (Some(crate::Statement::Execute { arguments, .. }), Some(shape)) => {
                ServerRequest::Execute {
                    id,
                    floor,
                    number: shape.number,
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
