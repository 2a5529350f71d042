//! How documents get from the platform to every daemon.
//!
//! The relays of a zone read the platform's count of changes, fetch what is new and push it to
//! their zone. Every probe carries its sender's count, so whoever missed a push asks for it. A
//! relay that the platform does not answer asks the relays of other zones.

use std::time::Duration;

use crate::derives::data;
use crate::probe::random_index;
use crate::{
    AcceptedDocument, ChangeCount, Configuration, Cx, Effect, Instant, Membership, PeerMessage,
    PlatformEffect, PlatformEvent, VmId, VmState,
};

/// The time between a relay's reads of the platform's count of changes.
pub const CHANGES_READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long the platform may take to answer a read before the next one is sent.
pub const PLATFORM_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the platform may give no answer before a relay asks the relays of other zones.
pub const PLATFORM_SILENCE: Duration = Duration::from_millis(1500);

/// The mean time between a relay's questions to relays of other zones.
pub const FAR_ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long a peer may take to answer before another one is asked.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// The first time between two questions of a daemon that knows no document; it doubles.
pub const START_ASK_FIRST: Duration = Duration::from_millis(250);

/// The longest time between two questions of a daemon that knows no document.
pub const START_ASK_LAST: Duration = Duration::from_secs(5);

/// The most documents in one message.
pub const DOCUMENTS_PER_MESSAGE: usize = 64;

/// The size in bytes after which a message takes no further document.
pub const DOCUMENTS_MESSAGE_BYTES: usize = 256 * 1024;

/// The most bytes of documents that a relay pushes to each VM of its zone unasked.
pub const PUSH_MAX_BYTES: usize = 16 * 1024;

/// The time after which a relay repeats the list of leaving servers, in case a push was lost.
pub const LEAVING_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The time after which a relay repeats a list that has long been without any server.
pub const LEAVING_NONE_INTERVAL: Duration = Duration::from_secs(60);

data! {
    /// What is asked of whom, and what is still to be pushed.
    #[derive(Default)]
    pub(crate) struct DocumentExchange {
        /// The highest count heard of.
        highest: ChangeCount,
        read_at: Option<Instant>,
        read_sent: Option<Instant>,
        platform_answered: Option<Instant>,
        far_ask_at: Option<Instant>,
        asked_at: Option<Instant>,
        start_ask_at: Option<Instant>,
        start_delay: Option<Duration>,
        /// The count that peers of the zone had when they were last pushed to.
        push_since: Option<ChangeCount>,
        leaving_push_at: Option<Instant>,
        leaving_changed: Option<Instant>,
        is_ready: bool,
    }
}

/// Documents for one message.
struct Batch {
    documents: Vec<AcceptedDocument>,
    changes: ChangeCount,
}

impl Configuration {
    pub(crate) fn on_platform(&mut self, cx: &mut Cx<'_>, event: PlatformEvent) {
        let now = cx.now.instant;
        match event {
            PlatformEvent::Changes(Some(changes)) => {
                self.exchange.read_sent = None;
                self.exchange.platform_answered = Some(now);
                self.exchange.highest = self.exchange.highest.max(changes);
                self.read_newer(cx, changes);
            }
            PlatformEvent::Documents(Some(documents)) => {
                self.exchange.platform_answered = Some(now);
                self.on_platform_documents(cx, documents);
            }
            PlatformEvent::Changes(None) => self.exchange.read_sent = None,
            PlatformEvent::LeavingServers(servers) => {
                self.exchange.platform_answered = Some(now);
                if self.set_leaving(servers) {
                    self.exchange.leaving_push_at = Some(now);
                    self.exchange.leaving_changed = Some(now);
                    cx.wake_at(now);
                } else if self.exchange.leaving_push_at.is_none() {
                    let at = now + self.leaving_interval(now);
                    self.exchange.leaving_push_at = Some(at);
                    cx.wake_at(at);
                }
            }
            PlatformEvent::Documents(None) | PlatformEvent::Vms(_) => {}
        }
    }

    /// Returns the time between two repeats: to each peer of the zone a message and, as a rule, a
    /// stream for it.
    fn leaving_interval(&self, now: Instant) -> Duration {
        let changed = self.exchange.leaving_changed;
        let is_new = changed.is_some_and(|at| now.since(at) < LEAVING_NONE_INTERVAL);
        if is_new || !self.leaving().is_empty() {
            LEAVING_REPEAT_INTERVAL
        } else {
            LEAVING_NONE_INTERVAL
        }
    }

    fn read_newer(&self, cx: &mut Cx<'_>, changes: ChangeCount) {
        if changes > self.changes() {
            let since = self.changes();
            cx.platform(PlatformEffect::ReadDocuments { since });
        }
    }

