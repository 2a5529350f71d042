//! The streams that are open to each peer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphireslip_core::{Incarnation, VmId};
use sapphireslip_wire::peer::Envelope;

/// The most streams kept for one peer: one of each side, and as many that take their place.
const LINKS_PER_PEER_MAX: usize = 4;

/// The delay before the second of two attempts in a row; it doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);

/// The longest delay before an attempt.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// How long a stream that carries requests may be unused: far longer than a home keeps an idle
/// transaction open.
pub const PEER_REQUESTS_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long any other stream may be unused.
pub const PEER_CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often the delay is doubled at the most.
const RETRY_DOUBLINGS_MAX: u32 = 16;

/// Who opened a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkOrigin {
    /// This daemon, towards an address.
    Ours(SocketAddr),
    /// The peer.
    Theirs,
}

/// What went over a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Carried {
    /// A request of this daemon.
    OwnRequest,
    /// The last part of the answer to one.
    LastAnswer,
    /// A part of an answer, or a request of the peer.
    RequestTraffic,
    /// Anything else.
    Control,
}

/// The sending side of one stream; the stream ends once no link to it is left.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// Its number, unique within this run of the daemon.
    pub(crate) number: u64,
    /// Messages that wait to be written.
    pub(crate) queue: flume::Sender<Envelope>,
    origin: LinkOrigin,
    incarnation: Option<Incarnation>,
    last_used: Instant,
    idle_timeout: Duration,
}

impl Link {
    fn record_use(&mut self, carried: Carried) {
        self.last_used = Instant::now();
        if carried != Carried::Control {
            self.idle_timeout = PEER_REQUESTS_IDLE_TIMEOUT;
        }
    }

    /// Greeted streams come first, and among them those that this daemon opened.
    fn preference(&self) -> (bool, bool) {
        (
            self.incarnation.is_some(),
            self.origin != LinkOrigin::Theirs,
        )
    }

    fn reaches(&self, address: SocketAddr) -> bool {
        match self.origin {
            LinkOrigin::Ours(to) => to == address,
            LinkOrigin::Theirs => true,
        }
    }
}

/// All streams, by peer.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    peers: BTreeMap<VmId, PeerState>,
    last_number: u64,
    /// Streams that were reported as lost before their end; each leaves at its end.
    reported_lost: BTreeSet<u64>,
}

#[derive(Debug, Default)]
struct PeerState {
    links: Vec<Link>,
    attempts_since_hello: u32,
    /// Requests of this daemon that the peer has not answered.
    outstanding: u32,
}

impl PeerState {
    const fn count(&mut self, carried: Carried) {
        match carried {
            Carried::OwnRequest => self.outstanding = self.outstanding.saturating_add(1),
            Carried::LastAnswer => self.outstanding = self.outstanding.saturating_sub(1),
            Carried::RequestTraffic | Carried::Control => {}
        }
    }
}

impl PeerLinks {
    /// Returns the stream to send on: one of ours to that address, or else one of the peer's.
    pub(crate) fn best(&self, vm: &VmId, address: SocketAddr) -> Option<Link> {
        let links = self.peers.get(vm)?.links.iter();
        // Of two that are as good, the later one.
        let best = links.filter(|link| link.reaches(address));
        best.max_by_key(|link| link.preference()).cloned()
    }

