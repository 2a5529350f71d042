//! The parts of the daemon: edges, effect runner, timers and the admin interface.

mod backend_connection;
mod backend_edge;
mod backend_error;
mod backend_work;
mod frames;
mod group_call;

pub use self::backend_connection::{BackendSettings, CONNECT_TIMEOUT};
pub use self::backend_edge::{CALL_QUEUE_MAX, WORK_QUEUE_MAX, run as run_backend_edge};
pub use self::backend_error::BackendError;
pub use self::backend_work::ANSWER_PART_BYTES;
pub use self::frames::MESSAGE_MAX_BYTES;
pub use self::group_call::{CONTROL_DATABASE, CONTROL_IDLE, StatusText, StatusTextError};
