//! The pool of connections from one home to one server.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::derives::data;
use crate::{ConcurrencyLimit, ConnectionId, Instant, Random};

/// How long an idle connection is kept, apart from the spare ones.
pub const IDLE_CONNECTION_LIFETIME: Duration = Duration::from_secs(60);

/// How many idle connections are kept open for requests to come.
pub const SPARE_CONNECTIONS: usize = 1;

/// The wait before the next attempt after a first failure to open a connection.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// The longest wait before the next attempt to open a connection.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

data! {
    /// The connections of a home to one server, of which it never opens more than its share.
    pub struct Pool {
        /// The most connections that may be open, those being opened included.
        share: u32,
        /// The connections that are being opened.
        opening: BTreeSet<ConnectionId>,
        /// The open connections without work, the longest idle first.
        idle: Vec<IdleConnection>,
        /// The connections that have work or are pinned to a transaction.
        busy: BTreeSet<ConnectionId>,
        /// How many attempts to open a connection have failed since one succeeded.
        consecutive_failures: u32,
        /// When connections may be opened again after a failure; none if the last attempt
        /// succeeded.
        retry_at: Option<Instant>,
        /// The limit of connections that have work at the same time, which adapts to the latency.
        pub limit: ConcurrencyLimit,
    }

    /// An open connection without work.
    struct IdleConnection {
        /// The connection.
        connection: ConnectionId,
        /// When the connection was opened or its last work ended.
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
            limit: ConcurrencyLimit::new(share),
        }
    }

    /// Changes the share. Connections above it are closed once they are given back or expire, and
    /// are not opened again.
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

    /// Returns how many connections have work or are pinned to a transaction.
    ///
    /// ```
    /// assert_eq!(sapphireslip_core::Pool::new(5).in_flight(), 0);
    /// ```
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.busy.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether work can be sent now: a connection is idle and the limit leaves room.
    ///
    /// ```
    /// assert!(!sapphireslip_core::Pool::new(5).is_free());
    /// ```
    #[must_use]
    pub fn is_free(&self) -> bool {
        !self.idle.is_empty() && self.in_flight() < self.limit.current()
    }

    /// Returns how many connections to open now for `waiting` requests and the spare ones, within
    /// the share; zero during the wait after a failure.
    ///
    /// ```
    /// use sapphireslip_core::{Instant, Pool};
    /// assert_eq!(Pool::new(5).connections_to_open(Instant::default(), 0), 1);
    /// assert_eq!(Pool::new(5).connections_to_open(Instant::default(), 9), 5);
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

    /// Returns when opening may be tried again, if the last attempt failed.
    #[must_use]
    pub const fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Adds a connection that is being opened.
    pub fn on_opening(&mut self, connection: ConnectionId) {
        self.opening.insert(connection);
    }

    /// Marks a connection as open and idle; returns false if the pool was not opening it.
    pub fn on_opened(&mut self, connection: ConnectionId, now: Instant) -> bool {
        if !self.opening.remove(&connection) {
            return false;
        }
        self.consecutive_failures = 0;
        self.retry_at = None;
        self.add_idle(connection, now);
        true
    }

    /// Removes a connection that could not be opened, and makes the next attempt wait. The wait
    /// doubles with each failure in a row, up to a maximum, and has jitter.
    pub fn on_open_failed(&mut self, connection: ConnectionId, now: Instant, random: &mut Random) {
        self.opening.remove(&connection);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = (self.consecutive_failures - 1).min(8);
        let wait = (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        self.retry_at = Some(now + random.jitter(wait));
    }

    /// Takes the most recently used idle connection; returns none if no work can be sent now.
    pub fn take(&mut self) -> Option<ConnectionId> {
        if !self.is_free() {
            return None;
        }
        let idle = self.idle.pop()?;
        self.busy.insert(idle.connection);
        Some(idle.connection)
    }

    /// Takes back a connection whose server has reported that it is outside a transaction.
    ///
    /// Returns false if the connection is to be closed, since it is above the share or wasn't busy;
    /// a connection above the share is removed from the pool.
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

    /// Removes a connection that was closed or lost.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.opening.remove(&connection);
        self.busy.remove(&connection);
        self.idle.retain(|idle| idle.connection != connection);
    }

    /// Removes and returns the connections that have been idle for too long and are to be closed.
    pub fn expire(&mut self, now: Instant) -> Vec<ConnectionId> {
        let mut expired = Vec::new();
        while self.idle.len() > SPARE_CONNECTIONS
            && now.since(self.idle[0].idle_since) >= IDLE_CONNECTION_LIFETIME
        {
            expired.push(self.idle.remove(0).connection);
        }
        expired
    }

    /// Returns when the next idle connection is to be closed; none if only spare ones are idle.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let is_extra = self.idle.len() > SPARE_CONNECTIONS;
        is_extra.then(|| self.idle[0].idle_since + IDLE_CONNECTION_LIFETIME)
    }

    /// Removes and returns all connections that are idle or being opened.
    pub fn drain_unused(&mut self) -> Vec<ConnectionId> {
        let idle = std::mem::take(&mut self.idle);
        let opening = std::mem::take(&mut self.opening);
        idle.into_iter()
            .map(|idle| idle.connection)
            .chain(opening)
            .collect()
    }

    /// Adds an open connection that is idle from now on.
    fn add_idle(&mut self, connection: ConnectionId, now: Instant) {
        self.idle.push(IdleConnection {
            connection,
            idle_since: now,
        });
    }
}
