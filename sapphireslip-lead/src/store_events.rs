//! When the store is read, and how its answers change the state.

use std::time::Duration;

use sapphireslip_core::{Instant, Text, data};

use crate::state::State;
use crate::{
    Catalog, Effect, PermissionTable, Record, RecordKind, ServerRecord, StoreWrite, Written,
};

/// How often the list of backend servers is read: work has to leave a draining server within
/// seconds.
const SERVERS_EVERY: Duration = Duration::from_millis(1_500);

/// The least number of reads of the list within the time that a server may get new work after the
/// last one, so that a lost answer stops nothing.
const LIST_READS_PER_NEW_WORK_TIME: u32 = 4;

/// How often a read of the list is sent while one is overdue: servers get no new work without it.
const OVERDUE_LIST_EVERY: Duration = Duration::from_millis(400);

/// How often a daemon that works with no server reads the list, in a small fleet. It reads the list
/// at once when it begins to work with servers.
const SERVERS_EVERY_IDLE: Duration = Duration::from_secs(10);

/// The longest interval at which a daemon that works with no server reads the list, in a fleet of
/// any size.
const SERVERS_EVERY_IDLE_MAX: Duration = Duration::from_secs(60);

/// How often a daemon that is not the coordinator reads permissions, to notice when the
/// coordinator's has ended and which daemons are homes.
const PERMISSIONS_EVERY: Duration = Duration::from_millis(2_000);

/// How often a daemon that works with no server reads permissions, in a small fleet. It notices a
/// home that has died by the sessions that it forwards to that home.
const PERMISSIONS_EVERY_IDLE: Duration = Duration::from_millis(2_500);

/// The longest interval at which a daemon that works with no server reads permissions, in a fleet
/// of any size.
const PERMISSIONS_EVERY_IDLE_MAX: Duration = Duration::from_secs(30);

/// The least time between a read of permissions and another one because a home did not take a
/// session: the table may show a new home.
const PERMISSIONS_EVERY_HOME_LOST: Duration = Duration::from_secs(1);

/// The size of the fleet for which the intervals of idle daemons are meant. They are multiplied by
/// how many times the fleet has this many daemons, rounded down: twice as many read half as often.
const IDLE_FLEET_DAEMONS: usize = 30;

/// How often permissions are read until the first read succeeds: clients may be waiting for it.
const PERMISSIONS_EVERY_UNREAD: Duration = Duration::from_millis(200);

/// How often permissions are read in the start phase, when other daemons may be starting too.
const PERMISSIONS_EVERY_START: Duration = Duration::from_millis(600);

/// How long the start phase lasts after the start of the daemon.
const START_PHASE: Duration = Duration::from_millis(1_500);

/// How long after its start a daemon that works with no server reads permissions as often as in a
/// small fleet: daemons that start together write their rows within this time.
const SETTLING_PHASE: Duration = Duration::from_secs(8);

/// How often the coordinator reads permissions, which also report unreachable leaders, and how often
/// another daemon does while it can't reach a leader or has no place for most sessions.
const PERMISSIONS_EVERY_COORDINATOR: Duration = Duration::from_millis(500);

/// How often the coordinator reads permissions while it can't reach a leader itself.
const PERMISSIONS_EVERY_LEADER_UNREACHABLE: Duration = Duration::from_millis(100);

/// How long a read of the store may be unanswered before it is sent again.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

data! {
    /// The state of the regular reads of the store.
    #[derive(Default)]
    pub(crate) struct Reads {
        /// The reads of the list of backend servers.
        servers: Read,
        /// The reads of the permissions.
        permissions: Read,
        /// Whether the last read that ended got no answer.
        is_store_away: bool,
    }

    /// The state of one kind of read.
    #[derive(Default)]
    struct Read {
        /// When the last read was sent; none before the first.
        last_request: Option<Instant>,
        /// Whether that read has not ended yet.
        is_pending: bool,
        /// Whether the last read that ended got no answer.
        has_failed: bool,
    }
}

impl Read {
    /// Returns whether a read should be sent now: the interval `every` has passed since the last
    /// one, or, if that one is still pending, its timeout.
    fn is_due(&self, now: Instant, every: Duration) -> bool {
        let wait = if self.is_pending { READ_TIMEOUT } else { every };
        self.last_request
            .is_none_or(|asked| now.since(asked) >= wait)
    }

