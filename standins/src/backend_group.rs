//! A group of backend servers with asynchronous replication, in this process.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sapphireslip_core::{ServerId, ServerStatus};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::backend_log::Log;
use crate::backend_server::{Faults, Limits, Server, lock};

/// How a group is to be.
///
/// ```
/// use standins::BackendGroupSettings;
/// let settings = BackendGroupSettings { connections: 30, ..Default::default() };
/// assert_eq!(settings.servers.len(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct BackendGroupSettings {
    /// The servers' identifiers; the first one starts as primary.
    pub servers: Vec<ServerId>,
    /// Where they listen; one without an address takes a free port of loopback.
    pub addresses: Vec<SocketAddr>,
    /// Ordinary connections to one server.
    pub connections: usize,
    /// The time that opening a connection takes.
    pub connect_delay: Duration,
    /// Statements that one server executes at once.
    pub slots: usize,
    /// The time that each statement takes at least.
    pub service_time: Duration,
    /// The time until a replica holds a record.
    pub transfer_delay: Duration,
    /// The time until a replica's reads see a record that it holds.
    pub lag: Duration,
    /// The password, if one is asked for.
    pub password: Option<String>,
}

impl Default for BackendGroupSettings {
    fn default() -> Self {
        let id = |name| ServerId::try_from(name).expect("the names are well formed");
        Self {
            servers: vec![id("server-a"), id("server-b"), id("server-c")],
            addresses: Vec::new(),
            connections: 16,
            connect_delay: Duration::from_millis(12),
            slots: 2,
            service_time: Duration::ZERO,
            transfer_delay: Duration::from_millis(1),
            lag: Duration::ZERO,
            password: None,
        }
    }
}

/// A running group; dropping it kills its servers.
///
/// Servers are named by their index. Statements are replicated as texts, so that they should give
/// the same result wherever they run.
#[derive(Debug)]
pub struct BackendGroup {
    servers: Arc<[Arc<Server>]>,
}

