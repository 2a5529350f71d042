//! Rows of the store that can't be read, and how long a permission in one is waited for.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, Text, VmId, data};

use crate::grant::COORDINATOR_PERMISSION_LENGTH;
use crate::state::State;
use crate::{PermissionTable, Record, RecordKind, RowVersion, UnreadableRow};

/// Upper bound on how long a permission lasts after its row was written: the longest permission, plus the
/// duration of the last renewal, which is at most 2.5 s.
pub(crate) const UNREADABLE_PERMISSION_MAX: Duration =
    COORDINATOR_PERMISSION_LENGTH.saturating_add(Duration::from_millis(3_000));

/// The most log lines about unreadable rows after one read of a table.
const LINES_MAX: usize = 16;

/// The most bytes of a row's fault that are logged: it may quote the row.
const FAULT_MAX_BYTES: usize = 160;

data! {
    /// The unreadable rows that were logged, and the coordinator's if it is one.
    #[derive(Default)]
    pub(crate) struct UnreadableRows {
        /// The faults of the logged rows, by table and key.
        logged: BTreeMap<&'static str, BTreeMap<Text, Text>>,
        /// The version of the coordinator's row of a permission if that can't be read, and since when
        /// it has been seen.
        coordinator: Option<(RowVersion, Instant)>,
        /// The version of the row of the coordinator's role if that can't be read, and since when it has
        /// been seen.
        role: Option<(RowVersion, Instant)>,
    }
}

impl UnreadableRows {
    /// Returns the version of the coordinator's unreadable row if the permission in any row before it
    /// has ended.
    pub(crate) fn ended_row_of_coordinator(&self, now: Instant) -> Option<RowVersion> {
        let (version, since) = self.coordinator?;
        (now.since(since) >= UNREADABLE_PERMISSION_MAX).then_some(version)
    }

    /// Returns whether the row of the role can't be read, and has been so for long enough that the
    /// permission of any daemon that had the role by it or before it has ended.
    pub(crate) fn has_role_ended(&self, now: Instant) -> bool {
        self.role
            .is_some_and(|(_, since)| now.since(since) >= UNREADABLE_PERMISSION_MAX)
    }
}

impl State {
    /// Logs the rows of a table that can't be read, each once until it is read or has another fault.
    pub(crate) fn note_unreadable_rows(&mut self, table: &'static str, rows: &[UnreadableRow]) {
        let before = self
            .unreadable_rows
            .logged
            .remove(table)
            .unwrap_or_default();
        let mut logged = BTreeMap::new();
        for row in rows
            .iter()
            .filter(|row| !row.fault.is_empty())
            .take(LINES_MAX)
        {
            let fault = Text::from(excerpt(&row.fault));
            if before.get(&row.key) != Some(&fault) {
                let detail = format!("`{}` of {table} is left out: {fault}", row.key);
                self.log(Record::new(RecordKind::RowIgnored, detail.into()));
            }
            logged.insert(Text::clone(&row.key), fault);
        }
        if !logged.is_empty() {
            self.unreadable_rows.logged.insert(table, logged);
        }
    }

    /// Records since when the coordinator's row of a permission can't be read.
    pub(crate) fn note_unreadable_coordinator(&mut self, table: &PermissionTable) {
        let coordinator = self.leaders.table.coordinator.as_ref();
        let holder: Option<&VmId> = coordinator.map(|(record, _)| &record.holder);
        let row = holder.and_then(|holder| table.unreadable_row_of(holder));
        let known = self.unreadable_rows.coordinator;
        self.unreadable_rows.coordinator = row.map(|row| seen_since(known, row, self.now));
    }

    /// Records since when the row of the coordinator's role can't be read.
    pub(crate) fn note_unreadable_role(&mut self) {
        let row = self.leaders.table.unreadable_role.as_ref();
        let known = self.unreadable_rows.role;
        self.unreadable_rows.role = row.map(|row| seen_since(known, row.version, self.now));
    }
}

/// Returns the version of a row and since when it has been seen, by what was `known` of the row.
fn seen_since(
    known: Option<(RowVersion, Instant)>,
    version: RowVersion,
    now: Instant,
) -> (RowVersion, Instant) {
    match known {
        Some((known, since)) if known == version => (version, since),
        _ => (version, now),
    }
}

/// Returns the start of a text.
fn excerpt(text: &str) -> &str {
    let end = text.floor_char_boundary(FAULT_MAX_BYTES);
    &text[..end]
}
