//! The metrics of a daemon that is configured by service documents, updated from the events and
//! effects that pass through the runner.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use prost::Message;
use sapphireslip_core::{
    BackendEffect, BackendEvent, Certainty, ClientEffect, ClientEvent, ConnectionId, Effect, Event,
    Refusal, ServerRole, SessionId, TimelineKind,
};
use sapphireslip_wire::peer::Envelope;

/// The upper bound of the first bucket of the reduce time, in seconds; each further bound is twice
/// as high.
const FIRST_REDUCE_BUCKET_SECONDS: f64 = 1e-6;

/// The number of buckets of the reduce time.
const REDUCE_BUCKET_COUNT: u16 = 16;

/// The labels of a counted request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Outcome {
    /// `done`, or the reason of the refusal.
    outcome: String,
    /// Whether the request ran: `yes`, `no` or `unknown`.
    ran: &'static str,
}

/// The label of a counted read: the role of the backend server that answered it.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Role {
    role: &'static str,
}

/// The label of a counted timeline entry: its kind.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Kind {
    kind: String,
}

/// The label of counted bytes: `sent` or `received`.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Direction {
    direction: &'static str,
}

/// The label of a queue's length: the name of the queue.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Queue {
    queue: &'static str,
}

/// All metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// The number of finished requests by outcome.
    requests: Family<Outcome, Counter>,
    /// The number of answered reads by the role of the server that answered.
    reads: Family<Role, Counter>,
    /// The number of primaries that this daemon promoted.
    failovers: Counter,
    /// The number of timeline entries by kind.
    timeline: Family<Kind, Counter>,
    /// The bytes of messages between daemons that are neither requests nor answers, by direction.
    control: Family<Direction, Counter>,
    /// The times that the reducer took for an event, in seconds.
    reduce: Histogram,
    /// The number of open sessions.
    sessions: Gauge,
    /// The number of open connections to backend servers.
    connections: Gauge,
    /// The number of streams to and from peers.
    peer_streams: Gauge,
    /// The number of waiting events or effects by queue.
    queues: Family<Queue, Gauge<u64, AtomicU64>>,
    /// The sessions and connections that the gauges count.
    open: Mutex<Open>,
}

