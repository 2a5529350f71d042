//! What every part of the reducer is given along with its event.

use std::net::SocketAddr;

use crate::derives::data;
use crate::{
    BackendEffect, CallId, CallerEffect, Configuration, Effect, Incarnation, Instant, Membership,
    Now, PeerMessage, PlatformEffect, Random, TimelineEntry, VmId, ZoneName,
};

data! {
    /// Who this daemon is.
    pub struct Local {
        /// The VM it runs on.
        pub vm: VmId,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Where it takes calls from peers.
        pub address: SocketAddr,
        /// Its run.
        pub incarnation: Incarnation,
    }

    /// A message that is to be sent once the receiver's address is looked up.
    pub struct Outgoing {
        /// The receiver.
        pub to: VmId,
        /// The message.
        pub message: PeerMessage,
    }
}

/// The context of one event: the time, this daemon, randomness and the effects so far.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The time that came in with the event.
    pub now: Now,
    /// Who this daemon is.
    pub local: &'a Local,
    /// Seeded randomness.
    pub random: &'a mut Random,
    /// The next group call's number, unique over the daemon.
    pub next_call: &'a mut CallId,
    /// The effects so far.
    pub effects: &'a mut Vec<Effect>,
    /// Messages to peers so far.
    pub outgoing: &'a mut Vec<Outgoing>,
}

/// What is known of the other VMs and of the configuration, for parts that only read it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// The other VMs.
    pub membership: &'a Membership,
    /// The documents in force.
    pub configuration: &'a Configuration,
}

impl Cx<'_> {
    /// Adds an effect at the caller edge.
    pub(crate) fn caller(&mut self, effect: CallerEffect) {
        self.effects.push(Effect::Caller(effect));
    }

    /// Adds an effect at the backend edge.
    pub(crate) fn backend(&mut self, effect: BackendEffect) {
        self.effects.push(Effect::Backend(effect));
    }

    /// Adds an effect at the platform edge.
    pub(crate) fn platform(&mut self, effect: PlatformEffect) {
        self.effects.push(Effect::Platform(effect));
    }

    /// Sends a message to a peer, or to this daemon itself.
    pub(crate) fn send(&mut self, to: VmId, message: PeerMessage) {
        self.outgoing.push(Outgoing { to, message });
    }

    /// Adds an entry to the time line.
    pub(crate) fn record(&mut self, entry: TimelineEntry) {
        self.effects.push(Effect::Record(entry));
    }

    /// Takes a number for a group call.
    pub(crate) fn take_call(&mut self) -> CallId {
        let call = *self.next_call;
        self.next_call.0 += 1;
        call
    }

    /// Asks for a tick at `instant`.
    pub(crate) fn wake_at(&mut self, instant: Instant) {
        self.effects.push(Effect::WakeAt(instant));
    }
}
