//! Starts a daemon of either kind from the command line, and a daemon that is configured by service
//! documents also within another program.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use sapphireslip_core::{Event, Local, OperatorEvent, State};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

use crate::logging::start_bounded_logging;
use crate::{
    Admin, BackendSettings, Clock, EFFECT_QUEUE_MAX, EVENT_QUEUE_MAX, EffectSenders, Error,
    HybridClock, LeadSettings, Metrics, PeerEdge, ReadinessCell, Runner, RunnerParts, Settings,
    TimelineRing, backend_edge, client_edge, is_lead_settings, new_incarnation, platform_edge,
    serve_lead, start_logging,
};

/// The name of the program in help texts and shell completion.
const PROGRAM: &str = "sapphireslipd";

/// The maximum number of status queries queued for the runner.
const QUERY_QUEUE_MAX: usize = 16;

/// How long the edges may take to carry out the last effects after the reducer has asked to exit.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A daemon of sapphireslip, a database proxy with session consistency.
///
/// Exit codes: 0 after a graceful stop or a successful check, 1 for an invalid command line or when
/// the daemon can't run, 2 when the settings file can't be read or is invalid.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Check the settings file and exit
    check: bool,
    /// The settings file, in TOML
    #[bpaf(positional("SETTINGS_FILE"))]
    settings: PathBuf,
}

/// Runs a daemon with command line arguments, without the program name; returns the exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args: Vec<_> = args.into_iter().collect();
    // Shell completion only works if the program name is set.
    let named = bpaf::Args::from(args.as_slice()).set_name(PROGRAM);
    let args = match self::args().run_inner(named) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(u8::try_from(failure.exit_code()).unwrap_or(1));
        }
    };
    match run_args(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn run_args(args: &Args) -> Result<(), Error> {
    let bytes = read_file(&args.settings)?;
    if is_lead_settings(&bytes) {
        return run_lead(args, &bytes);
    }
    let settings = read_settings(&args.settings)?;
    if args.check {
        return Ok(());
    }
    start_logging(&settings.vm, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let served = runtime.block_on(async {
        let stop = stop_signal()?;
        serve_until(settings, stop).await
    });
    runtime.shutdown_background();
    served
}

/// Runs a daemon that takes the leaders of its services from the store, on a single thread, as its
/// VMs have only a fraction of a core.
fn run_lead(args: &Args, bytes: &[u8]) -> Result<(), Error> {
    let settings = LeadSettings::try_from(bytes);
    let settings = settings.map_err(|errors| Error::Settings(args.settings.clone(), errors))?;
    if args.check {
        return Ok(());
    }
    let log = start_bounded_logging(&settings.vm, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let served = runtime.block_on(serve_lead(settings));
    log.flush_at_end();
    served
}

fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|err| Error::Read(path.to_owned(), err))
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`Error::Read`] if the file can't be read, and [`Error::Settings`] with all faults if it
/// is invalid.
///
/// ```
/// let err = sapphireslipd::read_settings("/nonexistent".as_ref()).unwrap_err();
/// assert!(err.to_string().starts_with("reading settings `/nonexistent`"));
/// ```
pub fn read_settings(path: &Path) -> Result<Settings, Error> {
    let bytes = read_file(path)?;
    let settings = Settings::try_from(bytes.as_slice());
    settings.map_err(|errors| Error::Settings(path.to_owned(), errors))
}

/// Returns a future that completes when the process receives SIGTERM or SIGINT.
fn stop_signal() -> Result<impl Future<Output = ()>, Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Runs a daemon in this process until a drain requested over its admin interface is finished.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the daemon can't listen on one of its addresses.
pub async fn serve(settings: Settings) -> Result<(), Error> {
    serve_until(settings, std::future::pending()).await
}

/// Runs a daemon in this process; once `stop` completes, the daemon drains and exits.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the daemon can't listen on one of its addresses.
pub async fn serve_until(
    settings: Settings,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(), Error> {
    let clients = listen("callers", settings.clients).await?;
    let peers = listen("peers", settings.peers).await?;
    let admin = listen("the admin interface", settings.admin).await?;
    let local = Local {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        address: settings.peers_advertised,
        incarnation: new_incarnation(),
    };
    let (events_tx, events) = flume::bounded(EVENT_QUEUE_MAX);
    let (queries_tx, queries) = flume::bounded(QUERY_QUEUE_MAX);
    let (clients_tx, clients_rx) = flume::bounded(EFFECT_QUEUE_MAX);
    let (backends_tx, backends_rx) = flume::bounded(EFFECT_QUEUE_MAX);
    let (platform_tx, platform_rx) = flume::bounded(EFFECT_QUEUE_MAX);
    let metrics = Arc::new(Metrics::default());
    let timeline = Arc::new(TimelineRing::default());
    let readiness = Arc::new(ReadinessCell::default());
    let hybrid_clock = Arc::new(HybridClock::new(local.incarnation));
    let peer_edge = PeerEdge::new(
        local.clone(),
        settings.peers.ip(),
        Arc::clone(&hybrid_clock),
        events_tx.clone(),
        Arc::clone(&metrics),
    );
    let admin_interface = Admin {
        readiness: Arc::clone(&readiness),
        timeline: Arc::clone(&timeline),
        metrics: Arc::clone(&metrics),
        queries: queries_tx,
        events: events_tx.clone(),
        drain_bound: settings.drain_bound,
    };

    let mut edges = JoinSet::new();
    edges.spawn(client_edge::serve(clients, events_tx.clone(), clients_rx));
    edges.spawn(backend_edge::run(
        events_tx.clone(),
        backends_rx,
        BackendSettings {
            user: Arc::clone(&settings.backend.user),
            password: settings.backend.password.clone(),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
        },
    ));
    edges.spawn(platform_edge::run(
        settings.platform,
        local.clone(),
        events_tx.clone(),
        platform_rx,
    ));
    let mut servers = JoinSet::new();
    let peer_server = peer_edge.clone();
    servers.spawn(async move {
        if let Err(err) = peer_server.serve(peers).await {
            log::error!("serving peers failed: {err}");
        }
    });
    servers.spawn(async move {
        if let Err(err) = admin_interface.serve(admin).await {
            log::error!("serving the admin interface failed: {err}");
        }
    });
    let bound = settings.drain_bound;
    servers.spawn(async move {
        stop.await;
        log::info!("draining");
        let drain = Event::Operator(OperatorEvent::Drain { bound });
        // Fails only if the daemon is stopping already.
        let _stopping = events_tx.send_async(drain).await;
    });

    log::info!(
        callers:% = settings.clients, peers:% = settings.peers, admin:% = settings.admin;
        "started"
    );
    let seeds = settings.seeds.into_iter().map(Into::into).collect();
    let seed = local.incarnation.0;
    let parts = RunnerParts {
        clock: Clock::start(),
        hybrid_clock,
        timeline,
        metrics,
        readiness,
        events,
        queries,
        effects: EffectSenders {
            clients: clients_tx,
            backends: backends_tx,
            platform: platform_tx,
            peers: peer_edge,
        },
    };
    Runner::new(State::new(local, seeds, seed), parts)
        .run()
        .await;
    // The end of the runner closes the effect channels, and each edge ends after its last effect.
    let flush = async { while edges.join_next().await.is_some() {} };
    if tokio::time::timeout(EXIT_FLUSH_TIMEOUT, flush)
        .await
        .is_err()
    {
        log::info!("an edge did not finish its last effects in time");
    }
    log::info!("stopped");
    Ok(())
}

/// Opens a listening socket; `what` names its purpose in the error.
pub(crate) async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|err| Error::Listen(what, address, err))
}
