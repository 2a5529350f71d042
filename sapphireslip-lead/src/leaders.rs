//! Who leads each service, as far as this daemon may rely on it.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, data};

use crate::state::State;
use crate::{LeaderTable, Record, RecordKind, Role, ServerStatus, Term};

/// How long a permission usually takes to come, with a margin for one lost answer.
const USUAL_RENEWAL_TIME: Duration = Duration::from_millis(150);

data! {
    /// The leads that the store names and what the servers said of them.
    #[derive(Default)]
    pub(crate) struct Leaders {
        pub(crate) table: LeaderTable,
        /// Whether the table was read.
        pub(crate) is_known: bool,
        /// The terms at which the named leaders reported themselves as primaries.
        confirmed_terms: BTreeMap<ServiceName, (ServerId, Term)>,
        /// When each lead last changed.
        last_changes: BTreeMap<ServiceName, Instant>,
    }

    /// Who leads a service at the moment.
    pub(crate) enum LeaderView {
        /// This server; work for the primary may go there.
        Confirmed(ServerId),
        /// This server is about to.
        Pending(ServerId),
        /// Nobody that this daemon may rely on.
        Unavailable(&'static str),
    }
}

impl Leaders {
    /// Returns who is to lead a service, as the store says.
    pub(crate) fn named(&self, service: &ServiceName) -> Option<&ServerId> {
        self.table
            .leaders
            .get(service)
            .map(|(record, _)| &record.leader)
    }

    /// Returns the term that the named leader was seen to lead.
    pub(crate) fn term(&self, service: &ServiceName) -> Option<Term> {
        let (server, term) = self.confirmed_terms.get(service)?;
        let (record, _) = self.table.leaders.get(service)?;
        (record.leader == *server && *term > record.above).then_some(*term)
    }

    /// Forgets that a server was seen to lead, until it says so again.
    pub(crate) fn unconfirm(&mut self, server: &ServerId) {
        self.confirmed_terms
            .retain(|_, (leader, _)| leader != server);
    }

    pub(crate) fn changed_at(&self, service: &ServiceName) -> Option<Instant> {
        self.last_changes.get(service).copied()
    }
}

impl State {
    /// Returns who leads a service.
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
        if self.leaders.term(service).is_none() {
            return LeaderView::Pending(leader.clone());
        }
        LeaderView::Confirmed(leader.clone())
    }

    /// Takes over the leads; a server that is no longer to lead gets no new work as a primary.
    pub(crate) fn on_leaders(&mut self, table: LeaderTable) {
        if self.leaders.is_known && table.generation < self.leaders.table.generation {
            return;
        }
        for (service, (record, version)) in &table.leaders {
            let before = self.leaders.table.leaders.get(service);
            if before.is_some_and(|(_, known)| known == version) {
                continue;
            }
            let detail = format!(
                "to lead above term {}, row version {}",
                record.above.0, version.0
            );
            let line = Record::new(RecordKind::LeaderChanged, detail.into());
            self.log(line.service(service).server(&record.leader));
            self.leaders.last_changes.insert(service.clone(), self.now);
        }
        self.leaders.table = table;
        self.leaders.is_known = true;
        self.renew_permission();
        self.probe_all();
        self.run_all_lanes();
    }

    /// Takes what a server says of itself.
    pub(crate) fn on_status(&mut self, server: &ServerId, status: ServerStatus, asked: Instant) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        if known.status_asked.is_some_and(|last| asked < last) {
            return;
        }
        let service = known.record.service.clone();
        known.status = Some(status.clone());
        known.status_asked = Some(asked);
        if self.leaders.named(&service) != Some(server) {
            return;
        }
        match status.role {
            Role::Primary => self.confirm(&service, server, status.term),
            Role::Replica => self.leaders.unconfirm(server),
        }
    }

    fn confirm(&mut self, service: &ServiceName, server: &ServerId, term: Term) {
        let before = self.leaders.term(service);
        self.leaders
            .confirmed_terms
            .insert(service.clone(), (server.clone(), term));
        if before.is_none() && self.leaders.term(service).is_some() {
            self.floors.entry(service.clone()).or_default().clear();
            let line = Record::new(
                RecordKind::LeaderChanged,
                format!("leads term {}", term.0).into(),
            );
            self.log(line.service(service).server(server));
            self.run_lane(service);
        }
    }
}
