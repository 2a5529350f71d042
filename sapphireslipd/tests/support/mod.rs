//! Scripted scenarios over real daemon processes with stand-ins around them.

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
