//! The backend edge: carries out backend effects on connections to the servers and reports the
//! answers as events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};
use sapphireslip_core::{
    BackendEffect, BackendEvent, CallId, ConnectionId, DatabaseName, Event, GroupFailure,
    GroupRequest, ServerId, ServerSpec,
};
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::backend_connection::{BackendSettings, CONNECT_TIMEOUT, open};
use crate::backend_work::{self, Work};
use crate::group_call::{self, GroupCall};

/// The maximum number of pieces of work queued for one connection.
pub const WORK_QUEUE_MAX: usize = 8;

/// The maximum number of group requests queued for one control connection.
pub const CALL_QUEUE_MAX: usize = 64;

/// The edge's handle to the task of a connection; dropping the handle closes the connection.
struct ConnectionHandle {
    /// The queue of work for the connection.
    work: Sender<Work>,
    /// Cancels the task when dropped.
    _stop: DropGuard,
}

/// The key of a control connection, which carries group requests to one server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ControlKey {
    server: ServerId,
    address: SocketAddr,
    /// Whether the connection is for long polls only, which would hold up other requests.
    is_long_poll: bool,
}

/// The state of the edge's loop.
struct Edge {
    settings: BackendSettings,
    events: Sender<Event>,
    /// The connections for statements that were not closed; entries of ended tasks are removed at
    /// the next connect.
    connections: BTreeMap<ConnectionId, ConnectionHandle>,
    /// The queue of each control connection's task; disconnected once the task has ended.
    control_queues: BTreeMap<ControlKey, Sender<GroupCall>>,
}

/// Carries out effects until their channel is closed.
///
/// The loop never waits for a server: each connection has a task and a bounded queue of its own. A
/// connection whose queue is full is closed and reported as lost.
///
/// ```
/// use sapphireslip_core::{VmId, ZoneName};
/// use sapphireslipd::{BackendSettings, run_backend_edge};
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), sapphireslip_core::NameError> {
/// let settings = BackendSettings {
///     user: "sapphireslip".into(),
///     password: None,
///     vm: VmId::try_from("vm-1")?,
///     zone: ZoneName::try_from("zone-a")?,
/// };
/// let (event_tx, _event_rx) = flume::bounded(16);
/// let (effect_tx, effect_rx) = flume::bounded(16);
/// drop(effect_tx);
/// run_backend_edge(event_tx, effect_rx, settings).await;
/// # Ok(())
/// # }
/// ```
pub async fn run(
    events: Sender<Event>,
    effects: Receiver<BackendEffect>,
    settings: BackendSettings,
) {
    let mut edge = Edge {
        settings,
        events,
        connections: BTreeMap::new(),
        control_queues: BTreeMap::new(),
    };
    while let Ok(effect) = effects.recv_async().await {
        edge.carry_out(effect);
    }
}

impl Edge {
    fn carry_out(&mut self, effect: BackendEffect) {
        match effect {
            BackendEffect::Connect {
                connection,
                server: _,
                address,
                database,
            } => self.connect(connection, address, &database),
            BackendEffect::Send {
                connection,
                work: id,
                payload,
            } => self.send(connection, Work { id, payload }),
            BackendEffect::Close { connection } => {
                self.connections.remove(&connection);
            }
            BackendEffect::Group {
                call,
                server,
                database: _,
                request,
                timeout,
            } => self.send_group_request(call, &server, request, timeout),
        }
    }

    fn connect(&mut self, id: ConnectionId, address: SocketAddr, database: &DatabaseName) {
        self.connections
            .retain(|_, handle| !handle.work.is_disconnected());
        let (work_tx, work_rx) = flume::bounded(WORK_QUEUE_MAX);
        let stop = CancellationToken::new();
        let task = run_connection(
            id,
            address,
            database.clone(),
            self.settings.clone(),
            work_rx,
            self.events.clone(),
        );
        tokio::spawn(stop.clone().run_until_cancelled_owned(task));
        let handle = ConnectionHandle {
            work: work_tx,
            _stop: stop.drop_guard(),
        };
        self.connections.insert(id, handle);
    }

    fn send(&mut self, id: ConnectionId, work: Work) {
        let Some(handle) = self.connections.get(&id) else {
            return;
        };
        // A disconnected queue needs no report: a task reports the loss of its connection itself.
        let Err(TrySendError::Full(work)) = handle.work.try_send(work) else {
            return;
        };
        log::error!(
            "closing connection {}: its queue is full at work {}",
            id.0,
            work.id.0
        );
        self.connections.remove(&id);
        self.report(BackendEvent::Lost { connection: id });
    }

    fn send_group_request(
        &mut self,
        id: CallId,
        server: &ServerSpec,
        request: GroupRequest,
        timeout: Duration,
    ) {
        let is_long_poll = matches!(request, GroupRequest::Status { wait_for: Some(_) });
        let key = ControlKey {
            server: server.id.clone(),
            address: server.address,
            is_long_poll,
        };
        let call = GroupCall {
            id,
            request,
            deadline: Instant::now() + timeout,
        };
        let control = self
            .control_queues
            .entry(key.clone())
            .or_insert_with(|| start_control(&key, self.settings.clone(), self.events.clone()));
        let call = match control.try_send(call) {
            Ok(()) => return,
            Err(TrySendError::Disconnected(call)) => {
                *control = start_control(&key, self.settings.clone(), self.events.clone());
                match control.try_send(call) {
                    Ok(()) => return,
                    Err(error) => error.into_inner(),
                }
            }
            Err(TrySendError::Full(call)) => call,
        };
        log::warn!(
            "refusing a group request: too many are queued for server `{}`",
            key.server
        );
        self.report(BackendEvent::GroupReply {
            server: key.server,
            call: call.id,
            result: Err(GroupFailure::NoAnswer),
        });
    }

    /// Reports an event from a task of its own, so that the loop does not wait for the runner.
    fn report(&self, event: BackendEvent) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let _runner_gone = events.send_async(Event::Backend(event)).await;
        });
    }
}

/// Starts the task of a control connection and returns its queue.
fn start_control(
    key: &ControlKey,
    settings: BackendSettings,
    events: Sender<Event>,
) -> Sender<GroupCall> {
    let (calls_tx, calls_rx) = flume::bounded(CALL_QUEUE_MAX);
    let run = group_call::run(key.server.clone(), key.address, settings, calls_rx, events);
    tokio::spawn(run);
    calls_tx
}

/// Opens a connection and carries out its work until it is lost or its handle is dropped.
async fn run_connection(
    id: ConnectionId,
    address: SocketAddr,
    database: DatabaseName,
    settings: BackendSettings,
    work: Receiver<Work>,
    events: Sender<Event>,
) {
    let opened = open(address, database.as_str(), &settings, CONNECT_TIMEOUT).await;
    let connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            log::info!("{error}");
            let failed = BackendEvent::ConnectFailed {
                connection: id,
                failure: error.connect_failure(),
            };
            let _runner_gone = events.send_async(Event::Backend(failed)).await;
            return;
        }
    };
    let connected = BackendEvent::Connected { connection: id };
    if events.send_async(Event::Backend(connected)).await.is_err() {
        return;
    }
    if let Err(error) = backend_work::run(connection, id, work, &events).await {
        log::info!("{error}");
        let lost = BackendEvent::Lost { connection: id };
        let _runner_gone = events.send_async(Event::Backend(lost)).await;
    }
}
