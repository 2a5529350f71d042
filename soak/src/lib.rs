//! A randomized soak test: runs daemon processes on one machine, injects random faults from outside
//! and checks the guarantees from what clients and backend servers see.

mod client;
mod fault;
mod run;
mod site;
mod verdict;

pub use self::fault::{Fault, ScheduledFault, plan_faults};
pub use self::run::{SoakOptions, soak};
pub use self::verdict::{Attempt, Operation, Outcome, Verdict, check_attempts};
