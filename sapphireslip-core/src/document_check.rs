//! Converts a raw document into a checked [`Document`] and reports all of its faults at once.
//!
//! ```toml
//! service = "stock"
//! member = "red-quetzal"
//! generation = 1
//!
//! [limits]
//! sessions = 2000             # sessions open at one entry daemon
//! queued = 200                # requests queued for one database at its home
//!
//! [stop]
//! bound = "30s"               # how long open transactions may continue after a stop has begun
//!
//! [[caller]]
//! name = "till"
//! verifier = "SCRAM-SHA-256$4096:..."
//!
//! [[database]]
//! name = "stock-xela"
//! connections = 16            # to each server, from all homes together
//! max_staleness = "5s"        # "0s" sends every read to the primary
//! deadline = "2s"
//! zones = ["a", "b", "c"]     # zones with a home; optional, by default the zones of the servers
//!
//! [[database.server]]
//! id = "xela-1"
//! zone = "a"
//! address = "10.0.0.1:5432"   # an IP address and a port
//! leaving = false             # optional
//! ```
//!
//! A database may have any number of servers from one on. A majority of them must hold each write,
//! so an even number tolerates no more lost servers than the odd number below it. Three servers
//! are usual; a single server leaves no replica to promote.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use crate::document_table::Faults;
use crate::{
    DatabaseName, DatabaseSpec, Document, DocumentErrors, DocumentFault, Generation, Located,
    RawDocument, ServerId, ServerSpec, ServiceLimits, StopPolicy, TomlTable, UserAccount, UserName,
    ZoneName,
};

/// The maximum number of connections to one server that a document may allow.
pub const CONNECTIONS_MAX: u32 = 10_000;

/// The maximum number of sessions at one entry daemon that a document may allow.
pub const SESSIONS_MAX: u32 = 100_000;

/// The maximum number of queued requests for one database that a document may allow.
pub const QUEUED_MAX: u32 = 100_000;

/// The maximum staleness of reads that a document may allow.
pub const STALENESS_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// The minimum deadline of a statement that a document may set.
pub const DEADLINE_MIN: Duration = Duration::from_millis(10);

/// The maximum deadline of a statement that a document may set.
pub const DEADLINE_MAX: Duration = Duration::from_secs(10 * 60);

/// The maximum time limit of a graceful stop that a document may set.
pub const STOP_BOUND_MAX: Duration = Duration::from_secs(60 * 60);

impl TryFrom<&[u8]> for Document {
    type Error = DocumentErrors;

    fn try_from(bytes: &[u8]) -> Result<Self, DocumentErrors> {
        Self::try_from(RawDocument::try_from(bytes)?)
    }
}

impl TryFrom<RawDocument<'_>> for Document {
    type Error = DocumentErrors;

    fn try_from(raw: RawDocument<'_>) -> Result<Self, DocumentErrors> {
        let mut faults = Faults::new(raw.text);
        let table = TomlTable::new(raw.table.get_ref(), 0, String::new());
        let document = document(table, &mut faults);
        let errors: Vec<_> = faults.into_sorted().into_iter().map(Into::into).collect();
        match document {
            Some(document) if errors.is_empty() => Ok(document),
            _ => Err(DocumentErrors(errors)),
        }
    }
}

/// Reads a whole document; `None` if a required value is missing or has a fault.
fn document(mut table: TomlTable<'_>, faults: &mut Faults<'_>) -> Option<Document> {
    let service = table.document_name(faults, "service");
    let member = table.document_name(faults, "member");
    let generation = table.number(faults, "generation", 1..=u64::MAX);
    let limits = limits(&mut table, faults);
    let stop = stop(&mut table, faults);
    let users = users(&mut table, faults);
    let databases = databases(&mut table, faults);
    table.finish(faults);
    Some(Document {
        member: member?.value,
        service: service?.value,
        generation: Generation(generation?.value),
        users,
        databases,
        limits: limits?,
        stop: stop?,
    })
}

