//! Deletion of request keys that are long past their lifetime.
//!
//! One home of a database, the first in the order of its zones, deletes old rows at the primary in
//! bounded batches. A batch that deleted rows or met a superseded primary is followed by another
//! soon, any other one after a long interval. A row is deleted only at twice the lifetime of its
//! key, so that a daemon whose wall clock is wrong by less than the lifetime accepts no key whose
//! row has been deleted. A batch that is lost isn't repeated: the next one deletes its rows.

use std::time::Duration;

use crate::derives::data;
use crate::link::{HomeIds, LinkState};
use crate::placement::homes_of;
use crate::{
    BackendEffect, ConnectionId, Cx, Fleet, Home, Instant, REQUEST_KEY_LIFETIME, SqlState, Text,
    TransactionStatus, WorkEnd, WorkId, WorkPayload,
};

/// The most rows that one batch deletes.
pub const PURGE_BATCH_ROWS: u32 = 200;

/// The time between two checks for old rows, before jitter.
pub const PURGE_INTERVAL: Duration = Duration::from_secs(60 * 60);

/// The time between two batches while there are old rows, before jitter. This is also the wait when
/// a batch could get no connection or met a superseded primary.
pub const PURGE_BATCH_PAUSE: Duration = Duration::from_secs(1);

/// How long a batch may run before its connection is closed.
pub const PURGE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the row of a request key is kept at least after the key was created.
pub const REQUEST_ROW_LIFETIME: Duration = Duration::from_secs(2 * REQUEST_KEY_LIFETIME.as_secs());

data! {
    /// The state of the deletion of old request keys at one home.
    #[derive(Default)]
    pub(crate) struct KeyPurge {
        /// When the next batch is due; none until the first is scheduled.
        next_batch: Option<Instant>,
        /// The batch that is at the primary.
        running: Option<Batch>,
    }

    /// A batch that has been sent to the primary.
    struct Batch {
        /// The connection that the batch was sent on.
        connection: ConnectionId,
        /// When the connection is closed if the batch has not ended.
        deadline: Instant,
    }
}

impl KeyPurge {
    /// Returns when the next batch is due or the running one has to be ended; none before the first
    /// batch is scheduled.
    pub(crate) fn next_check(&self) -> Option<Instant> {
        match &self.running {
            Some(batch) => Some(batch.deadline),
            None => self.next_batch,
        }
    }
}

/// Returns the statement that deletes a batch of rows whose keys are too old at wall-clock time
/// `unix` (since the Unix epoch). The condition on `request_key` lets the server use the index of
/// the primary key.
///
/// ```
/// use std::time::Duration;
/// let sql = sapphireslip_core::purge_sql(Duration::from_secs(1_764_966_000));
/// assert!(sql.contains("request_key < '1764793200' AND born_s < 1764793200 LIMIT 200"));
/// ```
#[must_use]
pub fn purge_sql(unix: Duration) -> Text {
    let oldest = unix.saturating_sub(REQUEST_ROW_LIFETIME).as_secs();
    let sql = format!(
        "DELETE FROM sapphireslip_request WHERE request_key IN \
         (SELECT request_key FROM sapphireslip_request \
         WHERE request_key < '{oldest}' AND born_s < {oldest} LIMIT {PURGE_BATCH_ROWS}) \
         RETURNING request_key"
    );
    sql.into()
}

impl Home {
    /// Sends a batch if one is due and no request is queued, and ends one that takes too long.
    pub(crate) fn purge_keys(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, ids: &mut HomeIds) {
        let now = cx.now.instant;
        if let Some(batch) = self.purge.running.clone() {
            if batch.deadline <= now {
                self.close(cx, batch.connection);
                self.end_purge(cx, PURGE_INTERVAL);
            }
            return;
        }
        let Some(next) = self.purge.next_batch else {
            return self.end_purge(cx, PURGE_INTERVAL);
        };
        if next > now {
            return;
        }
        if homes_of(fleet.membership, &self.spec).first() != Some(&cx.local.vm) {
            return self.end_purge(cx, PURGE_INTERVAL);
        }
        match self.take_primary_connection(fleet) {
            Some(connection) => self.send_purge(cx, ids, connection),
            None => self.end_purge(cx, PURGE_BATCH_PAUSE),
        }
    }

    /// Takes a free connection to the primary, if no request is queued, the home isn't closing and
    /// the primary may get new work.
    fn take_primary_connection(&mut self, fleet: Fleet<'_>) -> Option<ConnectionId> {
        if !self.queue.is_empty() || self.is_closing {
            return None;
        }
        let primary = self.group.primary()?.server;
        if self.is_leaving(fleet, &primary) {
            return None;
        }
        self.pools.get_mut(&primary)?.take()
    }

    /// Sends a batch on a connection.
    fn send_purge(&mut self, cx: &mut Cx<'_>, ids: &mut HomeIds, connection: ConnectionId) {
        let Some(link) = self.links.get_mut(&connection) else {
            return;
        };
        let work = ids.work();
        link.state = LinkState::Purging(work);
        self.purge.running = Some(Batch {
            connection,
            deadline: cx.now.instant + PURGE_TIMEOUT,
        });
        cx.backend(BackendEffect::Send {
            connection,
            work,
            payload: WorkPayload::Sql(purge_sql(cx.now.unix)),
        });
    }

    /// Handles the end of a batch. The next one follows soon if rows were deleted or the primary
    /// has been superseded.
    pub(crate) fn on_purge_end(
        &mut self,
        cx: &mut Cx<'_>,
        connection: ConnectionId,
        work: WorkId,
        end: &WorkEnd,
    ) {
        let link = self.links.get(&connection);
        if !link.is_some_and(|link| link.state == LinkState::Purging(work)) {
            return;
        }
        match end.transaction {
            TransactionStatus::Idle => self.release(cx, connection),
            TransactionStatus::Open | TransactionStatus::Failed => self.close(cx, connection),
        }
        let has_deleted = end.sqlstate.is_none() && end.value.is_some();
        let is_superseded = end.sqlstate == Some(SqlState::SUPERSEDED);
        self.end_purge(
            cx,
            match has_deleted || is_superseded {
                true => PURGE_BATCH_PAUSE,
                false => PURGE_INTERVAL,
            },
        );
    }

    /// Ends the running batch, if there is one, and schedules the next after `wait` with jitter.
    pub(crate) fn end_purge(&mut self, cx: &mut Cx<'_>, wait: Duration) {
        self.purge.running = None;
        self.purge.next_batch = Some(cx.now.instant + cx.random.jitter(wait));
    }
}
