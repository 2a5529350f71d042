//! Changes of documents as transactions on the platform's table.

use std::collections::BTreeSet;

use bytes::Bytes;
use prost::Message;
use quick_error::quick_error;
use sapphireslip_core::{ChangeCount, DatabaseName, Generation, MemberName, ServiceName, Text};

use crate::WireError;
use crate::platform::{
    Condition, DocumentRow, ReadReply, ReadRequest, Row, TransactRequest, Write,
};
use crate::table_layout::{
    CHANGE_PREFIX, CHANGES_KEPT, CHANGES_KEY, DOCUMENTS_KEY, all_document_keys, change_count,
    change_key, database_key, decode_row, document_key, row, service_key,
};

quick_error! {
    /// The reason why a change of a document is rejected.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ApplyError {
        /// The document is not at the generation that the change was made against.
        StaleGeneration(expected: u64, current: u64) {
            display("the document is at generation {current}, not {expected}: read it again with `show` and repeat the change")
        }
        /// Another service owns the database; the owner is given as `MEMBER/SERVICE`.
        DatabaseOwned(database: DatabaseName, owner: String) {
            display("database `{database}` belongs to `{owner}`: choose another name")
        }
        /// Another member owns the service.
        ServiceOwned(service: ServiceName, owner: String) {
            display("service `{service}` belongs to member `{owner}`: choose another name")
        }
        /// A row that was read is missing or malformed.
        Row(err: WireError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// A change of one document that is to be committed to the platform's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// The member that owns the document.
    pub member: MemberName,
    /// The service that the document declares.
    pub service: ServiceName,
    /// The generation that the change was made against; 0 for a new document.
    pub base_generation: Generation,
    /// The databases that the new text of the document declares.
    pub databases: Vec<DatabaseName>,
    /// The databases that the old text declared and the new one does not; they become free.
    pub released: Vec<DatabaseName>,
    /// The new text of the document.
    pub text: Text,
    /// The identifier of this attempt, which no other attempt has; without line breaks.
    pub writer: Text,
}

/// The outcome of a transaction whose answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// The transaction was committed.
    Committed,
    /// Another change was committed first, so that this transaction can no longer be.
    Superseded,
    /// The transaction was not committed yet, but may still be: send the same one again.
    Undecided,
}

impl Apply {
    /// Returns the read of the rows that the transaction depends on.
    ///
    /// ```
    /// # use sapphireslip_core::*;
    /// # use sapphireslip_wire::Apply;
    /// # let apply = Apply {
    /// #     member: MemberName::try_from("acme")?, service: ServiceName::try_from("shop")?,
    /// #     base_generation: Generation(0), databases: vec![DatabaseName::try_from("stock")?],
    /// #     released: vec![], text: "".into(), writer: "w1".into(),
    /// # };
    /// let keys = apply.reads().keys;
    /// assert_eq!(keys[..3], ["changes", "documents", "document/acme/shop"]);
    /// assert_eq!(keys[3..], ["service/shop", "database/stock"]);
    /// # Ok::<(), NameError>(())
    /// ```
    #[must_use]
    pub fn reads(&self) -> ReadRequest {
        let mut keys = vec![
            CHANGES_KEY.to_owned(),
            DOCUMENTS_KEY.to_owned(),
            document_key(&self.member, &self.service),
            service_key(&self.service),
        ];
        keys.extend(self.databases.iter().map(database_key));
        keys.extend(self.released.iter().map(database_key));
        ReadRequest { keys }
    }

