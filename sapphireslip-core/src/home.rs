//! The home of one database: its requests, its connections and its view of the group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::acknowledgement::UnacknowledgedWrite;
use crate::derives::data;
use crate::dispatch::QueueConditions;
use crate::job::{Job, Stage, Timer, Transaction};
use crate::key_purge::KeyPurge;
use crate::link::{HomeIds, Link};
use crate::placement::is_home;
use crate::queue_pace::QueuePace;
use crate::{
    AnswerEnd, Certainty, ConnectionId, Cx, DatabaseName, DatabaseSpec, Fleet, Group, Instant,
    Outcome, Pool, Queue, Refusal, RefusalReason, RequestId, RetryBudget, ServerId, ServerSpec,
    SessionKey, StatementKind, Term, TermPosition, TimelineEntry, TimelineKind, TransactionStatus,
    connection_share,
};

/// How long a home waits after opening for the group's first status before it refuses requests.
pub const HOME_START_GRACE: Duration = Duration::from_millis(500);

data! {
    /// The home of a database: the state of the daemon that queues the database's requests and
    /// holds the connections to its servers. Each availability zone of the database has one.
    pub struct Home {
        /// The database as the document in force describes it.
        pub(crate) spec: DatabaseSpec,
        /// What is known of the group of servers.
        pub(crate) group: Group,
        /// When the home was opened.
        pub(crate) opened_at: Instant,
        /// Whether the home has moved to another VM or no document names the database any more.
        pub(crate) is_closing: bool,
        /// All requests that have not had their final answer.
        pub(crate) jobs: BTreeMap<RequestId, Job>,
        /// The requests that wait for a connection, in order.
        pub(crate) queue: Queue,
        /// The writes that wait until a majority holds them, in the order of their log records.
        pub(crate) unacknowledged_writes: BTreeSet<UnacknowledgedWrite>,
        /// The pending timers of requests, earliest first.
        pub(crate) timers: BTreeSet<Timer>,
        /// The connection pool of each server.
        pub(crate) pools: BTreeMap<ServerId, Pool>,
        /// The server and the present use of each connection, those being opened included.
        pub(crate) links: BTreeMap<ConnectionId, Link>,
        /// The open transaction of each session that has one.
        pub(crate) transactions: BTreeMap<SessionKey, Transaction>,
        /// Limits how many lost requests are retried.
        pub(crate) budget: RetryBudget,
        /// When each server last answered a group request successfully.
        pub(crate) last_group_replies: BTreeMap<ServerId, Instant>,
        /// When the group was last probed for the state of its replicas; none if never.
        pub(crate) last_replica_probe: Option<Instant>,
        /// The state of the deletion of old request keys.
        pub(crate) purge: KeyPurge,
        /// The term of the last known primary that was open for writes; zero before the first.
        pub(crate) served_term: Term,
        /// The pace at which queued requests that need the primary get connections.
        pub(crate) primary_pace: QueuePace,
        /// The pace at which queued reads that a replica may serve get connections.
        pub(crate) read_pace: QueuePace,
        /// The conditions under which all queued requests were last checked; none before the first
        /// check.
        pub(crate) queue_conditions: Option<QueueConditions>,
        /// The time of the last tick that was asked for; none before the first.
        scheduled_wake: Option<Instant>,
    }
}

/// The state that the operator's view shows of a home.
impl Home {
    /// Returns the name of the database.
    #[must_use]
    pub const fn database(&self) -> &DatabaseName {
        &self.spec.name
    }

    /// Returns the group of servers as the home sees it.
    #[must_use]
    pub const fn group(&self) -> &Group {
        &self.group
    }

    /// Returns how many requests wait for a connection.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many connections to backend servers are open or being opened.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.pools.values().map(Pool::open).sum()
    }

    /// Returns the statement kind of a request that has no final answer yet.
    #[must_use]
    pub fn kind_of(&self, id: &RequestId) -> Option<StatementKind> {
        self.jobs.get(id).map(|job| job.request.kind)
    }
}

