//! A randomized soak of the platform's path: real daemon processes on one machine, faults injected
//! from outside by a seed, and the promises checked from what callers and backend servers see.

mod client;
mod fault;
mod run;
mod site;
mod verdict;

pub use self::fault::{Fault, ScheduledFault, plan_faults};
pub use self::run::{SoakOptions, soak};
pub use self::verdict::{Attempt, Operation, Outcome, Verdict, check_attempts};
