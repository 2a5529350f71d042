//! How a home makes another server primary: fence a majority, choose, promote, and open.
//!
//! Each step is safe at any later time: a server takes a promotion only while it is fenced at just
//! that term, and a home never orders two promotions in one term.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::derives::data;
use crate::{
    CallKind, Cx, FENCE_TIMEOUT, Group, GroupFailure, Instant, PROMOTE_TIMEOUT, PeerMessage,
    ServerId, ServerRole, ServerStatus, Surroundings, Term, TimelineKind, Trouble,
};

/// Between the turns of two homes to propose.
pub const STAGGER: Duration = Duration::from_millis(120);

/// Between the turns of two homes to hand over from a leaving primary.
pub const HANDOVER_STAGGER: Duration = Duration::from_secs(2);

/// How long a term without a primary is left to the home that fenced it.
pub const RACE_WAIT: Duration = Duration::from_millis(400);

/// Within what time a server must have answered to count as reachable.
pub const REACH_WINDOW: Duration = Duration::from_millis(1500);

/// How long a hand-over waits for more than a majority of fences.
pub const GATHER_WAIT: Duration = Duration::from_millis(200);

/// How long the home that promoted waits for a majority to hold the term's start.
pub const OPEN_WAIT: Duration = Duration::from_secs(2);

/// The least pause after a proposal that failed; it doubles up to [`BACKOFF_MAX`].
pub const BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause after a proposal that failed.
pub const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Between two orders to follow to one server that does not come to.
pub const FOLLOW_RETRY: Duration = Duration::from_secs(1);

data! {
    /// A home's attempts to make a server primary.
    #[derive(Default)]
    pub struct Promotion {
        stage: Stage,
        /// The highest term that this home ever proposed: none is proposed twice.
        proposed: Term,
        retry_at: Instant,
        attempts: u32,
    }

    /// How far an attempt has come.
    #[derive(Default)]
    enum Stage {
        #[default]
        Idle,
        Fencing(Fencing),
        Promoting { term: Term, until: Instant },
        Opening { term: Term, until: Instant },
    }

    /// A term that is being fenced.
    struct Fencing {
        term: Term,
        /// The server that is to be replaced, though it may answer.
        replaces: Option<ServerId>,
        /// Whether that one does answer, so that more than a majority is worth a wait.
        planned: bool,
        since: Instant,
        granted: BTreeMap<ServerId, ServerStatus>,
        waiting: BTreeSet<ServerId>,
    }
}

impl Promotion {
    /// Returns whether an attempt is under way.
    pub(crate) const fn is_running(&self) -> bool {
        !matches!(self.stage, Stage::Idle)
    }

    /// Returns when the attempt has to be looked at again.
    pub(crate) fn due(&self) -> Option<Instant> {
        Some(match &self.stage {
            Stage::Idle => self.retry_at,
            Stage::Fencing(fencing) if fencing.planned => fencing.since + GATHER_WAIT,
            Stage::Fencing(fencing) => fencing.until(),
            Stage::Promoting { until, .. } | Stage::Opening { until, .. } => *until,
        })
    }

    /// Ends the attempt: some term is open.
    pub(crate) fn succeed(&mut self) {
        self.stage = Stage::Idle;
        self.attempts = 0;
    }

    fn give_up(&mut self, cx: &mut Cx<'_>) {
        let pause = BACKOFF.saturating_mul(1 << self.attempts.min(8));
        self.stage = Stage::Idle;
        self.attempts = self.attempts.saturating_add(1);
        self.retry_at = cx.now.instant + cx.random.jitter(pause.min(BACKOFF_MAX));
    }
}

impl Fencing {
    fn until(&self) -> Instant {
        self.since + FENCE_TIMEOUT
    }

    /// Returns whether enough servers were fenced to choose among them now.
    fn is_decidable(&self, majority: usize, now: Instant) -> bool {
        let gathered = self.waiting.is_empty() || now.since(self.since) >= GATHER_WAIT;
        self.granted.len() >= majority && (gathered || !self.planned)
    }
}

/// Returns the server to promote: one whose log is at or past those of a majority, all fenced; an
/// avoided one only if there is no other.
///
/// ```
/// use std::collections::BTreeMap;
/// use sapphireslip_core::choose_primary;
/// assert_eq!(choose_primary(&BTreeMap::new(), 2, &[]), None);
/// ```
#[must_use]
pub fn choose_primary(
    fenced: &BTreeMap<ServerId, ServerStatus>,
    majority: usize,
    avoided: &[ServerId],
) -> Option<ServerId> {
    let covers = |held| fenced.values().filter(|s| s.held <= held).count();
    fenced
        .iter()
        .filter(|(_, status)| covers(status.held) >= majority)
        .max_by_key(|(id, status)| (!avoided.contains(id), status.held, Reverse(*id)))
        .map(|(id, _)| id.clone())
}

