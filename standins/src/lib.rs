//! Small stand-ins for the backend servers and the platform, for tests and demos.

mod platform;
mod platform_faults;
mod platform_service;
mod platform_table;
mod platform_vms;

pub use self::{platform::*, platform_table::*};
