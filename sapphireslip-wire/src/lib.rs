//! Messages between daemons and towards the platform.
//!
//! The generated types under [`peer`] and [`platform`] are what goes over the wire; everything
//! that comes in is checked by `TryFrom` into the types of the core.

mod apply;
mod enums;
mod envelope;
mod field;
mod peer_parts;
mod request;
mod table_layout;
mod vm_list;
mod wire_error;

/// The generated messages and services between daemons.
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

/// The generated messages and services of the platform.
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

/// The largest message in bytes that one daemon takes from another or from the platform.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;
