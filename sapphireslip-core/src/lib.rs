//! Every decision of the proxy: one reducer over events, with effects as data.
//!
//! Nothing here opens a socket, reads a clock or starts a task: events come in with the time, and
//! effects go out to the edges of the daemon.

mod acknowledgement;
mod admission;
mod configuration;
mod connection_share;
mod connections;
mod cx;
mod derives;
mod dispatch;
mod document;
mod document_check;
mod document_error;
mod document_exchange;
mod drain;
mod effect;
mod entry;
mod event;
mod fleet_record;
mod group;
mod group_call;
mod group_log;
mod held_documents;
mod hex;
mod home;
mod homes;
mod instant;
mod job;
mod keyed_write;
mod known_server;
mod limit;
mod link;
mod loss;
mod membership;
mod name;
mod ownership;
mod peer_message;
pub mod placement;
mod polling;
mod pool;
mod probe;
mod promotion;
mod queue;
mod random;
mod raw_document;
mod raw_table;
mod reducer;
mod refusal;
mod relay;
mod request;
mod request_key;
mod retry_budget;
mod route;
mod server_status;
mod silence;
mod staleness;
mod suspicion;
mod term;
mod timeline_entry;
mod transaction;
mod vm_exchange;
mod vm_news;
mod work;

use std::sync::Arc;

pub use self::{
    admission::*, configuration::*, connection_share::*, cx::*, dispatch::*, document::*,
    document_check::*, document_error::*, document_exchange::*, drain::*, effect::*, entry::*,
    event::*, group::*, group_call::*, group_log::*, held_documents::*, home::*, homes::*,
    instant::*, job::*, keyed_write::*, known_server::*, limit::*, loss::*, membership::*, name::*,
    peer_message::*, polling::*, pool::*, probe::*, promotion::*, queue::*, random::*,
    raw_document::*, reducer::*, refusal::*, relay::*, request::*, request_key::*, retry_budget::*,
    route::*, server_status::*, silence::*, staleness::*, suspicion::*, term::*, timeline_entry::*,
    transaction::*, vm_exchange::*, vm_news::*,
};

/// An opaque shared text.
pub type Text = Arc<str>;
