//! The connections of one home to one server.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::derives::data;
use crate::{ConnectionId, Instant, Limit, Random};

/// How long an idle connection beyond the spare one is kept.
pub const IDLE_CONNECTION_LIFETIME: Duration = Duration::from_secs(60);

/// Idle connections kept ahead of need.
pub const SPARE_CONNECTIONS: usize = 1;

/// The first wait after a connection could not be opened.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// The longest wait after a connection could not be opened.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

data! {
    /// The connections to one server, never more than the share.
    pub struct Pool {
        share: u32,
        opening: BTreeSet<ConnectionId>,
        idle: Vec<IdleConnection>,
        busy: BTreeSet<ConnectionId>,
        consecutive_failures: u32,
        retry_at: Option<Instant>,
        /// The limit of statements in flight.
        pub limit: Limit,
    }

    /// A connection that waits for work.
    struct IdleConnection {
        connection: ConnectionId,
        idle_since: Instant,
    }
}

impl Pool {
    /// Returns a pool that may open `share` connections.
    ///
    /// ```
    /// assert_eq!(sapphireslip_core::Pool::new(5).open(), 0);
    /// ```
    #[must_use]
    pub fn new(share: u32) -> Self {
        Self {
            share,
            opening: BTreeSet::new(),
            idle: Vec::new(),
            busy: BTreeSet::new(),
            consecutive_failures: 0,
            retry_at: None,
            limit: Limit::new(share),
        }
    }

    /// Changes the share; connections above it are not reopened once they close.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share;
        self.limit.set_max(share);
    }

    /// Returns how many connections are open or being opened.
    ///
    /// ```
    /// assert_eq!(sapphireslip_core::Pool::new(5).open(), 0);
    /// ```
    #[must_use]
    pub fn open(&self) -> usize {
        self.opening.len() + self.idle.len() + self.busy.len()
    }

    /// Returns how many connections have work or a transaction.
    ///
    /// ```
    /// assert_eq!(sapphireslip_core::Pool::new(5).in_flight(), 0);
    /// ```
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.busy.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether work can be sent at once.
    ///
    /// ```
    /// assert!(!sapphireslip_core::Pool::new(5).is_free());
    /// ```
    #[must_use]
    pub fn is_free(&self) -> bool {
        !self.idle.is_empty() && self.in_flight() < self.limit.current()
    }

    /// Returns how many connections to open now, for `waiting` requests and the spare one.
    ///
    /// ```
    /// use sapphireslip_core::{Instant, Pool};
    /// assert_eq!(Pool::new(5).wanted(Instant::default(), 0), 1);
    /// assert_eq!(Pool::new(5).wanted(Instant::default(), 9), 5);
    /// ```
    #[must_use]
    pub fn connections_to_open(&self, now: Instant, waiting: usize) -> usize {
        if self.retry_at.is_some_and(|at| now < at) {
            return 0;
        }
        let ready = self.idle.len() + self.opening.len();
        let need = (waiting + SPARE_CONNECTIONS).saturating_sub(ready);
        need.min((self.share as usize).saturating_sub(self.open()))
    }

    /// Returns when opening may be tried again, if it is put off.
    #[must_use]
    pub const fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Notes that a connection is being opened.
    pub fn on_opening(&mut self, connection: ConnectionId) {
        self.opening.insert(connection);
    }

    /// Notes that a connection is open; returns false if it isn't one of this pool.
    pub fn on_opened(&mut self, connection: ConnectionId, now: Instant) -> bool {
        if !self.opening.remove(&connection) {
            return false;
        }
        self.consecutive_failures = 0;
        self.retry_at = None;
        self.add_idle(connection, now);
        true
    }

    /// Notes that a connection could not be opened: the next attempt waits longer, with jitter.
    pub fn on_open_failed(&mut self, connection: ConnectionId, now: Instant, random: &mut Random) {
        self.opening.remove(&connection);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = (self.consecutive_failures - 1).min(8);
        let wait = (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        self.retry_at = Some(now + random.jitter(wait));
    }

    /// Takes the connection that was used last, if work may be sent.
    pub fn take(&mut self) -> Option<ConnectionId> {
        if !self.is_free() {
            return None;
        }
        let idle = self.idle.pop()?;
        self.busy.insert(idle.connection);
        Some(idle.connection)
    }

    /// Takes back a connection whose server reported that it is idle; returns false, and forgets
    /// it, if it is above the share and is to be closed.
    pub fn give_back(&mut self, connection: ConnectionId, now: Instant) -> bool {
        if !self.busy.remove(&connection) {
            return false;
        }
        if self.open() >= self.share as usize {
            return false;
        }
        self.add_idle(connection, now);
        true
    }

    /// Forgets a connection that was closed or lost.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.opening.remove(&connection);
        self.busy.remove(&connection);
        self.idle.retain(|idle| idle.connection != connection);
    }

    /// Forgets and returns idle connections that are to be closed for age.
    pub fn expire(&mut self, now: Instant) -> Vec<ConnectionId> {
        let mut expired = Vec::new();
        while self.idle.len() > SPARE_CONNECTIONS
            && now.since(self.idle[0].idle_since) >= IDLE_CONNECTION_LIFETIME
        {
            expired.push(self.idle.remove(0).connection);
        }
        expired
    }

    /// Returns when the next idle connection is to be closed.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let is_extra = self.idle.len() > SPARE_CONNECTIONS;
        is_extra.then(|| self.idle[0].idle_since + IDLE_CONNECTION_LIFETIME)
    }

    /// Forgets and returns all connections that have no work.
    pub fn drain_unused(&mut self) -> Vec<ConnectionId> {
        let idle = std::mem::take(&mut self.idle);
        let opening = std::mem::take(&mut self.opening);
        idle.into_iter()
            .map(|idle| idle.connection)
            .chain(opening)
            .collect()
    }

    fn add_idle(&mut self, connection: ConnectionId, now: Instant) {
        self.idle.push(IdleConnection {
            connection,
            idle_since: now,
        });
    }
}
