//! A group of backend servers with asynchronous replication, run in this process.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sapphireslip_core::{ServerId, ServerStatus};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::backend_log::Log;
use crate::backend_server::{Faults, Limits, Server, lock};

/// The servers of a group, their limits and their delays.
///
/// ```
/// use standins::BackendGroupSettings;
/// let settings = BackendGroupSettings { connections: 30, ..Default::default() };
/// assert_eq!(settings.servers.len(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct BackendGroupSettings {
    /// The servers' identifiers; the first server starts as primary.
    pub servers: Vec<ServerId>,
    /// The listen addresses in the order of `servers`; a server without one takes a free loopback
    /// port.
    pub addresses: Vec<SocketAddr>,
    /// The most ordinary connections that one server accepts at once; control connections don't
    /// count.
    pub connections: usize,
    /// The delay before a new connection is accepted.
    pub connect_delay: Duration,
    /// The most statements that one server executes at once.
    pub slots: usize,
    /// The least execution time of each statement.
    pub service_time: Duration,
    /// The time from the commit of a record until a replica's log holds it.
    pub transfer_delay: Duration,
    /// The time from a replica's receipt of a record until its reads see it.
    pub lag: Duration,
    /// The password that all users must give; `None` if the servers ask for none.
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

/// A running group of backend servers; dropping it kills them.
///
/// The methods name a server by its index in [`BackendGroupSettings::servers`]. Statements are
/// replicated as SQL text, so they must be deterministic.
#[derive(Debug)]
pub struct BackendGroup {
    servers: Arc<[Arc<Server>]>,
}

impl BackendGroup {
    /// Starts the servers.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
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
            servers.push(Arc::new(new_server(&settings, index, id, address)));
        }
        let servers: Arc<[Arc<Server>]> = servers.into();
        for (server, listener) in servers.iter().zip(listeners) {
            server.start(listener, &servers);
        }
        Ok(Self { servers })
    }

    /// Returns the servers' listen addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// Returns a server's identifier.
    #[must_use]
    pub fn id(&self, server: usize) -> ServerId {
        self.servers[server].id.clone()
    }

    /// Returns a server's own view of its status, even while it is killed or frozen.
    #[must_use]
    pub fn status(&self, server: usize) -> ServerStatus {
        lock(&self.servers[server].log).status()
    }

    /// Returns the number of ordinary connections that are open at a server.
    #[must_use]
    pub fn open_connections(&self, server: usize) -> usize {
        let server = &self.servers[server];
        let free = lock(&server.run).connections.available_permits();
        server.limits.connections - free
    }

    /// Returns the number of statements that a server has received on ordinary connections since
    /// the group started.
    #[must_use]
    pub fn statements(&self, server: usize) -> u64 {
        let counter = &self.servers[server].statements;
        counter.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Kills a server: closes its connections and its listener. Its log is kept.
    pub fn kill(&self, server: usize) {
        self.servers[server].kill();
    }

    /// Restarts a killed server with the log that it had.
    ///
    /// # Errors
    ///
    /// Returns an error if the address has been taken in the meantime.
    pub async fn restart(&self, server: usize) -> io::Result<()> {
        self.servers[server].restart(&self.servers).await
    }

    /// Freezes a server: it neither works nor answers until [`thaw`](Self::thaw).
    pub fn freeze(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.is_frozen = true);
    }

    /// Ends [`freeze`](Self::freeze); the server continues where it stopped.
    pub fn thaw(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.is_frozen = false);
    }

    /// Sets the time by which a server's statements take longer than the service time.
    pub fn slow(&self, server: usize, extra_service_time: Duration) {
        self.servers[server].set_fault(|faults| faults.extra_service_time = extra_service_time);
    }

    /// Cuts the replication between two servers in both directions.
    pub fn cut(&self, server: usize, peer: usize) {
        self.servers[server].set_fault(|faults| {
            let _known = faults.cut_servers.insert(peer);
        });
        self.servers[peer].set_fault(|faults| {
            let _known = faults.cut_servers.insert(server);
        });
    }

    /// Cuts a server off from all clients; their data waits until [`heal`](Self::heal).
    pub fn cut_clients(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.cut_clients = true);
    }

    /// Cuts a server off from the clients whose `application_name` ends in `/` and the zone.
    pub fn cut_zone(&self, server: usize, zone: &str) {
        self.servers[server].set_fault(|faults| {
            let _known = faults.cut_zones.insert(zone.to_owned());
        });
    }

    /// Ends all cuts of a server.
    pub fn heal(&self, server: usize) {
        self.servers[server].set_fault(|faults| {
            faults.cut_servers.clear();
            faults.cut_clients = false;
            faults.cut_zones.clear();
        });
        for peer in self.servers.iter() {
            peer.set_fault(|faults| {
                let _known = faults.cut_servers.remove(&server);
            });
        }
    }

    /// Silences all open connections of a server permanently, while new ones work.
    ///
    /// The server counts a silenced connection as closed and rolls its transaction back.
    pub fn silence_open_connections(&self, server: usize) {
        let server = &self.servers[server];
        let next = server
            .next_connection
            .load(std::sync::atomic::Ordering::SeqCst);
        server.set_fault(|faults| faults.silent_below = next);
    }

    /// Makes a server close the connection instead of answering the next commit.
    pub fn lose_next_answer(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.lose_next_answer = true);
    }

    /// Makes a server close the connection halfway through the next answer of over 128 KiB.
    pub fn break_next_large_answer(&self, server: usize) {
        self.servers[server].set_fault(|faults| faults.break_next_large_answer = true);
    }

    /// Sets the time from a replica's receipt of a record until its reads see it.
    pub fn set_lag(&self, server: usize, lag: Duration) {
        self.servers[server].set_fault(|faults| faults.lag = lag);
    }

    /// Sets the time from the commit of a record until a replica's log holds it.
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

/// Creates a server that is not started yet; the one with index 0 is the primary.
fn new_server(
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
        pulling: Mutex::default(),
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
