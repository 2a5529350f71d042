//! The daemon: edges that turn bytes into events and effects into bytes, around the one reducer.

mod admin;
pub mod backend_edge;
pub mod caller_edge;
mod clock;
mod error;
mod hybrid_clock;
mod logging;
mod metrics;
mod peer_edge;
mod peer_links;
pub mod platform_edge;
mod raw_settings;
mod run;
mod runner;
mod settings;
mod settings_fault;
mod status;
mod timeline_ring;
mod timers;

pub use self::{
    admin::*, clock::*, error::*, hybrid_clock::*, logging::*, metrics::*, peer_edge::*,
    raw_settings::*, run::*, runner::*, settings::*, settings_fault::*, status::*,
    timeline_ring::*, timers::*,
};
