//! Whether this daemon has a place for the sessions of clients, or they are served better in another
//! zone.
//!
//! A zone that is partitioned from the others still has its clients, but not the servers of the other
//! zones. Its daemons can only refuse. The platform's load balancer sends the clients of a zone
//! elsewhere once none of the zone's daemons is ready, so that all of them have to come to the same
//! conclusion: from the reports in the permission table or, if the store is lost too, from the daemons
//! that refuse sessions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, ZoneName, data};

use crate::homes::RemoteHome;
use crate::server::KnownServer;
use crate::state::State;
use crate::{PermissionTable, Record, RecordKind};

/// How long the reports of a table count. Daemons that work with servers read a table each 2 s, and
/// more often while a leader can't be reached.
const REPORTS_VALID: Duration = Duration::from_millis(3_000);

/// How long ago a server of another zone may have answered last for that zone to count as heard: the
/// time after which a server without an answer counts as unreachable.
const HEARD_AGE_MAX: Duration = Duration::from_millis(800);

/// How often it is checked whether there is a place for the sessions of each service: the homes of other
/// zones are ranked anew each time, which a tick of a small VM has no time for.
const CHECK_EVERY: Duration = Duration::from_millis(100);

data! {
    /// The reports of all zones on the leaders, and since when this daemon has had no place for the
    /// sessions of most services.
    #[derive(Default)]
    pub(crate) struct Reach {
        /// The reports on each leader that any daemon mentions.
        by_leader: BTreeMap<ServerId, ZoneReports>,
        /// When the table with these reports was read.
        read: Instant,
        /// When it is next checked whether there is a place for the sessions of each service.
        next_check: Instant,
        /// The services for whose sessions there was no place at the last check.
        without_place: BTreeSet<ServiceName>,
        /// Since when there is no place for the sessions of most services; none if there is.
        cut_off_since: Option<Instant>,
    }

    /// The zones with reports on one leader.
    #[derive(Default)]
    struct ZoneReports {
        /// The zones of which at least one daemon has reached the leader lately.
        reached: BTreeSet<ZoneName>,
        /// The zones of which at least one daemon reports the leader as unreachable.
        unreachable: BTreeSet<ZoneName>,
    }
}

impl Reach {
    /// Takes the reports of all daemons whose permission was valid when the table was read, at `now`.
    pub(crate) fn learn(&mut self, table: &PermissionTable, now: Instant) {
        self.by_leader.clear();
        self.read = now;
        for record in table.permitted() {
            for leader in &record.reached {
                let reports = self.by_leader.entry(leader.clone()).or_default();
                reports.reached.insert(record.zone.clone());
            }
            for leader in &record.unreachable {
                let reports = self.by_leader.entry(leader.clone()).or_default();
                reports.unreachable.insert(record.zone.clone());
            }
        }
    }

    /// Returns whether there was a place for the sessions of a service at the last check.
    pub(crate) fn had_place(&self, service: &ServiceName) -> bool {
        !self.without_place.contains(service)
    }

    /// Returns whether there is no place for the sessions of most services.
    pub(crate) const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns for how long there has been no place for the sessions of most services; none if there
    /// is.
    pub(crate) fn cut_off_for(&self, now: Instant) -> Option<Duration> {
        self.cut_off_since.map(|since| now.since(since))
    }
}

impl ZoneReports {
    /// Returns whether more zones reach the leader than not, of which `zone` does not.
    fn is_reached_without(&self, zone: &ZoneName) -> bool {
        let reached = self.reached.iter().filter(|other| *other != zone).count();
        let unreachable = self.unreachable.difference(&self.reached);
        reached > unreachable.filter(|other| *other != zone).count() + 1
    }

    /// Returns whether a zone reports that it can't reach the leader.
    fn is_unreachable_from(&self, zone: &ZoneName) -> bool {
        self.unreachable.contains(zone) && !self.reached.contains(zone)
    }
}

