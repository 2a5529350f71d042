//! The layout of the platform's table, the reads made on it and the decoding of its rows.
//!
//! | key | value |
//! |---|---|
//! | `changes` | the count of accepted changes over all documents, as 8 bytes, big-endian |
//! | `change/COUNT` | the key of the changed document, a line break, the attempt's identifier |
//! | `documents` | the keys of all documents in order, each ended by a line break |
//! | `document/MEMBER/SERVICE` | a [`DocumentRow`] |
//! | `service/NAME` | the member that owns the service |
//! | `database/NAME` | the service that owns the database, as `MEMBER/SERVICE` |
//!
//! Only the last [`CHANGES_KEPT`] of the `change/` rows are kept; a reader that is further behind
//! reads all documents. A table that was created by a version without the `documents` row keeps all
//! `change/` rows.

use std::collections::BTreeSet;

use prost::Message;
use sapphireslip_core::{
    AcceptedDocument, ChangeCount, DatabaseName, Generation, MemberName, ServiceName,
};

use crate::WireError;
use crate::field::name;
use crate::platform::{DocumentRow, ReadReply, ReadRequest, Row};

/// The most rows that one call reads.
pub const READ_BATCH_ROWS: usize = 64;

/// The number of `change/` rows that are kept.
pub const CHANGES_KEPT: u64 = 4_096;

/// The most changes that a reader may be behind and still read the `change/` rows one by one. The
/// rest of [`CHANGES_KEPT`] is a reserve for changes that are accepted while it reads.
pub const CHANGES_READ_MAX: u64 = CHANGES_KEPT / 2;

/// The key of the row with the list of documents.
pub const DOCUMENTS_KEY: &str = "documents";

/// The key of the row with the count of accepted changes.
pub const CHANGES_KEY: &str = "changes";

/// The prefix of the keys of `change/` rows; the count at the change follows.
pub(crate) const CHANGE_PREFIX: &str = "change/";

/// The prefix of the keys of `document/` rows; the member and the service follow.
const DOCUMENT_PREFIX: &str = "document/";

/// Returns the key of the row of a change.
///
/// ```
/// use sapphireslip_core::ChangeCount;
/// assert_eq!(sapphireslip_wire::change_key(ChangeCount(7)), "change/7");
/// ```
#[must_use]
pub fn change_key(change: ChangeCount) -> String {
    format!("{CHANGE_PREFIX}{}", change.0)
}

/// Returns the key of the row of a document.
///
/// ```
/// use sapphireslip_core::{MemberName, ServiceName};
/// let (member, service) = (MemberName::try_from("acme")?, ServiceName::try_from("shop")?);
/// assert_eq!(sapphireslip_wire::document_key(&member, &service), "document/acme/shop");
/// # Ok::<(), sapphireslip_core::NameError>(())
/// ```
#[must_use]
pub fn document_key(member: &MemberName, service: &ServiceName) -> String {
    format!("{DOCUMENT_PREFIX}{member}/{service}")
}

/// Returns the key of the row that names the owner of a service.
///
/// ```
/// use sapphireslip_core::ServiceName;
/// let key = sapphireslip_wire::service_key(&ServiceName::try_from("shop")?);
/// assert_eq!(key, "service/shop");
/// # Ok::<(), sapphireslip_core::NameError>(())
/// ```
#[must_use]
pub fn service_key(service: &ServiceName) -> String {
    format!("service/{service}")
}

/// Returns the key of the row that names the owner of a database.
///
/// ```
/// use sapphireslip_core::DatabaseName;
/// let key = sapphireslip_wire::database_key(&DatabaseName::try_from("stock")?);
/// assert_eq!(key, "database/stock");
/// # Ok::<(), sapphireslip_core::NameError>(())
/// ```
#[must_use]
pub fn database_key(database: &DatabaseName) -> String {
    format!("database/{database}")
}

/// Returns the read of the count of accepted changes.
///
/// ```
/// assert_eq!(sapphireslip_wire::change_count_read().keys, ["changes"]);
/// ```
#[must_use]
pub fn change_count_read() -> ReadRequest {
    ReadRequest {
        keys: vec![CHANGES_KEY.to_owned()],
    }
}

/// Returns the count of accepted changes from the reply to [`change_count_read`]; 0 if there were
/// none yet.
///
/// # Errors
///
/// The reply lacks the row, or the row is malformed.
///
/// ```
/// use sapphireslip_wire::platform::{ReadReply, Row};
/// let value = 3u64.to_be_bytes().to_vec().into();
/// let rows = vec![Row { key: "changes".into(), version: 1, value }];
/// assert_eq!(sapphireslip_wire::change_count(&ReadReply { rows })?.0, 3);
/// # Ok::<(), sapphireslip_wire::WireError>(())
/// ```
pub fn change_count(reply: &ReadReply) -> Result<ChangeCount, WireError> {
    let row = row(reply, CHANGES_KEY)?;
    if row.version == 0 {
        return Ok(ChangeCount(0));
    }
    let count = row.value.as_ref().try_into().ok();
    let count = count.ok_or_else(|| WireError::Row(CHANGES_KEY.to_owned()))?;
    Ok(ChangeCount(u64::from_be_bytes(count)))
}

