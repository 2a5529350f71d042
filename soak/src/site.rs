//! The test site: daemon processes, a store, three backend servers and the paths between them.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standins::{
    DaemonProcess, DaemonProgram, LeavingWork, LineGroup, LineRoute, LineStore, Link,
    line_configuration_with, line_settings,
};
use tempfile::TempDir;

/// The name of the only service.
const SERVICE: &str = "ledger";

/// A loopback address with a free port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The number of servers of a [`LineGroup`].
pub(crate) const SERVER_COUNT: usize = 3;

/// The delay after which replicas apply received writes, so that some of them are below the floor
/// (the least log position that a server must have to serve a read).
const APPLY_LAG: Duration = Duration::from_millis(60);

/// The time that a daemon has to stop gracefully, as in its settings.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);

/// The time after which a server that has said that it leaves must get no new work: the default of
/// the daemons' settings.
const SERVER_DRAIN_BOUND: Duration = Duration::from_secs(7);

/// How long after a fault of a path statements count as held up on their way.
const PATH_SETTLE_TIME: Duration = Duration::from_secs(4);

/// A database and the guarantees of its reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Database {
    /// The name of the database.
    pub(crate) name: &'static str,
    /// The freshness of reads, as in the configuration.
    freshness: &'static str,
    /// The longest time after an acknowledgement that a read may still miss the write.
    pub(crate) max_staleness: Duration,
    /// Whether a read sees all acknowledged writes of its own session.
    pub(crate) reads_own_writes: bool,
}

/// One database for each freshness of reads.
pub(crate) const DATABASES: [Database; 3] = [
    Database {
        name: "fees",
        freshness: "primary",
        max_staleness: Duration::ZERO,
        reads_own_writes: true,
    },
    Database {
        name: "balances",
        freshness: "bounded_staleness",
        max_staleness: Duration::from_millis(1_500),
        reads_own_writes: false,
    },
    Database {
        name: "invoices",
        freshness: "read_your_writes",
        max_staleness: Duration::from_millis(2_500),
        reads_own_writes: true,
    },
];

/// A daemon with its files.
#[derive(Debug)]
struct Daemon {
    /// The process of the daemon; `None` while it is stopped.
    process: Option<DaemonProcess>,
    /// The path of the settings file.
    settings: PathBuf,
    /// The path of the log file.
    log: PathBuf,
    /// The address on which the daemon accepts clients.
    address: SocketAddr,
}

/// All processes and stand-ins of a run.
#[derive(Debug)]
pub(crate) struct Site {
    /// The backend servers.
    pub(crate) group: LineGroup,
    /// The metadata store.
    pub(crate) store: LineStore,
    /// The paths to the servers, followed by those from each daemon to the store.
    pub(crate) paths: Vec<Link>,
    /// The daemons, by their index.
    daemons: Vec<Mutex<Daemon>>,
    /// The faults of paths that have ended: which path, and from when to when.
    holds: Mutex<Vec<(usize, Instant, Instant)>>,
    /// Whether the primary was killed in this run.
    has_killed_primary: AtomicBool,
    /// The program of the daemons.
    program: DaemonProgram,
    /// The last version of the configuration that was written.
    version: AtomicU64,
    /// The folder of settings and log files, deleted with the site; `None` once the logs are kept.
    folder: Mutex<Option<TempDir>>,
}

impl Site {
    /// Starts the stand-ins and the daemons. The addresses of the daemons depend on the identifier
    /// of this process and the seed, so that runs side by side don't collide.
    pub(crate) async fn start(count: usize, seed: u64) -> io::Result<Self> {
        let group = LineGroup::start(SERVICE).await?;
        group.set_apply_lag(APPLY_LAG);
        let store = LineStore::start(group.clone()).await?;
        let mut paths = Vec::new();
        for address in group.addresses() {
            paths.push(Link::start(ANY_PORT, address).await?);
        }
        let folder = TempDir::new()?;
        let mut daemons = Vec::new();
        let [.., low] = std::process::id().to_be_bytes();
        for n in 0..count {
            let path = Link::start(ANY_PORT, store.address()).await?;
            let last = u8::try_from(n + 1).map_err(io::Error::other)?;
            let ip = Ipv4Addr::new(127, 90 + (seed % 100) as u8, low, last);
            let zone = ["a", "b", "c"][n % 3];
            let text = line_settings(&format!("vm-{n}"), ip, path.address());
            let text = text.replace("zone = \"a\"", &format!("zone = \"{zone}\""));
            let settings = folder.path().join(format!("{n}.toml"));
            std::fs::write(&settings, text)?;
            paths.push(path);
            daemons.push(Mutex::new(Daemon {
                process: None,
                settings,
                log: folder.path().join(format!("{n}.log")),
                address: (ip, 5432).into(),
            }));
        }
        let site = Self {
            group,
            store,
            paths,
            daemons,
            holds: Mutex::default(),
            has_killed_primary: AtomicBool::new(false),
            program: program()?,
            version: AtomicU64::new(0),
            folder: Mutex::new(Some(folder)),
        };
        site.write_entries();
        site.write_configuration();
        for n in 0..count {
            site.start_daemon(n)?;
        }
        Ok(site)
    }

