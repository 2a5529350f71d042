//! Detects that a group's primary has failed, and confirms it with the database's other homes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{
    Cx, Fleet, Group, Instant, KnownServer, PeerMessage, ServerId, Surroundings, Term,
    TermPosition, TimelineKind, VmId,
};

/// How long another home's answer that the primary is up delays a proposal.
pub const DENIAL_FRESH: Duration = Duration::from_millis(500);

/// The interval between requests for the other homes' opinions.
pub const ASK_EVERY: Duration = Duration::from_millis(150);

/// How long to wait for the other homes' opinions before proceeding without them.
pub const CONFIRM_WAIT: Duration = Duration::from_millis(400);

/// How long a fault must last before a majority of homes overrules one that finds the primary up.
pub const OVERRULE_WAIT: Duration = Duration::from_secs(2);

/// How long a record of the primary may be held by no majority, with no change in any replica's
/// log, before the primary counts as cut off from its replicas.
pub const STALL_GONE: Duration = Duration::from_secs(3);

/// The maximum number of homes that may wait for this home's opinion of the primary.
pub const ASKERS_MAX: usize = 16;

key! {
    /// A condition that prevents a group from accepting writes, or soon will.
    pub enum Trouble {
        /// No server leads the highest term, which is given here.
        Leaderless(Term),
        /// The primary of this term is down or cut off from its replicas.
        Gone(Term),
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
        pub heard: Instant,
    }
}

data! {
    /// The current fault of the group's primary and the other homes' opinions of it.
    #[derive(Default)]
    pub struct Suspicion {
        /// The current fault, if any.
        pub(crate) trouble: Option<Trouble>,
        /// When the current fault was first detected.
        pub(crate) since: Instant,
        /// A random part of the delay before a proposal, so that homes propose at different times.
        pub(crate) jitter: Duration,
        /// The time from which this home may propose a new term, given its rank among the homes.
        pub(crate) turn: Instant,
        /// When the other homes were last asked for their opinion of the current fault.
        asked: Option<Instant>,
        /// The other homes' latest answers about the current fault.
        opinions: BTreeMap<VmId, Opinion>,
        /// The homes that wait for this home's opinion.
        askers: Vec<Asker>,
        /// The tracked record of the primary that no majority holds yet, if any.
        unheld: Option<Unheld>,
    }

    /// A home that waits for this home's opinion of a primary.
    struct Asker {
        /// The home's VM.
        vm: VmId,
        /// The term of the primary that the home asked about.
        term: Term,
    }

    /// A record of the primary that no majority held when it was first seen.
    struct Unheld {
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
            self.trouble,
            Some(Trouble::Leaderless(_) | Trouble::Gone(_) | Trouble::Unopened(_))
        )
    }

    /// Returns for how long the group has been unable to accept writes, or `None` if it can.
    pub(crate) fn lasting(&self, now: Instant) -> Option<Duration> {
        self.is_active().then(|| now.since(self.since))
    }

    /// Returns whether the other homes' opinions allow this home to propose a new term.
    pub(crate) fn is_agreed(&self, now: Instant, homes: &[VmId]) -> bool {
        let confirmed = self.opinions.values().filter(|o| o.confirmed).count();
        let lasting = now.since(self.since);
        let denied = self
            .opinions
            .values()
            .any(|o| !o.confirmed && now.since(o.heard) <= DENIAL_FRESH);
        if denied {
            return lasting >= OVERRULE_WAIT && (confirmed + 1) * 2 > homes.len();
        }
        confirmed > 0 || homes.len() <= 1 || lasting >= CONFIRM_WAIT
    }

    /// Starts to track another fault, or none, and drops the opinions of the previous one.
    fn enter(&mut self, trouble: Option<Trouble>, now: Instant, jitter: Duration) {
        self.trouble = trouble;
        self.since = now;
        self.jitter = jitter;
        self.asked = None;
        self.opinions.clear();
    }
}

impl Group {
    /// Detects faults, and asks the other homes about a primary that seems to be down.
    pub(crate) fn suspect(&mut self, cx: &mut Cx<'_>, around: &Surroundings) {
        self.track_unheld();
        let trouble = self.trouble(around);
        if trouble != self.suspicion.trouble {
            let jitter = cx.random.jitter(crate::STAGGER / 4);
            self.suspicion.enter(trouble, self.now, jitter);
            self.record_suspicion(cx);
        }
        self.suspicion.turn = self.turn(cx, around);
        match trouble {
            Some(Trouble::Gone(term)) => self.ask_homes(cx, around, term),
            Some(Trouble::Leaderless(term)) if term > Term(0) => self.ask_homes(cx, around, term),
            _ => {}
        }
    }

    /// Returns the group's current fault, if any.
    fn trouble(&self, around: &Surroundings) -> Option<Trouble> {
        let highest = self.highest_term();
        let Some(leader) = self.leader().filter(|leader| leader.term == highest) else {
            return Some(Trouble::Leaderless(highest));
        };
        if self.is_leader_gone(&leader.server) {
            return Some(Trouble::Gone(leader.term));
        }
        if !self.is_open(leader.term) {
            return Some(Trouble::Unopened(leader.term));
        }
        let leaving = around.leaving.contains(&leader.server);
        leaving.then_some(Trouble::Leaving(leader.term))
    }