/// Returns the reads of the changes after `since` up to and including `until`, each of at most
/// [`READ_BATCH_ROWS`] rows.
///
/// ```
/// use sapphireslip_core::ChangeCount;
/// let mut reads = sapphireslip_wire::change_reads(ChangeCount(1), ChangeCount(3));
/// assert_eq!(reads.next().unwrap().keys, ["change/2", "change/3"]);
/// assert!(reads.next().is_none());
/// ```
pub fn change_reads(since: ChangeCount, until: ChangeCount) -> impl Iterator<Item = ReadRequest> {
    let first = since.0.saturating_add(1);
    (first..=until.0)
        .step_by(READ_BATCH_ROWS)
        .map(move |start| {
            let end = start
                .saturating_add(READ_BATCH_ROWS as u64 - 1)
                .min(until.0);
            let keys = (start..=end).map(|count| change_key(ChangeCount(count)));
            ReadRequest {
                keys: keys.collect(),
            }
        })
}

/// Returns the keys of the changed documents from the reply to a read of changes.
///
/// # Errors
///
/// A row is absent from the table or malformed.
///
/// ```
/// use sapphireslip_wire::platform::{ReadReply, Row};
/// let value = "document/acme/shop\nw1".into();
/// let rows = vec![Row { key: "change/1".into(), version: 5, value }];
/// let keys = sapphireslip_wire::changed_document_keys(&ReadReply { rows })?;
/// assert!(keys.contains("document/acme/shop"));
/// # Ok::<(), sapphireslip_wire::WireError>(())
/// ```
pub fn changed_document_keys(reply: &ReadReply) -> Result<BTreeSet<String>, WireError> {
    let key = |row: &Row| {
        let text = std::str::from_utf8(&row.value).ok();
        let key = text.and_then(|text| text.lines().next());
        let key = key.filter(|key| key.starts_with(DOCUMENT_PREFIX));
        key.map(ToOwned::to_owned)
            .ok_or_else(|| WireError::Row(row.key.clone()))
    };
    reply.rows.iter().map(key).collect()
}

/// Returns the read of the list of documents.
///
/// ```
/// assert_eq!(sapphireslip_wire::documents_read().keys, ["documents"]);
/// ```
#[must_use]
pub fn documents_read() -> ReadRequest {
    ReadRequest {
        keys: vec![DOCUMENTS_KEY.to_owned()],
    }
}

/// Returns the keys of all documents from the reply to [`documents_read`]; none if the table has no
/// list of documents.
///
/// # Errors
///
/// The reply lacks the row, or the row is malformed.
///
/// ```
/// use sapphireslip_wire::platform::{ReadReply, Row};
/// let value = "document/acme/shop\n".into();
/// let rows = vec![Row { key: "documents".into(), version: 1, value }];
/// let keys = sapphireslip_wire::all_document_keys(&ReadReply { rows })?;
/// assert!(keys.unwrap().contains("document/acme/shop"));
/// # Ok::<(), sapphireslip_wire::WireError>(())
/// ```
pub fn all_document_keys(reply: &ReadReply) -> Result<Option<BTreeSet<String>>, WireError> {
    let row = row(reply, DOCUMENTS_KEY)?;
    if row.version == 0 {
        return Ok(None);
    }
    let malformed = || WireError::Row(DOCUMENTS_KEY.to_owned());
    let text = std::str::from_utf8(&row.value).ok().ok_or_else(malformed)?;
    let keys: BTreeSet<_> = text.lines().map(ToOwned::to_owned).collect();
    let is_well_formed = keys.iter().all(|key| key.starts_with(DOCUMENT_PREFIX));
    is_well_formed.then_some(Some(keys)).ok_or_else(malformed)
}

/// Returns the reads of documents by their keys, each of at most [`READ_BATCH_ROWS`] rows.
///
/// ```
/// let keys = ["document/acme/shop".to_owned()].into();
/// assert_eq!(sapphireslip_wire::document_reads(keys).len(), 1);
/// ```
#[must_use]
pub fn document_reads(keys: BTreeSet<String>) -> Vec<ReadRequest> {
    let keys: Vec<_> = keys.into_iter().collect();
    let batch = |keys: &[String]| ReadRequest {
        keys: keys.to_vec(),
    };
    keys.chunks(READ_BATCH_ROWS).map(batch).collect()
}

/// Returns the document in a row; none if the row is absent from the table.
///
/// # Errors
///
/// The key or the value of the row is malformed.
///
/// ```
/// use sapphireslip_wire::platform::Row;
/// let row = Row { key: "document/acme/shop".into(), ..Row::default() };
/// assert_eq!(sapphireslip_wire::document(&row)?, None);
/// # Ok::<(), sapphireslip_wire::WireError>(())
/// ```
pub fn document(row: &Row) -> Result<Option<AcceptedDocument>, WireError> {
    if row.version == 0 {
        return Ok(None);
    }
    let malformed = || WireError::Row(row.key.clone());
    let owner = row
        .key
        .strip_prefix(DOCUMENT_PREFIX)
        .ok_or_else(malformed)?;
    let (member, service) = owner.split_once('/').ok_or_else(malformed)?;
    let value = decode_row(row)?;
    Ok(Some(AcceptedDocument {
        member: name("member", member).map_err(|err| err.within(&row.key))?,
        service: name("service", service).map_err(|err| err.within(&row.key))?,
        generation: Generation(value.generation),
        change: ChangeCount(value.change),
        text: value.text.into(),
    }))
}

/// Decodes the value of a `document/` row.
pub(crate) fn decode_row(row: &Row) -> Result<DocumentRow, WireError> {
    let decoded = DocumentRow::decode(row.value.as_ref()).ok();
    decoded.ok_or_else(|| WireError::Row(row.key.clone()))
}

/// Returns the row with a key from a reply; an error if the reply lacks it.
pub(crate) fn row<'a>(reply: &'a ReadReply, key: &str) -> Result<&'a Row, WireError> {
    let row = reply.rows.iter().find(|row| row.key == key);
    row.ok_or_else(|| WireError::Missing(key.to_owned()))
}
