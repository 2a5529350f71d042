//! A stand-in for the platform's metadata store and its promotion service, both over HTTP.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::{Query, State};
use axum::http::{HeaderValue, StatusCode};
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::LineGroup;

/// The most rows in one answer, the same as in the platform's store.
const ROWS_MAX: usize = 500;

/// The table, part and key of a row.
type Key = (String, String, String);

/// A running metadata store with fault switches; clones share the same store.
#[derive(Clone, Debug)]
pub struct LineStore {
    /// The listen address.
    address: SocketAddr,
    /// The state shared with the server's tasks.
    shared: Arc<Shared>,
}

/// The state shared by the handle and the requests.
#[derive(Debug)]
struct Shared {
    /// The rows and the fault switches.
    rows: Mutex<Rows>,
    /// Notified when rows or fault switches change, so that waiting watches check again.
    changed: Notify,
    /// When the store started; its clock counts from here.
    started: Instant,
    /// The group of servers that promotions go to.
    group: LineGroup,
}

/// The rows of the store and its fault switches.
#[derive(Debug, Default)]
struct Rows {
    /// How often the store has come back from a copy.
    returns: u64,
    /// What the store tells as its era in place of it; empty for an answer without an era.
    told_era: Option<&'static str>,
    /// The rows as they were when a copy was made, and the version.
    copy: (BTreeMap<Key, (String, u64)>, u64),
    /// The version of the last change; every change gets the next one.
    version: u64,
    /// The rows, each with its value in Base64 and the version of its last change.
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes, the oldest first, each with the row's new value in Base64, or none if the row was
    /// removed, and the version.
    changes: Vec<(Key, Option<String>, u64)>,
    /// Whether the store answers every request with 503 (service unavailable).
    is_down: bool,
    /// Whether watches are never answered.
    hangs_watches: bool,
    /// Whether answers are cut-off JSON.
    answers_malformed: bool,
    /// The number of promotions requested since the store started.
    promotions: u64,
}

impl LineStore {
    /// Starts a store on a free port of the loopback interface; promotions are passed to the group.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be listened on.
    pub async fn start(group: LineGroup) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            rows: Mutex::default(),
            changed: Notify::new(),
            started: Instant::now(),
            group,
        });
        let router = Router::new()
            .route("/-/rows-get", get(rows_get))
            .route("/-/rows-feed", get(rows_feed))
            .route("/-/rows-tx", post(rows_tx))
            .route("/promote", post(promote))
            .layer(map_response_with_state(Arc::clone(&shared), tell_era))
            .with_state(Arc::clone(&shared));
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(Self { address, shared })
    }

    /// Returns the address of the store and of the promotion service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row with an empty part, as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.put_each(table, key, &[value]);
    }

    /// Writes a row several times before any watch is answered, as when the watching process is
    /// suspended meanwhile.
    pub fn put_each(&self, table: &str, key: &str, values: &[&[u8]]) {
        self.put_in_part(table, "", key, values);
    }

    /// Writes a row of a part of a table several times.
    pub fn put_in_part(&self, table: &str, part: &str, key: &str, values: &[&[u8]]) {
        let mut rows = self.shared.rows();
        for value in values {
            rows.version += 1;
            let key = (table.to_owned(), part.to_owned(), key.to_owned());
            rows.change(key, Some(STANDARD.encode(value)));
        }
        self.shared.changed.notify_waiters();
    }

    /// Makes the store answer every request with 503 (service unavailable), or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.rows().is_down = is_down;
    }

    /// Makes a copy of the rows, to come back from.
    pub fn keep_copy(&self) {
        let mut rows = self.shared.rows();
        rows.copy = (rows.rows.clone(), rows.version);
    }

    /// Has the store come back from the last copy: what was written since is gone, but for the rows of
    /// operators and servers, which are written again. Versions are given out again.
    pub fn return_from_copy(&self) {
        let mut rows = self.shared.rows();
        let lost = std::mem::take(&mut rows.rows);
        let (copied, version) = rows.copy.clone();
        (rows.rows, rows.version) = (copied, version);
        rows.changes.retain(|(.., at)| *at <= version);
        rows.returns += 1;
        for (key, (value, _)) in lost {
            // Their rows have no part.
            if key.1.is_empty() {
                rows.version += 1;
                rows.change(key, Some(value));
            }
        }
        self.shared.changed.notify_waiters();
    }

    /// Makes the store tell another era than its own, or none if the text is empty.
    pub fn tell_era_as(&self, told: &'static str) {
        self.shared.rows().told_era = Some(told);
    }

    /// Makes the store answer with malformed JSON, or serve again.
    pub fn set_malformed_answers(&self, is_malformed: bool) {
        self.shared.rows().answers_malformed = is_malformed;
        self.shared.changed.notify_waiters();
    }

    /// Makes the store never answer open and new watches, as on a connection that has gone silent,
    /// or answer new watches again.
    pub fn hang_watches(&self, hangs: bool) {
        self.shared.rows().hangs_watches = hangs;
        self.shared.changed.notify_waiters();
    }

    /// Returns the number of promotions requested since the store started.
    #[must_use]
    pub fn promotions(&self) -> u64 {
        self.shared.rows().promotions
    }
}

