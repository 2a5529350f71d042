//! The state of a daemon, and the reducer that applies every event to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{
    Incarnation, Instant, Random, ServiceName, SessionId, Text, VmId, ZoneName, data,
};

use crate::catalog_relay::CatalogRelay;
use crate::completion_rate::CompletionRates;
use crate::coordinator::Coordinator;
use crate::drain::Drain;
use crate::grant::Grants;
use crate::home_ranks::HomeRanks;
use crate::job::{Job, JobId};
use crate::leaders::Leaders;
use crate::new_work::new_work_time;
use crate::permission::Permission;
use crate::pool::Pool;
use crate::reach::Reach;
use crate::relays::Relays;
use crate::servers::Servers;
use crate::session::Session;
use crate::store_events::Reads;
use crate::store_return::EraView;
use crate::told_tables::TableRelay;
use crate::unreadable_rows::UnreadableRows;
use crate::votes::Votes;
use crate::waiting_session::WaitingSession;
use crate::{
    Catalog, ConnectionCounts, Effect, Event, FairQueue, Floors, PermissionTable, RateBounds,
    RateLimits, RateShares, Record, Shapes,
};

data! {
    /// The identity of this daemon, which stays the same while it runs.
    pub struct Identity {
        /// The VM that the daemon runs on.
        pub vm: VmId,
        /// The availability zone of the VM.
        pub zone: ZoneName,
        /// The VM's share of a processor core, in thousandths.
        pub millicores: u32,
        /// The number of this run of the daemon.
        pub incarnation: Incarnation,
        /// The address where the daemon accepts forwarded sessions and requests for grants.
        pub peers: SocketAddr,
    }

    /// The values of the state that metrics show.
    pub struct Snapshot {
        /// The number of sessions that this daemon serves.
        pub sessions: usize,
        /// The number of sessions that are forwarded to other daemons.
        pub relays: usize,
        /// The number of statements that wait for a server or a connection.
        pub waiting: usize,
        /// The number of connections to backend servers.
        pub connections: usize,
        /// The numbers of those connections by their use, and of those opened and replaced.
        pub connection_counts: ConnectionCounts,
        /// The number of known backend servers.
        pub servers: usize,
        /// The number of leaders that are draining or missing from the list of servers.
        pub leaving_leaders: usize,
        /// How long the permission still lasts; zero if there is none.
        pub permission_left: Duration,
        /// The time since the list of backend servers was last read; zero if it never was.
        pub servers_age: Duration,
        /// The version of the configuration, 0 if none is known.
        pub configuration: u64,
        /// The time since that version was applied; zero if none is known.
        pub configuration_age: Duration,
        /// The number of operations that were refused by the limit of their account.
        pub refused_by_limit: u64,
        /// The number of accounts of whose limit this daemon has a share.
        pub shares_held: usize,
        /// The newest era in an answer of the store.
        pub store_era: u64,
        /// How often the daemon has seen the store come back from an older copy.
        pub store_returns: u64,
        /// Whether the daemon is ready for clients.
        pub is_ready: bool,
    }

    /// The whole state of a daemon.
    pub struct State {
        /// The identity of this daemon.
        pub(crate) local: Identity,
        /// The time of the event that is being reduced.
        pub(crate) now: Instant,
        /// The source of random numbers for jitter.
        pub(crate) random: Random,
        /// The effects of the event that is being reduced, in order.
        pub(crate) effects: Vec<Effect>,
        /// The operator's configuration; none until one is read.
        pub(crate) catalog: Option<Catalog>,
        /// Whether clients need keys, by the settings or any configuration since the start.
        pub(crate) requires_accounts: bool,
        /// When `catalog` was applied.
        pub(crate) catalog_applied: Instant,
        /// How current `catalog` is, and the requests to other daemons for it.
        pub(crate) catalog_relay: CatalogRelay,
        /// The requests to readers of the store, and those that wait here.
        pub(crate) table_relay: TableRelay,
        /// The known backend servers.
        pub(crate) servers: Servers,
        /// How long a server may get new work after the last read that showed that it stays.
        pub(crate) new_work_time: Duration,
        /// The era of the store.
        pub(crate) store_era: EraView,
        /// The leaders that the store names.
        pub(crate) leaders: Leaders,
        /// This daemon's permission.
        pub(crate) permission: Permission,
        /// The permissions of all daemons; none until they are read.
        pub(crate) permissions: Option<PermissionTable>,
        /// The order in which daemons of this zone become the home of each service.
        pub(crate) home_ranks: HomeRanks,
        /// The rows of the store that can't be read.
        pub(crate) unreadable_rows: UnreadableRows,
        /// The reports of other daemons on the leaders.
        pub(crate) votes: Votes,
        /// The reports of all zones on the leaders.
        pub(crate) reach: Reach,
        /// The grants that this daemon gave and asked for.
        pub(crate) grants: Grants,
        /// This daemon's work as the coordinator.
        pub(crate) coordinator: Coordinator,
        /// The state of the regular reads of the store.
        pub(crate) reads: Reads,
        /// The sessions that this daemon serves.
        pub(crate) sessions: BTreeMap<SessionId, Session>,
        /// The number of those sessions on each database that has any.
        pub(crate) sessions_by_database: BTreeMap<Text, usize>,
        /// The sessions that wait until it is known where they are to be served.
        pub(crate) waiting_sessions: Vec<WaitingSession>,
        /// The sessions that are forwarded to other daemons.
        pub(crate) relays: Relays,
        /// The statements that are queued or running.
        pub(crate) jobs: BTreeMap<JobId, Job>,
        /// The number of the last job; 0 before the first.
        pub(crate) last_job: u64,
        /// The queued statements of each service.
        pub(crate) queues: BTreeMap<ServiceName, FairQueue>,
        /// The rates at which servers complete work, and the usual work of statements.
        pub(crate) completion_rates: CompletionRates,
        /// The connections to backend servers.
        pub(crate) pool: Pool,
        /// The floors of each service, by the positions of its primary.
        pub(crate) floors: BTreeMap<ServiceName, Floors>,
        /// This daemon's shares of the limits of accounts.
        pub(crate) rate_limits: RateLimits,
        /// The shares that this daemon lends as the coordinator.
        pub(crate) rate_shares: RateShares,
        /// Since when this daemon has been the coordinator by a valid row, as far as it knows, and
        /// when it last read the leaders to confirm that; none if it is not the coordinator.
        pub(crate) lender_since: Option<(Instant, Instant)>,
        /// The numbers of the prepared statement shapes.
        pub(crate) shapes: Shapes,
        /// The graceful stop; none until it begins.
        pub(crate) drain: Option<Drain>,
    }
}

