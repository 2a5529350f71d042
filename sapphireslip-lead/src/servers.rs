//! All known backend servers, kept up to date from the list in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServerId, ServiceName, data};

use crate::server::KnownServer;
use crate::{Record, RecordKind, ServerRecord};

/// How long a read of the list must be overdue for missing rows to be put down to an outage of the
/// store: rows lapse after three missed heartbeats.
const LIST_OVERDUE_MIN: Duration = Duration::from_millis(1_000);

/// How long servers may take to register again after an outage of the store.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_500);

data! {
    /// The known backend servers.
    #[derive(Default)]
    pub(crate) struct Servers {
        /// The servers by identifier.
        pub(crate) known: BTreeMap<ServerId, KnownServer>,
        /// When the list was last read; none before the first read.
        pub(crate) last_read: Option<Instant>,
        /// When the read that brought the last list was sent.
        pub(crate) list_sent: Instant,
        /// When the next read was due, as of the last one.
        next_read: Instant,
        /// Until when servers may be missing from the list because of an outage of the store.
        entries_lapsed_until: Instant,
        /// Until when rows may be those of an older copy from which the store has come back.
        rows_copied_until: Instant,
    }
}

/// The changes that a new list brought.
pub(crate) struct ListChange {
    /// Servers that are gone or have started again, so that what was known of them is void.
    pub(crate) gone: Vec<ServerId>,
    /// The log lines about the changes.
    pub(crate) records: Vec<Record>,
}

impl Servers {
    /// Returns a server, if it is known.
    pub(crate) fn get(&self, server: &ServerId) -> Option<&KnownServer> {
        self.known.get(server)
    }

    /// Returns a server for changes, if it is known.
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

    /// Returns whether a server is missing from the first lists after an outage of the store, and had
    /// not said before that it leaves: servers whose rows have lapsed meanwhile register again
    /// within `REGISTRATION_TIME`.
    pub(crate) fn may_register_again(&self, server: &KnownServer, now: Instant) -> bool {
        let absent_since = server.absent_since;
        let is_recent = absent_since.is_some_and(|since| now.since(since) < REGISTRATION_TIME);
        now < self.entries_lapsed_until && server.is_staying() && is_recent
    }

    /// Returns whether a read of the list has been due for at least `LIST_OVERDUE_MIN`.
    pub(crate) fn is_list_overdue(&self, now: Instant) -> bool {
        self.last_read.is_some() && now.since(self.next_read) >= LIST_OVERDUE_MIN
    }

    /// Returns those of the given servers that the last list shows as staying.
    pub(crate) fn staying_by_list(&self, mut servers: Vec<ServerId>) -> Vec<ServerId> {
        servers.retain(|id| {
            let server = self.known.get(id);
            server.is_some_and(|s| s.is_staying() && s.last_staying >= Some(self.list_sent))
        });
        servers
    }

    /// Records that the store has come back from an older copy: its rows may lack what servers have
    /// reported last.
    pub(crate) fn note_return(&mut self, now: Instant) {
        self.rows_copied_until = now + REGISTRATION_TIME;
    }

    /// Applies a list that was read at `now` by a call that was sent at `sent`, and returns what it
    /// changed. The next read is due after `every`.
    ///
    /// Servers that are missing from the list are kept for a while. That a server stays by a row that may
    /// be of an older copy counts until the server says that it leaves.
    pub(crate) fn apply_list(
        &mut self,
        now: Instant,
        list: Vec<ServerRecord>,
        sent: Instant,
        every: Duration,
    ) -> ListChange {
        let is_first_after_outage = self.is_list_overdue(now);
        self.next_read = now + every;
        if is_first_after_outage {
            self.entries_lapsed_until = now + REGISTRATION_TIME;
        }
        self.last_read = Some(now);
        self.list_sent = sent;
        let mut change = ListChange {
            gone: Vec::new(),
            records: Vec::new(),
        };
        let mut missing = std::mem::take(&mut self.known);
        for record in list {
            let known = missing.remove(&record.id);
            let sequence = known.as_ref().map(|known| known.record.sequence);
            let mut server = apply_row(now, record, known, &mut change);
            let may_be_copied =
                now < self.rows_copied_until && Some(server.record.sequence) <= sequence;
            match (server.draining_since, may_be_copied) {
                (Some(_), _) => server.copied_staying = None,
                (None, true) => server.copied_staying = Some(sent),
                (None, false) => server.note_staying(Some(sent)),
            }
            self.known.insert(server.record.id.clone(), server);
        }
        for (id, mut server) in missing {
            server.absent_since.get_or_insert(now);
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
}

/// How long a server that is missing from the list stays known, so that a primary among them can be
/// replaced in an orderly way.
const MISSING_KEPT_TIME: Duration = Duration::from_secs(5);

/// Applies one row of the list to the server that was known under its identifier, if any, and
/// returns the server.
fn apply_row(
    now: Instant,
    record: ServerRecord,
    known: Option<KnownServer>,
    change: &mut ListChange,
) -> KnownServer {
    let mut server = match known {
        Some(known) if known.record.born == record.born => known,
        Some(_) => {
            change.records.push(listed(&record, "started again"));
            change.gone.push(record.id.clone());
            KnownServer::new(record.clone())
        }
        None => {
            change.records.push(listed(&record, "appeared"));
            KnownServer::new(record.clone())
        }
    };
    if record.is_draining {
        server.draining_sequence = server.draining_sequence.max(Some(record.sequence));
        if server.draining_since.is_none() {
            server.draining_since = Some(now);
            change.records.push(listed(&record, "is draining"));
        }
    } else if Some(record.sequence) > server.draining_sequence {
        server.draining_since = None;
    } else if server.record.is_draining {
        let what = "is draining; the list shows an earlier report";
        change.records.push(listed(&record, what));
    }
    server.missing_since = None;
    server.absent_since = None;
    server.record = record;
    server
}

/// Returns a log line about a change of a server's row in the list.
fn listed(record: &ServerRecord, what: &str) -> Record {
    let detail = format!(
        "{what}; address {}, born {}, sequence {}",
        record.address, record.born, record.sequence
    );
    Record::new(RecordKind::ServerListed, detail.into())
        .service(&record.service)
        .server(&record.id)
}
