//! When a home asks anew how far its replicas' reads have come, since reads would use them.

use std::time::Duration;

use crate::{Candidate, Cx, Fleet, Home, Instant, RequestId, Visibility};

/// The least time between two questions on behalf of reads that no replica is fit for.
pub const REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// The longest time between two questions while reads find no fit replica.
pub const REFRESH_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// The part of the best replica's known age that is let pass between two questions, as one in so
/// many: a replica that lags far need not be asked often.
const REFRESH_AGE_DIVISOR: u32 = 4;

/// The part of the allowed age past which the replicas' ages are learnt anew ahead of need, as one
/// in so many.
const EARLY_REFRESH_AGE_DIVISOR: u32 = 2;

/// The least time between two questions ahead of need.
const EARLY_REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The part of the allowed age between two questions ahead of need, as one in so many.
const EARLY_REFRESH_INTERVAL_DIVISOR: u32 = 8;

/// What is to be learnt of the replicas.
enum Probe {
    /// Whether one of them shows a record by now.
    Visibility(Candidate),
    /// How old their data is.
    Ages,
}

impl Home {
    /// Asks about the replicas if none is known to be fit for a read, or soon none will be.
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

    fn was_probed_within(&self, now: Instant, interval: Duration) -> bool {
        self.last_replica_probe
            .is_some_and(|at| now < at + interval)
    }
}

/// Returns what had best be asked, and how long after the question before; none if all is well.
fn needed_probe(candidates: &[Candidate], max_staleness: Duration) -> Option<(Probe, Duration)> {
    let replicas = || {
        candidates
            .iter()
            .filter(|c| c.is_eligible_replica(max_staleness))
    };
    let fit_age = replicas()
        .filter(|c| c.is_fit_replica(max_staleness))
        .filter_map(|c| c.staleness)
        .min();
    if let Some(age) = fit_age {
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
