//! The client edge: accepts client connections in PostgreSQL's protocol and translates between their
//! sessions and the reducer's events and effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flume::{Receiver, Sender};
use sapphireslip_core::{ClientEffect, ClientEvent, Event, SessionId};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::task::TaskTracker;

use crate::client_error::ClientError;
use crate::client_session::{self, SessionLinks};
use crate::client_startup::{
    CancelKey, Purpose, STARTUP_TIMEOUT, STEP_STARTUP, Startup, read_startup,
};
use crate::client_wire::ClientWire;
use crate::scram::random_u64;

/// The most client connections of a daemon, those still in their startup included.
pub const SESSIONS_MAX: usize = 20_000;

/// The most effects queued for one session.
pub const SESSION_QUEUE_MAX: usize = 4096;

/// The most bytes of answers queued for one session.
///
/// A session whose client reads so slowly that the queue exceeds this limit is ended.
pub const SESSION_QUEUE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The target of this module's log lines: its former path, by which operators filter them.
const LOG_TARGET: &str = "sapphireslipd::caller_edge";

/// The edge's handle on a running session; dropping it ends the session.
#[derive(Debug)]
struct SessionHandle {
    /// Sends effects to the session's task.
    effects: Sender<ClientEffect>,
    /// The bytes of the answers in `effects`.
    queued_bytes: Arc<AtomicUsize>,
    /// The key by which another connection can cancel the session's running statement.
    cancel_key: CancelKey,
}

/// The sessions of the edge.
#[derive(Debug, Default)]
struct Sessions {
    /// The handles of the sessions that have not ended.
    handles: BTreeMap<SessionId, SessionHandle>,
    /// The identifier of the newest session; 0 before the first.
    last_id: u64,
    /// The number of open connections: those in their startup and those with a session.
    connections: usize,
}

/// The state that all tasks of the edge share.
#[derive(Clone, Debug)]
struct Edge {
    /// Sends events to the reducer.
    events: Sender<Event>,
    /// The sessions and the count of connections.
    sessions: Arc<Mutex<Sessions>>,
    /// Tracks the sessions that have started and not ended.
    running_sessions: TaskTracker,
}

/// Accepts client connections and serves their sessions until the sender of effects is dropped.
///
/// Returns once every session has written all answers queued for it, so that no client loses an
/// answer that was ready.
///
/// A batch of the extended query protocol is forwarded when its sync message arrives; a flush
/// message is answered early only if the batch so far just prepares, describes or closes
/// statements.
///
/// ```
/// use sapphireslipd::serve_clients;
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let (event_tx, _event_rx) = flume::bounded(16);
/// let (effect_tx, effect_rx) = flume::bounded(16);
/// drop(effect_tx);
/// serve_clients(listener, event_tx, effect_rx).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve(listener: TcpListener, events: Sender<Event>, effects: Receiver<ClientEffect>) {
    let edge = Edge {
        events,
        sessions: Arc::default(),
        running_sessions: TaskTracker::new(),
    };
    let mut listener = Some(listener);
    loop {
        tokio::select! {
            effect = effects.recv_async() => match effect {
                Ok(ClientEffect::StopListening) => listener = None,
                Ok(effect) => edge.dispatch(effect),
                Err(_) => break,
            },
            accepted = accept(listener.as_ref()) => match accepted {
                Ok((socket, peer)) => edge.accept(socket, peer),
                Err(error) => log::error!(
                    target: LOG_TARGET,
                    "accepting a client connection failed: {error}"
                ),
            },
        }
    }
    edge.lock().handles.clear();
    edge.running_sessions.close();
    edge.running_sessions.wait().await;
}

/// Counts a connection in [`Sessions::connections`] until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    /// The edge that counts the connection.
    edge: Edge,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.edge.lock().connections -= 1;
    }
}

/// Accepts the next connection; waits forever without a listener.
async fn accept(listener: Option<&TcpListener>) -> std::io::Result<(TcpStream, SocketAddr)> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    let accepted = listener.accept().await;
    if accepted.is_err() {
        // Most likely out of file descriptors, which only become free with time.
        sleep(ACCEPT_RETRY_DELAY).await;
    }
    accepted
}

