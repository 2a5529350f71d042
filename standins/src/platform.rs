//! A stand-in for the platform: the table service and the list of VMs, in memory.

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

/// Reads a second that the table service and the list take from everyone together.
pub const READS_PER_SECOND: u32 = 2_000;

/// Transactions a second that the table service takes from everyone together.
pub const WRITES_PER_SECOND: u32 = 500;

/// How a platform stand-in is set up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Reads a second.
    pub reads_per_second: u32,
    /// Transactions a second.
    pub writes_per_second: u32,
    /// How far the list of VMs lags behind.
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

/// How many calls were taken, refused ones not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounts {
    /// Reads of rows.
    pub reads: u64,
    /// Transactions.
    pub transactions: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Calls over the limit of requests.
    pub limited: u64,
}

/// What the calls and the handle share.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) table: Table,
    pub(crate) vms: VmHistory,
    pub(crate) faults: Faults,
    pub(crate) read_limit: RateLimit,
    pub(crate) write_limit: RateLimit,
    pub(crate) counts: PlatformCounts,
    pub(crate) vm_list_lag: Duration,
}

/// A running platform stand-in; it ends when this handle is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Platform {
    /// Starts a platform stand-in within the running `tokio` runtime.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
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

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses every call while `down`; what was committed stays.
    pub fn set_down(&self, down: bool) {
        self.state().faults.is_down = down;
    }

    /// Makes every call take `delay` longer, before it has its effect.
    pub fn slow(&self, delay: Duration) {
        self.state().faults.call_delay = delay;
    }

    /// Makes the next transaction that commits fail towards its caller.
    pub fn lose_next_answer(&self) {
        self.state().faults.lose_next_answer = true;
    }

    /// Leaves the calls of a VM without answer while `cut`.
    pub fn cut_vm(&self, vm: &str, cut: bool) {
        let mut state = self.state();
        match cut {
            true => state.faults.cut_vms.insert(vm.to_owned()),
            false => state.faults.cut_vms.remove(vm),
        };
    }

    /// Leaves the calls of all VMs of an availability zone without answer while `cut`.
    pub fn cut_zone(&self, zone: &str, cut: bool) {
        let mut state = self.state();
        match cut {
            true => state.faults.cut_zones.insert(zone.to_owned()),
            false => state.faults.cut_zones.remove(zone),
        };
    }

    /// Adds a VM to the list or replaces its entry; seen once the lag has passed.
    pub fn set_vm(&self, vm: Vm) {
        self.state().vms.set(Instant::now(), vm);
    }

    /// Removes a VM from the list; seen once the lag has passed.
    pub fn remove_vm(&self, vm: &str) {
        self.state().vms.remove(Instant::now(), vm);
    }

    /// Replaces the leaving backend servers; seen once the lag has passed.
    pub fn set_leaving_servers(&self, servers: impl IntoIterator<Item = IpAddr>) {
        let servers = servers.into_iter().collect();
        self.state()
            .vms
            .set_leaving_servers(Instant::now(), servers);
    }

    /// Sets how far the list of VMs lags behind.
    pub fn set_vm_list_lag(&self, lag: Duration) {
        self.state().vm_list_lag = lag;
    }

    /// Returns a row as the table has it, whatever the faults.
    #[must_use]
    pub fn row(&self, key: &str) -> Row {
        let keys = vec![key.to_owned()];
        let rows = self.state().table.read(ReadRequest { keys });
        rows.ok()
            .and_then(|mut rows| rows.pop())
            .unwrap_or_default()
    }

    /// Returns how many calls were taken so far.
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

/// Locks the state, also after a panic of another holder: it is never left half changed.
pub(crate) fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
