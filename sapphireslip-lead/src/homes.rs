//! Homes: in each availability zone, the one daemon that serves the sessions of a service.
//!
//! The connections of a server are scarce, and a transaction holds one while its client pauses.
//! With one home for a service in each zone, a server's connections are shared by a few daemons
//! instead of by all.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{ServiceName, SessionId, VmId, data};

use crate::drain::CLIENT_PAUSE;
use crate::home_ranks::HomeRank;
use crate::session::Session;
use crate::state::State;
use crate::{Effect, PermissionRecord, Record, RecordKind};

/// How long daemons that start together take to write their rows and to read those of the others.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(800);

/// How long a session must have been idle before it is moved to its home: its client pauses.
pub(crate) const MOVE_IDLE_MIN: Duration = Duration::from_millis(400);

/// The pause between moving two sessions, so that clients do not reconnect all at once.
const MOVE_SPACING: Duration = Duration::from_millis(40);

/// How long a daemon is not ready before its clients are sent to other daemons: by then the
/// platform's load balancer knows of it.
const NOT_READY_MAX: Duration = Duration::from_millis(2_300);

/// How long the permission may be missing before sessions that another daemon forwarded are closed:
/// that daemon finds another home at once.
const NO_PERMISSION_FORWARDED_MAX: Duration = Duration::from_millis(200);

data! {
    /// Another daemon that is the home of a service: the daemon of a zone that serves the sessions
    /// of the service there.
    pub(crate) struct RemoteHome {
        /// The VM of the daemon.
        pub(crate) vm: VmId,
        /// The address where the daemon accepts forwarded sessions.
        pub(crate) address: SocketAddr,
        /// Whether the daemon is in another zone.
        pub(crate) is_elsewhere: bool,
    }
}

impl State {
    /// Returns the home of a service in this zone if it is another daemon.
    pub(crate) fn other_home(&self, service: &ServiceName) -> Option<RemoteHome> {
        let table = self.permissions.as_ref()?;
        let computed;
        let rank = if let Some(rank) = self.home_ranks.get(service) {
            rank
        } else {
            computed = HomeRank::new(service, &self.daemons_of(&self.local.zone, table));
            &computed
        };
        let others = rank.others.iter().enumerate();
        let mut records =
            others.filter_map(|(n, place)| Some((n, &table.permissions.get(*place)?.0)));
        let (n, best) = records
            .find(|(_, record)| table.now < record.alive && self.may_forward_to(record, service))?;
        let is_own = n >= rank.before_own && self.can_be_home(service);
        (!is_own).then(|| RemoteHome {
            vm: best.vm.clone(),
            address: best.peers,
            is_elsewhere: false,
        })
    }

    /// Returns whether a daemon is the first in rank for a service of those of this zone that are alive,
    /// whether or not it takes sessions.
    pub(crate) fn is_first_in_rank(&self, service: &ServiceName, vm: &VmId) -> bool {
        let Some((table, rank)) = self.permissions.as_ref().zip(self.home_ranks.get(service))
        else {
            return false;
        };
        let others = rank.others.iter().take(rank.before_own);
        let mut before_own = others.filter_map(|place| table.permissions.get(*place));
        let first = before_own.find(|(record, _)| table.now < record.alive);
        first.map_or(&self.local.vm, |(record, _)| &record.vm) == vm
    }

    /// Returns whether sessions of a service may be forwarded to a daemon: it has not refused any
    /// lately, and reports no leader of the service as unreachable.
    pub(crate) fn may_forward_to(&self, record: &PermissionRecord, service: &ServiceName) -> bool {
        let leader = self.leaders.named(service);
        !self.relays.is_avoided(&record.vm, self.now)
            && leader.is_none_or(|leader| !record.unreachable.contains(leader))
    }

    /// Returns whether this daemon could serve a service now: it reaches the leader and may take
    /// sessions.
    fn can_be_home(&self, service: &ServiceName) -> bool {
        let leader = self
            .leaders
            .named(service)
            .and_then(|leader| self.servers.get(leader));
        let reaches = leader.is_none_or(|leader| !leader.is_unreachable(self.now));
        reaches && self.may_take_sessions()
    }

    /// Returns whether this daemon has lacked its permission for so long that its clients are sent
    /// to other daemons. Its connections are then of no use to it, and other daemons need them.
    pub(crate) fn lacks_permission_for_long(&self) -> bool {
        self.permission.lacked_for(self.now) >= NOT_READY_MAX
    }

    /// Returns whether other daemons may forward sessions to this one.
    pub(crate) fn may_take_sessions(&self) -> bool {
        let lacks_permission = self.permission.lacked_for(self.now) >= NO_PERMISSION_FORWARDED_MAX;
        !lacks_permission
            && !self.is_leaving()
            && self.servers.last_read.is_some()
            && self.can_get_permission()
    }

    /// Returns whether this daemon is the home of a service in its zone.
    pub(crate) fn is_home(&self, service: &ServiceName) -> bool {
        self.knows_others() && self.other_home(service).is_none()
    }

