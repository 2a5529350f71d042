//! What a home knows of a database group: the servers' status, the primary and what is held.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::derives::data;
use crate::{
    CallId, CallKind, Cx, DatabaseSpec, Fleet, GroupCall, GroupFailure, Instant, KnownServer,
    Promotion, Sample, Samples, ServerId, ServerStatus, Suspicion, Term, TermPosition,
    TimelineEntry, TimelineKind, VmId, led_term, placement,
};

/// Within what time a majority must have answered for writes to be taken.
pub const MAJORITY_WINDOW: Duration = Duration::from_secs(3);

/// Samples of the primary's position kept over the allowed age.
const SAMPLES_A_STALENESS: u32 = 32;

/// When to come back while a promotion runs.
pub const RETRY_PROMOTION: Duration = Duration::from_millis(50);

/// When to come back in a quiet group.
pub const RETRY_QUIET: Duration = Duration::from_millis(200);

/// When to come back while no majority answers.
pub const RETRY_NO_MAJORITY: Duration = Duration::from_secs(1);

data! {
    /// The server that is believed to take writes.
    pub struct Primary {
        /// The server.
        pub server: ServerId,
        /// Its term.
        pub term: Term,
    }

    /// What a group has to know of its surroundings to decide.
    #[derive(Default)]
    pub struct Surroundings {
        /// The homes of the database, this one included.
        pub homes: Vec<VmId>,
        /// The servers that are to get no new work.
        pub leaving: Vec<ServerId>,
    }

    /// A database group as its home sees it.
    ///
    /// Nothing that it promises depends on a clock: time only decides when it asks and when it
    /// gives up.
    pub struct Group {
        pub(crate) spec: DatabaseSpec,
        pub(crate) servers: BTreeMap<ServerId, KnownServer>,
        pub(crate) calls: BTreeMap<CallId, GroupCall>,
        pub(crate) awaited: Option<TermPosition>,
        pub(crate) samples: Samples,
        pub(crate) suspicion: Suspicion,
        pub(crate) promotion: Promotion,
        pub(crate) opened: Term,
        pub(crate) now: Instant,
        pub(crate) wake: Option<Instant>,
    }
}

impl Group {
    /// Returns a group of which nothing is known yet.
    ///
    /// ```
    /// use sapphireslip_core::{DatabaseName, DatabaseSpec, Group};
    /// use std::time::Duration;
    /// let group = Group::new(DatabaseSpec {
    ///     name: DatabaseName::try_from("stock")?,
    ///     servers: Vec::new(),
    ///     zones: Vec::new(),
    ///     connections: 16,
    ///     max_staleness: Duration::ZERO,
    ///     deadline: Duration::from_secs(5),
    /// });
    /// assert_eq!(group.primary(), None);
    /// # Ok::<(), sapphireslip_core::NameError>(())
    /// ```
    #[must_use]
    pub fn new(spec: DatabaseSpec) -> Self {
        let mut group = Self {
            spec,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            awaited: None,
            samples: Samples::default(),
            suspicion: Suspicion::default(),
            promotion: Promotion::default(),
            opened: Term(0),
            now: Instant::default(),
            wake: None,
        };
        group.take_servers();
        group
    }

    /// Takes over a changed document; what is known of the servers that stay is kept.
    ///
    /// A document that changes more than one server at a time may leave two majorities without a
    /// server in common: the check of documents has to refuse it.
    pub fn update(&mut self, cx: &mut Cx<'_>, spec: DatabaseSpec) {
        self.now = cx.now.instant;
        self.spec = spec;
        self.take_servers();
        self.poll_all(cx);
    }

    fn take_servers(&mut self) {
        let mut known = std::mem::take(&mut self.servers);
        for spec in &self.spec.servers {
            let server = known.remove(&spec.id).unwrap_or_default();
            self.servers.insert(spec.id.clone(), server);
        }
        let servers = &self.servers;
        self.calls
            .retain(|_, call| servers.contains_key(&call.server));
    }

