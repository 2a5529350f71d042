//! The whole state of a daemon, and the one reducer over all events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{
    Incarnation, Instant, Random, ServiceName, SessionId, VmId, ZoneName, data,
};

use crate::coordinator::Coordinator;
use crate::drain::Drain;
use crate::grant::Grants;
use crate::home_ranks::HomeRanks;
use crate::job::{Job, JobId};
use crate::leaders::Leaders;
use crate::permission::Permission;
use crate::pool::Pool;
use crate::probes::Shapes;
use crate::relays::Relays;
use crate::servers::Servers;
use crate::session::Session;
use crate::store_events::Reads;
use crate::votes::Votes;
use crate::waiting_session::WaitingSession;
use crate::{Catalog, Effect, Event, Floors, PermissionTable, Record};

data! {
    /// Who this daemon is.
    pub struct Identity {
        /// The VM it runs on.
        pub vm: VmId,
        /// Its availability zone.
        pub zone: ZoneName,
        /// This run of it.
        pub incarnation: Incarnation,
        /// Where it takes sessions that other daemons pass on.
        pub peers: SocketAddr,
    }

    /// What metrics show of the state.
    pub struct Snapshot {
        /// Sessions that are served here.
        pub sessions: usize,
        /// Sessions that are passed on.
        pub relays: usize,
        /// Statements that wait for a server or a connection.
        pub waiting: usize,
        /// Connections to backend servers.
        pub connections: usize,
        /// Known backend servers.
        pub servers: usize,
        /// The time left of the permission.
        pub permission_left: Duration,
        /// How old the list of backend servers is.
        pub servers_age: Duration,
        /// The version of the configuration, 0 if none is known.
        pub configuration: u64,
        /// How long ago that version was taken; zero if none is known.
        pub configuration_age: Duration,
        /// Whether callers should come.
        pub is_ready: bool,
    }

    /// The whole state of a daemon.
    pub struct State {
        pub(crate) local: Identity,
        pub(crate) now: Instant,
        pub(crate) random: Random,
        pub(crate) effects: Vec<Effect>,
        pub(crate) catalog: Option<Catalog>,
        /// When the configuration was taken.
        pub(crate) catalog_applied: Instant,
        pub(crate) servers: Servers,
        pub(crate) leaders: Leaders,
        pub(crate) permission: Permission,
        pub(crate) permissions: Option<PermissionTable>,
        pub(crate) home_ranks: HomeRanks,
        pub(crate) votes: Votes,
        pub(crate) grants: Grants,
        pub(crate) coordinator: Coordinator,
        pub(crate) reads: Reads,
        pub(crate) sessions: BTreeMap<SessionId, Session>,
        /// The sessions that can't be placed yet.
        pub(crate) waiting_sessions: Vec<WaitingSession>,
        pub(crate) relays: Relays,
        pub(crate) jobs: BTreeMap<JobId, Job>,
        pub(crate) next_job: u64,
        /// The waiting statements of each service, the next one first.
        pub(crate) lanes: BTreeMap<ServiceName, Vec<JobId>>,
        pub(crate) pool: Pool,
        pub(crate) floors: BTreeMap<ServiceName, Floors>,
        pub(crate) shapes: Shapes,
        pub(crate) drain: Option<Drain>,
    }
}

impl State {
    /// Returns the state of a daemon that has just started.
    ///
    /// `seed` feeds jitter; two daemons should differ in it.
    #[must_use]
    pub fn new(local: Identity, seed: u64) -> Self {
        Self {
            local,
            now: Instant::default(),
            random: Random::new(seed),
            effects: Vec::new(),
            catalog: None,
            catalog_applied: Instant::default(),
            servers: Servers::default(),
            leaders: Leaders::default(),
            permission: Permission::default(),
            permissions: None,
            home_ranks: HomeRanks::default(),
            votes: Votes::default(),
            grants: Grants::default(),
            coordinator: Coordinator::default(),
            reads: Reads::default(),
            sessions: BTreeMap::new(),
            waiting_sessions: Vec::new(),
            relays: Relays::default(),
            jobs: BTreeMap::new(),
            next_job: 0,
            lanes: BTreeMap::new(),
            pool: Pool::default(),
            floors: BTreeMap::new(),
            shapes: Shapes::default(),
            drain: None,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    ///
    /// `now` has to count the time during which the machine was suspended: permissions depend on it.
    pub fn reduce(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Tick => self.on_tick(),
            Event::Client(event) => self.on_client(event),
            Event::Server(event) => self.on_server(event),
            Event::Catalog(catalog) => self.on_catalog(catalog),
            Event::Servers(list) => self.on_servers(list),
            Event::Leads(table) => self.on_leaders(table),
            Event::Permits { table, sent } => self.on_permission_table(table, sent),
            Event::Written(written) => self.on_written(written),
            Event::Promoted { service, outcome } => self.on_promoted(&service, &outcome),
            Event::GrantAsked {
                session,
                vm,
                generation,
            } => self.on_grant_asked(session, &vm, generation),
            Event::Granted {
                generation,
                length,
                sent,
            } => self.on_granted(generation, length, sent),
            Event::Drain { grace } => self.begin_drain(grace),
        }
        std::mem::take(&mut self.effects)
    }

    fn on_tick(&mut self) {
        self.apply_timeouts();
        self.open_waiting_sessions();
        self.renew_permission();
        self.ask_for_grant();
        self.read_store();
        self.probe_all();
        self.coordinate();
        self.watch_relays();
        self.move_sessions();
        self.keep_connections();
        self.run_all_lanes();
        self.go_on_draining();
    }

    /// Returns whether callers should come to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_permission = self.permission.is_valid(self.now) || !self.needs_permission();
        self.catalog.is_some()
            && self.servers.last_read.is_some()
            && self.permissions.is_some()
            && has_permission
            && !self.is_leaving()
    }

    /// Returns whether anything waits for time to pass, so that ticks should come often.
    #[must_use]
    pub fn needs_frequent_ticks(&self) -> bool {
        !self.jobs.is_empty() || self.coordinator.is_replacing_primary() || self.is_leaving()
    }

    /// Returns whether the leads are of use to this daemon.
    #[must_use]
    pub fn needs_leaders(&self) -> bool {
        // Once at the start: an earlier run may have held the duty.
        self.needs_permission() || !self.leaders.is_known
    }

    /// Returns what metrics show of the state.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let read = self.servers.last_read;
        Snapshot {
            sessions: self.sessions.len(),
            relays: self.relays.len(),
            waiting: self.lanes.values().map(Vec::len).sum(),
            connections: self.pool.all().count(),
            servers: self.servers.known.len(),
            permission_left: self.permission.remaining(self.now),
            servers_age: read.map_or(Duration::ZERO, |read| self.now.since(read)),
            configuration: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            configuration_age: match &self.catalog {
                Some(_) => self.now.since(self.catalog_applied),
                None => Duration::ZERO,
            },
            is_ready: self.is_ready(),
        }
    }

    pub(crate) fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(record));
    }
}
