//! How documents get from the platform to every daemon.
//!
//! The relays of a zone read the platform's count of changes, fetch what is new and push it to
//! their zone. Every probe carries its sender's count, so whoever missed a push asks for it. A
//! relay that the platform does not answer asks the relays of other zones.

use std::time::Duration;

use crate::derives::data;
use crate::probe::pick;
use crate::{
    AcceptedDocument, ChangeCount, Configuration, Cx, Effect, Instant, Membership, PeerMessage,
    PlatformEffect, PlatformEvent, VmId, VmState,
};

/// The time between a relay's reads of the platform's count of changes.
pub const CHANGES_READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long the platform may take to answer a read before the next one is sent.
pub const PLATFORM_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the platform may give no answer before a relay asks the relays of other zones.
pub const PLATFORM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The mean time between a relay's questions to relays of other zones.
pub const REMOTE_ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long a peer may take to answer before another one is asked.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// The first time between two questions of a daemon that knows no document; it doubles.
pub const STARTUP_ASK_DELAY_MIN: Duration = Duration::from_millis(250);

/// The longest time between two questions of a daemon that knows no document.
pub const STARTUP_ASK_DELAY_MAX: Duration = Duration::from_secs(5);

/// The most documents in one message.
pub const DOCUMENTS_PER_MESSAGE: usize = 64;

/// The size in bytes after which a message takes no further document.
pub const DOCUMENTS_MESSAGE_MAX_BYTES: usize = 256 * 1024;

/// The most bytes of documents that a relay pushes to each VM of its zone unasked.
pub const PUSH_MAX_BYTES: usize = 16 * 1024;

/// The time after which a relay repeats the list of leaving servers, in case a push was lost.
pub const LEAVING_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The time after which a relay repeats a list that has long been without any server.
pub const LEAVING_EMPTY_REPEAT_INTERVAL: Duration = Duration::from_secs(60);

data! {
    /// What is asked of whom, and what is still to be pushed.
    #[derive(Default)]
    pub(crate) struct DocumentExchange {
        /// The highest count heard of.
        highest_known: ChangeCount,
        next_read: Option<Instant>,
        pending_read_sent: Option<Instant>,
        last_platform_answer: Option<Instant>,
        next_remote_ask: Option<Instant>,
        pending_ask_sent: Option<Instant>,
        next_startup_ask: Option<Instant>,
        startup_ask_delay: Option<Duration>,
        /// The count that peers of the zone had when they were last pushed to.
        push_since: Option<ChangeCount>,
        next_leaving_push: Option<Instant>,
        last_leaving_change: Option<Instant>,
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

    /// Returns the time between two repeats: to each peer of the zone a message and, as a rule, a
    /// stream for it.
    fn leaving_interval(&self, now: Instant) -> Duration {
        let changed = self.exchange.last_leaving_change;
        let is_new = changed.is_some_and(|at| now.since(at) < LEAVING_EMPTY_REPEAT_INTERVAL);
        if is_new || !self.leaving().is_empty() {
            LEAVING_REPEAT_INTERVAL
        } else {
            LEAVING_EMPTY_REPEAT_INTERVAL
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
        self.apply_documents(cx, documents);
        if let Some(last) = last.filter(|last| *last > before) {
            self.raise_changes(last);
            self.push_soon(cx, before);
            self.read_newer(cx, self.exchange.highest_known);
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
        self.exchange.pending_ask_sent = None;
        self.exchange.highest_known = self.exchange.highest_known.max(changes);
        self.apply_documents(cx, documents);
        // A message that leaves out what this daemon has not got brings it to no count.
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

    /// Learns from a probe how many changes a peer has in force.
    pub(crate) fn on_peer_changes(&mut self, cx: &mut Cx<'_>, from: &VmId, changes: ChangeCount) {
        self.exchange.highest_known = self.exchange.highest_known.max(changes);
        let asked = self.exchange.pending_ask_sent;
        let is_waiting = asked.is_some_and(|at| cx.now.instant.since(at) < ASK_TIMEOUT);
        if changes > self.changes() && !is_waiting {
            self.ask(cx, from);
        }
    }

    fn ask(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        self.exchange.pending_ask_sent = Some(cx.now.instant);
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

    /// Reports once that callers can be served.
    fn report_ready(&mut self, cx: &mut Cx<'_>, membership: &Membership) {
        let own = membership.record(membership.local());
        let is_leaving = own.is_some_and(|own| own.state == VmState::Leaving);
        let is_learnt = membership.is_learnt(cx.now.instant);
        if self.exchange.is_ready || is_leaving {
            return;
        }
        if self.is_known() && is_learnt {
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
            .next_leaving_push
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
        if let Some(vm) = peers.get(pick(cx, peers.len())) {
            membership.introduce(cx, vm);
            self.ask(cx, vm);
        }
    }

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

    /// Asks the relay of another zone if the platform does not answer.
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
        if let Some(vm) = relays.get(pick(cx, relays.len())) {
            self.ask(cx, vm);
        }
    }
}

fn send_to_zone(cx: &mut Cx<'_>, membership: &Membership, message: &PeerMessage) {
    for vm in membership.zone_peers() {
        cx.send(vm, message.clone());
    }
}
