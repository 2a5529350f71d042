//! Feeds events to the reducer and carries out its effects.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sapphireslip_core::SessionId;
use sapphireslip_lead::{Effect, Event, State};
use sapphireslip_platform::{
    encode_failure, encode_grant, encode_pass_on, encode_reply, encode_welcome, promote,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::BootClock;
use crate::lead_callers::{Callers, NewCaller};
use crate::lead_log::log_record;
use crate::lead_metrics::LeadMetrics;
use crate::lead_servers::{Backends, Target};
use crate::store_edge::StoreEdge;

/// How often time is looked at while something waits for it.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// How often time is looked at otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(40);

/// How often the state is shown in the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// How long the last writes to the store may take at the end of a stop.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// What the runner works with.
pub(crate) struct LeadRunner {
    pub(crate) state: State,
    pub(crate) clock: BootClock,
    pub(crate) events: flume::Receiver<Event>,
    pub(crate) events_tx: flume::Sender<Event>,
    pub(crate) new_callers: flume::Receiver<NewCaller>,
    pub(crate) callers: Callers,
    pub(crate) backends: Backends,
    pub(crate) store: StoreEdge,
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Whether the leads have to be watched.
    pub(crate) needs_leaders: Arc<AtomicBool>,
    pub(crate) metrics: Arc<LeadMetrics>,
    pub(crate) last_session: u64,
    pub(crate) last_metrics_update: Instant,
    /// The writes to the store that are under way.
    pub(crate) writes: JoinSet<()>,
}

impl LeadRunner {
    /// Runs until the reducer asks to leave.
    pub(crate) async fn run(mut self) {
        let mut last_tick = Instant::now();
        loop {
            let interval = if self.state.needs_frequent_ticks() {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            // Time comes first: a stream of events must not hold up what is due.
            let event = tokio::select! {
                biased;
                () = sleep_until(last_tick + interval) => {
                    last_tick = Instant::now();
                    self.update_metrics();
                    Event::Tick
                }
                event = self.events.recv_async() => event.unwrap_or(Event::Tick),
                caller = self.new_callers.recv_async() => {
                    if let Ok(caller) = caller {
                        self.last_session += 1;
                        let id = SessionId(self.last_session);
                        self.callers.add(id, caller, self.events_tx.clone());
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

    /// Shows the state in the metrics, now and then.
    fn update_metrics(&mut self) {
        if self.last_metrics_update.elapsed() >= METRICS_INTERVAL {
            self.last_metrics_update = Instant::now();
            self.metrics.update(&self.state.snapshot());
        }
    }

    /// Lets the last answers to callers and the last writes to the store end, which give back what
    /// this daemon holds.
    async fn flush(mut self) {
        let answers = tokio::time::timeout(FLUSH_TIMEOUT, self.callers.end());
        let writes = async { while self.writes.join_next().await.is_some() {} };
        let writes = tokio::time::timeout(FLUSH_TIMEOUT, writes);
        let (answers, writes) = tokio::join!(answers, writes);
        if answers.is_err() {
            log::warn!("the last answers to callers were not taken in time");
        }
        if writes.is_err() {
            log::warn!("the last writes to the store did not end in time");
        }
    }

    /// Takes an event; returns true if the process is to end.
    fn handle(&mut self, event: Event) -> bool {
        let effects = self.state.reduce(self.clock.now(), event);
        let mut should_exit = false;
        for effect in effects {
            should_exit |= self.carry_out(effect);
        }
        self.is_ready
            .store(self.state.is_ready(), Ordering::Relaxed);
        let needs_leaders = self.state.needs_leaders();
        self.needs_leaders.store(needs_leaders, Ordering::Relaxed);
        should_exit
    }

    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Welcome { session } => {
                let mut bytes = Vec::new();
                encode_welcome(&mut bytes);
                self.callers.send(session, bytes);
            }
            Effect::Relay {
                session,
                address,
                database,
                version,
            } => {
                let mut opening = Vec::new();
                encode_pass_on(version, &database, &mut opening);
                self.callers.forward(session, address, opening);
            }
            Effect::Answer { session, reply } => {
                let mut bytes = Vec::new();
                encode_reply(&reply, &mut bytes);
                self.callers.answer(session, bytes);
            }
            Effect::CloseSession { session, failure } => {
                if let Some(failure) = failure {
                    let mut bytes = Vec::new();
                    encode_failure(&failure, &mut bytes);
                    self.callers.send(session, bytes);
                }
                self.callers.close(session);
            }
            Effect::CloseWhenIdle { session } => self.callers.close_when_idle(session),
            Effect::Connect {
                connection,
                address,
                service,
                server,
            } => {
                let to = Target {
                    address,
                    service,
                    server,
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
                let call = promote(&service, &server, &coordinator, token);
                tokio::spawn(self.store.clone().promote(service, call));
            }
            Effect::AskGrant {
                address,
                generation,
            } => {
                tokio::spawn(self.store.clone().ask_grant(address, generation));
            }
            Effect::Grant { session, length } => {
                let mut bytes = Vec::new();
                encode_grant(length, &mut bytes);
                self.callers.send(session, bytes);
                self.callers.close(session);
            }
            Effect::Log(record) => {
                self.metrics.record(&record);
                log_record(&record);
            }
            Effect::Exit => {
                log::info!(sessions = self.callers.len(); "stopping");
                return true;
            }
        }
        false
    }
}
