//! Detects that a group's primary has failed, and confirms it with the database's other homes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{
    Cx, Fleet, Group, GroupContext, Instant, KnownServer, PeerMessage, ServerId, Term,
    TermPosition, TimelineKind, VmId,
};

/// How long another home's answer that the primary is up delays a proposal.
pub const DENIAL_VALIDITY: Duration = Duration::from_millis(500);

/// The interval between requests for the other homes' opinions.
pub const OPINION_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// How long to wait for the other homes' opinions before proceeding without them.
pub const CONFIRM_WAIT: Duration = Duration::from_millis(400);

/// How long a fault must last before a majority of homes overrules one that finds the primary up.
pub const OVERRULE_WAIT: Duration = Duration::from_secs(2);

/// How long a record of the primary may be held by no majority, with no change in any replica's
/// log, before the primary counts as cut off from its replicas.
pub const STALL_UNTIL_DOWN: Duration = Duration::from_secs(3);

/// The maximum number of homes that may wait for this home's opinion of the primary.
pub const REQUESTERS_MAX: usize = 16;

key! {
    /// A condition that prevents a group from accepting writes, or soon will.
    pub enum PrimaryFault {
        /// No server leads the highest term, which is given here; term 0 if no server is known to
        /// have been fenced ever.
        Leaderless(Term),
        /// The primary of this term is down or cut off from its replicas.
        Down(Term),
        /// A server leads this term, but no majority holds the term's first record yet.
        Unopened(Term),
        /// The primary of this term is being removed and must get no new work.
        Leaving(Term),
    }

    /// Another home's last answer about the primary.
    pub struct Opinion {
        /// Whether that home finds the primary down too.
        pub confirmed: bool,
        /// When the answer arrived.
        pub received: Instant,
    }
}

data! {
    /// The current fault of the group's primary and the other homes' opinions of it.
    #[derive(Default)]
    pub struct Suspicion {
        /// The current fault, if any.
        pub(crate) fault: Option<PrimaryFault>,
        /// When the current fault was first detected, or, if there is none, when the last one
        /// ended.
        pub(crate) since: Instant,
        /// A random part of the delay before a proposal, so that homes propose at different times.
        pub(crate) jitter: Duration,
        /// The time from which this home may propose a new term, given its rank among the homes.
        pub(crate) proposal_at: Instant,
        /// When the other homes were last asked for their opinion of the current fault.
        opinions_requested: Option<Instant>,
        /// The other homes' latest answers about the current fault.
        opinions: BTreeMap<VmId, Opinion>,
        /// The homes that wait for this home's opinion.
        requesters: Vec<Requester>,
        /// The tracked record of the primary that no majority holds yet, if any.
        unreplicated: Option<UnreplicatedRecord>,
    }

    /// A home that waits for this home's opinion of a primary.
    struct Requester {
        /// The home's VM.
        vm: VmId,
        /// The term of the primary that the home asked about.
        term: Term,
    }

    /// A record of the primary that no majority held when it was first seen.
    struct UnreplicatedRecord {
        /// The record.
        record: TermPosition,
        /// When the record was first seen.
        since: Instant,
    }
}

impl Suspicion {
    /// Returns whether the group currently cannot accept writes.
    pub(crate) const fn is_active(&self) -> bool {
        matches!(
            self.fault,
            Some(PrimaryFault::Leaderless(_) | PrimaryFault::Down(_) | PrimaryFault::Unopened(_))
        )
    }

    /// Returns for how long the group has been unable to accept writes, or `None` if it can.
    pub(crate) fn active_for(&self, now: Instant) -> Option<Duration> {
        self.is_active().then(|| now.since(self.since))
    }

    /// Returns whether the other homes' opinions allow this home to propose a new term. A recent
    /// denial is overruled only by a majority of homes after [`OVERRULE_WAIT`]. Without one, a
    /// single confirmation suffices, or [`CONFIRM_WAIT`] without any.
    pub(crate) fn is_agreed(&self, now: Instant, homes: &[VmId]) -> bool {
        let confirmed = self.opinions.values().filter(|o| o.confirmed).count();
        let active_for = now.since(self.since);
        let denied = self
            .opinions
            .values()
            .any(|o| !o.confirmed && now.since(o.received) <= DENIAL_VALIDITY);
        if denied {
            return active_for >= OVERRULE_WAIT && (confirmed + 1) * 2 > homes.len();
        }
        confirmed > 0 || homes.len() <= 1 || active_for >= CONFIRM_WAIT
    }