    /// Returns whether this daemon knows the other daemons of its zone.
    ///
    /// Daemons that start together first have to write their rows and to read those of each other.
    /// If this VM has a row of an earlier run, so do the other VMs, and there is nothing to wait
    /// for.
    fn knows_others(&self) -> bool {
        let has_met =
            self.permission.had_earlier_row || self.now.since_start >= PEER_DISCOVERY_TIME;
        has_met && self.permissions.is_some()
    }

    /// Returns whether this daemon needs a permission: it serves sessions, is the home of a
    /// service, or is the coordinator or has to succeed an earlier run that was.
    pub(crate) fn needs_permission(&self) -> bool {
        if !self.sessions.is_empty()
            || self.is_coordinator()
            || self.was_coordinator_in_earlier_run()
        {
            return true;
        }
        self.services().any(|service| self.is_home(service))
    }

    /// Returns whether this daemon is to be the home of a service by its rank, whether or not it
    /// reaches the leader. It then has to have its permission to be ready.
    pub(crate) fn is_home_by_rank(&self) -> bool {
        let is_first = |service| {
            let rank = self.home_ranks.get(service);
            rank.is_some_and(|rank| rank.before_own == 0)
        };
        self.knows_others() && self.services().any(is_first)
    }

    /// Returns the services of the configuration.
    fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let catalog = self.catalog.iter();
        catalog.flat_map(|catalog| catalog.services.keys())
    }

    /// Closes idle sessions that other daemons serve better.
    ///
    /// Once the permission has been missing for `NO_PERMISSION_FORWARDED_MAX`, those are all
    /// forwarded sessions, and after `NOT_READY_MAX` all sessions. Otherwise they are sessions
    /// that clients opened here although the home is another daemon; those are closed one by one.
    pub(crate) fn move_sessions(&mut self) {
        if self.is_leaving() {
            return;
        }
        let lacked = self.permission.lacked_for(self.now);
        if lacked >= NO_PERMISSION_FORWARDED_MAX {
            let all = self.lacks_permission_for_long();
            return self.move_idle_sessions(|_, session| all || session.is_forwarded);
        }
        if self.is_cut_off_for_long() {
            self.move_idle_sessions(|state, session| !state.has_place_for(session));
        }
        if self.relays.last_move + MOVE_SPACING > self.now {
            return;
        }
        if let Some(id) = self.session_to_return() {
            self.relays.last_move = self.now;
            self.relays.mark_closing(id);
            self.log_session_moved(id);
            return self.effects.push(Effect::CloseWhenIdle { session: id });
        }
        let is_elsewhere = |session: &Session| {
            let route = self.route_to(&session.database);
            let home = route.and_then(|route| self.other_home(&route.service));
            home.is_some()
        };
        let quiet = self.sessions.iter().find(|(_, session)| {
            !session.is_forwarded
                && session.is_idle_for(self.now, MOVE_IDLE_MIN)
                && is_elsewhere(session)
        });
        if let Some(id) = quiet.map(|(id, _)| *id) {
            self.relays.last_move = self.now;
            self.close_for_reconnect(id);
        }
    }

    /// Closes the sessions for which `matches` holds and that have been idle for [`CLIENT_PAUSE`].
    /// Those that have not are closed with their next answer.
    fn move_idle_sessions(&mut self, matches: impl Fn(&Self, &Session) -> bool) {
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.is_idle_for(self.now, CLIENT_PAUSE) && matches(self, session)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.close_for_reconnect(id);
        }
    }

    /// Closes a session that was just answered if this daemon refuses its statements for lack of
    /// its permission. The client learns of the end with the answer, before it sends anything else.
    pub(crate) fn move_answered_session(&mut self, id: SessionId) {
        let lacked = self.permission.lacked_for(self.now);
        let is_refused = |session: &Session| {
            let lacked_max = match session.is_forwarded {
                true => NO_PERMISSION_FORWARDED_MAX,
                false => NOT_READY_MAX,
            };
            let is_cut_off = self.is_cut_off_for_long() && !self.has_place_for(session);
            (lacked >= lacked_max || is_cut_off) && session.is_idle()
        };
        if !self.is_leaving() && self.sessions.get(&id).is_some_and(is_refused) {
            self.close_for_reconnect(id);
        }
    }

    /// Returns whether this daemon has had no place for most sessions for so long that the platform's
    /// load balancer sends the clients that reconnect to another zone.
    fn is_cut_off_for_long(&self) -> bool {
        let cut_off_for = self.reach.cut_off_for(self.now);
        cut_off_for.is_some_and(|time| time >= NOT_READY_MAX)
    }

    /// Returns whether a new session on the same database would most likely have a place.
    fn has_place_for(&self, session: &Session) -> bool {
        let route = self.route_to(&session.database);
        route.is_none_or(|route| self.reach.had_place(&route.service))
    }

    /// Closes an idle session, so that its client reconnects.
    fn close_for_reconnect(&mut self, id: SessionId) {
        self.log_session_moved(id);
        self.close_when_idle(id);
    }

    /// Logs that a session is closed for its client to reconnect.
    fn log_session_moved(&mut self, id: SessionId) {
        let line = Record::new(
            RecordKind::SessionMoved,
            "the client is to reconnect".into(),
        );
        self.log(Record {
            session: Some(id),
            ..line
        });
    }
}