impl BackendGroup {
    /// Starts the servers.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    ///
    /// ```
    /// use standins::{BackendGroup, BackendGroupSettings};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let group = BackendGroup::start(BackendGroupSettings::default()).await?;
    /// assert_eq!(group.addresses().len(), 3);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(settings: BackendGroupSettings) -> io::Result<Self> {
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for (index, id) in settings.servers.iter().enumerate() {
            let free = SocketAddr::from(([127, 0, 0, 1], 0));
            let address = settings.addresses.get(index).copied().unwrap_or(free);
            let listener = TcpListener::bind(address).await?;
            let address = listener.local_addr()?;
            listeners.push(listener);
            servers.push(Arc::new(server(&settings, index, id, address)));
        }
        let servers: Arc<[Arc<Server>]> = servers.into();
        for (server, listener) in servers.iter().zip(listeners) {
            server.start(listener, &servers);
        }
        Ok(Self { servers })
    }

    /// Returns where the servers listen.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// Returns a server's identifier.
    #[must_use]
    pub fn id(&self, server: usize) -> ServerId {
        self.servers[server].id.clone()
    }

    /// Returns a server's own report, also while it is killed or frozen.
    #[must_use]
    pub fn status(&self, server: usize) -> ServerStatus {
        lock(&self.servers[server].log).status()
    }

    /// Returns how many ordinary connections a server has open.
    #[must_use]
    pub fn open_connections(&self, server: usize) -> usize {
        let server = &self.servers[server];
        let free = lock(&server.run).connections.available_permits();
        server.limits.connections - free
    }

    /// Returns how many statements a server has taken on ordinary connections.
    #[must_use]
    pub fn statements(&self, server: usize) -> u64 {
        let counter = &self.servers[server].statements;
        counter.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Drops a server's connections and stops it listening; its log stays.
    pub fn kill(&self, server: usize) {
        self.servers[server].kill();
    }

    /// Starts a killed server again with the log that it had.
    ///
    /// # Errors
    ///
    /// The address has been taken in the meantime.
    pub async fn restart(&self, server: usize) -> io::Result<()> {
        self.servers[server].restart(&self.servers).await
    }

    /// Makes a server do and answer nothing until it is thawed.
    pub fn freeze(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.is_frozen = true);
    }

    /// Ends [`freeze`](Self::freeze); everything goes on.
    pub fn thaw(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.is_frozen = false);
    }

    /// Adds a time to each statement of a server.
    pub fn slow(&self, server: usize, extra_service_time: Duration) {
        self.servers[server].set_fault(|faults| faults.extra_service_time = extra_service_time);
    }

    /// Cuts the replication between two servers, both ways.
    pub fn cut(&self, server: usize, peer: usize) {
        self.servers[server].set_fault(|faults| {
            let _known = faults.cut_servers.insert(peer);
        });
        self.servers[peer].set_fault(|faults| {
            let _known = faults.cut_servers.insert(server);
        });
    }

    /// Cuts a server from all callers: bytes wait until [`heal`](Self::heal).
    pub fn cut_callers(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.cut_callers = true);
    }

    /// Cuts a server from callers whose `application_name` ends in `/zone`.
    pub fn cut_zone(&self, server: usize, zone: &str) {
        self.servers[server].set_fault(|faults| {
            let _known = faults.cut_zones.insert(zone.to_owned());
        });
    }

    /// Ends all cuts of a server.
    pub fn heal(&self, server: usize) {
        self.servers[server].set_fault(|faults| {
            faults.cut_servers.clear();
            faults.cut_callers = false;
            faults.cut_zones.clear();
        });
        for peer in self.servers.iter() {
            peer.set_fault(|faults| {
                let _known = faults.cut_servers.remove(&server);
            });
        }
    }

    /// Makes all open connections of a server silent for good, while new ones work.
    ///
    /// The server's own end is counted as closed and its transaction is rolled back.
    pub fn silence_open_connections(&self, server: usize) {
        let server = &self.servers[server];
        let next = server
            .next_connection
            .load(std::sync::atomic::Ordering::SeqCst);
        server.set_fault(|faults| faults.silent_below = next);
    }

    /// Makes a server close the connection in place of the answer to the next commit.
    pub fn lose_next_answer(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.lose_next_answer = true);
    }

    /// Makes a server close the connection in the middle of the next answer of over 128 KiB.
    pub fn break_next_large_answer(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.break_next_large_answer = true);
    }

    /// Sets the time until reads of a replica see a record that it holds.
    pub fn set_lag(&self, server: usize, lag: Duration) {
        self.servers[server].set_fault(|faults| faults.lag = lag);
    }

    /// Sets the time until a replica holds a record.
    pub fn set_transfer_delay(&self, server: usize, delay: Duration) {
        self.servers[server].set_fault(|faults| faults.transfer_delay = delay);
    }
}

impl Drop for BackendGroup {
    fn drop(&mut self) {
        for server in self.servers.iter() {
            server.kill();
        }
    }
}

fn server(
    settings: &BackendGroupSettings,
    index: usize,
    id: &ServerId,
    address: SocketAddr,
) -> Server {
    let limits = Limits {
        connections: settings.connections,
        connect_delay: settings.connect_delay,
        slots: settings.slots,
        service_time: settings.service_time,
        password: settings.password.clone(),
    };
    Server {
        id: id.clone(),
        index,
        address,
        run: Mutex::new(limits.new_run()),
        limits,
        log: Mutex::new(Log::new(index == 0)),
        faults: Mutex::new(Faults {
            transfer_delay: settings.transfer_delay,
            lag: settings.lag,
            ..Faults::default()
        }),
        write_lock: Mutex::default(),
        changed: watch::Sender::new(0),
        next_connection: 1.into(),
        statements: 0.into(),
    }
}
