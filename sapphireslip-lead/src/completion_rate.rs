//! How much work the servers of a service complete for this daemon, and how much work each kind of
//! statement usually is.
//!
//! Work is counted in microseconds between the sending of a statement and its answer. That includes
//! waiting at the server; as the work ahead of a statement and the rate are counted in the same way,
//! their quotient is still a time.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServiceName, Text, data};

use crate::job::Work;

/// The time over which the rate is smoothed.
const SMOOTHING_TIME: Duration = Duration::from_millis(1_000);

/// The least time with statements waiting after which the rate counts as known: several answers of
/// the longest usual statements, which take 40 ms.
const MEASURED_MIN: Duration = Duration::from_millis(200);

/// How long a rate counts as known after statements last waited: servers come and go meanwhile.
const KNOWN_TIME: Duration = Duration::from_secs(10);

/// The work of a statement that is assumed before the first answer, in microseconds.
const INITIAL_WORK_MICROS: u64 = 8_000;

/// The weight of an answer that took less than usual is 1 / `FASTER_WINDOW`, that of another one
/// 1 / `SLOWER_WINDOW`: slow answers have most likely waited at their server.
const FASTER_WINDOW: u64 = 8;

/// See [`FASTER_WINDOW`].
const SLOWER_WINDOW: u64 = 32;

data! {
    /// The work that servers complete per second while statements wait for them.
    ///
    /// Only time in which statements wait for a slot or a connection counts: else the rate would be
    /// that of the clients, and a primary that is being replaced would look like a slow one.
    #[derive(Default)]
    pub struct CompletionRate {
        /// The work completed in `time`, in microseconds.
        work: u64,
        /// The time that counts; older time counts less, so that it approaches `SMOOTHING_TIME`.
        time: Duration,
        /// Whether statements wait.
        is_backlogged: bool,
        /// The time up to which `time` is counted if statements wait.
        counted_until: Instant,
        /// The work of refused statements whose clients are expected to come back, in microseconds.
        returning: u64,
        /// The time up to which `returning` was reduced by what the servers can complete.
        returning_until: Instant,
    }

    /// The rates of all services, and the usual work of all kinds of statement.
    #[derive(Default)]
    pub(crate) struct CompletionRates {
        /// The rates by service and by whether the statements need the leader.
        rates: BTreeMap<(ServiceName, bool), CompletionRate>,
        /// The usual work in microseconds, by database and effect on the data. The
        /// databases are those of past and present configurations.
        usual_work: BTreeMap<(Text, Work), u64>,
    }
}

impl CompletionRate {
    /// Records from now on whether statements wait for a slot or a connection.
    pub fn note_backlog(&mut self, now: Instant, is_backlogged: bool) {
        self.count(now);
        if is_backlogged && !self.is_backlogged {
            if now.since(self.counted_until) > KNOWN_TIME {
                self.work = 0;
                self.time = Duration::ZERO;
            }
            self.counted_until = now;
        }
        self.is_backlogged = is_backlogged;
    }

    /// Records that a statement was completed.
    pub fn note_completed(&mut self, now: Instant, work: Duration) {
        self.count(now);
        if self.is_backlogged {
            self.work = self.work.saturating_add(micros(work));
        }
    }

    /// Returns the microseconds of work completed per second; none if it is not known.
    ///
    /// ```
    /// use sapphireslip_core::Instant;
    /// use sapphireslip_lead::CompletionRate;
    /// use std::time::Duration;
    /// let at = |millis| Instant { since_start: Duration::from_millis(millis) };
    /// let mut rate = CompletionRate::default();
    /// assert_eq!(rate.per_second(at(0)), None);
    /// rate.note_backlog(at(0), true);
    /// for n in 1..=1_000 {
    ///     rate.note_completed(at(n * 10), Duration::from_millis(20));
    /// }
    /// let millis = rate.per_second(at(10_000)).unwrap_or(0) / 1_000;
    /// assert!((1_950..=2_050).contains(&millis));
    /// ```
    pub fn per_second(&mut self, now: Instant) -> Option<u64> {
        self.count(now);
        if self.time < MEASURED_MIN || now.since(self.counted_until) > KNOWN_TIME {
            return None;
        }
        let rate = u128::from(self.work) * 1_000_000 / self.time.as_micros().max(1);
        u64::try_from(rate).ok().filter(|rate| *rate > 0)
    }

    /// Records that a statement was refused, so that its client is expected to come back.
    pub fn note_refused(&mut self, now: Instant, work: Duration) {
        self.returning = micros(self.returning(now)).saturating_add(micros(work));
        self.returning_until = now;
    }

    /// Returns the work of refused statements whose clients are still expected to come back: what
    /// the servers could not complete since their refusals.
    pub fn returning(&mut self, now: Instant) -> Duration {
        let rate = self.per_second(now).unwrap_or(u64::MAX);
        let passed = now.since(self.returning_until);
        let completed = u128::from(rate) * passed.as_micros() / 1_000_000;
        let completed = u64::try_from(completed).unwrap_or(u64::MAX);
        self.returning = self.returning.saturating_sub(completed);
        self.returning_until = now;
        Duration::from_micros(self.returning)
    }

    /// Counts the time until now if statements wait.
    fn count(&mut self, now: Instant) {
        if !self.is_backlogged {
            return;
        }
        let passed = now.since(self.counted_until);
        self.counted_until = now;
        let kept = SMOOTHING_TIME.as_micros();
        let scale = |value: u128| {
            u64::try_from(value * kept / (kept + passed.as_micros())).unwrap_or(u64::MAX)
        };
        self.work = scale(u128::from(self.work));
        self.time = Duration::from_micros(scale(self.time.as_micros())) + passed;
    }
}

impl CompletionRates {
    /// Returns the rate of a service for statements that need the leader, or for those that don't.
    pub(crate) fn of(&mut self, service: &ServiceName, needs_leader: bool) -> &mut CompletionRate {
        let key = (service.clone(), needs_leader);
        self.rates.entry(key).or_default()
    }

    /// Returns the usual work of the statements of a database.
    pub(crate) fn usual_work(&self, database: &Text, work: Work) -> Duration {
        let known = self.usual_work.get(&(Text::clone(database), work));
        Duration::from_micros(known.copied().unwrap_or(INITIAL_WORK_MICROS))
    }

    /// Records how long a statement of a database took from its sending to its answer.
    pub(crate) fn note_work(&mut self, database: &Text, work: Work, took: Duration) {
        let usual = self.usual_work.entry((Text::clone(database), work));
        let usual = usual.or_insert(INITIAL_WORK_MICROS);
        let took = micros(took).max(1);
        let window = match took < *usual {
            true => FASTER_WINDOW,
            false => SLOWER_WINDOW,
        };
        *usual = (usual.saturating_mul(window - 1).saturating_add(took)) / window;
    }
}

/// Returns a duration in microseconds.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
