//! Which daemon of an availability zone serves a service: its home there.
//!
//! Connections to servers are scarce, and a transaction keeps one while its caller pauses. With one
//! home a service in each zone, a few daemons share a server's connections instead of all.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{ServiceName, SessionId, VmId, data};

use crate::home_ranks::HomeRank;
use crate::session::Session;
use crate::state::State;
use crate::{PermissionRecord, Record, RecordKind};

/// How long daemons that start together take to say that they live, and to read it of the others.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(800);

/// How long a session must have been quiet to be moved to its home: its caller pauses.
const MOVE_IDLE_MIN: Duration = Duration::from_millis(400);

/// The pause between two sessions that are moved, so that callers do not reconnect all at once.
const MOVE_SPACING: Duration = Duration::from_millis(40);

/// How long the permission may be missing before callers are sent to other daemons: by then the
/// platform's balancer knows that this daemon is not ready.
const NO_PERMISSION_MAX: Duration = Duration::from_millis(2_300);

/// As above for sessions that another daemon passed on, which finds another home at once.
const NO_PERMISSION_PASSED_ON_MAX: Duration = Duration::from_millis(200);

data! {
    /// A daemon that serves a service.
    pub(crate) struct RemoteHome {
        pub(crate) vm: VmId,
        pub(crate) address: SocketAddr,
    }
}

impl State {
    /// Returns the home of a service in this zone if that is another daemon.
    pub(crate) fn other_home(&self, service: &ServiceName) -> Option<RemoteHome> {
        let table = self.permissions.as_ref()?;
        let computed;
        let rank = if let Some(rank) = self.home_ranks.get(service) {
            rank
        } else {
            computed = HomeRank::new(service, &self.local, table);
            &computed
        };
        let leader = self.leaders.named(service);
        let is_able = |record: &PermissionRecord| {
            table.now < record.alive
                && !self.relays.is_avoided(&record.vm, self.now)
                && leader.is_none_or(|leader| !record.unreachable.contains(leader))
        };
        let others = rank.others.iter().enumerate();
        let mut records =
            others.filter_map(|(n, place)| Some((n, &table.permissions.get(*place)?.0)));
        let (n, best) = records.find(|(_, record)| is_able(record))?;
        let is_own = n >= rank.before_own && self.is_able_home(service);
        (!is_own).then(|| RemoteHome {
            vm: best.vm.clone(),
            address: best.peers,
        })
    }

    fn is_able_home(&self, service: &ServiceName) -> bool {
        let leader = self
            .leaders
            .named(service)
            .and_then(|leader| self.servers.get(leader));
        let reaches = leader.is_none_or(|leader| !leader.is_unreachable(self.now));
        reaches && self.may_take_sessions()
    }

    /// Returns whether this daemon has lacked its permission for so long that its callers are sent
    /// away: connections are of no use to it, and other daemons need them.
    pub(crate) fn is_out_of_work(&self) -> bool {
        self.permission.lacked_for(self.now) >= NO_PERMISSION_MAX
    }

    /// Returns whether sessions of other daemons may come here.
    pub(crate) fn may_take_sessions(&self) -> bool {
        let is_unable = self.permission.lacked_for(self.now) >= NO_PERMISSION_PASSED_ON_MAX;
        !is_unable && !self.is_leaving() && self.servers.last_read.is_some()
    }

    /// Returns whether this daemon is the home of a service in its zone.
    pub(crate) fn is_home(&self, service: &ServiceName) -> bool {
        self.knows_others() && self.other_home(service).is_none()
    }

    /// Returns whether this daemon knows who else lives in its zone.
    ///
    /// Daemons that start together have to say so, and to read it of each other. Where this VM has a
    /// row of an earlier run, the others have theirs.
    fn knows_others(&self) -> bool {
        let has_met =
            self.permission.had_earlier_row || self.now.since_start >= PEER_DISCOVERY_TIME;
        has_met && self.permissions.is_some()
    }

    /// Returns whether this daemon works with servers, so that it needs a permission.
    pub(crate) fn needs_permission(&self) -> bool {
        if !self.sessions.is_empty()
            || self.is_coordinator()
            || self.was_coordinator_in_earlier_run()
        {
            return true;
        }
        let services = self
            .catalog
            .iter()
            .flat_map(|catalog| catalog.services.keys());
        services.into_iter().any(|service| self.is_home(service))
    }

    /// Sends callers to where their sessions are better served.
    pub(crate) fn move_sessions(&mut self) {
        if self.is_leaving() {
            return;
        }
        let lacked = self.permission.lacked_for(self.now);
        if lacked >= NO_PERMISSION_PASSED_ON_MAX {
            let all = self.is_out_of_work();
            return self.move_idle_sessions(|session| all || session.is_passed_on);
        }
        if self.relays.moved + MOVE_SPACING > self.now {
            return;
        }
        let is_elsewhere = |session: &Session| {
            let route = self.route_to(&session.database);
            let home = route.and_then(|route| self.other_home(&route.service));
            !session.is_passed_on && home.is_some()
        };
        let quiet = self.sessions.iter().find(|(_, session)| {
            session.is_idle()
                && self.now.since(session.heard) >= MOVE_IDLE_MIN
                && is_elsewhere(session)
        });
        if let Some(id) = quiet.map(|(id, _)| *id) {
            self.relays.moved = self.now;
            self.close_for_reconnect(id);
        }
    }

    /// Closes the sessions of a kind that have nothing at work, also between two statements: here
    /// their callers would be refused.
    fn move_idle_sessions(&mut self, is_meant: impl Fn(&Session) -> bool) {
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_idle() && is_meant(session))
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.close_for_reconnect(id);
        }
    }

    fn close_for_reconnect(&mut self, id: SessionId) {
        let line = Record::new(
            RecordKind::SessionMoved,
            "its caller is to reconnect".into(),
        );
        self.log(Record {
            session: Some(id),
            ..line
        });
        self.close_when_idle(id);
    }
}