    /// Returns whether the primary counts as down or cut off from its replicas.
    fn is_leader_gone(&self, server: &ServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|known| known.is_gone(self.now))
            || self.is_stalled(server)
    }

    /// Returns whether the primary is cut off from its replicas: for [`STALL_GONE`] a record of it
    /// has been held by no majority and no replica's log has changed.
    fn is_stalled(&self, leader: &ServerId) -> bool {
        let stuck = |at: Instant| self.now.since(at) >= STALL_GONE;
        let unheld = self.suspicion.unheld.as_ref();
        let mut replicas = self.servers.iter().filter(|(id, _)| *id != leader);
        let still = |known: &KnownServer| known.moved.is_none_or(stuck);
        unheld.is_some_and(|unheld| stuck(unheld.since)) && replicas.all(|(_, known)| still(known))
    }

    /// Remembers the primary's last record if no majority holds it, until a majority does.
    fn track_unheld(&mut self) {
        let leader = self.leader();
        let held = leader.and_then(|leader| Some(self.status(&leader.server)?.held));
        let known = self.suspicion.unheld.as_ref().map(|unheld| unheld.record);
        let pending = |record: TermPosition| {
            Some(record.term) == held.map(|held| held.term)
                && !matches!(self.holding(record), crate::Holding::Majority)
        };
        if known.is_some_and(pending) {
            return;
        }
        self.suspicion.unheld = held.filter(|held| pending(*held)).map(|record| Unheld {
            record,
            since: self.now,
        });
    }

    /// Records in the timeline that the primary is suspected.
    fn record_suspicion(&self, cx: &mut Cx<'_>) {
        if let (Some(Trouble::Gone(term)), Some(leader)) = (self.suspicion.trouble, self.leader()) {
            self.record(cx, TimelineKind::PrimarySuspected, &leader.server, term);
        }
    }

    /// Asks the other homes whether they find the primary down, at most once per [`ASK_EVERY`].
    fn ask_homes(&mut self, cx: &mut Cx<'_>, around: &Surroundings, term: Term) {
        let due = self.suspicion.asked.map(|asked| asked + ASK_EVERY);
        if due.is_some_and(|due| due > self.now) {
            return;
        }
        self.suspicion.asked = Some(self.now);
        for home in around.homes.iter().filter(|home| **home != cx.local.vm) {
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
    /// known, otherwise as soon as a new poll of the primary has ended.
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
        if self.is_leader_gone(&leader.server) {
            return self.answer(cx, from.clone(), term, true);
        }
        let waits = self.suspicion.askers.iter().any(|asker| asker.vm == *from);
        if !waits && self.suspicion.askers.len() < ASKERS_MAX {
            self.suspicion.askers.push(Asker {
                vm: from.clone(),
                term,
            });
        }
        self.poll(cx, &leader.server);
    }

    /// Answers the waiting homes once a poll of the primary was answered or has failed.
    pub(crate) fn answer_askers(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(leader) = self.leader().filter(|leader| leader.server == *server) else {
            return;
        };
        let failing = self.servers.get(server).is_some_and(|s| s.failures > 0);
        let gone = failing || self.is_leader_gone(server);
        for asker in std::mem::take(&mut self.suspicion.askers) {
            let confirmed = gone && leader.term <= asker.term;
            self.answer(cx, asker.vm, leader.term.max(asker.term), confirmed);
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
        let around = self.surroundings(fleet);
        self.take_suspicion(cx, &around, from, term, confirmed);
    }

    /// Handles another home's opinion, like `on_suspicion`, with explicit [`Surroundings`].
    pub fn take_suspicion(
        &mut self,
        cx: &mut Cx<'_>,
        around: &Surroundings,
        from: &VmId,
        term: Term,
        confirmed: bool,
    ) {
        self.now = cx.now.instant;
        if term > self.highest_term() {
            self.poll_all(cx);
        }
        let asked = matches!(
            self.suspicion.trouble,
            Some(Trouble::Gone(own) | Trouble::Leaderless(own)) if own == term
        );
        if asked && around.homes.contains(from) {
            let heard = self.now;
            let opinion = Opinion { confirmed, heard };
            self.suspicion.opinions.insert(from.clone(), opinion);
        }
        self.advance(cx, around);
    }

    /// Returns the times at which the next steps of handling a fault are due.
    pub(crate) fn suspicion_at(&self) -> impl Iterator<Item = Instant> {
        let suspicion = &self.suspicion;
        let troubled = suspicion.trouble.is_some();
        [
            troubled.then_some(suspicion.turn),
            troubled.then(|| suspicion.since + CONFIRM_WAIT),
            suspicion.asked.map(|asked| asked + ASK_EVERY),
        ]
        .into_iter()
        .flatten()
    }
}