impl State {
    /// Returns the state of a daemon that has just started.
    ///
    /// Servers that the store lists as draining get no new work after `server_drain_bound`. `seed`
    /// determines the jitter; it should differ between daemons.
    #[must_use]
    pub fn new(local: Identity, server_drain_bound: Duration, seed: u64) -> Self {
        let (vm, incarnation) = (local.vm.clone(), local.incarnation);
        Self {
            local,
            now: Instant::default(),
            random: Random::new(seed),
            effects: Vec::new(),
            catalog: None,
            requires_accounts: false,
            catalog_applied: Instant::default(),
            catalog_relay: CatalogRelay::default(),
            table_relay: TableRelay::default(),
            servers: Servers::default(),
            new_work_time: new_work_time(server_drain_bound),
            store_era: EraView::default(),
            leaders: Leaders::default(),
            permission: Permission::default(),
            permissions: None,
            home_ranks: HomeRanks::default(),
            unreadable_rows: UnreadableRows::default(),
            votes: Votes::default(),
            reach: Reach::default(),
            grants: Grants::default(),
            coordinator: Coordinator::default(),
            reads: Reads::default(),
            sessions: BTreeMap::new(),
            sessions_by_database: BTreeMap::new(),
            waiting_sessions: Vec::new(),
            relays: Relays::default(),
            jobs: BTreeMap::new(),
            last_job: 0,
            queues: BTreeMap::new(),
            completion_rates: CompletionRates::default(),
            pool: Pool::default(),
            floors: BTreeMap::new(),
            rate_limits: RateLimits::new(RateBounds::default(), vm, incarnation),
            rate_shares: RateShares::new(RateBounds::default()),
            lender_since: None,
            shapes: Shapes::default(),
            drain: None,
        }
    }

    /// Returns the state with a registry that forgets unused shapes beyond `kept`.
    #[must_use]
    pub fn with_shapes_kept(mut self, kept: usize) -> Self {
        self.shapes = Shapes::keeping(kept);
        self
    }

