//! The main loop of a daemon that is configured by service documents: owns the state, and passes
//! events to the reducer and its effects to the edges.

use std::collections::VecDeque;
use std::sync::Arc;

use sapphireslip_core::{
    BackendEffect, ClientEffect, Effect, Event, PlatformEffect, State, TimelineEntry, reduce,
};

use crate::{
    Clock, HybridClock, Metrics, PeerEdge, PendingReads, Readiness, ReadinessCell, Status,
    StatusQuery, TimelineRing, Timers,
};

/// The maximum number of events queued for the runner; beyond it the edges wait.
pub const EVENT_QUEUE_MAX: usize = 16_384;

/// The maximum number of effects queued for one edge.
pub const EFFECT_QUEUE_MAX: usize = 16_384;

/// The maximum number of events that the runner sets aside while the queue of an edge is full.
pub const BACKLOG_MAX: usize = 16_384;

/// The number of events after which the runner lets other tasks of its thread run.
const EVENTS_PER_YIELD: u32 = 64;

/// The channels through which the runner sends effects to the edges.
#[derive(Debug)]
pub struct EffectSenders {
    /// The queue of the client edge.
    pub clients: flume::Sender<ClientEffect>,
    /// The queue of the backend edge.
    pub backends: flume::Sender<BackendEffect>,
    /// The queue of the platform edge.
    pub platform: flume::Sender<PlatformEffect>,
    /// The peer edge, which queues messages for each peer.
    pub peers: PeerEdge,
}

/// The channels, clocks and shared cells of a runner.
#[derive(Debug)]
pub struct RunnerParts {
    /// The monotonic and wall clock.
    pub clock: Clock,
    /// The hybrid logical clock for entries of the timeline.
    pub hybrid_clock: Arc<HybridClock>,
    /// The timeline to which the reducer's entries are added.
    pub timeline: Arc<TimelineRing>,
    /// The metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// The readiness that `/ready` reports.
    pub readiness: Arc<ReadinessCell>,
    /// The queue of events from the edges.
    pub events: flume::Receiver<Event>,
    /// The queue of status queries from the admin interface.
    pub queries: flume::Receiver<StatusQuery>,
    /// The channels of effects to the edges.
    pub effects: EffectSenders,
}

/// The owner of a daemon's state.
#[derive(Debug)]
pub struct Runner {
    state: State,
    parts: RunnerParts,
    /// The instants at which the reducer has asked for a tick.
    timers: Timers,
    /// Events to process before those in the queue.
    backlog: VecDeque<Event>,
    /// The reads in flight, to count answered reads by the role of the server.
    reads: PendingReads,
    /// Whether the reducer has last declared the daemon ready, as its configuration is known.
    is_configured: bool,
    /// Whether the reducer has asked to exit.
    is_exiting: bool,
}

/// The next thing for the runner to handle.
enum Input {
    Event(Event),
    Query(StatusQuery),
    /// All senders of events are gone.
    Closed,
}

impl Runner {
    /// Returns a runner whose first event is a tick.
    #[must_use]
    pub fn new(state: State, parts: RunnerParts) -> Self {
        Self {
            state,
            parts,
            timers: Timers::default(),
            backlog: VecDeque::from([Event::Tick]),
            reads: PendingReads::default(),
            is_configured: false,
            is_exiting: false,
        }
    }

    /// Runs until the reducer asks to exit or all senders of events are gone.
    pub async fn run(mut self) {
        let mut events_since_yield = 0;
        while !self.is_exiting {
            match self.next().await {
                Input::Event(event) => self.process(event).await,
                Input::Query(query) => self.answer(&query),
                Input::Closed => return,
            }
            events_since_yield += 1;
            if events_since_yield == EVENTS_PER_YIELD {
                events_since_yield = 0;
                self.update_queue_metrics();
                if let Ok(query) = self.parts.queries.try_recv() {
                    self.answer(&query);
                }
                tokio::task::yield_now().await;
            }
        }
    }