impl Rows {
    /// Writes a row, or removes it, at the present version.
    fn change(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        self.changes.push((key, value, version));
    }

    /// Returns a row for each change of a table after a version, in their order.
    fn changes_after(&self, table: &str, after: u64) -> Vec<Value> {
        let first = self
            .changes
            .partition_point(|(_, _, version)| *version <= after);
        let later = self.changes.get(first..).unwrap_or_default().iter();
        let of_table = later.filter(|(key, _, _)| key.0 == table);
        let change = |(key, value, version): &(Key, Option<String>, u64)| {
            let present = (value.clone().unwrap_or_default(), *version);
            let mut change = row(key, &present);
            change["tombstone"] = value.is_none().into();
            change
        };
        of_table.map(change).collect()
    }
}

impl Shared {
    /// Locks the rows and switches, even if a thread panicked while it held the lock.
    fn rows(&self) -> std::sync::MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a complete answer with these rows.
    fn answer(&self, status: StatusCode, rows: Vec<Value>) -> Response {
        self.answer_page(status, rows, false)
    }

    /// Returns an answer with these rows, which says whether more of them follow.
    fn answer_page(&self, status: StatusCode, rows: Vec<Value>, has_more: bool) -> Response {
        if self.rows().answers_malformed {
            return (StatusCode::OK, "{\"rows\": 7").into_response();
        }
        let version = self.rows().version;
        let now = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let body = json!({
            "rows": rows, "has_more": has_more, "row_version": version, "now_ms": now,
        });
        (status, axum::Json(body)).into_response()
    }

    fn is_down(&self) -> bool {
        self.rows().is_down
    }
}

/// Returns a row as JSON.
fn row((table, part, key): &Key, (value, version): &(String, u64)) -> Value {
    json!({"table": table, "part": part, "key": key, "value": value, "row_version": version})
}

/// Adds the era to an answer.
async fn tell_era(State(shared): State<Arc<Shared>>, mut response: Response) -> Response {
    let told = shared.rows().told_era;
    let era = match told {
        Some("") => return response,
        Some(told) => HeaderValue::from_static(told),
        None => HeaderValue::from(shared.rows().returns + 1),
    };
    response.headers_mut().insert("Store-Era", era);
    response
}

/// Returns the answer of a store that is down.
fn unavailable() -> Response {
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

/// Answers a read of a table, or of one part of it, from the key `from` on.
async fn rows_get(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    if shared.is_down() {
        return unavailable();
    }
    let matches_query = |(table, part, _): &Key| {
        query.get("table") == Some(table) && query.get("part").is_none_or(|wanted| wanted == part)
    };
    let from = query.get("from").map_or("", String::as_str);
    let limit = query.get("limit").and_then(|limit| limit.parse().ok());
    let limit = limit.unwrap_or(ROWS_MAX).min(ROWS_MAX);
    let mut rows: Vec<Value> = {
        let rows = shared.rows();
        let matching = rows.rows.iter().filter(|(key, _)| matches_query(key));
        let matching = matching.filter(|((_, _, key), _)| key.as_str() >= from);
        matching.take(limit + 1).map(|(k, v)| row(k, v)).collect()
    };
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    shared.answer_page(StatusCode::OK, rows, has_more)
}

/// Answers a watch: waits up to `wait_ms` for a change of a table after the version `after`, and
/// returns a row for each change since then.
async fn rows_feed(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after").unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let table = query.get("table").cloned().unwrap_or_default();
    let until = Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        let hangs = shared.rows().hangs_watches;
        if hangs {
            return std::future::pending().await;
        }
        if shared.is_down() {
            return unavailable();
        }
        if after > shared.rows().version {
            return StatusCode::GONE.into_response();
        }
        let changes = shared.rows().changes_after(&table, after);
        if !changes.is_empty() {
            return shared.answer(StatusCode::OK, changes);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
            return shared.answer(StatusCode::OK, Vec::new());
        }
    }
}