/// Reads the `limits` table.
fn limits(document: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Option<ServiceLimits> {
    let mut table = document.table(faults, "limits")?;
    let sessions = number(&mut table, faults, "sessions", SESSIONS_MAX);
    let queued = number(&mut table, faults, "queued", QUEUED_MAX);
    table.finish(faults);
    Some(ServiceLimits {
        sessions: sessions?.value,
        queued: queued?.value,
    })
}

/// Reads a required number from 1 to `max`.
fn number(
    table: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
    max: u32,
) -> Option<Located<u32>> {
    let number = table.number(faults, key, 1..=u64::from(max))?;
    Some(Located {
        value: u32::try_from(number.value).ok()?,
        offset: number.offset,
    })
}

/// Reads the `stop` table.
fn stop(document: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Option<StopPolicy> {
    let mut table = document.table(faults, "stop")?;
    let bound = table.duration(faults, "bound", Duration::ZERO..=STOP_BOUND_MAX);
    table.finish(faults);
    Some(StopPolicy { bound: bound? })
}

/// Reads the users, from the `caller` tables.
fn users(document: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Vec<UserAccount> {
    let mut names = UniqueValues::new("caller");
    let mut users = Vec::new();
    for mut table in document.tables(faults, "caller") {
        let name = table.document_name::<UserName>(faults, "name");
        if let Some(name) = &name {
            table.rename("caller", name.value.as_str());
            names.check(faults, name, &table.path_of("name"));
        }
        let verifier = table.document_text(faults, "verifier");
        table.finish(faults);
        if let (Some(name), Some(verifier)) = (name, verifier) {
            users.push(UserAccount {
                name: name.value,
                verifier: Arc::from(verifier.value),
            });
        }
    }
    users
}

/// Reads the `database` tables with their servers.
fn databases(document: &mut TomlTable<'_>, faults: &mut Faults<'_>) -> Vec<DatabaseSpec> {
    let mut names = UniqueValues::new("database");
    let mut ids = UniqueValues::new("server");
    let mut addresses = UniqueValues::new("address");
    let mut databases = Vec::new();
    for mut table in document.tables(faults, "database") {
        let name = table.document_name::<DatabaseName>(faults, "name");
        if let Some(name) = &name {
            table.rename("database", name.value.as_str());
            names.check(faults, name, &table.path_of("name"));
        }
        let servers = servers(&mut table, faults, &mut ids, &mut addresses);
        let zones = zones(&mut table, faults, &servers);
        databases.extend(database(table, faults, name, servers, zones));
    }
    databases
}

/// Reads the remaining values of one `database` table.
fn database(
    mut table: TomlTable<'_>,
    faults: &mut Faults<'_>,
    name: Option<Located<DatabaseName>>,
    servers: Vec<ServerSpec>,
    zones: Vec<ZoneName>,
) -> Option<DatabaseSpec> {
    let connections = number(&mut table, faults, "connections", CONNECTIONS_MAX);
    if let Some(given) = &connections
        && usize::try_from(given.value).is_ok_and(|given| given < zones.len())
    {
        let fault = DocumentFault::TooFewConnections(given.value, zones.len());
        faults.add(given.offset, &table.path_of("connections"), fault);
    }
    let max_staleness = table.duration(faults, "max_staleness", Duration::ZERO..=STALENESS_MAX);
    let deadline = table.duration(faults, "deadline", DEADLINE_MIN..=DEADLINE_MAX);
    table.finish(faults);
    Some(DatabaseSpec {
        name: name?.value,
        servers,
        zones,
        connections: connections?.value,
        max_staleness: max_staleness?,
        deadline: deadline?,
    })
}

/// Reads the `server` tables of one database; `ids` and `addresses` are those of the whole text.
fn servers(
    database: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    ids: &mut UniqueValues,
    addresses: &mut UniqueValues,
) -> Vec<ServerSpec> {
    let tables = database.tables(faults, "server");
    if tables.is_empty() {
        faults.add(database.offset(), database.path(), DocumentFault::NoServers);
    }
    let array = database.path_of("server");
    let mut servers = Vec::new();
    for mut table in tables {
        let id = table.document_name::<ServerId>(faults, "id");
        if let Some(id) = &id {
            table.rename(&array, id.value.as_str());
            ids.check(faults, id, &table.path_of("id"));
        }
        let zone = table.document_name(faults, "zone");
        let address = table.address(faults, "address");
        if let Some(address) = &address {
            addresses.check(faults, address, &table.path_of("address"));
        }
        let leaving = table.flag(faults, "leaving");
        table.finish(faults);
        if let (Some(id), Some(zone), Some(address)) = (id, zone, address) {
            servers.push(ServerSpec {
                id: id.value,
                zone: zone.value,
                address: address.value,
                leaving,
            });
        }
    }
    servers
}

/// Reads the zones that have a home for a database; by default the zones of its servers.
fn zones(
    database: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    servers: &[ServerSpec],
) -> Vec<ZoneName> {
    let path = database.path_of("zones");
    let Some(given) = database.names::<ZoneName>(faults, "zones") else {
        let mut zones: Vec<_> = servers.iter().map(|server| server.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        return zones;
    };
    let mut names = UniqueValues::new("availability zone");
    for zone in &given {
        names.check(faults, zone, &path);
    }
    given.into_iter().map(|zone| zone.value).collect()
}

/// The names or addresses of one kind found so far, each of which may occur only once.
struct UniqueValues {
    /// What the values are, such as `server`, for error messages.
    kind: &'static str,
    /// The line, from 1 on, of the first occurrence of each value.
    first_lines: BTreeMap<String, usize>,
}

impl UniqueValues {
    const fn new(kind: &'static str) -> Self {
        Self {
            kind,
            first_lines: BTreeMap::new(),
        }
    }

    /// Records a value, or adds a fault if the value has occurred before.
    fn check<T: Display>(&mut self, faults: &mut Faults<'_>, given: &Located<T>, path: &str) {
        let name = given.value.to_string();
        if let Some(first) = self.first_lines.get(&name) {
            let fault = DocumentFault::Duplicate(self.kind, name, *first);
            faults.add(given.offset, path, fault);
            return;
        }
        self.first_lines.insert(name, faults.line(given.offset));
    }
}