    /// Applies one event and returns the effects to carry out, in order.
    ///
    /// `now` must include time during which the machine was suspended: permissions depend on it.
    pub fn reduce(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = now;
        self.watch_lending();
        match event {
            Event::Tick => self.on_tick(),
            Event::Client(event) => self.on_client(event),
            Event::Server(event) => self.on_server(event),
            Event::Catalog(catalog) => self.on_catalog(catalog),
            Event::CatalogWatch(progress) => self.on_catalog_watch(progress),
            Event::CatalogAsked { session, version } => self.on_catalog_asked(session, version),
            Event::CatalogTold { told, sent } => self.on_catalog_told(told, sent),
            Event::TablesAsked { session, request } => self.on_tables_asked(session, request),
            Event::TablesTold { told, sent } => self.on_tables_told(told, sent),
            Event::Servers { list, sent } => self.on_servers(list, sent),
            Event::UnreadableServers(rows) => self.note_unreadable_rows("the servers", &rows),
            Event::StoreEra(era) => self.on_store_era(era),
            Event::Leaders(table) => self.on_leaders(table),
            Event::Permissions { table, sent } => self.on_permissions_read(table, sent),
            Event::Written(written) => self.on_written(written),
            Event::Promoted { service, outcome } => self.on_promoted(&service, &outcome),
            Event::GrantAsked {
                session,
                vm,
                generation,
                servers,
            } => self.on_grant_asked(session, &vm, generation, servers),
            Event::Granted {
                generation,
                staying,
                length,
                sent,
            } => self.on_granted(generation, &staying, length, sent),
            Event::CoordinatorRead { coordinator, sent } => {
                self.on_coordinator_read(coordinator.as_ref(), sent);
            }
            Event::ShareRequested { session, request } => {
                self.on_shares_requested(session, &request);
            }
            Event::ShareAnswered(answer) => self.on_shares_answered(&answer),
            Event::Drain { grace } => self.begin_drain(grace),
        }
        std::mem::take(&mut self.effects)
    }

    /// Does what has become due as time passed.
    fn on_tick(&mut self) {
        self.apply_timeouts();
        self.accept_copied_leaders();
        self.open_waiting_sessions();
        self.renew_permission();
        self.ask_for_grant();
        self.ask_for_catalog();
        self.ask_reader();
        self.note_reader_change();
        self.answer_held_requests();
        self.read_store();
        self.probe_leaders();
        self.coordinate();
        self.keep_shares();
        self.close_silent_relays();
        self.probe_other_zones();
        self.note_reach();
        self.move_sessions();
        self.keep_connections();
        self.run_all_queues();
        self.continue_drain();
    }

    /// Returns whether this daemon is ready for clients.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let needs_permission = self.needs_permission() || self.is_home_by_rank();
        let has_permission = self.permission.is_valid(self.now) || !needs_permission;
        self.catalog.is_some()
            && self.servers.last_read.is_some()
            && self.permissions.is_some()
            && has_permission
            && !self.reach.is_cut_off()
            && !self.is_leaving()
    }

    /// Returns whether ticks should come often, as statements, a handover or the graceful stop
    /// depend on timeouts.
    #[must_use]
    pub fn needs_frequent_ticks(&self) -> bool {
        !self.jobs.is_empty() || self.coordinator.is_replacing_primary() || self.is_leaving()
    }

    /// Returns whether this daemon needs to know the leaders.
    #[must_use]
    pub fn needs_leaders(&self) -> bool {
        // Every daemon reads them once at the start: an earlier run may have been the coordinator.
        self.needs_permission() || !self.leaders.is_known
    }

    /// Returns the values that metrics show.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let read = self.servers.last_read;
        Snapshot {
            sessions: self.sessions.len(),
            relays: self.relays.len(),
            waiting: self.queues.values().map(FairQueue::len).sum(),
            connections: self.pool.all().count(),
            connection_counts: self.pool.counts(),
            servers: self.servers.known.len(),
            leaving_leaders: self.leaving_leaders(),
            permission_left: self.permission.remaining(self.now),
            servers_age: read.map_or(Duration::ZERO, |read| self.now.since(read)),
            configuration: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            configuration_age: match &self.catalog {
                Some(_) => self.now.since(self.catalog_applied),
                None => Duration::ZERO,
            },
            refused_by_limit: self.rate_limits.refused(),
            shares_held: self.rate_limits.shares_held(self.now),
            store_era: self.store_era.current().0,
            store_returns: self.store_era.returns(),
            is_ready: self.is_ready(),
        }
    }

    /// Adds a log line to the effects.
    pub(crate) fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(record));
    }
}
