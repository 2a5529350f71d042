//! Dispatch of queued requests: chooses the server of each, sends it on a free connection, keeps it
//! waiting or refuses it.

use std::time::Duration;

use crate::derives::data;
use crate::job::{Job, Stage};
use crate::link::{HomeIds, LinkState, Work};
use crate::queue_wait::{ServerSet, WaitCondition};
use crate::{
    BackendEffect, Candidate, ConnectionId, Cx, Fleet, HOME_START_GRACE, Home, Instant, KeyedNext,
    Primary, ReadRoute, RefusalReason, RequestId, ServerId, ServerSpec, TermPosition, Text,
    TimelineKind, Visibility, WorkPayload, route_read,
};

/// How long a read waits for a replica that can serve it before it falls back to the primary.
pub const REPLICA_WAIT: Duration = Duration::from_millis(5);

/// How long a read waits for any server that is fresh enough before it is refused.
pub const FRESH_WAIT: Duration = Duration::from_millis(500);

/// How long a request waits for the answer to a probe of the group before the probe is repeated.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What to do with a queued request now.
enum Target {
    /// Send the request to this server, which has a free connection.
    Server(ServerId),
    /// Keep the request queued until the condition is met.
    Wait(WaitCondition),
    /// Refuse the request for this reason, with this detail.
    Refuse(RefusalReason, &'static str),
}

data! {
    /// The state of the home that decides whether queued requests are refused, apart from the
    /// requests themselves; all of them are checked again when it changes.
    pub(crate) struct QueueConditions {
        /// The known primary of the group.
        primary: Option<Primary>,
        /// Whether a majority of the group has answered recently.
        has_majority: bool,
        /// Whether the home still waits for the group's first status.
        is_starting: bool,
        /// The servers of the document that are to get no new work.
        leaving: Vec<ServerId>,
        /// How many servers the document names.
        servers: usize,
    }
}

/// Returns the target of a request that has to wait until `at`.
const fn wait_until(at: Instant) -> Target {
    let mut condition = WaitCondition::group_update_until(at);
    condition.wants_group_update = false;
    Target::Wait(condition)
}

impl Home {
    /// Checks the queued requests that are due: sends, keeps or refuses each of them.
    pub(crate) fn run_queue(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, ids: &mut HomeIds) {
        self.refresh_queue_conditions(cx, fleet);
        let now = cx.now.instant;
        let mut index = 0;
        let mut free = self.free_servers();
        while let Some((at, id)) = self.queue.next_ready(index, now, free) {
            index = at;
            self.request_floor(cx, &id);
            self.refresh_replicas(cx, fleet, &id);
            self.confirm_floor(cx, &id);
            match self.target(cx, fleet, &id) {
                Target::Server(server) => {
                    self.send_to(cx, ids, &id, &server);
                    free = self.free_servers();
                }
                Target::Wait(condition) => {
                    self.queue.set_wait_condition(index, &id, condition);
                    if let Some(at) = condition.recheck_at {
                        self.add_timer(at, &id);
                    }
                    index += 1;
                }
                Target::Refuse(reason, detail) => self.refuse(cx, &id, reason, detail),
            }
        }
        self.queue.finish_scan(now, free);
    }

    /// Makes all queued requests due for a check if the conditions for refusals have changed.
    fn refresh_queue_conditions(&mut self, cx: &Cx<'_>, fleet: Fleet<'_>) {
        let now = cx.now.instant;
        let leaving = |spec: &&ServerSpec| fleet.configuration.is_leaving(spec);
        let conditions = QueueConditions {
            primary: self.group.primary(),
            has_majority: self.group.has_majority(now),
            is_starting: self.is_starting(now),
            leaving: self
                .spec
                .servers
                .iter()
                .filter(leaving)
                .map(|spec| spec.id.clone())
                .collect(),
            servers: self.spec.servers.len(),
        };
        if self.queue_conditions.as_ref() != Some(&conditions) {
            self.queue_conditions = Some(conditions);
            self.queue.wake_all();
        }
    }

    /// Returns the servers with a free connection.
    fn free_servers(&self) -> ServerSet {
        self.servers_where(|server| self.pools.get(server).is_some_and(|p| p.is_free()))
    }

