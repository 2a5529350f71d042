//! The one task that owns the state: takes events, calls the reducer, hands out effects.

use std::collections::VecDeque;
use std::sync::Arc;

use sapphireslip_core::{
    BackendEffect, CallerEffect, Effect, Event, PlatformEffect, State, TimelineEntry, reduce,
};

use crate::{
    Clock, HybridClock, Metrics, PeerEdge, ReadCounter, Readiness, ReadinessCell, Status,
    StatusQuery, TimelineRing, Timers,
};

/// The most events that wait for the reducer before their senders do.
pub const EVENT_QUEUE_MAX: usize = 16_384;

/// The most effects that wait for one edge.
pub const EFFECT_QUEUE_MAX: usize = 16_384;

/// The most events that the runner takes aside while an edge can't take an effect.
pub const BACKLOG_MAX: usize = 16_384;

/// After so many events the runner lets other tasks of its thread run.
const EVENTS_PER_YIELD: u32 = 64;

/// Where the effects go.
#[derive(Debug)]
pub struct EffectSenders {
    /// To the caller edge.
    pub callers: flume::Sender<CallerEffect>,
    /// To the backend edge.
    pub backends: flume::Sender<BackendEffect>,
    /// To the platform edge.
    pub platform: flume::Sender<PlatformEffect>,
    /// To the peer edge.
    pub peers: PeerEdge,
}

/// What a runner looks after besides the state.
#[derive(Debug)]
pub struct RunnerParts {
    /// The clocks.
    pub clock: Clock,
    /// The hybrid logical clock of the time line.
    pub hybrid_clock: Arc<HybridClock>,
    /// The time line.
    pub timeline: Arc<TimelineRing>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// What `/ready` answers.
    pub readiness: Arc<ReadinessCell>,
    /// Events from the edges.
    pub events: flume::Receiver<Event>,
    /// Queries from the admin interface.
    pub queries: flume::Receiver<StatusQuery>,
    /// Where the effects go.
    pub effects: EffectSenders,
}

/// Owns the state of a daemon.
#[derive(Debug)]
pub struct Runner {
    state: State,
    parts: RunnerParts,
    timers: Timers,
    backlog: VecDeque<Event>,
    reads: ReadCounter,
    is_configured: bool,
    is_exiting: bool,
}

/// What the runner waited for.
enum Input {
    Event(Event),
    Query(StatusQuery),
    Closed,
}

impl Runner {
    /// Returns a runner that begins with a tick.
    #[must_use]
    pub fn new(state: State, parts: RunnerParts) -> Self {
        Self {
            state,
            parts,
            timers: Timers::default(),
            backlog: VecDeque::from([Event::Tick]),
            reads: ReadCounter::default(),
            is_configured: false,
            is_exiting: false,
        }
    }

    /// Runs until the reducer asks to leave.
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
        // Fails only when whoever asked is gone.
        let _gone = reply.try_send(Status::from(&self.state));
    }

    async fn process(&mut self, event: Event) {
        self.parts.metrics.event(&event);
        let now = self.parts.clock.now();
        let effects = reduce(&mut self.state, now, event);
        let elapsed = self.parts.clock.now().instant.since(now.instant);
        self.parts.metrics.reduced(elapsed);
        for effect in effects {
            self.parts.metrics.effect(&effect);
            self.carry_out(effect).await;
        }
        self.update_readiness();
    }

    async fn carry_out(&mut self, effect: Effect) {
        let senders = &self.parts.effects;
        match effect {
            Effect::Caller(effect) => {
                let tx = senders.callers.clone();
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

    /// Gives an edge an effect. While the edge's queue is full, events are taken aside, so that
    /// an edge that waits to hand in an event can go on and take its effects.
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

    fn record(&mut self, entry: &TimelineEntry) {
        if let Some(role) = self.reads.answered(&self.state.homes, entry) {
            self.parts.metrics.read(role);
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
        metrics.queue("events", self.parts.events.len() + self.backlog.len());
        metrics.queue("caller_effects", self.parts.effects.callers.len());
        metrics.queue("backend_effects", self.parts.effects.backends.len());
        metrics.queue("platform_effects", self.parts.effects.platform.len());
        metrics.streams(self.parts.effects.peers.stream_count());
    }
}
