//! A fleet: daemon processes with stand-ins for their backend servers, platform and network.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use sapphireslip_core::ServerId;
use tempfile::TempDir;

use crate::backend_session::RESERVED_USER;
use crate::fleet_addresses::FleetAddresses;
use crate::fleet_files::{daemon_settings, document};
use crate::{
    BackendGroup, BackendGroupSettings, DaemonProcess, FleetPlan, Link, Platform, PlatformSettings,
    accept_document, http_get, wait_for,
};

/// The number of backend servers in each group.
pub const SERVERS_PER_GROUP: usize = 3;

/// The number of address blocks that a fleet tries before its start fails.
const MAX_ADDRESS_BLOCKS: usize = 8;

/// The longest time that a daemon may take to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon of a fleet, running or not.
#[derive(Debug)]
pub(crate) struct FleetDaemon {
    /// The daemon's availability zone.
    pub(crate) zone: String,
    /// The daemon's index in the fleet.
    pub(crate) number: usize,
    /// The path of the settings file.
    settings: PathBuf,
    /// The path of the log file, which all runs of the daemon append to.
    log: PathBuf,
    /// The process; `None` before its first start and after a kill or a wait for its exit.
    process: Option<DaemonProcess>,
    /// When the process was last started, in microseconds since the Unix epoch.
    started_micros: u64,
    /// The relay through which peers reach the daemon.
    link: Link,
}

/// Daemon processes, backend groups and a platform; dropping this handle ends all of them.
///
/// The methods name a daemon by its index, a database by its index in the plan, and a server by its
/// index in the database's group.
#[derive(Debug)]
pub struct Fleet {
    /// The plan that the fleet was built from.
    pub(crate) plan: FleetPlan,
    /// The addresses of all parts of the fleet.
    pub(crate) addresses: FleetAddresses,
    /// The platform.
    pub(crate) platform: Platform,
    /// The group of backend servers of each database.
    pub(crate) groups: Vec<BackendGroup>,
    /// The daemons, zone by zone.
    pub(crate) daemons: Vec<FleetDaemon>,
    /// The folder of the settings and log files, deleted with the fleet.
    folder: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on, a daemon can't be started, or a daemon
    /// is not ready within [`READY_TIMEOUT`].
    pub async fn start(plan: FleetPlan) -> io::Result<Self> {
        let fleet = Self::start_unready(plan).await?;
        for number in 0..fleet.daemons.len() {
            fleet.wait_ready(number).await?;
        }
        Ok(fleet)
    }

    /// Starts a fleet without waiting until its daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or a daemon can't be started.
    pub async fn start_unready(plan: FleetPlan) -> io::Result<Self> {
        let (addresses, platform) = start_platform().await?;
        let mut fleet = Self {
            addresses,
            platform,
            groups: Vec::new(),
            daemons: Vec::new(),
            folder: TempDir::new()?,
            plan,
        };
        fleet.start_databases().await?;
        fleet.accept_documents().await?;
        fleet.platform.set_down(!fleet.plan.is_platform_up);
        fleet.start_daemons().await?;
        Ok(fleet)
    }

    /// Starts the group of backend servers of each database.
    async fn start_databases(&mut self) -> io::Result<()> {
        for (number, name) in self.plan.databases.iter().enumerate() {
            let id = |server| ServerId::try_from(format!("{name}-{server}").as_str());
            let servers = (0..SERVERS_PER_GROUP).map(id).collect::<Result<_, _>>();
            let settings = BackendGroupSettings {
                servers: servers.map_err(io::Error::other)?,
                addresses: (0..SERVERS_PER_GROUP)
                    .map(|server| self.addresses.server(number, server))
                    .collect(),
                connections: self.plan.connections,
                lag: self.plan.lag,
                service_time: self.plan.service_time,
                ..BackendGroupSettings::default()
            };
            let group = BackendGroup::start(settings).await?;
            self.groups.push(group);
        }
        Ok(())
    }

    /// Submits generation 1 of each database's document to the platform.
    async fn accept_documents(&self) -> io::Result<()> {
        for number in 0..self.groups.len() {
            accept_document(self.addresses.platform(), &self.document(number, 1)).await?;
        }
        Ok(())
    }

    /// Returns the text of a database's document at a generation.
    #[must_use]
    pub fn document(&self, database: usize, generation: u64) -> String {
        document(&self.plan, self.addresses, database, generation)
    }

