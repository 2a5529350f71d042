//! The HTTP admin interface of a daemon that is configured by service documents: `/metrics`,
//! `/ready`, `/timeline`, `/status` and `/drain`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use sapphireslip_core::{Event, OperatorEvent};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::{Metrics, Status, TimelinePage, TimelineRing};

/// How long `/status` waits for the runner's answer before it replies with an error.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A request for the daemon's status, which the runner sends to the contained channel.
#[derive(Debug)]
pub struct StatusQuery(pub flume::Sender<Status>);

/// Whether a daemon is ready for clients and, if it is not, the reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// The daemon accepts clients.
    Ready,
    /// No configuration document has been received yet, from the platform or from a peer.
    ConfigurationUnknown,
    /// The daemon is stopping.
    Draining,
}

/// The readiness that the runner sets and `/ready` reports, shared between them.
#[derive(Debug)]
pub struct ReadinessCell(AtomicU8);

impl Default for ReadinessCell {
    fn default() -> Self {
        Self(AtomicU8::new(Readiness::ConfigurationUnknown as u8))
    }
}

impl ReadinessCell {
    /// Sets the readiness.
    ///
    /// ```
    /// use sapphireslipd::{Readiness, ReadinessCell};
    /// let cell = ReadinessCell::default();
    /// assert_eq!(cell.get(), Readiness::ConfigurationUnknown);
    /// cell.set(Readiness::Ready);
    /// assert_eq!(cell.get(), Readiness::Ready);
    /// ```
    pub fn set(&self, readiness: Readiness) {
        self.0.store(readiness as u8, Ordering::Relaxed);
    }

    /// Returns the readiness.
    #[must_use]
    pub fn get(&self) -> Readiness {
        let value = self.0.load(Ordering::Relaxed);
        match value {
            value if value == Readiness::Ready as u8 => Readiness::Ready,
            value if value == Readiness::Draining as u8 => Readiness::Draining,
            _ => Readiness::ConfigurationUnknown,
        }
    }
}

/// The data and channels that the admin interface works with.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The daemon's readiness, for `/ready`.
    pub readiness: Arc<ReadinessCell>,
    /// The latest timeline entries, for `/timeline`.
    pub timeline: Arc<TimelineRing>,
    /// The daemon's metrics, for `/metrics`.
    pub metrics: Arc<Metrics>,
    /// The channel on which the runner receives status requests.
    pub queries: flume::Sender<StatusQuery>,
    /// The channel on which the runner receives events, for `/drain`.
    pub events: flume::Sender<Event>,
    /// The longest time that a drain requested through `/drain` may take.
    pub drain_bound: Duration,
}

/// The JSON body of `/ready`.
#[derive(Serialize)]
struct ReadyReply {
    ready: bool,
    reason: Readiness,
}

/// The query parameters of `/timeline`.
#[derive(Deserialize)]
struct TimelineQuery {
    /// The number of the first entry to return.
    #[serde(default)]
    since: u64,
}

impl Admin {
    /// Serves the admin interface until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> Result<(), std::io::Error> {
        let router = Router::new()
            .route("/metrics", get(metrics))
            .route("/ready", get(ready))
            .route("/timeline", get(timeline))
            .route("/status", get(status))
            .route("/drain", post(drain))
            .with_state(self);
        axum::serve(listener, router).await
    }
}

async fn metrics(State(admin): State<Admin>) -> Response {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    (
        [(header::CONTENT_TYPE, content_type)],
        admin.metrics.to_text(),
    )
        .into_response()
}

async fn ready(State(admin): State<Admin>) -> Response {
    let reason = admin.readiness.get();
    let ready = reason == Readiness::Ready;
    let code = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    (code, Json(ReadyReply { ready, reason })).into_response()
}

async fn timeline(
    State(admin): State<Admin>,
    Query(query): Query<TimelineQuery>,
) -> Json<TimelinePage> {
    Json(admin.timeline.page(query.since))
}

async fn status(State(admin): State<Admin>) -> Response {
    let (tx, rx) = flume::bounded(1);
    let ask = async {
        admin.queries.send_async(StatusQuery(tx)).await.ok()?;
        rx.recv_async().await.ok()
    };
    match tokio::time::timeout(STATUS_TIMEOUT, ask).await {
        Ok(Some(status)) => Json(status).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Starts a drain; replies with 202 without waiting for its end.
async fn drain(State(admin): State<Admin>) -> StatusCode {
    let bound = admin.drain_bound;
    let event = Event::Operator(OperatorEvent::Drain { bound });
    match admin.events.send_async(event).await {
        Ok(()) => StatusCode::ACCEPTED,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
