//! Scripted scenarios over real daemon processes with stand-ins around them.

mod faults;
mod load;
mod operators;
mod planned;
mod scenario;
mod script_args;
mod script_session;

pub use self::scenario::Scenario;