    /// Returns how many servers are a majority.
    #[must_use]
    pub(crate) fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the highest term that any server was seen to be fenced at.
    pub(crate) fn highest_term(&self) -> Term {
        self.servers
            .values()
            .map(KnownServer::fenced)
            .max()
            .unwrap_or_default()
    }

    /// Returns the server that leads the highest term led, open for writes or not.
    pub(crate) fn leader(&self) -> Option<Primary> {
        self.servers
            .iter()
            .filter_map(|(id, server)| server.leads().map(|term| (term, id)))
            .max()
            .map(|(term, id)| Primary {
                server: id.clone(),
                term,
            })
    }

    /// Returns whether a majority holds the start of a term, so that no later primary lacks it.
    pub(crate) fn is_open(&self, term: Term) -> bool {
        let start = self
            .servers
            .values()
            .filter_map(|server| server.status.as_ref())
            .flat_map(|status| &status.term_starts)
            .find(|start| start.term == term);
        start.is_some_and(|start| self.is_held(*start))
    }

    pub(crate) fn is_held(&self, record: TermPosition) -> bool {
        let held = self.servers.values().filter(|s| s.has_held(record));
        held.count() >= self.majority()
    }

    /// Returns the primary, once its term is open for writes.
    #[must_use]
    pub fn primary(&self) -> Option<Primary> {
        self.leader()
            .filter(|leader| leader.term == self.highest_term() && self.is_open(leader.term))
    }

    /// Returns a status whose log is that of the highest open term.
    pub(crate) fn open_log(&self) -> Option<&ServerStatus> {
        self.servers
            .values()
            .filter_map(|server| server.status.as_ref())
            .filter(|status| status.held.term == status.fenced && self.is_open(status.fenced))
            .max_by_key(|status| status.held)
    }

    /// Returns whether a majority of the servers has lately answered, so that a write could be
    /// acknowledged.
    #[must_use]
    pub fn has_majority(&self, now: Instant) -> bool {
        self.answering(now, MAJORITY_WINDOW) >= self.majority()
    }

    pub(crate) fn answering(&self, now: Instant, window: Duration) -> usize {
        let fresh = |server: &&KnownServer| server.heard.is_some_and(|at| now.since(at) <= window);
        self.servers.values().filter(fresh).count()
    }

