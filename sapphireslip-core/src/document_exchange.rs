//! Distributes accepted documents from the platform to every daemon.
//!
//! The relays of a zone (see [`crate::RELAYS_PER_ZONE`]) poll the platform's change count, read new
//! documents and push them to their zone. Every membership probe carries its sender's change count,
//! so that a daemon that missed a push asks the sender for the documents. A relay that gets no
//! answer from the platform asks the relays of other zones.

use std::time::Duration;

use crate::derives::data;
use crate::probe::random_index;
use crate::{
    AcceptedDocument, ChangeCount, Configuration, Cx, Effect, Instant, Membership, PeerMessage,
    PlatformEffect, PlatformEvent, VmId, VmState,
};

/// The time between a relay's reads of the platform's count of changes.
pub const CHANGES_READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long a relay waits for the platform's answer to a read before it sends the next one.
pub const PLATFORM_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the platform may stay silent before a relay asks the relays of other zones.
pub const PLATFORM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The mean time between a relay's requests to relays of other zones.
pub const REMOTE_ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long a daemon waits for a peer's answer before it may ask another peer.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// The mean delay before a daemon that knows no document sends its second request; it doubles with
/// each request up to [`STARTUP_ASK_DELAY_MAX`].
pub const STARTUP_ASK_DELAY_MIN: Duration = Duration::from_millis(250);

/// The maximum mean delay between two requests of a daemon that knows no document.
pub const STARTUP_ASK_DELAY_MAX: Duration = Duration::from_secs(5);

/// The maximum number of documents in one message.
pub const DOCUMENTS_PER_MESSAGE: usize = 64;

/// The maximum size of the documents in one message, in bytes; a single larger document is sent
/// alone.
pub const DOCUMENTS_MESSAGE_MAX_BYTES: usize = 256 * 1024;

/// The maximum size of the documents that a relay pushes unasked to each VM of its zone, in bytes.
pub const PUSH_MAX_BYTES: usize = 16 * 1024;

/// The time after which a relay repeats the list of leaving servers, in case a push was lost.
pub const LEAVING_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The time after which a relay repeats an empty list of leaving servers that has not changed for
/// this long.
pub const LEAVING_EMPTY_REPEAT_INTERVAL: Duration = Duration::from_secs(60);

data! {
    /// The state of a daemon's reads, requests and pushes of documents.
    #[derive(Default)]
    pub(crate) struct DocumentExchange {
        /// The highest change count that the platform or a peer has reported.
        highest_known: ChangeCount,
        /// When the platform's change count is read next; `None` before the first read.
        next_read: Option<Instant>,
        /// When the read of the change count was sent that is still unanswered; `None` if there is
        /// none.
        pending_read_sent: Option<Instant>,
        /// When the platform last answered; `None` before its first answer.
        last_platform_answer: Option<Instant>,
        /// When a relay of another zone may be asked next; `None` before the first request.
        next_remote_ask: Option<Instant>,
        /// When the request to a peer was sent that is still unanswered; `None` if there is none.
        pending_ask_sent: Option<Instant>,
        /// When peers are asked next while no document is known; `None` before the first request.
        next_startup_ask: Option<Instant>,
        /// The mean delay after the next request while no document is known; `None` before the
        /// first.
        startup_ask_delay: Option<Duration>,
        /// The change count that the zone's peers are taken to have, from which the next push
        /// starts; `None` if nothing is to be pushed.
        push_since: Option<ChangeCount>,
        /// When the list of leaving servers is pushed next; `None` if no push is scheduled.
        next_leaving_push: Option<Instant>,
        /// When the platform's list of leaving servers last changed; `None` before the first
        /// change.
        last_leaving_change: Option<Instant>,
        /// Whether this daemon has reported that clients can be served; never reset.
        is_ready_reported: bool,
    }
}

/// The documents that fit into one message.
struct Batch {
    /// The documents, oldest change first.
    documents: Vec<AcceptedDocument>,
    /// The change count that the receiver has reached once it holds these documents.
    changes: ChangeCount,
}

impl Configuration {
    pub(crate) fn on_platform(&mut self, cx: &mut Cx<'_>, event: PlatformEvent) {
        let now = cx.now.instant;
        match event {
            PlatformEvent::Changes(Some(changes)) => {
                self.exchange.pending_read_sent = None;
                self.exchange.last_platform_answer = Some(now);
                self.exchange.highest_known = self.exchange.highest_known.max(changes);
                self.read_newer(cx, changes);
            }
            PlatformEvent::Documents(Some(documents)) => {
                self.exchange.last_platform_answer = Some(now);
                self.on_platform_documents(cx, documents);
            }
            PlatformEvent::Changes(None) => self.exchange.pending_read_sent = None,
            PlatformEvent::LeavingServers(servers) => {
                self.exchange.last_platform_answer = Some(now);
                if self.set_leaving(servers) {
                    self.exchange.next_leaving_push = Some(now);
                    self.exchange.last_leaving_change = Some(now);
                    cx.wake_at(now);
                } else if self.exchange.next_leaving_push.is_none() {
                    let at = now + self.leaving_interval(now);
                    self.exchange.next_leaving_push = Some(at);
                    cx.wake_at(at);
                }
            }
            PlatformEvent::Documents(None) | PlatformEvent::Vms(_) => {}
        }
    }