    /// Returns the next input: a due tick first, then the backlog, then events and queries as they
    /// arrive.
    async fn next(&mut self) -> Input {
        if self.timers.take_due(self.parts.clock.now().instant) {
            return Input::Event(Event::Tick);
        }
        if let Some(event) = self.backlog.pop_front() {
            return Input::Event(event);
        }
        if let Ok(event) = self.parts.events.try_recv() {
            return Input::Event(event);
        }
        self.update_queue_metrics();
        let due = self.timers.next().map(|at| self.parts.clock.deadline(at));
        let wake = async {
            match due {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = self.parts.events.recv_async() => event.map_or(Input::Closed, Input::Event),
            Ok(query) = self.parts.queries.recv_async() => Input::Query(query),
            () = wake => {
                self.timers.take_due(self.parts.clock.now().instant);
                Input::Event(Event::Tick)
            }
        }
    }

    fn answer(&self, StatusQuery(reply): &StatusQuery) {
        // Fails only if the admin interface no longer waits for the reply.
        let _gone = reply.try_send(Status::from(&self.state));
    }

    /// Passes an event to the reducer and carries out the effects.
    async fn process(&mut self, event: Event) {
        self.parts.metrics.observe_event(&event);
        let now = self.parts.clock.now();
        let effects = reduce(&mut self.state, now, event);
        let elapsed = self.parts.clock.now().instant.since(now.instant);
        self.parts.metrics.observe_reduce_time(elapsed);
        for effect in effects {
            self.parts.metrics.observe_effect(&effect);
            self.carry_out(effect).await;
        }
        self.update_readiness();
    }

    async fn carry_out(&mut self, effect: Effect) {
        let senders = &self.parts.effects;
        match effect {
            Effect::Client(effect) => {
                let tx = senders.clients.clone();
                self.send_effect(&tx, effect).await;
            }
            Effect::Backend(effect) => {
                let tx = senders.backends.clone();
                self.send_effect(&tx, effect).await;
            }
            Effect::Platform(effect) => {
                let tx = senders.platform.clone();
                self.send_effect(&tx, effect).await;
            }
            Effect::Send { to, message, .. } if to == self.state.local.vm => {
                self.backlog.push_back(Event::Peer { from: to, message });
            }
            Effect::Send {
                to,
                address,
                message,
            } => {
                if senders.peers.send(&to, address, message).is_err() {
                    self.backlog.push_back(Event::PeerLost { vm: to });
                }
            }
            Effect::WakeAt(at) => self.timers.add(at),
            Effect::Record(entry) => self.record(&entry),
            Effect::Ready(ready) => self.is_configured = ready,
            Effect::Exit => self.is_exiting = true,
        }
    }

    /// Queues an effect for an edge and waits while the queue is full.
    ///
    /// Meanwhile moves events to the backlog: an edge that waits for room in the event queue would
    /// otherwise never get to its effects.
    async fn send_effect<T>(&mut self, tx: &flume::Sender<T>, effect: T) {
        let effect = match tx.try_send(effect) {
            Err(flume::TrySendError::Full(effect)) => effect,
            Ok(()) | Err(flume::TrySendError::Disconnected(_)) => return,
        };
        let mut sent = std::pin::pin!(tx.send_async(effect));
        loop {
            tokio::select! {
                _ = &mut sent => return,
                event = self.parts.events.recv_async(), if self.backlog.len() < BACKLOG_MAX => {
                    match event {
                        Ok(event) => self.backlog.push_back(event),
                        Err(_) => return,
                    }
                }
            }
        }
    }

    /// Adds an entry to the timeline, and to the log at debug level.
    fn record(&mut self, entry: &TimelineEntry) {
        if let Some(role) = self.reads.on_entry(&self.state.homes, entry) {
            self.parts.metrics.count_read(role);
        }
        let time = self.parts.hybrid_clock.tick();
        let record = self.parts.timeline.record(&self.state.local, time, entry);
        if log::log_enabled!(target: "timeline", log::Level::Debug) {
            let json = serde_json::to_string(&record).unwrap_or_default();
            log::debug!(target: "timeline", entry = json.as_str(); "{}", record.kind);
        }
    }

    fn update_readiness(&self) {
        let readiness = if self.state.drain.is_draining() {
            Readiness::Draining
        } else if self.is_configured {
            Readiness::Ready
        } else {
            Readiness::ConfigurationUnknown
        };
        self.parts.readiness.set(readiness);
    }

    fn update_queue_metrics(&self) {
        let metrics = &self.parts.metrics;
        metrics.set_queue_length("events", self.parts.events.len() + self.backlog.len());
        metrics.set_queue_length("caller_effects", self.parts.effects.clients.len());
        metrics.set_queue_length("backend_effects", self.parts.effects.backends.len());
        metrics.set_queue_length("platform_effects", self.parts.effects.platform.len());
        metrics.set_peer_streams(self.parts.effects.peers.stream_count());
    }
}
