//! The daemon, a database proxy: edges turn input into events for a reducer and carry out the
//! effects that it returns.
//!
//! The settings file selects one of two kinds of daemon. One is configured by service documents and
//! lets `sapphireslip-core` decide; [`serve`] runs it. The other takes the leaders of its services
//! from the platform's store and lets `sapphireslip-lead` decide; [`serve_lead`] runs it, and its
//! parts are the modules whose names begin with `lead` or `store`.

mod admin;
mod backend_connection;
pub mod backend_edge;
mod backend_error;
mod backend_work;
mod boot_clock;
mod bounded_log;
mod client_batch;
pub mod client_edge;
mod client_error;
mod client_login;
mod client_messages;
mod client_session;
mod client_startup;
mod client_statement;
mod client_wire;
mod clock;
mod error;
mod frames;
mod group_call;
mod hybrid_clock;
mod lead_clients;
mod lead_forwarding;
mod lead_log;
mod lead_metrics;
mod lead_run;
mod lead_runner;
mod lead_servers;
mod lead_settings;
mod lead_shares;
mod line_stream;
mod log_budget;
mod logging;
mod metrics;
mod peer_edge;
mod peer_links;
pub mod platform_edge;
mod prepared;
mod raw_settings;
mod read_counter;
mod readiness_page;
mod run;
mod runner;
mod scram;
mod session_command;
mod settings;
mod settings_fault;
mod sql_scan;
mod status;
mod store_client;
mod store_edge;
mod store_eras;
mod store_watch;
mod timeline_order;
mod timeline_ring;
mod timers;
mod whole_lines;

pub use self::admin::*;
pub use self::backend_connection::{
    BackendSettings, CONNECT_TIMEOUT, SERVER_TRANSACTION_IDLE_TIMEOUT,
};
pub use self::backend_edge::{CALL_QUEUE_MAX, WORK_QUEUE_MAX, run as run_backend_edge};
pub use self::backend_error::BackendError;
pub use self::backend_work::ANSWER_PART_BYTES;
pub use self::boot_clock::*;
pub use self::client_edge::{
    SESSION_QUEUE_MAX, SESSION_QUEUE_MAX_BYTES, SESSIONS_MAX, serve as serve_clients,
};
pub use self::client_error::ClientError;
pub use self::client_session::BATCH_MAX_MESSAGES;
pub use self::client_startup::{STARTUP_MAX_BYTES, STARTUP_TIMEOUT};
pub use self::client_wire::{READ_AHEAD_MAX_BYTES, WRITE_TIMEOUT};
pub use self::clock::*;
pub use self::error::*;
pub use self::frames::MESSAGE_MAX_BYTES;
pub use self::group_call::{CONTROL_DATABASE, CONTROL_IDLE_TIMEOUT, StatusText, StatusTextError};
pub use self::hybrid_clock::*;
pub use self::lead_run::*;
pub use self::lead_settings::*;
pub use self::log_budget::*;
pub use self::logging::*;
pub use self::metrics::*;
pub use self::peer_edge::*;
pub use self::prepared::{
    BatchStep, PREPARED_MAX, PREPARED_MAX_BYTES, PreparedError, PreparedStatements, RewrittenBatch,
};
pub use self::raw_settings::*;
use self::read_counter::PendingReads;
pub use self::run::*;
pub use self::runner::*;
pub use self::scram::{VerifierError, make_verifier};
pub use self::session_command::{
    KEY_PARAMETER, SessionCommand, TOKEN_PARAMETER, key_of_comment, session_commands,
};
pub use self::settings::*;
pub use self::settings_fault::*;
pub use self::status::*;
pub use self::timeline_order::*;
pub use self::timeline_ring::*;
pub use self::timers::*;
pub use self::whole_lines::*;