    /// Returns the time until the list of leaving servers is repeated. Each repeat costs a message,
    /// and usually a stream, to each peer of the zone.
    fn leaving_interval(&self, now: Instant) -> Duration {
        let changed = self.exchange.last_leaving_change;
        let is_new = changed.is_some_and(|at| now.since(at) < LEAVING_EMPTY_REPEAT_INTERVAL);
        if is_new || !self.leaving().is_empty() {
            LEAVING_REPEAT_INTERVAL
        } else {
            LEAVING_EMPTY_REPEAT_INTERVAL
        }
    }

    /// Reads the documents that this daemon lacks to reach a change count, if any.
    fn read_newer(&self, cx: &mut Cx<'_>, changes: ChangeCount) {
        if changes > self.changes() {
            let since = self.changes();
            cx.platform(PlatformEffect::ReadDocuments { since });
        }
    }

    fn on_platform_documents(&mut self, cx: &mut Cx<'_>, documents: Vec<AcceptedDocument>) {
        let before = self.changes();
        let last = documents.iter().map(|document| document.change).max();
        self.apply_documents(cx, documents);
        if let Some(last) = last.filter(|last| *last > before) {
            self.raise_changes(last);
            self.push_soon(cx, before);
            self.read_newer(cx, self.exchange.highest_known);
        }
    }

    /// Schedules a push of the documents accepted after `since`.
    fn push_soon(&mut self, cx: &mut Cx<'_>, since: ChangeCount) {
        let earlier = self.exchange.push_since.unwrap_or(since);
        self.exchange.push_since = Some(earlier.min(since));
        cx.wake_at(cx.now.instant);
    }

