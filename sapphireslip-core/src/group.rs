//! The home's view of a database group: its servers' statuses, its primary and the state of a
//! failover.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::derives::data;
use crate::{
    CallId, CallKind, Cx, DatabaseSpec, Fleet, GroupCall, GroupFailure, Instant, KnownServer,
    Promotion, Sample, Samples, ServerId, ServerStatus, Suspicion, Term, TermPosition,
    TimelineEntry, TimelineKind, VmId, led_term, placement,
};

/// The time within which a majority of servers must have answered for the home to accept writes.
pub const MAJORITY_WINDOW: Duration = Duration::from_secs(3);

/// The number of samples of the primary's log position to keep per maximum staleness.
const SAMPLES_PER_MAX_STALENESS: u32 = 32;

/// The delay that a client is told to wait before a retry while a promotion runs.
pub const RETRY_PROMOTION: Duration = Duration::from_millis(50);

/// The delay that a client is told to wait before a retry while the group has a healthy primary.
pub const RETRY_QUIET: Duration = Duration::from_millis(200);

/// The delay that a client is told to wait before a retry while no majority of servers answers.
pub const RETRY_NO_MAJORITY: Duration = Duration::from_secs(1);

data! {
    /// The server that leads a term and is expected to accept writes.
    pub struct Primary {
        /// The server that leads the term.
        pub server: ServerId,
        /// The term that the server leads.
        pub term: Term,
    }

    /// The facts from outside a group on which its decisions depend.
    #[derive(Default)]
    pub struct GroupContext {
        /// The VMs that are homes of the database, including this one if it is a home.
        pub homes: Vec<VmId>,
        /// The servers that are being removed and must get no new work.
        pub leaving: Vec<ServerId>,
    }

    /// A home's view of one database group.
    ///
    /// A home is a daemon that sends a database's statements to its servers and watches over its
    /// primary; there is one in each availability zone of the database. The group's safety does not
    /// depend on clocks: time only decides when the home polls a server and when it abandons an
    /// attempt.
    pub struct Group {
        /// The database's configuration.
        pub(crate) spec: DatabaseSpec,
        /// What is known of each server that the configuration lists.
        pub(crate) servers: BTreeMap<ServerId, KnownServer>,
        /// The requests to servers that have not been answered yet.
        pub(crate) calls: BTreeMap<CallId, GroupCall>,
        /// The highest record for which the replicas are long-polled; none once all servers hold it
        /// or a later term has replaced its term.
        pub(crate) awaited_record: Option<TermPosition>,
        /// Recent log positions of the primary, from which the age of a server's data is computed.
        pub(crate) samples: Samples,
        /// The fault that is currently suspected and the other homes' opinions of it.
        pub(crate) suspicion: Suspicion,
        /// The state of this home's attempts to promote a server.
        pub(crate) promotion: Promotion,
        /// The highest term that this home has seen open for writes.
        pub(crate) last_opened_term: Term,
        /// The time of the event that is being handled.
        pub(crate) now: Instant,
        /// The earliest tick that has been requested and may still be pending.
        pub(crate) next_tick: Option<Instant>,
    }
}