impl Home {
    /// Opens a home, which sends the first status requests to the group at once.
    pub(crate) fn open(cx: &mut Cx<'_>, fleet: Fleet<'_>, spec: &DatabaseSpec) -> Self {
        let is_home = is_home(fleet.membership, spec);
        let mut home = Self {
            group: Group::new(spec.clone()),
            spec: spec.clone(),
            opened_at: cx.now.instant,
            is_closing: !is_home,
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            unacknowledged_writes: BTreeSet::new(),
            timers: BTreeSet::new(),
            pools: BTreeMap::new(),
            links: BTreeMap::new(),
            transactions: BTreeMap::new(),
            budget: RetryBudget::default(),
            last_group_replies: BTreeMap::new(),
            last_replica_probe: None,
            purge: KeyPurge::default(),
            served_term: Term(0),
            primary_pace: QueuePace::default(),
            read_pace: QueuePace::default(),
            queue_conditions: None,
            scheduled_wake: None,
        };
        home.sync_pools(cx);
        home.group.on_tick(cx, fleet);
        home
    }

    /// Applies the document in force, and whether this daemon is still the home.
    pub(crate) fn update(&mut self, cx: &mut Cx<'_>, spec: &DatabaseSpec, is_home: bool) {
        self.is_closing = !is_home;
        if self.spec == *spec {
            return;
        }
        self.queue.wake_all();
        self.spec = spec.clone();
        self.group.update(cx, spec.clone());
        self.sync_pools(cx);
        self.close_removed_servers(cx);
    }