    /// Returns when a refused write had best be tried again.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        if !self.has_majority(self.now) {
            RETRY_NO_MAJORITY
        } else if self.primary().is_none() || self.suspicion.is_active() {
            RETRY_PROMOTION
        } else {
            RETRY_QUIET
        }
    }

    /// Returns the last known status of a server.
    #[must_use]
    pub fn status(&self, server: &ServerId) -> Option<&ServerStatus> {
        self.servers.get(server)?.status.as_ref()
    }

    /// Notes a record that the primary reported with an answer.
    pub fn note_committed(&mut self, server: &ServerId, record: TermPosition) {
        if let Some(server) = self.servers.get_mut(server) {
            server.note_held(record);
        }
    }

    /// Notes a record that the primary wrote for work sent at `sent`: at that time its log had not
    /// come so far, which tells as much of the replicas' age as a poll of the primary.
    pub(crate) fn note_written(&mut self, server: &ServerId, record: TermPosition, sent: Instant) {
        self.note_committed(server, record);
        let leader = self.leader();
        if leader.is_some_and(|leader| leader.server == *server && leader.term == record.term) {
            let sample = Sample {
                asked: sent,
                held: record,
            };
            self.samples.add(sample, self.sample_spacing());
        }
    }

    fn sample_spacing(&self) -> Duration {
        self.spec.max_staleness / SAMPLES_A_STALENESS
    }

    /// Notes that live traffic to a server worked.
    pub fn note_alive(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        self.now = cx.now.instant;
        if let Some(server) = self.servers.get_mut(server) {
            server.note_alive(cx.now.instant);
        }
    }

    /// Notes that live traffic to a server failed.
    pub fn note_failed(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        self.now = cx.now.instant;
        if let Some(known) = self.servers.get_mut(server) {
            known.note_failed(cx.now.instant);
            self.poll(cx, server);
            cx.wake_at(cx.now.instant);
        }
    }

    /// Takes the answer to a group request; returns false if the call is not this group's.
    pub(crate) fn on_reply(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        call: CallId,
        _server: &ServerId,
        result: &Result<ServerStatus, GroupFailure>,
    ) -> bool {
        let around = self.surroundings(fleet);
        self.take_reply(cx, &around, call, result)
    }

    /// Takes the answer to a group request, as [`Self::advance`] does the time.
    pub fn take_reply(
        &mut self,
        cx: &mut Cx<'_>,
        around: &Surroundings,
        call: CallId,
        result: &Result<ServerStatus, GroupFailure>,
    ) -> bool {
        self.now = cx.now.instant;
        let Some(GroupCall {
            server,
            asked,
            kind,
        }) = self.calls.remove(&call)
        else {
            return false;
        };
        match result {
            Ok(status) | Err(GroupFailure::Refused(status)) => {
                self.absorb(&server, status, asked);
            }
            Err(GroupFailure::NoAnswer) => self.note_unanswered(&server, kind),
        }
        self.finish_poll(cx, &server, call, asked, result.is_ok());
        self.finish_promotion_call(cx, around, &server, kind, result);
        self.answer_askers(cx, &server);
        self.advance(cx, around);
        true
    }

    fn absorb(&mut self, server: &ServerId, status: &ServerStatus, asked: Instant) {
        let now = self.now;
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.absorb(status, asked, now);
        let led = led_term(status);
        if led.is_some() && led == self.leader().map(|leader| leader.term) {
            let sample = Sample {
                asked,
                held: status.held,
            };
            self.samples.add(sample, self.sample_spacing());
        }
    }

    /// A long poll says nothing of a server's health: its time may end on either side.
    fn note_unanswered(&mut self, server: &ServerId, kind: CallKind) {
        if matches!(kind, CallKind::Watch(_)) {
            return;
        }
        if let Some(known) = self.servers.get_mut(server) {
            known.note_failed(self.now);
        }
    }

    /// Learns that a primary was promoted.
    pub fn on_promoted(&mut self, cx: &mut Cx<'_>, term: Term) {
        self.now = cx.now.instant;
        if self.leader().is_none_or(|leader| leader.term < term) {
            self.poll_all(cx);
        }
    }

    /// Polls, suspects and promotes as time passes.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>) {
        let around = self.surroundings(fleet);
        self.advance(cx, &around);
    }

    pub(crate) fn surroundings(&self, fleet: Fleet<'_>) -> Surroundings {
        let leaving = |spec: &&crate::ServerSpec| fleet.configuration.is_leaving(spec);
        Surroundings {
            homes: placement::homes_of(fleet.membership, &self.spec),
            leaving: self
                .spec
                .servers
                .iter()
                .filter(leaving)
                .map(|spec| spec.id.clone())
                .collect(),
        }
    }

    /// Does whatever is due.
    pub fn advance(&mut self, cx: &mut Cx<'_>, around: &Surroundings) {
        self.now = cx.now.instant;
        self.expire_calls();
        self.poll_due(cx);
        self.watch_due(cx);
        self.note_opened(cx);
        self.follow_due(cx);
        self.suspect(cx, around);
        self.promote_due(cx, around);
        self.schedule(cx);
    }

    fn note_opened(&mut self, cx: &mut Cx<'_>) {
        let Some(primary) = self.primary().filter(|p| p.term > self.opened) else {
            return;
        };
        self.opened = primary.term;
        self.promotion.succeed();
        self.record(
            cx,
            TimelineKind::WritesOpened,
            &primary.server,
            primary.term,
        );
    }

    /// Adds an entry about this group to the time line.
    pub(crate) fn record(
        &self,
        cx: &mut Cx<'_>,
        kind: TimelineKind,
        server: &ServerId,
        term: Term,
    ) {
        let entry = TimelineEntry::of(kind).database(&self.spec.name);
        cx.record(entry.server(server).term(term));
    }
}