    /// Writes the next version of the configuration.
    pub(crate) fn write_configuration(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let routes = DATABASES.map(|database| LineRoute {
            database: database.name,
            kind: database.freshness,
            max_staleness: database.max_staleness,
        });
        let configuration = line_configuration_with(version, SERVICE, &routes);
        self.store.put("op", "config", configuration.as_bytes());
    }

    /// Writes the entries of all servers to the store.
    fn write_entries(&self) {
        let paths = self.paths.iter().take(SERVER_COUNT);
        let addresses: Vec<SocketAddr> = paths.map(Link::address).collect();
        for (id, entry) in self.group.entries_at(SERVICE, &addresses) {
            self.store.put("servers", &id, entry.as_bytes());
        }
    }

    /// Has a server say in the store that it leaves.
    pub(crate) fn leave(&self, n: usize) {
        self.group.leave(n);
        self.write_entries();
    }

    /// Ends a server that leaves and starts it again.
    pub(crate) fn start_server_again(&self, n: usize) {
        self.group.start_again(n);
        self.write_entries();
    }

    /// Records that a fault of a path that began at `began` has ended.
    pub(crate) fn note_hold(&self, path: usize, began: Instant) {
        let mut holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        holds.push((path, began, Instant::now()));
    }

    /// Returns a violation for each statement that a server got later than [`SERVER_DRAIN_BOUND`]
    /// after it had said that it leaves, unless the statement may have been held up on its way.
    pub(crate) fn late_work(&self) -> Vec<String> {
        let holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        let was_held_up = |work: &LeavingWork| {
            holds.iter().any(|(path, began, ended)| {
                *path == work.server && *began <= work.at && work.at <= *ended + PATH_SETTLE_TIME
            })
        };
        let work = self.group.work_while_leaving().into_iter();
        work.filter(|work| work.after > SERVER_DRAIN_BOUND && !was_held_up(work))
            .map(|work| {
                let LeavingWork {
                    server,
                    statement,
                    after,
                    ..
                } = work;
                format!("leaving: server {server} got `{statement}` {after:?} after it said so")
            })
            .collect()
    }

    /// Kills the primary for good; further calls do nothing.
    pub(crate) fn kill_primary(&self) {
        if !self.has_killed_primary.swap(true, Ordering::Relaxed) {
            self.group.kill_primary();
        }
    }

    /// Locks a daemon.
    fn daemon(&self, n: usize) -> MutexGuard<'_, Daemon> {
        self.daemons[n]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a daemon unless it is running.
    pub(crate) fn start_daemon(&self, n: usize) -> io::Result<()> {
        let mut daemon = self.daemon(n);
        if daemon.process.is_none() {
            let process = DaemonProcess::start(&self.program, &daemon.settings, &daemon.log)?;
            daemon.process = Some(process);
        }
        Ok(())
    }

    /// Kills a daemon if it is running.
    pub(crate) fn kill_daemon(&self, n: usize) {
        // Dropping the process kills it.
        self.daemon(n).process = None;
    }

    /// Sends a signal to a daemon and returns its process identifier; `None` if it is stopped.
    pub(crate) fn signal(&self, n: usize, signal: Signal) -> io::Result<Option<u32>> {
        let daemon = self.daemon(n);
        let Some(process) = &daemon.process else {
            return Ok(None);
        };
        process.signal(signal)?;
        Ok(Some(process.pid()))
    }

    /// Returns whether the process `pid` of a daemon has exited, and marks the daemon as stopped if
    /// it has.
    pub(crate) fn has_ended(&self, n: usize, pid: u32) -> io::Result<bool> {
        let mut daemon = self.daemon(n);
        let ended = match &mut daemon.process {
            Some(process) if process.pid() == pid => process.exit_status()?.is_some(),
            // Another fault has ended this process, and may have started the next one.
            _ => return Ok(true),
        };
        if ended {
            daemon.process = None;
        }
        Ok(ended)
    }

    /// Returns whether a daemon is running or was stopped on purpose; false if it has exited by
    /// itself.
    pub(crate) fn is_running_or_stopped(&self, n: usize) -> io::Result<bool> {
        match &mut self.daemon(n).process {
            Some(process) => Ok(process.exit_status()?.is_none()),
            None => Ok(true),
        }
    }

    /// Returns the addresses on which the daemons accept clients.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.daemons.len())
            .map(|n| self.daemon(n).address)
            .collect()
    }

    /// Keeps the folder of the logs and returns its path; `None` if it was kept before.
    pub(crate) fn keep_logs(&self) -> Option<PathBuf> {
        let mut folder = self.folder.lock().unwrap_or_else(PoisonError::into_inner);
        folder.take().map(TempDir::keep)
    }
}

/// Returns the daemon's program, which cargo puts in the parent of the folder of tests and
/// examples.
fn program() -> io::Result<DaemonProgram> {
    let own = std::env::current_exe()?;
    let folder = own.parent().and_then(std::path::Path::parent);
    let path = folder.unwrap_or(&own).join("sapphireslipd");
    if !path.exists() {
        let text = format!(
            "`{}` does not exist: run `cargo build -p sapphireslipd` with the same profile",
            path.display()
        );
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    Ok(DaemonProgram {
        path,
        arguments: Vec::new(),
    })
}

/// Counts violations by their first word, for a summary.
pub(crate) fn count_by_rule(violations: &[String]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for text in violations {
        let rule = text.split([':', ' ']).next().unwrap_or_default();
        *counts.entry(rule).or_default() += 1;
    }
    counts
}
