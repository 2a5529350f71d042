//! The rows of the table service.

use std::collections::BTreeMap;

use bytes::Bytes;
use sapphireslip_wire::platform::{
    Condition, FailedCondition, ReadRequest, Row, TransactRequest, Write,
};

/// The most rows in the table.
pub const ROWS_MAX: usize = 100_000;

/// The most keys in one read, and conditions or writes in one transaction.
pub const KEYS_MAX: usize = 128;

/// The largest value in bytes.
pub const VALUE_MAX_BYTES: usize = 256 * 1024;

/// The longest key in bytes.
pub const KEY_MAX_BYTES: usize = 256;

/// Which bound a request breaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableLimit {
    /// More than [`KEYS_MAX`] keys, conditions or writes.
    Keys,
    /// A key of more than [`KEY_MAX_BYTES`].
    KeyBytes,
    /// A value of more than [`VALUE_MAX_BYTES`].
    ValueBytes,
    /// More than [`ROWS_MAX`] rows.
    Rows,
}

/// A table whose rows have versions that rise with each write.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, (u64, Bytes)>,
    version: u64,
}

impl Table {
    /// Returns one row for each key asked for.
    pub(crate) fn read(&self, req: ReadRequest) -> Result<Vec<Row>, TableLimit> {
        if req.keys.len() > KEYS_MAX {
            return Err(TableLimit::Keys);
        }
        Ok(req.keys.into_iter().map(|key| self.row(key)).collect())
    }

    /// Carries out all writes if all conditions hold, and otherwise none.
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

    fn failed_condition(&self, condition: &Condition) -> Option<FailedCondition> {
        let row = self.row(condition.key.clone());
        (row.version != condition.version).then_some(FailedCondition {
            key: row.key,
            version: row.version,
        })
    }

    fn row(&self, key: String) -> Row {
        let (version, value) = self.rows.get(&key).cloned().unwrap_or_default();
        Row {
            key,
            version,
            value,
        }
    }
}
