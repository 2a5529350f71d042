//! The documents in force: only ever newer ones, learnt from the platform or from peers.

use std::net::IpAddr;
use std::sync::Arc;

use crate::derives::data;
use crate::document_exchange::DocumentExchange;
use crate::held_documents::{Acceptance, HeldDocuments};
use crate::{
    AcceptedDocument, CallerAccount, CallerName, ChangeCount, Cx, DatabaseName, DatabaseSpec,
    Document, ServerSpec, TimelineEntry, TimelineKind,
};

/// The most leaving backend servers that are kept.
pub const LEAVING_MAX: usize = 4096;

data! {
    /// The documents in force at this daemon.
    #[derive(Default)]
    pub struct Configuration {
        documents: HeldDocuments,
        changes: ChangeCount,
        leaving: Vec<IpAddr>,
        version: u64,
        pub(crate) exchange: DocumentExchange,
    }
}

impl Configuration {
    /// Returns the count of changes that is in force.
    #[must_use]
    pub const fn changes(&self) -> ChangeCount {
        self.changes
    }

    /// Returns a number that rises with each change in force here.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether any document has been learnt.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.documents.is_empty()
    }

    /// Returns the documents in force.
    pub fn documents(&self) -> impl Iterator<Item = &Arc<Document>> {
        self.documents.in_force()
    }

    /// Returns the document that declares a database.
    #[must_use]
    pub fn document_of(&self, database: &DatabaseName) -> Option<&Arc<Document>> {
        self.documents.document_of(database)
    }

    /// Returns a database.
    #[must_use]
    pub fn database(&self, database: &DatabaseName) -> Option<&DatabaseSpec> {
        self.document_of(database)?
            .databases
            .iter()
            .find(|spec| spec.name == *database)
    }

    /// Returns a caller of the service that owns a database.
    #[must_use]
    pub fn caller(&self, database: &DatabaseName, caller: &CallerName) -> Option<&CallerAccount> {
        self.document_of(database)?
            .callers
            .iter()
            .find(|account| account.name == *caller)
    }

    /// Returns whether a backend server is to get no new work.
    #[must_use]
    pub fn is_leaving(&self, server: &ServerSpec) -> bool {
        server.leaving || self.leaving.contains(&server.address.ip())
    }

    /// Returns the IP numbers of the backend servers that the platform lists as leaving.
    pub(crate) fn leaving(&self) -> &[IpAddr] {
        &self.leaving
    }

    /// Sets which backend servers are leaving; returns whether that is news.
    pub(crate) fn set_leaving(&mut self, mut servers: Vec<IpAddr>) -> bool {
        servers.sort();
        servers.dedup();
        servers.truncate(LEAVING_MAX);
        if self.leaving == servers {
            return false;
        }
        self.leaving = servers;
        self.version += 1;
        true
    }

    pub(crate) fn documents_since(&self, changes: ChangeCount) -> Vec<&AcceptedDocument> {
        self.documents.since(changes)
    }

    /// Notes that all changes up to a count are in force; the count never goes back.
    pub(crate) fn raise_changes(&mut self, changes: ChangeCount) {
        self.changes = self.changes.max(changes);
    }

    /// Puts in force what is newer than what is held.
    pub(crate) fn apply_documents(
        &mut self,
        cx: &mut Cx<'_>,
        mut documents: Vec<AcceptedDocument>,
    ) {
        documents.sort_by_key(|document| document.change);
        let mut is_news = false;
        for document in &documents {
            let (service, generation) = (&document.service, document.generation.0);
            let change = document.change.0;
            match self.documents.accept(document) {
                Acceptance::Older => {}
                Acceptance::Newer => {
                    is_news = true;
                    let detail =
                        format!("service {service} generation {generation} change {change}");
                    cx.record(TimelineEntry::of(TimelineKind::DocumentInForce).detail(&detail));
                }
                Acceptance::Refused(errors) => {
                    let detail = format!("service {service} generation {generation}: {errors}");
                    cx.record(TimelineEntry::of(TimelineKind::DocumentRefused).detail(&detail));
                }
            }
        }
        if is_news {
            self.documents.resolve_ownership();
            self.version += 1;
            cx.wake_at(cx.now.instant);
        }
    }
}