impl Group {
    /// Starts an attempt if it is this home's turn, and ends one that takes too long.
    pub(crate) fn promote_due(&mut self, cx: &mut Cx<'_>, around: &Surroundings) {
        let now = self.now;
        match &self.promotion.stage {
            Stage::Idle => {
                if self.may_propose(around) {
                    self.propose(cx);
                }
            }
            Stage::Fencing(fencing) => {
                if fencing.is_decidable(self.majority(), now) {
                    self.order_promotion(cx, around);
                } else if fencing.until() <= now {
                    self.promotion.give_up(cx);
                }
            }
            Stage::Promoting { until, .. } => {
                if *until <= now {
                    self.promotion.give_up(cx);
                }
            }
            Stage::Opening { term, until } => {
                if *until <= now || self.highest_term() > *term {
                    self.promotion.give_up(cx);
                }
            }
        }
    }

    /// Returns when it is this home's turn to propose.
    pub(crate) fn turn(&self, cx: &Cx<'_>, around: &Surroundings) -> Instant {
        let rank = self.rank(cx, around);
        let stagger = STAGGER * rank + self.suspicion.jitter;
        let delay = match self.suspicion.trouble {
            Some(Trouble::Leaderless(term)) if term > Term(0) => RACE_WAIT + stagger,
            Some(Trouble::Leaving(_)) => HANDOVER_STAGGER * rank,
            _ => stagger,
        };
        self.suspicion.since + delay
    }