    pub(crate) fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        membership: &Membership,
        from: &VmId,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::WantDocuments { since } => self.on_want_documents(cx, from, since),
            PeerMessage::Documents {
                since,
                documents,
                changes,
            } => {
                self.on_peer_documents(cx, membership, from, since, documents, changes);
            }
            PeerMessage::LeavingServers(servers) => {
                self.set_leaving(servers);
            }
            _ => {}
        }
    }

    fn on_want_documents(&self, cx: &mut Cx<'_>, from: &VmId, since: ChangeCount) {
        let Batch { documents, changes } = self.batch(since);
        let answer = PeerMessage::Documents {
            since,
            documents,
            changes,
        };
        cx.send(from.clone(), answer);
        if !self.leaving().is_empty() {
            let servers = self.leaving().to_vec();
            cx.send(from.clone(), PeerMessage::LeavingServers(servers));
        }
    }

    fn on_peer_documents(
        &mut self,
        cx: &mut Cx<'_>,
        membership: &Membership,
        from: &VmId,
        since: ChangeCount,
        documents: Vec<AcceptedDocument>,
        changes: ChangeCount,
    ) {
        let before = self.changes();
        let is_full = documents.len() >= DOCUMENTS_PER_MESSAGE;
        self.exchange.pending_ask_sent = None;
        self.exchange.highest_known = self.exchange.highest_known.max(changes);
        self.apply_documents(cx, documents);
        // The message counts only if it starts at or before this daemon's change count: otherwise
        // documents in between may be missing.
        if since <= before && changes > before {
            self.raise_changes(changes);
            let zone = membership.record(from).map(|record| &record.zone);
            if zone != Some(membership.zone()) && membership.is_relay() {
                self.push_soon(cx, before);
            }
        }
        if is_full || self.changes() < self.exchange.highest_known {
            self.ask(cx, from);
        }
    }

    /// Records a peer's change count from a probe and asks the peer for documents if it has more.
    pub(crate) fn on_peer_changes(&mut self, cx: &mut Cx<'_>, from: &VmId, changes: ChangeCount) {
        self.exchange.highest_known = self.exchange.highest_known.max(changes);
        let asked = self.exchange.pending_ask_sent;
        let is_waiting = asked.is_some_and(|at| cx.now.instant.since(at) < ASK_TIMEOUT);
        if changes > self.changes() && !is_waiting {
            self.ask(cx, from);
        }
    }

    /// Asks a peer for the documents accepted after this daemon's change count.
    fn ask(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        self.exchange.pending_ask_sent = Some(cx.now.instant);
        let since = self.changes();
        cx.send(vm.clone(), PeerMessage::WantDocuments { since });
    }

    /// Returns the oldest documents accepted after a change count, as many as fit into one message.
    fn batch(&self, since: ChangeCount) -> Batch {
        let newer = self.documents_since(since);
        let count = newer.len();
        let mut bytes = 0;
        let fits = |document: &&&AcceptedDocument| {
            let is_first = bytes == 0;
            bytes += document.text.len();
            is_first || bytes <= DOCUMENTS_MESSAGE_MAX_BYTES
        };
        let first = newer.iter().take(DOCUMENTS_PER_MESSAGE).take_while(fits);
        let documents: Vec<_> = first
            .map(|document| AcceptedDocument::clone(document))
            .collect();
        let changes = match documents.last() {
            Some(last) if documents.len() < count => last.change,
            _ => self.changes(),
        };
        Batch { documents, changes }
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        self.report_ready(cx, membership);
        self.tick_push(cx, membership);
        self.tick_startup_ask(cx, membership);
        if membership.is_relay() {
            self.tick_read(cx);
            self.tick_remote_ask(cx, membership);
        }
    }

    /// Reports that clients can be served, once the documents and the VMs are known. The report is
    /// sent only once, and not by a daemon that is leaving.
    fn report_ready(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let own = membership.record(membership.local());
        let is_leaving = own.is_some_and(|own| own.state == VmState::Leaving);
        let is_vm_list_known = membership.is_vm_list_known(cx.now.instant);
        if self.exchange.is_ready_reported || is_leaving {
            return;
        }
        if self.is_known() && is_vm_list_known {
            self.exchange.is_ready_reported = true;
            cx.effects.push(Effect::Ready(true));
        }
    }

    /// Pushes news from the platform or from another zone to the peers of the zone.
    fn tick_push(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        if let Some(since) = self.exchange.push_since.take() {
            self.push(cx, membership, since);
        }
        let now = cx.now.instant;
        if self
            .exchange
            .next_leaving_push
            .take_if(|at| *at <= now)
            .is_some()
        {
            let message = PeerMessage::LeavingServers(self.leaving().to_vec());
            send_to_zone(cx, membership, &message);
        }
    }

    /// Pushes the documents accepted after a change count. Nothing is sent if they exceed
    /// [`PUSH_MAX_BYTES`], as after the start of a relay: peers then ask for what they lack.
    fn push(&self, cx: &mut Cx<'_>, membership: &Membership, since: ChangeCount) {
        let newer = self.documents_since(since);
        let bytes: usize = newer.iter().map(|document| document.text.len()).sum();
        if bytes > PUSH_MAX_BYTES {
            return;
        }
        let Batch { documents, changes } = self.batch(since);
        let message = PeerMessage::Documents {
            since,
            documents,
            changes,
        };
        send_to_zone(cx, membership, &message);
    }

    /// Asks peers for all documents while this daemon knows none.
    fn tick_startup_ask(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let now = cx.now.instant;
        if self.is_known() {
            return;
        }
        if self.exchange.next_startup_ask.is_some_and(|at| now < at) {
            return;
        }
        let delay = self
            .exchange
            .startup_ask_delay
            .unwrap_or(STARTUP_ASK_DELAY_MIN);
        let next = now + cx.random.jitter(delay);
        self.exchange.startup_ask_delay = Some((delay * 2).min(STARTUP_ASK_DELAY_MAX));
        self.exchange.next_startup_ask = Some(next);
        cx.wake_at(next);
        let mut peers = membership.zone_peers();
        if peers.is_empty() {
            peers = membership.foreign_relays();
        }
        if let Some(vm) = peers.get(random_index(cx, peers.len())) {
            membership.send_own_record(cx, vm);
            self.ask(cx, vm);
        }
    }

    /// Reads the platform's change count at its interval, unless a read that was sent less than
    /// [`PLATFORM_READ_TIMEOUT`] ago is still unanswered.
    fn tick_read(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.exchange.next_read.is_some_and(|at| now < at) {
            return;
        }
        let next = now + CHANGES_READ_INTERVAL;
        self.exchange.next_read = Some(next);
        cx.wake_at(next);
        let sent = self.exchange.pending_read_sent;
        if sent.is_some_and(|at| now.since(at) < PLATFORM_READ_TIMEOUT) {
            return;
        }
        self.exchange.pending_read_sent = Some(now);
        cx.platform(PlatformEffect::ReadChanges);
    }

    /// Asks a relay of another zone if the platform has been silent for too long.
    fn tick_remote_ask(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let now = cx.now.instant;
        let answered = self.exchange.last_platform_answer.unwrap_or_default();
        if now.since(answered) < PLATFORM_SILENCE_TIMEOUT {
            return;
        }
        if self.exchange.next_remote_ask.is_some_and(|at| now < at) {
            return;
        }
        let next = now + cx.random.jitter(REMOTE_ASK_INTERVAL);
        self.exchange.next_remote_ask = Some(next);
        cx.wake_at(next);
        let relays = membership.foreign_relays();
        if let Some(vm) = relays.get(random_index(cx, relays.len())) {
            self.ask(cx, vm);
        }
    }
}

fn send_to_zone(cx: &mut Cx<'_>, membership: &Membership, message: &PeerMessage) {
    for vm in membership.zone_peers() {
        cx.send(vm, message.clone());
    }
}
