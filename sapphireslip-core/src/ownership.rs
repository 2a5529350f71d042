//! Decides which service owns a database that several documents claim: the first that claimed it.
//!
//! The command that submits a document already refuses a claim on another service's database. This
//! is the second safeguard: a claim that was accepted nevertheless takes no database from its
//! owner.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::derives::data;
use crate::{ChangeCount, DatabaseName, Document, ServiceName};

data! {
    /// The databases that one service claims.
    #[derive(Default)]
    pub(crate) struct Claims {
        /// The change count since which the service has claimed each database without a break.
        since: BTreeMap<DatabaseName, ChangeCount>,
    }

    /// The owner of each database.
    #[derive(Default)]
    pub(crate) struct Owners {
        /// The oldest claim on each database.
        owners: BTreeMap<DatabaseName, Claim>,
    }

    /// A service's claim on one database. Claims are ordered by age, then by the service's name.
    #[derive(Ord, PartialOrd)]
    struct Claim {
        /// The change count since which the service has claimed the database.
        since: ChangeCount,
        /// The service that claims the database.
        service: ServiceName,
    }
}

impl Claims {
    /// Returns the claims of the service's next document, accepted at `change`. A database that the
    /// service already claims keeps its older change count.
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

    /// Returns a document without the databases that other services own.
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