    /// Returns whether a read that is overdue should be sent once more now.
    fn is_retry_due(&self, now: Instant) -> bool {
        self.last_request
            .is_none_or(|asked| now.since(asked) >= OVERDUE_LIST_EVERY)
    }

    /// Records that a read is sent at `now`.
    const fn ask(&mut self, now: Instant) {
        self.last_request = Some(now);
        self.is_pending = true;
    }
}

impl Reads {
    /// Returns whether the store did not answer the last read that ended.
    pub(crate) const fn is_store_away(&self) -> bool {
        self.is_store_away
    }

    /// Returns whether the last read of the list of backend servers that ended got no answer.
    pub(crate) const fn has_list_failed(&self) -> bool {
        self.servers.has_failed
    }
}

impl State {
    /// Returns whether this daemon has just started, so that others may be starting too.
    pub(crate) fn is_starting(&self) -> bool {
        self.now.since_start < START_PHASE
    }

    /// Sends the reads of the store that are due.
    pub(crate) fn read_store(&mut self) {
        let is_idle = !self.needs_permission();
        let is_list_due = if !is_idle && self.servers.is_list_overdue(self.now) {
            self.reads.servers.is_retry_due(self.now)
        } else {
            self.reads.servers.is_due(self.now, self.servers_interval())
        };
        if is_list_due {
            self.reads.servers.ask(self.now);
            self.effects.push(Effect::ReadServers);
        }
        let is_leader_unreachable = self.leaders.table.leaders.values().any(|(record, _)| {
            self.servers
                .get(&record.leader)
                .is_some_and(|server| server.is_unreachable(self.now))
        });
        let every = match (self.fencing_token().is_some(), is_leader_unreachable) {
            (true, true) => PERMISSIONS_EVERY_LEADER_UNREACHABLE,
            (true, false) if self.awaits_share_reports() => PERMISSIONS_EVERY_LEADER_UNREACHABLE,
            (true, false) => PERMISSIONS_EVERY_COORDINATOR,
            (false, _) if self.permissions.is_none() => PERMISSIONS_EVERY_UNREAD,
            (false, _) if self.is_starting() => PERMISSIONS_EVERY_START,
            (false, _) if is_idle && self.now.since_start < SETTLING_PHASE => {
                PERMISSIONS_EVERY_IDLE
            }
            (false, _) if is_leader_unreachable || self.reach.is_cut_off() => {
                PERMISSIONS_EVERY_COORDINATOR
            }
            (false, _) if is_idle => self.idle_permissions_interval(),
            (false, _) => PERMISSIONS_EVERY,
        };
        if !self.follows_reader() && self.reads.permissions.is_due(self.now, every) {
            self.reads.permissions.ask(self.now);
            self.effects.push(Effect::ReadPermissions);
        }
    }

    /// Returns the interval at which an idle daemon learns the permissions of all daemons: often while it
    /// has no place for most sessions, which the reports in them may change.
    pub(crate) fn idle_permissions_interval(&self) -> Duration {
        if self.reach.is_cut_off() {
            return PERMISSIONS_EVERY_COORDINATOR;
        }
        self.idle_interval(PERMISSIONS_EVERY_IDLE, PERMISSIONS_EVERY_IDLE_MAX)
    }

    /// Returns the interval at which this daemon reads the list of servers at present.
    fn servers_interval(&self) -> Duration {
        if self.needs_permission() {
            SERVERS_EVERY.min(self.new_work_time / LIST_READS_PER_NEW_WORK_TIME)
        } else {
            self.idle_interval(SERVERS_EVERY_IDLE, SERVERS_EVERY_IDLE_MAX)
        }
    }

    /// Returns the interval of a call that a daemon makes while it works with no server. It is
    /// `interval` in a small fleet and grows with the number of daemons, up to `max`.
    pub(crate) fn idle_interval(&self, interval: Duration, max: Duration) -> Duration {
        let table = self.permissions.as_ref();
        let daemons = table.map_or(0, |table| table.permissions.len());
        let times = u32::try_from(daemons / IDLE_FLEET_DAEMONS).unwrap_or(u32::MAX);
        interval.saturating_mul(times.max(1)).min(max)
    }

    /// Reads permissions, as another daemon did not take a session.
    pub(crate) fn read_permissions_for_lost_home(&mut self) {
        if self.follows_reader() {
            return self.table_relay.want_permissions(self.now);
        }
        self.read_permissions_unless_read_within(PERMISSIONS_EVERY_HOME_LOST);
    }