/// Returns the key that an entry of a transaction names.
fn entry_key(entry: &Value) -> Key {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

/// Carries out a transaction if all rows that it expects have the expected versions; otherwise
/// answers with those of the expected rows that exist.
async fn rows_tx(State(shared): State<Arc<Shared>>, body: String) -> Response {
    if shared.is_down() {
        return unavailable();
    }
    let Ok(transaction) = serde_json::from_str::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let expected = list("expected_revision");
    let conflicts = {
        let mut rows = shared.rows();
        let current_version = |key: &Key| rows.rows.get(key).map_or(0, |(_, version)| *version);
        let conditions_hold = expected
            .iter()
            .all(|entry| entry["row_version"].as_u64() == Some(current_version(&entry_key(entry))));
        if conditions_hold {
            rows.version += 1;
            for entry in list("puts") {
                let value = entry["value"].as_str().unwrap_or_default().to_owned();
                rows.change(entry_key(&entry), Some(value));
            }
            for entry in list("remove") {
                rows.change(entry_key(&entry), None);
            }
            None
        } else {
            let keys = expected.iter().map(entry_key);
            let found = keys.filter_map(|key| rows.rows.get(&key).map(|value| row(&key, value)));
            Some(found.collect())
        }
    };
    shared.changed.notify_waiters();
    match conflicts {
        None => shared.answer(StatusCode::OK, Vec::new()),
        Some(rows) => shared.answer(StatusCode::PRECONDITION_FAILED, rows),
    }
}

/// Promotes the server that the body names; answers 409 (conflict) if the server can't be promoted.
async fn promote(State(shared): State<Arc<Shared>>, body: String) -> StatusCode {
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    shared.rows().promotions += 1;
    match shared
        .group
        .promote(body["id"].as_str().unwrap_or_default())
    {
        true => StatusCode::OK,
        false => StatusCode::CONFLICT,
    }
}

/// A route of the operator's configuration, from a database to a service.
#[derive(Clone, Copy, Debug)]
pub struct LineRoute {
    /// The name of the database.
    pub database: &'static str,
    /// The kind of reads in the platform's terms, such as `primary` or `bounded_staleness`.
    pub kind: &'static str,
    /// The greatest age of the data that a read may return.
    pub max_staleness: Duration,
}

/// Returns the operator's configuration as JSON, with one route to a service, whose reads go to the
/// primary.
///
/// ```
/// assert!(standins::line_configuration(1, "fees", "ledger").contains("fees"));
/// ```
#[must_use]
pub fn line_configuration(version: u64, database: &'static str, service: &str) -> String {
    let route = LineRoute {
        database,
        kind: "primary",
        max_staleness: Duration::ZERO,
    };
    line_configuration_with(version, service, &[route])
}

/// Returns the operator's configuration as JSON, with several routes to a service.
///
/// ```
/// assert!(standins::line_configuration_with(1, "ledger", &[]).contains("ledger"));
/// ```
#[must_use]
pub fn line_configuration_with(version: u64, service: &str, routes: &[LineRoute]) -> String {
    let route = |route: &LineRoute| {
        json!({
            "name": route.database, "database_name": route.database, "prefix": "/",
            "type": route.kind, "timeout_ms": 800, "target_latency_ms": 200, "priority": 2,
            "service": service, "max_staleness_ms": route.max_staleness.as_millis(),
        })
    };
    let routes: Vec<Value> = routes.iter().map(route).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": service, "max_connections": 16, "sync_replicas": 0}],
        "limits": {"tx_idle_ms": 3000},
    })
    .to_string()
}