    /// Returns the transaction that makes the change, with the condition that none of the rows read
    /// has changed since.
    ///
    /// # Errors
    ///
    /// The document is at another generation, the service or a database has another owner, or a row
    /// is missing or malformed.
    ///
    /// ```
    /// # use sapphireslip_core::*;
    /// # use sapphireslip_wire::{Apply, platform::{ReadReply, Row}};
    /// # let apply = Apply {
    /// #     member: MemberName::try_from("acme")?, service: ServiceName::try_from("shop")?,
    /// #     base_generation: Generation(0), databases: vec![DatabaseName::try_from("stock")?],
    /// #     released: vec![], text: "".into(), writer: "w1".into(),
    /// # };
    /// let absent = |key: String| Row { key, ..Row::default() };
    /// let rows = apply.reads().keys.into_iter().map(absent).collect();
    /// let transaction = apply.transaction(&ReadReply { rows })?;
    /// assert_eq!(transaction.conditions.len(), 5);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn transaction(&self, reply: &ReadReply) -> Result<TransactRequest, ApplyError> {
        let change = ChangeCount(change_count(reply)?.0 + 1);
        let document_key = document_key(&self.member, &self.service);
        self.check_generation(row(reply, &document_key)?)?;
        let service_key = service_key(&self.service);
        self.check_service(row(reply, &service_key)?)?;
        let mut writes = vec![
            put(CHANGES_KEY, change.0.to_be_bytes().to_vec()),
            put(&change_key(change), self.change_value().into_bytes()),
            put(&document_key, self.document_value(change)),
            put(&service_key, self.member.as_str().as_bytes().to_vec()),
        ];
        writes.extend(list_writes(reply, change, document_key)?);
        for database in &self.databases {
            let key = database_key(database);
            self.check_database(database, row(reply, &key)?)?;
            writes.push(put(&key, self.owner().into_bytes()));
        }
        for database in &self.released {
            let key = database_key(database);
            if row(reply, &key)?.value == self.owner().as_bytes() {
                writes.push(Write { key, value: None });
            }
        }
        let condition = |row: &Row| Condition {
            key: row.key.clone(),
            version: row.version,
        };
        Ok(TransactRequest {
            conditions: reply.rows.iter().map(condition).collect(),
            writes,
        })
    }

    /// Returns the read that tells the outcome of `transaction` if its answer was lost.
    ///
    /// ```
    /// # use sapphireslip_core::*;
    /// # use sapphireslip_wire::{Apply, platform::{ReadReply, Row}};
    /// # let apply = Apply {
    /// #     member: MemberName::try_from("acme")?, service: ServiceName::try_from("shop")?,
    /// #     base_generation: Generation(0), databases: vec![],
    /// #     released: vec![], text: "".into(), writer: "w1".into(),
    /// # };
    /// let absent = |key: String| Row { key, ..Row::default() };
    /// let rows = apply.reads().keys.into_iter().map(absent).collect();
    /// let transaction = apply.transaction(&ReadReply { rows })?;
    /// assert_eq!(apply.outcome_read(&transaction).keys, ["change/1"]);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn outcome_read(&self, transaction: &TransactRequest) -> ReadRequest {
        let is_change = |write: &&Write| write.key.starts_with(CHANGE_PREFIX);
        let keys = transaction.writes.iter().filter(is_change);
        ReadRequest {
            keys: keys.map(|write| write.key.clone()).collect(),
        }
    }

    /// Returns the outcome of the transaction from the reply to [`Apply::outcome_read`].
    ///
    /// ```
    /// # use sapphireslip_core::*;
    /// # use sapphireslip_wire::{Apply, TransactionOutcome, platform::{ReadReply, Row}};
    /// # let apply = Apply {
    /// #     member: MemberName::try_from("acme")?, service: ServiceName::try_from("shop")?,
    /// #     base_generation: Generation(0), databases: vec![],
    /// #     released: vec![], text: "".into(), writer: "w1".into(),
    /// # };
    /// let value = "document/acme/shop\nw1".into();
    /// let row = Row { key: "change/1".into(), version: 5, value };
    /// assert_eq!(apply.outcome(&ReadReply { rows: vec![row] }), TransactionOutcome::Committed);
    /// # Ok::<(), NameError>(())
    /// ```
    #[must_use]
    pub fn outcome(&self, reply: &ReadReply) -> TransactionOutcome {
        match reply.rows.first() {
            Some(row) if row.version > 0 && row.value == self.change_value().as_bytes() => {
                TransactionOutcome::Committed
            }
            Some(row) if row.version > 0 => TransactionOutcome::Superseded,
            _ => TransactionOutcome::Undecided,
        }
    }

    /// Returns an error unless the document is at the base generation; an absent row counts as 0.
    fn check_generation(&self, row: &Row) -> Result<(), ApplyError> {
        let current = match row.version {
            0 => 0,
            _ => decode_row(row)?.generation,
        };
        if current == self.base_generation.0 {
            return Ok(());
        }
        Err(ApplyError::StaleGeneration(self.base_generation.0, current))
    }

    /// Returns an error if another member owns the service.
    fn check_service(&self, row: &Row) -> Result<(), ApplyError> {
        if row.version == 0 || row.value == self.member.as_str().as_bytes() {
            return Ok(());
        }
        let owner = String::from_utf8_lossy(&row.value).into_owned();
        Err(ApplyError::ServiceOwned(self.service.clone(), owner))
    }

    /// Returns an error if another service owns the database.
    fn check_database(&self, database: &DatabaseName, row: &Row) -> Result<(), ApplyError> {
        if row.version == 0 || row.value == self.owner().as_bytes() {
            return Ok(());
        }
        let owner = String::from_utf8_lossy(&row.value).into_owned();
        Err(ApplyError::DatabaseOwned(database.clone(), owner))
    }

    /// Returns the owner as the rows of databases name it.
    fn owner(&self) -> String {
        format!("{}/{}", self.member, self.service)
    }

    /// Returns the value of the `change/` row, which is unique to this attempt.
    fn change_value(&self) -> String {
        let key = document_key(&self.member, &self.service);
        format!("{key}\n{}", self.writer)
    }

    /// Returns the value of the `document/` row for a change with this count.
    fn document_value(&self, change: ChangeCount) -> Vec<u8> {
        let row = DocumentRow {
            generation: self.base_generation.0 + 1,
            change: change.0,
            writer: self.writer.as_ref().to_owned(),
            text: self.text.as_ref().to_owned(),
        };
        row.encode_to_vec()
    }
}

/// Returns the writes that add a new document to the list of documents and remove the `change/` row
/// that is one too many.
fn list_writes(
    reply: &ReadReply,
    change: ChangeCount,
    document_key: String,
) -> Result<Vec<Write>, WireError> {
    let mut keys = match all_document_keys(reply)? {
        Some(keys) => keys,
        None if change.0 == 1 => BTreeSet::new(),
        // The table was created by a version without a list of documents, so that the documents in
        // it are unknown.
        None => return Ok(Vec::new()),
    };
    let mut writes = Vec::new();
    if keys.insert(document_key) {
        let lines = keys.iter().map(|key| format!("{key}\n"));
        writes.push(put(DOCUMENTS_KEY, lines.collect::<String>().into_bytes()));
    }
    if let Some(old) = change.0.checked_sub(CHANGES_KEPT).filter(|old| *old > 0) {
        let key = change_key(ChangeCount(old));
        writes.push(Write { key, value: None });
    }
    Ok(writes)
}

/// Returns the write of a value to a row.
fn put(key: &str, value: Vec<u8>) -> Write {
    Write {
        key: key.to_owned(),
        value: Some(Bytes::from(value)),
    }
}
