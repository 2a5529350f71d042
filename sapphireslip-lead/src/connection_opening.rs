//! Opens connections to backend servers: for the statements that wait, and within the limits and
//! the pace of each server.

use sapphireslip_core::{AccountName, ConnectionId, ServerId};

use crate::connection_choice::{ConnectionChoice, ConnectionLimits, choose_connection};
use crate::job::Job;
use crate::server::{KnownServer, ReplacementNeed};
use crate::state::State;
use crate::{Effect, Record, RecordKind};

/// The least and the most connections to one server that are opened at the same time where accounts
/// have connections of their own. One at a time would have each account wait for all others; more
/// than three take most of the four or five slots of a server from its statements.
const OPENINGS: std::ops::RangeInclusive<usize> = 2..=3;

/// The greatest priority value of an urgent route: statements of others leave a part of the pace of
/// replacements to urgent ones.
const URGENT_PRIORITY_MAX: u8 = 1;

/// The share of its target latency, in percent, that a statement may have waited before a
/// connection is replaced for it ahead of the pace. It is refused after 45%.
const LATE_PERCENT: u32 = 20;

impl State {
    /// Returns whether the configuration names accounts, so that each has its own connections.
    pub(crate) fn has_accounts(&self) -> bool {
        self.catalog
            .as_ref()
            .is_some_and(|catalog| !catalog.accounts.is_empty())
    }

    /// Decides how a waiting statement gets a connection to a server.
    pub(crate) fn connection_for(&self, job: &Job, server: &ServerId) -> ConnectionChoice {
        let Some((known, session)) = self
            .servers
            .get(server)
            .zip(self.sessions.get(&job.session))
        else {
            return ConnectionChoice::Unavailable;
        };
        let is_own_opening = self.pool.opening_for(server, job.account.as_ref()) > 0;
        let statements_left = self.statements_left(server);
        if statements_left == 0 && !is_own_opening {
            return ConnectionChoice::Unavailable;
        }
        let held = self.pool.held(
            server,
            job.account.as_ref(),
            |connection| connection.setup_count(session, job.shape.as_deref()),
            known.latency(),
            self.now,
        );
        let waited = self.now.since(job.arrived);
        let has_accounts = self.has_accounts();
        let may_get_new_work = self.may_get_new_work(server);
        let lacks_permission = self.lacks_permission_for_long();
        let limits = ConnectionLimits {
            connections: self.connections_max(server),
            openings: if has_accounts { openings_max(known) } else { 1 },
            statements_left,
            may_get_new_work,
            may_open: known.may_connect(self.now) && !lacks_permission,
            may_replace: may_get_new_work
                && known.may_replace_connection(self.now, replacement_need(job, waited))
                && !lacks_permission,
        };
        choose_connection(&held, &limits, waited, has_accounts)
    }

    /// Opens a connection for a waiting statement if `choice` says so.
    ///
    /// Returns whether a connection of the account is expected.
    pub(crate) fn prepare_connection(
        &mut self,
        server: &ServerId,
        account: Option<AccountName>,
        choice: &ConnectionChoice,
    ) -> bool {
        match choice {
            ConnectionChoice::Open => self.connect(server, account),
            ConnectionChoice::Replace(idle) => {
                self.replace_connection(*idle, server, account);
                true
            }
            ConnectionChoice::Use(_) | ConnectionChoice::Wait => true,
            ConnectionChoice::Unavailable => false,
        }
    }

    /// Opens a connection to a server for an account.
    ///
    /// Returns false if the server is unknown or has recently refused a connection, or if this
    /// daemon has lacked its permission for so long that it sends its clients away.
    fn connect(&mut self, server: &ServerId, account: Option<AccountName>) -> bool {
        let known = self.servers.get(server);
        if !known.is_some_and(|known| known.may_connect(self.now))
            || self.lacks_permission_for_long()
        {
            return false;
        }
        self.open_connection(server, account);
        true
    }

    /// Opens a connection to a server that is not meant for a certain statement, such as for
    /// requests for the server's status.
    ///
    /// It serves the account of the first statement that waits for the server, or no account if none
    /// waits.
    pub(crate) fn connect_ahead(&mut self, server: &ServerId) -> bool {
        let account = self.account_waiting_for(server);
        self.connect(server, account)
    }

    /// Returns the account of the statement that has waited longest of those that the server could
    /// run.
    fn account_waiting_for(&self, server: &ServerId) -> Option<AccountName> {
        let service = &self.servers.get(server)?.record.service;
        let is_leader = self.leaders.named(service) == Some(server);
        let mut waiting = self
            .queues
            .get(service)?
            .by_arrival()
            .filter_map(|id| self.jobs.get(&id));
        let first = waiting.find(|job| {
            let is_bound = job.in_transaction && job.pending_begin.is_none();
            !is_bound && (is_leader || !job.needs_leader)
        });
        first?.account.clone()
    }

    /// Closes an idle connection of another account, and opens one in its place.
    fn replace_connection(
        &mut self,
        idle: ConnectionId,
        server: &ServerId,
        account: Option<AccountName>,
    ) {
        let Some(replaced) = self.pool.remove(idle) else {
            return;
        };
        let name = |account: Option<&AccountName>| {
            account.map_or_else(|| "no account".to_owned(), |name| format!("`{name}`"))
        };
        let detail = format!(
            "connection of {}, unused for {} ms, makes room for {}",
            name(replaced.account()),
            self.now.since(replaced.last_used).as_millis(),
            name(account.as_ref()),
        );
        let line = Record::new(RecordKind::ConnectionReplaced, detail.into());
        self.log(line.server(server));
        if let Some(known) = self.servers.get_mut(server) {
            known.note_replacement(self.now);
        }
        self.pool.count_replacement();
        self.effects.push(Effect::Disconnect { connection: idle });
        self.open_connection(server, account);
    }

    /// Opens a connection to a known server.
    fn open_connection(&mut self, server: &ServerId, account: Option<AccountName>) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        let (address, service) = (known.record.address, known.record.service.clone());
        let position = known.position;
        let connection = self.pool.open(server, account.clone(), position, self.now);
        self.effects.push(Effect::Connect {
            connection,
            address,
            service,
            server: server.clone(),
            account,
        });
    }

    /// Closes the idle connections of accounts that the configuration no longer names.
    pub(crate) fn close_connections_of_removed_accounts(&mut self) {
        let Some(accounts) = self.catalog.as_ref().map(|catalog| &catalog.accounts) else {
            return;
        };
        let removed = self
            .pool
            .free_with(|account| accounts.get(account).is_none());
        if removed.is_empty() {
            return;
        }
        let detail = format!(
            "{} idle ones of accounts that the configuration no longer names",
            removed.len()
        );
        self.log(Record::new(RecordKind::ConnectionClosed, detail.into()));
        for connection in removed {
            self.pool.remove(connection);
            self.effects.push(Effect::Disconnect { connection });
        }
    }
}

/// Returns how many connections to a server may be opened at the same time.
fn openings_max(server: &KnownServer) -> usize {
    let half = server.record.slots.div_ceil(2);
    half.clamp(*OPENINGS.start(), *OPENINGS.end())
}

/// Returns how much a waiting statement needs a connection in place of another account's.
fn replacement_need(job: &Job, waited: std::time::Duration) -> ReplacementNeed {
    if waited >= job.target_latency * LATE_PERCENT / 100 {
        ReplacementNeed::Late
    } else if job.priority <= URGENT_PRIORITY_MAX {
        ReplacementNeed::Urgent
    } else {
        ReplacementNeed::Normal
    }
}
