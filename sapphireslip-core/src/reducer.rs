//! The reducer: the function that applies an event to the state of a daemon and returns the
//! effects.

use crate::derives::data;
use crate::{
    CallId, ClientEffect, Configuration, Cx, Drain, Effect, Entry, Event, Fleet, Homes, Local,
    Membership, Now, OperatorEvent, Outgoing, PeerMessage, PlatformEvent, Random, VmId, VmRecord,
};

data! {
    /// The complete state of a daemon.
    pub struct State {
        /// The identity of this daemon.
        pub local: Local,
        /// The random generator, seeded at the start.
        pub random: Random,
        /// The configuration documents in force.
        pub configuration: Configuration,
        /// The known VMs.
        pub membership: Membership,
        /// The sessions of the clients that are connected to this daemon.
        pub entry: Entry,
        /// The databases of which this daemon is a home.
        pub homes: Homes,
        /// The state of the daemon's graceful stop.
        pub drain: Drain,
        /// The number of the next group request.
        next_call: CallId,
        /// The versions to which the homes were last updated.
        synced: Versions,
    }

    /// The versions of the state that decides which homes this daemon has.
    #[derive(Default)]
    struct Versions {
        /// The version of the configuration.
        configuration: u64,
        /// The version of the membership.
        membership: u64,
    }
}

impl State {
    /// Returns the state of a daemon that has just started and knows only its settings.
    ///
    /// `seed` initializes the random generator, which is used for jitter; it should differ between
    /// daemons.
    #[must_use]
    pub fn new(local: Local, seeds: Vec<VmRecord>, seed: u64) -> Self {
        Self {
            membership: Membership::new(&local, seeds),
            local,
            random: Random::new(seed),
            configuration: Configuration::default(),
            entry: Entry::default(),
            homes: Homes::default(),
            drain: Drain::default(),
            next_call: CallId(0),
            synced: Versions::default(),
        }
    }
}

/// Applies one event and returns the effects to carry out, in order.
pub fn reduce(state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    let mut outgoing = Vec::new();
    step(state, now, event, &mut effects, &mut outgoing);
    deliver(state, now, &mut effects, outgoing);
    effects
}

/// Applies one event, adding its effects and its messages to peers to the given lists.
fn step(
    state: &mut State,
    now: Now,
    event: Event,
    effects: &mut Vec<Effect>,
    outgoing: &mut Vec<Outgoing>,
) {
    let State {
        local,
        random,
        configuration,
        membership,
        entry,
        homes,
        drain,
        next_call,
        synced,
    } = state;
    let cx = &mut Cx {
        now,
        local,
        random,
        next_call,
        effects,
        outgoing,
    };
    membership.changes = configuration.changes();
    match event {
        Event::Tick => {
            membership.on_tick(cx);
            configuration.on_tick(cx, membership);
            let fleet = Fleet {
                membership,
                configuration,
            };
            entry.on_tick(cx, fleet);
            homes.on_tick(cx, fleet);
        }
        Event::Client(event) => {
            entry.on_client(
                cx,
                Fleet {
                    membership,
                    configuration,
                },
                event,
            );
        }
        Event::Backend(event) => {
            homes.on_backend(
                cx,
                Fleet {
                    membership,
                    configuration,
                },
                event,
            );
        }
        Event::Peer { from, message } => {
            on_peer(cx, configuration, membership, entry, homes, &from, message);
        }
        Event::PeerLost { vm } => {
            membership.on_peer_lost(cx, &vm);
            entry.on_peer_lost(cx, &vm);
            homes.on_peer_lost(cx, &vm);
        }
        Event::Platform(PlatformEvent::Vms(records)) => membership.on_vms(cx, records),
        Event::Platform(event) => configuration.on_platform(cx, event),
        Event::Operator(OperatorEvent::Drain { bound }) => {
            drain.begin(cx, bound);
            cx.client(ClientEffect::StopListening);
            membership.leave(cx);
            entry.begin_drain(cx);
        }
    }
    let current = Versions {
        configuration: configuration.version(),
        membership: membership.version(),
    };
    if *synced != current {
        *synced = current;
        homes.sync(
            cx,
            Fleet {
                membership,
                configuration,
            },
        );
    }
    let is_idle = entry.is_idle() && homes.is_idle();
    if drain.is_past_bound(cx.now.instant) {
        entry.close_all(cx);
    }
    drain.on_tick(cx, is_idle);
}

/// Passes a peer's message to the part of the state that handles it.
fn on_peer(
    cx: &mut Cx<'_>,
    configuration: &mut Configuration,
    membership: &mut Membership,
    entry: &mut Entry,
    homes: &mut Homes,
    from: &VmId,
    message: PeerMessage,
) {
    membership.on_heard(cx, from);
    match message {
        PeerMessage::Request(request) => {
            homes.on_request(
                cx,
                Fleet {
                    membership,
                    configuration,
                },
                from,
                request,
            );
        }
        PeerMessage::Answer(answer) => {
            entry.on_answer(cx, from, answer);
        }
        PeerMessage::Cancel(request) => homes.on_cancel(cx, &request),
        PeerMessage::SessionClosed {
            incarnation,
            session,
        } => {
            homes.on_session_closed(cx, from, incarnation, session);
        }
        PeerMessage::Probe { changes, .. } | PeerMessage::ProbeAck { changes, .. } => {
            configuration.on_peer_changes(cx, from, changes);
            membership.on_peer(cx, from, message);
        }
        PeerMessage::ProbeFor { .. }
        | PeerMessage::ProbeForAck { .. }
        | PeerMessage::WantVms
        | PeerMessage::Vms(_) => membership.on_peer(cx, from, message),
        PeerMessage::WantDocuments { .. }
        | PeerMessage::Documents { .. }
        | PeerMessage::LeavingServers(_) => {
            configuration.on_peer(cx, membership, from, message);
        }
        PeerMessage::ConfirmSuspicion { .. }
        | PeerMessage::Suspicion { .. }
        | PeerMessage::Promoted { .. } => {
            homes.on_group_message(
                cx,
                Fleet {
                    membership,
                    configuration,
                },
                from,
                message,
            );
        }
    }
}

/// Turns messages into effects. A message whose receiver has no known address counts as lost;
/// messages that this loss causes are dropped if their receivers have none either.
fn deliver(state: &mut State, now: Now, effects: &mut Vec<Effect>, outgoing: Vec<Outgoing>) {
    let mut unknown = Vec::new();
    for Outgoing { to, message } in outgoing {
        match state.membership.address(&to) {
            Some(address) => effects.push(Effect::Send {
                to,
                address,
                message,
            }),
            None => unknown.push(to),
        }
    }
    unknown.sort();
    unknown.dedup();
    for vm in unknown {
        let mut outgoing = Vec::new();
        step(state, now, Event::PeerLost { vm }, effects, &mut outgoing);
        for Outgoing { to, message } in outgoing {
            if let Some(address) = state.membership.address(&to) {
                effects.push(Effect::Send {
                    to,
                    address,
                    message,
                });
            }
        }
    }
}
