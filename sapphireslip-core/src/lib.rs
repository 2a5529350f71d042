//! Every decision of the proxy: one reducer over events, with effects as data.
//!
//! Nothing here opens a socket, reads a clock or starts a task: events come in with the time, and
//! effects go out to the edges of the daemon.

mod admission;
mod configuration;
#[allow(dead_code, reason = "the modules call it once they are written")]
mod cx;
mod derives;
mod document;
mod document_check;
mod document_error;
mod document_exchange;
mod drain;
mod due_sessions;
mod effect;
mod entry;
mod entry_refusal;
mod event;
mod fleet_record;
#[allow(dead_code, reason = "the homes call it once both are written")]
mod group;
mod group_call;
mod group_log;
mod held_documents;
mod homes;
mod instant;
mod known_server;
mod membership;
mod name;
mod ownership;
mod peer_message;
pub mod placement;
mod polling;
mod promotion;
mod probe;
mod random;
mod raw_document;
mod raw_table;
mod reducer;
mod refusal;
mod relay;
mod request;
mod request_key;
mod server_status;
mod session;
mod sql_words;
mod statement;
mod staleness;
#[allow(dead_code, reason = "the homes call it once both are written")]
mod suspicion;
mod term;
mod timeline_entry;
mod vm_exchange;
mod vm_news;

use std::sync::Arc;

pub use self::{
    configuration::*, cx::*, document::*, drain::*, effect::*, entry::*, event::*, group::*,
    homes::*, instant::*, membership::*, name::*, peer_message::*, random::*, reducer::*,
    refusal::*, request::*, request_key::*, server_status::*, sql_words::*, statement::*, term::*,
    timeline_entry::*,
    group_call::*, group_log::*, homes::*, instant::*, known_server::*, membership::*, name::*,
    peer_message::*, polling::*, promotion::*, random::*, reducer::*, refusal::*, request::*,
    request_key::*, server_status::*, staleness::*, suspicion::*, term::*, timeline_entry::*,
    configuration::*, cx::*, document::*, document_check::*, document_error::*,
    document_exchange::*, drain::*, effect::*, entry::*, event::*, group::*, held_documents::*,
    homes::*, instant::*, membership::*, name::*, peer_message::*, probe::*, random::*,
    raw_document::*, reducer::*, refusal::*, relay::*, request::*, request_key::*,
    server_status::*, term::*, timeline_entry::*, vm_exchange::*, vm_news::*,
};

/// An opaque shared text.
pub type Text = Arc<str>;
