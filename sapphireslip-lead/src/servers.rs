//! All backend servers, from the store's list.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, data};

use crate::server::KnownServer;
use crate::{Record, RecordKind, ServerRecord};

/// How long the list may go unread before missing rows may be due to the store's outage: entries
/// lapse after three missed heartbeats.
const LIST_OUTAGE_MIN: Duration = Duration::from_millis(2_500);

/// How long after an outage servers take to register again.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_500);

data! {
    /// The known servers.
    #[derive(Default)]
    pub(crate) struct Servers {
        pub(crate) known: BTreeMap<ServerId, KnownServer>,
        /// When the list was last read.
        pub(crate) last_read: Option<Instant>,
        /// Until when servers may be missing from the list because of an outage.
        entries_lapsed_until: Instant,
    }
}

/// What a new list changed.
pub(crate) struct ListChange {
    /// Servers whose connections are of no use any more.
    pub(crate) gone: Vec<ServerId>,
    pub(crate) records: Vec<Record>,
}

impl Servers {
    pub(crate) fn get(&self, server: &ServerId) -> Option<&KnownServer> {
        self.known.get(server)
    }

    pub(crate) fn get_mut(&mut self, server: &ServerId) -> Option<&mut KnownServer> {
        self.known.get_mut(server)
    }

    /// Returns the servers of a service.
    pub(crate) fn of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ServerId, &'a KnownServer)> {
        self.known
            .iter()
            .filter(move |(_, server)| server.record.service == *service)
    }

    /// Takes over a list.
    pub(crate) fn take(&mut self, now: Instant, list: Vec<ServerRecord>) -> ListChange {
        let is_first_after_outage = self
            .last_read
            .is_some_and(|read| now.since(read) >= LIST_OUTAGE_MIN);
        if is_first_after_outage {
            self.entries_lapsed_until = now + REGISTRATION_TIME;
        }
        self.last_read = Some(now);
        let mut change = ListChange {
            gone: Vec::new(),
            records: Vec::new(),
        };
        let mut missing = std::mem::take(&mut self.known);
        for record in list {
            let known = missing.remove(&record.id);
            self.take_one(now, record, known, &mut change);
        }
        for (id, mut server) in missing {
            let missing_since = *server.missing_since.get_or_insert(now);
            if missing_since == now {
                let line = listed(&server.record, "is missing from the list");
                change.records.push(line);
            }
            if now < self.entries_lapsed_until {
                server.missing_since = None;
                self.known.insert(id, server);
            } else if now.since(missing_since) < MISSING_KEPT_TIME {
                self.known.insert(id, server);
            } else {
                change.gone.push(id);
            }
        }
        change
    }

    fn take_one(
        &mut self,
        now: Instant,
        record: ServerRecord,
        known: Option<KnownServer>,
        change: &mut ListChange,
    ) {
        let id = record.id.clone();
        let mut server = match known {
            Some(known) if known.record.born == record.born => known,
            Some(_) => {
                change.records.push(listed(&record, "started again"));
                change.gone.push(id.clone());
                KnownServer::new(record.clone())
            }
            None => {
                change.records.push(listed(&record, "appeared"));
                KnownServer::new(record.clone())
            }
        };
        if record.is_draining && server.draining_since.is_none() {
            server.draining_since = Some(now);
            change.records.push(listed(&record, "is draining"));
        } else if !record.is_draining {
            server.draining_since = None;
        }
        server.missing_since = None;
        server.record = record;
        self.known.insert(id, server);
    }
}

/// How long a primary that vanished from the list stays known, so that its lead can be handed over.
const MISSING_KEPT_TIME: Duration = Duration::from_secs(5);

fn listed(record: &ServerRecord, what: &str) -> Record {
    let detail = format!("{what}; address {}, born {}", record.address, record.born);
    Record::new(RecordKind::ServerListed, detail.into())
        .service(&record.service)
        .server(&record.id)
}
