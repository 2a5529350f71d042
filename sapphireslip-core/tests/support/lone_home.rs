//! One home whose servers' answers are given by hand.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{
    BackendEffect, CallId, Cx, Effect, Group, GroupFailure, GroupRequest, Incarnation, Instant,
    Local, Now, Position, Random, ServerId, ServerRole, ServerStatus, Surroundings, Term,
    TermPosition, VmId, ZoneName,
};

use super::world::spec;

pub struct LoneHome {
    pub group: Group,
    pub now: Duration,
    /// The plain polls that wait for an answer.
    pub polls: BTreeMap<ServerId, CallId>,
    /// Every request that was sent.
    pub sent: Vec<GroupRequest>,
    local: Local,
    random: Random,
    next_call: CallId,
}

pub fn at(term: u64, position: u64) -> TermPosition {
    TermPosition {
        term: Term(term),
        position: Position(position),
    }
}

pub fn id(name: &str) -> ServerId {
    ServerId::try_from(name).expect("a server")
}

/// A status whose reads see all that is held.
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

impl LoneHome {
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

    pub fn instant(&self) -> Instant {
        Instant {
            since_start: self.now,
        }
    }

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
            self.note(effect);
        }
        result
    }

    fn note(&mut self, effect: Effect) {
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

    pub fn tick(&mut self) {
        let surroundings = surroundings();
        self.with(|group, cx| group.advance(cx, &surroundings));
    }

    pub fn has_fenced(&self) -> bool {
        let fences = |request: &GroupRequest| matches!(request, GroupRequest::Fence { .. });
        self.sent.iter().any(fences)
    }

    pub fn probe(&mut self) {
        self.with(|group, cx| group.probe(cx));
    }

    /// Answers the outstanding poll of a server.
    pub fn answer(&mut self, server: &str, status: ServerStatus) {
        self.reply(server, Ok(status));
    }

    pub fn reply(&mut self, server: &str, result: Result<ServerStatus, GroupFailure>) {
        let call = self.polls.remove(&id(server)).expect("a poll on its way");
        let surroundings = surroundings();
        assert!(self.with(|group, cx| group.take_reply(cx, &surroundings, call, &result)));
    }
}

fn surroundings() -> Surroundings {
    Surroundings {
        homes: ["ha", "hb", "hc"]
            .iter()
            .map(|name| VmId::try_from(*name).expect("a VM"))
            .collect(),
        leaving: Vec::new(),
    }
}
