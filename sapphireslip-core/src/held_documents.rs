//! The highest accepted generation of each document; nothing here ever goes back.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::derives::data;
use crate::ownership::{Claims, Owners};
use crate::{
    AcceptedDocument, ChangeCount, DatabaseName, Document, DocumentErrors, DocumentFault,
    ServiceName,
};

/// The most documents that are held.
pub const DOCUMENTS_MAX: usize = 8192;

data! {
    struct HeldDocument {
        accepted: AcceptedDocument,
        checked: Arc<Document>,
        claims: Claims,
        in_force: Arc<Document>,
    }

    /// All documents, by service.
    #[derive(Default)]
    pub(crate) struct HeldDocuments {
        held: BTreeMap<ServiceName, HeldDocument>,
        owners: Owners,
    }

    /// What became of a document that was handed in.
    pub(crate) enum Acceptance {
        /// It is held now.
        Newer,
        /// The same or a higher generation is held already.
        Older,
        /// It has faults; what was held stays.
        Refused(DocumentErrors),
    }
}

impl HeldDocuments {
    /// Takes a document if it is newer than what is held; [`Self::resolve_ownership`] puts it in force.
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

    /// Works out the owners anew and leaves out of each document what others own.
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

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the documents in force, by service.
    pub(crate) fn in_force(&self) -> impl Iterator<Item = &Arc<Document>> {
        self.held.values().map(|held| &held.in_force)
    }

    /// Returns the document in force that declares a database.
    pub(crate) fn document_of(&self, database: &DatabaseName) -> Option<&Arc<Document>> {
        let held = self.held.get(self.owners.owner(database)?)?;
        Some(&held.in_force)
    }

    /// Returns the documents accepted after a count, in the order of their changes.
    pub(crate) fn since(&self, changes: ChangeCount) -> Vec<&AcceptedDocument> {
        let accepted = self.held.values().map(|held| &held.accepted);
        let mut newer: Vec<_> = accepted
            .filter(|document| document.change > changes)
            .collect();
        newer.sort_by_key(|document| document.change);
        newer
    }
}