    /// Starts to track another fault, or none, and drops the opinions of the previous one.
    fn set_fault(&mut self, fault: Option<PrimaryFault>, now: Instant, jitter: Duration) {
        self.fault = fault;
        self.since = now;
        self.jitter = jitter;
        self.opinions_requested = None;
        self.opinions.clear();
    }
}

impl Group {
    /// Detects faults, and asks the other homes about a primary that seems to be down or missing.
    pub(crate) fn suspect(&mut self, cx: &mut Cx<'_>, context: &GroupContext) {
        self.track_unreplicated();
        let fault = self.fault(context);
        if fault != self.suspicion.fault {
            let jitter = cx.random.jitter(crate::PROPOSAL_STAGGER / 4);
            self.suspicion.set_fault(fault, self.now, jitter);
            self.record_suspicion(cx);
        }
        self.suspicion.proposal_at = self.proposal_at(cx, context);
        match fault {
            Some(PrimaryFault::Down(term)) => self.ask_homes(cx, context, term),
            Some(PrimaryFault::Leaderless(term)) if term > Term(0) => {
                self.ask_homes(cx, context, term);
            }
            _ => {}
        }
    }

    /// Returns the group's current fault, if any.
    fn fault(&self, context: &GroupContext) -> Option<PrimaryFault> {
        let highest = self.highest_term();
        let Some(leader) = self.leader().filter(|leader| leader.term == highest) else {
            return Some(PrimaryFault::Leaderless(highest));
        };
        if self.is_leader_down(&leader.server) {
            return Some(PrimaryFault::Down(leader.term));
        }
        if !self.is_open(leader.term) {
            return Some(PrimaryFault::Unopened(leader.term));
        }
        let leaving = context.leaving.contains(&leader.server);
        leaving.then_some(PrimaryFault::Leaving(leader.term))
    }

