//! The parts of the daemon: edges, effect runner, timers and the admin interface.

mod backend_connection;
mod backend_edge;
mod backend_error;
mod backend_work;
mod caller_batch;
mod caller_edge;
mod caller_error;
mod caller_messages;
mod caller_session;
mod caller_startup;
mod caller_wire;
mod frames;
mod group_call;
mod prepared;
mod scram;
mod session_command;
mod sql_scan;

pub use self::backend_connection::{BackendSettings, CONNECT_TIMEOUT};
pub use self::backend_edge::{CALL_QUEUE_MAX, WORK_QUEUE_MAX, run as run_backend_edge};
pub use self::backend_error::BackendError;
pub use self::backend_work::ANSWER_PART_BYTES;
pub use self::caller_edge::{
    SESSION_QUEUE_MAX, SESSION_QUEUE_MAX_BYTES, SESSIONS_MAX, serve as serve_callers,
};
pub use self::caller_error::CallerError;
pub use self::caller_session::BATCH_MAX_MESSAGES;
pub use self::caller_startup::{STARTUP_MAX_BYTES, STARTUP_TIMEOUT};
pub use self::caller_wire::{READ_AHEAD_MAX_BYTES, WRITE_TIMEOUT};
pub use self::frames::MESSAGE_MAX_BYTES;
pub use self::group_call::{CONTROL_DATABASE, CONTROL_IDLE, StatusText, StatusTextError};
pub use self::prepared::{
    PREPARED_MAX, PREPARED_MAX_BYTES, PreparedError, PreparedStatements, Rewritten, Step,
};
pub use self::scram::{VerifierError, make_verifier};
pub use self::session_command::{
    KEY_PARAMETER, SessionCommand, TOKEN_PARAMETER, key_of_comment, session_commands,
};
