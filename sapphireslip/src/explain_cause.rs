//! Where to look for what stands behind the cause that a daemon gives.

use crate::Decision;

/// Lines to look for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvidenceSource {
    /// Their kind.
    pub(crate) event: &'static str,
    /// Whose.
    pub(crate) scope: Scope,
}

/// What a line has to concern.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Scope {
    /// The daemon that decided.
    Vm,
    /// The request's service.
    Service,
    /// The server that the request went to last.
    Server,
    /// The request's service or its server, at the daemon that decided.
    ServiceAtVm,
}

impl Scope {
    pub(crate) fn concerns(
        self,
        line: &Decision,
        vm: &str,
        service: Option<&String>,
        server: Option<&String>,
    ) -> bool {
        let is_service = service.is_some() && line.service.as_ref() == service;
        let is_server = server.is_some() && line.server.as_ref() == server;
        match self {
            Self::Vm => line.vm == vm,
            Self::Service => is_service,
            Self::Server => is_server,
            Self::ServiceAtVm => line.vm == vm && (is_service || is_server),
        }
    }
}

const fn source(event: &'static str, scope: Scope) -> EvidenceSource {
    EvidenceSource { event, scope }
}

const PERMISSION_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("permit_changed", Scope::Vm),
];

const PRIMARY_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("connection_closed", Scope::ServiceAtVm),
    source("server_reachable", Scope::ServiceAtVm),
    source("promotion", Scope::Service),
    source("lead_changed", Scope::Service),
];

const FRESHNESS_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("permit_changed", Scope::Vm),
    source("connection_closed", Scope::ServiceAtVm),
    source("server_reachable", Scope::ServiceAtVm),
    source("promotion", Scope::Service),
];

const CAPACITY_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("connection_closed", Scope::ServiceAtVm),
    source("server_listed", Scope::Service),
    source("promotion", Scope::Service),
];

const CONNECTION_SOURCES: &[EvidenceSource] = &[
    source("connection_closed", Scope::Server),
    source("server_reachable", Scope::Server),
    source("promotion", Scope::Service),
];

const ROUTE_SOURCES: &[EvidenceSource] = &[source("catalog_taken", Scope::Vm)];

const DAEMON_SOURCES: &[EvidenceSource] = &[
    source("daemon_avoided", Scope::Vm),
    source("drain", Scope::Vm),
    source("store_reachable", Scope::Vm),
];

/// Beginnings of the causes that daemons give, and where to look.
const CAUSES: &[(&str, &[EvidenceSource])] = &[
    ("the permission", PERMISSION_SOURCES),
    ("the primary", PRIMARY_SOURCES),
    ("no primary", PRIMARY_SOURCES),
    ("no server is fresh enough", FRESHNESS_SOURCES),
    ("no server or connection was free", CAPACITY_SOURCES),
    ("too many statements wait", CAPACITY_SOURCES),
    ("the servers answered", CAPACITY_SOURCES),
    ("the connection to the server broke", CONNECTION_SOURCES),
    ("no answer came in time", CONNECTION_SOURCES),
    ("the transaction rested too long", &[]),
    ("no route leads", ROUTE_SOURCES),
    ("the configuration is not known yet", ROUTE_SOURCES),
    ("the daemon", DAEMON_SOURCES),
    ("another daemon", DAEMON_SOURCES),
    ("`", DAEMON_SOURCES),
];

/// Returns where to look for what stands behind a cause.
pub(crate) fn evidence_sources(cause: &str) -> &'static [EvidenceSource] {
    let known = CAUSES.iter().find(|(text, _)| cause.starts_with(text));
    known.map_or(&[], |(_, sources)| sources)
}