impl Group {
    /// Returns a group whose servers have not been contacted yet.
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
            awaited_record: None,
            samples: Samples::default(),
            suspicion: Suspicion::default(),
            promotion: Promotion::default(),
            last_opened_term: Term(0),
            now: Instant::default(),
            next_tick: None,
        };
        group.update_servers();
        group
    }

    /// Applies a changed configuration and keeps what is known of the servers that remain.
    ///
    /// The check of configuration documents must refuse a change of more than one server at a time:
    /// the majorities before and after such a change need not have a server in common.
    pub fn update(&mut self, cx: &mut Cx<'_>, spec: DatabaseSpec) {
        self.now = cx.now.instant;
        self.spec = spec;
        self.update_servers();
        self.poll_all(cx);
    }

    /// Adds the servers that the configuration lists and drops the others with their pending calls.
    fn update_servers(&mut self) {
        let mut known = std::mem::take(&mut self.servers);
        for spec in &self.spec.servers {
            let server = known.remove(&spec.id).unwrap_or_default();
            self.servers.insert(spec.id.clone(), server);
        }
        let servers = &self.servers;
        self.calls
            .retain(|_, call| servers.contains_key(&call.server));
    }

    /// Returns the number of servers that form a majority.
    #[must_use]
    pub(crate) fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the highest term at which any server is known to be fenced.
    pub(crate) fn highest_term(&self) -> Term {
        self.servers
            .values()
            .map(KnownServer::fenced)
            .max()
            .unwrap_or_default()
    }

    /// Returns the server that leads the highest term that has a primary, whether or not the term
    /// is open for writes.
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

    /// Returns whether a term is open for writes, that is, whether a majority holds its first
    /// record. Every later primary then holds that record too.
    pub(crate) fn is_open(&self, term: Term) -> bool {
        let start = self
            .servers
            .values()
            .filter_map(|server| server.status.as_ref())
            .flat_map(|status| &status.term_starts)
            .find(|start| start.term == term);
        start.is_some_and(|start| self.is_held(*start))
    }

    /// Returns whether a majority is known to have held a record in the record's own term.
    pub(crate) fn is_held(&self, record: TermPosition) -> bool {
        let held = self.servers.values().filter(|s| s.has_held(record));
        held.count() >= self.majority()
    }

    /// Returns the primary of the highest term once that term is open for writes.
    #[must_use]
    pub fn primary(&self) -> Option<Primary> {
        self.leader()
            .filter(|leader| leader.term == self.highest_term() && self.is_open(leader.term))
    }

    /// Returns the status that reaches furthest into the log of the highest open term, or `None` if
    /// no term is open.
    pub(crate) fn open_log(&self) -> Option<&ServerStatus> {
        self.servers
            .values()
            .filter_map(|server| server.status.as_ref())
            .filter(|status| status.held.term == status.fenced && self.is_open(status.fenced))
            .max_by_key(|status| status.held)
    }

    /// Returns whether a majority of the servers answered within [`MAJORITY_WINDOW`], so that a
    /// write could be acknowledged.
    #[must_use]
    pub fn has_majority(&self, now: Instant) -> bool {
        self.answering(now, MAJORITY_WINDOW) >= self.majority()
    }

    /// Returns the number of servers that answered within `window` before `now`.
    pub(crate) fn answering(&self, now: Instant, window: Duration) -> usize {
        let fresh =
            |server: &&KnownServer| server.last_answer.is_some_and(|at| now.since(at) <= window);
        self.servers.values().filter(fresh).count()
    }

    /// Returns how long a client should wait before it retries a refused write.
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

    /// Records that the primary reported `record` as committed in an answer.
    pub fn note_committed(&mut self, server: &ServerId, record: TermPosition) {
        if let Some(server) = self.servers.get_mut(server) {
            server.note_held(record);
        }
    }

    /// Records that the primary wrote `record` for work sent at `sent`. The primary's log was
    /// shorter at that time, so the pair bounds the replicas' staleness as well as a poll of the
    /// primary does.
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

    /// Returns the least time between two samples that are kept.
    fn sample_spacing(&self) -> Duration {
        self.spec.max_staleness / SAMPLES_PER_MAX_STALENESS
    }

    /// Records that a server accepted a connection or answered a statement.
    pub fn note_alive(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        self.now = cx.now.instant;
        if let Some(server) = self.servers.get_mut(server) {
            server.note_alive(cx.now.instant);
        }
    }

    /// Records that a connection to a server was lost or could not be opened, and polls the server.
    pub fn note_failed(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        self.now = cx.now.instant;
        if let Some(known) = self.servers.get_mut(server) {
            known.note_connection_failed(cx.now.instant);
            self.poll(cx, server);
            cx.wake_at(cx.now.instant);
        }
    }

    /// Handles the answer to a group request; returns false if the call does not belong to this
    /// group.
    pub(crate) fn on_reply(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        call: CallId,
        _server: &ServerId,
        result: &Result<ServerStatus, GroupFailure>,
    ) -> bool {
        let context = self.context(fleet);
        self.handle_reply(cx, &context, call, result)
    }

    /// Handles the answer to a group request; returns false if the call does not belong to this
    /// group.
    pub fn handle_reply(
        &mut self,
        cx: &mut Cx<'_>,
        context: &GroupContext,
        call: CallId,
        result: &Result<ServerStatus, GroupFailure>,
    ) -> bool {
        self.now = cx.now.instant;
        let Some(GroupCall { server, sent, kind }) = self.calls.remove(&call) else {
            return false;
        };
        match result {
            Ok(status) | Err(GroupFailure::Refused(status)) => {
                self.store_status(&server, status, sent);
            }
            Err(GroupFailure::NoAnswer) => self.note_unanswered(&server, kind),
        }
        self.finish_poll(cx, &server, call, sent, result.is_ok());
        self.finish_promotion_call(cx, context, &server, kind, result);
        self.answer_requesters(cx, &server);
        self.advance(cx, context);
        true
    }

    /// Stores a server's status that was asked for at `asked` and, if the server is the leader, a
    /// sample of its log position.
    fn store_status(&mut self, server: &ServerId, status: &ServerStatus, asked: Instant) {
        let now = self.now;
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.store_status(status, asked, now);
        let led = led_term(status);
        if led.is_some() && led == self.leader().map(|leader| leader.term) {
            let sample = Sample {
                asked,
                held: status.held,
            };
            self.samples.add(sample, self.sample_spacing());
        }
    }

    /// Counts an unanswered request as a failure of the server. A long poll does not count: the
    /// server may delay its answer for most of the timeout, so an unanswered one may just mean that
    /// the record did not arrive in time.
    fn note_unanswered(&mut self, server: &ServerId, kind: CallKind) {
        if matches!(kind, CallKind::Watch(_)) {
            return;
        }
        if let Some(known) = self.servers.get_mut(server) {
            known.note_failed(self.now);
        }
    }

    /// Handles the news that a server was promoted in `term`.
    pub fn on_promoted(&mut self, cx: &mut Cx<'_>, term: Term) {
        self.now = cx.now.instant;
        if self.leader().is_none_or(|leader| leader.term < term) {
            self.poll_all(cx);
        }
    }

    /// Polls servers, detects faults and runs a promotion as time passes.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>) {
        let context = self.context(fleet);
        self.advance(cx, &context);
    }

    /// Returns the homes and the leaving servers according to the membership and the configuration.
    pub(crate) fn context(&self, fleet: Fleet<'_>) -> GroupContext {
        let leaving = |spec: &&crate::ServerSpec| fleet.configuration.is_leaving(spec);
        GroupContext {
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

    /// Performs every step that is due and requests a tick for the next one.
    pub fn advance(&mut self, cx: &mut Cx<'_>, context: &GroupContext) {
        self.now = cx.now.instant;
        self.expire_calls();
        self.poll_due(cx);
        self.watch_due(cx);
        self.note_opened(cx);
        self.follow_due(cx);
        self.suspect(cx, context);
        self.promote_due(cx, context);
        self.schedule(cx);
    }

    /// Ends a running promotion and records in the timeline when a new term opens for writes.
    fn note_opened(&mut self, cx: &mut Cx<'_>) {
        let Some(primary) = self.primary().filter(|p| p.term > self.last_opened_term) else {
            return;
        };
        self.last_opened_term = primary.term;
        self.promotion.succeed();
        self.record(
            cx,
            TimelineKind::WritesOpened,
            &primary.server,
            primary.term,
        );
    }

    /// Adds an entry about this group to the timeline.
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
