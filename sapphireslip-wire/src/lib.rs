//! Protobuf messages between daemons that are configured by service documents, and between them and
//! the platform.
//!
//! The types generated from the `.proto` files, in [`peer`] and [`platform`], define the encoding.
//! `TryFrom` validates received messages while it converts them to the types of
//! `sapphireslip-core`.

mod apply;
mod enums;
mod envelope;
mod field;
mod peer_parts;
mod request;
mod table_layout;
mod vm_list;
mod wire_error;

/// Generated: the messages and the service between daemons.
#[rustfmt::skip]
#[allow(
    missing_docs,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    reason = "generated code"
)]
#[path = "generated/sapphireslip.peer.rs"]
pub mod peer;

/// Generated: the messages and services of the platform.
#[rustfmt::skip]
#[allow(
    missing_docs,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    reason = "generated code"
)]
#[path = "generated/sapphireslip.platform.rs"]
pub mod platform;

pub use self::{apply::*, envelope::*, table_layout::*, vm_list::*, wire_error::*};

/// The size in bytes of the largest message that a daemon accepts from another one or from the
/// platform.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;
