//! Promotion of another server to primary: fences a majority of servers, chooses one, promotes it
//! and waits until the new term is open for writes.
//!
//! Each step is safe no matter how late it arrives: a server accepts a promotion only while it is
//! fenced at exactly that term, and a home never orders two promotions in one term.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::derives::data;
use crate::{
    CallKind, Cx, FENCE_TIMEOUT, Group, GroupContext, GroupFailure, Instant, PROMOTE_TIMEOUT,
    PeerMessage, PrimaryFault, ServerId, ServerRole, ServerStatus, Term, TimelineKind,
};

/// The delay between the proposals of two homes of neighboring rank.
pub const PROPOSAL_STAGGER: Duration = Duration::from_millis(120);

/// The delay between the proposals of two homes of neighboring rank to replace a leaving primary,
/// and the pause before the next proposal if the server that was promoted is leaving too.
pub const HANDOVER_STAGGER: Duration = Duration::from_secs(2);

/// How long a fenced term without a primary is left to the home that fenced it.
pub const RACE_WAIT: Duration = Duration::from_millis(400);

/// The time within which a server must have answered to count as reachable.
pub const REACH_WINDOW: Duration = Duration::from_millis(1500);

/// How long a planned handover waits for fences beyond a majority.
pub const GATHER_WAIT: Duration = Duration::from_millis(200);

/// How long the home that promoted a server waits for a majority to hold the term's first record.
pub const OPEN_WAIT: Duration = Duration::from_secs(2);

/// The pause after the first failed proposal; it doubles with each further one up to
/// [`BACKOFF_MAX`].
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// The maximum pause after a failed proposal.
pub const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// The interval between requests to follow the primary to a server that does not do so.
pub const FOLLOW_RETRY: Duration = Duration::from_secs(1);

data! {
    /// The state of a home's attempts to promote a server.
    #[derive(Default)]
    pub struct Promotion {
        /// The step that the current attempt has reached.
        stage: Stage,
        /// The highest term that this home has proposed; no term is proposed twice.
        highest_proposed: Term,
        /// The earliest time of the next proposal.
        retry_at: Instant,
        /// The number of failed attempts since a term was last open for writes.
        attempts: u32,
    }

    /// The steps of an attempt.
    #[derive(Default)]
    enum Stage {
        /// No attempt is running.
        #[default]
        Idle,
        /// Servers are being fenced at a new term.
        Fencing(Fencing),
        /// A server was asked to become primary and must do so before `until`.
        Promoting { term: Term, until: Instant },
        /// A server leads the term; a majority must hold the term's first record before `until`.
        Opening { term: Term, until: Instant },
    }

    /// An attempt whose term is being fenced.
    struct Fencing {
        /// The proposed term.
        term: Term,
        /// The primary to replace, if there is one; it may still be up.
        old_primary: Option<ServerId>,
        /// Whether the primary to replace still answers, so that it is worth waiting for more than
        /// a majority of fences.
        is_planned: bool,
        /// When the fence requests were sent.
        since: Instant,
        /// The servers that are fenced at the term, with their statuses.
        fenced_servers: BTreeMap<ServerId, ServerStatus>,
        /// The servers that have not answered the fence request yet.
        unanswered: BTreeSet<ServerId>,
    }
}

impl Promotion {
    /// Returns whether an attempt is running.
    pub(crate) const fn is_running(&self) -> bool {
        !matches!(self.stage, Stage::Idle)
    }

    /// Returns when the attempt must be checked again.
    pub(crate) fn due(&self) -> Option<Instant> {
        Some(match &self.stage {
            Stage::Idle => self.retry_at,
            Stage::Fencing(fencing) if fencing.is_planned => fencing.since + GATHER_WAIT,
            Stage::Fencing(fencing) => fencing.until(),
            Stage::Promoting { until, .. } | Stage::Opening { until, .. } => *until,
        })
    }

    /// Ends the attempt because a term is open for writes.
    pub(crate) fn succeed(&mut self) {
        self.stage = Stage::Idle;
        self.attempts = 0;
    }

    /// Ends the attempt as failed and sets the pause before the next one.
    fn give_up(&mut self, cx: &mut Cx<'_>) {
        let pause = BACKOFF_MIN.saturating_mul(1 << self.attempts.min(8));
        self.stage = Stage::Idle;
        self.attempts = self.attempts.saturating_add(1);
        self.retry_at = cx.now.instant + cx.random.jitter(pause.min(BACKOFF_MAX));
    }
}

impl Fencing {
    /// Returns when the fence requests time out.
    fn until(&self) -> Instant {
        self.since + FENCE_TIMEOUT
    }