    /// Returns the servers of the document for which `is_in` returns true.
    fn servers_where(&self, is_in: impl Fn(&ServerId) -> bool) -> ServerSet {
        let mut set = ServerSet::default();
        for (index, spec) in self.spec.servers.iter().enumerate() {
            if is_in(&spec.id) {
                set.insert(index);
            }
        }
        set
    }

    /// Sets the floor of a request without a session token to a record that covers every write
    /// acknowledged before the request arrived. Probes the group while no majority of the servers
    /// has answered a poll that was sent since then.
    fn request_floor(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let now = cx.now.instant;
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.needs_probe()) else {
            return;
        };
        job.floor = self.group.confirmed_since(job.arrived);
        let is_probe_pending = job.next_probe.is_some_and(|at| now < at);
        if job.floor.is_some() || is_probe_pending {
            return;
        }
        let again = now + PROBE_RETRY_INTERVAL;
        job.next_probe = Some(again);
        self.add_timer(again, id);
        self.group.probe(cx);
    }

    /// Probes the group if the floor of a read is past the end of the primary's log as last
    /// reported.
    fn confirm_floor(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        let now = cx.now.instant;
        let Some(primary) = self.group.primary() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.needs_primary) else {
            return;
        };
        let is_plausible = job
            .floor
            .is_none_or(|floor| self.group.is_plausible(&primary, floor));
        if is_plausible || job.next_probe.is_some_and(|at| now < at) {
            return;
        }
        let again = now + PROBE_RETRY_INTERVAL;
        job.next_probe = Some(again);
        self.add_timer(again, id);
        self.group.probe(cx);
    }

    /// Returns what to do with a queued request.
    fn target(&self, cx: &Cx<'_>, fleet: Fleet<'_>, id: &RequestId) -> Target {
        let Some(job) = self.jobs.get(id) else {
            return Target::Wait(WaitCondition::default());
        };
        if cx.now.instant < job.not_before {
            return wait_until(job.not_before);
        }
        if job.needs_probe() {
            return self.wait_or_refuse(cx, job, "the latest confirmed log position is unknown");
        }
        if job.needs_primary {
            return self.primary_target(cx, fleet, job);
        }
        self.read_target(cx, fleet, job)
    }

    /// Returns what to do with a request that only the primary can serve. A keyed write that has to
    /// learn whether it ran is not refused for lack of a primary: it waits until its deadline.
    fn primary_target(&self, cx: &Cx<'_>, fleet: Fleet<'_>, job: &Job) -> Target {
        let now = cx.now.instant;
        let is_resolving = job.keyed.as_ref().is_some_and(|keyed| keyed.is_resolving());
        let refuse = |reason, detail| {
            if is_resolving {
                return Target::Wait(WaitCondition::default());
            }
            if self.is_starting(now) {
                return wait_until(self.opened_at + HOME_START_GRACE);
            }
            Target::Refuse(reason, detail)
        };
        if !self.group.has_majority(now) {
            return refuse(
                RefusalReason::NoMajority,
                "no majority of the database's servers answers",
            );
        }
        let Some(primary) = self.group.primary() else {
            return refuse(
                RefusalReason::NoPrimary,
                "the database has no known primary",
            );
        };
        if self.is_leaving(fleet, &primary.server) {
            return refuse(
                RefusalReason::NoPrimary,
                "the primary is being removed and gets no new work",
            );
        }
        match self.primary_visibility(&primary, job.floor) {
            Visibility::Visible => {}
            Visibility::LostBranch => {
                return Target::Refuse(
                    RefusalReason::LostBranch,
                    "the token's log branch was lost",
                );
            }
            Visibility::Behind => {
                return refuse(
                    RefusalReason::NoPrimary,
                    "the known primary is no longer the latest",
                );
            }
        }
        match self.pools.get(&primary.server).is_some_and(|p| p.is_free()) {
            true => Target::Server(primary.server),
            false => Target::Wait(WaitCondition::connection(
                self.servers_where(|server| *server == primary.server),
            )),
        }
    }

    /// Returns what to do with a read that a replica may serve. It goes to the primary only if no
    /// replica can serve it, after at most [`REPLICA_WAIT`] if one may soon; it never does if it
    /// may have run already.
    fn read_target(&self, cx: &Cx<'_>, fleet: Fleet<'_>, job: &Job) -> Target {
        let now = cx.now.instant;
        let candidates = self.candidates(cx, fleet, job);
        let replica_wait_end = job.arrived + REPLICA_WAIT;
        let max_staleness = self.spec.max_staleness;
        let may_gain_replica = candidates
            .iter()
            .any(|c| c.may_become_usable(max_staleness));
        match route_read(&candidates, max_staleness) {
            ReadRoute::Replica(server) => Target::Server(server),
            ReadRoute::Primary(_) | ReadRoute::Busy if job.may_have_run => self.wait_or_refuse(
                cx,
                job,
                "no replica is fresh, and the primary may have run it",
            ),
            ReadRoute::Primary(primary) if may_gain_replica && now < replica_wait_end => {
                Target::Wait(WaitCondition {
                    servers: self.servers_where(|server| *server != primary),
                    ..WaitCondition::group_update_until(replica_wait_end)
                })
            }
            ReadRoute::Primary(server) => Target::Server(server),
            ReadRoute::Busy => Target::Wait(WaitCondition {
                servers: self.usable_servers(&candidates),
                wants_group_update: true,
                recheck_at: None,
            }),
            ReadRoute::None => self.wait_or_refuse(cx, job, "no server is fresh enough"),
            ReadRoute::LostBranch => {
                Target::Refuse(RefusalReason::LostBranch, "the token's log branch was lost")
            }
        }
    }

    /// Keeps a request waiting for a server that is fresh enough, then refuses it with `detail`.
    /// The wait is at most [`FRESH_WAIT`] and at most half the time from arrival to the deadline,
    /// counted from the arrival or from the opening of the home, whichever is later.
    fn wait_or_refuse(&self, cx: &Cx<'_>, job: &Job, detail: &'static str) -> Target {
        let share = job.deadline.since(job.arrived) / 2;
        let end = job.arrived.max(self.opened_at) + FRESH_WAIT.min(share);
        if cx.now.instant < end {
            let again = cx.now.instant + PROBE_RETRY_INTERVAL;
            return Target::Wait(WaitCondition::group_update_until(end.min(again)));
        }
        Target::Refuse(RefusalReason::NoFreshServer, detail)
    }

    /// Returns the candidates that can serve a read once they have a free connection.
    fn usable_servers(&self, candidates: &[Candidate]) -> ServerSet {
        let max_staleness = self.spec.max_staleness;
        let is_usable =
            |c: &&Candidate| c.is_usable_primary() || c.is_usable_replica(max_staleness);
        let usable: Vec<_> = candidates
            .iter()
            .filter(is_usable)
            .map(|c| &c.server)
            .collect();
        self.servers_where(|server| usable.contains(&server))
    }

    /// Returns the servers of the document with what the choice for a request depends on.
    pub(crate) fn candidates(&self, cx: &Cx<'_>, fleet: Fleet<'_>, job: &Job) -> Vec<Candidate> {
        let primary = self.group.primary();
        let floor = job.floor.unwrap_or_default();
        self.spec
            .servers
            .iter()
            .filter_map(|spec| {
                let pool = self.pools.get(&spec.id)?;
                let leads = primary.as_ref().filter(|p| p.server == spec.id);
                let visibility = match leads {
                    Some(primary) if !self.group.is_plausible(primary, floor) => Visibility::Behind,
                    Some(primary) => self.primary_visibility(primary, job.floor),
                    None if floor == TermPosition::default() => {
                        self.visibility_without_floor(&spec.id)
                    }
                    None => self.group.visibility(&spec.id, floor),
                };
                Some(Candidate {
                    server: spec.id.clone(),
                    is_primary: leads.is_some(),
                    is_in_own_zone: spec.zone == cx.local.zone,
                    is_excluded: fleet.configuration.is_leaving(spec)
                        || job.failed_on.contains(&spec.id),
                    visibility,
                    staleness: self.group.staleness(&spec.id, cx.now.instant),
                    is_reachable: pool.open() > 0,
                    is_free: pool.is_free(),
                    in_flight: pool.in_flight(),
                    is_status_pending: self.group.is_poll_pending(&spec.id),
                })
            })
            .collect()
    }

    /// Returns the visibility for a session that has seen nothing yet: any server with a known
    /// status will do.
    fn visibility_without_floor(&self, server: &ServerId) -> Visibility {
        match self.group.status(server) {
            Some(_) => Visibility::Visible,
            None => Visibility::Behind,
        }
    }

    /// Returns whether the primary's reads see a record. It wrote the records of its own term
    /// itself, so they are visible even if its last status doesn't cover them yet.
    fn primary_visibility(&self, primary: &Primary, floor: Option<TermPosition>) -> Visibility {
        match floor {
            None => Visibility::Visible,
            Some(floor) if floor.term == primary.term || floor == TermPosition::default() => {
                Visibility::Visible
            }
            Some(floor) => self.group.visibility(&primary.server, floor),
        }
    }

    /// Returns whether a server is to get no new work, or is no longer in the document.
    pub(crate) fn is_leaving(&self, fleet: Fleet<'_>, server: &ServerId) -> bool {
        self.server(server)
            .is_none_or(|spec| fleet.configuration.is_leaving(spec))
    }

    /// Takes a queued request off the queue and sends it, or its first step, on a free connection
    /// of a server.
    fn send_to(&mut self, cx: &mut Cx<'_>, ids: &mut HomeIds, id: &RequestId, server: &ServerId) {
        let connection = self.pools.get_mut(server).and_then(|pool| pool.take());
        let Some(connection) = connection else {
            return;
        };
        self.queue.remove(id);
        let needs_primary = self.jobs.get(id).is_some_and(|job| job.needs_primary);
        let queue_pace = self.queue_pace(needs_primary);
        queue_pace.dispatch(cx.now.instant);
        queue_pace.leave();
        self.start_on(cx, ids, id, connection);
    }

    /// Sends a request, or the first step of a keyed write, on a connection.
    pub(crate) fn start_on(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        id: &RequestId,
        connection: ConnectionId,
    ) {
        let server = self.links.get(&connection).map(|link| link.server.clone());
        let primary = self.group.primary();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.stage = Stage::Running(connection);
        job.could_write = primary.is_none_or(|p| Some(&p.server) == server.as_ref());
        let left = job.deadline.since(cx.now.instant);
        let first = job.keyed.as_mut().map(|keyed| keyed.start(left));
        self.record(cx, TimelineKind::RequestSent, id, server.as_ref(), "");
        match first {
            Some(KeyedNext::Sql(sql)) => self.send_step(cx, ids, id, connection, sql),
            _ => self.send_request(cx, ids, id, connection),
        }
    }

    /// Sends the client's own messages.
    pub(crate) fn send_request(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        id: &RequestId,
        connection: ConnectionId,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let payload = WorkPayload::Messages(job.request.payload.clone());
        self.send_work(cx, ids, id, connection, payload);
    }

    /// Sends an SQL statement that the home itself adds to a keyed write.
    pub(crate) fn send_step(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        id: &RequestId,
        connection: ConnectionId,
        sql: Text,
    ) {
        self.send_work(cx, ids, id, connection, WorkPayload::Sql(sql));
    }

    /// Sends work on a connection and marks the connection as working.
    fn send_work(
        &mut self,
        cx: &mut Cx<'_>,
        ids: &mut HomeIds,
        id: &RequestId,
        connection: ConnectionId,
        payload: WorkPayload,
    ) {
        let Some(link) = self.links.get_mut(&connection) else {
            return;
        };
        let work = ids.work();
        link.state = LinkState::Working(Work {
            id: work,
            request: id.clone(),
            sent: cx.now.instant,
            last_progress: cx.now.instant,
            payload: Vec::new(),
            is_own_step: matches!(payload, WorkPayload::Sql(_)),
        });
        cx.backend(BackendEffect::Send {
            connection,
            work,
            payload,
        });
    }
}
