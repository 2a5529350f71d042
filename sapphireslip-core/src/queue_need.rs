//! What a queued request waits for, so that it is looked at only when that has come.

use std::time::Duration;

use crate::Instant;
use crate::derives::{data, key};

/// How many requests may wait for news of the group and still be looked at with each piece of it.
const NEWS_WAITERS_FEW: usize = 64;

/// The least time between two looks at all requests that wait for news, if they are many.
const NEWS_INTERVAL: Duration = Duration::from_millis(50);

key! {
    /// Servers of a database, by their places in its document.
    #[derive(Default)]
    pub(crate) struct ServerSet(u64);

    /// What a queued request waits for.
    #[derive(Default)]
    pub(crate) struct Need {
        /// A free connection to one of these.
        pub(crate) servers: ServerSet,
        /// News of the group.
        pub(crate) news: bool,
        /// A point in time.
        pub(crate) again_at: Option<Instant>,
    }
}

data! {
    /// What has come so far, and what all requests that were looked at wait for.
    #[derive(Default)]
    pub(crate) struct Arrivals {
        /// Counts the news of the group that requests are looked at for.
        news: u64,
        news_at: Option<Instant>,
        has_more_news: bool,
        /// What any of the requests waits for: at least, not just.
        any: Need,
    }
}

impl ServerSet {
    /// Adds the server at a place; those past the width of the set count as one.
    pub(crate) fn insert(&mut self, place: usize) {
        self.0 |= 1 << place.min(63);
    }

    /// Returns whether the two have a server in common.
    pub(crate) const fn meets(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl Need {
    /// Returns the need of a free connection to one of the servers.
    pub(crate) fn connection(servers: ServerSet) -> Self {
        Self {
            servers,
            ..Self::default()
        }
    }

    /// Returns the need of news of the group or of a point in time.
    pub(crate) const fn news_until(at: Instant) -> Self {
        Self {
            servers: ServerSet(0),
            news: true,
            again_at: Some(at),
        }
    }

    fn merge(&mut self, other: Self) {
        self.servers.0 |= other.servers.0;
        self.news |= other.news;
        self.again_at = match (self.again_at, other.again_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    fn is_met(&self, now: Instant, free: ServerSet, has_news: bool) -> bool {
        let is_news_of_use = self.servers.is_empty() || !free.is_empty();
        self.servers.meets(free)
            || self.again_at.is_some_and(|at| at <= now)
            || (self.news && has_news && is_news_of_use)
    }
}

impl Arrivals {
    /// Notes that something was learnt of the group.
    pub(crate) const fn note_news(&mut self) {
        self.has_more_news = true;
    }

    /// Lets requests be looked at for what was learnt, unless they are many and it was done lately.
    pub(crate) fn release_news(&mut self, now: Instant, waiters: usize) {
        let is_recent = self.news_at.is_some_and(|at| now < at + NEWS_INTERVAL);
        if self.has_more_news && (waiters <= NEWS_WAITERS_FEW || !is_recent) {
            self.has_more_news = false;
            self.news += 1;
            self.news_at = Some(now);
        }
    }

    /// Returns the count of news so far.
    pub(crate) const fn news(&self) -> u64 {
        self.news
    }

    /// Returns whether a need is met for a request that was looked at with `seen` news.
    pub(crate) fn meet(&self, need: &Need, seen: u64, now: Instant, free: ServerSet) -> bool {
        need.is_met(now, free, seen < self.news)
    }

    /// Returns whether any request may have its need met, with `seen` news at the last look at all.
    pub(crate) fn meet_any(&self, seen: u64, now: Instant, free: ServerSet) -> bool {
        self.any.is_met(now, free, seen < self.news)
    }

    /// Forgets what all wait for, before it is put together anew.
    pub(crate) fn forget_needs(&mut self) {
        self.any = Need::default();
    }

    /// Adds what one request waits for.
    pub(crate) fn add_need(&mut self, need: Need) {
        self.any.merge(need);
    }
}