    /// Returns whether enough servers are fenced to choose the new primary now.
    fn is_decidable(&self, majority: usize, now: Instant) -> bool {
        let gathered = self.unanswered.is_empty() || now.since(self.since) >= GATHER_WAIT;
        self.fenced_servers.len() >= majority && (gathered || !self.is_planned)
    }
}

/// Returns the server to promote, given the statuses of the servers that are fenced at the new
/// term: one whose log is at or past the logs of a majority. A server in `avoided` is chosen only
/// if there is no other; among the rest the longest log wins.
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
    /// Starts an attempt if this home may propose, chooses the new primary once enough servers are
    /// fenced, and ends an attempt that takes too long or, after its promotion, was superseded.
    pub(crate) fn promote_due(&mut self, cx: &mut Cx<'_>, context: &GroupContext) {
        let now = self.now;
        match &self.promotion.stage {
            Stage::Idle => {
                if self.may_propose(context) {
                    self.propose(cx);
                }
            }
            Stage::Fencing(fencing) => {
                if fencing.is_decidable(self.majority(), now) {
                    self.order_promotion(cx, context);
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

    /// Returns the time from which this home may propose.
    pub(crate) fn proposal_at(&self, cx: &Cx<'_>, context: &GroupContext) -> Instant {
        let rank = self.rank(cx, context);
        let stagger = PROPOSAL_STAGGER * rank + self.suspicion.jitter;
        let delay = match self.suspicion.fault {
            Some(PrimaryFault::Leaderless(term)) if term > Term(0) => RACE_WAIT + stagger,
            Some(PrimaryFault::Leaving(_)) => HANDOVER_STAGGER * rank,
            _ => stagger,
        };
        self.suspicion.since + delay
    }

    /// Returns this home's position in the order in which homes propose; the order rotates by one
    /// with each term.
    fn rank(&self, cx: &Cx<'_>, context: &GroupContext) -> u32 {
        let mut homes: Vec<_> = context.homes.iter().collect();
        homes.sort();
        let Some(place) = homes.iter().position(|home| **home == cx.local.vm) else {
            return u32::try_from(homes.len()).unwrap_or(u32::MAX);
        };
        let count = homes.len() as u64;
        let rank = (place as u64 + count - self.highest_term().0 % count) % count;
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns whether this home may propose a new term now.
    fn may_propose(&self, context: &GroupContext) -> bool {
        let agreed = match self.suspicion.fault {
            None | Some(PrimaryFault::Unopened(_)) => false,
            Some(PrimaryFault::Leaderless(Term(0))) => self.has_heard_from_all(),
            Some(PrimaryFault::Leaderless(_)) => {
                self.has_heard_from_all() && self.suspicion.is_agreed(self.now, &context.homes)
            }
            Some(PrimaryFault::Down(_)) => self.suspicion.is_agreed(self.now, &context.homes),
            Some(PrimaryFault::Leaving(_)) => self.has_successor(context),
        };
        agreed
            && self.suspicion.proposal_at <= self.now
            && self.promotion.retry_at <= self.now
            && self.reachable() >= self.majority()
    }

    /// Returns whether no server leads the highest term.
    const fn is_leaderless(&self) -> bool {
        matches!(self.suspicion.fault, Some(PrimaryFault::Leaderless(_)))
    }

    /// Returns whether every server has answered or failed to; otherwise one of them may be primary
    /// without this home knowing.
    fn has_heard_from_all(&self) -> bool {
        let known = |server: &crate::KnownServer| server.status.is_some() || server.failures > 0;
        self.servers.values().all(known)
    }

    /// Returns the number of servers that answered within [`REACH_WINDOW`] and have not failed
    /// since.
    fn reachable(&self) -> usize {
        let fresh = |at: Instant| self.now.since(at) <= REACH_WINDOW;
        self.servers
            .values()
            .filter(|server| server.failures == 0 && server.last_answer.is_some_and(fresh))
            .count()
    }

    /// Returns whether a server that is not leaving is known to hold all that the leaving primary
    /// holds. After [`OPEN_WAIT`] any such server that answers will do.
    fn has_successor(&self, context: &GroupContext) -> bool {
        let leader = self.leader();
        let held = leader.and_then(|leader| Some(self.status(&leader.server)?.held));
        let Some(held) = held else {
            return false;
        };
        let late = self.now.since(self.suspicion.since) >= OPEN_WAIT;
        self.servers.iter().any(|(id, server)| {
            let stays = !context.leaving.contains(id) && server.failures == 0;
            stays && (server.has_held(held) || late && server.status.is_some())
        })
    }

    /// Proposes a new term by sending a fence request to every server.
    fn propose(&mut self, cx: &mut Cx<'_>) {
        let term = Term(self.highest_term().max(self.promotion.highest_proposed).0 + 1);
        let leader = self.leader().map(|leader| leader.server);
        let old_primary = leader.filter(|_| !self.is_leaderless());
        let answers = |id| self.servers.get(id).is_some_and(|s| s.failures == 0);
        let is_planned = old_primary.as_ref().is_some_and(answers);
        self.promotion.highest_proposed = term;
        let servers: Vec<_> = self.servers.keys().cloned().collect();
        self.promotion.stage = Stage::Fencing(Fencing {
            term,
            old_primary,
            is_planned,
            since: self.now,
            fenced_servers: BTreeMap::new(),
            unanswered: servers.iter().cloned().collect(),
        });
        for server in servers {
            self.call(cx, &server, CallKind::Fence(term));
        }
    }

    /// Advances the attempt with the reply to one of its calls.
    pub(crate) fn finish_promotion_call(
        &mut self,
        cx: &mut Cx<'_>,
        context: &GroupContext,
        server: &ServerId,
        kind: CallKind,
        result: &Result<ServerStatus, GroupFailure>,
    ) {
        match kind {
            CallKind::Fence(term) => self.finish_fence(cx, server, term, result),
            CallKind::Promote(term) => self.finish_promote(cx, context, server, term),
            CallKind::Poll | CallKind::Watch(_) | CallKind::Follow(_) => {}
        }
    }

    /// Counts the reply to a fence request, and ends the attempt if a server refuses the fence,
    /// because it is fenced at this term or a higher one already, or if a majority cannot be
    /// reached any more.
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
        fencing.unanswered.remove(server);
        if let Ok(status) = result
            && status.fenced == term
        {
            fencing
                .fenced_servers
                .insert(server.clone(), status.clone());
        }
        let refused = matches!(result, Err(GroupFailure::Refused(_)));
        if refused || fencing.fenced_servers.len() + fencing.unanswered.len() < majority {
            self.promotion.give_up(cx);
        }
    }

    /// Chooses the new primary among the fenced servers and asks it to lead the term.
    fn order_promotion(&mut self, cx: &mut Cx<'_>, context: &GroupContext) {
        let Stage::Fencing(fencing) = &self.promotion.stage else {
            return;
        };
        let term = fencing.term;
        let mut avoided = context.leaving.clone();
        avoided.extend(fencing.old_primary.clone());
        let Some(server) = choose_primary(&fencing.fenced_servers, self.majority(), &avoided)
        else {
            return self.promotion.give_up(cx);
        };
        self.record(cx, TimelineKind::TermFenced, &server, term);
        self.promotion.stage = Stage::Promoting {
            term,
            until: self.now + PROMOTE_TIMEOUT,
        };
        self.call(cx, &server, CallKind::Promote(term));
    }

    /// Handles the reply to a promotion request and tells the other homes about a new primary.
    fn finish_promote(
        &mut self,
        cx: &mut Cx<'_>,
        context: &GroupContext,
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
        if context.leaving.contains(server) {
            self.promotion.retry_at = self.now + HANDOVER_STAGGER;
        }
        for home in context.homes.iter().filter(|home| **home != cx.local.vm) {
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

    /// Asks the replicas to report as soon as they hold the first record of the new term.
    fn watch_start(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        if let Some(start) = self.status(server).map(|status| status.held) {
            self.watch(cx, start);
        }
    }

    /// Asks servers that do not follow the current primary to do so.
    pub(crate) fn follow_due(&mut self, cx: &mut Cx<'_>) {
        let highest = self.highest_term();
        let Some(leader) = self.leader().filter(|leader| leader.term == highest) else {
            return;
        };
        let not_following: Vec<_> = self
            .servers
            .iter()
            .filter(|(id, _)| **id != leader.server)
            .filter(|(_, known)| known.failures == 0 && known.needs_follow(highest, self.now))
            .map(|(id, _)| id.clone())
            .collect();
        for server in not_following {
            self.call(cx, &server, CallKind::Follow(highest));
            if let Some(known) = self.servers.get_mut(&server) {
                known.follow_sent = Some((highest, cx.now.instant));
            }
        }
    }
}

impl crate::KnownServer {
    /// Returns whether a request to follow the primary of `term` should be sent to the server now.
    /// After such a request, another one is due only once the server's log has not changed for
    /// [`FOLLOW_RETRY`].
    fn needs_follow(&self, term: Term, now: Instant) -> bool {
        let not_following = self.status.as_ref().is_some_and(|status| {
            status.fenced < term || status.role == ServerRole::Primary || status.held.term < term
        });
        let ordered = self.follow_sent.filter(|(followed, _)| *followed == term);
        let last = ordered.map(|(_, at)| self.log_changed.map_or(at, |changed| changed.max(at)));
        not_following && last.is_none_or(|last| now.since(last) >= FOLLOW_RETRY)
    }
}
