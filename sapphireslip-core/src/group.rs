//! What a home knows of a database group: the servers' status, the primary and what is held.

use std::time::Duration;

use crate::derives::{data, key};
use crate::{
    CallId, Cx, DatabaseSpec, Fleet, GroupFailure, Instant, ServerId, ServerStatus, Term,
    TermPosition, VmId,
};

key! {
    /// Whether a record has reached a majority of the group's servers in its own term.
    pub enum Holding {
        /// A majority holds it: it outlives any primary.
        Majority,
        /// Not yet, as far as is known.
        Pending,
        /// A higher term has begun; whether the record is part of it must be learnt.
        Superseded,
    }

    /// Whether a server's reads see a record.
    pub enum Visibility {
        /// They do.
        Visible,
        /// Not yet, as far as is known.
        Behind,
        /// The record was on a branch that was lost.
        LostBranch,
    }
}

data! {
    /// The server that is believed to take writes.
    pub struct Primary {
        /// The server.
        pub server: ServerId,
        /// Its term.
        pub term: Term,
    }

    /// A database group as its home sees it.
    pub struct Group {
        spec: DatabaseSpec,
    }
}

impl Group {
    /// Returns a group of which nothing is known yet.
    #[must_use]
    pub fn new(spec: DatabaseSpec) -> Self {
        Self { spec }
    }

    /// Takes over a changed document.
    pub(crate) fn update(&mut self, _cx: &mut Cx<'_>, spec: DatabaseSpec) {
        self.spec = spec;
    }

    /// Returns the primary, once its term is open for writes.
    #[must_use]
    pub fn primary(&self) -> Option<Primary> {
        None
    }

    /// Returns whether a majority of the servers has lately answered, so that a write could be
    /// acknowledged.
    #[must_use]
    pub fn has_majority(&self, _now: Instant) -> bool {
        false
    }

    /// Returns when a refused write had best be tried again.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(200)
    }

    /// Returns the last known status of a server.
    #[must_use]
    pub fn status(&self, _server: &ServerId) -> Option<&ServerStatus> {
        None
    }

    /// Returns whether a majority holds a record.
    #[must_use]
    pub fn holding(&self, _record: TermPosition) -> Holding {
        Holding::Pending
    }

    /// Returns whether a server's reads see a record.
    #[must_use]
    pub fn visibility(&self, _server: &ServerId, _record: TermPosition) -> Visibility {
        Visibility::Behind
    }

    /// Returns how old a server's data may be at the most; none if nothing is known.
    #[must_use]
    pub fn staleness(&self, _server: &ServerId, _now: Instant) -> Option<Duration> {
        None
    }

    /// Returns the highest record that was confirmed by a majority asked after `since`: every write
    /// acknowledged before `since` is at or before it.
    #[must_use]
    pub fn confirmed_since(&self, _since: Instant) -> Option<TermPosition> {
        None
    }

    /// Asks a majority for its status anew, so that `confirmed_since(now)` will answer; one round
    /// serves all who wait.
    pub(crate) fn probe(&mut self, _cx: &mut Cx<'_>) {}

    /// Asks the replicas to report as soon as they hold a record.
    pub(crate) fn watch(&mut self, _cx: &mut Cx<'_>, _record: TermPosition) {}

    /// Notes a record that the primary reported with an answer.
    pub(crate) fn note_committed(&mut self, _server: &ServerId, _record: TermPosition) {}

    /// Notes that live traffic to a server worked.
    pub(crate) fn note_alive(&mut self, _cx: &mut Cx<'_>, _server: &ServerId) {}

    /// Notes that live traffic to a server failed.
    pub(crate) fn note_failed(&mut self, _cx: &mut Cx<'_>, _server: &ServerId) {}

    /// Takes the answer to a group request; returns false if the call is not this group's.
    pub(crate) fn on_reply(
        &mut self,
        _cx: &mut Cx<'_>,
        _fleet: Fleet<'_>,
        _call: CallId,
        _server: &ServerId,
        _result: &Result<ServerStatus, GroupFailure>,
    ) -> bool {
        false
    }

    /// Answers another home that asks whether the primary of `term` is gone.
    pub(crate) fn on_confirm_suspicion(&mut self, _cx: &mut Cx<'_>, _from: &VmId, _term: Term) {}

    /// Takes another home's answer.
    pub(crate) fn on_suspicion(
        &mut self,
        _cx: &mut Cx<'_>,
        _fleet: Fleet<'_>,
        _from: &VmId,
        _term: Term,
        _confirmed: bool,
    ) {
    }

    /// Learns that a primary was promoted.
    pub(crate) fn on_promoted(&mut self, _cx: &mut Cx<'_>, _term: Term) {}

    /// Polls, suspects and promotes as time passes.
    pub(crate) fn on_tick(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>) {}
}