    /// Returns whether the primary counts as down or cut off from its replicas.
    fn is_leader_down(&self, server: &ServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|known| known.is_down(self.now))
            || self.is_stalled(server)
    }

    /// Returns whether the primary is cut off from its replicas: for [`STALL_UNTIL_DOWN`] a record
    /// of it has been held by no majority and no replica's log has changed.
    fn is_stalled(&self, leader: &ServerId) -> bool {
        let stuck = |at: Instant| self.now.since(at) >= STALL_UNTIL_DOWN;
        let unreplicated = self.suspicion.unreplicated.as_ref();
        let mut replicas = self.servers.iter().filter(|(id, _)| *id != leader);
        let still = |known: &KnownServer| known.log_changed.is_none_or(stuck);
        unreplicated.is_some_and(|known| stuck(known.since))
            && replicas.all(|(_, known)| still(known))
    }

    /// Remembers the primary's last record if no majority holds it, until a majority does or the
    /// term changes.
    fn track_unreplicated(&mut self) {
        let leader = self.leader();
        let held = leader.and_then(|leader| Some(self.status(&leader.server)?.held));
        let known = self
            .suspicion
            .unreplicated
            .as_ref()
            .map(|known| known.record);
        let pending = |record: TermPosition| {
            Some(record.term) == held.map(|held| held.term)
                && !matches!(self.holding(record), crate::Holding::Majority)
        };
        if known.is_some_and(pending) {
            return;
        }
        self.suspicion.unreplicated =
            held.filter(|held| pending(*held))
                .map(|record| UnreplicatedRecord {
                    record,
                    since: self.now,
                });
    }

    /// Records in the timeline that the primary is suspected.
    fn record_suspicion(&self, cx: &mut Cx<'_>) {
        if let (Some(PrimaryFault::Down(term)), Some(leader)) =
            (self.suspicion.fault, self.leader())
        {
            self.record(cx, TimelineKind::PrimarySuspected, &leader.server, term);
        }
    }

    /// Asks the other homes whether they find the primary down, at most once per
    /// [`OPINION_REQUEST_INTERVAL`].
    fn ask_homes(&mut self, cx: &mut Cx<'_>, context: &GroupContext, term: Term) {
        let due = self
            .suspicion
            .opinions_requested
            .map(|asked| asked + OPINION_REQUEST_INTERVAL);
        if due.is_some_and(|due| due > self.now) {
            return;
        }
        self.suspicion.opinions_requested = Some(self.now);
        for home in context.homes.iter().filter(|home| **home != cx.local.vm) {
            cx.send(
                home.clone(),
                PeerMessage::ConfirmSuspicion {
                    database: self.spec.name.clone(),
                    term,
                },
            );
        }
    }

    /// Answers another home that asks whether the primary of `term` is down: immediately if that is
    /// known, otherwise as soon as a new poll of the primary has ended. If this home does not know
    /// a primary of that term yet, it does not answer, and polls all servers if it knows an earlier
    /// one.
    pub fn on_confirm_suspicion(&mut self, cx: &mut Cx<'_>, from: &VmId, term: Term) {
        self.now = cx.now.instant;
        let Some(leader) = self.leader() else {
            return;
        };
        if leader.term > term {
            return self.answer(cx, from.clone(), leader.term, false);
        }
        if leader.term < term {
            return self.poll_all(cx);
        }
        if self.is_leader_down(&leader.server) {
            return self.answer(cx, from.clone(), term, true);
        }
        let waits = self
            .suspicion
            .requesters
            .iter()
            .any(|requester| requester.vm == *from);
        if !waits && self.suspicion.requesters.len() < REQUESTERS_MAX {
            self.suspicion.requesters.push(Requester {
                vm: from.clone(),
                term,
            });
        }
        self.poll(cx, &leader.server);
    }

    /// Answers the waiting homes once a request to the primary was answered or has failed. Here one
    /// failure is enough to confirm that the primary is down.
    pub(crate) fn answer_requesters(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(leader) = self.leader().filter(|leader| leader.server == *server) else {
            return;
        };
        let failing = self.servers.get(server).is_some_and(|s| s.failures > 0);
        let is_down = failing || self.is_leader_down(server);
        for requester in std::mem::take(&mut self.suspicion.requesters) {
            let confirmed = is_down && leader.term <= requester.term;
            self.answer(cx, requester.vm, leader.term.max(requester.term), confirmed);
        }
    }

    /// Sends this home's opinion of the primary to another home.
    fn answer(&self, cx: &mut Cx<'_>, to: VmId, term: Term, confirmed: bool) {
        cx.send(
            to,
            PeerMessage::Suspicion {
                database: self.spec.name.clone(),
                term,
                confirmed,
            },
        );
    }

    /// Handles another home's opinion.
    pub(crate) fn on_suspicion(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        from: &VmId,
        term: Term,
        confirmed: bool,
    ) {
        let context = self.context(fleet);
        self.handle_suspicion(cx, &context, from, term, confirmed);
    }

    /// Handles another home's opinion of the primary of `term`, or of that term's lack of a
    /// primary.
    pub fn handle_suspicion(
        &mut self,
        cx: &mut Cx<'_>,
        context: &GroupContext,
        from: &VmId,
        term: Term,
        confirmed: bool,
    ) {
        self.now = cx.now.instant;
        if term > self.highest_term() {
            self.poll_all(cx);
        }
        let asked = matches!(
            self.suspicion.fault,
            Some(PrimaryFault::Down(own) | PrimaryFault::Leaderless(own)) if own == term
        );
        if asked && context.homes.contains(from) {
            let received = self.now;
            let opinion = Opinion {
                confirmed,
                received,
            };
            self.suspicion.opinions.insert(from.clone(), opinion);
        }
        self.advance(cx, context);
    }

    /// Returns the times at which the next steps of handling a fault are due.
    pub(crate) fn suspicion_at(&self) -> impl Iterator<Item = Instant> {
        let suspicion = &self.suspicion;
        let is_faulty = suspicion.fault.is_some();
        [
            is_faulty.then_some(suspicion.proposal_at),
            is_faulty.then(|| suspicion.since + CONFIRM_WAIT),
            suspicion
                .opinions_requested
                .map(|asked| asked + OPINION_REQUEST_INTERVAL),
        ]
        .into_iter()
        .flatten()
    }
}