    /// The order of the homes, turned by one with each term.
    fn rank(&self, cx: &Cx<'_>, around: &Surroundings) -> u32 {
        let mut homes: Vec<_> = around.homes.iter().collect();
        homes.sort();
        let Some(place) = homes.iter().position(|home| **home == cx.local.vm) else {
            return u32::try_from(homes.len()).unwrap_or(u32::MAX);
        };
        let count = homes.len() as u64;
        let rank = (place as u64 + count - self.highest_term().0 % count) % count;
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    fn may_propose(&self, around: &Surroundings) -> bool {
        let agreed = match self.suspicion.trouble {
            None | Some(Trouble::Unopened(_)) => false,
            Some(Trouble::Leaderless(Term(0))) => self.is_surveyed(),
            Some(Trouble::Leaderless(_)) => {
                self.is_surveyed() && self.suspicion.is_agreed(self.now, &around.homes)
            }
            Some(Trouble::Gone(_)) => self.suspicion.is_agreed(self.now, &around.homes),
            Some(Trouble::Leaving(_)) => self.has_successor(around),
        };
        agreed
            && self.suspicion.turn <= self.now
            && self.promotion.retry_at <= self.now
            && self.reachable() >= self.majority()
    }

    const fn is_leaderless(&self) -> bool {
        matches!(self.suspicion.trouble, Some(Trouble::Leaderless(_)))
    }

    /// Returns whether each server has answered or failed to: else one may lead unseen.
    fn is_surveyed(&self) -> bool {
        let known = |server: &crate::KnownServer| server.status.is_some() || server.failures > 0;
        self.servers.values().all(known)
    }

    fn reachable(&self) -> usize {
        let fresh = |at: Instant| self.now.since(at) <= REACH_WINDOW;
        self.servers
            .values()
            .filter(|server| server.failures == 0 && server.heard.is_some_and(fresh))
            .count()
    }

    /// Returns whether a server that stays was seen to hold all that the leaving primary did.
    fn has_successor(&self, around: &Surroundings) -> bool {
        let leader = self.leader();
        let held = leader.and_then(|leader| Some(self.status(&leader.server)?.held));
        let Some(held) = held else {
            return false;
        };
        let late = self.now.since(self.suspicion.since) >= OPEN_WAIT;
        self.servers.iter().any(|(id, server)| {
            let stays = !around.leaving.contains(id) && server.failures == 0;
            stays && (server.has_held(held) || late && server.status.is_some())
        })
    }

    fn propose(&mut self, cx: &mut Cx<'_>) {
        let term = Term(self.highest_term().max(self.promotion.proposed).0 + 1);
        let leader = self.leader().map(|leader| leader.server);
        let replaces = leader.filter(|_| !self.is_leaderless());
        let answers = |id| self.servers.get(id).is_some_and(|s| s.failures == 0);
        let planned = replaces.as_ref().is_some_and(answers);
        self.promotion.proposed = term;
        let servers: Vec<_> = self.servers.keys().cloned().collect();
        self.promotion.stage = Stage::Fencing(Fencing {
            term,
            replaces,
            planned,
            since: self.now,
            granted: BTreeMap::new(),
            waiting: servers.iter().cloned().collect(),
        });
        for server in servers {
            self.call(cx, &server, CallKind::Fence(term));
        }
    }

    /// Moves the attempt on with the reply to one of its calls.
    pub(crate) fn finish_promotion_call(
        &mut self,
        cx: &mut Cx<'_>,
        around: &Surroundings,
        server: &ServerId,
        kind: CallKind,
        result: &Result<ServerStatus, GroupFailure>,
    ) {
        match kind {
            CallKind::Fence(term) => self.finish_fence(cx, server, term, result),
            CallKind::Promote(term) => self.finish_promote(cx, around, server, term),
            CallKind::Poll | CallKind::Watch(_) | CallKind::Follow(_) => {}
        }
    }

    fn finish_fence(
        &mut self,
        cx: &mut Cx<'_>,
        server: &ServerId,
        term: Term,
        result: &Result<ServerStatus, GroupFailure>,
    ) {
        let majority = self.majority();
        let Stage::Fencing(fencing) = &mut self.promotion.stage else {
            return;
        };
        if fencing.term != term {
            return;
        }
        fencing.waiting.remove(server);
        if let Ok(status) = result
            && status.fenced == term
        {
            fencing.granted.insert(server.clone(), status.clone());
        }
        let refused = matches!(result, Err(GroupFailure::Refused(_)));
        if refused || fencing.granted.len() + fencing.waiting.len() < majority {
            self.promotion.give_up(cx);
        }
    }

    fn order_promotion(&mut self, cx: &mut Cx<'_>, around: &Surroundings) {
        let Stage::Fencing(fencing) = &self.promotion.stage else {
            return;
        };
        let term = fencing.term;
        let mut avoided = around.leaving.clone();
        avoided.extend(fencing.replaces.clone());
        let Some(server) = choose_primary(&fencing.granted, self.majority(), &avoided) else {
            return self.promotion.give_up(cx);
        };
        self.record(cx, TimelineKind::TermFenced, &server, term);
        self.promotion.stage = Stage::Promoting {
            term,
            until: self.now + PROMOTE_TIMEOUT,
        };
        self.call(cx, &server, CallKind::Promote(term));
    }

    fn finish_promote(
        &mut self,
        cx: &mut Cx<'_>,
        around: &Surroundings,
        server: &ServerId,
        term: Term,
    ) {
        if !matches!(self.promotion.stage, Stage::Promoting { term: own, .. } if own == term) {
            return;
        }
        let leads = self.servers.get(server).and_then(|known| known.leads());
        if leads != Some(term) {
            return self.promotion.give_up(cx);
        }
        self.record(cx, TimelineKind::PrimaryPromoted, server, term);
        self.promotion.stage = Stage::Opening {
            term,
            until: self.now + OPEN_WAIT,
        };
        if around.leaving.contains(server) {
            self.promotion.retry_at = self.now + HANDOVER_STAGGER;
        }
        for home in around.homes.iter().filter(|home| **home != cx.local.vm) {
            cx.send(
                home.clone(),
                PeerMessage::Promoted {
                    database: self.spec.name.clone(),
                    term,
                },
            );
        }
        self.watch_start(cx, server);
    }

    /// Asks to hear at once when the start of a new term is held.
    fn watch_start(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        if let Some(start) = self.status(server).map(|status| status.held) {
            self.watch(cx, start);
        }
    }

    /// Tells servers that don't follow the current primary to do so.
    pub(crate) fn follow_due(&mut self, cx: &mut Cx<'_>) {
        let highest = self.highest_term();
        let Some(leader) = self.leader().filter(|leader| leader.term == highest) else {
            return;
        };
        let strays: Vec<_> = self
            .servers
            .iter()
            .filter(|(id, _)| **id != leader.server)
            .filter(|(_, known)| known.failures == 0 && known.needs_follow(highest, self.now))
            .map(|(id, _)| id.clone())
            .collect();
        for server in strays {
            self.call(cx, &server, CallKind::Follow(highest));
            if let Some(known) = self.servers.get_mut(&server) {
                known.followed = Some((highest, cx.now.instant));
            }
        }
    }
}

impl crate::KnownServer {
    fn needs_follow(&self, term: Term, now: Instant) -> bool {
        let strays = self.status.as_ref().is_some_and(|status| {
            status.fenced < term || status.role == ServerRole::Primary || status.held.term < term
        });
        let ordered = self.followed.filter(|(followed, _)| *followed == term);
        let last = ordered.map(|(_, at)| self.moved.map_or(at, |moved| moved.max(at)));
        strays && last.is_none_or(|last| now.since(last) >= FOLLOW_RETRY)
    }
}
