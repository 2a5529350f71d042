//! Whether a group's primary is gone, and what the other homes make of it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::derives::{data, key};
use crate::{
    Cx, Fleet, Group, Instant, KnownServer, PeerMessage, ServerId, Surroundings, Term,
    TermPosition, TimelineKind, VmId,
};

/// How long another home's "it is well" holds a proposal back.
pub const DENIAL_FRESH: Duration = Duration::from_millis(500);

/// Between two questions to the other homes.
pub const ASK_EVERY: Duration = Duration::from_millis(150);

/// How long to wait for the other homes before going on without them.
pub const CONFIRM_WAIT: Duration = Duration::from_millis(400);

/// After how long a majority of homes overrules one that finds the primary well.
pub const OVERRULE_WAIT: Duration = Duration::from_secs(2);

/// How long a record of the primary may reach no majority, with no replica moving, until the
/// primary counts as cut off.
pub const STALL_GONE: Duration = Duration::from_secs(3);

/// The most homes that wait for an answer about the primary.
pub const ASKERS_MAX: usize = 16;

key! {
    /// What keeps a group from taking writes, or soon will.
    pub enum Trouble {
        /// No server leads the highest term.
        Leaderless(Term),
        /// The primary of a term is gone.
        Gone(Term),
        /// The primary of a term leads, but no majority holds its start yet.
        Unopened(Term),
        /// The primary of a term is to get no new work.
        Leaving(Term),
    }

    /// What another home last said of the primary.
    pub struct Opinion {
        /// Whether it finds the primary gone.
        pub confirmed: bool,
        /// When its answer came.
        pub heard: Instant,
    }
}

data! {
    /// What is suspected, and what others say.
    #[derive(Default)]
    pub struct Suspicion {
        /// The trouble, if any.
        pub(crate) trouble: Option<Trouble>,
        /// When this trouble was first seen.
        pub(crate) since: Instant,
        /// A share of the delay that differs from home to home.
        pub(crate) jitter: Duration,
        /// When this home may propose, as far as its rank goes.
        pub(crate) turn: Instant,
        asked: Option<Instant>,
        opinions: BTreeMap<VmId, Opinion>,
        askers: Vec<Asker>,
        unheld: Option<Unheld>,
    }

    /// A home that waits for an answer.
    struct Asker {
        vm: VmId,
        term: Term,
    }

    /// A record of the primary that was not held by a majority when it was first seen.
    struct Unheld {
        record: TermPosition,
        since: Instant,
    }
}

impl Suspicion {
    /// Returns whether writes can't be taken.
    pub(crate) const fn is_active(&self) -> bool {
        matches!(
            self.trouble,
            Some(Trouble::Leaderless(_) | Trouble::Gone(_) | Trouble::Unopened(_))
        )
    }

    /// Returns for how long writes could not be taken.
    pub(crate) fn lasting(&self, now: Instant) -> Option<Duration> {
        self.is_active().then(|| now.since(self.since))
    }

    /// Returns whether the other homes leave a proposal to this one.
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

    fn enter(&mut self, trouble: Option<Trouble>, now: Instant, jitter: Duration) {
        self.trouble = trouble;
        self.since = now;
        self.jitter = jitter;
        self.asked = None;
        self.opinions.clear();
    }
}

impl Group {
    /// Looks for trouble, and asks the other homes about a primary that seems gone.
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

    fn is_leader_gone(&self, server: &ServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|known| known.is_gone(self.now))
            || self.is_stalled(server)
    }

    /// Returns whether the primary answers but its records reach no majority, and no replica moves.
    fn is_stalled(&self, leader: &ServerId) -> bool {
        let stuck = |at: Instant| self.now.since(at) >= STALL_GONE;
        let unheld = self.suspicion.unheld.as_ref();
        let mut replicas = self.servers.iter().filter(|(id, _)| *id != leader);
        let still = |known: &KnownServer| known.moved.is_none_or(stuck);
        unheld.is_some_and(|unheld| stuck(unheld.since)) && replicas.all(|(_, known)| still(known))
    }

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

    fn record_suspicion(&self, cx: &mut Cx<'_>) {
        if let (Some(Trouble::Gone(term)), Some(leader)) = (self.suspicion.trouble, self.leader()) {
            self.record(cx, TimelineKind::PrimarySuspected, &leader.server, term);
        }
    }

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

    /// Answers another home that asks whether the primary of `term` is gone, at once if that is
    /// known, else as soon as a fresh poll has shown it.
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

    /// Answers the homes that wait, now that a server's reply or silence is known.
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

    /// Takes another home's answer.
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

    /// Takes another home's answer, as [`Self::advance`] does the time.
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

    /// Returns when the next step of a suspicion is due.
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
