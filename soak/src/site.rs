//! Daemon processes, a store, three servers, and the paths between them.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::process::Signal;
use standins::{
    DaemonProcess, DaemonProgram, LineGroup, LineRoute, LineStore, Link, line_configuration_with,
    line_settings,
};
use tempfile::TempDir;

const SERVICE: &str = "ledger";

/// A free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How many servers the group of the stand-ins has.
pub(crate) const SERVER_COUNT: usize = 3;

/// How late replicas apply what they have received: some floors are not reached.
const APPLY_LAG: Duration = Duration::from_millis(60);

/// What each daemon is given to stop, as its settings say.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);

/// A database and what its reads promise.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Database {
    pub(crate) name: &'static str,
    kind: &'static str,
    pub(crate) max_staleness: Duration,
    pub(crate) reads_own_writes: bool,
}

/// One database of each kind.
pub(crate) const DATABASES: [Database; 3] = [
    Database {
        name: "fees",
        kind: "primary",
        max_staleness: Duration::ZERO,
        reads_own_writes: true,
    },
    Database {
        name: "balances",
        kind: "bounded_staleness",
        max_staleness: Duration::from_millis(1_500),
        reads_own_writes: false,
    },
    Database {
        name: "invoices",
        kind: "read_your_writes",
        max_staleness: Duration::from_millis(2_500),
        reads_own_writes: true,
    },
];

/// A daemon with its files; none while it is down.
#[derive(Debug)]
struct Daemon {
    process: Option<DaemonProcess>,
    settings: PathBuf,
    log: PathBuf,
    address: SocketAddr,
}

/// The whole site.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) group: LineGroup,
    pub(crate) store: LineStore,
    /// The paths to the servers, then those of the daemons to the store.
    pub(crate) paths: Vec<Link>,
    daemons: Vec<Mutex<Daemon>>,
    has_killed_primary: AtomicBool,
    program: DaemonProgram,
    version: AtomicU64,
    folder: Mutex<Option<TempDir>>,
}

impl Site {
    /// Starts all of it; the daemons listen on addresses that depend on this process and the seed.
    pub(crate) async fn start(count: usize, seed: u64) -> io::Result<Self> {
        let group = LineGroup::start(SERVICE).await?;
        group.set_apply_lag(APPLY_LAG);
        let store = LineStore::start(group.clone()).await?;
        let mut paths = Vec::new();
        for address in group.addresses() {
            paths.push(Link::start(ANY_PORT, address).await?);
        }
        let addresses: Vec<SocketAddr> = paths.iter().map(Link::address).collect();
        for (id, entry) in group.entries_at(SERVICE, &addresses) {
            store.put("servers", &id, entry.as_bytes());
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
            has_killed_primary: AtomicBool::new(false),
            program: program()?,
            version: AtomicU64::new(0),
            folder: Mutex::new(Some(folder)),
        };
        site.configure();
        for n in 0..count {
            site.start_daemon(n)?;
        }
        Ok(site)
    }

    /// Writes the next version of the configuration.
    pub(crate) fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let routes = DATABASES.map(|database| LineRoute {
            database: database.name,
            kind: database.kind,
            max_staleness: database.max_staleness,
        });
        let configuration = line_configuration_with(version, SERVICE, &routes);
        self.store.put("op", "config", configuration.as_bytes());
    }

    /// Ends the primary for good, once.
    pub(crate) fn kill_primary(&self) {
        if !self.has_killed_primary.swap(true, Ordering::Relaxed) {
            self.group.kill_primary();
        }
    }

    fn daemon(&self, n: usize) -> MutexGuard<'_, Daemon> {
        self.daemons[n]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a daemon unless it runs.
    pub(crate) fn start_daemon(&self, n: usize) -> io::Result<()> {
        let mut daemon = self.daemon(n);
        if daemon.process.is_none() {
            let process = DaemonProcess::start(&self.program, &daemon.settings, &daemon.log)?;
            daemon.process = Some(process);
        }
        Ok(())
    }

    /// Kills a daemon if it runs.
    pub(crate) fn kill_daemon(&self, n: usize) {
        // Its process is killed as it is dropped.
        self.daemon(n).process = None;
    }

    /// Sends a signal to a daemon's process and returns its identifier; none if it is down.
    pub(crate) fn signal(&self, n: usize, signal: Signal) -> io::Result<Option<u32>> {
        let daemon = self.daemon(n);
        let Some(process) = &daemon.process else {
            return Ok(None);
        };
        process.signal(signal)?;
        Ok(Some(process.pid()))
    }

    /// Returns whether a process of a daemon has ended, and forgets it then.
    pub(crate) fn has_ended(&self, n: usize, pid: u32) -> io::Result<bool> {
        let mut daemon = self.daemon(n);
        let ended = match &mut daemon.process {
            Some(process) if process.pid() == pid => process.exit_status()?.is_some(),
            // Another fault has ended it, and may have started the next one.
            _ => return Ok(true),
        };
        if ended {
            daemon.process = None;
        }
        Ok(ended)
    }

    /// Returns whether a daemon that nobody has ended runs.
    pub(crate) fn runs(&self, n: usize) -> io::Result<bool> {
        match &mut self.daemon(n).process {
            Some(process) => Ok(process.exit_status()?.is_none()),
            None => Ok(true),
        }
    }

    /// Returns where callers connect.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.daemons.len())
            .map(|n| self.daemon(n).address)
            .collect()
    }

    /// Keeps the logs and returns where they are.
    pub(crate) fn keep_logs(&self) -> Option<PathBuf> {
        let mut folder = self.folder.lock().unwrap_or_else(PoisonError::into_inner);
        folder.take().map(TempDir::keep)
    }
}

/// Returns the daemon's program, which cargo puts beside the folder of tests and examples.
fn program() -> io::Result<DaemonProgram> {
    let own = std::env::current_exe()?;
    let folder = own.parent().and_then(std::path::Path::parent);
    let path = folder.unwrap_or(&own).join("sapphireslipd");
    if !path.exists() {
        let text = format!(
            "`{}` does not exist: build package `sapphireslipd`",
            path.display()
        );
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    Ok(DaemonProgram {
        path,
        arguments: Vec::new(),
    })
}

/// Counts attempts by what was broken, for a summary.
pub(crate) fn count_by_rule(violations: &[String]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for text in violations {
        let rule = text.split([':', ' ']).next().unwrap_or_default();
        *counts.entry(rule).or_default() += 1;
    }
    counts
}
