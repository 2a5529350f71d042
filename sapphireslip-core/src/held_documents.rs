//! Holds the highest accepted generation of each document; no document ever returns to a lower one.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::derives::data;
use crate::ownership::{Claims, Owners};
use crate::{
    AcceptedDocument, ChangeCount, DatabaseName, Document, DocumentErrors, DocumentFault,
    ServiceName,
};

/// The maximum number of documents that a daemon holds.
pub const DOCUMENTS_MAX: usize = 8192;

data! {
    /// One document with the state derived from it.
    struct HeldDocument {
        /// The document as the platform accepted it.
        accepted: AcceptedDocument,
        /// The parsed and checked document.
        checked: Arc<Document>,
        /// The service's claims on the databases of the document.
        claims: Claims,
        /// The checked document without the databases that other services own.
        in_force: Arc<Document>,
    }

    /// All documents, by service.
    #[derive(Default)]
    pub(crate) struct HeldDocuments {
        /// The held document of each service.
        held: BTreeMap<ServiceName, HeldDocument>,
        /// The owner of each database, as of the last [`HeldDocuments::resolve_ownership`].
        owners: Owners,
    }

    /// The result of offering a document to [`HeldDocuments::accept`].
    pub(crate) enum Acceptance {
        /// The document is newer than the held one and has replaced it.
        Newer,
        /// The same or a higher generation is held already.
        Older,
        /// The document has faults; the held one stays.
        Refused(DocumentErrors),
    }
}

impl HeldDocuments {
    /// Holds a document if it is newer than the held one. It comes into force with the next call of
    /// [`Self::resolve_ownership`].
    pub(crate) fn accept(&mut self, accepted: &AcceptedDocument) -> Acceptance {
        let current = self.held.get(&accepted.service);
        if current.is_some_and(|held| held.accepted.generation >= accepted.generation) {
            return Acceptance::Older;
        }
        match self.check(accepted) {
            Ok(held) => {
                self.held.insert(accepted.service.clone(), held);
                Acceptance::Newer
            }
            Err(errors) => Acceptance::Refused(errors),
        }
    }

    /// Checks that a document is valid, is what the platform recorded, and keeps its service's
    /// owner.
    fn check(&self, accepted: &AcceptedDocument) -> Result<HeldDocument, DocumentErrors> {
        let checked = Document::try_from(accepted.text.as_bytes())?;
        let current = self.held.get(&accepted.service);
        if current.is_none() && self.held.len() >= DOCUMENTS_MAX {
            return Err(DocumentFault::TooManyDocuments.into());
        }
        let is_same = checked.service == accepted.service
            && checked.member == accepted.member
            && checked.generation == accepted.generation;
        if !is_same {
            return Err(DocumentFault::AcceptedMismatch.into());
        }
        let owner = current.map(|held| &held.accepted.member);
        if let Some(owner) = owner.filter(|owner| **owner != accepted.member) {
            let service = accepted.service.clone();
            return Err(DocumentFault::ServiceOwned(service, owner.clone()).into());
        }
        let before = current.map(|held| held.claims.clone()).unwrap_or_default();
        let checked = Arc::new(checked);
        Ok(HeldDocument {
            accepted: accepted.clone(),
            claims: before.renew(&checked, accepted.change),
            in_force: Arc::clone(&checked),
            checked,
        })
    }

    /// Recomputes the owner of each database and removes from each document in force the databases
    /// that other services own.
    pub(crate) fn resolve_ownership(&mut self) {
        let mut owners = Owners::default();
        for (service, held) in &self.held {
            owners.add(service, &held.claims);
        }
        for held in self.held.values_mut() {
            held.in_force = owners.restrict(&held.checked);
        }
        self.owners = owners;
    }

    /// Returns whether no document is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the documents in force, ordered by service.
    pub(crate) fn in_force(&self) -> impl Iterator<Item = &Arc<Document>> {
        self.held.values().map(|held| &held.in_force)
    }

    /// Returns the document in force of the service that owns a database.
    pub(crate) fn document_of(&self, database: &DatabaseName) -> Option<&Arc<Document>> {
        let held = self.held.get(self.owners.owner(database)?)?;
        Some(&held.in_force)
    }

    /// Returns the documents accepted after a change count, ordered by change.
    pub(crate) fn since(&self, changes: ChangeCount) -> Vec<&AcceptedDocument> {
        let accepted = self.held.values().map(|held| &held.accepted);
        let mut newer: Vec<_> = accepted
            .filter(|document| document.change > changes)
            .collect();
        newer.sort_by_key(|document| document.change);
        newer
    }
}
