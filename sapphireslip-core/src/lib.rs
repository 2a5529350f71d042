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
mod probe;
mod promotion;
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
mod staleness;
mod statement;
#[allow(dead_code, reason = "the homes call it once both are written")]
mod suspicion;
mod term;
mod timeline_entry;
mod vm_exchange;
mod vm_news;

use std::sync::Arc;

pub use self::configuration::*;
pub use self::cx::*;
pub use self::document::*;
pub use self::document_check::*;
pub use self::document_error::*;
pub use self::document_exchange::*;
pub use self::drain::*;
pub use self::effect::*;
pub use self::entry::*;
pub use self::event::*;
pub use self::group::*;
pub use self::group_call::*;
pub use self::group_log::*;
pub use self::held_documents::*;
pub use self::homes::*;
pub use self::instant::*;
pub use self::known_server::*;
pub use self::membership::*;
pub use self::name::*;
pub use self::peer_message::*;
pub use self::polling::*;
pub use self::probe::*;
pub use self::promotion::*;
pub use self::random::*;
pub use self::raw_document::*;
pub use self::reducer::*;
pub use self::refusal::*;
pub use self::relay::*;
pub use self::request::*;
pub use self::request_key::*;
pub use self::server_status::*;
pub use self::sql_words::*;
pub use self::staleness::*;
pub use self::statement::*;
pub use self::suspicion::*;
pub use self::term::*;
pub use self::timeline_entry::*;
pub use self::vm_exchange::*;
pub use self::vm_news::*;

/// An opaque shared text.
pub type Text = Arc<str>;
