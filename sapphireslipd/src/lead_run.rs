//! Starts a daemon that takes the leaders of its services from the store.
//!
//! In the names of this package, `lead` marks what belongs to such a daemon alone: a leader is the
//! backend server that the store names to lead a service.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use sapphireslip_lead::{Event, Identity, State};
use sapphireslip_platform::{Table, decode_catalog, decode_leaders};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

use crate::lead_clients::{Clients, NewClient, accept};
use crate::lead_metrics::LeadMetrics;
use crate::lead_runner::LeadRunner;
use crate::lead_servers::Backends;
use crate::lead_shares::ShareLink;
use crate::run::listen;
use crate::store_client::StoreClient;
use crate::store_edge::StoreEdge;
use crate::store_eras::StoreEras;
use crate::store_watch::Watch;
use crate::{BootClock, Error, LeadSettings, new_incarnation, readiness_page, store_watch};

/// The most events that may be queued for the reducer.
const LEAD_EVENTS_MAX: usize = 4_096;

/// The most accepted connections that may be queued for the runner.
const NEW_CLIENTS_MAX: usize = 64;

/// Runs a daemon that takes its leaders from the store until it has been asked to stop and has drained.
///
/// # Errors
///
/// Returns an error if an address can't be listened on, or if the clock or the signal handlers
/// can't be set up.
pub async fn serve_lead(settings: LeadSettings) -> Result<(), Error> {
    let clients = listen("callers", settings.clients).await?;
    let peers = listen("peers", settings.peers).await?;
    let readiness = listen("the readiness page", settings.readiness).await?;
    let metrics_page = listen("metrics", settings.metrics).await?;
    let metrics = Arc::new(LeadMetrics::default());
    let clock = BootClock::start().map_err(Error::Clock)?;
    let (events_tx, events) = flume::bounded(LEAD_EVENTS_MAX);
    let store = StoreEdge {
        store: StoreClient::new(settings.store, Arc::clone(&metrics))
            .with_eras(StoreEras::new(events_tx.clone())),
        promotion: StoreClient::new(settings.promotion, Arc::clone(&metrics)),
        vm: settings.vm.clone(),
        clock,
        events: events_tx.clone(),
    };
    tokio::spawn(readiness_page::serve_metrics(
        metrics_page,
        Arc::clone(&metrics),
    ));
    let is_ready = Arc::new(AtomicBool::new(false));
    tokio::spawn(readiness_page::serve(readiness, Arc::clone(&is_ready)));
    let needs_leaders = Arc::new(AtomicBool::new(false));
    let needs_catalog = Arc::new(AtomicBool::new(true));
    let configuration = Watch {
        table: Table::Operator,
        decode: |rows| decode_catalog(rows).map(Event::Catalog),
        is_one_row: true,
        is_configuration: true,
        wait: store_watch::catalog_wait_within(settings.settle_time),
        is_needed: Arc::clone(&needs_catalog),
    };
    let leaders = Watch {
        table: Table::Leads,
        decode: |rows| Ok(Event::Leaders(decode_leaders(rows))),
        is_one_row: false,
        is_configuration: false,
        wait: store_watch::wait_within(settings.settle_time),
        is_needed: Arc::clone(&needs_leaders),
    };
    for watch in [configuration, leaders] {
        let (client, events) = (store.store.clone(), store.events.clone());
        tokio::spawn(store_watch::watch(client, watch, clock, events));
    }
    tokio::spawn(stop_on_signals(settings.drain_bound, events_tx.clone())?);
    let incarnation = new_incarnation();
    let identity = Identity {
        vm: settings.vm,
        zone: settings.zone,
        millicores: settings.millicores,
        incarnation,
        peers: settings.peers,
    };
    log::info!(callers:% = settings.clients, incarnation = incarnation.0; "started");
    let shares = ShareLink::start(events_tx.clone());
    let state = State::new(identity, settings.server_drain_bound, incarnation.0)
        .with_rate_bounds(settings.rates);
    let runner = LeadRunner {
        state: match settings.requires_accounts {
            true => state.with_required_accounts(),
            false => state,
        },
        clock,
        events,
        events_tx,
        new_clients: take_clients(clients, peers),
        clients: Clients::default(),
        backends: Backends::default(),
        store,
        shares,
        is_ready,
        needs_leaders,
        needs_catalog,
        metrics,
        last_session: 0,
        last_metrics_update: tokio::time::Instant::now(),
        writes: JoinSet::new(),
    };
    runner.run().await;
    log::info!("stopped");
    Ok(())
}

/// Starts to accept connections from clients and from other daemons; returns the channel that
/// receives them.
fn take_clients(clients: TcpListener, peers: TcpListener) -> flume::Receiver<NewClient> {
    let (tx, rx) = flume::bounded(NEW_CLIENTS_MAX);
    tokio::spawn(accept(clients, false, tx.clone()));
    tokio::spawn(accept(peers, true, tx));
    rx
}

/// Returns a task that starts a drain on SIGTERM or SIGINT.
///
/// SIGHUP, by which the daemon is told of a changed settings file, is only logged: the settings are
/// read at the start alone.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
fn stop_on_signals(
    grace: std::time::Duration,
    events: flume::Sender<Event>,
) -> Result<impl Future<Output = ()>, Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log::info!(
                    "SIGHUP is ignored: a changed settings file takes effect after a restart"
                ),
            }
        }
        // Fails only if the daemon is already stopping.
        let _stopping = events.send_async(Event::Drain { grace }).await;
    })
}
