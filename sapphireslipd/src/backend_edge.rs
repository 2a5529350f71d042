//! Placeholder until the backend edge is merged: opens no connections.

use sapphireslip_core::{BackendEffect, Event, Text, VmId, ZoneName};

/// How connections to backend servers are opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendSettings {
    /// The user name.
    pub user: Text,
    /// The password, if servers ask for one.
    pub password: Option<Text>,
    /// The VM of this daemon.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Takes effects until their channel closes.
pub async fn run(
    _events: flume::Sender<Event>,
    effects: flume::Receiver<BackendEffect>,
    _settings: BackendSettings,
) {
    while effects.recv_async().await.is_ok() {}
}
