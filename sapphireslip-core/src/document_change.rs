//! Checks a changed document against the accepted state before the document is submitted.

use std::collections::{BTreeMap, BTreeSet};

use crate::derives::data;
use crate::{
    DatabaseName, DatabaseSpec, Document, DocumentError, DocumentErrors, DocumentFault, Generation,
    MemberName, RawDocument, ServerSpec, ServiceName, line_of,
};

data! {
    /// The accepted document of a service, as far as a change is checked against it.
    pub struct CurrentDocument {
        /// The member that owns the service.
        pub member: MemberName,
        /// The generation of the accepted document.
        pub generation: Generation,
        /// The databases that the accepted document declares.
        pub databases: Vec<DatabaseSpec>,
    }

    /// A database and the service that owns it.
    pub struct DatabaseOwner {
        /// The name of the database.
        pub database: DatabaseName,
        /// The service that owns the database.
        pub service: ServiceName,
    }

    /// The accepted state that a changed document is checked against.
    #[derive(Default)]
    pub struct AcceptedState {
        /// The accepted document of the service; `None` for a new service.
        pub current: Option<CurrentDocument>,
        /// The owners of the databases that the changed document names.
        pub owners: Vec<DatabaseOwner>,
    }
}

impl AcceptedState {
    /// Parses a document and checks that it is a valid change of the accepted state.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text. If the text has none, returns every reason to reject the
    /// change: a generation that is not the next one, a service that another member owns, each
    /// database that another service owns, and each database of which more than one server is
    /// added or removed.
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

    /// Reports each database whose server list changes by more than one server: only lists that
    /// differ by one server are sure to have a server in common between any two majorities.
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

/// Returns the number of servers added plus the number removed; a server whose address changes
/// counts as one removed and one added.
fn servers_changed(before: &DatabaseSpec, after: &DatabaseSpec) -> usize {
    let server_addresses = |spec: &DatabaseSpec| -> BTreeSet<_> {
        let server_address = |server: &ServerSpec| (server.id.clone(), server.address);
        spec.servers.iter().map(server_address).collect()
    };
    server_addresses(before)
        .symmetric_difference(&server_addresses(after))
        .count()
}

/// The line numbers, from 1 on, of the keys that a rejected change is reported at.
struct KeyLines {
    /// The line of the `generation` key; `None` if the key is missing.
    generation: Option<usize>,
    /// The line of the `member` key; `None` if the key is missing.
    member: Option<usize>,
    /// The line of the `name` key of each database, by database name.
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
