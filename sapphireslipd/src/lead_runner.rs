//! Feeds events to the reducer and carries out its effects.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sapphireslip_core::SessionId;
use sapphireslip_lead::{Effect, Event, State};
use sapphireslip_platform::{
    encode_failure, encode_forward, encode_grant, encode_reply, encode_session_opened, promote_call,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::BootClock;
use crate::lead_clients::{Clients, NewClient};
use crate::lead_log::log_record;
use crate::lead_metrics::LeadMetrics;
use crate::lead_servers::{Backends, Target};
use crate::store_edge::StoreEdge;

/// How often time is looked at while something waits for it.
const TICK_PRESSED: Duration = Duration::from_millis(10);

/// How often time is looked at otherwise.
const TICK_CALM: Duration = Duration::from_millis(40);

/// How often the state is shown in the metrics.
const SHOW_EVERY: Duration = Duration::from_secs(1);

/// How long the last writes to the store may take at the end of a stop.
const FLUSH_MAX: Duration = Duration::from_millis(400);

/// What the runner works with.
pub(crate) struct LeadRunner {
    pub(crate) state: State,
    pub(crate) clock: BootClock,
    pub(crate) events: flume::Receiver<Event>,
    pub(crate) events_tx: flume::Sender<Event>,
    pub(crate) new_clients: flume::Receiver<NewClient>,
    pub(crate) clients: Clients,
    pub(crate) backends: Backends,
    pub(crate) store: StoreEdge,
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Whether the leads have to be watched.
    pub(crate) needs_leads: Arc<AtomicBool>,
    pub(crate) metrics: Arc<LeadMetrics>,
    pub(crate) sessions: u64,
    pub(crate) shown: Instant,
    /// The writes to the store that are under way.
    pub(crate) writes: JoinSet<()>,
}

impl LeadRunner {
    /// Runs until the reducer asks to leave.
    pub(crate) async fn run(mut self) {
        let mut ticked = Instant::now();
        loop {
            let pause = if self.state.needs_frequent_ticks() {
                TICK_PRESSED
            } else {
                TICK_CALM
            };
            // Time comes first: a stream of events must not hold up what is due.
            let event = tokio::select! {
                biased;
                () = sleep_until(ticked + pause) => {
                    ticked = Instant::now();
                    self.show();
                    Event::Tick
                }
                event = self.events.recv_async() => event.unwrap_or(Event::Tick),
                client = self.new_clients.recv_async() => {
                    if let Ok(client) = client {
                        self.sessions += 1;
                        let id = SessionId(self.sessions);
                        self.clients.add(id, client, self.events_tx.clone());
                    }
                    continue;
                }
            };
            if self.take(event) {
                return self.flush().await;
            }
            while self.writes.try_join_next().is_some() {}
        }
    }

    /// Shows the state in the metrics, now and then.
    fn show(&mut self) {
        if self.shown.elapsed() >= SHOW_EVERY {
            self.shown = Instant::now();
            self.metrics.show(&self.state.snapshot());
        }
    }

    /// Lets the last answers to callers and the last writes to the store end, which give back what
    /// this daemon holds.
    async fn flush(mut self) {
        let answers = tokio::time::timeout(FLUSH_MAX, self.clients.end());
        let writes = async { while self.writes.join_next().await.is_some() {} };
        let writes = tokio::time::timeout(FLUSH_MAX, writes);
        let (answers, writes) = tokio::join!(answers, writes);
        if answers.is_err() {
            log::warn!("the last answers to callers were not taken in time");
        }
        if writes.is_err() {
            log::warn!("the last writes to the store did not end in time");
        }
    }

    /// Takes an event; returns true if the process is to end.
    fn take(&mut self, event: Event) -> bool {
        let effects = self.state.reduce(self.clock.now(), event);
        let mut leaves = false;
        for effect in effects {
            leaves |= self.carry_out(effect);
        }
        self.is_ready
            .store(self.state.is_ready(), Ordering::Relaxed);
        let needs_leads = self.state.needs_leaders();
        self.needs_leads.store(needs_leads, Ordering::Relaxed);
        leaves
    }

    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Welcome { session } => {
                let mut bytes = Vec::new();
                encode_session_opened(&mut bytes);
                self.clients.send(session, bytes);
            }
            Effect::Relay {
                session,
                address,
                database,
                version,
            } => {
                let mut opening = Vec::new();
                encode_forward(version, &database, &mut opening);
                self.clients.pass_on(session, address, opening);
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
                tokio::spawn(self.store.clone().read_leads());
            }
            Effect::ReadPermissions => {
                tokio::spawn(self.store.clone().read_permits());
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
            } => {
                tokio::spawn(self.store.clone().ask_grant(address, generation));
            }
            Effect::Grant { session, length } => {
                let mut bytes = Vec::new();
                encode_grant(length, &mut bytes);
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
