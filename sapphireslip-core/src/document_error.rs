//! What can be wrong with a service document.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use quick_error::quick_error;

use crate::derives::data;
use crate::{
    CONNECTIONS_MAX, DOCUMENT_MAX_BYTES, DOCUMENTS_MAX, DatabaseName, Generation, MemberName,
    ServiceName, TomlFault, ValueFault,
};

quick_error! {
    /// One kind of fault in a document; the message says what to do.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum DocumentFault {
        /// The text is too long.
        TooLarge(bytes: usize) {
            display("has {bytes} bytes: give at most {DOCUMENT_MAX_BYTES}")
        }
        /// The bytes are no text.
        NotUtf8(offset: usize) {
            display("is not UTF-8 from byte {offset} on: save it as UTF-8")
        }
        /// There is nothing in it.
        Empty {
            display("is empty: give at least `service`, `member` and `generation`")
        }
        /// The text is not TOML.
        Syntax(message: String) {
            display("is not TOML: {message}")
        }
        /// A key or value is wrong in itself.
        Value(err: ValueFault) {
            display("{err}")
            from()
        }
        /// The number is out of range.
        OutOfRange(min: u64, max: u64, text: String) {
            display("must be {min} to {max}, is {text}")
        }
        /// The value is no duration.
        InvalidDuration(text: String) {
            display("`{text}` is no duration: write a whole number and `ms`, `s`, `m` or `h`, such as `250ms`")
        }
        /// The duration is out of range.
        DurationOutOfRange(min: Duration, max: Duration, text: String) {
            display("must be {min:?} to {max:?}, is `{text}`")
        }
        /// The address names a host.
        HostName(text: String) {
            display("`{text}` names a host: give an IP number and a port, such as `10.0.0.1:5432`")
        }
        /// The text is no address.
        InvalidAddress(text: String) {
            display("`{text}` is no address: give an IP number and a port, such as `10.0.0.1:5432`")
        }
        /// The port of the address is 0.
        PortZero(text: String) {
            display("`{text}` has port 0: give the port on which the server listens")
        }
        /// A name or an address stands twice.
        Duplicate(what: &'static str, name: String, first_line: usize) {
            display("{what} `{name}` is already given in line {first_line}: keep one of them")
        }
        /// A database has no server.
        NoServers {
            display("has no server: give at least one `[[database.server]]`")
        }
        /// The zone list of a database is empty.
        NoZones {
            display("is an empty list: name a zone, or leave the key out for the servers' zones")
        }
        /// Some zone's home would have no connection.
        TooFewConnections(connections: u32, zones: usize) {
            display("is {connections} for {zones} availability zones: give each at least one connection, or fewer `zones`, and at most {CONNECTIONS_MAX}")
        }
        /// The text does not say what the platform accepted.
        AcceptedMismatch {
            display("names another service, member or generation than the platform accepted: submit it again with `sapphireslip apply`")
        }
        /// No further document is held.
        TooManyDocuments {
            display("is one more than {DOCUMENTS_MAX}: merge services into fewer documents")
        }
        /// The change is not the next one.
        GenerationNotNext(given: Generation, current: Generation) {
            display("is {}, but {} is accepted: read the accepted document, change that, and give {}", given.0, current.0, current.0.saturating_add(1))
        }
        /// Another member owns the service.
        ServiceOwned(service: ServiceName, owner: MemberName) {
            display("service `{service}` belongs to member `{owner}`: give your service another name")
        }
        /// Too many servers of a database change at once.
        ServersChanged(count: usize) {
            display("adds and removes {count} servers in all: add or remove one at a time, and go on once the change is in force everywhere")
        }
        /// Another service owns the database.
        DatabaseOwned(database: DatabaseName, owner: ServiceName) {
            display("database `{database}` belongs to service `{owner}`: give your database another name")
        }
    }
}

data! {
    /// One fault, with its place.
    pub struct DocumentError {
        /// The line in the text, from 1 on; none for a fault of the whole text.
        pub line: Option<usize>,
        /// The path of the key, such as `database.stock.connections`; empty for the whole text.
        pub path: String,
        /// What is wrong.
        pub fault: DocumentFault,
    }

    /// All faults of one document, in the order of their lines; never empty.
    pub struct DocumentErrors(pub Vec<DocumentError>);
}

impl Display for DocumentError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        let path = if self.path.is_empty() {
            "document"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.fault)
    }
}

impl Display for DocumentErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl From<TomlFault<DocumentFault>> for DocumentError {
    fn from(found: TomlFault<DocumentFault>) -> Self {
        Self {
            line: Some(found.line),
            path: found.path,
            fault: found.fault,
        }
    }
}

impl std::error::Error for DocumentError {}

impl std::error::Error for DocumentErrors {}

impl From<DocumentFault> for DocumentErrors {
    fn from(fault: DocumentFault) -> Self {
        Self(vec![DocumentError {
            line: None,
            path: String::new(),
            fault,
        }])
    }
}
