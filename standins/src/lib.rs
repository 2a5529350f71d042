//! Stand-ins for the surroundings of the daemons: backend servers, the platform and the network.
//!
//! The stand-ins run in the process that starts them, so that tests and demos can inject faults.
//! The modules whose names begin with `line_` speak the platform's line protocol.

mod accept_document;
mod backend_control;
mod backend_group;
mod backend_log;
mod backend_query;
mod backend_server;
mod backend_session;
mod backend_sql;
mod backend_statements;
mod backend_transaction;
mod backend_values;
mod backend_wire;
mod daemon_process;
mod fleet;
mod fleet_addresses;
mod fleet_files;
mod fleet_plan;
mod http_get;
mod line_group;
mod line_session;
mod line_site;
mod line_store;
mod link;
mod platform;
mod platform_faults;
mod platform_service;
mod platform_table;
mod platform_vms;
mod wait;

pub use self::accept_document::*;
pub use self::backend_group::{BackendGroup, BackendGroupSettings};
pub use self::daemon_process::*;
pub use self::fleet::*;
pub use self::fleet_plan::*;
pub use self::http_get::*;
pub use self::line_group::*;
pub use self::line_session::*;
pub use self::line_site::*;
pub use self::line_store::*;
pub use self::link::*;
pub use self::platform::*;
pub use self::platform_table::*;
pub use self::wait::*;
