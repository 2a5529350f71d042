//! Which service owns a database that more than one document claims: the first that claimed it.
//!
//! The command that submits a document refuses a claim on another's database before it is
//! accepted. This is the second line: a claim that came past it takes no database from its owner.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::derives::data;
use crate::{ChangeCount, DatabaseName, Document, ServiceName};

data! {
    /// Since which change a service has claimed each of its databases.
    #[derive(Default)]
    pub(crate) struct Claims {
        since: BTreeMap<DatabaseName, ChangeCount>,
    }

    /// The owner of each database.
    #[derive(Default)]
    pub(crate) struct Owners {
        owners: BTreeMap<DatabaseName, Claim>,
    }

    #[derive(Ord, PartialOrd)]
    struct Claim {
        since: ChangeCount,
        service: ServiceName,
    }
}

impl Claims {
    /// Returns the claims of a document accepted at `change`; older claims keep their age.
    pub(crate) fn renew(&self, document: &Document, change: ChangeCount) -> Self {
        let names = document.databases.iter().map(|spec| spec.name.clone());
        let since = names.map(|name| {
            let since = self.since.get(&name).copied().unwrap_or(change);
            (name, since.min(change))
        });
        Self {
            since: since.collect(),
        }
    }
}

impl Owners {
    /// Adds a service's claims; the oldest claim on a database wins.
    pub(crate) fn add(&mut self, service: &ServiceName, claims: &Claims) {
        for (database, since) in &claims.since {
            let claim = Claim {
                since: *since,
                service: service.clone(),
            };
            let owner = self
                .owners
                .entry(database.clone())
                .or_insert_with(|| claim.clone());
            if claim < *owner {
                *owner = claim;
            }
        }
    }

    /// Returns the service that owns a database.
    pub(crate) fn owner(&self, database: &DatabaseName) -> Option<&ServiceName> {
        self.owners.get(database).map(|claim| &claim.service)
    }

    /// Returns a document without the databases that others own.
    pub(crate) fn restrict(&self, document: &Arc<Document>) -> Arc<Document> {
        let is_owned = |database: &DatabaseName| self.owner(database) == Some(&document.service);
        if document.databases.iter().all(|spec| is_owned(&spec.name)) {
            return Arc::clone(document);
        }
        let mut restricted = Document::clone(document);
        restricted.databases.retain(|spec| is_owned(&spec.name));
        Arc::new(restricted)
    }
}