    /// Reads permissions unless the last read was sent less than `pause` ago or is under way.
    pub(crate) fn read_permissions_unless_read_within(&mut self, pause: Duration) {
        if self.reads.permissions.is_due(self.now, pause) {
            self.reads.permissions.ask(self.now);
            self.effects.push(Effect::ReadPermissions);
        }
    }

    /// Records the outcome of a read of the permissions that was sent at `sent`; `table` is none if
    /// the store did not answer.
    pub(crate) fn on_permissions_read(&mut self, table: Option<PermissionTable>, sent: Instant) {
        self.reads.permissions.is_pending = false;
        if let Some(table) = &table {
            self.on_store_era(table.version.era());
        }
        self.note_store(table.is_some());
        if table.is_some() {
            self.table_relay.note_permissions_read(sent);
        }
        self.on_permission_table(table, sent);
    }

    /// Applies a table of permissions that was read from the store by a call that was sent at `sent`, or
    /// by a daemon that told it.
    pub(crate) fn on_permission_table(&mut self, table: Option<PermissionTable>, sent: Instant) {
        self.on_permissions(table, sent);
        self.count_acknowledgements();
        self.coordinate();
    }

    /// Records the outcome of a read of the list of backend servers that was sent at `sent`; `list`
    /// is none if the store did not answer. An answer to a read from before the one that brought the
    /// present list changes nothing.
    pub(crate) fn on_servers(&mut self, list: Option<Vec<ServerRecord>>, sent: Instant) {
        self.reads.servers.is_pending = false;
        self.reads.servers.has_failed = list.is_none();
        self.note_store(list.is_some());
        let Some(list) = list.filter(|_| self.servers.list_sent <= sent) else {
            return;
        };
        let every = self.servers_interval();
        let change = self.servers.apply_list(self.now, list, sent, every);
        for record in change.records {
            self.log(record);
        }
        for server in change.gone {
            self.leaders.unconfirm(&server, self.now);
        }
        self.renew_permission();
        self.keep_connections();
        self.probe_leaders();
        self.coordinate();
        self.run_all_queues();
    }

    /// Logs when the store stops answering or answers again.
    fn note_store(&mut self, answers: bool) {
        if self.reads.is_store_away == answers {
            self.reads.is_store_away = !answers;
            let what = if answers {
                "answers again"
            } else {
                "does not answer"
            };
            self.log(Record::new(RecordKind::StoreReachable, what.into()));
        }
    }

    /// Applies a configuration if it is newer than the present one.
    pub(crate) fn on_catalog(&mut self, mut catalog: Catalog) {
        let present = self.catalog.as_ref().map_or(0, |present| present.version);
        if self.catalog.is_some() && catalog.version <= present {
            return;
        }
        let detail = format!(
            "version {} with {} routes, after {present}",
            catalog.version,
            catalog.routes.len()
        );
        self.log(Record::new(RecordKind::CatalogTaken, detail.into()));
        for fault in catalog.accounts.faults() {
            let line = Record::new(RecordKind::AccountIgnored, Text::clone(fault));
            self.effects.push(Effect::Log(line));
        }
        self.keep_accounts_required(&mut catalog);
        self.leaders
            .retain_services(|service| catalog.services.contains_key(service));
        let earlier = self.catalog.replace(catalog);
        self.catalog_applied = self.now;
        self.apply_limits();
        self.rank_homes();
        self.apply_accounts(earlier.as_ref().map(|earlier| &earlier.accounts));
        self.close_connections_of_removed_accounts();
        self.open_waiting_sessions();
        self.answer_held_requests();
    }

    /// Records the outcome of a conditional write.
    pub(crate) fn on_written(&mut self, written: Written) {
        let Written {
            write,
            sent,
            outcome,
        } = written;
        match write {
            StoreWrite::RenewPermission {
                record, generation, ..
            } => {
                self.on_permission_written(&record, generation, sent, outcome);
            }
            StoreWrite::DropPermission { .. } => {}
            StoreWrite::SetCoordinator { .. } => self.on_coordinator_written(&outcome),
            StoreWrite::NameLeaders { leaders, .. } => self.on_leaders_written(&leaders, &outcome),
        }
        self.coordinate();
    }
}
