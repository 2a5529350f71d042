//! The configuration in force at a daemon: the newest documents learnt from the platform or peers.
//!
//! A document is only ever replaced by a newer generation.

use std::net::IpAddr;
use std::sync::Arc;

use crate::derives::data;
use crate::document_exchange::DocumentExchange;
use crate::held_documents::{Acceptance, HeldDocuments};
use crate::{
    AcceptedDocument, ChangeCount, Cx, DatabaseName, DatabaseSpec, Document, ServerSpec,
    TimelineEntry, TimelineKind, UserAccount, UserName,
};

/// The maximum number of leaving backend servers that are kept.
pub const LEAVING_MAX: usize = 4096;

data! {
    /// The documents in force at this daemon and the servers that the platform lists as leaving.
    #[derive(Default)]
    pub struct Configuration {
        /// The documents learnt so far, by service.
        documents: HeldDocuments,
        /// The platform's change count up to which all changes are in force here.
        changes: ChangeCount,
        /// The IP addresses of the leaving backend servers, sorted and without duplicates.
        leaving: Vec<IpAddr>,
        /// How often the documents or the leaving servers have changed in this run of the daemon.
        version: u64,
        /// The state of the exchange of documents with the platform and peers.
        pub(crate) exchange: DocumentExchange,
    }
}

impl Configuration {
    /// Returns the platform's change count up to which all changes are in force here.
    #[must_use]
    pub const fn changes(&self) -> ChangeCount {
        self.changes
    }

    /// Returns a number that rises whenever the documents or the leaving servers change here.
    /// Unlike [`Self::changes`], it can't be compared between daemons.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether any document has been learnt.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.documents.is_empty()
    }

    /// Returns the documents in force, ordered by service.
    pub fn documents(&self) -> impl Iterator<Item = &Arc<Document>> {
        self.documents.in_force()
    }

    /// Returns the document in force of the service that owns a database.
    #[must_use]
    pub fn document_of(&self, database: &DatabaseName) -> Option<&Arc<Document>> {
        self.documents.document_of(database)
    }

    /// Returns the declaration of a database.
    #[must_use]
    pub fn database(&self, database: &DatabaseName) -> Option<&DatabaseSpec> {
        self.document_of(database)?
            .databases
            .iter()
            .find(|spec| spec.name == *database)
    }

    /// Returns a user of the service that owns a database; none if it declares no such user.
    #[must_use]
    pub fn user(&self, database: &DatabaseName, user: &UserName) -> Option<&UserAccount> {
        self.document_of(database)?
            .users
            .iter()
            .find(|account| account.name == *user)
    }

    /// Returns whether a backend server is about to be removed, by its document or by the
    /// platform's list, and must get no new work.
    #[must_use]
    pub fn is_leaving(&self, server: &ServerSpec) -> bool {
        server.leaving || self.leaving.contains(&server.address.ip())
    }

    /// Returns the IP addresses of the backend servers that the platform lists as leaving.
    pub(crate) fn leaving(&self) -> &[IpAddr] {
        &self.leaving
    }

    /// Replaces the list of leaving backend servers and returns whether it changed. The list is cut
    /// to its first [`LEAVING_MAX`] addresses.
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

    /// Returns the documents accepted after a change count, ordered by change.
    pub(crate) fn documents_since(&self, changes: ChangeCount) -> Vec<&AcceptedDocument> {
        self.documents.since(changes)
    }

    /// Records that all changes up to a change count are in force; a lower count has no effect.
    pub(crate) fn raise_changes(&mut self, changes: ChangeCount) {
        self.changes = self.changes.max(changes);
    }

    /// Puts in force each document that is newer than the one held, and records each one that is
    /// put in force or refused.
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
