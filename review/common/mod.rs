//! Stand-ins of the review: the store and promotions of the platform, members, clients, and the
//! daemons as processes. They use nothing but the standard library.
#![allow(dead_code)]

pub mod daemons;
pub mod json;
pub mod members;
pub mod record;
pub mod store;

use std::path::PathBuf;

/// Returns whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A temporary folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(case: &str) -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A route of the operator's configuration.
pub struct Route {
    pub database: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub staleness_ms: u64,
}

/// Returns the operator's configuration with routes and services; each of the latter with its
/// highest number of connections.
pub fn configuration(version: u64, routes: &[Route], services: &[(&str, usize)]) -> String {
    configuration_with_sync(version, routes, services, 0)
}

/// Returns the same with `sync_replicas` for all services.
pub fn configuration_with_sync(version: u64, routes: &[Route], services: &[(&str, usize)], sync: usize) -> String {
    let route = |route: &Route| {
        format!(
            "{{\"name\":\"r-{0}\",\"database_name\":\"{0}\",\"prefix\":\"/\",\"type\":\"{1}\",\"timeout_ms\":{2},\"target_latency_ms\":{3},\"priority\":1,\"service\":\"{4}\",\"max_attempts\":2,\"max_staleness_ms\":{5}}}",
            route.database, route.kind, route.timeout_ms, route.target_ms, route.service, route.staleness_ms
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let service = |(name, connections): &(&str, usize)| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":{connections},\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":{sync}}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"tx_idle_ms\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}
