//! The main loop of a daemon that takes its leaders from the store: passes events to the reducer and
//! carries out the effects that it returns.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sapphireslip_core::{SessionId, TransactionStatus};
use sapphireslip_lead::{ClientEvent, Effect, Event, Reply, State};
use sapphireslip_platform::{
    encode_failure, encode_forward, encode_forwarded_opened, encode_grant, encode_reply,
    encode_session_opened, encode_share_answer, encode_told_catalog, encode_told_tables,
    promote_call,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::BootClock;
use crate::lead_clients::{Clients, NewClient};
use crate::lead_log::log_record;
use crate::lead_metrics::LeadMetrics;
use crate::lead_servers::{Backends, Target};
use crate::lead_shares::ShareLink;
use crate::store_edge::StoreEdge;

/// The interval of ticks while statements, a handover or the stop depend on timeouts.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The interval of ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(40);

/// The shortest time between two updates of the gauges.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// How long the last answers to clients and the last writes to the store may take at the end of a
/// stop.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// The state of the main loop and the connections and channels that it uses.
pub(crate) struct LeadRunner {
    /// The reducer.
    pub(crate) state: State,
    pub(crate) clock: BootClock,
    /// The events that the connections and the store have sent.
    pub(crate) events: flume::Receiver<Event>,
    /// The other end of `events`, for new connections.
    pub(crate) events_tx: flume::Sender<Event>,
    /// Accepted connections that are not yet served.
    pub(crate) new_clients: flume::Receiver<NewClient>,
    pub(crate) clients: Clients,
    pub(crate) backends: Backends,
    pub(crate) store: StoreEdge,
    /// The connection to the coordinator for shares of accounts' limits.
    pub(crate) shares: ShareLink,
    /// Whether the daemon is ready for clients, for the readiness page.
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Whether the leaders have to be watched in the store.
    pub(crate) needs_leaders: Arc<AtomicBool>,
    /// Whether the configuration has to be watched in the store.
    pub(crate) needs_catalog: Arc<AtomicBool>,
    pub(crate) metrics: Arc<LeadMetrics>,
    /// The number of the last session, counted from 1; 0 if there was none.
    pub(crate) last_session: u64,
    /// When the gauges were last updated.
    pub(crate) last_metrics_update: Instant,
    /// The writes to the store that have not ended.
    pub(crate) writes: JoinSet<()>,
}

impl LeadRunner {
    /// Runs until the reducer asks to end the process.
    pub(crate) async fn run(mut self) {
        let mut last_tick = Instant::now();
        loop {
            let interval = if self.state.needs_frequent_ticks() {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            // The timer comes first, so that a stream of events can't delay timeouts.
            let event = tokio::select! {
                biased;
                () = sleep_until(last_tick + interval) => {
                    last_tick = Instant::now();
                    self.update_metrics();
                    Event::Tick
                }
                event = self.events.recv_async() => event.unwrap_or(Event::Tick),
                client = self.new_clients.recv_async() => {
                    if let Ok(client) = client {
                        self.last_session += 1;
                        let id = SessionId(self.last_session);
                        self.clients.add(id, client, self.events_tx.clone());
                    }
                    continue;
                }
            };
            if self.handle(event) {
                return self.flush().await;
            }
            while self.writes.try_join_next().is_some() {}
        }
    }

    /// Updates the gauges from the reducer's state, at most once per `METRICS_INTERVAL`.
    fn update_metrics(&mut self) {
        if self.last_metrics_update.elapsed() >= METRICS_INTERVAL {
            self.last_metrics_update = Instant::now();
            self.metrics.update(&self.state.snapshot());
            self.metrics.set_clients(self.clients.len());
        }
    }

    /// Waits for the last answers to clients and for the last writes to the store, which give up
    /// this daemon's permission and the coordinator's role.
    async fn flush(mut self) {
        let answers = tokio::time::timeout(FLUSH_TIMEOUT, self.clients.end());
        let writes = async { while self.writes.join_next().await.is_some() {} };
        let writes = tokio::time::timeout(FLUSH_TIMEOUT, writes);
        let (answers, writes) = tokio::join!(answers, writes);
        if answers.is_err() {
            log::warn!("the last answers to clients were not all written within {FLUSH_TIMEOUT:?}");
        }
        if writes.is_err() {
            log::warn!("the last writes to the store did not end within {FLUSH_TIMEOUT:?}");
        }
    }

    /// Passes an event to the reducer and carries out the effects; returns true if the process is
    /// to end.
    fn handle(&mut self, event: Event) -> bool {
        let closed = match &event {
            Event::Client(ClientEvent::Closed { session }) => Some(*session),
            _ => None,
        };
        let effects = self.state.reduce(self.clock.now(), event);
        let mut should_exit = false;
        for effect in effects {
            should_exit |= self.carry_out(effect);
        }
        // Each connection ends with this event, also one that the reducer never heard of.
        if let Some(session) = closed {
            self.clients.close(session);
        }
        self.is_ready
            .store(self.state.is_ready(), Ordering::Relaxed);
        let needs_leaders = self.state.needs_leaders();
        self.needs_leaders.store(needs_leaders, Ordering::Relaxed);
        let needs_catalog = !self.state.follows_reader();
        self.needs_catalog.store(needs_catalog, Ordering::Relaxed);
        should_exit
    }

    /// Carries out an effect; returns true if the process is to end.
    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Welcome {
                session,
                is_forwarded,
            } => {
                let mut bytes = Vec::new();
                match is_forwarded {
                    true => encode_forwarded_opened(&mut bytes),
                    false => encode_session_opened(&mut bytes),
                }
                self.clients.send(session, bytes);
            }
            Effect::RefuseNext { session, failure } => {
                let mut bytes = Vec::new();
                let refusal = Reply::failed(failure, TransactionStatus::Idle);
                encode_reply(&refusal, &mut bytes);
                self.clients.refuse_next(session, bytes);
            }
            Effect::Relay {
                session,
                address,
                database,
                key,
                version,
            } => {
                let mut opening = Vec::new();
                encode_forward(version, &database, key, &mut opening);
                self.clients.forward(session, address, opening);
            }
            Effect::Answer { session, reply } => {
                let mut bytes = Vec::new();
                encode_reply(&reply, &mut bytes);
                self.clients.answer(session, bytes);
            }
            Effect::CloseSession { session, failure } => {
                if let Some(failure) = failure {
                    let mut bytes = Vec::new();
                    encode_failure(&failure, &mut bytes);
                    self.clients.send(session, bytes);
                }
                self.clients.close(session);
            }
            Effect::CloseWhenIdle { session } => self.clients.close_when_idle(session),
            Effect::Connect {
                connection,
                address,
                service,
                server,
                account,
            } => {
                let to = Target {
                    address,
                    service,
                    server,
                    account,
                };
                self.backends
                    .connect(connection, to, self.events_tx.clone());
            }
            Effect::Send {
                connection,
                requests,
            } => self.backends.send(connection, &requests),
            Effect::Disconnect { connection } => self.backends.close(connection),
            Effect::ReadServers => {
                tokio::spawn(self.store.clone().read_servers());
            }
            Effect::ReadLeaders => {
                tokio::spawn(self.store.clone().read_leaders());
            }
            Effect::ReadPermissions => {
                tokio::spawn(self.store.clone().read_permissions());
            }
            Effect::Write(write) => {
                self.writes.spawn(self.store.clone().write(write));
            }
            Effect::Promote {
                service,
                server,
                coordinator,
                token,
            } => {
                let call = promote_call(&service, &server, &coordinator, token);
                tokio::spawn(self.store.clone().promote(service, call));
            }
            Effect::AskGrant {
                address,
                generation,
                servers,
            } => {
                let store = self.store.clone();
                tokio::spawn(store.ask_grant(address, generation, servers));
            }
            Effect::Grant {
                session,
                length,
                staying,
            } => {
                let mut bytes = Vec::new();
                encode_grant(length, &staying, &mut bytes);
                self.clients.send(session, bytes);
                self.clients.close(session);
            }
            Effect::RequestShares { address, request } => self.shares.send(address, request),
            Effect::AnswerShares { session, answer } => {
                let mut bytes = Vec::new();
                encode_share_answer(&answer, &mut bytes);
                self.clients.send(session, bytes);
            }
            Effect::AskCatalog { address, version } => {
                tokio::spawn(self.store.clone().ask_catalog(address, version));
            }
            Effect::TellCatalog { session, told } => {
                let mut bytes = Vec::new();
                encode_told_catalog(&told, &mut bytes);
                self.clients.send(session, bytes);
                self.clients.close(session);
            }
            Effect::AskTables { address, request } => {
                tokio::spawn(self.store.clone().ask_tables(address, request));
            }
            Effect::TellTables { session, told } => {
                let mut bytes = Vec::new();
                encode_told_tables(&told, &mut bytes);
                self.clients.send(session, bytes);
                self.clients.close(session);
            }
            Effect::Log(record) => {
                self.metrics.record(&record);
                log_record(&record);
            }
            Effect::Exit => {
                log::info!(sessions = self.clients.len(); "stopping");
                return true;
            }
        }
        false
    }
}
