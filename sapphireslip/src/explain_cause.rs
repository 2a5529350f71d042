//! Where to look for what stands behind the cause that a daemon gives.

use crate::Decision;

/// Lines to look for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Look {
    /// Their kind.
    pub(crate) event: &'static str,
    /// Whose.
    pub(crate) of: Of,
}

/// What a line has to concern.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Of {
    /// The daemon that decided.
    Vm,
    /// The request's service.
    Service,
    /// The server that the request went to last.
    Server,
    /// The request's service or its server, at the daemon that decided.
    ServiceAtVm,
}

impl Of {
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

const fn look(event: &'static str, of: Of) -> Look {
    Look { event, of }
}

const PERMIT: &[Look] = &[
    look("store_reachable", Of::Vm),
    look("permit_changed", Of::Vm),
];

const REPLACED: &[Look] = &[
    look("store_reachable", Of::Vm),
    look("connection_closed", Of::ServiceAtVm),
    look("server_reachable", Of::ServiceAtVm),
    look("promotion", Of::Service),
    look("lead_changed", Of::Service),
];

const FRESHNESS: &[Look] = &[
    look("store_reachable", Of::Vm),
    look("permit_changed", Of::Vm),
    look("connection_closed", Of::ServiceAtVm),
    look("server_reachable", Of::ServiceAtVm),
    look("promotion", Of::Service),
];

const ROOM: &[Look] = &[
    look("store_reachable", Of::Vm),
    look("connection_closed", Of::ServiceAtVm),
    look("server_listed", Of::Service),
    look("promotion", Of::Service),
];

const CONNECTION: &[Look] = &[
    look("connection_closed", Of::Server),
    look("server_reachable", Of::Server),
    look("promotion", Of::Service),
];

const ROUTE: &[Look] = &[look("catalog_taken", Of::Vm)];

const DAEMON: &[Look] = &[
    look("daemon_avoided", Of::Vm),
    look("drain", Of::Vm),
    look("store_reachable", Of::Vm),
];

/// Beginnings of the causes that daemons give, and where to look.
const CAUSES: &[(&str, &[Look])] = &[
    ("the permission", PERMIT),
    ("the primary", REPLACED),
    ("no primary", REPLACED),
    ("no server is fresh enough", FRESHNESS),
    ("no server or connection was free", ROOM),
    ("too many statements wait", ROOM),
    ("the servers answered", ROOM),
    ("the connection to the server broke", CONNECTION),
    ("no answer came in time", CONNECTION),
    ("the transaction rested too long", &[]),
    ("no route leads", ROUTE),
    ("the configuration is not known yet", ROUTE),
    ("the daemon", DAEMON),
    ("another daemon", DAEMON),
    ("`", DAEMON),
];

/// Returns where to look for what stands behind a cause.
pub(crate) fn cause_of(cause: &str) -> &'static [Look] {
    let known = CAUSES.iter().find(|(text, _)| cause.starts_with(text));
    known.map_or(&[], |(_, looks)| looks)
}
