//! Checks a changed document against what is accepted, before it is submitted.

use std::collections::{BTreeMap, BTreeSet};

use crate::derives::data;
use crate::{
    DatabaseName, DatabaseSpec, Document, DocumentError, DocumentErrors, DocumentFault, Generation,
    MemberName, RawDocument, ServerSpec, ServiceName, line_of,
};

data! {
    /// What the platform holds of a service's document.
    pub struct CurrentDocument {
        /// The member that owns the service.
        pub member: MemberName,
        /// The accepted generation.
        pub generation: Generation,
        /// The databases that it declares.
        pub databases: Vec<DatabaseSpec>,
    }

    /// Which service owns a database.
    pub struct DatabaseOwner {
        /// The database.
        pub database: DatabaseName,
        /// The service.
        pub service: ServiceName,
    }

    /// What a changed document is checked against.
    #[derive(Default)]
    pub struct AcceptedState {
        /// The service's accepted document, if there is one.
        pub current: Option<CurrentDocument>,
        /// The owners of the databases that the changed document names.
        pub owners: Vec<DatabaseOwner>,
    }
}

impl AcceptedState {
    /// Checks a document and that it may follow what is accepted.
    ///
    /// # Errors
    ///
    /// Every fault of the text; and if there is none, every reason against the change: a
    /// generation that is not the next one, a service that another member owns, each database
    /// that another service owns, and each database of which more than one server is added or
    /// removed.
    ///
    /// ```
    /// use sapphireslip_core::{AcceptedState, CurrentDocument, Generation, MemberName};
    /// let text = br#"
    /// service = "stock"
    /// member = "red-quetzal"
    /// generation = 2
    /// [limits]
    /// sessions = 10
    /// queued = 10
    /// [stop]
    /// bound = "5s"
    /// "#;
    /// let accepted = |generation| AcceptedState {
    ///     current: Some(CurrentDocument {
    ///         member: MemberName::try_from("red-quetzal").unwrap(),
    ///         generation: Generation(generation),
    ///         databases: Vec::new(),
    ///     }),
    ///     owners: Vec::new(),
    /// };
    /// assert!(accepted(1).check(text).is_ok());
    /// let errors = accepted(2).check(text).unwrap_err();
    /// assert_eq!(errors.0[0].line, Some(4));
    /// ```
    pub fn check(&self, text: &[u8]) -> Result<Document, DocumentErrors> {
        let raw = RawDocument::try_from(text)?;
        let lines = KeyLines::of(&raw);
        let document = Document::try_from(raw)?;
        let mut errors = Vec::new();
        errors.extend(self.check_generation(&document, &lines));
        errors.extend(self.check_member(&document, &lines));
        errors.extend(self.check_owners(&document, &lines));
        errors.extend(self.check_servers(&document, &lines));
        if errors.is_empty() {
            return Ok(document);
        }
        errors.sort_by_key(|error| error.line);
        Err(DocumentErrors(errors))
    }

    fn check_generation(&self, document: &Document, lines: &KeyLines) -> Option<DocumentError> {
        let current = self.current.as_ref().map(|current| current.generation);
        let current = current.unwrap_or_default();
        let is_next = current.0.checked_add(1) == Some(document.generation.0);
        (!is_next).then(|| DocumentError {
            line: lines.generation,
            path: "generation".to_owned(),
            fault: DocumentFault::GenerationNotNext(document.generation, current),
        })
    }

    fn check_member(&self, document: &Document, lines: &KeyLines) -> Option<DocumentError> {
        let current = self.current.as_ref()?;
        (current.member != document.member).then(|| DocumentError {
            line: lines.member,
            path: "member".to_owned(),
            fault: DocumentFault::ServiceOwned(document.service.clone(), current.member.clone()),
        })
    }

    /// Majorities of two lists of servers share a server only if the lists differ by one.
    fn check_servers(&self, document: &Document, lines: &KeyLines) -> Vec<DocumentError> {
        let before = self.current.iter().flat_map(|current| &current.databases);
        let before: BTreeMap<_, _> = before.map(|spec| (&spec.name, spec)).collect();
        let changed = document.databases.iter().filter_map(|spec| {
            let changed = servers_changed(before.get(&spec.name)?, spec);
            (changed > 1).then_some((&spec.name, changed))
        });
        let error = |(name, changed): (&DatabaseName, usize)| DocumentError {
            line: lines.databases.get(name.as_str()).copied(),
            path: format!("database.{name}.server"),
            fault: DocumentFault::ServersChanged(changed),
        };
        changed.map(error).collect()
    }

    fn check_owners(&self, document: &Document, lines: &KeyLines) -> Vec<DocumentError> {
        let rivals = self
            .owners
            .iter()
            .filter(|owner| owner.service != document.service);
        let is_claimed = |owner: &&DatabaseOwner| {
            document
                .databases
                .iter()
                .any(|spec| spec.name == owner.database)
        };
        let error = |owner: &DatabaseOwner| DocumentError {
            line: lines.databases.get(owner.database.as_str()).copied(),
            path: format!("database.{}.name", owner.database),
            fault: DocumentFault::DatabaseOwned(owner.database.clone(), owner.service.clone()),
        };
        rivals.filter(is_claimed).map(error).collect()
    }
}

/// Returns how many servers were added and removed; one with another address is another server.
fn servers_changed(before: &DatabaseSpec, after: &DatabaseSpec) -> usize {
    let server_addresses = |spec: &DatabaseSpec| -> BTreeSet<_> {
        let server_address = |server: &ServerSpec| (server.id.clone(), server.address);
        spec.servers.iter().map(server_address).collect()
    };
    server_addresses(before)
        .symmetric_difference(&server_addresses(after))
        .count()
}

/// The lines of the keys that a change may be refused for.
struct KeyLines {
    generation: Option<usize>,
    member: Option<usize>,
    databases: BTreeMap<String, usize>,
}

impl KeyLines {
    fn of(raw: &RawDocument<'_>) -> Self {
        let table = raw.table.get_ref();
        let line = |key: &str| Some(line_of(raw.text, table.get(key)?.span().start));
        let arrays = table
            .get("database")
            .and_then(|value| value.get_ref().as_array());
        let names = arrays
            .into_iter()
            .flat_map(|array| array.iter())
            .filter_map(|database| {
                let name = database.get_ref().as_table()?.get("name")?;
                let line = line_of(raw.text, name.span().start);
                Some((name.get_ref().as_str()?.to_owned(), line))
            });
        Self {
            generation: line("generation"),
            member: line("member"),
            databases: names.collect(),
        }
    }
}
