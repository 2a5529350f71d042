//! Probes of the replicas on behalf of reads: whether they have a log position, and how old their
//! data is.

use std::time::Duration;

use crate::{Candidate, Cx, Fleet, Home, Instant, RequestId, Visibility};

/// The least time between two probes while no replica can serve the waiting reads.
pub const REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// The longest time between two probes while no replica can serve the waiting reads.
pub const REFRESH_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// While no replica can serve the reads, the time between two probes is the age of the freshest
/// replica's data divided by this: a replica that lags far behind need not be probed often.
const REFRESH_AGE_DIVISOR: u32 = 4;

/// The replicas are probed early, while one can still serve reads, once the freshest data is as old
/// as the allowed staleness divided by this.
const EARLY_REFRESH_AGE_DIVISOR: u32 = 2;

/// The least time between two early probes.
const EARLY_REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The time between two early probes is the allowed staleness divided by this.
const EARLY_REFRESH_INTERVAL_DIVISOR: u32 = 8;

/// What is to be learnt about the replicas.
enum Probe {
    /// Whether this replica has the read's log position by now.
    Visibility(Candidate),
    /// How old the data of all replicas is.
    Ages,
}

impl Home {
    /// Probes the replicas if none is known to be able to serve a read, or soon none will be.
    pub(crate) fn refresh_replicas(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, id: &RequestId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.needs_primary || job.needs_probe() {
            return;
        }
        let candidates = self.candidates(cx, fleet, job);
        let now = cx.now.instant;
        let Some((probe, interval)) = needed_probe(&candidates, self.spec.max_staleness) else {
            return;
        };
        if self.was_probed_within(now, interval) {
            return;
        }
        self.last_replica_probe = Some(now);
        match probe {
            Probe::Visibility(replica) => self.group.probe_server(cx, &replica.server),
            Probe::Ages => self.group.probe(cx),
        }
    }

    /// Returns whether the replicas were last probed less than `interval` ago.
    fn was_probed_within(&self, now: Instant, interval: Duration) -> bool {
        self.last_replica_probe
            .is_some_and(|at| now < at + interval)
    }
}

/// Returns the probe that is needed and the least time since the probe before; none if a replica
/// has fresh data or there are no replicas to use.
fn needed_probe(candidates: &[Candidate], max_staleness: Duration) -> Option<(Probe, Duration)> {
    let replicas = || {
        candidates
            .iter()
            .filter(|c| c.is_eligible_replica(max_staleness))
    };
    let usable_age = replicas()
        .filter(|c| c.is_usable_replica(max_staleness))
        .filter_map(|c| c.staleness)
        .min();
    if let Some(age) = usable_age {
        let interval =
            EARLY_REFRESH_INTERVAL_MIN.max(max_staleness / EARLY_REFRESH_INTERVAL_DIVISOR);
        let is_old = age >= max_staleness / EARLY_REFRESH_AGE_DIVISOR;
        return is_old.then_some((Probe::Ages, interval));
    }
    let age = replicas().filter_map(|c| c.staleness).min();
    let interval = age.unwrap_or(REFRESH_INTERVAL_MAX) / REFRESH_AGE_DIVISOR;
    let interval = interval.clamp(REFRESH_INTERVAL_MIN, REFRESH_INTERVAL_MAX);
    let behind = replicas()
        .filter(|c| c.is_reachable && c.visibility == Visibility::Behind)
        .filter(|c| c.staleness.is_some_and(|age| age <= max_staleness))
        .min_by_key(|c| (!c.is_in_own_zone, c.in_flight));
    let probe = match behind {
        Some(replica) => Probe::Visibility(replica.clone()),
        None => Probe::Ages,
    };
    replicas().next().map(|_| (probe, interval))
}
