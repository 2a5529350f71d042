//! A home's view of one group, where the test gives each server's answers.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{
    BackendEffect, CallId, Cx, Effect, Group, GroupContext, GroupFailure, GroupRequest,
    Incarnation, Instant, Local, Now, Position, Random, ServerId, ServerRole, ServerStatus, Term,
    TermPosition, VmId, ZoneName,
};

use super::world::spec;

/// A group at one home, with a clock that only the test moves.
pub struct SingleHome {
    /// The group under test.
    pub group: Group,
    /// The time since the clock's start.
    pub now: Duration,
    /// The last unanswered poll of each server: a status request that waits for no log position.
    pub polls: BTreeMap<ServerId, CallId>,
    /// All group requests sent so far, in order.
    pub sent: Vec<GroupRequest>,
    /// The daemon that is the home.
    local: Local,
    /// The source of randomness for the group.
    random: Random,
    /// The counter for the ids of calls.
    next_call: CallId,
}

/// Returns a log position.
pub fn at(term: u64, position: u64) -> TermPosition {
    TermPosition {
        term: Term(term),
        position: Position(position),
    }
}

/// Returns the id of a server.
pub fn id(name: &str) -> ServerId {
    ServerId::try_from(name).expect("a server")
}

/// Returns the status of a server that has applied all of the log that it holds.
pub fn status(
    role: ServerRole,
    fenced: u64,
    held: TermPosition,
    starts: &[TermPosition],
) -> ServerStatus {
    ServerStatus {
        role,
        fenced: Term(fenced),
        held,
        applied: held.position,
        term_starts: starts.to_vec(),
    }
}

impl SingleHome {
    /// Returns a home that has sent the first polls.
    pub fn new() -> Self {
        let mut home = Self {
            group: Group::new(spec()),
            now: Duration::from_secs(1),
            polls: BTreeMap::new(),
            sent: Vec::new(),
            local: Local {
                vm: VmId::try_from("ha").expect("a VM"),
                zone: ZoneName::try_from("a").expect("a zone"),
                address: ([127, 0, 0, 1], 7000).into(),
                incarnation: Incarnation(1),
            },
            random: Random::new(1),
            next_call: CallId(0),
        };
        home.tick();
        home
    }

    /// Returns the present time.
    pub fn instant(&self) -> Instant {
        Instant {
            since_start: self.now,
        }
    }

    /// Calls `f` with the group and a context, records the group requests that it sends, and
    /// returns its result.
    pub fn with<T>(&mut self, f: impl FnOnce(&mut Group, &mut Cx<'_>) -> T) -> T {
        let mut effects = Vec::new();
        let mut outgoing = Vec::new();
        let cx = &mut Cx {
            now: Now {
                instant: self.instant(),
                unix: self.now,
            },
            local: &self.local,
            random: &mut self.random,
            next_call: &mut self.next_call,
            effects: &mut effects,
            outgoing: &mut outgoing,
        };
        let result = f(&mut self.group, cx);
        for effect in effects {
            self.record_effect(effect);
        }
        result
    }

    /// Records an effect if it is a group request.
    fn record_effect(&mut self, effect: Effect) {
        let Effect::Backend(BackendEffect::Group {
            call,
            server,
            request,
            ..
        }) = effect
        else {
            return;
        };
        if request == (GroupRequest::Status { wait_for: None }) {
            self.polls.insert(server.id, call);
        }
        self.sent.push(request);
    }

    /// Lets the group do what is due at the present time.
    pub fn tick(&mut self) {
        let context = context();
        self.with(|group, cx| group.advance(cx, &context));
    }

    /// Returns whether the group has sent a fence request.
    pub fn has_fenced(&self) -> bool {
        let fences = |request: &GroupRequest| matches!(request, GroupRequest::Fence { .. });
        self.sent.iter().any(fences)
    }

    /// Makes the group probe its servers.
    pub fn probe(&mut self) {
        self.with(|group, cx| group.probe(cx));
    }

    /// Answers the outstanding poll of a server with a status.
    pub fn answer(&mut self, server: &str, status: ServerStatus) {
        self.reply(server, Ok(status));
    }

    /// Answers the outstanding poll of a server with a status or a failure; panics if there is
    /// none.
    pub fn reply(&mut self, server: &str, result: Result<ServerStatus, GroupFailure>) {
        let call = self.polls.remove(&id(server)).expect("an outstanding poll");
        let context = context();
        assert!(self.with(|group, cx| group.handle_reply(cx, &context, call, &result)));
    }
}

/// Returns three homes, of which `ha` is the one under test, and no leaving servers.
fn context() -> GroupContext {
    GroupContext {
        homes: ["ha", "hb", "hc"]
            .iter()
            .map(|name| VmId::try_from(*name).expect("a VM"))
            .collect(),
        leaving: Vec::new(),
    }
}
