//! The HTTP pages of a daemon that takes its leaders from the store: its readiness for clients,
//! which the platform asks for, and its metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use sapphireslip_platform::READY_PATH;
use tokio::net::TcpListener;

use crate::lead_metrics::LeadMetrics;

/// Serves the metrics until the future is dropped.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: Arc<LeadMetrics>) {
    let router = Router::new()
        .route("/metrics", get(show_metrics))
        .with_state(metrics);
    if let Err(err) = axum::serve(listener, router).await {
        log::error!("serving the metrics: {err}");
    }
}

async fn show_metrics(State(metrics): State<Arc<LeadMetrics>>) -> impl IntoResponse {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    ([(header::CONTENT_TYPE, content_type)], metrics.to_text())
}

/// Serves the daemon's readiness until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, is_ready: Arc<AtomicBool>) {
    let router = Router::new()
        .route(READY_PATH, get(ready))
        .with_state(is_ready);
    if let Err(err) = axum::serve(listener, router).await {
        log::error!("serving the readiness page: {err}");
    }
}

/// Replies with 200 if the daemon is ready for clients, else with 503.
async fn ready(State(is_ready): State<Arc<AtomicBool>>) -> StatusCode {
    match is_ready.load(Ordering::Relaxed) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
