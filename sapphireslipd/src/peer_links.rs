//! Bookkeeping of the streams that are open to each peer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphireslip_core::{Incarnation, VmId};
use sapphireslip_wire::peer::Envelope;

/// The maximum number of streams per peer: one opened by each side, and a replacement of each.
const LINKS_PER_PEER_MAX: usize = 4;

/// The delay before the second attempt in a row to open a stream; doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);

/// The maximum delay before an attempt to open a stream.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// How long a stream that has carried requests or answers may be idle: far longer than a home keeps
/// an idle transaction open.
pub const PEER_REQUESTS_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long any other stream may be idle.
pub const PEER_CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of times that the delay is doubled.
const RETRY_DOUBLINGS_MAX: u32 = 16;

/// The side that opened a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkOrigin {
    /// This daemon, to this address of the peer.
    Ours(SocketAddr),
    /// The peer.
    Theirs,
}

/// The kind of a message that was sent or received on a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessageKind {
    /// A request from this daemon.
    OwnRequest,
    /// The last part of the answer to a request from this daemon.
    LastAnswer,
    /// A request from the peer, or any other part of an answer.
    RequestTraffic,
    /// Any other message.
    Control,
}

/// The sending side of one stream; the stream is closed once all clones of its link are dropped.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// The number of the stream, unique within this run of the daemon.
    pub(crate) number: u64,
    /// The queue of messages to write.
    pub(crate) queue: flume::Sender<Envelope>,
    /// The side that opened the stream.
    origin: LinkOrigin,
    /// The run of the peer at the other end; `None` until its greeting has arrived.
    incarnation: Option<Incarnation>,
    /// When the stream was added or last carried a message.
    last_used: Instant,
    /// How long the stream may stay idle after `last_used`.
    idle_timeout: Duration,
}

impl Link {
    /// Records that the stream carried a message now, and how long it may be idle after that.
    fn record_use(&mut self, kind: MessageKind) {
        self.last_used = Instant::now();
        if kind != MessageKind::Control {
            self.idle_timeout = PEER_REQUESTS_IDLE_TIMEOUT;
        }
    }

    /// Returns the sort key of the choice of a stream: greeted ones are preferred, and among equals
    /// those that this daemon opened.
    fn preference(&self) -> (bool, bool) {
        (
            self.incarnation.is_some(),
            self.origin != LinkOrigin::Theirs,
        )
    }

    /// Returns whether the stream serves for messages to an address of the peer.
    fn reaches(&self, address: SocketAddr) -> bool {
        match self.origin {
            LinkOrigin::Ours(to) => to == address,
            LinkOrigin::Theirs => true,
        }
    }
}

/// The streams of this daemon by peer.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    peers: BTreeMap<VmId, PeerState>,
    /// The number of the stream added last.
    last_number: u64,
    /// The streams whose loss was reported before they ended; removed when they end.
    reported_lost: BTreeSet<u64>,
}

/// The streams to one peer.
#[derive(Debug, Default)]
struct PeerState {
    /// The streams, in the order in which they were added.
    links: Vec<Link>,
    /// The number of attempts to open a stream since the last greeting of the peer.
    attempts_since_hello: u32,
    /// The number of requests from this daemon that the peer has not answered completely; reset
    /// when the peer is reported as lost, which gives up all of them, or when no stream is left.
    outstanding: u32,
}

impl PeerState {
    /// Updates the number of outstanding requests for a message sent or received.
    const fn count_outstanding(&mut self, kind: MessageKind) {
        match kind {
            MessageKind::OwnRequest => self.outstanding = self.outstanding.saturating_add(1),
            MessageKind::LastAnswer => self.outstanding = self.outstanding.saturating_sub(1),
            MessageKind::RequestTraffic | MessageKind::Control => {}
        }
    }
}

impl PeerLinks {
    /// Returns the stream to send on: one that this daemon opened to `address` or one that the peer
    /// opened, by [`Link::preference`]; `None` if there is neither.
    pub(crate) fn best(&self, vm: &VmId, address: SocketAddr) -> Option<Link> {
        let links = self.peers.get(vm)?.links.iter();
        // Of several equally good streams `max_by_key` returns the latest.
        let best = links.filter(|link| link.reaches(address));
        best.max_by_key(|link| link.preference()).cloned()
    }

    /// Records that a stream was used; returns `false` if the stream was given up before.
    pub(crate) fn record_use(&mut self, vm: &VmId, number: u64, kind: MessageKind) -> bool {
        let Some(link) = self.link_mut(vm, number) else {
            return false;
        };
        link.record_use(kind);
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.count_outstanding(kind);
        }
        true
    }

    /// Returns when a stream is to be closed unless it is used before; `None` if it was given up.
    pub(crate) fn idle_deadline(&self, vm: &VmId, number: u64) -> Option<Instant> {
        let peer = self.peers.get(vm)?;
        let link = peer.links.iter().find(|link| link.number == number)?;
        // A stream with an outstanding answer stays open: its loss shows that the peer is gone.
        let since = match peer.outstanding {
            0 => link.last_used,
            _ => Instant::now(),
        };
        Some(since + link.idle_timeout)
    }

    /// Removes a stream that is closed with a farewell; its end is not a loss of the peer.
    ///
    /// Queues `farewell`, if given, as the last message. If the queue is full, the stream is in use
    /// and stays. Returns whether the stream was removed.
    pub(crate) fn close_with_farewell(
        &mut self,
        vm: &VmId,
        number: u64,
        farewell: Option<Envelope>,
    ) -> bool {
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

    /// Adds a stream, in place of the oldest one if the peer has [`LINKS_PER_PEER_MAX`].
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

    /// Records the greeting of a stream and gives up the streams of earlier runs of the peer.
    ///
    /// Returns whether there were any; the peer must then be reported as lost.
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
        let has_earlier_run = !earlier.is_empty();
        if has_earlier_run {
            peer.outstanding = 0;
        }
        self.reported_lost
            .extend(earlier.iter().map(|link| link.number));
        has_earlier_run
    }

    /// Removes a stream that has not ended yet; the peer must then be reported as lost.
    pub(crate) fn give_up(&mut self, vm: &VmId, number: u64) {
        self.detach(vm, number);
        self.forget_requests(vm);
        self.reported_lost.insert(number);
    }

    /// Removes a stream that has ended; returns whether its loss is still to be reported.
    pub(crate) fn remove_ended(&mut self, vm: &VmId, number: u64) -> bool {
        self.detach(vm, number);
        let is_unreported = !self.reported_lost.remove(&number);
        if is_unreported {
            self.forget_requests(vm);
        }
        is_unreported
    }

    /// Forgets the requests that a peer has not answered, as its loss gives them up.
    fn forget_requests(&mut self, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.outstanding = 0;
        }
    }

    /// Drops the link of a stream, which closes the stream once its queue is sent.
    fn detach(&mut self, vm: &VmId, number: u64) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.links.retain(|link| link.number != number);
            if peer.links.is_empty() {
                peer.outstanding = 0;
            }
        }
    }

    /// Returns how long to wait before opening a stream, and counts the attempt; zero for the first
    /// attempt since a greeting of the peer.
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

    /// Returns the number of streams to all peers.
    pub(crate) fn len(&self) -> usize {
        self.peers.values().map(|peer| peer.links.len()).sum()
    }
}
