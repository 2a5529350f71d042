//! A randomized soak of the platform's path: real daemon processes on one machine, faults injected
//! from outside by a seed, and the promises checked from what callers and backend servers see.

mod client;
mod fault;
mod run;
mod site;
mod verdict;

pub use self::fault::{Fault, Step, plan};
pub use self::run::{SoakOptions, soak};
pub use self::verdict::{Attempt, Kind, Outcome, Verdict, judge};
