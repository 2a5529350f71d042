//! The answer to the platform's question whether callers should come, and the metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use sapphireslip_platform::READY_PATH;
use tokio::net::TcpListener;

/// Answers until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, is_ready: Arc<AtomicBool>) {
    let router = Router::new()
        .route(READY_PATH, get(ready))
        .with_state(is_ready);
    if let Err(err) = axum::serve(listener, router).await {
        log::error!("answering questions for readiness: {err}");
    }
}

async fn ready(State(is_ready): State<Arc<AtomicBool>>) -> StatusCode {
    match is_ready.load(Ordering::Relaxed) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