    fn on_platform_documents(&mut self, cx: &mut Cx<'_>, documents: Vec<AcceptedDocument>) {
        let before = self.changes();
        let last = documents.iter().map(|document| document.change).max();
        self.take_documents(cx, documents);
        if let Some(last) = last.filter(|last| *last > before) {
            self.raise_changes(last);
            self.push_soon(cx, before);
            self.read_newer(cx, self.exchange.highest);
        }
    }

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
        self.exchange.asked_at = None;
        self.exchange.highest = self.exchange.highest.max(changes);
        self.take_documents(cx, documents);
        // A message that leaves out what this daemon has not got brings it to no count.
        if since <= before && changes > before {
            self.raise_changes(changes);
            let zone = membership.record(from).map(|record| &record.zone);
            if zone != Some(membership.zone()) && membership.is_relay() {
                self.push_soon(cx, before);
            }
        }
        if is_full || self.changes() < self.exchange.highest {
            self.ask(cx, from);
        }
    }

    /// Learns from a probe how many changes a peer has in force.
    pub(crate) fn on_peer_changes(&mut self, cx: &mut Cx<'_>, from: &VmId, changes: ChangeCount) {
        self.exchange.highest = self.exchange.highest.max(changes);
        let asked = self.exchange.asked_at;
        let is_waiting = asked.is_some_and(|at| cx.now.instant.since(at) < ASK_TIMEOUT);
        if changes > self.changes() && !is_waiting {
            self.ask(cx, from);
        }
    }

    fn ask(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        self.exchange.asked_at = Some(cx.now.instant);
        let since = self.changes();
        cx.send(vm.clone(), PeerMessage::WantDocuments { since });
    }

    /// Returns the oldest of the documents accepted after a count, as many as one message takes.
    fn batch(&self, since: ChangeCount) -> Batch {
        let newer = self.documents_since(since);
        let count = newer.len();
        let mut bytes = 0;
        let fits = |document: &&&AcceptedDocument| {
            let is_first = bytes == 0;
            bytes += document.text.len();
            is_first || bytes <= DOCUMENTS_MESSAGE_BYTES
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
        self.tick_ready(cx, membership);
        self.tick_push(cx, membership);
        self.tick_start(cx, membership);
        if membership.is_relay() {
            self.tick_read(cx);
            self.tick_far_ask(cx, membership);
        }
    }

    /// Reports once that callers can be served.
    fn tick_ready(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let own = membership.record(membership.local());
        let is_leaving = own.is_some_and(|own| own.state == VmState::Leaving);
        let is_vm_list_known = membership.is_vm_list_known(cx.now.instant);
        if self.exchange.is_ready || is_leaving {
            return;
        }
        if self.is_known() && is_vm_list_known {
            self.exchange.is_ready = true;
            cx.effects.push(Effect::Ready(true));
        }
    }

    /// Pushes what the platform, or another zone, has newly told this daemon.
    fn tick_push(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        if let Some(since) = self.exchange.push_since.take() {
            self.push(cx, membership, since);
        }
        let now = cx.now.instant;
        if self
            .exchange
            .leaving_push_at
            .take_if(|at| *at <= now)
            .is_some()
        {
            let message = PeerMessage::LeavingServers(self.leaving().to_vec());
            send_to_zone(cx, membership, &message);
        }
    }

    /// Pushes a small change; a large one, as after the start of a relay, is left to be asked for.
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

    /// Asks peers for all documents until some are known.
    fn tick_start(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let now = cx.now.instant;
        if self.is_known() {
            return;
        }
        if self.exchange.start_ask_at.is_some_and(|at| now < at) {
            return;
        }
        let delay = self.exchange.start_delay.unwrap_or(START_ASK_FIRST);
        let next = now + cx.random.jitter(delay);
        self.exchange.start_delay = Some((delay * 2).min(START_ASK_LAST));
        self.exchange.start_ask_at = Some(next);
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

    fn tick_read(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now.instant;
        if self.exchange.read_at.is_some_and(|at| now < at) {
            return;
        }
        let next = now + CHANGES_READ_INTERVAL;
        self.exchange.read_at = Some(next);
        cx.wake_at(next);
        let sent = self.exchange.read_sent;
        if sent.is_some_and(|at| now.since(at) < PLATFORM_READ_TIMEOUT) {
            return;
        }
        self.exchange.read_sent = Some(now);
        cx.platform(PlatformEffect::ReadChanges);
    }

    /// Asks the relay of another zone if the platform does not answer.
    fn tick_far_ask(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let now = cx.now.instant;
        let answered = self.exchange.platform_answered.unwrap_or_default();
        if now.since(answered) < PLATFORM_SILENCE {
            return;
        }
        if self.exchange.far_ask_at.is_some_and(|at| now < at) {
            return;
        }
        let next = now + cx.random.jitter(FAR_ASK_INTERVAL);
        self.exchange.far_ask_at = Some(next);
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
