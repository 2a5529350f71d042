//! When a home asks anew how far its replicas' reads have come, since reads would use them.

use std::time::Duration;

use crate::{Candidate, Cx, Fleet, Home, Instant, RequestId, Visibility};

/// The least time between two questions on behalf of reads that no replica is fit for.
pub const REFRESH_MIN: Duration = Duration::from_millis(5);

/// The longest time between two questions while reads find no fit replica.
pub const REFRESH_MAX: Duration = Duration::from_millis(500);

/// The part of the best replica's known age that is let pass between two questions, as one in so
/// many: a replica that lags far need not be asked often.
const REFRESH_AGE_SHARE: u32 = 4;

/// The part of the allowed age past which the replicas' ages are learnt anew ahead of need, as one
/// in so many.
const AHEAD_SHARE: u32 = 2;

/// The least time between two questions ahead of need.
const AHEAD_MIN: Duration = Duration::from_millis(50);

/// The part of the allowed age between two questions ahead of need, as one in so many.
const AHEAD_INTERVAL_SHARE: u32 = 8;

/// What is to be learnt of the replicas.
enum Question {
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
        if job.at_primary || job.wants_probe() {
            return;
        }
        let candidates = self.candidates(cx, fleet, job);
        let now = cx.now.instant;
        let Some((question, interval)) = question(&candidates, self.spec.max_staleness) else {
            return;
        };
        if self.is_refreshed(now, interval) {
            return;
        }
        self.ages_asked = Some(now);
        match question {
            Question::Visibility(replica) => self.group.probe_server(cx, &replica.server),
            Question::Ages => self.group.probe(cx),
        }
    }

    fn is_refreshed(&self, now: Instant, interval: Duration) -> bool {
        self.ages_asked.is_some_and(|at| now < at + interval)
    }
}

/// Returns what had best be asked, and how long after the question before; none if all is well.
fn question(candidates: &[Candidate], max_staleness: Duration) -> Option<(Question, Duration)> {
    let replicas = || candidates.iter().filter(|c| c.may_serve(max_staleness));
    let fit_age = replicas()
        .filter(|c| c.is_fit_replica(max_staleness))
        .filter_map(|c| c.staleness)
        .min();
    if let Some(age) = fit_age {
        let interval = AHEAD_MIN.max(max_staleness / AHEAD_INTERVAL_SHARE);
        let is_old = age >= max_staleness / AHEAD_SHARE;
        return is_old.then_some((Question::Ages, interval));
    }
    let age = replicas().filter_map(|c| c.staleness).min();
    let interval = age.unwrap_or(REFRESH_MAX) / REFRESH_AGE_SHARE;
    let interval = interval.clamp(REFRESH_MIN, REFRESH_MAX);
    let behind = replicas()
        .filter(|c| c.is_reachable && c.visibility == Visibility::Behind)
        .filter(|c| c.staleness.is_some_and(|age| age <= max_staleness))
        .min_by_key(|c| (!c.own_zone, c.in_flight));
    let question = match behind {
        Some(replica) => Question::Visibility(replica.clone()),
        None => Question::Ages,
    };
    replicas().next().map(|_| (question, interval))
}
