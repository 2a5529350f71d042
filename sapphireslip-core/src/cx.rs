//! The context that every part of the reducer receives along with an event.

use std::net::SocketAddr;

use crate::derives::data;
use crate::{
    BackendEffect, CallId, ClientEffect, Configuration, Effect, Incarnation, Instant, Membership,
    Now, PeerMessage, PlatformEffect, Random, TimelineEntry, VmId, ZoneName,
};

data! {
    /// The identity of this daemon.
    pub struct Local {
        /// The VM on which the daemon runs.
        pub vm: VmId,
        /// The VM's availability zone.
        pub zone: ZoneName,
        /// The address at which the daemon accepts connections from peers.
        pub address: SocketAddr,
        /// The incarnation of the daemon; each run has a higher one.
        pub incarnation: Incarnation,
    }

    /// A message to a peer whose address has not been looked up yet.
    pub struct Outgoing {
        /// The VM whose daemon receives the message.
        pub to: VmId,
        /// The message to send.
        pub message: PeerMessage,
    }
}

/// The context of one event: the time, this daemon's identity, a random generator and the effects
/// so far.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The time at which the event was handed to the reducer.
    pub now: Now,
    /// The identity of this daemon.
    pub local: &'a Local,
    /// The daemon's seeded random generator.
    pub random: &'a mut Random,
    /// The number of the next group request, unique within the daemon.
    pub next_call: &'a mut CallId,
    /// The effects of the event so far.
    pub effects: &'a mut Vec<Effect>,
    /// The messages to peers so far.
    pub outgoing: &'a mut Vec<Outgoing>,
}

/// The known VMs and the configuration, for parts that only read them.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// The known VMs.
    pub membership: &'a Membership,
    /// The configuration documents in force.
    pub configuration: &'a Configuration,
}

impl Cx<'_> {
    /// Adds an effect on a client's connection.
    pub(crate) fn client(&mut self, effect: ClientEffect) {
        self.effects.push(Effect::Client(effect));
    }

    /// Adds an effect on a connection to a backend server.
    pub(crate) fn backend(&mut self, effect: BackendEffect) {
        self.effects.push(Effect::Backend(effect));
    }

    /// Adds a request to the platform.
    pub(crate) fn platform(&mut self, effect: PlatformEffect) {
        self.effects.push(Effect::Platform(effect));
    }

    /// Sends a message to a peer, or to this daemon itself.
    pub(crate) fn send(&mut self, to: VmId, message: PeerMessage) {
        self.outgoing.push(Outgoing { to, message });
    }

    /// Adds an entry to the timeline.
    pub(crate) fn record(&mut self, entry: TimelineEntry) {
        self.effects.push(Effect::Record(entry));
    }

    /// Assigns the number of a new group request.
    pub(crate) fn take_call(&mut self) -> CallId {
        let call = *self.next_call;
        self.next_call.0 += 1;
        call
    }

    /// Requests a tick at `instant`.
    pub(crate) fn wake_at(&mut self, instant: Instant) {
        self.effects.push(Effect::WakeAt(instant));
    }
}