    /// Returns whether the home is closing and has no request, transaction or connection left.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closing && self.is_idle() && self.links.is_empty()
    }

    /// Returns whether no request and no open transaction is left.
    pub(crate) fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.transactions.is_empty()
    }

    /// Does all that has become due or possible after an event, and schedules the next tick.
    pub(crate) fn advance(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, ids: &mut HomeIds) {
        self.fire_timers(cx);
        self.close_idle_transactions(cx);
        self.poll_silent_servers(cx);
        self.abandon_superseded_writes(cx);
        self.close_silent_connections(cx);
        self.answer_held_writes(cx);
        self.run_queue(cx, fleet, ids);
        self.purge_keys(cx, fleet, ids);
        self.maintain_connections(cx, fleet, ids);
        self.schedule_wake(cx);
    }

    /// Sends a request's final answer and removes the request; `committed` is the log record of
    /// what it wrote, if it wrote. Does nothing for a request that has already ended.
    pub(crate) fn end(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        outcome: Outcome,
        committed: Option<TermPosition>,
    ) {
        let Some(mut job) = self.jobs.remove(id) else {
            return;
        };
        match job.stage {
            Stage::Queued => {
                if self.queue.remove(id) {
                    self.queue_pace(job.needs_primary).leave();
                }
            }
            Stage::Running(_) => {}
            Stage::Acknowledging { record, .. } => self.forget_unacknowledged(record, id),
        }
        self.remove_timer(Some(job.deadline), id);
        self.remove_timer(job.resolve_at, id);
        let transaction = self
            .transactions
            .get(&job.session_key())
            .map_or(TransactionStatus::Idle, |transaction| transaction.status);
        let seen = committed.max(job.floor);
        let kind = match &outcome {
            Outcome::Done => TimelineKind::RequestAnswered,
            Outcome::Refused(_) => TimelineKind::RequestRefused,
        };
        let detail = match &outcome {
            Outcome::Done => "",
            Outcome::Refused(refusal) => {
                job.replace_buffer(Vec::new());
                &*refusal.detail
            }
        };
        self.record(cx, kind, id, None, detail);
        job.send(
            cx,
            Some(AnswerEnd {
                outcome,
                transaction,
                seen,
            }),
        );
    }

    /// Returns the pace of the queued requests that need the primary, or that of the other reads.
    pub(crate) const fn queue_pace(&mut self, needs_primary: bool) -> &mut QueuePace {
        if needs_primary {
            &mut self.primary_pace
        } else {
            &mut self.read_pace
        }
    }

    /// Refuses a request as not run, or as possibly run if an earlier copy of it may have run.
    pub(crate) fn refuse(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        reason: RefusalReason,
        detail: &str,
    ) {
        let retry_after = reason.is_transient().then(|| self.group.retry_after());
        let refusal = Refusal::not_run(reason, retry_after, detail);
        self.refuse_with(cx, id, refusal);
    }

    /// Refuses a request that may have been run.
    pub(crate) fn refuse_unknown(
        &mut self,
        cx: &mut Cx<'_>,
        id: &RequestId,
        reason: RefusalReason,
        detail: &str,
    ) {
        self.refuse_with(cx, id, Refusal::unknown(reason, detail));
    }

    /// Refuses a request. If a copy of it may have run, the refusal says so and has no retry hint.
    fn refuse_with(&mut self, cx: &mut Cx<'_>, id: &RequestId, mut refusal: Refusal) {
        if self.jobs.get(id).is_some_and(Job::is_doubtful) {
            refusal.ran = Certainty::Unknown;
            refusal.retry_after = None;
        }
        self.end(cx, id, Outcome::Refused(refusal), None);
    }

    /// Returns the document's entry of a server; none if the document doesn't name it any more.
    pub(crate) fn server(&self, server: &ServerId) -> Option<&ServerSpec> {
        self.spec.servers.iter().find(|spec| spec.id == *server)
    }

    /// Returns whether the home opened so recently that the group's first status may be
    /// outstanding.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        now < self.opened_at + HOME_START_GRACE
    }

    /// Adds a timer for a request.
    pub(crate) fn add_timer(&mut self, at: Instant, id: &RequestId) {
        self.timers.insert(Timer { at, id: id.clone() });
    }

    fn remove_timer(&mut self, at: Option<Instant>, id: &RequestId) {
        if let Some(at) = at {
            self.timers.remove(&Timer { at, id: id.clone() });
        }
    }

    /// Records a step of a request in the timeline.
    pub(crate) fn record(
        &self,
        cx: &mut Cx<'_>,
        kind: TimelineKind,
        request: &RequestId,
        server: Option<&ServerId>,
        detail: &str,
    ) {
        cx.record(TimelineEntry {
            kind,
            request: Some(request.clone()),
            session: self.jobs.get(request).map(|job| job.request.session),
            database: Some(self.spec.name.clone()),
            server: server.cloned(),
            peer: Some(request.entry.clone()),
            term: self.group.primary().map(|primary| primary.term),
            detail: detail.into(),
        });
    }

    /// Creates the missing pools and sets the connection share of all servers in the document.
    fn sync_pools(&mut self, cx: &Cx<'_>) {
        let share = connection_share(&self.spec, &cx.local.zone);
        for server in &self.spec.servers {
            self.pools
                .entry(server.id.clone())
                .or_insert_with(|| Pool::new(share))
                .set_share(share);
        }
    }

    /// Closes the unused connections to servers that the document no longer names, and removes
    /// their pools once empty.
    pub(crate) fn close_removed_servers(&mut self, cx: &mut Cx<'_>) {
        let removed: Vec<_> = self
            .pools
            .keys()
            .filter(|server| self.server(server).is_none())
            .cloned()
            .collect();
        for server in removed {
            self.close_unused(cx, &server);
            if self.pools.get(&server).is_some_and(|pool| pool.open() == 0) {
                self.pools.remove(&server);
            }
        }
    }

    /// Asks for a tick at the next due time, unless an earlier tick is already scheduled.
    fn schedule_wake(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        let next = self.next_due(now);
        let is_pending = self.scheduled_wake.is_some_and(|wake| now < wake);
        match next {
            Some(next) if !is_pending || self.scheduled_wake.is_some_and(|wake| next < wake) => {
                self.scheduled_wake = Some(next);
                cx.wake_at(next);
            }
            _ => {}
        }
    }

    /// Returns the next time after `now` at which something is due. What was due by `now` has been
    /// done already or waits for another event.
    fn next_due(&self, now: Instant) -> Option<Instant> {
        let timer = self.timers.first().map(|timer| timer.at);
        let pools = self.pools.values();
        let pool = pools.flat_map(|pool| [pool.next_expiry(), pool.retry_at()]);
        let silence_check = self.next_silence_check(now);
        let transaction = self.next_transaction_check();
        let unanswered_poll = self.next_unanswered_poll(now);
        pool.chain([
            timer,
            silence_check,
            transaction,
            self.purge.next_check(),
            unanswered_poll,
        ])
        .flatten()
        .filter(|due| now < *due)
        .min()
    }
}
