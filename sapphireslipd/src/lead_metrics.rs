//! The metrics of a daemon that takes the leaders of its services from the store.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use sapphireslip_lead::{Record, RecordKind, Snapshot};

/// The upper bound of the first histogram bucket, in seconds; each further bound is twice as high.
const FIRST_TIME_BUCKET_SECONDS: f64 = 0.001;

/// The number of histogram buckets; the highest bound is 16 s.
const TIME_BUCKET_COUNT: u16 = 15;

/// The label of a counted record.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Event {
    /// The kind of the record, as in the log.
    event: &'static str,
}

/// The label of a counted refusal.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Cause {
    /// The beginning of the record's text, up to the first `;` or backquote.
    cause: String,
}

/// The labels of a counted call to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StoreCall {
    /// The name of the call.
    call: &'static str,
    /// How the call ended: `done`, `refused`, `failed` or `timeout`.
    outcome: &'static str,
}

/// The label of a counted answer whose era is not the present one.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OddEra {
    /// `missing` if the era can't be read or is not told, `falling` if it is an earlier one.
    fault: &'static str,
}

/// The label of a gauge of open or waiting items.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Open {
    /// What is counted, such as `sessions`.
    what: &'static str,
}

/// All metrics of one daemon.
#[derive(Debug)]
pub(crate) struct LeadMetrics {
    registry: Registry,
    /// The number of records by kind.
    events: Family<Event, Counter>,
    /// The number of statements that were refused or have an unknown outcome, by cause.
    refusals: Family<Cause, Counter>,
    /// The times from a statement's arrival to its answer, in seconds.
    answer_times: Histogram,
    /// The number of calls to the store by name and outcome.
    store_calls: Family<StoreCall, Counter>,
    /// The durations of calls to the store, in seconds.
    store_call_times: Histogram,
    /// The numbers of open sessions and connections, waiting statements, known servers and leaving
    /// leaders.
    open: Family<Open, Gauge<u64, AtomicU64>>,
    /// The number of connections to backend servers whose opening has begun.
    connections_opened: Counter,
    /// How long the permission still lasts, in seconds; 0 if there is none.
    permission_left: Gauge<f64, AtomicU64>,
    /// The time since the list of backend servers was last read, in seconds.
    servers_age: Gauge<f64, AtomicU64>,
    /// The version of the configuration in force; 0 if none is known.
    configuration_version: Gauge<u64, AtomicU64>,
    /// The time since that version took effect, in seconds.
    configuration_age: Gauge<f64, AtomicU64>,
    /// The number of operations that were refused by the limit of their account.
    refused_by_limit: Gauge<u64, AtomicU64>,
    /// The newest era of the store.
    store_era: Gauge<u64, AtomicU64>,
    /// The number of times that the daemon has seen the store come back from an older copy.
    store_returns: Gauge<u64, AtomicU64>,
    /// The number of the store's answers without a readable era, or of an earlier one.
    odd_store_eras: Family<OddEra, Counter>,
    /// 1 if the daemon is ready for clients, else 0.
    ready: Gauge,
}

/// Returns an empty histogram of times in seconds.
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
            connections_opened: Counter::default(),
            permission_left: Gauge::default(),
            servers_age: Gauge::default(),
            configuration_version: Gauge::default(),
            configuration_age: Gauge::default(),
            refused_by_limit: Gauge::default(),
            store_era: Gauge::default(),
            store_returns: Gauge::default(),
            odd_store_eras: Family::default(),
            ready: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl LeadMetrics {
    /// Registers all metrics under their names.
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
        registry.register(
            "connections_opened",
            "Connections to servers whose opening has begun",
            self.connections_opened.clone(),
        );
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
        registry.register(
            "refused_by_limit",
            "Operations refused by the limit of their account since the start",
            self.refused_by_limit.clone(),
        );
        registry.register(
            "store_era",
            "Newest era of the store",
            self.store_era.clone(),
        );
        registry.register(
            "store_returns",
            "Returns of the store from an older copy that were seen since the start",
            self.store_returns.clone(),
        );
        registry.register(
            "odd_store_eras",
            "Answers of the store without a readable era, or of an earlier one",
            self.odd_store_eras.clone(),
        );
        registry.register(
            "ready",
            "Whether clients should connect",
            self.ready.clone(),
        );
    }

    /// Counts a record of the reducer, including one that the log drops.
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

    /// Counts a call to the store, which took the given time.
    pub(crate) fn store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        self.store_calls
            .get_or_create(&StoreCall { call, outcome })
            .inc();
        self.store_call_times.observe(took.as_secs_f64());
    }

    /// Sets the number of connections of clients and other daemons.
    pub(crate) fn set_clients(&self, count: usize) {
        let what = Open { what: "clients" };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.open.get_or_create(&what).set(count);
    }

    /// Counts an answer of the store whose era is not the present one.
    pub(crate) fn odd_store_era(&self, fault: &'static str) {
        self.odd_store_eras.get_or_create(&OddEra { fault }).inc();
    }

    /// Sets the gauges to the current values of the reducer's state.
    pub(crate) fn update(&self, snapshot: &Snapshot) {
        let connections = &snapshot.connection_counts;
        let counts = [
            ("sessions", snapshot.sessions),
            ("sessions_passed_on", snapshot.relays),
            ("statements_waiting", snapshot.waiting),
            ("connections", snapshot.connections),
            ("connections_opening", connections.opening),
            ("connections_free", connections.free),
            ("connections_busy", connections.busy),
            ("connections_in_transaction", connections.in_transaction),
            ("servers", snapshot.servers),
            ("leaving_leaders", snapshot.leaving_leaders),
            ("shares", snapshot.shares_held),
        ];
        for (what, count) in counts {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.open.get_or_create(&Open { what }).set(count);
        }
        let opened = self.connections_opened.get();
        self.connections_opened
            .inc_by(connections.openings.saturating_sub(opened));
        self.permission_left
            .set(snapshot.permission_left.as_secs_f64());
        self.servers_age.set(snapshot.servers_age.as_secs_f64());
        self.configuration_version.set(snapshot.configuration);
        let age = snapshot.configuration_age.as_secs_f64();
        self.configuration_age.set(age);
        self.refused_by_limit.set(snapshot.refused_by_limit);
        self.store_era.set(snapshot.store_era);
        self.store_returns.set(snapshot.store_returns);
        self.ready.set(i64::from(snapshot.is_ready));
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    pub(crate) fn to_text(&self) -> String {
        let mut buf = String::new();
        match text::encode(&mut buf, &self.registry) {
            Ok(()) => buf,
            Err(err) => format!("# encoding the metrics: {err}\n"),
        }
    }
}
