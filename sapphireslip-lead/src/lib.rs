//! The decision logic of a daemon that takes the leaders of its services from the platform's store,
//! as a reducer that turns events into effects, which are plain data.
//!
//! The crate uses no sockets, tasks, clocks or threads.

mod account;
mod account_flow;
mod catalog;
mod choice;
mod client;
mod client_account;
mod completion;
mod completion_rate;
mod connection;
mod coordinator;
mod deadline_admission;
mod dispatch;
mod drain;
mod effect;
mod event;
mod fair_queue;
mod floors;
mod grant;
mod handover;
mod home_ranks;
mod homes;
mod job;
mod lead_record;
mod leaders;
mod new_work;
mod permission;
mod pool;
mod probes;
mod queue_entry;
mod record;
mod refusal;
mod relays;
mod reply;
mod server;
mod server_record;
mod servers;
mod session;
mod session_statement;
mod state;
mod statement;
mod store_clock;
mod store_events;
mod timeouts;
mod transaction;
mod votes;
mod waiting_session;
mod waiting_statement;

pub use sapphireslip_core::{Position, Term, TermPosition};

pub use self::account::*;
pub use self::catalog::*;
pub use self::completion_rate::CompletionRate;
pub use self::deadline_admission::*;
pub use self::effect::*;
pub use self::event::*;
pub use self::fair_queue::*;
pub use self::floors::*;
pub use self::job::JobId;
pub use self::lead_record::*;
pub use self::permission::PERMISSION_LENGTH;
pub use self::record::*;
pub use self::reply::*;
pub use self::server_record::*;
pub use self::state::*;
pub use self::statement::*;
pub use self::store_clock::*;
pub use self::waiting_statement::*;
