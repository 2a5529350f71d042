//! Placeholder until the caller edge is merged: accepts no callers.

use sapphireslip_core::{CallerEffect, Event};
use tokio::net::TcpListener;

/// Takes effects until their channel closes.
pub async fn serve(
    _listener: TcpListener,
    _events: flume::Sender<Event>,
    effects: flume::Receiver<CallerEffect>,
) {
    while effects.recv_async().await.is_ok() {}
}
