//! Small stand-ins for the backend servers and the platform, for tests and demos.

mod platform;
mod platform_faults;
mod platform_service;
mod platform_table;
mod platform_vms;

pub use self::{platform::*, platform_table::*};
//! Small stand-ins for what surrounds the daemons: backend servers and the platform.
//!
//! They run in the process that starts them, so that tests and demos can switch faults on.

mod backend_control;
mod backend_group;
mod backend_log;
mod backend_query;
mod backend_server;
mod backend_session;
mod backend_sql;
mod backend_transaction;
mod backend_values;

pub use self::backend_group::{BackendGroup, BackendGroupSettings};
