//! The leaders that the store names, and which of them this daemon may send work to.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, data};

use crate::reached_terms::ReachedTerms;
use crate::state::State;
use crate::{LeaderRecord, LeaderTable, Record, RecordKind, Role, RowVersion, ServerStatus, Term};

/// How long statements wait for a missing permission before they are refused: the usual time of a
/// renewal, with a margin for one lost answer.
const USUAL_RENEWAL_TIME: Duration = Duration::from_millis(150);

data! {
    /// The leaders that the store names, and the terms in which those servers confirmed it.
    #[derive(Default)]
    pub(crate) struct Leaders {
        /// The latest table of leaders read from the store. After a return of the store from a copy it is that
        /// of the era before, but for the coordinator, until the leaders are confirmed.
        pub(crate) table: LeaderTable,
        /// The table of the present era while no coordinator has confirmed its leaders.
        pub(crate) copy: Option<LeaderTable>,
        /// The generation of the first confirmed table of the present era; 0 in the first era. Rows of
        /// permissions before it may acknowledge leaders of the era before.
        pub(crate) confirmed_at: RowVersion,
        /// The highest version of the row of the coordinator's role in any table.
        last_role: RowVersion,
        /// Whether the table has been read since the daemon started.
        pub(crate) is_known: bool,
        /// For each service, the server that last reported itself as primary while it was the
        /// named leader, and the term that it reported.
        confirmed_terms: BTreeMap<ServiceName, (ServerId, Term)>,
        /// The named leaders that have led and do not any more: they were succeeded, or have started
        /// again.
        deposed: BTreeMap<ServiceName, ServerId>,
        /// The highest term that each service of the configuration is known to have reached.
        reached: ReachedTerms,
        /// When this daemon last learned of a new leader row of each service, or that its leader is
        /// superseded.
        last_changes: BTreeMap<ServiceName, Instant>,
    }

    /// Whether a service has a primary that this daemon may use.
    pub(crate) enum LeaderView {
        /// The leader has confirmed its term; work for the primary may be sent to this server.
        Confirmed(ServerId),
        /// This server is the named leader and is expected to be usable soon.
        Pending(ServerId),
        /// No primary may be used, for the given reason.
        Unavailable(&'static str),
    }
}

impl Leaders {
    /// Returns the server that the store names as the leader of a service.
    pub(crate) fn named(&self, service: &ServiceName) -> Option<&ServerId> {
        self.table
            .leaders
            .get(service)
            .map(|(record, _)| &record.leader)
    }

    /// Returns the term in which the named leader reported itself as primary, if it is above the
    /// term that its row requires and the service has reached no later one.
    pub(crate) fn term(&self, service: &ServiceName) -> Option<Term> {
        let (server, term) = self.confirmed_terms.get(service)?;
        let (record, _) = self.table.leaders.get(service)?;
        (record.leader == *server && *term >= self.least_term(service)).then_some(*term)
    }

    /// Returns whether a server is the named leader and has confirmed it.
    pub(crate) fn leads(&self, service: &ServiceName, server: &ServerId) -> bool {
        self.named(service) == Some(server) && self.term(service).is_some()
    }

    /// Returns the highest term that a service is known to have reached; 0 if none is known.
    pub(crate) fn reached(&self, service: &ServiceName) -> Term {
        self.reached.of(service)
    }

    /// Returns the least term that may be led: the one that the service has reached, and above the
    /// term that the row of its leader requires.
    pub(crate) fn least_term(&self, service: &ServiceName) -> Term {
        let row = self.table.leaders.get(service);
        let by_row = row.map(|(record, _)| record.above.0.saturating_add(1));
        self.reached(service).max(Term(by_row.unwrap_or_default()))
    }

    /// Returns the last term that a service has left; 0 if none is known.
    pub(crate) fn last_left_term(&self, service: &ServiceName) -> Term {
        Term(self.reached(service).0.saturating_sub(1))
    }

    /// Forgets what was known of the services for which `is_kept` is false.
    pub(crate) fn retain_services(&mut self, is_kept: impl Fn(&ServiceName) -> bool) {
        self.deposed.retain(|service, _| is_kept(service));
        self.reached.retain(is_kept);
    }

    /// Forgets the deposed leaders that are no longer named.
    fn forget_deposed(&mut self) {
        let leaders = &self.table.leaders;
        self.deposed.retain(|service, deposed| {
            let named = leaders.get(service);
            named.is_some_and(|(record, _)| record.leader == *deposed)
        });
    }

    /// Returns whether a named leader has led and does not any more.
    pub(crate) fn is_deposed(&self, service: &ServiceName, leader: &ServerId) -> bool {
        self.deposed.get(service) == Some(leader)
    }

    /// Returns whether work that was sent to `server` in `term` is no longer covered: the store names
    /// another leader, or the same one for a later term, or the service has reached a later term.
    pub(crate) fn has_replaced(
        &self,
        service: &ServiceName,
        server: &ServerId,
        term: Option<Term>,
    ) -> bool {
        let row = self.table.leaders.get(service);
        row.is_none_or(|(record, _)| record.leader != *server)
            || term < Some(self.least_term(service))
    }

    /// Discards a server's confirmation as leader until it reports itself as primary again.
    pub(crate) fn unconfirm(&mut self, server: &ServerId, now: Instant) {
        let confirmed = self.confirmed_terms.iter();
        let led = confirmed
            .filter(|(service, (leader, _))| leader == server && self.term(service).is_some());
        let led: Vec<ServiceName> = led.map(|(service, _)| service.clone()).collect();
        for service in led {
            self.last_changes.insert(service.clone(), now);
            self.deposed.insert(service, server.clone());
        }
        self.confirmed_terms
            .retain(|_, (leader, _)| leader != server);
    }

    /// Returns when this daemon last learned of a new leader row of a service, or that its leader is
    /// superseded.
    pub(crate) fn changed_at(&self, service: &ServiceName) -> Option<Instant> {
        self.last_changes.get(service).copied()
    }
}

impl State {
    /// Returns whether a service has a primary that this daemon may use now.
    pub(crate) fn leader_view(&self, service: &ServiceName) -> LeaderView {
        let Some(leader) = self.leaders.named(service) else {
            return LeaderView::Unavailable("no primary is named yet");
        };
        if !self.permission.is_valid(self.now) {
            if self.permission.lacked_for(self.now) < USUAL_RENEWAL_TIME {
                return LeaderView::Pending(leader.clone());
            }
            return LeaderView::Unavailable("the permission to rely on the primary has ended");
        }
        let Some(server) = self.servers.get(leader) else {
            return LeaderView::Unavailable("the primary is not listed");
        };
        if server.is_unreachable(self.now) {
            return LeaderView::Unavailable("the primary can't be reached");
        }
        if !self.may_get_new_work(leader) {
            return match server.is_staying() {
                true if self.is_list_expected() => LeaderView::Pending(leader.clone()),
                true => LeaderView::Unavailable("the list of servers is too old"),
                false => LeaderView::Unavailable("the primary is leaving"),
            };
        }
        if self.leaders.term(service).is_none() {
            return LeaderView::Pending(leader.clone());
        }
        LeaderView::Confirmed(leader.clone())
    }

    /// Returns the number of leaders that are draining or missing from the list of servers.
    pub(crate) fn leaving_leaders(&self) -> usize {
        let leaders = self.leaders.table.leaders.values();
        let is_leaving = |leader| {
            let server = self.servers.get(leader);
            server.is_some_and(|server| !server.is_staying())
        };
        leaders
            .filter(|(record, _)| is_leaving(&record.leader))
            .count()
    }

    /// Replaces the table of leaders, unless it is older than the known one, and logs each change.
    ///
    /// From then on, a server that is no longer named gets no new work for the primary.
    ///
    /// A leader whose row another writer has overwritten is kept as long as no leader has been named
    /// since. The coordinator is not: the role may have been taken by another daemon before.
    ///
    /// A table of a new era is taken however old its rows are, once its leaders have been confirmed.
    pub(crate) fn on_leaders(&mut self, mut table: LeaderTable) {
        self.on_store_era(table.era);
        if table.era < self.store_era.current() {
            return;
        }
        if self.is_unconfirmed(&table) {
            return self.on_copied_leaders(table);
        }
        let role = table.role_version();
        let is_new_era = self.leaders.table.era < table.era;
        let is_earlier = table.generation < self.leaders.table.generation
            || role.is_some_and(|role| role < self.leaders.last_role);
        if self.leaders.is_known && is_earlier && !is_new_era {
            return;
        }
        self.learn_era(&table);
        if is_new_era {
            self.leaders.copy = None;
            self.leaders.confirmed_at = table.generation;
        }
        self.leaders.last_role = self.leaders.last_role.max(role.unwrap_or_default());
        let unreadable = table.unreadable.values().chain(&table.unreadable_role);
        let unreadable: Vec<_> = unreadable.cloned().collect();
        self.note_unreadable_rows("the leaders", &unreadable);
        if self.leaders.is_known && table.generation == self.leaders.table.generation {
            for (service, row) in &table.unreadable {
                if let Some((record, _)) = self.leaders.table.leaders.get(service) {
                    let kept = (record.clone(), row.version);
                    table.leaders.insert(service.clone(), kept);
                }
            }
        }
        for (service, (record, version)) in &table.leaders {
            let before = self.leaders.table.leaders.get(service);
            let is_same = |(known, known_version): &(LeaderRecord, RowVersion)| match is_new_era {
                true => known == record,
                false => known_version == version,
            };
            if before.is_some_and(is_same) {
                continue;
            }
            let detail = format!(
                "named as leader above term {}, row version {}",
                record.above.0, version.0
            );
            let line = Record::new(RecordKind::LeaderChanged, detail.into());
            self.log(line.service(service).server(&record.leader));
            self.leaders.last_changes.insert(service.clone(), self.now);
        }
        self.leaders.table = table;
        self.leaders.forget_deposed();
        self.note_unreadable_role();
        if !self.leaders.is_known {
            self.note_earlier_run();
        }
        self.leaders.is_known = true;
        self.renew_permission();
        self.probe_leaders();
        self.run_all_queues();
    }

    /// Records the status that a server reported in answer to a request sent at `asked`, unless a
    /// later request was answered already.
    pub(crate) fn on_status(&mut self, server: &ServerId, status: ServerStatus, asked: Instant) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        if known.status_request_sent.is_some_and(|last| asked < last) {
            return;
        }
        let service = known.record.service.clone();
        known.status = Some(status.clone());
        known.status_request_sent = Some(asked);
        self.note_term(server, status.term.max(status.received.term));
        if self.leaders.named(&service) != Some(server) {
            return;
        }
        match status.role {
            Role::Primary => self.confirm(&service, server, status.term),
            Role::Replica => self.leaders.unconfirm(server, self.now),
        }
    }

    /// Records that a server reported a term, which its service has reached then.
    ///
    /// A leader of an earlier term is superseded, although the store still names it: a request to promote
    /// another server has taken effect that nobody waits for any more.
    pub(crate) fn note_term(&mut self, server: &ServerId, term: Term) {
        let Some(known) = self.servers.get(server) else {
            return;
        };
        if term <= self.leaders.reached(&known.record.service) {
            return;
        }
        let service = known.record.service.clone();
        let led = self.leaders.term(&service);
        self.leaders.reached.note(&service, term);
        let Some(led) = led else {
            return;
        };
        let detail = format!(
            "reports term {}; the leader of term {} is superseded",
            term.0, led.0
        );
        let line = Record::new(RecordKind::LeaderChanged, detail.into());
        self.log(line.service(&service).server(server));
        self.leaders.last_changes.insert(service, self.now);
    }

    /// Records that the named leader reported itself as the primary of `term`.
    ///
    /// If the service had no confirmed leader, its floors start anew and its waiting statements are
    /// sent.
    fn confirm(&mut self, service: &ServiceName, server: &ServerId, term: Term) {
        let before = self.leaders.term(service);
        self.leaders
            .confirmed_terms
            .insert(service.clone(), (server.clone(), term));
        if self.leaders.term(service).is_some() {
            self.leaders.deposed.remove(service);
        }
        if before.is_none() && self.leaders.term(service).is_some() {
            self.floors.entry(service.clone()).or_default().clear();
            let line = Record::new(
                RecordKind::LeaderChanged,
                format!("leads term {}", term.0).into(),
            );
            self.log(line.service(service).server(server));
            self.run_queue(service);
        }
    }
}
