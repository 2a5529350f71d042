//! The rows of the table service and their limits.

use std::collections::BTreeMap;

use bytes::Bytes;
use sapphireslip_wire::platform::{
    Condition, FailedCondition, ReadRequest, Row, TransactRequest, Write,
};

/// The most rows in the table.
pub const ROWS_MAX: usize = 100_000;

/// The most keys in one read, and the most conditions and the most writes in one transaction.
pub const KEYS_MAX: usize = 128;

/// The size of the largest value in bytes.
pub const VALUE_MAX_BYTES: usize = 256 * 1024;

/// The length of the longest key in bytes.
pub const KEY_MAX_BYTES: usize = 256;

/// A limit that a request exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableLimit {
    /// The request has more than [`KEYS_MAX`] keys, conditions or writes.
    Keys,
    /// A key is longer than [`KEY_MAX_BYTES`].
    KeyBytes,
    /// A value is larger than [`VALUE_MAX_BYTES`].
    ValueBytes,
    /// The table might grow to more than [`ROWS_MAX`] rows.
    Rows,
}

/// A table of rows with versions.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The version and the value of each row, by its key.
    rows: BTreeMap<String, (u64, Bytes)>,
    /// The version of the last transaction; each transaction gets the next one.
    version: u64,
}

impl Table {
    /// Returns one row for each requested key; a row that does not exist has version 0.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many keys.
    pub(crate) fn read(&self, req: ReadRequest) -> Result<Vec<Row>, TableLimit> {
        if req.keys.len() > KEYS_MAX {
            return Err(TableLimit::Keys);
        }
        Ok(req.keys.into_iter().map(|key| self.row(key)).collect())
    }

    /// Carries out all writes if all conditions hold; otherwise returns the first one that does
    /// not.
    ///
    /// # Errors
    ///
    /// Returns an error if the request exceeds a limit.
    pub(crate) fn transact(
        &mut self,
        req: TransactRequest,
    ) -> Result<Option<FailedCondition>, TableLimit> {
        self.check(&req)?;
        if let Some(failed_condition) = req.conditions.iter().find_map(|c| self.failed_condition(c))
        {
            return Ok(Some(failed_condition));
        }
        self.version += 1;
        for Write { key, value } in req.writes {
            match value {
                Some(value) => self.rows.insert(key, (self.version, value)),
                None => self.rows.remove(&key),
            };
        }
        Ok(None)
    }

    /// Checks a transaction against the limits.
    fn check(&self, req: &TransactRequest) -> Result<(), TableLimit> {
        if req.conditions.len() > KEYS_MAX || req.writes.len() > KEYS_MAX {
            return Err(TableLimit::Keys);
        }
        if req
            .writes
            .iter()
            .any(|write| write.key.len() > KEY_MAX_BYTES)
        {
            return Err(TableLimit::KeyBytes);
        }
        let bytes = |write: &Write| write.value.as_ref().map_or(0, Bytes::len);
        if req
            .writes
            .iter()
            .any(|write| bytes(write) > VALUE_MAX_BYTES)
        {
            return Err(TableLimit::ValueBytes);
        }
        if self.rows.len() + req.writes.len() > ROWS_MAX {
            return Err(TableLimit::Rows);
        }
        Ok(())
    }

    /// Returns the row's present version if it is not the one that a condition expects.
    fn failed_condition(&self, condition: &Condition) -> Option<FailedCondition> {
        let row = self.row(condition.key.clone());
        (row.version != condition.version).then_some(FailedCondition {
            key: row.key,
            version: row.version,
        })
    }

    /// Returns the row of a key; one with version 0 if it does not exist.
    fn row(&self, key: String) -> Row {
        let (version, value) = self.rows.get(&key).cloned().unwrap_or_default();
        Row {
            key,
            version,
            value,
        }
    }
}