/// The open sessions and connections.
///
/// Sets instead of counts, so that the gauges stay right when the same end is reported twice.
#[derive(Debug, Default)]
struct Open {
    sessions: BTreeSet<SessionId>,
    connections: BTreeSet<ConnectionId>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sapphireslip");
        let buckets = exponential_buckets(FIRST_REDUCE_BUCKET_SECONDS, 2.0, REDUCE_BUCKET_COUNT);
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            reads: Family::default(),
            failovers: Counter::default(),
            timeline: Family::default(),
            control: Family::default(),
            reduce: Histogram::new(buckets),
            sessions: Gauge::default(),
            connections: Gauge::default(),
            peer_streams: Gauge::default(),
            queues: Family::default(),
            open: Mutex::default(),
        };
        registry.register("requests", "Requests by outcome", metrics.requests.clone());
        registry.register(
            "reads",
            "Reads that backend servers answered, by the part that the server plays",
            metrics.reads.clone(),
        );
        registry.register(
            "failovers",
            "Primaries that this daemon promoted",
            metrics.failovers.clone(),
        );
        registry.register(
            "timeline_entries",
            "Entries of the timeline by kind",
            metrics.timeline.clone(),
        );
        registry.register_with_unit(
            "control",
            "Messages between daemons but for requests and answers",
            Unit::Bytes,
            metrics.control.clone(),
        );
        registry.register_with_unit(
            "reduce_time",
            "Time that the reducer took for one event",
            Unit::Seconds,
            metrics.reduce.clone(),
        );
        registry.register("sessions", "Sessions of clients", metrics.sessions.clone());
        registry.register(
            "backend_connections",
            "Open connections to backend servers",
            metrics.connections.clone(),
        );
        registry.register(
            "peer_streams",
            "Streams to and from peers",
            metrics.peer_streams.clone(),
        );
        registry.register(
            "queue_length",
            "Events and effects that wait, by queue",
            metrics.queues.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    /// Returns all metrics in the `OpenMetrics` text format.
    ///
    /// ```
    /// let text = sapphireslipd::Metrics::default().to_text();
    /// assert!(text.contains("sapphireslip_failovers_total 0"));
    /// ```
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut buf = String::new();
        match text::encode(&mut buf, &self.registry) {
            Ok(()) => buf,
            Err(err) => format!("# encoding the metrics: {err}\n"),
        }
    }

    /// Updates the metrics for an event, before the reducer handles it.
    pub(crate) fn observe_event(&self, event: &Event) {
        match event {
            Event::Client(ClientEvent::Opened { session, .. }) => {
                self.update_open(|open| open.sessions.insert(*session));
            }
            Event::Client(ClientEvent::Closed { session }) => {
                self.update_open(|open| open.sessions.remove(session));
            }
            Event::Backend(BackendEvent::Connected { connection }) => {
                self.update_open(|open| open.connections.insert(*connection));
            }
            Event::Backend(BackendEvent::Lost { connection }) => {
                self.update_open(|open| open.connections.remove(connection));
            }
            _ => {}
        }
    }

    /// Updates the metrics for an effect, before it is carried out.
    pub(crate) fn observe_effect(&self, effect: &Effect) {
        match effect {
            Effect::Client(ClientEffect::Finish { refusal, .. }) => {
                self.count_finished(refusal.as_ref());
            }
            Effect::Client(ClientEffect::Close { session, .. }) => {
                self.update_open(|open| open.sessions.remove(session));
            }
            Effect::Backend(BackendEffect::Close { connection }) => {
                self.update_open(|open| open.connections.remove(connection));
            }
            Effect::Record(entry) => {
                let kind = format!("{:?}", entry.kind);
                self.timeline.get_or_create(&Kind { kind }).inc();
                if entry.kind == TimelineKind::PrimaryPromoted {
                    self.failovers.inc();
                }
            }
            _ => {}
        }
    }

    /// Records how long the reducer took for one event.
    pub(crate) fn observe_reduce_time(&self, duration: Duration) {
        self.reduce.observe(duration.as_secs_f64());
    }

    /// Counts a read that was answered by a backend server of the given role.
    pub(crate) fn count_read(&self, role: ServerRole) {
        let role = match role {
            ServerRole::Primary => "primary",
            ServerRole::Replica => "replica",
        };
        self.reads.get_or_create(&Role { role }).inc();
    }

    /// Sets the length of a queue.
    pub(crate) fn set_queue_length(&self, queue: &'static str, length: usize) {
        let gauge = self.queues.get_or_create(&Queue { queue });
        gauge.set(u64::try_from(length).unwrap_or(u64::MAX));
    }

    /// Sets the number of streams to and from peers.
    pub(crate) fn set_peer_streams(&self, count: usize) {
        self.peer_streams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts the bytes of a message to a peer that is neither a request nor an answer.
    pub(crate) fn count_sent_control(&self, envelope: &Envelope) {
        self.count_control_bytes("sent", envelope);
    }

    /// Counts the bytes of a message from a peer that is neither a request nor an answer.
    pub(crate) fn count_received_control(&self, envelope: &Envelope) {
        self.count_control_bytes("received", envelope);
    }

    fn count_control_bytes(&self, direction: &'static str, envelope: &Envelope) {
        let counter = self.control.get_or_create(&Direction { direction });
        counter.inc_by(u64::try_from(envelope.encoded_len()).unwrap_or(u64::MAX));
    }

    /// Counts a finished request by its outcome.
    fn count_finished(&self, refusal: Option<&Refusal>) {
        let outcome = match refusal {
            None => Outcome {
                outcome: "done".to_owned(),
                ran: "yes",
            },
            Some(refusal) => Outcome {
                outcome: format!("{:?}", refusal.reason),
                ran: match refusal.ran {
                    Certainty::NotRun => "no",
                    Certainty::Unknown => "unknown",
                },
            },
        };
        self.requests.get_or_create(&outcome).inc();
    }

    /// Changes the open sessions and connections, and sets their gauges if `change` returns true.
    fn update_open(&self, change: impl FnOnce(&mut Open) -> bool) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if change(&mut open) {
            self.sessions
                .set(i64::try_from(open.sessions.len()).unwrap_or(i64::MAX));
            let connections = i64::try_from(open.connections.len());
            self.connections.set(connections.unwrap_or(i64::MAX));
        }
    }
}
