//! Whether this daemon is the coordinator, by the rows of the store.

use crate::RowVersion;
use crate::state::State;

impl State {
    /// Returns the fencing token of this daemon if it is the coordinator and has its permission.
    pub(crate) fn fencing_token(&self) -> Option<RowVersion> {
        self.own_role()
            .filter(|_| self.permission.is_valid(self.now))
    }

    /// Returns the version of the row of the role if this daemon is the coordinator according to the
    /// rows of the store.
    pub(crate) fn own_role(&self) -> Option<RowVersion> {
        let (_, version) = self.leaders.table.coordinator.as_ref()?;
        self.is_coordinator().then_some(*version)
    }

    /// Returns whether this daemon is the coordinator according to the rows of the store, whether
    /// or not its permission is valid.
    pub(crate) fn is_coordinator(&self) -> bool {
        let coordinator = self.leaders.table.coordinator.as_ref();
        coordinator.is_some_and(|(record, version)| {
            record.holder == self.local.vm
                && record.incarnation == self.local.incarnation
                && self.coordinator.resigned_row != Some(*version)
        })
    }

    /// Returns whether an earlier run on this VM is still named as the coordinator. Only this
    /// daemon can then claim the role at once; others wait until the permission of that run has
    /// ended.
    pub(crate) fn was_coordinator_in_earlier_run(&self) -> bool {
        let coordinator = self.leaders.table.coordinator.as_ref();
        coordinator.is_some_and(|(record, _)| {
            record.holder == self.local.vm && record.incarnation != self.local.incarnation
        })
    }
}