/// Returns the session that an effect is for.
fn session_of(effect: &ClientEffect) -> Option<SessionId> {
    match effect {
        ClientEffect::Authenticate { session, .. }
        | ClientEffect::Answer { session, .. }
        | ClientEffect::Finish { session, .. }
        | ClientEffect::Close { session, .. } => Some(*session),
        ClientEffect::StopListening => None,
    }
}

impl Edge {
    fn lock(&self) -> std::sync::MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues an effect for its session without waiting; ends the session if a queue limit is
    /// exceeded.
    fn dispatch(&self, effect: ClientEffect) {
        let Some(session) = session_of(&effect) else {
            return;
        };
        let mut sessions = self.lock();
        let Some(handle) = sessions.handles.get(&session) else {
            return;
        };
        let mut queued = 0;
        if let ClientEffect::Answer { payload, .. } = &effect {
            let bytes = payload.len();
            queued = handle.queued_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        }
        let sent = handle.effects.try_send(effect);
        if queued > SESSION_QUEUE_MAX_BYTES || matches!(sent, Err(flume::TrySendError::Full(_))) {
            log::warn!(
                target: LOG_TARGET,
                "session {} is ended: its client reads answers too slowly",
                session.0
            );
            sessions.handles.remove(&session);
        }
    }

    /// Serves a new connection in a task of its own.
    fn accept(&self, socket: TcpStream, peer: SocketAddr) {
        if let Err(error) = socket.set_nodelay(true) {
            log::info!(target: LOG_TARGET, "{}", ClientError::Io(STEP_STARTUP, peer, error));
            return;
        }
        let mut sessions = self.lock();
        let is_full = sessions.connections >= SESSIONS_MAX;
        sessions.connections += 1;
        drop(sessions);
        let connection = ConnectionGuard { edge: self.clone() };
        tokio::spawn(async move {
            if let Err(error) = connection.edge.serve(socket, peer, is_full).await {
                log::info!(target: LOG_TARGET, "{error}");
            }
        });
    }

    /// Reads a connection's startup and runs its session or cancel request.
    async fn serve(
        &self,
        socket: TcpStream,
        peer: SocketAddr,
        is_full: bool,
    ) -> Result<(), ClientError> {
        let purpose = timeout(STARTUP_TIMEOUT, read_startup(socket, peer)).await;
        let timed_out = |_elapsed| ClientError::Timeout(STEP_STARTUP, peer);
        match purpose.map_err(timed_out)?? {
            Purpose::Cancel(key) => {
                self.cancel(key).await;
                Ok(())
            }
            Purpose::Session(_, mut wire) if is_full => {
                let message = "this daemon has too many sessions: try another one";
                Err(wire.refuse(STEP_STARTUP, "53300", message).await)
            }
            Purpose::Session(startup, wire) => {
                self.run_session(startup, *wire).await;
                Ok(())
            }
        }
    }

    /// Runs a session to its end.
    async fn run_session(&self, startup: Startup, wire: ClientWire) {
        let _running = self.running_sessions.token();
        let links = self.register();
        let id = links.id;
        client_session::run(links, startup, wire).await;
        self.lock().handles.remove(&id);
    }

    /// Registers a new session and returns its links to the edge and the reducer.
    fn register(&self) -> SessionLinks {
        let (effect_tx, effects) = flume::bounded(SESSION_QUEUE_MAX);
        let queued_bytes = Arc::default();
        let mut sessions = self.lock();
        sessions.last_id += 1;
        let id = SessionId(sessions.last_id);
        let cancel_key = CancelKey {
            process: (sessions.last_id & 0x7fff_ffff) as i32,
            secret: random_u64() as i32,
        };
        let handle = SessionHandle {
            effects: effect_tx,
            queued_bytes: Arc::clone(&queued_bytes),
            cancel_key,
        };
        sessions.handles.insert(id, handle);
        drop(sessions);
        SessionLinks {
            id,
            cancel_key,
            events: self.events.clone(),
            effects,
            queued_bytes,
        }
    }

    /// Reports a cancel request for the session with this key, if there is one.
    async fn cancel(&self, key: CancelKey) {
        let matching_session = {
            let sessions = self.lock();
            let mut handles = sessions.handles.iter();
            let matching_session = handles.find(|(_, handle)| handle.cancel_key == key);
            matching_session.map(|(session, _)| *session)
        };
        let Some(session) = matching_session else {
            return;
        };
        let cancel = ClientEvent::Cancel { session };
        let _runner_gone = self.events.send_async(Event::Client(cancel)).await;
    }
}
