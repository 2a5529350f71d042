//! The errors of a service document, each with its line and key.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use quick_error::quick_error;

use crate::derives::data;
use crate::{
    CONNECTIONS_MAX, DOCUMENT_MAX_BYTES, DOCUMENTS_MAX, DatabaseName, Generation, MemberName,
    ServiceName, TomlFault, ValueFault,
};

quick_error! {
    /// A fault in a document; its message says how to correct it.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum DocumentFault {
        /// The text has more than [`DOCUMENT_MAX_BYTES`] bytes.
        TooLarge(bytes: usize) {
            display("has {bytes} bytes: give at most {DOCUMENT_MAX_BYTES}")
        }
        /// The bytes are not valid UTF-8.
        NotUtf8(offset: usize) {
            display("is not UTF-8 from byte {offset} on: save it as UTF-8")
        }
        /// The document contains no keys.
        Empty {
            display("is empty: give at least `service`, `member` and `generation`")
        }
        /// The text is not TOML.
        Syntax(message: String) {
            display("is not TOML: {message}")
        }
        /// A key is unknown or missing, or a value has the wrong type or form.
        Value(err: ValueFault) {
            display("{err}")
            from()
        }
        /// A number is outside its allowed range.
        OutOfRange(min: u64, max: u64, text: String) {
            display("must be {min} to {max}, is {text}")
        }
        /// A text is not a duration.
        InvalidDuration(text: String) {
            display("`{text}` is not a duration: write a whole number and `ms`, `s`, `m` or `h`, such as `250ms`")
        }
        /// A duration is outside its allowed range.
        DurationOutOfRange(min: Duration, max: Duration, text: String) {
            display("must be {min:?} to {max:?}, is `{text}`")
        }
        /// An address has a host name in place of an IP address.
        HostName(text: String) {
            display("`{text}` names a host: give an IP address and a port, such as `10.0.0.1:5432`")
        }
        /// A text is not an IP address with a port.
        InvalidAddress(text: String) {
            display("`{text}` is not an address: give an IP address and a port, such as `10.0.0.1:5432`")
        }
        /// The port of an address is 0.
        PortZero(text: String) {
            display("`{text}` has port 0: give the port on which the server listens")
        }
        /// A name or an address that must be unique occurs more than once.
        Duplicate(what: &'static str, name: String, first_line: usize) {
            display("{what} `{name}` is already given in line {first_line}: keep one of them")
        }
        /// A database declares no server.
        NoServers {
            display("has no server: give at least one `[[database.server]]`")
        }
        /// The zone list of a database is empty.
        NoZones {
            display("is an empty list: name a zone, or omit the key to use the servers' zones")
        }
        /// A database has fewer connections than zones, so that the home in some zone would have
        /// none.
        TooFewConnections(connections: u32, zones: usize) {
            display("is {connections} for {zones} availability zones: give at least one connection for each zone and at most {CONNECTIONS_MAX}, or list fewer `zones`")
        }
        /// The text names another service, member or generation than the platform's record of it.
        AcceptedMismatch {
            display("names another service, member or generation than the platform accepted: submit it again with `sapphireslip apply`")
        }
        /// A daemon already holds [`DOCUMENTS_MAX`] documents.
        TooManyDocuments {
            display("exceeds the maximum of {DOCUMENTS_MAX} documents: merge services into fewer documents")
        }
        /// The generation does not follow the accepted one.
        GenerationNotNext(given: Generation, current: Generation) {
            display("is {}, but {} is accepted: read the accepted document, change that, and give {}", given.0, current.0, current.0.saturating_add(1))
        }
        /// The service belongs to another member.
        ServiceOwned(service: ServiceName, owner: MemberName) {
            display("service `{service}` belongs to member `{owner}`: give your service another name")
        }
        /// More than one server of a database is added or removed at once.
        ServersChanged(count: usize) {
            display("adds and removes {count} servers in all: add or remove one at a time, and go on once the change is in force everywhere")
        }
        /// The database belongs to another service.
        DatabaseOwned(database: DatabaseName, owner: ServiceName) {
            display("database `{database}` belongs to service `{owner}`: give your database another name")
        }
    }
}

data! {
    /// One fault of a document, with the line and key where it was found.
    pub struct DocumentError {
        /// The line of the text, from 1 on; `None` for a fault of the whole text.
        pub line: Option<usize>,
        /// The path of the key, such as `database.stock.connections`; empty for the whole text.
        pub path: String,
        /// The fault that was found.
        pub fault: DocumentFault,
    }

    /// All faults of one document, ordered by line; never empty.
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
