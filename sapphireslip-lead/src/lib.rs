//! The decisions of a daemon as one reducer: it turns events into effects, which are plain data.
//! The metadata store names the leader of each service. The crate uses no sockets, tasks, clocks or
//! threads.

mod catalog;
mod choice;
mod client;
mod completion;
mod connection;
mod dispatch;
mod drain;
mod duty;
mod effect;
mod event;
mod floors;
mod grant;
mod handover;
mod home_ranks;
mod homes;
mod job;
mod lead_record;
mod leads;
mod opening;
mod permit;
mod pool;
mod probes;
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

pub use sapphireslip_core::{Position, Term, TermPosition};

pub use self::catalog::*;
pub use self::effect::*;
pub use self::event::*;
pub use self::floors::*;
pub use self::lead_record::*;
pub use self::permit::PERMIT_LENGTH;
pub use self::record::*;
pub use self::reply::*;
pub use self::server_record::*;
pub use self::state::*;
pub use self::statement::*;
pub use self::store_clock::*;