    /// Notes that a stream was used; returns whether it has not been given up.
    pub(crate) fn record_use(&mut self, vm: &VmId, number: u64, carried: Carried) -> bool {
        let Some(link) = self.link_mut(vm, number) else {
            return false;
        };
        link.record_use(carried);
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.count(carried);
        }
        true
    }

    /// Returns when a stream is to be ended unless it is used by then; none if it was given up.
    pub(crate) fn idle_deadline(&self, vm: &VmId, number: u64) -> Option<Instant> {
        let peer = self.peers.get(vm)?;
        let link = peer.links.iter().find(|link| link.number == number)?;
        // While an answer is outstanding the stream shows whether the peer is there.
        let since = match peer.outstanding {
            0 => link.last_used,
            _ => Instant::now(),
        };
        Some(since + link.idle_timeout)
    }

    /// Takes out a stream that is ended in good order; its loss is none.
    ///
    /// `farewell` is queued last; if there is no room for it the stream is in use and stays.
    pub(crate) fn end(&mut self, vm: &VmId, number: u64, farewell: Option<Envelope>) -> bool {
        let Some(link) = self.link_mut(vm, number) else {
            return false;
        };
        if farewell.is_some_and(|farewell| link.queue.try_send(farewell).is_err()) {
            return false;
        }
        self.detach(vm, number);
        true
    }

    fn link_mut(&mut self, vm: &VmId, number: u64) -> Option<&mut Link> {
        let links = &mut self.peers.get_mut(vm)?.links;
        links.iter_mut().find(|link| link.number == number)
    }

    /// Adds a stream.
    pub(crate) fn add(
        &mut self,
        vm: &VmId,
        origin: LinkOrigin,
        queue: flume::Sender<Envelope>,
    ) -> Link {
        self.last_number += 1;
        let link = Link {
            number: self.last_number,
            queue,
            origin,
            incarnation: None,
            last_used: Instant::now(),
            idle_timeout: PEER_CONTROL_IDLE_TIMEOUT,
        };
        let peer = self.peers.entry(vm.clone()).or_default();
        if peer.links.len() == LINKS_PER_PEER_MAX {
            peer.links.remove(0);
        }
        peer.links.push(link.clone());
        link
    }

    /// Notes the greeting of a stream, and gives up streams of earlier runs of the peer; returns
    /// whether there were any, so that the caller reports the peer as lost.
    pub(crate) fn record_hello(
        &mut self,
        vm: &VmId,
        number: u64,
        incarnation: Incarnation,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else {
            return false;
        };
        peer.attempts_since_hello = 0;
        let is_earlier = |link: &mut Link| link.incarnation.is_some_and(|run| run < incarnation);
        let earlier: Vec<_> = peer.links.extract_if(.., is_earlier).collect();
        for link in peer.links.iter_mut().filter(|link| link.number == number) {
            link.incarnation = Some(incarnation);
        }
        let replaced = !earlier.is_empty();
        self.reported_lost
            .extend(earlier.iter().map(|link| link.number));
        replaced
    }

    /// Gives up a stream before its end; the caller reports the peer as lost.
    pub(crate) fn give_up(&mut self, vm: &VmId, number: u64) {
        self.detach(vm, number);
        self.reported_lost.insert(number);
    }

    /// Removes a stream that has ended; returns whether its loss has yet to be reported.
    pub(crate) fn remove(&mut self, vm: &VmId, number: u64) -> bool {
        self.detach(vm, number);
        !self.reported_lost.remove(&number)
    }

    fn detach(&mut self, vm: &VmId, number: u64) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.links.retain(|link| link.number != number);
            if peer.links.is_empty() {
                peer.outstanding = 0;
            }
        }
    }

    /// Returns how long to wait before opening a stream: nothing unless attempts failed in a row.
    pub(crate) fn next_connect_delay(&mut self, vm: &VmId) -> Duration {
        let peer = self.peers.entry(vm.clone()).or_default();
        let attempts_since_hello = peer.attempts_since_hello;
        peer.attempts_since_hello = attempts_since_hello.saturating_add(1);
        if attempts_since_hello == 0 {
            return Duration::ZERO;
        }
        let doublings = (attempts_since_hello - 1).min(RETRY_DOUBLINGS_MAX);
        let delay = RETRY_DELAY_MIN.saturating_mul(1 << doublings);
        delay.min(RETRY_DELAY_MAX)
    }

    /// Returns how many streams there are.
    pub(crate) fn len(&self) -> usize {
        self.peers.values().map(|peer| peer.links.len()).sum()
    }
}
