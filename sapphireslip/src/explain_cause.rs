//! Which log lines give evidence for the cause that a daemon logged.

use crate::Decision;

/// A selection of log lines that may give evidence for a cause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvidenceSource {
    /// The kind of decision, as in [`Decision::event`].
    pub(crate) event: &'static str,
    /// What the lines have to concern.
    pub(crate) scope: Scope,
}

/// The daemon, service or server that a line has to concern to count as evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Scope {
    /// The daemon that logged the cause.
    Vm,
    /// The service of the request.
    Service,
    /// The server that the request was last sent to.
    Server,
    /// The service or the server of the request, at the daemon that logged the cause.
    ServiceAtVm,
}

impl Scope {
    /// Returns whether a line concerns the daemon `vm`, the service or the server.
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

/// Evidence for the end of a permission: the store could not be reached to renew it.
const PERMISSION_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("permit_changed", Scope::Vm),
];

/// Evidence for a primary that is missing, out of reach or replaced.
const PRIMARY_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("connection_closed", Scope::ServiceAtVm),
    source("server_reachable", Scope::ServiceAtVm),
    source("promotion", Scope::Service),
    source("lead_changed", Scope::Service),
];

/// Evidence for a server that leaves, or that may have left unnoticed.
const LEAVING_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("server_listed", Scope::Service),
    source("promotion", Scope::Service),
];

/// Evidence for a lack of servers that are fresh enough for a read.
const FRESHNESS_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("permit_changed", Scope::Vm),
    source("connection_closed", Scope::ServiceAtVm),
    source("server_reachable", Scope::ServiceAtVm),
    source("promotion", Scope::Service),
];

/// Evidence for a lack of free servers and connections.
const CAPACITY_SOURCES: &[EvidenceSource] = &[
    source("store_reachable", Scope::Vm),
    source("connection_closed", Scope::ServiceAtVm),
    source("server_listed", Scope::Service),
    source("promotion", Scope::Service),
];

/// Evidence for a broken or silent connection to a server.
const CONNECTION_SOURCES: &[EvidenceSource] = &[
    source("connection_closed", Scope::Server),
    source("server_reachable", Scope::Server),
    source("promotion", Scope::Service),
];

/// Evidence for a missing route: the configuration that the daemon knows.
const ROUTE_SOURCES: &[EvidenceSource] = &[source("catalog_taken", Scope::Vm)];

/// Evidence for a daemon that stops or avoids another one.
const DAEMON_SOURCES: &[EvidenceSource] = &[
    source("daemon_avoided", Scope::Vm),
    source("places_changed", Scope::Vm),
    source("drain", Scope::Vm),
    source("store_reachable", Scope::Vm),
];

/// The beginnings of the causes that daemons log, and the sources of evidence for each.
///
/// They match the log messages of `sapphireslip-lead`, also of older daemons. The first match
/// counts.
const CAUSES: &[(&str, &[EvidenceSource])] = &[
    ("the permission", PERMISSION_SOURCES),
    ("the primary is leaving", LEAVING_SOURCES),
    ("the server is leaving", LEAVING_SOURCES),
    ("the list of servers is too old", LEAVING_SOURCES),
    ("the primary", PRIMARY_SOURCES),
    ("no primary", PRIMARY_SOURCES),
    ("no server is fresh enough", FRESHNESS_SOURCES),
    ("no server or connection was free", CAPACITY_SOURCES),
    ("too many statements wait", CAPACITY_SOURCES),
    ("the service is overloaded", CAPACITY_SOURCES),
    ("the account is over its share", CAPACITY_SOURCES),
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

/// Returns the sources of evidence for a cause; none if the cause is not known.
pub(crate) fn evidence_sources(cause: &str) -> &'static [EvidenceSource] {
    let known = CAUSES.iter().find(|(text, _)| cause.starts_with(text));
    known.map_or(&[], |(_, sources)| sources)
}
