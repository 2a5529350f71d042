//! Every decision of the proxy: one reducer over events, with effects as data.
//!
//! Nothing here opens a socket, reads a clock or starts a task: events come in with the time, and
//! effects go out to the edges of the daemon.

mod configuration;
#[allow(dead_code, reason = "the modules call it once they are written")]
mod cx;
mod derives;
mod document;
mod document_change;
mod document_check;
mod document_error;
mod document_exchange;
mod document_faults;
mod drain;
mod effect;
mod entry;
mod event;
mod fleet_record;
#[allow(dead_code, reason = "the homes call it once both are written")]
mod group;
mod held_documents;
mod homes;
mod instant;
mod membership;
mod name;
mod ownership;
mod peer_message;
pub mod placement;
mod probe;
mod random;
mod raw_document;
mod raw_table;
mod raw_value;
mod reducer;
mod refusal;
mod relay;
mod request;
mod request_key;
mod server_status;
mod suspicion;
mod term;
mod timeline_entry;
mod vm_exchange;
mod vm_news;

use std::sync::Arc;

pub use self::{
    configuration::*, cx::*, document::*, document_change::*, document_check::*, document_error::*,
    document_exchange::*, drain::*, effect::*, entry::*, event::*, group::*, held_documents::*,
    homes::*, instant::*, membership::*, name::*, peer_message::*, probe::*, random::*,
    raw_document::*, reducer::*, refusal::*, relay::*, request::*, request_key::*,
    server_status::*, suspicion::*, term::*, timeline_entry::*, vm_exchange::*, vm_news::*,
};

/// An opaque shared text.
pub type Text = Arc<str>;