impl State {
    /// Returns whether this zone can't reach the leader of a service and most others do. Without the
    /// store, which has their reports, a zone that hears no server of another zone is cut off itself.
    pub(crate) fn is_leader_only_elsewhere(&self, service: &ServiceName) -> bool {
        let Some(leader) = self.leaders.named(service) else {
            return false;
        };
        let server = self.servers.get(leader);
        let is_unreachable = server.is_some_and(|server| server.is_unreachable(self.now));
        if self.reads.is_store_away() {
            return is_unreachable && !self.hears_other_zones();
        }
        let is_valid = self.now.since(self.reach.read) < REPORTS_VALID;
        let reports = self.reach.by_leader.get(leader).filter(|_| is_valid);
        let zone = &self.local.zone;
        let is_heard_since = server.is_some_and(|s| s.last_answer > Some(self.reach.read));
        reports.is_some_and(|reports| {
            let is_reported = !is_heard_since && reports.is_unreachable_from(zone);
            (is_unreachable || is_reported) && reports.is_reached_without(zone)
        })
    }

    /// Returns whether a server of another zone has answered within [`HEARD_AGE_MAX`].
    fn hears_other_zones(&self) -> bool {
        self.servers_elsewhere().any(|server| {
            let last = server.last_answer;
            last.is_some_and(|last| self.now.since(last) < HEARD_AGE_MAX)
        })
    }

    /// Returns the servers of other zones.
    fn servers_elsewhere(&self) -> impl Iterator<Item = &KnownServer> {
        let servers = self.servers.known.values();
        servers.filter(|server| server.record.zone != self.local.zone)
    }

    /// Asks the silent servers of other zones for their status while the store is away and a leader
    /// can't be reached, to tell a cut of this zone from the loss of a leader.
    pub(crate) fn probe_other_zones(&mut self) {
        let is_unreachable = |server: &KnownServer| server.is_unreachable(self.now);
        if !self.reads.is_store_away() || !self.servers.known.values().any(is_unreachable) {
            return;
        }
        let is_due =
            |at: Option<Instant>| at.is_none_or(|at| self.now.since(at) >= HEARD_AGE_MAX / 2);
        let silent: Vec<ServerId> = self
            .servers_elsewhere()
            .filter(|server| is_due(server.last_answer) && is_due(server.last_probe))
            .map(|server| server.record.id.clone())
            .collect();
        for server in silent {
            if self.pool.count(&server) > 0 {
                self.probe(&server);
            }
        }
    }

    /// Records since when this daemon has had no place for the sessions of most services.
    pub(crate) fn note_reach(&mut self) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        if self.now < self.reach.next_check || !self.leaders.is_known {
            return;
        }
        self.reach.next_check = self.now + CHECK_EVERY;
        let services = catalog.services.len();
        let without_place = catalog.services.keys();
        let without_place: BTreeSet<_> = without_place
            .filter(|service| !self.has_place(service))
            .cloned()
            .collect();
        let lacked = without_place.len();
        self.reach.without_place = without_place;
        let is_cut_off = lacked * 2 > services;
        if is_cut_off == self.reach.is_cut_off() {
            return;
        }
        self.reach.cut_off_since = is_cut_off.then_some(self.now);
        let detail = match is_cut_off {
            true => {
                format!("no place for new sessions of {lacked} of {services} services; not ready")
            }
            false => "there is a place for new sessions again".to_owned(),
        };
        self.log(Record::new(RecordKind::PlacesChanged, detail.into()));
    }

    /// Returns whether a daemon is expected to take new sessions of a service from this one and to
    /// reach the leader: a home of this zone, this daemon, or a home of another zone.
    fn has_place(&self, service: &ServiceName) -> bool {
        let is_trusted = |home: RemoteHome| !self.relays.is_doubted(&home.vm, self.now);
        self.other_home(service).is_some_and(is_trusted)
            || (self.can_get_permission() && !self.is_leader_only_elsewhere(service))
            || (!self.can_get_permission() && self.home_elsewhere(service).is_some_and(is_trusted))
    }
}
