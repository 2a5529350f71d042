//! A stand-in for the platform, which keeps the table service and the VM list in memory.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sapphireslip_wire::MESSAGE_MAX_BYTES;
use sapphireslip_wire::platform::table_server::TableServer;
use sapphireslip_wire::platform::vms_server::VmsServer;
use sapphireslip_wire::platform::{ReadRequest, Row, Vm};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::platform_faults::{Faults, RateLimit};
use crate::platform_service::PlatformService;
use crate::platform_table::Table;
use crate::platform_vms::VmHistory;

/// The most reads per second that the table service and the VM list accept from all clients
/// together.
pub const READS_PER_SECOND: u32 = 2_000;

/// The most transactions per second that the table service accepts from all clients together.
pub const WRITES_PER_SECOND: u32 = 500;

/// The settings of a platform stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// The listen address; port 0 takes a free port.
    pub listen: SocketAddr,
    /// The most reads of rows and of the VM list per second.
    pub reads_per_second: u32,
    /// The most transactions per second.
    pub writes_per_second: u32,
    /// The time from a change of the VM list until it is visible.
    pub vm_list_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            reads_per_second: READS_PER_SECOND,
            writes_per_second: WRITES_PER_SECOND,
            vm_list_lag: Duration::ZERO,
        }
    }
}

/// The numbers of calls since the platform stand-in started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounts {
    /// The accepted reads of rows.
    pub reads: u64,
    /// The accepted transactions.
    pub transactions: u64,
    /// The accepted reads of the VM list.
    pub lists: u64,
    /// The calls refused because they exceeded a rate limit.
    pub limited: u64,
}

/// The state shared by the handle and the calls.
#[derive(Debug)]
pub(crate) struct PlatformState {
    /// The rows of the table service.
    pub(crate) table: Table,
    /// The VM list and its earlier versions.
    pub(crate) vms: VmHistory,
    /// The faults that are switched on at present.
    pub(crate) faults: Faults,
    /// The rate limit of reads of rows and of the VM list.
    pub(crate) read_limit: RateLimit,
    /// The rate limit of transactions.
    pub(crate) write_limit: RateLimit,
    /// The numbers of calls so far.
    pub(crate) counts: PlatformCounts,
    /// The time from a change of the VM list until it is visible.
    pub(crate) vm_list_lag: Duration,
}

/// A running platform stand-in; dropping this handle stops it.
#[derive(Debug)]
pub struct Platform {
    /// The listen address.
    address: SocketAddr,
    /// The state shared with the calls.
    state: Arc<Mutex<PlatformState>>,
    /// The task that serves the calls.
    server: JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Platform {
    /// Starts a platform stand-in in the current `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    ///
    /// ```
    /// use standins::{Platform, PlatformSettings};
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let platform = Platform::start(PlatformSettings::default()).await?;
    /// assert_ne!(platform.address().port(), 0);
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(settings: PlatformSettings) -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let now = Instant::now();
        let state = Arc::new(Mutex::new(PlatformState {
            table: Table::default(),
            vms: VmHistory::default(),
            faults: Faults::default(),
            read_limit: RateLimit::new(settings.reads_per_second, now),
            write_limit: RateLimit::new(settings.writes_per_second, now),
            counts: PlatformCounts::default(),
            vm_list_lag: settings.vm_list_lag,
        }));
        let service = PlatformService {
            state: Arc::clone(&state),
        };
        let table = TableServer::new(service.clone()).max_decoding_message_size(MESSAGE_MAX_BYTES);
        let server = Server::builder()
            .add_service(table)
            .add_service(VmsServer::new(service))
            .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
        Ok(Self {
            address,
            state,
            server: tokio::spawn(server),
        })
    }

    /// Returns the listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the platform refuse every call, or serve again; committed rows are kept.
    pub fn set_down(&self, is_down: bool) {
        self.state().faults.is_down = is_down;
    }

    /// Delays every call by `delay` before it takes effect.
    pub fn slow(&self, delay: Duration) {
        self.state().faults.call_delay = delay;
    }

    /// Makes the next transaction that commits report an error to its client.
    pub fn lose_next_answer(&self) {
        self.state().faults.lose_next_answer = true;
    }

    /// Leaves all calls of a VM unanswered, or answers them again.
    pub fn cut_vm(&self, vm: &str, is_cut: bool) {
        let mut state = self.state();
        match is_cut {
            true => state.faults.cut_vms.insert(vm.to_owned()),
            false => state.faults.cut_vms.remove(vm),
        };
    }

    /// Leaves all calls of an availability zone's VMs unanswered, or answers them again.
    pub fn cut_zone(&self, zone: &str, is_cut: bool) {
        let mut state = self.state();
        match is_cut {
            true => state.faults.cut_zones.insert(zone.to_owned()),
            false => state.faults.cut_zones.remove(zone),
        };
    }

    /// Adds a VM to the list or replaces its entry; the change is visible after the list's lag.
    pub fn set_vm(&self, vm: Vm) {
        self.state().vms.set(Instant::now(), vm);
    }

    /// Removes a VM from the list; the change is visible after the list's lag.
    pub fn remove_vm(&self, vm: &str) {
        self.state().vms.remove(Instant::now(), vm);
    }

    /// Replaces the set of backend servers that are about to leave; the change is visible after the
    /// list's lag.
    pub fn set_leaving_servers(&self, servers: impl IntoIterator<Item = IpAddr>) {
        let servers = servers.into_iter().collect();
        self.state()
            .vms
            .set_leaving_servers(Instant::now(), servers);
    }

    /// Sets the time from a change of the VM list until it is visible.
    pub fn set_vm_list_lag(&self, lag: Duration) {
        self.state().vm_list_lag = lag;
    }

    /// Returns a row of the table regardless of faults; one with version 0 if it does not exist.
    #[must_use]
    pub fn row(&self, key: &str) -> Row {
        let keys = vec![key.to_owned()];
        let rows = self.state().table.read(ReadRequest { keys });
        rows.ok()
            .and_then(|mut rows| rows.pop())
            .unwrap_or_default()
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.state().counts
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        lock(&self.state)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Locks the state, even if a thread panicked while it held the lock: no change of the state can be
/// left incomplete by a panic.
pub(crate) fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