    /// Writes the settings of all daemons, starts their relays and then the daemons.
    async fn start_daemons(&mut self) -> io::Result<()> {
        let zones = self.plan.zones.clone();
        for zone in zones
            .iter()
            .flat_map(|zone| vec![zone; self.plan.daemons_per_zone])
        {
            let number = self.daemons.len();
            let settings = self.folder.path().join(format!("{number}.toml"));
            std::fs::write(
                &settings,
                daemon_settings(&self.plan, self.addresses, number),
            )?;
            let link = Link::start(self.addresses.link(number), self.addresses.peers(number));
            self.daemons.push(FleetDaemon {
                zone: zone.clone(),
                number,
                settings,
                log: self.folder.path().join(format!("{number}.log")),
                process: None,
                started_micros: 0,
                link: link.await?,
            });
        }
        for number in 0..self.daemons.len() {
            self.start_daemon(number)?;
        }
        Ok(())
    }

    /// Starts a daemon that is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_daemon(&mut self, number: usize) -> io::Result<()> {
        let daemon = &mut self.daemons[number];
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        daemon.started_micros = u64::try_from(unix.unwrap_or_default().as_micros()).unwrap_or(0);
        daemon.process = Some(DaemonProcess::start(
            &self.plan.program,
            &daemon.settings,
            &daemon.log,
        )?);
        Ok(())
    }

    /// Waits until a daemon is ready.
    ///
    /// Answers of processes that this fleet did not start are ignored: a daemon left over from a
    /// killed test may listen on the same address and report the state of another group.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the daemon's log if it is not ready within
    /// [`READY_TIMEOUT`].
    pub async fn wait_ready(&self, number: usize) -> io::Result<()> {
        let admin = self.admin(number);
        let started = self.daemons[number].started_micros;
        let ready = async || {
            let page = http_get(admin, "/ready").await.ok()?;
            let incarnation = self.status(number).await?["incarnation"].as_u64()?;
            (page.status == 200 && incarnation >= started).then_some(())
        };
        let waited = wait_for(&format!("ready daemon {number}"), READY_TIMEOUT, ready).await;
        waited.map_err(|err| {
            io::Error::other(format!(
                "{err}; its log ends with:\n{}",
                self.log_end(number)
            ))
        })
    }

    /// Returns a daemon's status page; `None` if the daemon does not answer.
    async fn status(&self, number: usize) -> Option<serde_json::Value> {
        let page = http_get(self.admin(number), "/status").await.ok()?;
        serde_json::from_str(&page.body).ok()
    }

    /// Returns the last 10 lines of a daemon's log.
    fn log_end(&self, number: usize) -> String {
        let text = std::fs::read_to_string(self.log(number)).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(10)..].join("\n")
    }

    /// Returns the process identifier of a daemon; `None` if it was not started or has been killed.
    #[must_use]
    pub fn daemon_pid(&self, number: usize) -> Option<u32> {
        self.daemons[number]
            .process
            .as_ref()
            .map(DaemonProcess::pid)
    }

    /// Kills a daemon and waits until it has exited; does nothing if it is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed or waited for.
    pub fn kill_daemon(&mut self, number: usize) -> io::Result<()> {
        self.daemons[number]
            .process
            .take()
            .map_or(Ok(()), |mut process| process.kill())
    }

    /// Sends a signal to a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running.
    pub fn signal_daemon(&self, number: usize, signal: Signal) -> io::Result<()> {
        let process = self.daemons[number].process.as_ref();
        process.ok_or(io::ErrorKind::NotFound)?.signal(signal)
    }

    /// Waits until a daemon has exited by itself and returns its exit code, or -1 if a signal ended
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running, or, after killing it, if it has not exited
    /// within `limit`.
    pub async fn wait_daemon_exit(&mut self, number: usize, limit: Duration) -> io::Result<i32> {
        let Some(mut process) = self.daemons[number].process.take() else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let ended = async || process.exit_status().ok().flatten();
        let status = wait_for("end of the daemon", limit, ended).await?;
        Ok(status.code().unwrap_or(-1))
    }

    /// Cuts an availability zone off from the other zones and from the platform.
    ///
    /// Daemons and backend servers on both sides are affected.
    pub fn cut_zone(&self, zone: &str) {
        for daemon in &self.daemons {
            for other in &self.daemons {
                if (daemon.zone == zone) != (other.zone == zone) {
                    daemon.link.cut(self.addresses.daemon(other.number));
                }
            }
        }
        self.platform.cut_zone(zone, true);
        for group in &self.groups {
            self.cut_servers(group, zone);
        }
    }

    /// Cuts the servers of a group in a zone off from the servers and daemons of the other zones.
    fn cut_servers(&self, group: &BackendGroup, zone: &str) {
        for (server, server_zone) in self.plan.zones.iter().enumerate() {
            let others = self
                .plan
                .zones
                .iter()
                .enumerate()
                .filter(|(_, other)| *other != server_zone);
            for (peer, other) in others {
                if server_zone == zone || other == zone {
                    group.cut_zone(server, other);
                    group.cut(server, peer);
                }
            }
        }
    }

    /// Ends all cuts between zones, between servers and from zones to the platform.
    pub fn heal(&self) {
        for daemon in &self.daemons {
            daemon.link.heal();
        }
        for zone in &self.plan.zones {
            self.platform.cut_zone(zone, false);
        }
        for group in &self.groups {
            for server in 0..SERVERS_PER_GROUP {
                group.heal(server);
            }
        }
    }

    /// Returns the platform stand-in.
    #[must_use]
    pub const fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the group of backend servers of a database.
    #[must_use]
    pub fn group(&self, database: usize) -> &BackendGroup {
        &self.groups[database]
    }

    /// Returns the names of the databases.
    #[must_use]
    pub fn databases(&self) -> Vec<String> {
        self.plan.databases.clone()
    }

    /// Returns the generation of a database's document that is in force on a daemon; `None` if the
    /// daemon does not answer or has no document of the database.
    pub async fn generation(&self, daemon: usize, database: usize) -> Option<u64> {
        let status = self.status(daemon).await?;
        let service = format!("{}-service", self.plan.databases[database]);
        let documents = status.get("documents")?.as_array()?;
        let document = documents
            .iter()
            .find(|document| document["service"] == service.as_str())?;
        document["generation"].as_u64()
    }

    /// Runs a query directly at a server, bypassing the daemons, and returns the first column of
    /// its rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not answer or refuses the query.
    pub async fn query_server(
        &self,
        database: usize,
        server: usize,
        sql: &str,
    ) -> io::Result<Vec<String>> {
        let address = self.addresses.server(database, server);
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config
            .user(RESERVED_USER)
            .dbname(&self.plan.databases[database]);
        let connected = config
            .connect(tokio_postgres::NoTls)
            .await
            .map_err(io::Error::other)?;
        let (client, connection) = connected;
        tokio::spawn(async move {
            let _closed = connection.await;
        });
        let rows = client.simple_query(sql).await.map_err(io::Error::other)?;
        let value = |message: &tokio_postgres::SimpleQueryMessage| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        };
        Ok(rows.iter().filter_map(value).collect())
    }

    /// Returns the number of daemons, running or not.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the address at which a daemon accepts clients.
    #[must_use]
    pub fn clients(&self, number: usize) -> SocketAddr {
        self.addresses.clients(number)
    }

    /// Returns the availability zone of a daemon.
    #[must_use]
    pub fn zone(&self, number: usize) -> &str {
        &self.daemons[number].zone
    }

    /// Returns the availability zone of a server, which is the same for all databases.
    #[must_use]
    pub fn server_zone(&self, server: usize) -> &str {
        &self.plan.zones[server % self.plan.zones.len()]
    }

    /// Returns the address of a daemon's admin interface.
    #[must_use]
    pub fn admin(&self, number: usize) -> SocketAddr {
        self.addresses.admin(number)
    }

    /// Returns the address of a server of a database.
    #[must_use]
    pub fn server_address(&self, database: usize, server: usize) -> SocketAddr {
        self.addresses.server(database, server)
    }

    /// Returns the IP address of a server of a database.
    #[must_use]
    pub fn server_ip(&self, database: usize, server: usize) -> IpAddr {
        self.addresses.server(database, server).ip()
    }

    /// Returns the platform's address.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.addresses.platform()
    }

    /// Copies the daemons' log files to a folder, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created or a log can't be copied.
    pub fn copy_logs(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        for daemon in &self.daemons {
            std::fs::copy(&daemon.log, folder.join(format!("{}.log", daemon.number)))?;
        }
        Ok(())
    }

    /// Returns the path of a daemon's log file.
    #[must_use]
    pub fn log(&self, number: usize) -> &Path {
        &self.daemons[number].log
    }
}

/// Allocates an address block that no other fleet uses and starts the platform in it.
async fn start_platform() -> io::Result<(FleetAddresses, Platform)> {
    let mut tries = 0;
    loop {
        tries += 1;
        let addresses = FleetAddresses::allocate();
        let settings = PlatformSettings {
            listen: addresses.platform(),
            ..PlatformSettings::default()
        };
        match Platform::start(settings).await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && tries < MAX_ADDRESS_BLOCKS => {}
            started => return Ok((addresses, started?)),
        }
    }
}
