//! The metrics of a daemon whose groups are led by whom the store names.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use sapphireslip_lead::{Record, RecordKind, Snapshot};

/// The first bucket of times, in seconds; each further one is twice as wide.
const FIRST_TIME_BUCKET_SECONDS: f64 = 0.001;

/// The count of buckets of times: the last one ends at 16 s.
const TIME_BUCKET_COUNT: u16 = 15;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Event {
    event: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Cause {
    cause: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StoreCall {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Open {
    what: &'static str,
}

/// All metrics of one daemon.
#[derive(Debug)]
pub(crate) struct LeadMetrics {
    registry: Registry,
    events: Family<Event, Counter>,
    refusals: Family<Cause, Counter>,
    answer_times: Histogram,
    store_calls: Family<StoreCall, Counter>,
    store_call_times: Histogram,
    open: Family<Open, Gauge<u64, AtomicU64>>,
    permission_left: Gauge<f64, AtomicU64>,
    servers_age: Gauge<f64, AtomicU64>,
    configuration_version: Gauge<u64, AtomicU64>,
    configuration_age: Gauge<f64, AtomicU64>,
    ready: Gauge,
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_TIME_BUCKET_SECONDS,
        2.0,
        TIME_BUCKET_COUNT,
    ))
}

impl Default for LeadMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("sapphireslip"),
            events: Family::default(),
            refusals: Family::default(),
            answer_times: time_histogram(),
            store_calls: Family::default(),
            store_call_times: time_histogram(),
            open: Family::default(),
            permission_left: Gauge::default(),
            servers_age: Gauge::default(),
            configuration_version: Gauge::default(),
            configuration_age: Gauge::default(),
            ready: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl LeadMetrics {
    fn register(&mut self) {
        let Self { registry, .. } = self;
        registry.register(
            "events",
            "Decisions and changes, as in the log",
            self.events.clone(),
        );
        registry.register(
            "refusals",
            "Refused statements by cause",
            self.refusals.clone(),
        );
        let help = "Time from a statement's arrival to its answer";
        registry.register_with_unit("answer", help, Unit::Seconds, self.answer_times.clone());
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        let help = "Time of a call to the store";
        registry.register_with_unit(
            "store_call",
            help,
            Unit::Seconds,
            self.store_call_times.clone(),
        );
        registry.register("open", "What is open or waits", self.open.clone());
        let help = "Time left of the permission to rely on the known primaries";
        registry.register_with_unit(
            "permission_left",
            help,
            Unit::Seconds,
            self.permission_left.clone(),
        );
        let help = "Age of the list of backend servers";
        registry.register_with_unit("servers_age", help, Unit::Seconds, self.servers_age.clone());
        let help = "Version of the configuration in force";
        registry.register(
            "configuration_version",
            help,
            self.configuration_version.clone(),
        );
        let help = "Time since that version was taken";
        let age = self.configuration_age.clone();
        registry.register_with_unit("configuration_age", help, Unit::Seconds, age);
        registry.register("ready", "Whether callers should come", self.ready.clone());
    }

    /// Counts a line of the log, also one that the log leaves out.
    pub(crate) fn record(&self, record: &Record) {
        let event = Event {
            event: record.kind.name(),
        };
        self.events.get_or_create(&event).inc();
        if let Some(elapsed) = record.elapsed {
            self.answer_times.observe(elapsed.as_secs_f64());
        }
        if matches!(
            record.kind,
            RecordKind::RequestRefused | RecordKind::RequestUnknown
        ) {
            let cause = record.detail.split([';', '`']).next().unwrap_or_default();
            let cause = Cause {
                cause: cause.trim().to_owned(),
            };
            self.refusals.get_or_create(&cause).inc();
        }
    }

    /// Counts a call to the store.
    pub(crate) fn store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        self.store_calls
            .get_or_create(&StoreCall { call, outcome })
            .inc();
        self.store_call_times.observe(took.as_secs_f64());
    }

    /// Takes over what the reducer shows of its state.
    pub(crate) fn update(&self, snapshot: &Snapshot) {
        let counts = [
            ("sessions", snapshot.sessions),
            ("sessions_passed_on", snapshot.relays),
            ("statements_waiting", snapshot.waiting),
            ("connections", snapshot.connections),
            ("servers", snapshot.servers),
        ];
        for (what, count) in counts {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.open.get_or_create(&Open { what }).set(count);
        }
        self.permission_left
            .set(snapshot.permission_left.as_secs_f64());
        self.servers_age.set(snapshot.servers_age.as_secs_f64());
        self.configuration_version.set(snapshot.configuration);
        let age = snapshot.configuration_age.as_secs_f64();
        self.configuration_age.set(age);
        self.ready.set(i64::from(snapshot.is_ready));
    }

    /// Returns all metrics in the text format.
    pub(crate) fn to_text(&self) -> String {
        let mut buf = String::new();
        match text::encode(&mut buf, &self.registry) {
            Ok(()) => buf,
            Err(err) => format!("# encoding the metrics: {err}\n"),
        }
    }
}
