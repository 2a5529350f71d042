//! The documents in force: only ever newer ones, learnt from the platform or from peers.

use std::net::IpAddr;
use std::sync::Arc;

use crate::derives::data;
use crate::{
    CallerAccount, CallerName, ChangeCount, Cx, DatabaseName, DatabaseSpec, Document, Membership,
    PeerMessage, PlatformEvent, ServerSpec, VmId,
};

data! {
    /// The documents in force at this daemon.
    #[derive(Default)]
    pub struct Configuration {
        documents: Vec<Arc<Document>>,
        changes: ChangeCount,
        leaving: Vec<IpAddr>,
        version: u64,
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
        self.documents.iter()
    }

    /// Returns the document that declares a database.
    #[must_use]
    pub fn document_of(&self, database: &DatabaseName) -> Option<&Arc<Document>> {
        self.documents
            .iter()
            .find(|d| d.databases.iter().any(|spec| spec.name == *database))
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

    pub(crate) fn on_platform(&mut self, _cx: &mut Cx<'_>, _event: PlatformEvent) {}

    pub(crate) fn on_peer(
        &mut self,
        _cx: &mut Cx<'_>,
        _membership: &Membership,
        _from: &VmId,
        _message: PeerMessage,
    ) {
    }

    /// Learns from a probe how many changes a peer has in force.
    pub(crate) fn on_peer_changes(
        &mut self,
        _cx: &mut Cx<'_>,
        _from: &VmId,
        _changes: ChangeCount,
    ) {
    }

    pub(crate) fn on_tick(&mut self, _cx: &mut Cx<'_>, _membership: &Membership) {}
}
