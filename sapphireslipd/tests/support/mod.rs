//! The commands of scenario scripts, which run real daemon processes with stand-ins for the
//! backend servers and the platform.

mod faults;
mod load;
mod operators;
mod planned;
mod scenario;
mod scenario_checks;
mod scenario_load;
mod scenario_sessions;
mod script_args;
mod script_session;
mod transfers;
mod values;

pub use self::scenario::Scenario;
